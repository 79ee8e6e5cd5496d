"""Retries that reach endpoints long after they were sent, in virtual time."""

from __future__ import annotations

import random
import time
from itertools import count
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_standins.router.audit import RetryAudit
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest, ScriptedEndpoint
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

# As in the harness.
RATIO, CONSTANT, WINDOW_S = 0.2, 100.0, 10.0
ROUTES = [
    RouteRow("/read/", "idempotent", "desk", timeout_s=4.0, tries=6),
]
HOSTS = 4
ENDPOINTS = 8
RATE = 120.0
# Time for which the hosts run before endpoints fall silent, over one window.
START_S = 12.0
# Time for which endpoints fail once they go on.
FAILURE_S = 12.0
# Time from the start of a silence to the kill of all hosts, and to their next start.
KILL_S = 2.0
RESTART_S = 0.3


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


class LatePool:
    """Endpoints that may read nothing for a while, and callers of all hosts."""

    def __init__(self, harness: RouterHarness) -> None:
        self.harness = harness
        self.failing = False
        self.audit = RetryAudit(RATIO, CONSTANT, WINDOW_S)
        self.endpoints: list[ScriptedEndpoint] = []
        self._numbers = count(1)

    async def start(self) -> None:
        """Start the endpoints and the callers."""
        for number in range(ENDPOINTS):
            self.endpoints.append(
                await self.harness.start_endpoint(f"d{number}", self.handle)
            )
        self.harness.group.start_soon(self._call)

    async def handle(self, received: ReceivedRequest) -> None:
        """Read a request once the endpoint goes on, and answer it."""
        await received.endpoint.wait_until_heard()
        request_id = received.header("request-id") or ""
        self.audit.record_arrival(request_id, time.monotonic())
        await received.answer(500 if self.failing else 200)

    async def _call(self) -> None:
        while True:
            await anyio.sleep(random.expovariate(RATE))
            self.audit.record_request(time.monotonic())
            self.harness.group.start_soon(self._request, next(self._numbers))

    async def _request(self, number: int) -> None:
        router = random.randrange(HOSTS)  # noqa: S311
        target, request_id = f"/read/{number}", f"r{number}"
        try:
            await self.harness.request(target, router=router, request_id=request_id)
        except (TransportError, TimeoutError):
            return


class TestLateReaders:
    @pytest.mark.parametrize("silence_s", [3.0, 10.0])
    async def test_what_waits_counts_when_it_is_read(self, silence_s: float) -> None:
        """Guards against retries that wait at silent endpoints and arrive a window
        later, beside those that are sent then."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, HOSTS):
                await harness.add_router(data_centre=f"place-{number % 3}")
            pool = LatePool(harness)
            await pool.start()
            await anyio.sleep(START_S)
            for endpoint in pool.endpoints:
                endpoint.fall_silent(silence_s)
            await anyio.sleep(silence_s)
            pool.failing = True
            await anyio.sleep(FAILURE_S)
        assert pool.audit.most_used() <= 1.0

    async def test_retries_of_killed_hosts_leave_room_when_they_arrive(self) -> None:
        """Guards against retries of ended processes that arrive a window later: no host
        counts them again, so they must leave room for those that are sent then."""
        random.seed(1)
        silence_s = 10.0
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, HOSTS):
                await harness.add_router(data_centre=f"place-{number % 3}")
            pool = LatePool(harness)
            await pool.start()
            await anyio.sleep(START_S)
            fell_silent_at = time.monotonic()
            for endpoint in pool.endpoints:
                endpoint.fall_silent(silence_s)
            await anyio.sleep(KILL_S)
            for index in range(HOSTS):
                harness.kill(index)
            await anyio.sleep(RESTART_S)
            for index in range(HOSTS):
                await harness.restart(index)
            await anyio.sleep(max(0.0, fell_silent_at + silence_s - time.monotonic()))
            pool.failing = True
            await anyio.sleep(FAILURE_S)
        assert pool.audit.most_used() <= 1.0
