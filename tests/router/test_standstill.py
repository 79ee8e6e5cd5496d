"""Hosts that stand still for a second or so, and go on with full buffers."""

from __future__ import annotations

import os
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from hemlockhall_router.connection.client import READ_BYTES, ClientConnection
from hemlockhall_router.connection.error import ReadTimeoutError
from hemlockhall_standins.router import pausing
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import (
    ReceivedRequest,
    ScriptedEndpoint,
    event_text,
)
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.router.network import Network
from hemlockhall_standins.router.pausing import (
    EVENT_GAP_S,
    EVENTS,
    PausingLoad,
    PausingPool,
)
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

STANDSTILL_S = 1.5
TIMEOUT_S = 0.5
# Time after which hosts that stood still are in touch again.
CONTACT_S = 3.0
# More than one read of the response, and less than the buffers of a loopback socket.
BODY = b"0123456789" * (READ_BYTES // 10 + 1000)
ROUTES = [
    RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=20.0),
    RouteRow("/once/", "stream", "pool", timeout_s=20.0),
    RouteRow("/read/", "idempotent", "desk", timeout_s=4.0),
    RouteRow("/book/", "once", "desk", timeout_s=4.0),
]


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


def put(stream: SocketStream, data: bytes) -> None:
    """Put bytes into the buffer of the other end; nothing else runs meanwhile."""
    fileno = stream.extra(SocketAttribute.raw_socket).fileno()
    assert os.write(fileno, data) == len(data)


@dataclass
class Connection:
    """A client's connection, and the server's socket at its other end."""

    client: ClientConnection
    server: SocketStream

    def write(self, data: bytes) -> None:
        """Put bytes into the client's buffer while nothing else in the process runs."""
        put(self.server, data)


@asynccontextmanager
async def connection() -> AsyncIterator[Connection]:
    accepted: list[SocketStream] = []
    done = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        accepted.append(stream)
        await done.wait()
        await stream.aclose()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        client = await ClientConnection.open(
            "127.0.0.1", port, time.monotonic() + TIMEOUT_S
        )
        await client.send(b"GET / HTTP/1.1\r\n\r\n", time.monotonic() + TIMEOUT_S)
        while not accepted:
            await anyio.sleep(0.001)
        yield Connection(client, accepted[0])
        await client.close()
        done.set()
        group.cancel_scope.cancel()


def response(body: bytes, head: str = "HTTP/1.1 200 OK\r\n") -> bytes:
    return b"%bcontent-length: %d\r\n\r\n%b" % (head.encode(), len(body), body)


class TestBuffers:
    async def test_a_response_that_came_while_a_read_waited_is_returned(
        self, clock: VirtualClock
    ) -> None:
        """Guards against a timer that ends a read whose bytes have arrived."""
        async with connection() as conn:
            found: list[bytes] = []

            async def read() -> None:
                deadline = time.monotonic() + TIMEOUT_S
                found.append((await conn.client.read_response(deadline)).body)

            async with anyio.create_task_group() as group:
                group.start_soon(read)
                await anyio.sleep(TIMEOUT_S / 2)
                conn.write(response(b"whole"))
                clock.advance(STANDSTILL_S)
            assert found == [b"whole"]

    async def test_one_that_came_before_the_read_is_returned(
        self, clock: VirtualClock
    ) -> None:
        """Guards against a response that lies in the buffer and is given up."""
        async with connection() as conn:
            deadline = time.monotonic() + TIMEOUT_S
            conn.write(response(b"whole"))
            clock.advance(STANDSTILL_S)
            assert (await conn.client.read_response(deadline)).body == b"whole"

    async def test_one_that_takes_several_reads_is_returned_whole(
        self, clock: VirtualClock
    ) -> None:
        """Guards against a response that is given up after its first 64 KiB."""
        async with connection() as conn:
            deadline = time.monotonic() + TIMEOUT_S
            conn.write(response(BODY))
            clock.advance(STANDSTILL_S)
            assert (await conn.client.read_response(deadline)).body == BODY

    async def test_one_that_did_not_come_is_not_waited_for(
        self, clock: VirtualClock
    ) -> None:
        """Guards against a deadline that begins anew as a host wakes."""
        async with connection() as conn:
            deadline = time.monotonic() + TIMEOUT_S
            clock.advance(STANDSTILL_S)
            woke_at = time.monotonic()
            with pytest.raises(ReadTimeoutError):
                await conn.client.read_response(deadline)
            assert time.monotonic() - woke_at < EVENT_GAP_S

    async def test_a_sender_without_end_is_not_read_without_end(
        self, clock: VirtualClock
    ) -> None:
        """Guards against a deadline that counts from the last byte."""
        async with connection() as conn:
            deadline = time.monotonic() + TIMEOUT_S
            conn.write(b"HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n")
            clock.advance(STANDSTILL_S)
            woke_at = time.monotonic()

            async def send() -> None:
                while True:
                    await conn.server.send(b"0" * 1000)
                    await anyio.sleep(0.001)

            async with anyio.create_task_group() as group:
                group.start_soon(send)
                with pytest.raises(ReadTimeoutError):
                    await conn.client.read_response(deadline)
                group.cancel_scope.cancel()
            assert time.monotonic() - woke_at < TIMEOUT_S


