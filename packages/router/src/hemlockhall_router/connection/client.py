"""A connection on which this host sends requests, one at a time."""

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
    NotSentError,
    ProtocolError,
    ReadTimeoutError,
)
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


@dataclass(slots=True)
class _Message:
    """One response as far as it has come.

    Each holds its own bytes: a late answer to an earlier request may arrive
    in one read with the answer that is due.
    """

    headers: Headers = field(default_factory=list)
    reason: bytes = b""
    head: ResponseHead | None = None
    chunks: deque[bytes] = field(default_factory=deque)
    complete: bool = False


class _Events:
    """Receives the callbacks of the parser for one response after another."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.messages: deque[_Message] = deque()
        self._current = _Message()

    def on_message_begin(self) -> None:
        self._current = _Message()
        self.messages.append(self._current)

    def on_status(self, reason: bytes) -> None:
        self._current.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._current.headers.append((name, value))

    def on_headers_complete(self) -> None:
        message = self._current
        message.head = ResponseHead(
            self.parser.get_status_code(),
            message.reason,
            message.headers,
            self.parser.should_keep_alive(),
        )

    def on_body(self, body: bytes) -> None:
        self._current.chunks.append(body)

    def on_message_complete(self) -> None:
        self._current.complete = True


class ClientConnection:
    """An open connection to an endpoint or to the store.

    ``reusable`` is true between two requests while nothing unexpected came.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._events = _Events()
        self._message: _Message | None = None
        self._until_close = False
        self._bodiless = False
        self._closed = False
        self._spoilt = False
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
        self._message = None
        self.reusable = False
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                await self._stream.send(text)
        except TimeoutError as exc:
            raise ConnectionLostError("the request could not be sent in time") from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise ConnectionLostError("the connection broke while sending") from exc

    async def read_head(
        self, deadline: float, *, no_body: bool = False
    ) -> ResponseHead:
        """Return the head of the next final response."""
        self.reusable = False
        messages = self._events.messages
        while True:
            while not messages or messages[0].head is None:
                await self._read(deadline)
            message = messages.popleft()
            assert message.head is not None
            if message.head.status >= 200:
                break
            # An interim response announces the final one; nothing is relayed.
        head = message.head
        self._message = message
        self._bodiless = no_body or head.status in BODILESS
        framed = head.header(b"content-length") is not None
        chunked = head.header(b"transfer-encoding") is not None
        self._until_close = not framed and not chunked and not self._bodiless
        return head

    async def read_chunk(self, deadline: float) -> bytes | None:
        """Return the next bytes of the body, or None when it is complete.

        Raises
        ------
        ConnectionLostError
            If the connection broke, or nothing came before ``deadline``.
        """
        message = self._message
        while message is not None:
            if message.chunks:
                return message.chunks.popleft()
            if message.complete or self._bodiless:
                break
            try:
                await self._read(deadline)
            except _CleanEnd:
                if not self._until_close:
                    raise ConnectionLostError(
                        "the answer ended before its end"
                    ) from None
                break
        self._finish()
        return None

    async def read_response(
        self, deadline: float, *, no_body: bool = False
    ) -> Response:
        """Return a response with its complete body."""
        head = await self.read_head(deadline, no_body=no_body)
        parts: list[bytes] = []
        size = 0
        while True:
            part = await self.read_chunk(deadline)
            if part is None:
                return Response(head, b"".join(parts))
            size += len(part)
            if size > BODY_LIMIT_BYTES:
                raise ProtocolError(f"a body of over {BODY_LIMIT_BYTES} bytes")
            parts.append(part)

    def _finish(self) -> None:
        message, self._message = self._message, None
        if message is None or message.head is None:
            return
        # More than this answer came, or its end is the connection's.
        exact = message.complete and not self._events.messages
        kept = message.head.keep_alive and not self._bodiless
        self.reusable = exact and kept and not self._until_close and not self._spoilt

    async def _read(self, deadline: float) -> None:
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                data = await self._stream.receive(READ_BYTES)
        except TimeoutError as exc:
            raise ReadTimeoutError("nothing came in time") from exc
        except anyio.EndOfStream as exc:
            if self._message is not None:
                raise _CleanEnd from exc
            raise ConnectionLostError("closed before an answer") from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise ConnectionLostError("the connection broke") from exc
        try:
            self._events.parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise ProtocolError("the endpoint switched protocols") from exc
        except httptools.HttpParserError as exc:
            # What came before the spoilt bytes may be a complete answer.
            self._spoilt = True
            last = self._events.messages[0] if self._events.messages else self._message
            if last is not None and last.complete:
                return
            raise ProtocolError(f"not an HTTP response: {exc}") from exc

    def is_usable(self) -> bool:
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
