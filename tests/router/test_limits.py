"""Request limits that endpoints state, over whole routers in virtual time."""

from __future__ import annotations

import contextlib
import random
import time
from itertools import pairwise
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_router.process.chooser import NO_PATH_BACKOFF_S
from hemlockhall_router.process.limits import LOOK_AHEAD_S, LOOK_AHEAD_SLOTS
from hemlockhall_router.process.router import MAINTENANCE_INTERVAL_S
from hemlockhall_router.request.stream import MIN_PATH_WAIT_FRACTION
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest, RequestHandler
from hemlockhall_standins.router.harness import router_harness
from hemlockhall_standins.router.load import CallerLoad, most_in_window
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
ALL_LAYERS = {"service": "pool", "layers": (0, 8), "accelerator": "big"}
# What an endpoint with a limit may get in any window: a multiple of what the limit
# allows, and some more, from some seconds after it first stated the limit.
WINDOW_S = 4.0
OVERSHOOT = 1.5
EXTRA_REQUESTS = 5
CONTACT_S = 3.0
# Seconds in which hosts hear each other, and for which an endpoint states a limit.
START_S = 2.0
LIMITED_S = 15.0
STEADY_S = 6.0
# Fraction of the permits that hosts must use while there are so many callers.
LEAST_USED = 0.5


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await received.answer(200, b"")


async def refuse(received: ReceivedRequest) -> None:
    await received.refuse()


async def stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.end()


async def hold_stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.reader.wait_disconnect()


async def reset_stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.reset()


# Handler and row of endpoints that serve a route.
SERVICES: dict[str, tuple[RequestHandler, dict[str, Any]]] = {
    "/read/": (respond, {"service": "desk"}),
    "/draft/": (stream, ALL_LAYERS),
}


def allowed(limit: float) -> float:
    return OVERSHOOT * limit * WINDOW_S + EXTRA_REQUESTS


