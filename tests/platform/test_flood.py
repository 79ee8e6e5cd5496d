"""The memory of a router process before endpoints that send bytes without end."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest

from hemlockhall_platform_standins.call import Call, read_outcome
from hemlockhall_platform_standins.document import (
    FLOOD_PREFIXES,
    FLOOD_SERVICE,
    PREFIXES,
    RETRY_CONSTANT,
    encode_document,
)
from hemlockhall_platform_standins.endpoint import PlainEndpoint
from hemlockhall_platform_standins.flood import FloodingEndpoint, FloodingModelServer
from hemlockhall_platform_standins.process import RouterProcess
from hemlockhall_platform_standins.review import free_port, loopback_host
from hemlockhall_platform_standins.store import SoakStore
from hemlockhall_standins.router.endless import CHUNKED, EVENTS, OK, chunk

pytestmark = pytest.mark.anyio

ENDPOINTS = 4
CALLERS = 100
# Seconds for which callers ask for what has no end.
SECONDS = 10.0
# Interval at which the time of the play is counted. One that takes longer counts twice
# as much at most: endpoints and callers stand still meanwhile.
TICK_S = 0.05
# Lines of the router's log in the message of a failed test.
LOG_LINES = 20
READY_LIMIT_S = 30.0
LAYERS_LIMIT_S = 15.0
# A caller asks again so long after a response.
PAUSE_S = 1.5
# Below what one request may have.
BODY_BYTES = 4_000_000
# A machine has 300 MB, and a router before many endpoints uses 75 MB in calm.
GROWTH_BYTES = 100_000_000
STAMP = b"x-hemlockhall-server-stamp: e.1\r\n"
HEAD = OK.replace(b"signature: e1\r\n", STAMP)
CHUNKS = CHUNKED.replace(b"signature: e1\r\n", STAMP)
STREAM = EVENTS.replace(b"signature: e1\r\n", STAMP)
PLAIN = {
    "body that ends with its connection": (HEAD + b"\r\n", b"x" * 65_536),
    "chunked body": (CHUNKS, chunk(b"x" * 65_536)),
    "body of a failure": (CHUNKS.replace(b"200 OK", b"503 X"), chunk(b"x" * 65_536)),
    "chunks of one byte": (CHUNKS, chunk(b"x")),
    "head": (HEAD + b"name: ", b"v" * 65_536),
}
STREAMS = {
    "one event": (STREAM, chunk(b"data: more\n" * 5000)),
    "an event without chunks": (
        HEAD + b"content-type: text/event-stream\r\n\r\ndata: ",
        b"x" * 65_536,
    ),
}


class Flood:
    """A router process, endpoints that send without end, and their callers."""

    def __init__(self, process: RouterProcess, endpoints: list[Any]) -> None:
        self.process = process
        self.endpoints = endpoints
        self.served = 0
        # Of the responses to bodies that do not end.
        self.statuses: set[int] = set()
        # All responses by status, 0 if there was none.
        self.responses: Counter[int] = Counter()
        self.held_up_s = 0.0
        self._before = self._status("VmRSS")

    def growth(self) -> int:
        """Return how many bytes the process has used at most beyond those in calm."""
        return self._status("VmHWM") - self._before

    def floods(self) -> int:
        """Return how many responses without end were begun."""
        return sum(endpoint.floods for endpoint in self.endpoints)

    def describe(self) -> str:
        """Return what tells a router that serves nothing from a player held up."""
        lines = self.process.log().splitlines()[-LOG_LINES:]
        return "\n".join(
            [
                f"responses by status: {dict(self.responses)}",
                f"player held up for {self.held_up_s:.2f} s",
                *lines,
            ]
        )

    def _status(self, name: str) -> int:
        assert self.process.process is not None
        text = Path(f"/proc/{self.process.process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * 1024
        raise AssertionError(f"no {name}")

    async def ask(self, route: str, prefix: str, number: int, events: int = 0) -> None:
        """Ask again and again."""
        while True:
            call = Call(
                f"{number:08x}{time.monotonic_ns() % 2**32:08x}",
                "POST" if route in ("book", "draft") else "GET",
                f"{prefix}{route}-1-{number}",
                f"{number}",
                4000,
                events,
            )
            status = 0
            with anyio.move_on_after(8.0):
                try:
                    reader, writer = await asyncio.open_connection(*self.process.front)
                except OSError:
                    await anyio.sleep(0.1)
                    continue
                writer.write(b"".join(call.encode()))
                try:
                    status = (await read_outcome(reader)).status
                except (ConnectionError, asyncio.IncompleteReadError):
                    status = 0
                finally:
                    writer.transport.abort()
            self.served += status == 200
            self.responses[status] += 1
            await anyio.sleep(PAUSE_S if "flood" in prefix or events else 0.05)

    async def send_body(self, number: int) -> None:
        """Send all of a large body but its last byte, again and again."""
        while True:
            call = Call(
                f"{number:08x}{time.monotonic_ns() % 2**32:08x}",
                "POST",
                f"{PREFIXES['book']}book-1-{number}",
                f"{number}",
                20_000,
                body=b"x" * BODY_BYTES,
            )
            reader, writer = await asyncio.open_connection(*self.process.front)
            try:
                writer.write(b"".join(call.encode())[:-1])
                await writer.drain()
                self.statuses.add((await read_outcome(reader)).status)
            except (ConnectionError, asyncio.IncompleteReadError):
                self.statuses.add(0)
            finally:
                writer.transport.abort()
            await anyio.sleep(PAUSE_S)

    async def play(self, flood: Callable[[int], Awaitable[None]]) -> None:
        """Let callers flood or be flooded, beside one that asks for what has an end."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.ask, "read", PREFIXES["read"], CALLERS)
            for number in range(CALLERS):
                group.start_soon(flood, number)
            await self._run_for(SECONDS)
            group.cancel_scope.cancel()

    async def _run_for(self, seconds: float) -> None:
        """Return after so many seconds in which the player was not held up."""
        while seconds > 0.0:
            began_at = time.monotonic()
            await anyio.sleep(TICK_S)
            late_s = max(0.0, time.monotonic() - began_at - TICK_S)
            self.held_up_s += late_s
            seconds -= TICK_S + min(late_s, TICK_S)


