"""HTTP/1.1 client connection, used for one request at a time."""

from __future__ import annotations

import select
import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httptools
from anyio.abc import SocketAttribute

from hemlockhall_router.connection.error import (
    ConnectionLostError,
    ConnectRefusedError,
    NotSentError,
    ProtocolError,
    ReadTimeoutError,
)
from hemlockhall_router.connection.message import Response, ResponseHead

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from hemlockhall_router.connection.message import Headers

# Most responses of services without streaming fit in one read.
READ_BYTES = 65_536
# Responses without streaming are buffered whole; the limit keeps a server from
# exhausting the memory of this host.
MAX_BODY_BYTES = 16 * 1024 * 1024
NO_BODY_STATUSES = frozenset((204, 304))


@dataclass(slots=True)
class _ParsedResponse:
    """One response as far as it was received.

    Each has its own buffer: a late response to an earlier request may arrive in the
    same read as the current one.
    """

    headers: Headers = field(default_factory=list)
    reason: bytes = b""
    head: ResponseHead | None = None
    chunks: deque[bytes] = field(default_factory=deque)
    complete: bool = False


class _ResponseCollector:
    """Collects the callbacks of httptools for successive responses."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.responses: deque[_ParsedResponse] = deque()
        self._current = _ParsedResponse()

    def on_message_begin(self) -> None:
        self._current = _ParsedResponse()
        self.responses.append(self._current)

    def on_status(self, reason: bytes) -> None:
        self._current.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._current.headers.append((name, value))

    def on_headers_complete(self) -> None:
        response = self._current
        response.head = ResponseHead(
            self.parser.get_status_code(),
            response.reason,
            response.headers,
            self.parser.should_keep_alive(),
        )

    def on_body(self, body: bytes) -> None:
        self._current.chunks.append(body)

    def on_message_complete(self) -> None:
        self._current.complete = True


class ClientConnection:
    """An open connection to an endpoint or to the store.

    ``reusable`` is true between two requests, unless the server closes the connection
    or the next response could not be told apart from the last one. It is not used after
    ``idle_deadline``, which its pool sets. Deadlines are monotonic times.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._collector = _ResponseCollector()
        self._current: _ParsedResponse | None = None
        self._reads_until_close = False
        self._no_body = False
        self._closed = False
        self._parse_failed = False
        self.reusable = True
        self.idle_deadline = float("inf")

    @classmethod
    async def open(cls, host: str, port: int, deadline: float) -> ClientConnection:
        """Connect before ``deadline``.

        Raises
        ------
        NotSentError
            If that fails; its subclass ``ConnectRefusedError`` if nothing
            listens there.
        """
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as exc:
            raise NotSentError(f"{host}:{port}: connection timed out") from exc
        except OSError as exc:
            error = ConnectRefusedError if _refused(exc) else NotSentError
            raise error(f"{host}:{port}: connection failed: {exc}") from exc
        return cls(stream)

    async def send(self, data: bytes, deadline: float) -> None:
        """Send a whole request.

        Raises
        ------
        ConnectionLostError
            If it was not sent completely; it may have run.
        """
        self._current = None
        self.reusable = False
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                await self._stream.send(data)
        except TimeoutError as exc:
            raise ConnectionLostError("timed out while sending the request") from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise ConnectionLostError("the connection broke while sending") from exc

    async def read_head(
        self, deadline: float, *, no_body: bool = False
    ) -> ResponseHead:
        """Return the head of the next final response, skipping interim ones (1xx).

        ``no_body`` is true if the request was HEAD, so that no body follows.

        Raises
        ------
        ConnectionLostError
            If the connection failed; its subclass ``ReadTimeoutError`` if nothing was
            received before ``deadline``.
        ProtocolError
            If the server did not send a valid HTTP response.
        """
        self.reusable = False
        responses = self._collector.responses
        while True:
            while not responses or responses[0].head is None:
                await self._read(deadline)
            response = responses.popleft()
            assert response.head is not None
            if response.head.status >= 200:
                break
        head = response.head
        self._current = response
        self._no_body = no_body or head.status in NO_BODY_STATUSES
        framed = head.header(b"content-length") is not None
        chunked = head.header(b"transfer-encoding") is not None
        self._reads_until_close = not framed and not chunked and not self._no_body
        return head

    async def read_chunk(self, deadline: float) -> bytes | None:
        """Return the next bytes of the body, or None when it is complete.

        Raises
        ------
        ConnectionLostError
            If the connection failed; its subclass ``ReadTimeoutError`` if nothing was
            received before ``deadline``.
        ProtocolError
            If the server did not send a valid HTTP response.
        """
        response = self._current
        while response is not None:
            if response.chunks:
                return response.chunks.popleft()
            if response.complete or self._no_body:
                break
            try:
                await self._read(deadline)
            except _EndOfStreamError:
                if not self._reads_until_close:
                    raise ConnectionLostError(
                        "connection closed before the end of the response"
                    ) from None
                break
        self._finish()
        return None

    async def read_response(
        self, deadline: float, *, no_body: bool = False
    ) -> Response:
        """Return a response with its complete body.

        Raises
        ------
        ConnectionLostError
            As in ``read_chunk``.
        ProtocolError
            If the body exceeds ``MAX_BODY_BYTES`` or is not valid HTTP.
        """
        head = await self.read_head(deadline, no_body=no_body)
        parts: list[bytes] = []
        size = 0
        while True:
            part = await self.read_chunk(deadline)
            if part is None:
                return Response(head, b"".join(parts))
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise ProtocolError(f"the body exceeds {MAX_BODY_BYTES} bytes")
            parts.append(part)

    def _finish(self) -> None:
        response, self._current = self._current, None
        if response is None or response.head is None:
            return
        # Not reusable if bytes followed the response, or if only the end of the
        # connection ends it.
        exact = response.complete and not self._collector.responses
        kept = response.head.keep_alive and not self._no_body
        self.reusable = (
            exact and kept and not self._reads_until_close and not self._parse_failed
        )

    async def _read(self, deadline: float) -> None:
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                data = await self._stream.receive(READ_BYTES)
        except TimeoutError as exc:
            raise ReadTimeoutError("nothing received before the deadline") from exc
        except anyio.EndOfStream as exc:
            if self._current is not None:
                raise _EndOfStreamError from exc
            raise ConnectionLostError("connection closed before a response") from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise ConnectionLostError("the connection broke") from exc
        try:
            self._collector.parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise ProtocolError("the server switched protocols") from exc
        except httptools.HttpParserError as exc:
            # The bytes before the invalid ones may be a complete response.
            self._parse_failed = True
            last = (
                self._collector.responses[0]
                if self._collector.responses
                else self._current
            )
            if last is not None and last.complete:
                return
            raise ProtocolError(f"not an HTTP response: {exc}") from exc

    def is_usable(self) -> bool:
        """Return whether another request may be sent.

        False if the idle time is over, if the server closed the connection, or if
        bytes arrived after the last response, which would be taken for the next one.
        """
        if not self.reusable or time.monotonic() > self.idle_deadline:
            return False
        # An idle socket is not read, so received bytes or a close show in poll().
        poll = select.poll()
        poll.register(self._stream.extra(SocketAttribute.raw_socket), select.POLLIN)
        return not poll.poll(0)

    async def close(self) -> None:
        """Close the connection; the server then stops work on an open request."""
        if self._closed:
            return
        self._closed = True
        self.reusable = False
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


def _refused(exc: BaseException | None) -> bool:
    """Return whether a connection was refused; anyio wraps the error."""
    while exc is not None:
        if isinstance(exc, ConnectionRefusedError):
            return True
        exc = exc.__cause__
    return False


class _EndOfStreamError(Exception):
    """The server closed the connection without a reset, after a head was read."""


__all__ = [
    "ClientConnection",
]
