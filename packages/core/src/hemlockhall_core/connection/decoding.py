"""Errors in decoding what other processes, operators and callers wrote."""

from __future__ import annotations

import re
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# What shows where the entries of a JSON list end, and strings, which may hold the same.
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]')
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


def split_list(text: bytes) -> list[bytes]:
    """Return the entries of a JSON list, not decoded; raise ``DecodeError``.

    A decoder gives up the whole list for one entry that is nested too deeply.
    """
    text = text.strip()
    if not text.startswith(b"["):
        raise DecodeError("not a JSON list")
    entries = []
    depth = begin = end = 0
    for token in _JSON_TOKEN.finditer(text):
        kind = token.group()[:1]
        if kind in b"[{":
            depth += 1
            begin = begin or token.end()
        elif depth == 1 and kind in b",]":
            entries.append(text[begin : token.start()].strip())
            begin = token.end()
        if kind in b"]}":
            depth -= 1
            end = token.end()
            if not depth:
                break
    if depth or end != len(text):
        raise DecodeError("a JSON list that does not end, or that text follows")
    return [] if entries == [b""] else entries


__all__ = [
    "DecodeError",
    "decoding",
    "split_list",
]
