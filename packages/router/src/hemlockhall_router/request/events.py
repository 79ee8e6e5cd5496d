"""Splitting of a server-sent event stream (text/event-stream) into events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import Response

EVENT_STREAM = b"text/event-stream"
EVENT_END_LF = b"\n\n"
EVENT_END_CRLF = b"\r\n\r\n"


@dataclass(slots=True, frozen=True)
class Event:
    """An event as received, including the blank line that ends it, and its id."""

    raw: bytes
    id: bytes | None


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes; return the events that they complete."""
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
        """Whether the buffer holds an incomplete event."""
        return bool(self._pending.strip())


def ends_inside_event(response: Response) -> bool:
    """Return whether a whole response is a stream that was broken off.

    Without a length the end of its connection does not tell.
    """
    content_type = response.head.header(b"content-type") or b""
    if content_type.partition(b";")[0].strip().lower() != EVENT_STREAM:
        return False
    splitter = EventSplitter()
    splitter.feed(response.body)
    return splitter.partial


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
    "ends_inside_event",
]
