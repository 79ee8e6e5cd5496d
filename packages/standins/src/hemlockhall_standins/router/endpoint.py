"""Endpoint whose responses a test scripts."""

from __future__ import annotations

import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET
from typing import TYPE_CHECKING

import anyio
import msgspec
from anyio.abc import SocketAttribute

from hemlockhall_router.connection.caller import CallerLimits, CallerReader
from hemlockhall_router.connection.error import CallerDisconnectedError
from hemlockhall_standins.router.dialect import OrderRow, ReportRow

if TYPE_CHECKING:
    from anyio.abc import SocketStream, TaskGroup

    from hemlockhall_router.connection.message import RequestHead

READER_LIMITS = CallerLimits(idle_s=30.0)
# Shortest wait of an endpoint that is silent.
MIN_WAIT_S = 0.001


@dataclass
class ReceivedRequest:
    """A request as the endpoint received it, with methods to respond.

    ``ended`` is set once the connection is closed or reset.
    """

    head: RequestHead
    body: bytes
    stream: SocketStream
    reader: CallerReader
    endpoint: ScriptedEndpoint
    ended: bool = False

    def header(self, name: str) -> str | None:
        """Return the value of a request header, None if it is missing."""
        value = self.head.header(name.encode())
        return value.decode() if value is not None else None

    async def answer(
        self, status: int = 200, body: bytes = b"", headers: str = ""
    ) -> None:
        """Send a complete response.

        It carries the endpoint's signature, unless ``headers`` says that the
        request was not executed (``not-run``). ``headers`` is a text of lines that
        end in CRLF.
        """
        signed = "" if "not-run" in headers else f"signature: {self.endpoint.name}\r\n"
        headers += self.endpoint.statement_headers()
        echo = f"request-id: {self.header('request-id')}\r\n"
        head = f"HTTP/1.1 {status} X\r\n{signed}{echo}{headers}"
        head += f"content-length: {len(body)}\r\n\r\n"
        await self._send(head.encode() + body)

    async def refuse(self, status: int = 503, headers: str = "") -> None:
        """Respond that the request was not executed."""
        if self.endpoint.rest_s is not None:
            headers += f"rest-s: {self.endpoint.rest_s}\r\n"
            if isinstance(self.endpoint.rest_s, float):
                request_id = self.header("request-id") or ""
                rest = (time.monotonic(), self.endpoint.rest_s, request_id)
                self.endpoint.rests.append(rest)
        await self.answer(status, headers=f"not-run: 1\r\n{headers}")

    async def begin(self) -> None:
        """Send the response head of an event stream."""
        head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        head += f"signature: {self.endpoint.name}\r\n"
        head += f"request-id: {self.header('request-id')}\r\n"
        head += self.endpoint.statement_headers()
        await self._send(f"{head}transfer-encoding: chunked\r\n\r\n".encode())

    async def raw(self, data: bytes) -> None:
        """Send bytes as one chunk of the stream."""
        await self._send(b"%x\r\n%b\r\n" % (len(data), data))

    async def event(self, number: int) -> None:
        """Send the event of this number."""
        await self.raw(event_text(number))

    async def end(self) -> None:
        """Send the last chunk, which completes the stream."""
        await self._send(b"0\r\n\r\n")

    async def _send(self, data: bytes) -> None:
        """Send bytes once the endpoint is not silent."""
        await self.endpoint.wait_until_heard()
        await self.stream.send(data)

    async def close(self) -> None:
        """Close the connection with a FIN."""
        self.ended = True
        await self.stream.aclose()

    async def reset(self) -> None:
        """Reset the connection (RST)."""
        self.ended = True
        sock = self.stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(self.stream)


def event_text(number: int) -> bytes:
    """Return the bytes of an event; they are the same from every endpoint."""
    return b"id: %d\ndata: word%d\n\n" % (number, number)


RequestHandler = Callable[[ReceivedRequest], Awaitable[None]]


