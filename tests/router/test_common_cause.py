"""Endpoints that end together under contents that many callers ask for."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_standins.router.crashing import CrashingPool
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

HOSTS = 4
ENDPOINTS = 3
MANY_ENDPOINTS = 16
CALLERS = 24
PAUSE_S = 0.05
START_S = 2.0
BACK_S = (0.5, 1.5)
# Time between two crashes, and from the last one until callers are served again.
SPACING_S = 3.0
RECOVERY_S = 4.0
COUNTED_S = 2.0
DARK_RECOVERY_S = 8.0
SERVED_FRACTION = 0.9
# Sends of a fatal content after the third end under it, and the time in which hosts
# learn of that.
SENDS_AFTER_THIRD = 3
CONTACT_S = 3.0
ROUTES = [
    RouteRow("/read/", "idempotent", "desk", tries=3, timeout_s=4.0),
    RouteRow("/book/", "once", "desk", timeout_s=4.0),
    RouteRow("/draft/", "stream", "pool", resumable=True, tries=4, timeout_s=20.0),
]
SERVICES = {"/read/": "desk", "/book/": "desk", "/draft/": "pool"}


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock, 0.0)}


@dataclass
class PopularContent:
    """One content that all callers ask for again and again."""

    harness: RouterHarness
    target: str
    content: str = "front page"
    segments: str = "base own"
    callers: int = CALLERS
    outcomes: list[tuple[float, int]] = field(default_factory=list)

    def start(self) -> None:
        """Start the callers."""
        for number in range(self.callers):
            self.harness.group.start_soon(self._run, number)

    async def _run(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            await anyio.sleep(random.uniform(0.0, 2 * PAUSE_S))
            sent_at = time.monotonic()
            status = await self._request(f"{self.content}-{number}-{count}")
            self.outcomes.append((sent_at, status))

    async def _request(self, request_id: str) -> int:
        headers = {"segments": self.segments} if self.target == "/draft/" else {}
        try:
            response = await self.harness.request(
                self.target,
                method="POST",
                body=self.content.encode(),
                headers=headers,
                router=random.randrange(len(self.harness.routers)),
                request_id=request_id,
            )
        except (TransportError, OSError):
            return 0
        return response.head.status

    def served(self, since: float) -> float:
        """Return the fraction served of those that were sent since then."""
        counted = [status for sent_at, status in self.outcomes if sent_at >= since]
        return sum(status == 200 for status in counted) / len(counted)


async def start_pool(
    harness: RouterHarness, target: str, **options: Any
) -> CrashingPool:
    """Start the other hosts and the endpoints of a route's service."""
    for number in range(1, HOSTS):
        await harness.add_router(data_centre=f"place-{number % 3}")
    service = SERVICES[target]
    pool = CrashingPool(
        harness,
        service,
        has_model=service == "pool",
        restart_s=options.pop("restart_s", BACK_S),
        **options,
    )
    await pool.start(ENDPOINTS)
    return pool


