"""Events of a stream (text/event-stream), taken whole."""

from __future__ import annotations

from dataclasses import dataclass

EVENT_END_LF = b"\n\n"
EVENT_END_CRLF = b"\r\n\r\n"


@dataclass(slots=True, frozen=True)
class Event:
    """An event as sent, with its id."""

    raw: bytes
    id: bytes | None


class EventSplitter:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete now."""
        self._pending += data
        events: list[Event] = []
        while True:
            end = _end(self._pending)
            if end < 0:
                return events
            raw, self._pending = self._pending[:end], self._pending[end:]
            events.append(Event(raw, _id(raw)))

    @property
    def partial(self) -> bool:
        """Whether the bytes so far stop inside an event."""
        return bool(self._pending.strip())


def _end(data: bytes) -> int:
    plain = data.find(EVENT_END_LF)
    crlf = data.find(EVENT_END_CRLF)
    if plain < 0 and crlf < 0:
        return -1
    if crlf < 0 or 0 <= plain < crlf:
        return plain + len(EVENT_END_LF)
    return crlf + len(EVENT_END_CRLF)


def _id(data: bytes) -> bytes | None:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


__all__ = [
    "Event",
    "EventSplitter",
]