class TestStatements:
    async def test_a_stated_limit_is_counted_and_shown(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            endpoint.request_limit = 1.5
            response = await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert response.head.header(b"request-limit") == b"1.5"
        assert 'hemlockhall_endpoint_limit{label="d1"} 1.500' in metrics
        assert 'hemlockhall_limit_statements_total{label="stated"} 1' in metrics

    async def test_a_response_without_the_limit_ends_it(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            await anyio.sleep(START_S)
            endpoint.request_limit = 20
            await harness.request("/read/")
            await anyio.sleep(START_S)
            endpoint.request_limit = None
            await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert "hemlockhall_endpoint_limit" not in metrics
        assert 'hemlockhall_limit_statements_total{label="ended"} 1' in metrics

    async def test_a_refusal_without_the_limit_does_not_end_it(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            await anyio.sleep(START_S)
            endpoint.request_limit = 20
            await harness.request("/read/")
            await anyio.sleep(START_S)
            endpoint.request_limit = None
            endpoint.handler = refuse
            await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_endpoint_limit{label="d1"} 20.000' in metrics


class TestBound:
    """An endpoint gets what its limit allows from all hosts together, and no more."""

    @pytest.mark.parametrize(("hosts", "limit"), [(4, 0.5), (4, 10.0), (32, 1.0)])
    async def test_hosts_together_keep_a_stated_limit(
        self, hosts: int, limit: float
    ) -> None:
        """Guards against hosts that ignore the limit that an endpoint states, or that
        each use up the whole of it."""
        random.seed(hosts)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, hosts):
                await harness.add_router(data_centre=f"place-{number % 3}")
            limited = await harness.start_endpoint("d1", respond)
            await harness.start_endpoint("d2", respond)
            load = CallerLoad(harness, "/read/", 40.0)
            load.start(harness.group)
            await anyio.sleep(START_S)
            limited.request_limit = limit
            stated_at = time.monotonic()
            await anyio.sleep(LIMITED_S)
        most = most_in_window(limited.arrivals, WINDOW_S, stated_at + CONTACT_S)
        assert most <= allowed(limit)

    async def test_a_limit_holds_through_partitions_restarts_and_changes(self) -> None:
        """Guards against whole hosts that go past a limit, or leave its permits unused:
        one hears nobody, then each is killed and starts again, then the limit falls
        and ends."""
        random.seed(7)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            endpoint = await harness.start_endpoint("d1", stream, **ALL_LAYERS)
            CallerLoad(harness, "/draft/", 40.0).start(harness.group)
            await anyio.sleep(START_S)
            endpoint.request_limit = 4.0
            stated_at = time.monotonic()
            await anyio.sleep(STEADY_S)
            harness.parted = lambda sender, receiver: 1 in (sender, receiver)
            await anyio.sleep(STEADY_S)
            harness.parted = lambda sender, receiver: False
            for index in range(4):
                harness.kill(index)
                await anyio.sleep(1.0)
                await harness.restart(index)
                await anyio.sleep(1.0)
            await anyio.sleep(STEADY_S)
            endpoint.request_limit = 1.0
            lowered_at = time.monotonic()
            await anyio.sleep(STEADY_S)
            endpoint.request_limit = None
            await anyio.sleep(STEADY_S)
            limited = [r for r in harness.routers if r.limits.active]
        assert limited == []
        times = endpoint.arrivals
        until_lowered = [at for at in times if at < lowered_at]
        until_ended = [at for at in times if at < lowered_at + STEADY_S]
        after = stated_at + CONTACT_S
        assert most_in_window(until_lowered, WINDOW_S, after) <= allowed(4.0)
        after = lowered_at + CONTACT_S
        assert most_in_window(until_ended, WINDOW_S, after) <= allowed(1.0)
        used = sum(stated_at < at < stated_at + STEADY_S for at in times)
        assert used >= LEAST_USED * 4.0 * STEADY_S

    async def test_streams_of_a_lost_endpoint_are_resumed_within_a_limit(self) -> None:
        """Guards against retries that go past a limit: all streams of a lost endpoint
        are resumed at the one that is left, and come before new requests there."""
        route = RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=60.0)
        async with router_harness([route]) as harness:
            lost = await harness.start_endpoint("p1", hold_stream, **ALL_LAYERS)
            load = CallerLoad(harness, "/draft/", 20.0)
            load.start(harness.group)
            await anyio.sleep(START_S)
            limited = await harness.start_endpoint("p2", stream, **ALL_LAYERS)
            limited.request_limit = 1.0
            await anyio.sleep(START_S)
            stated_at = time.monotonic()
            lost.stop()
            await anyio.sleep(LIMITED_S)
        resumed = [r for r in limited.received if r.header("resume-after")]
        assert len(resumed) >= LEAST_USED * LIMITED_S
        assert most_in_window(limited.arrivals, WINDOW_S, stated_at) <= allowed(1.0)


class TestFailedEndpoints:
    async def test_one_is_not_tried_again_at_once_for_want_of_a_permit(self) -> None:
        """Guards against a stream that uses up its retries at an endpoint that just
        failed it, as this host has no permit for the other one."""
        async with router_harness(ROUTES) as harness:
            limited = await harness.start_endpoint("p1", stream, **ALL_LAYERS)
            await anyio.sleep(START_S)
            limited.request_limit = 0.2
            while (await harness.request("/draft/")).head.status == 200:
                continue
            failing = await harness.start_endpoint("p2", reset_stream, **ALL_LAYERS)
            await anyio.sleep(NO_PATH_BACKOFF_S)
            with contextlib.suppress(TransportError):
                await harness.request("/draft/")
        gaps_s = [after - at for at, after in pairwise(failing.arrivals)]
        assert min(gaps_s) >= ROUTES[1].objective_s * MIN_PATH_WAIT_FRACTION


class TestCost:
    async def test_many_refusals_draw_few_slots(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a host without permits that is kept busy by looking for its
        next one again for each of many refused requests."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            await anyio.sleep(START_S)
            endpoint.request_limit = 10.0
            await harness.request("/read/")
            draws: list[str] = []
            shares = harness.routers[0].membership.shares
            monkeypatch.setattr(shares, "owns", lambda key: draws.append(key))
            for _ in range(200):
                await harness.request("/read/")
        assert len(draws) <= 2 * LOOK_AHEAD_SLOTS


@pytest.mark.parametrize("target", SERVICES)
class TestRefusals:
    async def test_another_endpoint_is_used_without_a_permit(self, target: str) -> None:
        """Guards against refusals for want of a permit while another endpoint has no
        limit."""
        handler, row = SERVICES[target]
        async with router_harness(ROUTES) as harness:
            limited = await harness.start_endpoint("d1", handler, **row)
            await harness.start_endpoint("d2", handler, **row)
            await anyio.sleep(START_S)
            limited.request_limit = 0.5
            responses = [await harness.request(target) for _ in range(50)]
        assert {response.head.status for response in responses} == {200}

    async def test_without_a_permit_a_request_is_refused_at_once(
        self, target: str
    ) -> None:
        """Guards against requests that wait until their deadline for a permit, and
        against callers that come back in vain: each is told when the next permit is
        there that no other caller was told of."""
        handler, row = SERVICES[target]
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", handler, **row)
            await anyio.sleep(START_S)
            endpoint.request_limit = 0.5
            statuses, waits_s = [], []
            for _ in range(12):
                sent_at = time.monotonic()
                response = await harness.request(target)
                if response.head.status == 503:
                    assert time.monotonic() - sent_at < MAINTENANCE_INTERVAL_S
                    waits_s.append(float(response.head.header(b"retry-after")))
                statuses.append(response.head.status)
            assert set(statuses) == {200, 503}
            assert waits_s == sorted(waits_s)
            assert waits_s[0] + 1.9 < waits_s[1] < waits_s[2] == LOOK_AHEAD_S
            await anyio.sleep(waits_s[0] + MAINTENANCE_INTERVAL_S)
            assert (await harness.request(target)).head.status == 200
            metrics = harness.routers[0]._metrics.render().decode()
        count = len(waits_s)
        assert f'hemlockhall_refusals_total{{label="no_permit"}} {count}' in metrics
