"""Stand-in for a network path: its connections can go silent or be slow."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
from anyio.abc import ByteReceiveStream, ByteSendStream, SocketStream

from hemlockhall_standins.web import App, Faults, Request, Response, run

CHUNK = 65_536


@dataclass
class LinkFaults(Faults):
    """Delay of each chunk, in seconds; new connections are taken or not."""

    chunk_delay_s: float = 0.0
    refuse: bool = False


@dataclass
class Link:
    """Passes TCP connections from ``listen`` on to ``target``.

    ``POST /silence`` makes the connections that are open now silent for
    good: their bytes are swallowed, both ends stay open. ``POST /cut``
    closes them.
    """

    listen: str
    target: str
    faults: LinkFaults = field(default_factory=LinkFaults)
    _silent: set[int] = field(default_factory=set)
    _open: dict[int, list[SocketStream]] = field(default_factory=dict)
    _count: int = 0

    def run(self, admin: str) -> None:
        """Serve until the process is ended."""
        app = App(self.faults)
        app.route("POST", "/silence")(self._silence)
        app.route("POST", "/cut")(self._cut)
        run(app, admin, self._serve)

    async def _serve(self) -> None:
        host, port = self.listen.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        await listener.serve(self._pass)

    async def _pass(self, near: SocketStream) -> None:
        host, port = self.target.split(":")
        if self.faults.refuse:
            await near.aclose()
            return
        try:
            far = await anyio.connect_tcp(host, int(port))
        except OSError:
            await near.aclose()
            return
        self._count += 1
        number = self._count
        self._open[number] = [near, far]
        async with near, far, anyio.create_task_group() as group:
            group.start_soon(self._copy, number, near, far, group.cancel_scope)
            group.start_soon(self._copy, number, far, near, group.cancel_scope)
        del self._open[number]

    async def _copy(
        self,
        number: int,
        source: ByteReceiveStream,
        target: ByteSendStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK)
                if number in self._silent:
                    continue
                if self.faults.chunk_delay_s:
                    await anyio.sleep(self.faults.chunk_delay_s)
                await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            if number not in self._silent:
                scope.cancel()
        except anyio.ClosedResourceError:
            return

    async def _silence(self, req: Request) -> Response:
        self._silent |= set(self._open)
        return Response({"silent": len(self._open)})

    async def _cut(self, req: Request) -> Response:
        for streams in list(self._open.values()):
            for stream in streams:
                await stream.aclose()
        return Response({})


__all__ = [
    "Link",
]
