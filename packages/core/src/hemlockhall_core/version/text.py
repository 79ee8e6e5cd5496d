"""Text of the document: split into sections, and line numbers for errors."""

from __future__ import annotations

import hashlib
import re
import tomllib

from hemlockhall_core.connection.decoding import DecodeError, decoding
from hemlockhall_core.version.error import DocumentError, Fault

_HEADER = re.compile(r"^\s*\[{1,2}\s*([A-Za-z0-9_\"'.\s-]+?)\s*\]{1,2}\s*(#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_-]+|\"[^\"]*\")\s*=")


def digest(text: str) -> str:
    """Return the hexadecimal SHA-256 of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse(text: str) -> dict[str, object]:
    """Parse a TOML text; raise :class:`DocumentError` if it is not valid TOML."""
    try:
        with decoding("document"):
            return tomllib.loads(text)
    except DecodeError as exc:
        found = re.search(r"line (\d+)", str(exc))
        line = int(found.group(1)) if found else text.count("\n") + 1
        raise DocumentError([Fault("document", line, f"not TOML: {exc}")]) from exc


def split(text: str) -> dict[str, str]:
    """Return the text of each section; a section is a top-level table.

    Comments and blank lines before a header belong to that header. Raises
    :class:`DocumentError` for keys outside of any section, and for a text that
    cannot be split without changing its values.
    """
    sections: dict[str, list[str]] = {}
    pending: list[str] = []
    current: str | None = None
    for line in text.splitlines():
        header = _HEADER.match(line)
        if header:
            current = _header_keys(header.group(1))[0]
            sections.setdefault(current, []).extend(pending)
            sections[current].append(line)
            pending = []
            continue
        if not line.strip() or line.lstrip().startswith("#"):
            pending.append(line)
            continue
        if current is None:
            number = text.splitlines().index(line) + 1
            fault = Fault(
                "document", number, "key outside of a section; move it into a section"
            )
            raise DocumentError([fault])
        sections[current].extend(pending)
        sections[current].append(line)
        pending = []
    if current is not None:
        sections[current].extend(pending)
    texts = {name: "\n".join(lines).strip("\n") for name, lines in sections.items()}
    _check_round_trip(text, texts)
    return texts


def _check_round_trip(text: str, sections: dict[str, str]) -> None:
    # A line of a multi-line string that looks like a header would split the value;
    # the stored sections would then join to a different document.
    parsed = parse(text)
    try:
        same = parsed == parse(join(sections))
    except DocumentError:
        same = False
    if not same:
        message = "a multi-line string holds a section header; indent or rephrase it"
        raise DocumentError([Fault("document", 1, message)])


def join(sections: dict[str, str]) -> str:
    """Join the texts of sections, in the order of their names."""
    return "\n\n".join(sections[name] for name in sorted(sections)) + "\n"


def find_line(text: str, path: tuple[object, ...]) -> int:
    """Return the line of ``path`` (section, entry, key) or of its nearest parent."""
    names = [str(part) for part in path]
    best = (0, 1)
    table: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            table = _header_keys(header.group(1))
            depth = _common_prefix_length(names, table)
        else:
            key = _KEY.match(line)
            if not key:
                continue
            depth = _common_prefix_length(names, [*table, key.group(1).strip('"')])
        if depth > best[0]:
            best = (depth, number)
    return best[1]


def _common_prefix_length(names: list[str], found: list[str]) -> int:
    depth = 0
    for name, other in zip(names, found, strict=False):
        if name != other:
            break
        depth += 1
    return depth


def _header_keys(header: str) -> list[str]:
    return [part.strip().strip("\"'") for part in header.split(".")]


__all__ = [
    "digest",
    "join",
    "find_line",
    "parse",
    "split",
]
