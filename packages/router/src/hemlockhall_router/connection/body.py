"""Memory of response bodies that are received in several reads."""

from __future__ import annotations

from hemlockhall_router.connection.error import ProtocolError

# Together on this host. A body exists two or three times while it is forwarded, and a
# host may have 300 MB.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class BodyBudget:
    """Bounds the memory of several ``BodyBuffer`` together.

    When it is spent, the largest incomplete body gives way: one without an end takes
    no room from the others. ``used`` is in bytes.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._incomplete: set[BodyBuffer] = set()
        self.used = 0

    def open(self, max_bytes: int) -> BodyBuffer:
        """Return an empty buffer of at most ``max_bytes``; its user closes it."""
        buffer = BodyBuffer(self, max_bytes)
        self._incomplete.add(buffer)
        return buffer

    def take(self, count: int) -> None:
        """Take bytes for an incomplete buffer; empty the largest ones if need be."""
        self.used += count
        while self.used > self._max_bytes and self._incomplete:
            max(self._incomplete, key=_size).close()

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
        self._data = bytearray()
        self._closed = False
        self.size = 0

    def append(self, part: bytes) -> None:
        """Add bytes; raise ``ProtocolError`` if there are too many."""
        if self.size + len(part) > self._max_bytes:
            raise ProtocolError(f"the body exceeds {self._max_bytes} bytes")
        if not self._closed:
            self.size += len(part)
            self._budget.take(len(part))
        if self._closed:
            raise ProtocolError("the bodies of all responses exceed the memory")
        self._data += part

    def complete(self) -> bytes:
        """Return the whole body."""
        self._budget.remove(self)
        data, self._data = bytes(self._data), bytearray()
        return data

    def close(self) -> None:
        """Drop the bytes and give them back; further calls have no effect."""
        if self._closed:
            return
        self._closed = True
        self._data = bytearray()
        self._budget.remove(self)
        self._budget.give_back(self.size)

    def __del__(self) -> None:
        self.close()


def _size(buffer: BodyBuffer) -> int:
    return buffer.size


# Of the responses of endpoints.
ENDPOINT_BODIES = BodyBudget()


__all__ = [
    "BodyBudget",
    "BodyBuffer",
    "ENDPOINT_BODIES",
]