async def restart_half(harness: RouterHarness) -> None:
    """Kill half of the hosts, and start them again."""
    for index in range(HOSTS // 2):
        harness.kill(index)
    await anyio.sleep(0.5)
    for index in range(HOSTS // 2):
        await harness.restart(index)


class TestSound:
    @pytest.mark.parametrize(
        ("target", "restarts", "crashes"),
        [
            ("/read/", False, 1),
            ("/read/", True, 1),
            ("/read/", True, 3),
            ("/book/", False, 1),
            ("/book/", True, 3),
            ("/draft/", False, 3),
            ("/draft/", True, 3),
        ],
    )
    async def test_a_popular_content_is_served_after_all_endpoints_crashed(
        self, target: str, restarts: bool, crashes: int
    ) -> None:
        """Guards against one crash of all endpoints that counts as three ends under
        each content that was in flight at them."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, target)
            popular = PopularContent(harness, target)
            popular.start()
            await anyio.sleep(START_S)
            for _ in range(crashes):
                for endpoint in list(pool.endpoints):
                    pool.crash(endpoint)
                if restarts:
                    await restart_half(harness)
                await anyio.sleep(SPACING_S)
            since = time.monotonic() + RECOVERY_S - SPACING_S
            await anyio.sleep(RECOVERY_S - SPACING_S + COUNTED_S)
            assert popular.served(since) >= SERVED_FRACTION

    @pytest.mark.parametrize("count", [1, 2])
    async def test_one_is_served_after_some_endpoints_crashed_again_and_again(
        self, count: int
    ) -> None:
        """Guards against ends at few endpoints that add up over a series."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, "/read/")
            popular = PopularContent(harness, "/read/")
            popular.start()
            await anyio.sleep(START_S)
            for _ in range(4):
                for endpoint in pool.endpoints[:count]:
                    pool.crash(endpoint)
                await anyio.sleep(SPACING_S / 4)
            since = time.monotonic() + RECOVERY_S
            await anyio.sleep(RECOVERY_S + COUNTED_S)
            assert popular.served(since) >= SERVED_FRACTION

    @pytest.mark.parametrize("target", ["/read/", "/draft/"])
    async def test_one_is_served_after_all_endpoints_lost_their_power(
        self, target: str
    ) -> None:
        """Guards against attempts at endpoints that are dark already, one after the
        other, that count as ends under their content."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, target, dark=True, restart_s=(2.5, 4.0))
            popular = PopularContent(harness, target, callers=12)
            popular.start()
            await anyio.sleep(START_S)
            for endpoint in list(pool.endpoints):
                pool.crash(endpoint)
            await anyio.sleep(DARK_RECOVERY_S)
            since = time.monotonic()
            await anyio.sleep(COUNTED_S)
            assert popular.served(since) >= SERVED_FRACTION

    async def test_one_is_served_long_before_its_quarantine_would_end(self) -> None:
        """Guards against a sound content that met three ends of other requests, one
        after the other, and that nothing can clear."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, "/book/", fatal_requests={"fatal"})
            await anyio.sleep(START_S)
            popular = PopularContent(harness, "/book/", "fatal", callers=3)
            popular.start()
            await anyio.sleep(10.0)
            pool.fatal_requests.clear()
            since = time.monotonic() + 60.0
            await anyio.sleep(60.0 + COUNTED_S)
            assert popular.served(since) >= SERVED_FRACTION


class TestSilent:
    @pytest.mark.parametrize("silence_s", [6.0, 10.0])
    async def test_a_popular_content_is_served_once_all_endpoints_go_on(
        self, silence_s: float
    ) -> None:
        """Guards against endpoints that all fall silent at one moment, are found so one
        after the other, and count as several ends under what was sent to them."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, "/read/")
            for _ in range(MANY_ENDPOINTS - ENDPOINTS):
                await pool.start_one()
            popular = PopularContent(harness, "/read/", callers=12)
            popular.start()
            for number in range(4):
                PopularContent(harness, "/read/", f"page {number}", callers=2).start()
            await anyio.sleep(START_S)
            for endpoint in list(pool.endpoints):
                endpoint.fall_silent(silence_s)
            await anyio.sleep(silence_s + RECOVERY_S)
            since = time.monotonic()
            await anyio.sleep(COUNTED_S)
            assert popular.served(since) >= SERVED_FRACTION


class TestSegments:
    @pytest.mark.parametrize("restarts", [False, True])
    async def test_one_is_served_after_endpoints_ended_in_a_row(
        self, restarts: bool
    ) -> None:
        """Guards against a segment that is blamed as endpoints end in a row, for one
        cause, under streams with it that were in flight at them before."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, "/draft/")
            for _ in range(ENDPOINTS):
                await pool.start_one()
            await anyio.sleep(START_S)
            rare = PopularContent(harness, "/draft/", segments="base rare own")
            common = PopularContent(harness, "/draft/")
            if restarts:
                await restart_half(harness)
            rare.start()
            common.start()
            await anyio.sleep(0.5)
            for endpoint in pool.endpoints[:ENDPOINTS]:
                pool.crash(endpoint)
                await anyio.sleep(0.15)
            await anyio.sleep(RECOVERY_S)
            since = time.monotonic()
            await anyio.sleep(3 * COUNTED_S)
            assert rare.served(since) >= SERVED_FRACTION


class TestFatal:
    @pytest.mark.parametrize("callers", [1, 3, 12])
    async def test_a_popular_content_that_ends_endpoints_is_not_sent_on(
        self, callers: int
    ) -> None:
        """Guards against a fatal content that goes on to end endpoints, as several
        ended at one moment under it."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, "/read/", fatal_requests={"fatal"})
            sound = PopularContent(harness, "/read/", callers=12)
            sound.start()
            await anyio.sleep(START_S)
            PopularContent(harness, "/read/", "fatal", callers=callers).start()
            await anyio.sleep(12.0)
            ends = pool.crashes_under["fatal"]
            assert len(ends) <= 3 + SENDS_AFTER_THIRD
            assert pool.arrivals_after_crash("fatal", 3, CONTACT_S) == 0
            since = time.monotonic()
            await anyio.sleep(COUNTED_S)
            assert sound.served(since) >= SERVED_FRACTION

    async def test_one_beside_crashes_of_all_endpoints_is_not_sent_on(self) -> None:
        """Guards against a fatal content that hides behind a common cause."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            pool = await start_pool(harness, "/read/", fatal_requests={"fatal"})
            sound = PopularContent(harness, "/read/", callers=12)
            sound.start()
            await anyio.sleep(START_S)
            PopularContent(harness, "/read/", "fatal", callers=2).start()
            for _ in range(3):
                await anyio.sleep(SPACING_S)
                for endpoint in list(pool.endpoints):
                    pool.crash(endpoint)
            await anyio.sleep(RECOVERY_S)
            ends = pool.crashes_under["fatal"]
            assert len(ends) <= 3 + SENDS_AFTER_THIRD
            since = time.monotonic()
            await anyio.sleep(COUNTED_S)
            assert sound.served(since) >= SERVED_FRACTION
