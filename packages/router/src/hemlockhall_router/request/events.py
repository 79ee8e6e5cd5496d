"""Splitting of a server-sent event stream (text/event-stream) into events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_router.connection.error import SizeLimitError

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import Response

EVENT_STREAM = b"text/event-stream"
EVENT_END_LF = b"\n\n"
EVENT_END_CRLF = b"\r\n\r\n"
# Of an event that is not complete; hundreds of streams may have one each.
MAX_EVENT_BYTES = 131_072
# Of events in a row that add nothing: comments, and events whose number is not above
# that of an earlier one.
MAX_EMPTY_BYTES = 1024 * 1024


@dataclass(slots=True, frozen=True)
class Event:
    """An event as received, including the blank line that ends it, and its id."""

    raw: bytes
    id: bytes | None


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._empty_bytes = 0
        # Length and digits of the largest number of an event, which compare like it.
        self._last_number = (0, b"")

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes; return the events that they complete.

        Raises
        ------
        SizeLimitError
            If an earlier call left more than ``MAX_EVENT_BYTES`` of an event, or more
            than ``MAX_EMPTY_BYTES`` of events in a row add nothing.
        """
        if len(self._pending) > MAX_EVENT_BYTES:
            raise SizeLimitError(f"an event exceeds {MAX_EVENT_BYTES} bytes", "event")
        if not self._pending:
            events, rest = self._split(data, 0)
            if rest < len(data):
                self._pending += data[rest:]
            return events
        # The end may have begun in the bytes before.
        searched = max(0, len(self._pending) + 1 - len(EVENT_END_CRLF))
        self._pending += data
        events, rest = self._split(self._pending, searched)
        if rest:
            del self._pending[:rest]
        return events

    def _split(self, data: bytes | bytearray, searched: int) -> tuple[list[Event], int]:
        """Return the events in bytes, and the index of the first byte after them.

        There is no end of an event before the index ``searched``.
        """
        events: list[Event] = []
        start = 0
        plain = data.find(EVENT_END_LF, searched)
        crlf = data.find(EVENT_END_CRLF, searched)
        while plain >= 0 or crlf >= 0:
            if crlf < 0 or 0 <= plain < crlf:
                end = plain + len(EVENT_END_LF)
            else:
                end = crlf + len(EVENT_END_CRLF)
            raw = bytes(data[start:end])
            event = Event(raw, _id(raw))
            self._count_empty(event)
            events.append(event)
            start = end
            if 0 <= plain < start:
                plain = data.find(EVENT_END_LF, start)
            if 0 <= crlf < start:
                crlf = data.find(EVENT_END_CRLF, start)
        return events, start

    def _count_empty(self, event: Event) -> None:
        """Raise ``SizeLimitError`` if too many events in a row add nothing."""
        event_id = event.id
        if event_id is not None and event_id.isdigit():
            digits = event_id.lstrip(b"0")
            number = (len(digits), digits)
            if number > self._last_number:
                self._last_number = number
                self._empty_bytes = 0
                return
        elif _has_data(event.raw):
            self._empty_bytes = 0
            return
        self._empty_bytes += len(event.raw)
        if self._empty_bytes > MAX_EMPTY_BYTES:
            raise SizeLimitError(
                f"{MAX_EMPTY_BYTES} bytes of events add nothing", "events"
            )

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
    body, end = response.body, 0
    for ending in (EVENT_END_LF, EVENT_END_CRLF):
        found = body.rfind(ending)
        if found >= 0:
            end = max(end, found + len(ending))
    return bool(body[end:].strip())


def _has_data(raw: bytes) -> bool:
    return raw.startswith(b"data") or b"\ndata" in raw or b"\rdata" in raw


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
