"""Reads callers' requests and sends the responses, on one connection."""

from __future__ import annotations

import select
import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httptools
from anyio.abc import SocketAttribute

from hemlockhall_router.connection.body import (
    CALLER_BODIES,
    BodyBuffer,
    receive,
    send_in_parts,
)
from hemlockhall_router.connection.error import (
    CallerDisconnectedError,
    CallerError,
    MemoryLimitError,
    ProtocolError,
)
from hemlockhall_router.connection.message import RequestHead, encode_response_head

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from hemlockhall_router.connection.message import Headers, Response

READ_BYTES = 65_536
# Bytes buffered while a request is served: enough for a few pipelined requests, few
# enough for thousands of connections.
MAX_PIPELINED_BYTES = 65_536
# Parsed at once: all requests in it are, and a parsed one is many times as large.
PARSE_BYTES = 4096
# Bytes of chunk sizes, chunk extensions and trailers that may come with no byte of the
# body; each byte of the body allows for one more of them, up to that.
MAX_FRAMING_BYTES = 262_144
# What a header field counts besides its name and value: its colon, space and line end.
FIELD_OVERHEAD_BYTES = 4
# Closing a socket with unread bytes resets the connection, and the reset can reach
# the caller before the response: the rest of a refused request is read for this long.
LINGERING_CLOSE_S = 0.5
# The same for a body of which the caller may have much to send.
LINGERING_BODY_S = 10.0
# Retry-After of a request whose body has no memory: the others come and go.
RETRY_AFTER_MEMORY_S = 0.5
# Interval of looking for the close of a caller that is not read from.
CLOSE_POLL_S = 0.1
# Events of a socket whose other end has closed or reset the connection. They show
# before the bytes that arrived ahead of the close are read.
CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(slots=True)
class CallerLimits:
    """Limits on the size and duration of requests.

    ``header_bytes`` limits the whole head and ``body_bytes`` the body. A head must be
    complete ``header_s`` after its first byte; one that began to arrive before the
    previous request was answered has ``idle_s`` instead. A connection without a request
    is closed after ``idle_s``.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(slots=True)
class _ParsedRequest:
    headers: Headers = field(default_factory=list)
    target: bytes = b""
    head: RequestHead | None = None
    # Of the target and the header fields, in bytes.
    head_size: int = 0
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False


class _RequestCollector:
    """Collects the callbacks of httptools; requests may be pipelined.

    Of a head that exceeds ``header_bytes`` the first fields are kept.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque[_ParsedRequest] = deque()
        self._current = _ParsedRequest()
        self.header_bytes = 0

    def on_message_begin(self) -> None:
        self._current = _ParsedRequest()
        self.requests.append(self._current)

    def on_url(self, part: bytes) -> None:
        self._current.target += part
        self._current.head_size += len(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        request = self._current
        # Trailers are dropped: they are no part of the head, which was checked.
        if request.head is not None:
            return
        request.head_size += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if request.head_size <= self.header_bytes:
            request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        request = self._current
        request.head = RequestHead(
            self.parser.get_method(),
            request.target,
            request.headers,
            self.parser.should_keep_alive(),
        )

    def on_body(self, part: bytes) -> None:
        self._current.body += part

    def on_message_complete(self) -> None:
        self._current.complete = True


def check_framing(head: RequestHead) -> None:
    """Raise ``CallerError`` if a request's framing or host is ambiguous.

    If this host and an endpoint disagree on where a request ends, a caller can
    smuggle a second request in the body of the first, past the check of its API key.
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
    """Reads requests, sends responses and detects that the caller disconnects.

    ``close_after_response`` is true if the connection must be closed after the current
    response.

    Parameters
    ----------
    stream : SocketStream
        The connection.
    limits : CallerLimits
        Limits in force; replaced when the configuration changes.
    """

    def __init__(self, stream: SocketStream, limits: CallerLimits) -> None:
        self._stream = stream
        self.limits = limits
        self._collector = _RequestCollector()
        # Received and not parsed yet.
        self._pipelined: deque[bytes] = deque()
        self._pipelined_bytes = 0
        self._head_bytes = 0
        self._parse_error: CallerError | None = None
        # Holds the memory of a large body until its request is answered.
        self._body: BodyBuffer | None = None
        self.body_budget = CALLER_BODIES
        self.close_after_response = False

    async def read_head(self) -> RequestHead | None:
        """Return the head of the next request, or None if the connection ended.

        That is, if the caller closed it or sent nothing within the idle time.

        Raises
        ------
        CallerError
            If the head is invalid, too large or too slow.
        """
        self._head_bytes = 0
        deadline = time.monotonic() + self.limits.idle_s
        while True:
            request = self._collector.requests[0] if self._collector.requests else None
            if request is not None and request.head is not None:
                check_framing(request.head)
                return request.head
            if self._parse_error is not None:
                raise self._parse_error
            started = request is not None or self._head_bytes > 0
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
            self._buffer(data)
            self._parse()
            request = self._collector.requests[0] if self._collector.requests else None
            done = request is not None and request.head is not None
            if not done and self._head_bytes > self.limits.header_bytes:
                raise CallerError(431, "the head is too large")
            if done and request.head_size > self.limits.header_bytes:
                raise CallerError(431, "the head is too large")

    async def read_body(self, deadline: float) -> bytes:
        """Return the whole body of the current request.

        Raises
        ------
        CallerError
            If the body is invalid, too large or not complete before ``deadline``, if
            more than ``MAX_FRAMING_BYTES`` come with hardly a byte of it, or if the
            bodies of all callers exceed their memory.
        """
        request = self._collector.requests[0]
        framing_bytes_left = MAX_FRAMING_BYTES
        while True:
            if request.complete and self._body is None:
                if len(request.body) > self.limits.body_bytes:
                    raise CallerError(413, "the body is too large")
                return bytes(request.body)
            self._store_body(request)
            if request.complete:
                return self._body.complete()
            if framing_bytes_left < 0:
                raise CallerError(400, "the chunks or trailers are too large")
            if self._parse_error is not None:
                raise self._parse_error
            try:
                data = await self._receive(deadline)
            except TimeoutError:
                raise CallerError(408, "the body took too long") from None
            self._buffer(data)
            self._parse()
            size = len(request.body)
            framing_bytes_left = min(
                MAX_FRAMING_BYTES,
                framing_bytes_left + size,
            )
            framing_bytes_left -= len(data) - size

    def _store_body(self, request: _ParsedRequest) -> None:
        """Move what has arrived of a body to the memory of such bodies."""
        if self._body is None:
            self._body = self.body_budget.open(self.limits.body_bytes)
        try:
            self._body.append(bytes(request.body))
        except MemoryLimitError:
            self._body = None
            raise CallerError(
                503,
                "this host has no memory for the body: come back later",
                RETRY_AFTER_MEMORY_S,
            ) from None
        except ProtocolError:
            self._drop_body()
            raise CallerError(413, "the body is too large") from None
        request.body.clear()

    def _drop_body(self) -> None:
        if self._body is not None:
            self._body.close()
            self._body = None

    def finish_request(self) -> None:
        """Drop the answered request; parse pipelined bytes if no other is buffered."""
        self._drop_body()
        request = self._collector.requests.popleft()
        if not request.complete:
            self.close_after_response = True
        self._parse()

    @property
    def disconnected(self) -> bool:
        """Whether the caller's close has arrived, also behind bytes that are unread."""
        sock = self._stream.extra(SocketAttribute.raw_socket)
        if sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock, CLOSE_EVENTS)
        return bool(poll.poll(0))

    async def wait_disconnect(self) -> None:
        """Return when the caller has disconnected; buffer pipelined bytes.

        Once ``MAX_PIPELINED_BYTES`` are buffered, or all callers together hold as much
        as they may, the rest stays in the socket until the current request is answered.
        """
        while self._pipelined_bytes < MAX_PIPELINED_BYTES and self.body_budget.has_room(
            READ_BYTES
        ):
            try:
                data = await self._receive(float("inf"))
            except CallerDisconnectedError:
                return
            self._buffer(data)
        while not self.disconnected:
            await anyio.sleep(CLOSE_POLL_S)

    async def send_body(self, response: Response) -> None:
        """Send the body of an endpoint's response.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected, or if it takes nothing of a large body whose
            memory others need (``CallerStalledError``).
        """
        if response.buffer is None:
            await self.send(response.body)
            return
        with response.buffer.sending() as sending:
            await self.send(response.body, sending.record_progress)

    async def send(
        self, data: bytes, on_progress: Callable[[], None] = lambda: None
    ) -> None:
        """Send bytes or raise ``CallerDisconnectedError``.

        After each part ``on_progress`` is called.
        """
        try:
            await send_in_parts(self._stream, data, on_progress)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise CallerDisconnectedError from exc

    async def send_error(
        self, exc: CallerError, linger_s: float = LINGERING_CLOSE_S
    ) -> None:
        """Send the response to an unreadable request and end the connection.

        What the caller still sends is read for up to ``linger_s`` seconds.
        """
        body = exc.text.encode() + b"\n"
        headers = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        if exc.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % exc.retry_after_s))
        try:
            await self.send(encode_response_head(exc.status, b"", headers) + body)
            await self.lingering_close(linger_s)
        except CallerDisconnectedError:
            return

    async def lingering_close(self, linger_s: float = LINGERING_CLOSE_S) -> None:
        """Close the sending side, and read on for up to ``linger_s`` seconds.

        Otherwise a reset could overtake the response.
        """
        deadline = time.monotonic() + linger_s
        try:
            await self._stream.send_eof()
            while True:
                await self._receive(deadline)
        except (TimeoutError, CallerDisconnectedError, OSError):
            return

    async def _receive(self, deadline: float) -> bytes:
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                return await receive(self._stream, READ_BYTES)
        except TimeoutError:
            # A subclass of OSError, which is handled below.
            raise
        except anyio.EndOfStream as exc:
            raise CallerDisconnectedError from exc
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
            raise CallerDisconnectedError from exc

    def _buffer(self, data: bytes) -> None:
        """Keep received bytes until they are parsed."""
        self._pipelined.append(data)
        self._count_buffered(len(data))

    def _count_buffered(self, count: int) -> None:
        self._pipelined_bytes += count
        self.body_budget.hold(count)

    def _parse(self) -> None:
        """Parse buffered bytes up to the end of the first request, or a little more."""
        requests = self._collector.requests
        while self._pipelined and not (requests and requests[0].complete):
            data = memoryview(self._pipelined.popleft())
            self._count_buffered(-len(data))
            while data and not (requests and requests[0].complete):
                self._feed(data[:PARSE_BYTES])
                data = data[PARSE_BYTES:]
                if self._parse_error is not None:
                    self.close()
                    return
            if data:
                # A copy, as the whole of what was received would stay in memory.
                self._pipelined.appendleft(bytes(data))
                self._count_buffered(len(data))

    def close(self) -> None:
        """Drop what is buffered; may be called more than once."""
        self._drop_body()
        self._count_buffered(-self._pipelined_bytes)
        self._pipelined.clear()

    def _feed(self, data: memoryview) -> None:
        self._collector.header_bytes = self.limits.header_bytes
        try:
            self._collector.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade. The bytes that follow are
            # ambiguous, so the connection is closed afterwards.
            self.close_after_response = True
            if self._collector.requests:
                self._collector.requests[-1].complete = True
        except httptools.HttpParserError:
            self._parse_error = CallerError(400, "not a valid HTTP request")


__all__ = [
    "LINGERING_BODY_S",
    "CallerLimits",
    "CallerReader",
    "check_framing",
]
