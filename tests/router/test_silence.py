"""Sound endpoints that fall silent for a second or so and go on."""

from __future__ import annotations

import random
from typing import Any

import anyio
import pytest

from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.router.pausing import PausingLoad, PausingPool
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=20.0),
    RouteRow("/once/", "stream", "pool", timeout_s=20.0),
    RouteRow("/read/", "idempotent", "desk", timeout_s=4.0),
    RouteRow("/book/", "once", "desk", timeout_s=4.0),
]
SILENCE_S = 1.2
LONG_SILENCE_S = 1.8
# Time in which evidence of one host reaches the others.
SPREAD_S = 2.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


def suspected_segments(harness: RouterHarness) -> list[int]:
    """Return how many segments each router has evidence against."""
    return [len(router.quarantine._suspects) for router in harness.routers]


async def pause_before_an_event(pool: PausingPool, harness: RouterHarness) -> None:
    """Let an endpoint fall silent under a request of the first router."""
    pool.silent_after[("first", 0)] = SILENCE_S
    outcome = await PausingLoad(harness, "/draft/").request("story", "first", 0)
    assert outcome.whole
    await anyio.sleep(SPREAD_S)


class TestStreams:
    async def test_one_with_events_is_not_cut_as_its_endpoint_pauses(self) -> None:
        """Guards against a stream that its host ends within milliseconds, as an
        endpoint that pauses counts as crashed and another host blames the prompt."""
        async with router_harness(ROUTES) as harness:
            await harness.add_router()
            pool = PausingPool(harness)
            await pool.start(3)
            await pause_before_an_event(pool, harness)
            pool.silent_after[("second", 1)] = SILENCE_S
            load = PausingLoad(harness, "/draft/")
            outcome = await load.request("story", "second", 1)
            assert (outcome.status, outcome.whole) == (200, True)

    async def test_a_pause_is_no_evidence_against_the_prompt(self) -> None:
        """Guards against prompts that are blamed for the pauses of endpoints."""
        async with router_harness(ROUTES) as harness:
            await harness.add_router()
            pool = PausingPool(harness)
            await pool.start(3)
            await pause_before_an_event(pool, harness)
            assert suspected_segments(harness) == [0, 0]

    async def test_one_without_another_path_goes_on_after_the_pause(self) -> None:
        """Guards against a stream that leaves its only endpoint and is given up."""
        async with router_harness(ROUTES) as harness:
            pool = PausingPool(harness)
            await pool.start(1)
            pool.silent_after[("first", 3)] = SILENCE_S
            outcome = await PausingLoad(harness, "/draft/").request("story", "first")
            assert outcome.whole


class TestRequests:
    @pytest.mark.parametrize("silence_s", [SILENCE_S, LONG_SILENCE_S])
    @pytest.mark.parametrize("target", ["/draft/", "/once/", "/read/", "/book/"])
    async def test_none_is_refused_while_all_endpoints_pause(
        self, target: str, silence_s: float
    ) -> None:
        """Guards against refusals for a pause after which all could be served."""
        rng = random.Random(3)
        async with router_harness(ROUTES) as harness:
            pool = PausingPool(harness)
            await pool.start(3)
            desk = PausingPool(harness, "desk")
            await desk.start(3, layers=None)
            load = PausingLoad(harness, target)
            async with anyio.create_task_group() as group:
                group.start_soon(load.run, rng, 12.0, 4.0, ["story"])
                await anyio.sleep(1.0)
                for endpoint in (*pool.endpoints, *desk.endpoints):
                    endpoint.fall_silent(silence_s)
            assert load.count("whole") == len(load.outcomes)

    @pytest.mark.parametrize("target", ["/draft/", "/once/", "/read/", "/book/"])
    async def test_none_is_refused_while_endpoints_pause_in_turn(
        self, target: str
    ) -> None:
        """Guards against refusals and cuts, as the pauses of endpoints add up to
        evidence against prompt parts that come seldom."""
        rng = random.Random(4)
        segments = [f"part-{number}" for number in range(100)]
        async with router_harness(ROUTES) as harness:
            await harness.add_router()
            pool = PausingPool(harness)
            await pool.start(3)
            desk = PausingPool(harness, "desk")
            await desk.start(3, layers=None)
            load = PausingLoad(harness, target)
            async with anyio.create_task_group() as group:
                group.start_soon(pool.pause_in_turn, 1.0, 1.3)
                group.start_soon(desk.pause_in_turn, 1.0, 1.3)
                await load.run(rng, 12.0, 8.0, segments)
                group.cancel_scope.cancel()
            assert load.count("whole") == len(load.outcomes)
