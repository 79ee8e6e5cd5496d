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

from hemlockhall_router.connection.body import (
    ENDPOINT_BODIES,
    limit_receive_buffer,
    receive,
    send_in_parts,
)
from hemlockhall_router.connection.decoding import PORT_LIMIT, decode_number
from hemlockhall_router.connection.error import (
    ConnectionLostError,
    ConnectRefusedError,
    NotSentError,
    ProtocolError,
    ReadTimeoutError,
    SizeLimitError,
)
from hemlockhall_router.connection.message import Response, ResponseHead

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from hemlockhall_router.connection.message import Headers

# Most responses of services without streaming fit in one read.
READ_BYTES = 65_536
# RFC 9110, section 15: others are no responses.
STATUSES = range(100, 600)
# Responses without streaming are buffered whole; the limit keeps a server from
# exhausting the memory of this host. It counts late responses before them too.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Time that a read has after its deadline, and time in which such reads may follow each
# other: this host may have stood still while the bytes arrived.
LATE_READ_S = 0.001
MAX_LATE_S = 0.02
# Of the late responses that ``skip_response`` reads before that to the request.
MAX_SKIPPED_BYTES = 1024 * 1024
# Of a head and all that comes before it: empty lines and interim responses.
MAX_HEAD_BYTES = 65_536
# What a header field counts besides its name and value: the objects that hold it. An
# interim response counts the same besides its fields.
FIELD_OVERHEAD_BYTES = 128
# Bytes of chunk sizes, chunk extensions and trailers that may come with no byte of the
# body; each byte of the body allows for one more of them, up to that.
MAX_FRAMING_BYTES = 262_144
# Chunks of one read that are kept apart; more are joined, as each is an object.
MAX_SEPARATE_CHUNKS = 64
# Responses that arrived before they are read.
MAX_QUEUED_RESPONSES = 4
# Final responses that are read after one request.
MAX_RESPONSES_PER_REQUEST = 8
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
        self._field_bytes_left = MAX_HEAD_BYTES

    def on_message_begin(self) -> None:
        if len(self.responses) >= MAX_QUEUED_RESPONSES:
            raise SizeLimitError("too many responses to one request", "responses")
        self._field_bytes_left -= FIELD_OVERHEAD_BYTES
        if self._field_bytes_left < 0:
            raise SizeLimitError("interim responses are too many", "responses")
        self._current = _ParsedResponse()
        self.responses.append(self._current)

    def on_status(self, reason: bytes) -> None:
        self._current.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._field_bytes_left -= len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._field_bytes_left < 0:
            raise SizeLimitError("header fields or trailers are too large", "fields")
        # Trailers are dropped: they are no part of the head.
        if self._current.head is None:
            self._current.headers.append((name, value))

    def on_headers_complete(self) -> None:
        response = self._current
        status = self.parser.get_status_code()
        if status not in STATUSES:
            raise ProtocolError(f"status {status} is none of HTTP")
        response.head = ResponseHead(
            status,
            response.reason,
            response.headers,
            self.parser.should_keep_alive(),
        )
        if response.head.status >= 200:
            # The trailers have as much.
            self._field_bytes_left = MAX_HEAD_BYTES

    def on_body(self, body: bytes) -> None:
        self._current.chunks.append(body)

    def on_message_complete(self) -> None:
        response = self._current
        response.complete = True
        if response.head is not None and response.head.status < 200:
            self.responses.pop()
        else:
            self._field_bytes_left = MAX_HEAD_BYTES


