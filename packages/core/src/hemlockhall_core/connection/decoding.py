"""Errors in decoding what other processes, operators and callers wrote."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Characters of an error's text in ``DecodeError``.
MAX_CAUSE_CHARS = 200


class DecodeError(Exception):
    """A row, report, message or header could not be decoded.

    The text names it, and the field or the status of the response where known.
    """


@contextmanager
def decoding(what: str) -> Iterator[None]:
    """Raise ``DecodeError`` for any error in the block; ``what`` is being decoded.

    Input can make a decoder raise other errors than its own: ``RecursionError`` if it
    is deeply nested, ``ValueError`` or ``OverflowError`` for numbers.
    """
    try:
        yield
    except DecodeError:
        raise
    except Exception as exc:
        cause = f"{type(exc).__name__}: {exc}"[:MAX_CAUSE_CHARS]
        raise DecodeError(f"malformed {what}: {cause}") from exc


__all__ = [
    "DecodeError",
    "decoding",
]
