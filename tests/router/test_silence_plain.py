"""Requests with one response at endpoints that fall silent and go on."""

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
    RouteRow("/read/", "idempotent", "desk", timeout_s=4.0),
    RouteRow("/single/", "idempotent", "desk", tries=1, timeout_s=4.0),
    RouteRow("/book/", "once", "desk", timeout_s=4.0),
    RouteRow("/brief/", "idempotent", "desk", timeout_s=1.0),
]
SILENCE_S = 1.2
# Of an endpoint that does not go on.
DARK_S = 60.0
# Time within which a response follows the end of a silence, and the time within which a
# request is served elsewhere.
SLACK_S = 0.3
ELSEWHERE_S = 1.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def start(harness: RouterHarness, count: int) -> PausingPool:
    desk = PausingPool(harness, "desk")
    await desk.start(count, layers=None)
    return desk


def deny_retries(harness: RouterHarness) -> None:
    """Let the retry budget be empty."""
    for router in harness.routers:
        router.budget.try_acquire = lambda *args: False


def run_count(desk: PausingPool, path: str) -> int:
    """Return how many requests to a path reached the endpoints."""
    return sum(
        received.head.target.startswith(path.encode())
        for endpoint in desk.endpoints
        for received in endpoint.received
    )


class TestOneSilentEndpoint:
    @pytest.mark.parametrize("target", ["/read/", "/single/", "/book/"])
    async def test_a_request_is_served_after_the_pause(self, target: str) -> None:
        """Guards against a request that is given up as its only endpoint is silent."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 1)
            desk.endpoints[0].fall_silent(SILENCE_S)
            outcome = await PausingLoad(harness, target).request("story", "first")
            assert outcome.whole
            assert outcome.took_s < SILENCE_S + SLACK_S
            assert run_count(desk, target) == 1

    async def test_a_pause_is_no_evidence_against_the_prompt(self) -> None:
        """Guards against prompts that are blamed for a silent endpoint."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 2)
            for endpoint in desk.endpoints:
                endpoint.fall_silent(SILENCE_S)
            await PausingLoad(harness, "/read/").request("story", "first")
            assert not harness.routers[0].quarantine._suspects

    async def test_a_request_waits_until_its_deadline_and_no_longer(self) -> None:
        """Guards against a request that is refused before its deadline, or is held
        beyond it, as the pause lasts longer."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 1)
            desk.endpoints[0].fall_silent(SILENCE_S)
            outcome = await PausingLoad(harness, "/brief/").request("story", "first")
            assert outcome.status == 504
            assert 0.9 <= outcome.took_s < 1.0 + SLACK_S


class TestSeveralEndpoints:
    async def test_a_request_at_a_dark_endpoint_is_served_elsewhere(self) -> None:
        """Guards against requests that wait for an endpoint that does not go on."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 3)
            desk.endpoints[0].fall_silent(DARK_S)
            load = PausingLoad(harness, "/read/")
            for number in range(12):
                await load.request("story", f"read-{number}")
            assert load.count("whole") == 12
            assert max(item.took_s for item in load.outcomes) < ELSEWHERE_S

    async def test_a_booking_is_sent_once(self) -> None:
        """Guards against a request that runs twice as its endpoint is silent."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 3)
            for endpoint in desk.endpoints:
                endpoint.fall_silent(SILENCE_S)
            outcome = await PausingLoad(harness, "/book/").request("story", "first")
            assert outcome.whole
            assert run_count(desk, "/book/") == 1

    async def test_the_first_response_is_relayed(self) -> None:
        """Guards against a request that left an endpoint which goes on, for one that
        stays silent."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 2)
            for endpoint in desk.endpoints:
                endpoint.fall_silent(SILENCE_S)
            load = PausingLoad(harness, "/read/")
            async with anyio.create_task_group() as group:
                group.start_soon(load.request, "story", "first")
                await anyio.sleep(0.2)
                for endpoint in desk.endpoints:
                    if not endpoint.received:
                        endpoint.fall_silent(DARK_S)
            assert all(endpoint.received for endpoint in desk.endpoints)
            assert load.outcomes[0].whole
            assert load.outcomes[0].took_s < SILENCE_S + SLACK_S

    async def test_an_empty_retry_budget_refuses_none(self) -> None:
        """Guards against a request that leaves its endpoint and has no retry."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 3)
            deny_retries(harness)
            for endpoint in desk.endpoints:
                endpoint.fall_silent(SILENCE_S)
            outcome = await PausingLoad(harness, "/read/").request("story", "first")
            assert outcome.whole
            assert outcome.took_s < SILENCE_S + SLACK_S

    @pytest.mark.parametrize("target", ["/read/", "/single/", "/book/"])
    async def test_none_is_refused_while_endpoints_pause_in_turn(
        self, target: str
    ) -> None:
        """Guards against refusals while one endpoint after the other pauses."""
        async with router_harness(ROUTES) as harness:
            desk = await start(harness, 3)
            load = PausingLoad(harness, target)
            async with anyio.create_task_group() as group:
                group.start_soon(desk.pause_in_turn, 1.0, 1.3)
                await load.run(random.Random(5), 12.0, 5.0, ["story"])
                group.cancel_scope.cancel()
            assert load.count("whole") == len(load.outcomes)
