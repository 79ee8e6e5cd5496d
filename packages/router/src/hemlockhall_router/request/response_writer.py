"""Writing of the response to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.connection.body import SEND_BYTES
from hemlockhall_router.connection.message import (
    REASON_PHRASES,
    encode_response_head,
    end_to_end_headers,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.caller import CallerReader
    from hemlockhall_router.connection.message import (
        Headers,
        RequestHead,
        Response,
        ResponseHead,
    )

CLOSE = (b"Connection", b"close")
# Statuses of which each tells the caller that the request was not and will not be
# executed. Others, such as 401 and 404, mean this too.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


class ResponseWriter:
    """Writes the response to one request.

    ``close_connection`` tells whether the connection is closed after the response;
    it cannot be used again if the response is not ``complete``. ``status`` is 0
    until the head is sent.

    Parameters
    ----------
    reader : CallerReader
        The caller's connection.
    head : RequestHead
        The request that is responded to.
    should_close : callable
        Returns whether the connection should be closed after this response.
    """

    def __init__(
        self, reader: CallerReader, head: RequestHead, should_close: Callable[[], bool]
    ) -> None:
        self._reader = reader
        self._head = head
        self._should_close = should_close
        self.status = 0
        self.close_connection = False
        self.complete = False

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self.status != 0

    async def forward(self, response: Response) -> None:
        """Send an endpoint's complete response, without its hop-by-hop headers."""
        headers = _forwarded_headers(response.head.headers)
        headers.append((b"Content-Length", b"%d" % len(response.body)))
        body = b"" if self._head.method == b"HEAD" else response.body
        status, reason = response.head.status, response.head.reason
        if len(body) > SEND_BYTES:
            # With the head it would be one more copy.
            await self._send(status, reason, headers, b"")
            await self._reader.send_body(response)
        else:
            await self._send(status, reason, headers, body)
        self.complete = True

    async def local_reply(
        self, status: int, text: str, retry_after_s: float | None = None
    ) -> None:
        """Send a plain-text response of this host itself."""
        body = text.encode() + b"\n"
        headers: Headers = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        if self._head.method == b"HEAD":
            body = b""
        await self._send(status, REASON_PHRASES.get(status, b""), headers, body)
        self.complete = True

    async def start_stream(self, head: ResponseHead) -> None:
        """Send the head of a stream; its events follow as chunks."""
        headers = _forwarded_headers(head.headers)
        headers.append((b"Transfer-Encoding", b"chunked"))
        await self._send(head.status, head.reason, headers, b"")

    async def send_events(self, data: bytes) -> None:
        """Send complete events of a stream as one chunk."""
        await self._reader.send(b"%x\r\n%b\r\n" % (len(data), data))

    async def end_stream(self) -> None:
        """End a complete stream."""
        await self._reader.send(b"0\r\n\r\n")
        self.complete = True

    async def _send(
        self, status: int, reason: bytes, headers: Headers, body: bytes
    ) -> None:
        self.close_connection = (
            self.close_connection or self._should_close() or not self._head.keep_alive
        )
        if self.close_connection:
            headers.append(CLOSE)
        self.status = status
        await self._reader.send(encode_response_head(status, reason, headers) + body)


def _forwarded_headers(headers: Headers) -> Headers:
    kept = end_to_end_headers(headers)
    return [(key, value) for key, value in kept if key.lower() != b"content-length"]


__all__ = [
    "NOT_EXECUTED_STATUSES",
    "ResponseWriter",
]
