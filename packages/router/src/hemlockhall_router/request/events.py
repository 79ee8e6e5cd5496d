"""Events of a stream (text/event-stream), taken whole."""

from __future__ import annotations

from dataclasses import dataclass

END = b"\n\n"
END_CRLF = b"\r\n\r\n"


@dataclass(slots=True, frozen=True)
class Event:
    """An event as sent, with its id."""

    text: bytes
    id: bytes | None


class Splitter:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete now."""
        self._rest += data
        events: list[Event] = []
        while True:
            end = _end(self._rest)
            if end < 0:
                return events
            text, self._rest = self._rest[:end], self._rest[end:]
            events.append(Event(text, _id(text)))

    @property
    def partial(self) -> bool:
        """Whether the bytes so far stop inside an event."""
        return bool(self._rest.strip())


def _end(text: bytes) -> int:
    plain = text.find(END)
    crlf = text.find(END_CRLF)
    if plain < 0 and crlf < 0:
        return -1
    if crlf < 0 or 0 <= plain < crlf:
        return plain + len(END)
    return crlf + len(END_CRLF)


def _id(text: bytes) -> bytes | None:
    for line in text.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


__all__ = [
    "Event",
    "Splitter",
]
