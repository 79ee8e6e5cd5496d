"""Documents of another writer: sound ones with one value replaced or bytes cut."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as st

# More than the interpreter's recursion limit.
DEPTH = 3000
# More than the interpreter's limit on the digits of an integer.
DIGITS = 5000
PLACEHOLDER = "replaced by a value"
NUMBERS = (
    "-1",
    "0.5",
    "1e308",
    "1e999",
    str(2**31),
    str(2**53),
    str(2**63),
    str(2**64),
    "9" * 23,
    "9" * DIGITS,
    "-" + "9" * 23,
)
TEXTS = (
    "",
    " ",
    "\0",
    "a\r\nb: c",
    "²",
    "٣",
    "127.0.0.1:808²",
    "127.0.0.1:" + "8" * DIGITS,
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "a b:80",
    "x" * 300,
)
# Values as JSON text, some of which no encoder writes.
VALUES = (
    *NUMBERS,
    *(json.dumps(text) for text in TEXTS),
    '"\\ud800"',
    "null",
    "true",
    "[]",
    "{}",
    "[" * DEPTH + "]" * DEPTH,
    '{"a":' * DEPTH + "1" + "}" * DEPTH,
)


def paths(document: Any) -> list[tuple[Any, ...]]:
    """Return the places of all values in a document."""
    found: list[tuple[Any, ...]] = []
    items: Any = ()
    if isinstance(document, dict):
        items = document.items()
    if isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        found.append((key,))
        found += [(key, *rest) for rest in paths(value)]
    return found


def replaced(document: Any, path: tuple[Any, ...], value: str) -> bytes:
    """Return the document as JSON with the JSON text ``value`` at a place."""
    document = json.loads(json.dumps(document))
    place = document
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = PLACEHOLDER
    return json.dumps(document).replace(f'"{PLACEHOLDER}"', value).encode()


@st.composite
def foreign_documents(draw: st.DrawFn, document: dict[str, Any]) -> bytes:
    """Draw a document with one value replaced, an unknown field, or its end cut."""
    document = {**document, "unknown": 1}
    path = draw(st.sampled_from(paths(document)))
    data = replaced(document, path, draw(st.sampled_from(VALUES)))
    if draw(st.integers(0, 9)) == 0:
        data = data[: draw(st.integers(0, len(data)))]
    return data


__all__ = [
    "DEPTH",
    "DIGITS",
    "NUMBERS",
    "VALUES",
    "foreign_documents",
]
