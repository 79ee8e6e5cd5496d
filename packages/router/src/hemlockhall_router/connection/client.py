"""A connection on which this host sends requests, one at a time."""

from __future__ import annotations

import select
import time
from collections import deque
from typing import TYPE_CHECKING

import anyio
import httptools
from anyio.abc import SocketAttribute

from hemlockhall_router.connection.error import BrokenError, NoHttpError, NotSentError
from hemlockhall_router.connection.message import Response, ResponseHead

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from hemlockhall_router.connection.message import Headers

# Large enough for a whole answer of a plain service in one read.
READ_BYTES = 65_536
# An answer of a plain service is held whole; a larger one is refused so that
# an endpoint cannot fill the memory of this host.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
BODILESS = frozenset((204, 304))


class _Events:
    """Receives the callbacks of the parser for one response after another."""

    def __init__(self) -> None:
        self.headers: Headers = []
        self.reason = b""
        self.heads: deque[tuple[bytes, Headers]] = deque()
        self.chunks: deque[bytes] = deque()
        self.complete = 0

    def on_message_begin(self) -> None:
        self.headers = []
        self.reason = b""

    def on_status(self, reason: bytes) -> None:
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.heads.append((self.reason, self.headers))

    def on_body(self, body: bytes) -> None:
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        self.complete += 1


class ClientConnection:
    """An open connection to an endpoint or to the store.

    ``reusable`` is true between two requests while nothing unexpected came.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._events = _Events()
        self._parser = httptools.HttpResponseParser(self._events)
        self._head: ResponseHead | None = None
        self._until_close = False
        self._bodiless = False
        self._ended = True
        self._closed = False
        self.reusable = True
        self.idle_deadline = float("inf")

    @classmethod
    async def open(cls, host: str, port: int, deadline: float) -> ClientConnection:
        """Connect before ``deadline`` or raise ``NotSentError``."""
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as exc:
            raise NotSentError(f"{host}:{port} did not accept in time") from exc
        except OSError as exc:
            raise NotSentError(f"{host}:{port} cannot be reached: {exc}") from exc
        return cls(stream)

    async def send(self, text: bytes, deadline: float) -> None:
        """Send a whole request; an error means that it may have run."""
        self._head = None
        self._ended = False
        self._until_close = False
        self.reusable = False
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                await self._stream.send(text)
        except TimeoutError as exc:
            raise BrokenError("the request could not be sent in time") from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise BrokenError("the connection broke while sending") from exc

    async def head(self, deadline: float, *, bodiless: bool = False) -> ResponseHead:
        """Return the head of the next final response."""
        while True:
            while not self._events.heads:
                await self._read(deadline)
            reason, headers = self._events.heads.popleft()
            status = self._parser.get_status_code()
            if status >= 200:
                break
            # An interim response announces the final one; nothing is relayed.
            self._events.complete = 0
        keep_alive = self._parser.should_keep_alive()
        self._head = ResponseHead(status, reason, headers, keep_alive)
        self._bodiless = bodiless or status in BODILESS
        framed = self._head.header(b"content-length") is not None
        chunked = self._head.header(b"transfer-encoding") is not None
        self._until_close = not framed and not chunked and not self._bodiless
        return self._head

    async def chunk(self, deadline: float) -> bytes | None:
        """Return the next bytes of the body, or None when it is complete.

        Raises
        ------
        BrokenError
            If the connection broke, or nothing came before ``deadline``.
        """
        while True:
            if self._events.chunks:
                return self._events.chunks.popleft()
            if self._events.complete or self._bodiless or self._ended:
                self._finish()
                return None
            try:
                await self._read(deadline)
            except _CleanEnd:
                if not self._until_close:
                    raise BrokenError("the answer ended before its end") from None
                self._ended = True

    async def whole(self, deadline: float, *, bodiless: bool = False) -> Response:
        """Return a response with its complete body."""
        head = await self.head(deadline, bodiless=bodiless)
        parts = []
        size = 0
        while True:
            part = await self.chunk(deadline)
            if part is None:
                return Response(head, b"".join(parts))
            size += len(part)
            if size > BODY_LIMIT_BYTES:
                raise NoHttpError(f"a body of over {BODY_LIMIT_BYTES} bytes")
            parts.append(part)

    def _finish(self) -> None:
        if self._head is None or self._ended:
            return
        self._ended = True
        clean = not self._events.heads and not self._events.chunks
        exact = self._events.complete == 1 or self._bodiless
        self.reusable = clean and exact and self._head.keep_alive
        self._events.complete = 0
        if self._until_close or self._bodiless:
            self.reusable = False

    async def _read(self, deadline: float) -> None:
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                data = await self._stream.receive(READ_BYTES)
        except TimeoutError as exc:
            raise BrokenError("nothing came in time") from exc
        except anyio.EndOfStream as exc:
            if self._head is not None:
                raise _CleanEnd from exc
            raise BrokenError("closed before an answer") from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise BrokenError("the connection broke") from exc
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise NoHttpError("the endpoint switched protocols") from exc
        except httptools.HttpParserError as exc:
            # What came before the spoilt bytes may be a complete answer.
            if self._events.complete:
                self.reusable = False
                return
            raise NoHttpError(f"not an HTTP response: {exc}") from exc

    def quiet(self) -> bool:
        """Return whether nothing came since the last answer.

        Bytes on an idle connection answer nobody's request, and a closed one
        would lose the next request; neither may be used again.
        """
        if not self.reusable or time.monotonic() > self.idle_deadline:
            return False
        # The socket is not read while idle, so the kernel holds what came.
        poll = select.poll()
        poll.register(self._stream.extra(SocketAttribute.raw_socket), select.POLLIN)
        return not poll.poll(0)

    async def close(self) -> None:
        """Close the connection; an endpoint stops work on what it serves."""
        if self._closed:
            return
        self._closed = True
        self.reusable = False
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


class _CleanEnd(Exception):
    """The endpoint ended its side after the head, without a reset."""


__all__ = [
    "ClientConnection",
]
