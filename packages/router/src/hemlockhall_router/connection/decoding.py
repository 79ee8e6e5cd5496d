"""Numbers and addresses in what other processes wrote, within usable ranges."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import Annotated

import msgspec

from hemlockhall_core.connection.decoding import DecodeError, decoding

# Counts, versions and times in milliseconds. Sums of many of them still fit into the
# 64-bit integers of MessagePack, and floats represent each exactly.
MAX_INTEGER = 2**53 - 1
# Layers of a model; bounds work that is done for each layer.
MAX_LAYERS = 65_535
# Ports are below this number.
PORT_LIMIT = 65_536
MAX_PORT_DIGITS = 5
# As in "255.255.255.255:65535".
MAX_ADDRESS_CHARS = 21
# Entries in the cache of parsed addresses.
ADDRESS_CACHE_SIZE = 1024

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
LayerNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]


def decode_number(value: bytes) -> int | None:
    """Return a number of decimal digits, or None; at most ``MAX_INTEGER``."""
    digits = value.strip()
    if not digits.isdigit():
        return None
    digits = digits.lstrip(b"0") or b"0"
    if len(digits) > len(str(MAX_INTEGER)):
        return MAX_INTEGER
    return min(int(digits), MAX_INTEGER)


def parse_address(address: str) -> tuple[str, int] | None:
    """Return the IPv4 address and the port in ``ip:port``, or None."""
    # The cache keeps what it is called with.
    if len(address) > MAX_ADDRESS_CHARS:
        return None
    return _parse_short_address(address)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _parse_short_address(address: str) -> tuple[str, int] | None:
    host, _, digits = address.rpartition(":")
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_PORT_DIGITS:
        return None
    port = int(digits)
    if not 0 < port < PORT_LIMIT:
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return host, port


__all__ = [
    "Count",
    "DecodeError",
    "Integer",
    "LayerNumber",
    "MAX_INTEGER",
    "PORT_LIMIT",
    "decode_number",
    "decoding",
    "parse_address",
]
