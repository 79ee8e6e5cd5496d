"""Datagrams between hosts: MessagePack, each with the number of its protocol."""

from __future__ import annotations

import ipaddress
import zlib
from functools import lru_cache

import msgspec

# Raised with each change of the messages that an older host would misread.
PROTOCOL_VERSION = 1
# Bytes of the largest datagram; longer ones are fragmented, and lost with any
# of their fragments.
MAX_DATAGRAM_BYTES = 1400
# Addresses whose check is remembered, and the first number that is no port.
ADDRESS_CACHE_SIZE = 1024
PORT_LIMIT = 65_536


class MessageError(Exception):
    """A datagram cannot be used; the text says why."""


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """A host as others can reach it.

    ``capacity`` ranks hosts, ``boot`` names this run of its process, ``age_ms`` is
    the time since the sender knew that it lives. ``store_unreachable`` tells that
    the store does not answer it.
    """

    name: str
    address: str
    data_centre: str
    capacity: int
    boot: str
    leaving: bool = False
    age_ms: int = 0
    store_unreachable: bool = False


class TableVersion(msgspec.Struct, frozen=True, array_like=True):
    """How far a host's copy of a table of the store is.

    ``last_change`` is the version of the newest change in it and ``complete_to`` the
    version up to which no change is missing. The store, or a host that had it
    from there, said so ``age_ms`` ago.
    """

    table: str
    last_change: int
    complete_to: int
    age_ms: int


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Requests at an endpoint, named by its key.

    ``tokens`` are those of the requests and ``prefill_tokens`` those of requests
    without an event so far; an event came through it ``event_age_ms`` ago.
    """

    endpoint: int
    requests: int
    tokens: int
    prefill_tokens: int
    event_age_ms: int


class LayerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The layers of an endpoint, newer than what the store says of it.

    ``started_ms`` names its run, and ``order_count`` counts the orders that it began;
    the higher number is the newer fact.
    """

    endpoint: int
    started_ms: int
    order_count: int
    first: int
    end: int


class RetryUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a service and repeats in the window of the retry budget.

    ``retries`` includes what is kept for the hosts concerned, used or not.
    """

    service: int
    requests: int
    retries: int


class DataCentre(msgspec.Struct, frozen=True, array_like=True):
    """The hosts of a data centre together.

    ``staying`` counts those that do not leave, and ``first`` is the lowest of
    their names. ``fence`` is the newest planning lease that one of them holds,
    or 0. ``steady`` tells whether one has had the store all the while. ``usage`` is
    the sum of their use of the retry budget.
    """

    name: str
    hosts: int
    active_hosts: int
    lowest_name: str
    fence: int
    store_stable: bool
    usage: list[RetryUsage] = []


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What each message carries.

    ``loads`` are the sender's own, or those of the hosts that it speaks for.
    ``down`` holds keys of endpoints that do not answer, ``presumed_draining`` of those
    that seem to leave, ``layer_updates`` layers that the store does not tell yet,
    ``contacts`` hosts that the receiver may not know.
    """

    protocol: int = PROTOCOL_VERSION
    sender: Contact
    table_versions: list[TableVersion]
    loads: list[Load]
    down: list[int]
    presumed_draining: list[int]
    layer_updates: list[LayerUpdate]
    contacts: list[Contact]


class Report(Message, frozen=True, array_like=True, kw_only=True, tag="report"):
    """A host to a hub: about itself."""

    fence: int
    store_stable: bool
    usage: list[RetryUsage] = []


class Digest(Message, frozen=True, array_like=True, kw_only=True, tag="digest"):
    """The answer to a report: about all others."""

    data_centres: list[DataCentre]


class Summary(Message, frozen=True, array_like=True, kw_only=True, tag="summary"):
    """A hub to the hubs of another data centre: about its own."""

    data_centre: DataCentre


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report | Digest | Summary)


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    return _encoder.encode(message)


def decode(data: bytes) -> Report | Digest | Summary:
    """Return the message in a datagram, or raise ``MessageError``."""
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise MessageError(f"a datagram cannot be read: {exc}") from exc
    if message.protocol != PROTOCOL_VERSION:
        raise MessageError(
            f"protocol {message.protocol} is not {PROTOCOL_VERSION}; "
            "update the older host"
        )
    for contact in (message.sender, *message.contacts):
        if not _is_address(contact.address):
            raise MessageError(f"no IP number and port: {contact.address!r:.60}")
    return message


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < PORT_LIMIT


def endpoint_key(endpoint_id: str) -> int:
    """Return the number that stands for an endpoint in messages."""
    return zlib.crc32(endpoint_id.encode())


def service_key(name: str) -> int:
    """Return the number that stands for a service in messages."""
    return zlib.crc32(name.encode())


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "PROTOCOL_VERSION",
    "Contact",
    "TableVersion",
    "Digest",
    "LayerUpdate",
    "Load",
    "Message",
    "MessageError",
    "DataCentre",
    "Report",
    "Summary",
    "RetryUsage",
    "decode",
    "encode",
    "endpoint_key",
    "service_key",
]
