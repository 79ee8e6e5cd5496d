"""Errors in one task of a router, and the requests that go on."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from hemlockhall_router.process.metric import Metrics
from hemlockhall_router.process.router import Router
from hemlockhall_router.process.supervisor import RESTART_DELAY_S, Supervisor
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
RUN_S = 3.0


class DefectError(Exception):
    """A defect of the router itself."""


def fail(*_: Any, **__: Any) -> Any:
    raise DefectError


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await received.answer(200, b"")


async def stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.end()


# Parts of a router, by the names of the tasks that use them.
PARTS: dict[str, Callable[[Router], tuple[Any, str]]] = {
    "routing": lambda router: (router._routing_watch, "confirm"),
    "apply_row": lambda router: (router.directory, "_upsert"),
    "rounds": lambda router: (router.membership._exchange, "run_round"),
    "message": lambda router: (router.membership._exchange, "receive"),
    "endpoints": lambda router: (router._endpoints_watch, "apply"),
    "plan": lambda router: (router._planner, "_plan_service"),
    "planner": lambda router: (router.leadership, "may_plan"),
    "prober": lambda router: (router._prober, "_take_due"),
    "maintenance": lambda router: (router.limits, "issue"),
    "settings": lambda router: (router, "_reload"),
    "intake": lambda router: (router.intake, "record_lag"),
}


class TestRouter:
    @pytest.mark.parametrize("part", PARTS)
    async def test_an_error_in_one_part_ends_no_request(
        self, part: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a defect in one task that closes all connections."""
        async with router_harness(ROUTES) as harness:
            harness.internal_errors_allowed = True
            await harness.add_router()
            desk = await harness.start_endpoint("d1", respond)
            await harness.start_endpoint(
                "p1", stream, service="pool", layers=(0, 8), accelerator="big"
            )
            await assert_served(harness)
            with monkeypatch.context() as patch:
                for router in harness.routers:
                    owner, name = PARTS[part](router)
                    patch.setattr(owner, name, fail, raising=True)
                harness.configure()
                harness.register(desk, "desk", orders=1)
                until = time.monotonic() + RUN_S
                while time.monotonic() < until:
                    await assert_served(harness)
                    await anyio.sleep(0.1)
            await anyio.sleep(RUN_S)
            await assert_served(harness)
            await harness.start_endpoint("d2", respond)
        assert any(metrics.counters("internal_errors") for metrics in harness.metrics)

    async def test_the_caller_gets_a_response_after_an_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a connection that is closed without an answer."""
        async with router_harness(ROUTES) as harness:
            harness.internal_errors_allowed = True
            await harness.start_endpoint("d1", respond)
            monkeypatch.setattr(harness.routers[0].admission, "decide", fail)
            assert (await harness.request("/read/")).head.status == 500
        assert harness.metrics[0].counters("internal_errors") == {"request": 1}

    async def test_tests_fail_after_an_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a defect that the router survives and no test reports."""
        with pytest.raises(AssertionError, match="maintenance"):
            async with router_harness(ROUTES) as harness:
                monkeypatch.setattr(harness.routers[0].limits, "issue", fail)
                await anyio.sleep(RUN_S)


async def assert_served(harness: RouterHarness) -> None:
    for router in range(len(harness.routers)):
        for target in ("/read/", "/draft/"):
            response = await harness.request(target, router=router)
            assert response.head.status == 200


class TestTask:
    async def test_one_that_fails_begins_again_after_a_pause(self) -> None:
        """Guards against a task that stays ended, and one that fails in a loop."""
        began: list[float] = []

        async def task() -> None:
            began.append(time.monotonic())
            if len(began) < 4:
                raise DefectError

        metrics = Metrics()
        await Supervisor(metrics).run("task", task)
        assert len(began) == 4
        for first, second in zip(began, began[1:], strict=False):
            assert second - first >= RESTART_DELAY_S
        assert metrics.counters("internal_errors") == {"task": 3}

    async def test_one_that_is_cancelled_does_not(self) -> None:
        """Guards against a task that goes on after the end of the router."""
        metrics = Metrics()
        with anyio.move_on_after(RUN_S) as scope:
            await Supervisor(metrics).run("task", anyio.sleep_forever)
        assert scope.cancelled_caught
        assert metrics.counters("internal_errors") == {}