class ClientConnection:
    """An open connection to an endpoint or to the store.

    ``reusable`` is true between two requests, unless the server closes the connection
    or the next response could not be told apart from the last one. It is not used after
    ``idle_deadline``, which its pool sets. Bodies of more than one read take their
    memory from ``body_budget``. Deadlines are monotonic times.

    Whatever the server sends, the bytes that are read without any use are bounded: a
    ``ProtocolError`` says that a limit is exceeded, and the connection must be closed.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._collector = _ResponseCollector()
        self._current: _ParsedResponse | None = None
        self._reads_until_close = False
        self._no_body = False
        self._closed = False
        self._parse_failed = False
        self._head_bytes = 0
        self._heads_read = 0
        self._framing_bytes_left = MAX_FRAMING_BYTES
        self._late_deadline = float("inf")
        # Of the bodies of responses since the request was sent.
        self._skipped_bytes = 0
        self.body_budget = ENDPOINT_BODIES
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
        if not 0 < port < PORT_LIMIT:
            raise NotSentError(f"{host}:{port}: connection failed: no such port")
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as exc:
            raise NotSentError(f"{host}:{port}: connection timed out") from exc
        except OSError as exc:
            error = ConnectRefusedError if _refused(exc) else NotSentError
            raise error(f"{host}:{port}: connection failed: {exc}") from exc
        limit_receive_buffer(stream)
        return cls(stream)

    async def send(self, data: bytes, deadline: float) -> None:
        """Send a whole request.

        Raises
        ------
        ConnectionLostError
            If it was not sent completely; it may have run.
        """
        self._current = None
        self._head_bytes = self._heads_read = self._skipped_bytes = 0
        self.reusable = False
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                await send_in_parts(self._stream, data)
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
            If the server did not send a valid HTTP response, or a head or what comes
            before it exceeds ``MAX_HEAD_BYTES``.
        """
        self.reusable = False
        if self._heads_read >= MAX_RESPONSES_PER_REQUEST:
            raise SizeLimitError("too many responses to one request", "responses")
        responses = self._collector.responses
        while True:
            while not responses or responses[0].head is None:
                if self._head_bytes > MAX_HEAD_BYTES:
                    raise SizeLimitError(
                        f"the head exceeds {MAX_HEAD_BYTES} bytes", "head"
                    )
                self._head_bytes += await self._read(deadline)
            response = responses.popleft()
            assert response.head is not None
            if response.head.status >= 200:
                break
        head = response.head
        # Not counted before: the call may be cancelled, and repeated.
        self._heads_read += 1
        self._current = response
        self._head_bytes = 0
        self._framing_bytes_left = MAX_FRAMING_BYTES
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
            If the server did not send a valid HTTP response, or more than
            ``MAX_FRAMING_BYTES`` of it with hardly a byte of the body.
        """
        response = self._current
        while response is not None:
            chunks = response.chunks
            if len(chunks) > MAX_SEPARATE_CHUNKS:
                response.chunks = deque((b"".join(chunks),))
                continue
            if chunks:
                return chunks.popleft()
            if response.complete or self._no_body:
                break
            try:
                size = await self._read(deadline)
                if not response.complete:
                    self._count_framing(size, sum(map(len, chunks)))
            except _EndOfStreamError:
                if not self._reads_until_close:
                    raise ConnectionLostError(
                        "connection closed before the end of the response"
                    ) from None
                break
        self._finish()
        return None

    async def read_response(
        self,
        deadline: float,
        *,
        no_body: bool = False,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """Return a response with its complete body.

        Raises
        ------
        ConnectionLostError
            As in ``read_chunk``.
        ProtocolError
            If the bodies since the request was sent exceed ``max_body_bytes``, if the
            bodies on all connections exceed the budget, or if it is not valid HTTP.
        """
        head = await self.read_head(deadline, no_body=no_body)
        max_body_bytes -= self._skipped_bytes
        length = decode_number(head.header(b"content-length") or b"")
        if length is not None and length > max_body_bytes and not self._no_body:
            raise SizeLimitError(f"the body exceeds {max_body_bytes} bytes")
        body = await self.read_chunk(deadline)
        if body is None:
            return Response(head)
        part = await self.read_chunk(deadline)
        if part is None and len(body) <= max_body_bytes:
            self._skipped_bytes += len(body)
            return Response(head, body)
        buffer = self.body_budget.open(max_body_bytes)
        try:
            buffer.append(body)
            while part is not None:
                buffer.append(part)
                part = await self.read_chunk(deadline)
            response = Response(head, buffer.complete(), buffer)
        except BaseException:
            buffer.close()
            raise
        self._skipped_bytes += buffer.size
        return response

    async def skip_response(self, deadline: float) -> None:
        """Read the rest of a response to another request.

        Raises as ``read_chunk``, and ``ProtocolError`` if such responses since the
        request was sent exceed ``MAX_SKIPPED_BYTES``.
        """
        while (part := await self.read_chunk(deadline)) is not None:
            self._skipped_bytes += len(part)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise SizeLimitError(
                    f"responses to other requests exceed {MAX_SKIPPED_BYTES} bytes",
                    "skipped",
                )

    def _count_framing(self, size: int, body_size: int) -> None:
        """Count a read; raise ``ProtocolError`` if too little of it was body."""
        allowed = min(
            MAX_FRAMING_BYTES,
            self._framing_bytes_left + body_size,
        )
        self._framing_bytes_left = allowed - (size - body_size)
        if self._framing_bytes_left < 0:
            raise SizeLimitError(
                "chunk sizes, extensions or trailers are too large", "framing"
            )

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

    async def _read(self, deadline: float) -> int:
        """Read and parse bytes; return their number."""
        try:
            with anyio.fail_after(self._read_timeout_s(deadline)):
                data = await receive(self._stream, READ_BYTES)
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
                return len(data)
            # An error of a callback is its context.
            if isinstance(exc.__context__, ProtocolError):
                raise exc.__context__ from None
            raise ProtocolError(f"not an HTTP response: {exc}") from exc
        return len(data)

    def _read_timeout_s(self, deadline: float) -> float:
        """Return the time for a read, which is short but not 0 after its deadline."""
        now = time.monotonic()
        if now < deadline:
            self._late_deadline = float("inf")
            return deadline - now
        self._late_deadline = min(self._late_deadline, now + MAX_LATE_S)
        return max(0.0, min(LATE_READ_S, self._late_deadline - now))

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
