"""Reading of callers' requests from one connection."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httptools

from hemlockhall_router.connection.error import CallerDisconnectedError, CallerError
from hemlockhall_router.connection.message import RequestHead, encode_response_head

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from hemlockhall_router.connection.message import Headers

READ_BYTES = 65_536
# What a caller may send ahead while its request is served; enough for a few
# pipelined requests, little enough for thousands of connections.
AHEAD_BYTES = 65_536
# How long bytes of a refused request are still read, in seconds: closing with
# unread bytes resets the connection, and the reset can overtake the refusal.
LINGER_S = 0.5


@dataclass(slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(slots=True)
class _Message:
    headers: Headers = field(default_factory=list)
    target: bytes = b""
    head: RequestHead | None = None
    body: list[bytes] = field(default_factory=list)
    body_size: int = 0
    complete: bool = False


class _Events:
    """Receives the callbacks of the parser; requests may be pipelined."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.messages: deque[_Message] = deque()
        self._current = _Message()

    def on_message_begin(self) -> None:
        self._current = _Message()
        self.messages.append(self._current)

    def on_url(self, part: bytes) -> None:
        self._current.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self._current.headers.append((name, value))

    def on_headers_complete(self) -> None:
        message = self._current
        message.head = RequestHead(
            self.parser.get_method(),
            message.target,
            message.headers,
            self.parser.should_keep_alive(),
        )

    def on_body(self, part: bytes) -> None:
        self._current.body.append(part)
        self._current.body_size += len(part)

    def on_message_complete(self) -> None:
        self._current.complete = True


def check_head(head: RequestHead) -> None:
    """Raise ``CallerError`` where two readers could disagree on a request.

    A request that one reader ends at ``Content-Length`` and another at its
    last chunk lets a caller hide a second request in the body of the first;
    it would run with nobody's key. Refusing all such requests is enough.
    """
    lengths = hosts = 0
    chunked = False
    for key, value in head.headers:
        name = key.lower()
        if name == b"content-length":
            lengths += 1
        elif name == b"transfer-encoding":
            if chunked or value.strip().lower() != b"chunked":
                raise CallerError(400, "only the transfer coding chunked is read")
            chunked = True
        elif name == b"host":
            hosts += 1
        if key.strip() != key or not key:
            raise CallerError(400, "a header name has spaces; remove them")
    if lengths > 1 or (lengths and chunked):
        raise CallerError(400, "the length is given twice; send one of them")
    if hosts > 1:
        raise CallerError(400, "more than one Host header; send one")


class CallerReader:
    """Reads requests, and notices when the caller leaves.

    Parameters
    ----------
    stream : SocketStream
        The connection.
    limits : CallerLimits
        Bounds in force; replaced when the configuration changes.
    """

    def __init__(self, stream: SocketStream, limits: CallerLimits) -> None:
        self._stream = stream
        self.limits = limits
        self._events = _Events()
        self._ahead: list[bytes] = []
        self._head_bytes = 0
        self._broken: CallerError | None = None
        self.close_after = False

    async def read_head(self) -> RequestHead | None:
        """Return the head of the next request, or None when the caller is done."""
        self._head_bytes = 0
        deadline = time.monotonic() + self.limits.idle_s
        while True:
            message = self._events.messages[0] if self._events.messages else None
            if message is not None and message.head is not None:
                check_head(message.head)
                return message.head
            if self._broken is not None:
                raise self._broken
            started = message is not None or self._head_bytes > 0
            try:
                data = await self._receive(deadline)
            except TimeoutError:
                if started:
                    raise CallerError(408, "the head took too long") from None
                return None
            except CallerDisconnectedError:
                return None
            if not started:
                deadline = time.monotonic() + self.limits.header_s
            self._head_bytes += len(data)
            self._feed(data)
            message = self._events.messages[0] if self._events.messages else None
            done = message is not None and message.head is not None
            if not done and self._head_bytes > self.limits.header_bytes:
                raise CallerError(431, "the head is too large")
            if done and _head_size(message) > self.limits.header_bytes:
                raise CallerError(431, "the head is too large")

    async def read_body(self, deadline: float) -> bytes:
        """Return the whole body of the current request."""
        message = self._events.messages[0]
        while True:
            if message.body_size > self.limits.body_bytes:
                raise CallerError(413, "the body is too large")
            if message.complete:
                return b"".join(message.body)
            if self._broken is not None:
                raise self._broken
            try:
                self._feed(await self._receive(deadline))
            except TimeoutError:
                raise CallerError(408, "the body took too long") from None

    def finish_request(self) -> None:
        """Forget the current request, which has been answered."""
        message = self._events.messages.popleft()
        if not message.complete:
            self.close_after = True
        while self._ahead and not self._events.messages:
            self._feed(self._ahead.pop(0))

    async def wait_disconnect(self) -> None:
        """Return when the caller has left; keep what it sends ahead."""
        size = 0
        while size < AHEAD_BYTES:
            try:
                data = await self._receive(float("inf"))
            except CallerDisconnectedError:
                return
            size += len(data)
            self._ahead.append(data)
        # A caller that floods is not read on; it stays until it is answered.
        await anyio.sleep_forever()

    async def send(self, data: bytes) -> None:
        """Send bytes; raise ``CallerDisconnectedError`` if the caller has left."""
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise CallerDisconnectedError from exc

    async def refuse(self, exc: CallerError) -> None:
        """Answer a request that could not be read, and end the connection."""
        body = exc.text.encode() + b"\n"
        headers = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        try:
            await self.send(encode_response_head(exc.status, b"", headers) + body)
            await self.linger()
        except CallerDisconnectedError:
            return

    async def linger(self) -> None:
        """End our side and read what the caller still sends, for a moment."""
        deadline = time.monotonic() + LINGER_S
        try:
            await self._stream.send_eof()
            while True:
                await self._receive(deadline)
        except (TimeoutError, CallerDisconnectedError, OSError):
            return

    async def _receive(self, deadline: float) -> bytes:
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                return await self._stream.receive(READ_BYTES)
        except TimeoutError:
            # A subclass of OSError, so it must be told apart first.
            raise
        except anyio.EndOfStream as exc:
            raise CallerDisconnectedError from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise CallerDisconnectedError from exc

    def _feed(self, data: bytes) -> None:
        try:
            self._events.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served as it stands, without the upgrade; what
            # follows it would be read in two ways, so the connection ends.
            self.close_after = True
            if self._events.messages:
                self._events.messages[-1].complete = True
        except httptools.HttpParserError:
            self._broken = CallerError(400, "not a valid HTTP request")


def _head_size(message: _Message | None) -> int:
    if message is None:
        return 0
    size = len(message.target)
    for key, value in message.headers:
        size += len(key) + len(value) + 4
    return size


__all__ = [
    "CallerLimits",
    "CallerReader",
    "check_head",
]
