"""HTTP transport whose responses have a bound in bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Of the body of one response, as it is sent, and of those that are received at a time.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_TOTAL_BYTES = 48 * 1024 * 1024


class BoundedTransport(httpx.AsyncBaseTransport):
    """Ends a response whose body is too large with ``httpx.ReadError``.

    When those that are received at the same time exceed ``max_total_bytes``, the
    largest one ends: one without an end takes no room from the others. Content codings
    are not asked for, as their result may be far larger.

    Parameters
    ----------
    max_body_bytes : int
        Bound of one body.
    max_total_bytes : int
        Bound of the bodies that are not complete.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self._transport = httpx.AsyncHTTPTransport()
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self._open: set[_BoundedStream] = set()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response, whose body is read later."""
        request.headers["accept-encoding"] = "identity"
        response = await self._transport.handle_async_request(request)
        response.stream = _BoundedStream(response.stream, self)
        return response

    async def aclose(self) -> None:
        """Close the connections."""
        await self._transport.aclose()

    def add(self, stream: _BoundedStream, size: int) -> None:
        """Count bytes of an open stream; end the largest ones if need be."""
        self._open.add(stream)
        stream.size += size
        if stream.size > self.max_body_bytes:
            stream.ended = True
        while sum(other.size for other in self._open) > self.max_total_bytes:
            largest = max(self._open, key=_size)
            largest.ended = True
            self._open.discard(largest)

    def remove(self, stream: _BoundedStream) -> None:
        """Forget a stream that is complete or closed."""
        self._open.discard(stream)


class _BoundedStream(httpx.AsyncByteStream):
    """The body of a response."""

    def __init__(self, stream: object, transport: BoundedTransport) -> None:
        assert isinstance(stream, httpx.AsyncByteStream)
        self._stream = stream
        self._transport = transport
        self.size = 0
        self.ended = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for part in self._stream:
            self._transport.add(self, len(part))
            if self.ended:
                raise httpx.ReadError("the body of the response is too large")
            yield part

    async def aclose(self) -> None:
        self._transport.remove(self)
        await self._stream.aclose()


def _size(stream: _BoundedStream) -> int:
    return stream.size


__all__ = [
    "BoundedTransport",
]