@asynccontextmanager
async def flooded(endpoints: dict[str, tuple[bytes, bytes]]) -> AsyncIterator[Flood]:
    """Run a router with a sound endpoint and ``ENDPOINTS`` of each that floods.

    ``endpoints`` has what they send, by the service: that of model servers is "pool".
    """
    address = loopback_host()
    store = SoakStore(encode_document)
    await store.start(address)
    await store.configure()
    process = RouterProcess("host-0", "z-0", store.address, [], RETRY_CONSTANT)
    running: list[Any] = [
        PlainEndpoint("desk-1", "desk", store, 50, lambda _: 0.01, lambda *_: None)
    ]
    try:
        for service, (start, repeated) in endpoints.items():
            for number in range(ENDPOINTS):
                name = f"{service}-{number}"
                if service == "pool":
                    endpoint = FloodingModelServer(name, store, start, repeated)
                else:
                    endpoint = FloodingEndpoint(name, service, store, start, repeated)
                running.append(endpoint)
        for endpoint in running:
            await endpoint.start(address)
        process.advertised = f"{address}:{free_port(address)}"
        process.start()
        with anyio.fail_after(READY_LIMIT_S):
            while not await process.is_ready():
                await anyio.sleep(0.1)
        if "pool" in endpoints:
            # Until their layers are loaded.
            await anyio.sleep(LAYERS_LIMIT_S)
        yield Flood(process, running[1:])
    finally:
        process.end()
        for endpoint in running:
            endpoint.crash()
        store.stop()


class TestPlainRequests:
    @pytest.mark.parametrize("case", PLAIN)
    async def test_memory_is_bounded(self, case: str) -> None:
        """Guards against a process that is ended for its memory, and all requests with
        it, while 100 callers ask for responses that have no end."""
        async with flooded({FLOOD_SERVICE: PLAIN[case]}) as flood:
            prefix = FLOOD_PREFIXES["read"]
            await flood.play(lambda number: flood.ask("read", prefix, number))
            assert flood.floods() >= CALLERS, flood.describe()
            assert flood.growth() <= GROWTH_BYTES
            assert flood.process.running
            assert flood.served > 0, flood.describe()


class TestStreams:
    @pytest.mark.parametrize("case", STREAMS)
    async def test_memory_is_bounded(self, case: str) -> None:
        """Guards against the same by streams of which an event has no end."""
        async with flooded({"pool": STREAMS[case]}) as flood:
            prefix = PREFIXES["draft"]
            await flood.play(lambda number: flood.ask("draft", prefix, number, 84))
            assert flood.floods() >= CALLERS, flood.describe()
            assert flood.growth() <= GROWTH_BYTES
            assert flood.process.running
            assert flood.served > 0, flood.describe()


class TestCallers:
    async def test_memory_is_bounded(self) -> None:
        """Guards against a process that keeps the incomplete bodies of all callers."""
        async with flooded({}) as flood:
            await flood.play(flood.send_body)
            assert flood.growth() <= GROWTH_BYTES
            assert flood.process.running
            assert flood.served > 0, flood.describe()
            # Not run, and told so.
            assert flood.statuses == {503}
