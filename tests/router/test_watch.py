"""Cached tables after the connections to the store went silent, in virtual time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.store import Table
from hemlockhall_router.process.timing import Timing
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/read/", "idempotent", "desk")]
CONFIG_S = BoundsSection().config_ms / 1000
DRAIN_S = BoundsSection().drain_ms / 1000
# Seconds in which hosts hear each other.
START_S = 2.0
# Seconds after a change in which the next long polls have begun.
POLLS_BEGUN_S = 0.45
# Longer than the greatest age of a table.
OUTAGE_S = 4.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await received.answer(200, b"")


async def add_hosts(harness: RouterHarness, count: int) -> None:
    """Start hosts in three data centres, up to ``count`` with the first."""
    for number in range(1, count):
        await harness.add_router(data_centre=f"place-{number % 3}")
    await anyio.sleep(START_S)


async def seconds_until(harness: RouterHarness, condition: Callable[[], bool]) -> float:
    started_at = time.monotonic()
    await harness.wait_until(condition)
    return time.monotonic() - started_at


# Every host watches the store up to three hosts, as no data centre has a second one.
@pytest.mark.parametrize("hosts", [1, 3, 4])
class TestSilentConnections:
    async def test_a_new_configuration_is_in_force_within_its_bound(
        self, hosts: int
    ) -> None:
        """Guards against a configuration that hosts use for longer than its bound
        after a newer one was accepted: the connections of all hosts to the store go
        silent at once, just after their long polls began."""
        random.seed(hosts)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            await add_hosts(harness, hosts)
            routers = harness.routers
            harness.configure()
            await harness.wait_until(
                lambda: all(r.routing.version == 2 for r in routers)
            )
            await anyio.sleep(POLLS_BEGUN_S)
            harness.store.silence()
            harness.configure()
            elapsed_s = await seconds_until(
                harness, lambda: all(r.routing.version == 3 for r in routers)
            )
        assert elapsed_s <= CONFIG_S

    async def test_a_draining_endpoint_is_known_within_its_bound(
        self, hosts: int
    ) -> None:
        """Guards against requests to an endpoint that said that it drains, for longer
        than the bound: the connections of all hosts to the store go silent at once,
        just before it says so."""
        random.seed(hosts)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            await add_hosts(harness, hosts)
            endpoint = await harness.start_endpoint("d1", respond)
            records = [router.directory.records for router in harness.routers]
            await anyio.sleep(POLLS_BEGUN_S)
            harness.store.silence()
            harness.register(endpoint, "desk", draining=True)
            elapsed_s = await seconds_until(
                harness, lambda: all(r["d1"].endpoint.draining for r in records)
            )
        assert elapsed_s <= DRAIN_S


class TestStaleTables:
    async def test_one_stale_table_does_not_make_a_host_read_the_other(self) -> None:
        """Guards against a host that calls the store without a pause for a table that
        is up to date, as its other table is not: calls for that one fail."""
        random.seed(1)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            await add_hosts(harness, 4)
            harness.store.refused_tables.add(Table.ENDPOINTS)
            await anyio.sleep(OUTAGE_S)
            calls = harness.store.calls[Table.ROUTING]
            await anyio.sleep(OUTAGE_S)
            calls = harness.store.calls[Table.ROUTING] - calls
        assert calls < 4 * OUTAGE_S / Timing(BoundsSection()).retry_min_s


class TestAge:
    @pytest.mark.parametrize("change", [False, True])
    async def test_a_response_held_up_does_not_make_the_copy_younger(
        self, change: bool
    ) -> None:
        """Guards against hosts that ask the store too late: the age that a store
        watcher tells them counted from the arrival of a response, which said what the
        store knew before."""
        async with router_harness(ROUTES) as harness:
            await anyio.sleep(START_S)
            watch = harness.routers[0]._routing_watch
            harness.store.delay_s = 0.3
            calls = harness.store.calls[Table.ROUTING]
            if change:
                harness.configure()
            await harness.wait_until(
                lambda: harness.store.calls[Table.ROUTING] == calls + 2
            )
            assert watch.complete_as_of <= harness.store.responded_at
            assert watch.connected