class BufferedPool:
    """Endpoints whose responses lie in the buffers of a host that stands still."""

    def __init__(self, harness: RouterHarness, clock: VirtualClock) -> None:
        self.harness = harness
        self.clock = clock
        self.endpoints: list[ScriptedEndpoint] = []
        self.waiting: list[tuple[ReceivedRequest, anyio.Event]] = []

    async def start(self, service: str, **row: object) -> None:
        for number in range(3):
            name = f"{service}-{number}"
            self.endpoints.append(
                await self.harness.start_endpoint(name, self.handle, service, **row)
            )

    async def handle(self, received: ReceivedRequest) -> None:
        """Begin a response, whose rest comes while the host stands still."""
        own = (received.header("segments") or "").split()[-1]
        if received.header("path") is not None and own.startswith("begun"):
            await received.begin()
            await received.event(1)
        done = anyio.Event()
        self.waiting.append((received, done))
        await done.wait()

    def stand_still(self, seconds: float) -> None:
        """Let the hosts stand still while the endpoints respond to all requests."""
        for received, done in self.waiting:
            put(received.stream, self.rest(received))
            done.set()
        self.waiting.clear()
        self.clock.advance(seconds)

    def rest(self, received: ReceivedRequest) -> bytes:
        """Return what is missing of a response."""
        head = f"HTTP/1.1 200 OK\r\nsignature: {received.endpoint.name}\r\n"
        head += f"request-id: {received.header('request-id')}\r\n"
        if received.header("path") is None:
            return response(pausing.BODY, head)
        own = (received.header("segments") or "").split()[-1]
        begun = own.startswith("begun")
        head += "transfer-encoding: chunked\r\n\r\n"
        data = b"" if begun else head.encode()
        for number in range(2 if begun else 1, EVENTS + 1):
            text = event_text(number)
            data += b"%x\r\n%b\r\n" % (len(text), text)
        return data + b"0\r\n\r\n"


class TestRequests:
    @pytest.mark.parametrize("seconds", [0.06, 2.0])
    @pytest.mark.parametrize("own", ["begun", "new"])
    @pytest.mark.parametrize("target", ["/draft/", "/once/", "/read/", "/book/"])
    async def test_a_host_that_wakes_serves_what_lies_in_its_buffers(
        self, clock: VirtualClock, target: str, own: str, seconds: float
    ) -> None:
        """Guards against a host that takes its own standstill for the silence of its
        endpoints: it moves their streams, blames prompts, or refuses callers."""
        count = 8
        async with router_harness(ROUTES) as harness:
            await harness.add_router()
            pool = BufferedPool(harness, clock)
            await pool.start("pool", **pausing.ROW)
            await pool.start("desk")
            load = PausingLoad(harness, target)
            async with anyio.create_task_group() as group:
                for number in range(count):
                    name = f"{own}-{number}"
                    group.start_soon(load.request, "story", name, number % 2)
                await harness.wait_until(lambda: len(pool.waiting) == count)
                await anyio.sleep(0.02)
                pool.stand_still(seconds)
            await anyio.sleep(0.5)
            assert load.count("whole") == len(load.outcomes) == count
            assert sum(len(endpoint.received) for endpoint in pool.endpoints) == count
            for router in harness.routers:
                assert not router.quarantine._suspects
                for record in router.directory.records.values():
                    assert not record.down
                    assert not record.failures


