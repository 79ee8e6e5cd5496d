"""An endpoint that does to each request what a test says."""

from __future__ import annotations

import struct
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

LIMITS = CallerLimits(idle_s=30.0)


@dataclass
class ReceivedRequest:
    """A request as it reached the endpoint, and the ways to answer it."""

    head: RequestHead
    body: bytes
    stream: SocketStream
    reader: CallerReader
    endpoint: ScriptedEndpoint
    ended: bool = False

    def header(self, name: str) -> str | None:
        """Return a header of the request."""
        value = self.head.header(name.encode())
        return value.decode() if value is not None else None

    async def answer(
        self, status: int = 200, body: bytes = b"", headers: str = ""
    ) -> None:
        """Send a whole answer, signed unless it says that nothing ran."""
        signed = "" if "not-run" in headers else f"signature: {self.endpoint.name}\r\n"
        echo = f"request-id: {self.header('request-id')}\r\n"
        head = f"HTTP/1.1 {status} X\r\n{signed}{echo}{headers}"
        head += f"content-length: {len(body)}\r\n\r\n"
        await self.stream.send(head.encode() + body)

    async def refuse(self, status: int = 503, headers: str = "") -> None:
        """Say that the request did not run."""
        await self.answer(status, headers=f"not-run: 1\r\n{headers}")

    async def begin(self) -> None:
        """Send the head of a stream."""
        head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        head += f"signature: {self.endpoint.name}\r\n"
        head += f"request-id: {self.header('request-id')}\r\n"
        await self.stream.send(f"{head}transfer-encoding: chunked\r\n\r\n".encode())

    async def raw(self, data: bytes) -> None:
        """Send bytes of a stream as one chunk."""
        await self.stream.send(b"%x\r\n%b\r\n" % (len(data), data))

    async def event(self, number: int) -> None:
        """Send one event of a stream."""
        await self.raw(event_text(number))

    async def end(self) -> None:
        """End a stream that is complete."""
        await self.stream.send(b"0\r\n\r\n")

    async def close(self) -> None:
        """Close the connection in order."""
        self.ended = True
        await self.stream.aclose()

    async def reset(self) -> None:
        """Reset the connection."""
        self.ended = True
        sock = self.stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(self.stream)


def event_text(number: int) -> bytes:
    """Return an event as all endpoints of a test send it."""
    return b"id: %d\ndata: word%d\n\n" % (number, number)


RequestHandler = Callable[[ReceivedRequest], Awaitable[None]]


@dataclass
class ScriptedEndpoint:
    """Listens on loopback and runs ``script`` for each request.

    ``late_orders`` is the number of orders that it leaves without an answer and
    carries out when the test calls ``catch_up``.
    """

    name: str
    script: RequestHandler
    port: int = 0
    received: list[ReceivedRequest] = field(default_factory=list)
    orders: list[OrderRow] = field(default_factory=list)
    state: ReportRow = field(default_factory=ReportRow)
    disconnects: int = 0
    late_orders: int = 0
    waiting: list[OrderRow] = field(default_factory=list)
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def start(self, group: TaskGroup) -> None:
        """Begin to listen; the port is the kernel's."""
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
                await listener.serve(self._connection)

    def stop(self) -> None:
        """Stop listening and cut all connections."""
        self._scope.cancel()

    async def _connection(self, stream: SocketStream) -> None:
        reader = CallerReader(stream, LIMITS)
        try:
            async with stream:
                while await self._request(stream, reader):
                    continue
        except (CallerDisconnectedError, anyio.BrokenResourceError):
            self.disconnects += 1
        except anyio.ClosedResourceError:
            return

    async def _request(self, stream: SocketStream, reader: CallerReader) -> bool:
        head = await reader.read_head()
        if head is None:
            return False
        body = await reader.read_body(float("inf"))
        arrival = ReceivedRequest(head, body, stream, reader, self)
        if head.target == b"/state":
            await arrival.answer(body=msgspec.json.encode(self.state))
        elif head.target == b"/hold":
            await self._hold(arrival)
        else:
            self.received.append(arrival)
            await self.script(arrival)
        if arrival.ended:
            return False
        reader.finish_request()
        return True

    async def _hold(self, arrival: ReceivedRequest) -> None:
        order = msgspec.json.decode(arrival.body, type=OrderRow)
        if self.late_orders:
            self.late_orders -= 1
            self.waiting.append(order)
            await arrival.reader.wait_disconnect()
            arrival.ended = True
            return
        await arrival.answer(202 if self._begin(order) else 409)

    def catch_up(self) -> None:
        """Carry out the orders that were left without an answer."""
        while self.waiting:
            self._begin(self.waiting.pop(0))

    def _begin(self, order: OrderRow) -> bool:
        if order.orders != self.state.orders:
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
