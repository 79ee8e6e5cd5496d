"""Memory of bodies that are received in several reads, and of sockets."""

from __future__ import annotations

import time
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from socket import SO_RCVBUF, SOL_SOCKET
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from hemlockhall_router.connection.error import (
    CallerStalledError,
    MemoryLimitError,
    SizeLimitError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from anyio.abc import SocketStream

# Together on this host, which may have 300 MB. A body exists twice while its parts are
# joined.
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
# Time without progress after which a body gives way that is sent to a caller.
STALLED_SEND_S = 1.0
# Parts below this size are collected: each is an object.
MIN_PART_BYTES = 16_384
# Written at once: what the socket does not take is copied.
SEND_BYTES = 65_536
# Of the kernel for one connection. The event loop reads as much at once, before it is
# told to stop, and hundreds of connections may send at full speed.
RECEIVE_BUFFER_BYTES = 32_768


class BodyBudget:
    """Bounds the memory of several ``BodyBuffer`` together, and of bytes before them.

    When it is spent, the largest incomplete body gives way: one without an end takes
    no room from the others. Before that those give way whose callers do not read them:
    they are complete, and nothing else ends them. ``used`` are the bytes of bodies,
    ``read_ahead`` those that were received and not parsed yet.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._incomplete: set[BodyBuffer] = set()
        self._sendings: set[Sending] = set()
        self.used = 0
        self.read_ahead = 0

    def open(self, max_bytes: int) -> BodyBuffer:
        """Return an empty buffer of at most ``max_bytes``; its user closes it."""
        buffer = BodyBuffer(self, max_bytes)
        self._incomplete.add(buffer)
        return buffer

    def take(self, count: int) -> None:
        """Take bytes for an incomplete buffer; empty others, or it, if need be."""
        self.used += count
        while self.used > self._max_bytes and self._end_stalled():
            continue
        while self.used > self._max_bytes and self._incomplete:
            max(self._incomplete, key=_size).close()

    def _end_stalled(self) -> bool:
        """End the sending that has waited longest; return whether one has stalled."""
        oldest = min(self._sendings, key=_progress_at, default=None)
        if oldest is None or time.monotonic() - oldest.progress_at < STALLED_SEND_S:
            return False
        self._sendings.discard(oldest)
        oldest.end()
        return True

    def add_sending(self, sending: Sending) -> None:
        """Let a body give way if its caller takes nothing of it."""
        self._sendings.add(sending)

    def remove_sending(self, sending: Sending) -> None:
        """Forget a body that was sent, or will not be."""
        self._sendings.discard(sending)

    def has_room(self, count: int) -> bool:
        """Return whether so many bytes may be read ahead."""
        return self.used + self.read_ahead + count <= self._max_bytes

    def hold(self, count: int) -> None:
        """Count bytes that were read ahead; fewer if ``count`` is negative.

        No body gives way for them: they are read only while there is room.
        """
        self.read_ahead += count

    def give_back(self, count: int) -> None:
        """Give bytes back."""
        self.used -= count

    def remove(self, buffer: BodyBuffer) -> None:
        """Forget a buffer that is complete or closed."""
        self._incomplete.discard(buffer)


class BodyBuffer:
    """A body as far as it was received; ``size`` is in bytes.

    Once complete, it keeps its part of the budget until the last reference to it is
    dropped: the body is in memory until it was forwarded.
    """

    def __init__(self, budget: BodyBudget, max_bytes: int) -> None:
        self._budget = budget
        self._max_bytes = max_bytes
        # Large parts stay apart: a buffer that grows is copied again and again, and
        # many that grow at the same time leave holes in the memory.
        self._parts: list[bytes] = []
        self._small = bytearray()
        self._closed = False
        self.size = 0

    def append(self, part: bytes) -> None:
        """Add bytes.

        Raises ``SizeLimitError`` if there are too many, ``MemoryLimitError`` if all
        bodies together are too large and this one gives way.
        """
        if self.size + len(part) > self._max_bytes:
            raise SizeLimitError(f"the body exceeds {self._max_bytes} bytes")
        if not self._closed:
            self.size += len(part)
            self._budget.take(len(part))
        if self._closed:
            raise MemoryLimitError("all bodies together exceed the memory")
        if len(part) < MIN_PART_BYTES:
            self._small += part
            if len(self._small) < MIN_PART_BYTES:
                return
            part = b""
        if self._small:
            self._parts.append(bytes(self._small))
            self._small = bytearray()
        if part:
            self._parts.append(part)

    def complete(self) -> bytes:
        """Return the whole body."""
        self._budget.remove(self)
        data = b"".join((*self._parts, self._small))
        self._parts, self._small = [], bytearray()
        return data

    @contextmanager
    def sending(self) -> Iterator[Sending]:
        """Send the complete body within the context, which may be cancelled for it.

        Raises
        ------
        CallerStalledError
            If the caller took nothing for a while, and others need the memory.
        """
        sending = Sending(self, time.monotonic())
        self._budget.add_sending(sending)
        try:
            with sending.scope:
                yield sending
        finally:
            self._budget.remove_sending(sending)
        if sending.scope.cancelled_caught:
            raise CallerStalledError

    def close(self) -> None:
        """Drop the bytes and give them back; further calls have no effect."""
        if self._closed:
            return
        self._closed = True
        self._parts, self._small = [], bytearray()
        self._budget.remove(self)
        self._budget.give_back(self.size)

    def __del__(self) -> None:
        self.close()


@dataclass(slots=True, eq=False)
class Sending:
    """A complete body on its way to a caller.

    The caller took the latest part of it at ``progress_at``, a monotonic time.
    """

    buffer: BodyBuffer
    progress_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def record_progress(self) -> None:
        """Record that the caller took a part."""
        self.progress_at = time.monotonic()

    def end(self) -> None:
        """Send no more, and give the bytes back."""
        self.buffer.close()
        self.scope.cancel()


def _size(buffer: BodyBuffer) -> int:
    return buffer.size


def _progress_at(sending: Sending) -> float:
    return sending.progress_at


def limit_receive_buffer(stream: SocketStream) -> None:
    """Bound what the kernel receives before it is read, unless it is closed."""
    sock = stream.extra(SocketAttribute.raw_socket)
    with suppress(OSError):
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    stream._transport.max_size = RECEIVE_BUFFER_BYTES  # type: ignore[attr-defined]


async def receive(stream: SocketStream, max_bytes: int) -> bytes:
    """Receive bytes, and leave the rest in the socket until the next call.

    A new transport reads, and the stream stops it only once it finds nothing to
    receive: the queue of a peer that always has more to send has no bound.
    """
    try:
        return await stream.receive(max_bytes)
    finally:
        stream._transport.pause_reading()  # type: ignore[attr-defined]  # noqa: SLF001


async def send_in_parts(
    stream: SocketStream,
    data: bytes,
    on_progress: Callable[[], None] = lambda: None,
) -> None:
    """Send bytes, of which only a part is copied at a time.

    After each part ``on_progress`` is called.
    """
    if len(data) <= SEND_BYTES:
        await stream.send(data)
        on_progress()
        return
    for first in range(0, len(data), SEND_BYTES):
        await stream.send(data[first : first + SEND_BYTES])
        on_progress()


# Of the responses of endpoints, and of the requests of callers.
ENDPOINT_BODIES = BodyBudget()
CALLER_BODIES = BodyBudget()


__all__ = [
    "CALLER_BODIES",
    "BodyBudget",
    "BodyBuffer",
    "ENDPOINT_BODIES",
    "limit_receive_buffer",
    "receive",
    "send_in_parts",
]