def calls_of(pool: BufferedPool) -> int:
    return sum(endpoint.calls for endpoint in pool.endpoints)


class TestProbes:
    @pytest.mark.parametrize("seconds", [0.036, 0.06, 2.0])
    @pytest.mark.parametrize("after_s", [0.001, 0.009, 0.033])
    async def test_one_that_a_standstill_held_up_says_nothing(
        self, clock: VirtualClock, after_s: float, seconds: float
    ) -> None:
        """Guards against endpoints that count as down since the host did not read
        their answers."""
        async with router_harness(ROUTES) as harness:
            pool = BufferedPool(harness, clock)
            await pool.start("pool", **pausing.ROW)
            router = harness.routers[0]
            for endpoint in pool.endpoints:
                endpoint.fall_silent(after_s + 0.02)
            await anyio.sleep(0.02)
            calls = calls_of(pool)
            router._prober.request_probes([e.name for e in pool.endpoints])
            await harness.wait_until(lambda: calls_of(pool) == calls + 3)
            await anyio.sleep(after_s)
            clock.advance(seconds)
            await anyio.sleep(0.5)
            downs = [r.down for r in router.directory.records.values()]
            assert downs == [False] * len(pool.endpoints)


class TestPeers:
    @pytest.mark.parametrize("seconds", [1.0, 2.0])
    @pytest.mark.parametrize(("hosts", "data_centres"), [(2, 1), (4, 3), (28, 3)])
    def test_hosts_that_are_silent_count_until_they_go_on(
        self, hosts: int, data_centres: int, seconds: float
    ) -> None:
        """Guards against hosts that divide limits among fewer, as some stand still,
        and against hosts that stay forgotten after it."""
        network = Network(hosts, data_centres, seed=hosts)
        network.run(4.0)
        live = network.live()
        frozen = live[:: max(2, hosts // 4)]
        for host in frozen:
            host.frozen = True
        for _ in range(round(seconds / 0.1)):
            network.run(0.1)
            assert {host.host_count() for host in live} == {hosts}
            assert min(host.most_hosts() for host in live) >= hosts
        for host in frozen:
            host.frozen = False
        for _ in range(round(CONTACT_S / 0.1)):
            network.run(0.1)
            assert {host.host_count() for host in live} == {hosts}
        assert {host.hosts() for host in live} == {hosts}


class TestStore:
    @pytest.mark.parametrize("seconds", [1.0, 2.0])
    @pytest.mark.parametrize("target", ["/draft/", "/book/"])
    async def test_requests_go_on_while_it_does_not_answer(
        self, target: str, seconds: float
    ) -> None:
        """Guards against requests that are refused or cut, endpoints that are dropped,
        and a planner that gives its lease up, as the store pauses."""
        rng = random.Random(5)
        async with router_harness(ROUTES) as harness:
            await harness.add_router()
            pool = PausingPool(harness)
            await pool.start(3)
            desk = PausingPool(harness, "desk")
            await desk.start(3, layers=None)
            leases = [router.lease for router in harness.routers]
            await harness.wait_until(lambda: any(lease.held for lease in leases))
            fences = [lease.fence for lease in leases]
            load = PausingLoad(harness, target)
            async with anyio.create_task_group() as group:
                group.start_soon(load.run, rng, 12.0, 4.0, ["story"])
                await anyio.sleep(1.0)
                harness.store.down = True
                await anyio.sleep(seconds)
                harness.store.down = False
            await anyio.sleep(3.0)
            assert load.count("whole") == len(load.outcomes)
            assert [lease.fence for lease in leases] == fences
            for router in harness.routers:
                assert len(router.directory.records) == 6
