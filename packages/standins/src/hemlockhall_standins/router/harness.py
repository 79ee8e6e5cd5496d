"""Routers in the test process, with an in-memory store and scripted endpoints."""

from __future__ import annotations

import socket
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import cache
from itertools import cycle
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import msgspec

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.message import Response, encode_request
from hemlockhall_router.process.metric import Metrics
from hemlockhall_router.process.router import Router
from hemlockhall_router.process.setting import (
    HostSection,
    LeaveSection,
    ListenSection,
    RetrySection,
    RouterSettings,
    StoreSection,
)
from hemlockhall_router.process.store import Table
from hemlockhall_standins.router.dialect import (
    EndpointRow,
    RouteRow,
    RoutingRow,
    new_store,
)
from hemlockhall_standins.router.endpoint import RequestHandler, ScriptedEndpoint
from hemlockhall_standins.router.store import MemoryStore

if TYPE_CHECKING:
    from hemlockhall_router.membership.message import Message

# Long, so that a busy machine fails no test that asserts no time.
WAIT_S = 20.0
HOST = "hall.example"
# Range of listening ports, end exclusive, below the ephemeral ports of Linux: an
# outgoing connection could take one of those before a router listens on it.
LISTEN_PORTS = (20_000, 32_000)
# Ports of one process. It listens on the first of them, so that no other process that
# runs at the same time draws from the same ones.
PORTS_PER_PROCESS = 1000


@cache
def _reserve_ports() -> tuple[socket.socket, Iterator[int]]:
    """Return the ports of this process in turns, and the socket that holds them."""
    for first in range(*LISTEN_PORTS, PORTS_PER_PROCESS):
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
            guard.listen()
        except OSError:
            guard.close()
            continue
        return guard, cycle(range(first + 1, first + PORTS_PER_PROCESS))
    raise RuntimeError("too many test processes: no ports are left; end some of them")


def free_port() -> int:
    """Return an unused port of loopback.

    It returns a port again only after all others of this process: callers draw several
    before they listen on the first.
    """
    _, ports = _reserve_ports()
    for port in ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("the ports never end")


