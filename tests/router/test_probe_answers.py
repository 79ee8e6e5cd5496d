"""What answers to probes, and missing ones, tell of an endpoint."""

from __future__ import annotations

import time
from typing import Any

import anyio
import pytest

from hemlockhall_router.process.directory import PAUSE_LIMIT_S
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import router_harness
from hemlockhall_standins.router.pausing import ROW
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/draft/", "stream", "pool", resumable=True)]


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def reset(received: ReceivedRequest) -> None:
    await received.reset()


class TestSilentEndpoint:
    async def test_it_is_used_again_as_soon_as_it_goes_on(self) -> None:
        """Guards against an endpoint that is left out for a second after its pause,
        until its next probe."""
        silence_s = 0.5
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", reset, "pool", **ROW)
            router = harness.routers[0]
            record = router.directory.records["p1"]
            began_at = time.monotonic()
            endpoint.fall_silent(silence_s)
            router._prober.request_probes(["p1"])
            await harness.wait_until(lambda: record.down)
            assert not record.ended
            await harness.wait_until(lambda: not record.down)
            assert time.monotonic() - began_at < silence_s + 0.1
            # The first probe, and the one that outlasted the pause.
            assert endpoint.calls == 2

    async def test_one_that_stays_silent_is_not_waited_for(self) -> None:
        """Guards against a host without power whose layers nobody takes over."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", reset, "pool", **ROW)
            router = harness.routers[0]
            record = router.directory.records["p1"]
            endpoint.fall_silent(60.0)
            router._prober.request_probes(["p1"])
            await harness.wait_until(lambda: record.down)
            assert record.pausing(time.monotonic())
            await anyio.sleep(PAUSE_LIMIT_S + 0.1)
            assert record.down
            assert not record.pausing(time.monotonic())
            assert router.directory.live_endpoints("pool") == []


class TestEndedEndpoint:
    async def test_a_refused_connection_shows_the_end(self) -> None:
        """Guards against a crashed endpoint that is taken for a pausing one."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", reset, "pool", **ROW)
            router = harness.routers[0]
            record = router.directory.records["p1"]
            endpoint.stop()
            await anyio.sleep(0.1)
            router._prober.request_probes(["p1"])
            await harness.wait_until(lambda: record.down)
            assert record.ended
            assert router.directory.has_crashed(record.endpoint)
