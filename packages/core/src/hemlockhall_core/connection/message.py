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


class RouteStage(msgspec.Struct, array_like=True, frozen=True):
    """One stage of a pipeline: an endpoint and the layers it runs.

    ``first`` is included, ``last`` is not, as in a Python range.
    """

    endpoint: str
    address: str
    first_layer: int
    end_layer: int


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
    route: list[RouteStage]
    stage_index: int
    entry: str
    entry_address: str
    prompt: str
    known_tokens: list[int]
    resume: bool
    max_tokens: int
    seed: int
    rank: int
    expires_in_s: float


class Activations(Message, frozen=True, tag="Hop"):
    """Activations of consecutive positions, input of the layer ``layer``."""

    request: str
    attempt: int
    layer: int
    position: int
    prompt_length: int
    activations: list[bytes]


class ActivationsRequest(Message, frozen=True, tag="Need"):
    """A stage asks the one before it for activations from ``position`` on."""

    request: str
    attempt: int
    position: int


class NextToken(Message, frozen=True, tag="Loop"):
    """The last stage gives the first stage the token to go on with."""

    request: str
    attempt: int
    token_index: int
    token: int


class ResponseSummary(msgspec.Struct, array_like=True, frozen=True):
    """What closes an answer: its token count and the checksum of their ids."""

    count: int
    checksum: int
    finish: str


class OutputToken(Message, frozen=True, tag="Frame"):
    """Token number ``index`` of an answer; ``final`` is set on the last."""

    request: str
    attempt: int
    token_index: int
    token: int
    text: str
    prompt_length: int
    final: ResponseSummary | None = None


class Failed(Message, frozen=True):
    """A stage cannot go on with an attempt; ``reason`` is a retry reason."""

    request: str
    attempt: int
    endpoint: str
    reason: str


class AttemptProbe(Message, frozen=True, tag="Probe"):
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
    expires_in_s: float


class CallResponse(Message, frozen=True, tag="Answer"):
    """What a plain service answered."""

    request: str
    attempt: int
    status: int
    headers: list[Header]
    body: bytes


class CallRefused(Message, frozen=True, tag="Refused"):
    """A side process did not get an answer for a call, and why."""

    request: str
    attempt: int
    reason: str
    ran: str
    detail: str
    retry_after: float


class CancelCall(Message, frozen=True, tag="Withdraw"):
    """The caller of a plain service left: do not start the call."""

    request: str
    attempt: int


class SectionRef(msgspec.Struct, array_like=True, frozen=True):
    """Name of a document section and the SHA-256 of its text."""

    name: str
    digest: str


class DocumentRequest(Message, frozen=True, tag="DocumentAsk"):
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


class DrainAccepted(Message, frozen=True, tag="DrainTaken"):
    """A process is leaving, as it was asked to."""

    endpoint: str
    in_flight: int


AnyMessage = Union[
    Open,
    Activations,
    ActivationsRequest,
    NextToken,
    OutputToken,
    Failed,
    AttemptProbe,
    Close,
    Call,
    CallResponse,
    CallRefused,
    CancelCall,
    DocumentRequest,
    DocumentText,
    Drain,
    DrainAccepted,
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
    "CallResponse",
    "AnyMessage",
    "Batch",
    "Call",
    "Close",
    "DocumentRequest",
    "DocumentText",
    "Drain",
    "DrainAccepted",
    "Failed",
    "ResponseSummary",
    "OutputToken",
    "Header",
    "Activations",
    "NextToken",
    "Message",
    "ActivationsRequest",
    "Open",
    "AttemptProbe",
    "CallRefused",
    "SectionRef",
    "SectionText",
    "RouteStage",
    "CancelCall",
    "decode",
    "encode",
]
