"""TCP proxy that black-holes, delays, closes or refuses connections."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
from anyio.abc import ByteReceiveStream, ByteSendStream, SocketStream

from hemlockhall_standins.web import App, Faults, Request, Response, run

CHUNK_BYTES = 65_536


@dataclass
class ProxyFaults(Faults):
    """Delay of each forwarded chunk; ``refuse`` closes new connections at once."""

    chunk_delay_s: float = 0.0
    refuse: bool = False


@dataclass
class TcpProxy:
    """Forwards TCP connections from ``listen`` to ``target``, both IP:port.

    ``POST /silence`` black-holes the open connections for good: their bytes are
    dropped while both ends stay open. ``POST /cut`` closes the open connections.
    """

    listen: str
    target: str
    faults: ProxyFaults = field(default_factory=ProxyFaults)
    _silent: set[int] = field(default_factory=set)
    _connections: dict[int, list[SocketStream]] = field(default_factory=dict)
    _last_connection_id: int = 0

    def run(self, admin: str) -> None:
        """Serve until the process ends; ``admin`` is the address for faults."""
        app = App(self.faults)
        app.route("POST", "/silence")(self._silence)
        app.route("POST", "/cut")(self._cut)
        run(app, admin, self._serve)

    async def _serve(self) -> None:
        host, port = self.listen.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        await listener.serve(self._handle)

    async def _handle(self, downstream: SocketStream) -> None:
        host, port = self.target.split(":")
        if self.faults.refuse:
            await downstream.aclose()
            return
        try:
            upstream = await anyio.connect_tcp(host, int(port))
        except OSError:
            await downstream.aclose()
            return
        self._last_connection_id += 1
        connection_id = self._last_connection_id
        self._connections[connection_id] = [downstream, upstream]
        async with downstream, upstream, anyio.create_task_group() as group:
            group.start_soon(
                self._forward, connection_id, downstream, upstream, group.cancel_scope
            )
            group.start_soon(
                self._forward, connection_id, upstream, downstream, group.cancel_scope
            )
        del self._connections[connection_id]

    async def _forward(
        self,
        connection_id: int,
        source: ByteReceiveStream,
        target: ByteSendStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if connection_id in self._silent:
                    continue
                if self.faults.chunk_delay_s:
                    await anyio.sleep(self.faults.chunk_delay_s)
                await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            if connection_id not in self._silent:
                scope.cancel()
        except anyio.ClosedResourceError:
            return

    async def _silence(self, req: Request) -> Response:
        self._silent |= set(self._connections)
        return Response({"silent": len(self._connections)})

    async def _cut(self, req: Request) -> Response:
        for streams in list(self._connections.values()):
            for stream in streams:
                await stream.aclose()
        return Response({})


__all__ = [
    "TcpProxy",
]
