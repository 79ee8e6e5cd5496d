"""A router in this process, with a store in memory and scripted endpoints."""

from __future__ import annotations

import random
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

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

# Seconds a test waits for what must happen; generous, so that a busy machine
# does not fail a test that asserts no time.
WAIT_S = 20.0
HOST = "hall.example"
# Ports of loopback for listening: the first, and the one after the last.
PORTS = (20_000, 32_000)


def free_port() -> int:
    """Return a port of loopback that nobody listens on.

    It lies below those that the system gives to outgoing connections: one of
    these could be taken by a connection before the caller listens on it.
    """
    while True:
        port = random.randrange(*PORTS)  # noqa: S311
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


@dataclass
class RouterHarness:
    """A running router and what it meets."""

    group: anyio.abc.TaskGroup
    store: MemoryStore
    address: str
    routes: list[RouteRow]
    keys: dict[str, str] | None = None
    version: int = 0
    routers: list[Router] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    listens: list[str] = field(default_factory=list)

    async def add_router(
        self, *, grace_s: float = 3.0, address: str | None = None
    ) -> Router:
        """Start a router, and wait until it is ready unless it is cut off."""
        name = f"host-{len(self.routers)}"
        port = free_port()
        settings = RouterSettings(
            host=HostSection(
                name=name,
                data_centre="here",
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
        router = Router(Path("/nonexistent"), settings, Metrics())
        self.group.start_soon(router.run)
        self.routers.append(router)
        self.ports.append(port)
        self.listens.append(settings.listen.hosts)
        await self.wait_until(lambda: router.ready)
        return router

    def configure(self, **limits: float) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        row = RoutingRow(self.version, self.routes, self.keys, **limits)  # type: ignore[arg-type]
        self.store.put(Table.ROUTING, "configuration", msgspec.json.encode(row))

    async def start_endpoint(
        self, name: str, script: RequestHandler, service: str = "desk", **row: object
    ) -> ScriptedEndpoint:
        """Start an endpoint and enter it in the store."""
        endpoint = ScriptedEndpoint(name, script)
        await endpoint.start(self.group)
        self.register(endpoint, service, **row)
        for router in self.routers:
            await self.wait_until(
                lambda router=router: name in router.directory.records
            )
        return endpoint

    def register(self, endpoint: ScriptedEndpoint, service: str, **row: object) -> None:
        """Write an endpoint's row."""
        entry = EndpointRow(service, endpoint.port, **row)  # type: ignore[arg-type]
        endpoint.state.layers = entry.layers
        value = msgspec.json.encode(entry)
        self.store.put(Table.ENDPOINTS, endpoint.name, value)

    async def wait_until(self, done) -> None:  # noqa: ANN001
        """Wait until something holds, or fail."""
        with anyio.fail_after(WAIT_S):
            while not done():
                await anyio.sleep(0.005)

    async def connect(self, router: int = 0) -> ClientConnection:
        """Return a caller's connection."""
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
        """Send one request on a new connection and return the answer."""
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
    """Return a caller's request as bytes."""
    pairs = [(b"Host", HOST.encode()), (b"Request-Id", request_id.encode())]
    for key, value in (headers or {}).items():
        pairs.append((key.encode(), value.encode()))
    return encode_request(method.encode(), target.encode(), pairs, body)


@asynccontextmanager
async def router_harness(
    routes: list[RouteRow], *, keys: dict[str, str] | None = None, **limits: float
) -> AsyncIterator[RouterHarness]:
    """Run a router until the block ends."""
    address, store = new_store()
    async with anyio.create_task_group() as group:
        made = RouterHarness(group, store, address, routes, keys)
        made.configure(**limits)
        await made.add_router()
        try:
            yield made
        finally:
            group.cancel_scope.cancel()


__all__ = [
    "RouterHarness",
    "caller_text",
    "router_harness",
]
