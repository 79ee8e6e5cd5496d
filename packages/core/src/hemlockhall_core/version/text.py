"""The document's text: cut into sections, and faults placed on lines."""

from __future__ import annotations

import hashlib
import re
import tomllib

from hemlockhall_core.version.error import DocumentError, Fault

_HEADER = re.compile(r"^\s*\[{1,2}\s*([A-Za-z0-9_\"'.\s-]+?)\s*\]{1,2}\s*(#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_-]+|\"[^\"]*\")\s*=")


def digest(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse(text: str) -> dict[str, object]:
    """Return the TOML tables of a text; raise :class:`DocumentError`."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        found = re.search(r"line (\d+)", str(exc))
        line = int(found.group(1)) if found else text.count("\n") + 1
        raise DocumentError([Fault("document", line, f"not TOML: {exc}")]) from exc


def split(text: str) -> dict[str, str]:
    """Return the text of each section, a section being a top-level table.

    Comments and blank lines before a header belong to that header. Raises
    :class:`DocumentError` for keys outside of any section.
    """
    sections: dict[str, list[str]] = {}
    waiting: list[str] = []
    current: str | None = None
    for line in text.splitlines():
        header = _HEADER.match(line)
        if header:
            current = _parts(header.group(1))[0]
            sections.setdefault(current, []).extend(waiting)
            sections[current].append(line)
            waiting = []
            continue
        if not line.strip() or line.lstrip().startswith("#"):
            waiting.append(line)
            continue
        if current is None:
            number = text.splitlines().index(line) + 1
            fault = Fault("document", number, "key outside of a section; move it")
            raise DocumentError([fault])
        sections[current].extend(waiting)
        sections[current].append(line)
        waiting = []
    if current is not None:
        sections[current].extend(waiting)
    joined = {name: "\n".join(lines).strip("\n") for name, lines in sections.items()}
    _check_same(text, joined)
    return joined


def _check_same(text: str, sections: dict[str, str]) -> None:
    # A header inside a multi-line string would cut a value in two; the parts
    # would be stored apart and come back as another document.
    whole = parse(text)
    try:
        same = whole == parse(join(sections))
    except DocumentError:
        same = False
    if not same:
        told = "a multi-line string holds a section header; indent or rephrase it"
        raise DocumentError([Fault("document", 1, told)])


def join(sections: dict[str, str]) -> str:
    """Return one document text from the texts of its sections."""
    return "\n\n".join(sections[name] for name in sorted(sections)) + "\n"


def line_of(text: str, place: tuple[object, ...]) -> int:
    """Return the line where ``place`` (section, entry, key) stands."""
    names = [str(part) for part in place]
    best = (0, 1)
    table: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            table = _parts(header.group(1))
            depth = _common(names, table)
        else:
            key = _KEY.match(line)
            if not key:
                continue
            depth = _common(names, [*table, key.group(1).strip('"')])
        if depth > best[0]:
            best = (depth, number)
    return best[1]


def _common(names: list[str], found: list[str]) -> int:
    depth = 0
    for name, other in zip(names, found, strict=False):
        if name != other:
            break
        depth += 1
    return depth


def _parts(header: str) -> list[str]:
    return [part.strip().strip("\"'") for part in header.split(".")]


__all__ = [
    "digest",
    "join",
    "line_of",
    "parse",
    "split",
]