@dataclass
class RouterHarness:
    """Running routers, their store and what they are configured with."""

    group: anyio.abc.TaskGroup
    store: MemoryStore
    address: str
    routes: list[RouteRow]
    keys: dict[str, str] | None = None
    version: int = 0
    routers: list[Router] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    listens: list[str] = field(default_factory=list)
    scopes: list[anyio.CancelScope] = field(default_factory=list)
    # Also those that were killed.
    metrics: list[Metrics] = field(default_factory=list)
    # Whether routers may have errors of their own that they contain.
    internal_errors_allowed: bool = False
    # Whether two routers, by their indexes, do not hear each other.
    parted: Callable[[int, int], bool] = lambda sender, receiver: False

    async def add_router(
        self,
        *,
        grace_s: float = 3.0,
        address: str | None = None,
        data_centre: str = "here",
    ) -> Router:
        """Start a router and wait until it is ready."""
        name = f"host-{len(self.routers)}"
        port = free_port()
        settings = RouterSettings(
            host=HostSection(
                name=name,
                data_centre=data_centre,
                dialect="standin",
                dialect_module="hemlockhall_standins.router.dialect",
            ),
            listen=ListenSection(
                callers=f"127.0.0.1:{port}",
                ready=f"127.0.0.1:{free_port()}",
                hosts=f"127.0.0.1:{free_port()}",
            ),
            store=StoreSection(address=address or self.address),
            seeds=list(self.listens),
            retry=RetrySection(ratio=0.2, constant=100.0, window_s=10.0),
            leave=LeaveSection(grace_s=grace_s),
        )
        self.ports.append(port)
        self.listens.append(settings.listen.hosts)
        index = len(self.routers)
        router = self._create_router(index, settings)
        # No process ran before on this host: all retries of its share are left.
        router.budget.assume_first()
        self.routers.append(router)
        self.scopes.append(anyio.CancelScope())
        self.group.start_soon(self._run_router, index)
        await self.wait_until(lambda: router.ready)
        return router

    def kill(self, index: int) -> None:
        """End a router at once, without a notice to anyone."""
        self.scopes[index].cancel()

    async def restart(self, index: int) -> None:
        """Start a killed router again, with the same settings and nothing else."""
        router = self._create_router(index, self.routers[index]._settings)
        self.routers[index] = router
        self.scopes[index] = anyio.CancelScope()
        self.group.start_soon(self._run_router, index)
        await self.wait_until(lambda: router.ready)

    def _create_router(self, index: int, settings: RouterSettings) -> Router:
        self.metrics.append(Metrics())
        router = Router(Path("/nonexistent"), settings, self.metrics[-1])
        # Its default clock was taken when its module was imported, before a test
        # replaced it by a virtual one.
        router.admission._clock = time.monotonic
        exchange = router.membership._exchange
        send = exchange._send

        def send_unless_parted(address: str, message: Message) -> None:
            if address in self.listens:
                if self.parted(index, self.listens.index(address)):
                    return
            send(address, message)

        exchange._send = send_unless_parted
        return router

    async def _run_router(self, index: int) -> None:
        with self.scopes[index]:
            await self.routers[index].run()

    def configure(self, **limits: float) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        row = RoutingRow(self.version, self.routes, self.keys, **limits)  # type: ignore[arg-type]
        self.store.put(Table.ROUTING, "configuration", msgspec.json.encode(row))

    async def start_endpoint(
        self, name: str, handler: RequestHandler, service: str = "desk", **row: object
    ) -> ScriptedEndpoint:
        """Start an endpoint, register it and wait until all routers know it."""
        endpoint = ScriptedEndpoint(name, handler)
        await endpoint.start(self.group)
        self.register(endpoint, service, **row)
        for router in self.routers:
            await self.wait_until(
                lambda router=router: name in router.directory.records
            )
        return endpoint

    def register(self, endpoint: ScriptedEndpoint, service: str, **row: object) -> None:
        """Write the store row of an endpoint, with ``row`` as its fields."""
        entry = EndpointRow(service, endpoint.port, **row)  # type: ignore[arg-type]
        endpoint.state.layers = entry.layers
        value = msgspec.json.encode(entry)
        self.store.put(Table.ENDPOINTS, endpoint.name, value)

    async def wait_until(self, condition) -> None:  # noqa: ANN001
        """Wait until ``condition`` holds; raise TimeoutError after ``WAIT_S``."""
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(0.005)

    async def connect(self, router: int = 0) -> ClientConnection:
        """Open a connection to a router as a caller."""
        deadline = time.monotonic() + WAIT_S
        return await ClientConnection.open("127.0.0.1", self.ports[router], deadline)

    async def request(
        self,
        target: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        router: int = 0,
        request_id: str = "r1",
    ) -> Response:
        """Send one request on a new connection and return the response."""
        conn = await self.connect(router)
        try:
            deadline = time.monotonic() + WAIT_S
            text = caller_text(target, method, body, headers, request_id)
            await conn.send(text, deadline)
            return await conn.read_response(deadline, no_body=method == "HEAD")
        finally:
            await conn.close()


def caller_text(
    target: str,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    request_id: str = "r1",
) -> bytes:
    """Encode a request of a caller."""
    pairs = [(b"Host", HOST.encode()), (b"Request-Id", request_id.encode())]
    for key, value in (headers or {}).items():
        pairs.append((key.encode(), value.encode()))
    return encode_request(method.encode(), target.encode(), pairs, body)


@asynccontextmanager
async def router_harness(
    routes: list[RouteRow],
    *,
    keys: dict[str, str] | None = None,
    data_centre: str = "here",
    **limits: float,
) -> AsyncIterator[RouterHarness]:
    """Run one router until the block ends; ``limits`` are fields of RoutingRow."""
    address, store = new_store()
    async with anyio.create_task_group() as group:
        harness = RouterHarness(group, store, address, routes, keys)
        harness.configure(**limits)
        await harness.add_router(data_centre=data_centre)
        try:
            yield harness
        finally:
            group.cancel_scope.cancel()
    errors = [metrics.counters("internal_errors") for metrics in harness.metrics]
    if any(errors) and not harness.internal_errors_allowed:
        raise AssertionError(f"errors of the routers themselves: {errors}")


__all__ = [
    "RouterHarness",
    "caller_text",
    "router_harness",
]
