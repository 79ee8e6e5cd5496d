"""Messages between processes and their MessagePack encoding.

The unit of transfer is a :class:`Batch`: a header and any number of messages.
Structs are encoded as arrays, so the order of fields is part of the protocol
while their names are not. A message is identified by its tag, which is the name of
its class unless another tag is given.
"""

from __future__ import annotations

from typing import Union

import msgspec

from hemlockhall_core.connection.decoding import DecodeError, decoding
from hemlockhall_core.connection.error import BatchDecodeError

# Limit on received batches; the sender does not check it.
MAX_BATCH_BYTES = 16 * 1024 * 1024


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of the messages that a batch can carry."""


class RouteStage(msgspec.Struct, array_like=True, frozen=True):
    """One stage of a route: an endpoint and the layers that it runs.

    The range is half-open: ``first_layer`` is included, ``end_layer`` is not.
    """

    endpoint: str
    address: str
    first_layer: int
    end_layer: int


class Open(Message, frozen=True):
    """Start an attempt of a model request at ``route[stage_index]``.

    ``known_tokens`` are the ids of the tokens that the caller already has.
    ``prompt`` is empty for all stages but the first, ``adapter`` for a model
    without one. ``resume`` is set on a retry: the stages keep what is in their KV
    caches, and each requests the activations that it lacks from the previous one.
    ``entry`` is the name of the entry host, which receives the output tokens.
    The deadline is sent as the seconds left, because the monotonic clocks of two
    processes cannot be compared.
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
    """Activations of positions from ``position`` on, the input of ``layer``."""

    request: str
    attempt: int
    layer: int
    position: int
    prompt_length: int
    activations: list[bytes]


class ActivationsRequest(Message, frozen=True, tag="Need"):
    """Ask the previous stage for activations from ``position`` on."""

    request: str
    attempt: int
    position: int


class NextToken(Message, frozen=True, tag="Loop"):
    """The sampled token, sent by the last stage to the first for the next step."""

    request: str
    attempt: int
    token_index: int
    token: int


class ResponseSummary(msgspec.Struct, array_like=True, frozen=True):
    """End of a response: token count, checksum of the ids and finish reason."""

    count: int
    checksum: int
    finish: str


class OutputToken(Message, frozen=True, tag="Frame"):
    """A token of the response for the entry host; the last one has ``final``."""

    request: str
    attempt: int
    token_index: int
    token: int
    text: str
    prompt_length: int
    final: ResponseSummary | None = None


class Failed(Message, frozen=True):
    """An attempt failed or did not start; ``reason`` is a ``RetryReason`` value."""

    request: str
    attempt: int
    endpoint: str
    reason: str


class AttemptProbe(Message, frozen=True, tag="Probe"):
    """Ask a stage to send ``Failed`` if it does not have this attempt."""

    request: str
    attempt: int


class Close(Message, frozen=True):
    """Close the attempts of a request up to and including ``attempt``.

    Sent to all stages of a request that has ended, and to the stages that are not
    on the route of its next attempt.
    """

    request: str
    attempt: int


class Header(msgspec.Struct, array_like=True, frozen=True):
    """An HTTP header field."""

    name: str
    value: str


class Call(Message, frozen=True):
    """A call of a plain service; ``key`` is its idempotency key."""

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
    """The HTTP response of a plain service."""

    request: str
    attempt: int
    status: int
    headers: list[Header]
    body: bytes


class CallRefused(Message, frozen=True, tag="Refused"):
    """The side process returns no HTTP response for a call.

    ``reason`` is a ``RefusalReason`` or ``RetryReason`` value, ``ran`` a ``Ran``
    value and ``retry_after`` in seconds.
    """

    request: str
    attempt: int
    reason: str
    ran: str
    detail: str
    retry_after: float


class CancelCall(Message, frozen=True, tag="Withdraw"):
    """Do not start a call: its caller disconnected or its deadline passed.

    A call that has already started is not affected.
    """

    request: str
    attempt: int


class SectionRef(msgspec.Struct, array_like=True, frozen=True):
    """Name of a section of the document and the SHA-256 of its text."""

    name: str
    digest: str


class DocumentRequest(Message, frozen=True, tag="DocumentAsk"):
    """Ask a peer for its version of the document.

    ``sections`` are the names of the required sections (empty: all) and
    ``known_sections`` those whose texts the sender already has.
    """

    sections: list[str]
    known_sections: list[SectionRef]


class SectionText(msgspec.Struct, array_like=True, frozen=True):
    """Text of one section and its SHA-256."""

    name: str
    digest: str
    text: str


class DocumentText(Message, frozen=True):
    """A version of the document: digests of all sections, texts of some."""

    version: int
    refs: list[SectionRef]
    texts: list[SectionText]


class Drain(Message, frozen=True):
    """Ask a side process to drain: finish its requests and accept no new ones."""

    endpoint: str


class DrainAccepted(Message, frozen=True, tag="DrainTaken"):
    """Acknowledge a ``Drain``; ``in_flight`` requests remain."""

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
    """Unit of transfer between two processes.

    ``boot`` identifies one run of the sending process; within a run it is raised
    by 1 for a receiver that was removed as a peer and is contacted again.
    ``receiver_boot`` is the boot id of the receiver that the messages and ``ack``
    are meant for. ``seq`` is 0 on
    a batch without messages, and ``ack`` the highest ``seq`` received in order.
    ``version``, ``state`` and ``load`` describe the sender. ``reconnect`` asks
    the receiver to open a new connection to the sender.
    """

    sender: str
    address: str
    boot: int
    receiver_boot: int
    seq: int
    ack: int
    version: int
    state: str
    load: int
    reconnect: bool
    messages: list[AnyMessage]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def encode(batch: Batch) -> bytes:
    """Encode a batch."""
    return _ENCODER.encode(batch)


def decode(data: bytes) -> Batch:
    """Decode a batch; raise :class:`BatchDecodeError` if ``data`` is not one."""
    if len(data) > MAX_BATCH_BYTES:
        msg = f"batch of {len(data)} bytes is over the limit of {MAX_BATCH_BYTES}"
        raise BatchDecodeError(msg)
    try:
        with decoding("batch"):
            return _DECODER.decode(data)
    except DecodeError as exc:
        msg = f"not a batch of this protocol: {exc}"
        raise BatchDecodeError(msg) from exc


__all__ = [
    "MAX_BATCH_BYTES",
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
