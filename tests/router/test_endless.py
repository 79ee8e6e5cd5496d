"""Endpoints and callers that send bytes without end, at a whole router."""

from __future__ import annotations

import os
import time
from pathlib import Path

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endless import (
    BODIES,
    FRAMINGS,
    HEADS,
    SOCKET_BYTES,
    STREAMS,
    EndlessResponse,
)
from hemlockhall_standins.router.endpoint import ReceivedRequest, event_text
from hemlockhall_standins.router.harness import caller_text, router_harness

pytestmark = pytest.mark.anyio

PLAIN = {**HEADS, **FRAMINGS, **BODIES}
CONNECTIONS = 200
# Half of the memory of a host; the stand-ins and callers are in the same process.
GROWTH_BYTES = 150_000_000
ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/book/", "once", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=8.0),
]
ALL_LAYERS = {"service": "pool", "layers": (0, 8), "accelerator": "big"}
ALL_EVENTS = b"".join(event_text(number) for number in range(1, 5))


async def respond(request: ReceivedRequest) -> None:
    await request.answer(200, b"sound")


async def send_remaining_events(request: ReceivedRequest) -> None:
    await request.begin()
    for number in range(int(request.header("resume-after") or 0) + 1, 5):
        await request.event(number)
    await request.end()


def resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE")


class TestPlainRequests:
    @pytest.mark.parametrize("case", PLAIN)
    async def test_one_that_may_run_once_gets_502(self, case: str) -> None:
        """Guards against part of such a response that is passed off as an answer, and
        against a request that is held until its deadline."""
        endless = EndlessResponse(*PLAIN[case])
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", endless)
            response = await harness.request("/book/x", method="POST")
            assert response.head.status == 502
            await harness.wait_until(lambda: not endless.open)
        assert len(endless.sent) == 1

    @pytest.mark.parametrize("case", PLAIN)
    async def test_one_is_counted(self, case: str) -> None:
        """Guards against a flood that operators cannot tell from broken connections."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", EndlessResponse(*PLAIN[case]))
            await harness.request("/book/x", method="POST")
            counted = harness.metrics[0].counters("oversized_responses")
        assert sum(counted.values()) == 1

    @pytest.mark.parametrize("case", ["header fields", "trailers", "empty lines"])
    async def test_one_that_may_run_again_is_served_elsewhere(self, case: str) -> None:
        endless = EndlessResponse(*PLAIN[case])
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", endless)
            await harness.start_endpoint("d2", respond)
            for number in range(4):
                response = await harness.request("/read/x", request_id=f"r{number}")
                assert (response.head.status, response.body) == (200, b"sound")
            await harness.wait_until(lambda: not endless.open)
        for sent in endless.sent:
            assert sent <= SOCKET_BYTES


class TestStreams:
    @pytest.mark.parametrize("case", STREAMS)
    async def test_one_goes_on_elsewhere(self, case: str) -> None:
        """Guards against a stream that waits at such an endpoint until its deadline,
        and against bytes of an event that has no end."""
        endless = EndlessResponse(*STREAMS[case])
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", endless, **ALL_LAYERS)
            bodies = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                await harness.wait_until(lambda: endless.sent)
                await harness.start_endpoint("p2", send_remaining_events, **ALL_LAYERS)
            await harness.wait_until(lambda: not endless.open)
        body = bodies[0].replace(b": still here\n\n", b"")
        if case == "events with falling numbers":
            assert body == event_text(9)
        else:
            assert body == ALL_EVENTS


class TestManyAtOnce:
    async def test_memory_is_bounded_and_others_are_served(self) -> None:
        """Guards against hundreds of such responses at once that fill the memory of a
        host, or keep it from all other requests."""
        cases = list(PLAIN.values())
        may_begin = anyio.Event()
        servers = [EndlessResponse(*case, may_begin=may_begin) for case in cases]
        routes = [RouteRow("/read/", "idempotent", "desk")]
        for number in range(len(cases)):
            service = f"bad-{number}"
            routes.append(RouteRow(f"/bad/{number}/", "once", service, timeout_s=20.0))
        statuses: list[int] = []
        served: list[int] = []
        done = anyio.Event()
        most = 0
        async with router_harness(routes) as harness:
            await harness.start_endpoint("d1", respond)
            for number, server in enumerate(servers):
                await harness.start_endpoint(
                    f"e{number}", server, f"bad-{number}", slots=64
                )
            before = resident_bytes()

            async def ask(number: int) -> None:
                deadline = time.monotonic() + 30
                conn = await harness.connect()
                target = f"/bad/{number % len(cases)}/x"
                try:
                    text = caller_text(target, "POST", request_id=f"b{number}")
                    await conn.send(text, deadline)
                    statuses.append((await conn.read_response(deadline)).head.status)
                except TransportError:
                    statuses.append(0)
                finally:
                    await conn.close()

            async def read() -> None:
                nonlocal most
                while not done.is_set():
                    response = await harness.request("/read/x")
                    served.append(response.head.status)
                    most = max(most, resident_bytes() - before)

            async with anyio.create_task_group() as group:
                group.start_soon(read)
                async with anyio.create_task_group() as asking:
                    for number in range(CONNECTIONS):
                        asking.start_soon(ask, number)
                    await harness.wait_until(
                        lambda: sum(server.open for server in servers) == CONNECTIONS
                    )
                    served_before = len(served)
                    may_begin.set()
                done.set()
            for server in servers:
                await harness.wait_until(lambda server=server: not server.open)
        assert statuses == [502] * CONNECTIONS
        assert len(served) - served_before >= 10
        assert set(served) == {200}
        assert most <= GROWTH_BYTES