@dataclass
class ScriptedEndpoint:
    """Listens on loopback and runs ``handler`` for each request.

    ``GET /state`` and ``POST /hold`` are served without the handler. The next
    ``unanswered_orders`` orders get no response; ``apply_pending_orders`` applies
    them. With ``rejects_orders`` its layers stay as they are. ``disconnects`` counts
    callers that closed their connection early, and ``arrivals`` are the monotonic times
    at which requests to the handler arrived. ``calls`` counts the requests that are
    served without the handler.

    Responses state ``request_limit``, in requests per second, unless it is None, and
    that the endpoint leaves if ``leaving`` is true. Refusals ask for ``rest_s`` seconds
    of rest unless it is None; ``rests`` has the time of each of them, these seconds and
    the id of its request.

    Until the monotonic time ``silent_until`` it accepts connections and requests and
    sends nothing.
    """

    name: str
    handler: RequestHandler
    port: int = 0
    received: list[ReceivedRequest] = field(default_factory=list)
    orders: list[OrderRow] = field(default_factory=list)
    state: ReportRow = field(default_factory=ReportRow)
    disconnects: int = 0
    calls: int = 0
    unanswered_orders: int = 0
    rejects_orders: bool = False
    pending_orders: list[OrderRow] = field(default_factory=list)
    request_limit: float | None = None
    rest_s: float | str | None = None
    rests: list[tuple[float, float, str]] = field(default_factory=list)
    leaving: bool = False
    arrivals: list[float] = field(default_factory=list)
    silent_until: float = 0.0
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def start(self, group: TaskGroup) -> None:
        """Listen on a free port of loopback, stored in ``port``."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(SocketAttribute.local_port)
        await group.start(self._serve, listener)

    async def _serve(
        self,
        listener,
        *,
        task_status=anyio.TASK_STATUS_IGNORED,  # noqa: ANN001
    ) -> None:
        with self._scope:
            task_status.started()
            async with listener:
                await listener.serve(self._serve_connection)

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for a while, and go on after it."""
        self.silent_until = time.monotonic() + seconds

    async def wait_until_heard(self) -> None:
        """Wait until the endpoint is not silent."""
        while (left_s := self.silent_until - time.monotonic()) > 0:
            # A wait of one rounding error would not advance a virtual clock.
            await anyio.sleep(max(left_s, MIN_WAIT_S))

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._scope.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        reader = CallerReader(stream, READER_LIMITS)
        try:
            async with stream:
                while await self._serve_request(stream, reader):
                    continue
        except (CallerDisconnectedError, anyio.BrokenResourceError):
            self.disconnects += 1
        except anyio.ClosedResourceError:
            return

    async def _serve_request(self, stream: SocketStream, reader: CallerReader) -> bool:
        head = await reader.read_head()
        if head is None:
            return False
        body = await reader.read_body(float("inf"))
        request = ReceivedRequest(head, body, stream, reader, self)
        if head.target in (b"/state", b"/hold"):
            self.calls += 1
        if head.target == b"/state":
            await request.answer(body=msgspec.json.encode(self.state))
        elif head.target == b"/hold":
            await self._receive_order(request)
        else:
            self.received.append(request)
            self.arrivals.append(time.monotonic())
            await self.handler(request)
        if request.ended:
            return False
        reader.finish_request()
        return True

    async def _receive_order(self, request: ReceivedRequest) -> None:
        order = msgspec.json.decode(request.body, type=OrderRow)
        if self.unanswered_orders:
            self.unanswered_orders -= 1
            self.pending_orders.append(order)
            await request.reader.wait_disconnect()
            request.ended = True
            return
        await request.answer(202 if self._apply_order(order) else 409)

    def statement_headers(self) -> str:
        """Return the header lines of what all responses state, or nothing."""
        lines = ""
        if self.request_limit is not None:
            lines += f"request-limit: {self.request_limit}\r\n"
        if self.leaving:
            lines += "leaving: 1\r\n"
        return lines

    def apply_pending_orders(self) -> None:
        """Apply the orders that got no response."""
        while self.pending_orders:
            self._apply_order(self.pending_orders.pop(0))

    def _apply_order(self, order: OrderRow) -> bool:
        if self.rejects_orders or order.orders != self.state.orders:
            return False
        self.orders.append(order)
        self.state.orders += 1
        self.state.layers = order.layers
        return True


__all__ = [
    "ReceivedRequest",
    "RequestHandler",
    "ScriptedEndpoint",
    "event_text",
]
