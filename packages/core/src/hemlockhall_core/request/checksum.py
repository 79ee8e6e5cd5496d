"""Checksum of the tokens of a response.

The last stage computes it and the entry host verifies it.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

TOKEN_BYTES = 8


def checksum(tokens: Iterable[int]) -> int:
    """Return the CRC-32 of token ids, each as eight big-endian bytes."""
    value = 0
    for token in tokens:
        value = zlib.crc32(token.to_bytes(TOKEN_BYTES, "big"), value)
    return value


__all__ = [
    "checksum",
]
