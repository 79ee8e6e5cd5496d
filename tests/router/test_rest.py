"""Rest that endpoints ask for, over whole routers in virtual time."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from hemlockhall_router.process.router import MAINTENANCE_INTERVAL_S
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
REST_S = 3.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await received.answer(200, b"")


async def refuse(received: ReceivedRequest) -> None:
    await received.refuse()


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
