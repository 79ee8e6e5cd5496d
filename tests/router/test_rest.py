"""Rest that endpoints ask for, over whole routers in virtual time."""

from __future__ import annotations

import random
from typing import Any

import anyio
import pytest

from hemlockhall_router.process.directory import INITIAL_LATENCY_S
from hemlockhall_router.process.router import MAINTENANCE_INTERVAL_S
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest, RequestHandler
from hemlockhall_standins.router.harness import router_harness
from hemlockhall_standins.router.load import CallerLoad, most_during_rest
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
ALL_LAYERS = {"service": "pool", "layers": (0, 8), "accelerator": "big"}
REST_S = 3.0
# As long as hosts assume of an endpoint that has not responded yet, so that all get
# requests.
RESPONSE_S = INITIAL_LATENCY_S
# Requests that one host may send to an endpoint in one time of rest.
ALLOWED = 2
# Seconds in which hosts hear each other, and for which an endpoint asks for rest.
START_S = 2.0
REJECTING_S = 10.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await anyio.sleep(RESPONSE_S)
    await received.answer(200, b"")


async def refuse(received: ReceivedRequest) -> None:
    await received.refuse()


async def stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.end()


# Handler and row of endpoints that serve a route.
SERVICES: dict[str, tuple[RequestHandler, dict[str, Any]]] = {
    "/read/": (respond, {"service": "desk"}),
    "/draft/": (stream, ALL_LAYERS),
}


class TestStatements:
    async def test_rest_is_counted_and_shown_until_it_is_over(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", refuse)
            endpoint.rest_s = REST_S
            await harness.request("/read/")
            during = harness.routers[0]._metrics.render().decode()
            await anyio.sleep(REST_S + MAINTENANCE_INTERVAL_S)
            after = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_statements_total{label="rest"} 1' in during
        assert 'hemlockhall_endpoint_rest_seconds{label="d1"} ' in during
        assert 'hemlockhall_endpoint_rest_sent{label="d1"} 0.000' in during
        assert "endpoint_rest" not in after

    async def test_a_leaving_endpoint_is_counted_and_shown(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            endpoint.leaving = True
            await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_statements_total{label="leaving"} 1' in metrics
        assert 'hemlockhall_endpoint_leaving_sent{label="d1"} 0.000' in metrics

    async def test_an_unreadable_rest_is_counted(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", refuse)
            endpoint.rest_s = "soon"
            await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_statements_unreadable_total{label="rest"} 1' in metrics


@pytest.mark.parametrize("target", SERVICES)
class TestBound:
    async def test_an_endpoint_that_asks_for_rest_gets_it(self, target: str) -> None:
        """Guards against hosts that keep sending requests to an endpoint that rejected
        one and asked them for rest, and against callers that are refused for it while
        other endpoints are idle."""
        random.seed(5)
        handler, row = SERVICES[target]
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            resting = await harness.start_endpoint("d1", handler, **row)
            for name in ("d2", "d3", "d4"):
                await harness.start_endpoint(name, handler, **row)
            load = CallerLoad(harness, target, 40.0)
            load.start(harness.group)
            await anyio.sleep(START_S)
            resting.handler, resting.rest_s = refuse, REST_S
            await anyio.sleep(REJECTING_S)
        assert len(resting.rests) >= len(harness.routers)
        assert most_during_rest(resting, load) <= ALLOWED
        assert {response.head.status for response in load.responses} == {200}
