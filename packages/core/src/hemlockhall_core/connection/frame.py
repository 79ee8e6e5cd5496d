"""The messages between the system's own processes, and their encoding.

A peer receives one :class:`Batch` at a time: a header that every batch
carries, and any number of messages. The encoding is MessagePack.
"""

from __future__ import annotations

from typing import Union

import msgspec

from hemlockhall_core.connection.error import FrameError

MAX_FRAME_BYTES = 16 * 1024 * 1024


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of what a batch can carry."""


class Stop(msgspec.Struct, array_like=True, frozen=True):
    """One stage of a pipeline: an endpoint and the layers it runs.

    ``first`` is included, ``last`` is not, as in a Python range.
    """

    endpoint: str
    address: str
    first: int
    last: int


class Open(Message, frozen=True):
    """Start an attempt of a model request at stage ``index`` of ``route``.

    ``known`` holds the ids of the tokens that the caller already has, and
    ``expires_in`` is the time left to the deadline in seconds.
    """

    request: str
    attempt: int
    version: int
    model: str
    adapter: str
    route: list[Stop]
    index: int
    entry: str
    entry_address: str
    prompt: str
    known: list[int]
    resume: bool
    max_tokens: int
    seed: int
    rank: int
    expires_in: float


class Hop(Message, frozen=True):
    """Activations of consecutive positions, input of the layer ``layer``."""

    request: str
    attempt: int
    layer: int
    position: int
    prompt_length: int
    activations: list[bytes]


class Need(Message, frozen=True):
    """A stage asks the one before it for activations from ``position`` on."""

    request: str
    attempt: int
    position: int


class Loop(Message, frozen=True):
    """The last stage gives the first stage the token to go on with."""

    request: str
    attempt: int
    index: int
    token: int


class Final(msgspec.Struct, array_like=True, frozen=True):
    """What closes an answer: its token count and the checksum of their ids."""

    count: int
    checksum: int
    finish: str


class Frame(Message, frozen=True):
    """Token number ``index`` of an answer; ``final`` is set on the last."""

    request: str
    attempt: int
    index: int
    token: int
    text: str
    prompt_length: int
    final: Final | None = None


class Failed(Message, frozen=True):
    """A stage cannot go on with an attempt; ``reason`` is a retry reason."""

    request: str
    attempt: int
    endpoint: str
    reason: str


class Probe(Message, frozen=True):
    """Ask a stage to say so if it does not have this attempt."""

    request: str
    attempt: int


class Close(Message, frozen=True):
    """Forget a request: it is answered, cancelled or moved elsewhere.

    Attempts up to and including ``attempt`` are closed.
    """

    request: str
    attempt: int


class Header(msgspec.Struct, array_like=True, frozen=True):
    """An HTTP header field."""

    name: str
    value: str


class Call(Message, frozen=True):
    """One call of a plain service."""

    request: str
    attempt: int
    version: int
    customer: str
    service: str
    method: str
    path: str
    query: str
    headers: list[Header]
    body: bytes
    key: str
    idempotent: bool
    expires_in: float


class Answer(Message, frozen=True):
    """What a plain service answered."""

    request: str
    attempt: int
    status: int
    headers: list[Header]
    body: bytes


class Refused(Message, frozen=True):
    """A side process did not get an answer for a call, and why."""

    request: str
    attempt: int
    reason: str
    ran: str
    detail: str
    retry_after: float


class Withdraw(Message, frozen=True):
    """The caller of a plain service left: do not start the call."""

    request: str
    attempt: int


class SectionRef(msgspec.Struct, array_like=True, frozen=True):
    """Name of a document section and the SHA-256 of its text."""

    name: str
    digest: str


class DocumentAsk(Message, frozen=True):
    """Ask a peer for its version of the document.

    ``wanted`` names sections (empty: all), ``held`` those not to send again.
    """

    wanted: list[str]
    held: list[SectionRef]


class SectionText(msgspec.Struct, array_like=True, frozen=True):
    """The text of one section."""

    name: str
    digest: str
    text: str


class DocumentText(Message, frozen=True):
    """A version of the document: all section digests, and some texts."""

    version: int
    refs: list[SectionRef]
    texts: list[SectionText]


class Drain(Message, frozen=True):
    """Ask a process to leave: finish its requests and take no new ones."""

    endpoint: str


class DrainTaken(Message, frozen=True):
    """A process is leaving, as it was asked to."""

    endpoint: str
    in_flight: int


AnyMessage = Union[
    Open,
    Hop,
    Need,
    Loop,
    Frame,
    Failed,
    Probe,
    Close,
    Call,
    Answer,
    Refused,
    Withdraw,
    DocumentAsk,
    DocumentText,
    Drain,
    DrainTaken,
]


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """What one send carries.

    ``boot`` names the run of the sending process, ``to_boot`` the run of the
    receiver that the numbered messages are meant for. ``seq`` is 0 on a batch
    without messages, and ``ack`` the highest ``seq`` received in order.
    """

    sender: str
    address: str
    boot: int
    to_boot: int
    seq: int
    ack: int
    version: int
    state: str
    load: int
    renew: bool
    messages: list[AnyMessage]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def encode(batch: Batch) -> bytes:
    """Return the bytes of a batch."""
    return _ENCODER.encode(batch)


def decode(data: bytes) -> Batch:
    """Return the batch in ``data``; raise :class:`FrameError` if it is none."""
    if len(data) > MAX_FRAME_BYTES:
        msg = f"batch of {len(data)} bytes is over the limit of {MAX_FRAME_BYTES}"
        raise FrameError(msg)
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        msg = f"not a batch of this protocol: {exc}"
        raise FrameError(msg) from exc


__all__ = [
    "MAX_FRAME_BYTES",
    "Answer",
    "AnyMessage",
    "Batch",
    "Call",
    "Close",
    "DocumentAsk",
    "DocumentText",
    "Drain",
    "DrainTaken",
    "Failed",
    "Final",
    "Frame",
    "Header",
    "Hop",
    "Loop",
    "Message",
    "Need",
    "Open",
    "Probe",
    "Refused",
    "SectionRef",
    "SectionText",
    "Stop",
    "Withdraw",
    "decode",
    "encode",
]
