"""Planner and leadership: orders are conditional, bounded and executed once."""

from __future__ import annotations

import anyio
import pytest

from hemlockhall_router.process import planner
from hemlockhall_router.version.coverage import Coverage
from hemlockhall_router.version.endpoint import Endpoint, LayerRange
from hemlockhall_router.version.member import Member
from hemlockhall_standins.router.dialect import RouteRow, model
from hemlockhall_standins.router.endpoint import ReceivedRequest, ScriptedEndpoint
from hemlockhall_standins.router.harness import RouterHarness, router_harness

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/draft/", "stream", "pool", resumable=True)]
EMPTY = {"service": "pool", "accelerator": "small"}


async def refuse_request(request: ReceivedRequest) -> None:
    await request.refuse()


def coverage_gaps(pool: list[ScriptedEndpoint]) -> list[LayerRange]:
    members = []
    for endpoint in pool:
        if endpoint.state.layers is None:
            continue
        entry = Endpoint(endpoint.name, "pool", "127.0.0.1", 1, "here")
        members.append(Member(entry, 8, LayerRange(*endpoint.state.layers)))
    return Coverage(model(), members).gaps()


async def start_with_layout(
    harness: RouterHarness, count: int
) -> list[ScriptedEndpoint]:
    pool = [
        await harness.start_endpoint(f"p{n}", refuse_request, **EMPTY)
        for n in range(count)
    ]
    await harness.wait_until(lambda: all(e.state.layers is not None for e in pool))
    await harness.wait_until(lambda: not coverage_gaps(pool))
    return pool


class TestOrders:
    async def test_empty_endpoints_get_a_complete_copy(self) -> None:
        async with router_harness(ROUTES) as harness:
            pool = await start_with_layout(harness, 4)
            assert [len(endpoint.orders) for endpoint in pool] == [1, 1, 1, 1]

    async def test_layers_of_lost_endpoint_are_reassigned(self) -> None:
        async with router_harness(ROUTES) as harness:
            pool = await start_with_layout(harness, 4)
            lost = pool.pop(1)
            lost.stop()
            harness.register(lost, "pool", draining=True, accelerator="small")
            await harness.wait_until(lambda: not coverage_gaps(pool))

    async def test_orders_are_immediate_only_while_copy_has_gap(self) -> None:
        """Guards against a repair that waits for the streams on the endpoint that takes
        over lost layers: the copy has a gap meanwhile, many seconds under load."""
        async with router_harness(ROUTES) as harness:
            pool = await start_with_layout(harness, 4)
            assert all(endpoint.orders[-1].at_once for endpoint in pool)
            records = harness.routers[0].directory.records
            await harness.wait_until(
                lambda: all(records[e.name].endpoint.layers for e in pool)
            )
            spare = await harness.start_endpoint("p9", refuse_request, **EMPTY)
            await harness.wait_until(lambda: spare.orders)
            assert not spare.orders[0].at_once
            lost = pool.pop(1)
            rest = [*pool, spare]
            before = {e.name: len(e.orders) for e in rest}
            lost.stop()
            harness.register(lost, "pool", draining=True, accelerator="small")
            await harness.wait_until(lambda: not coverage_gaps(rest))
            repairs = [o for e in rest for o in e.orders[before[e.name] :]]
            assert any(order.at_once for order in repairs)

    async def test_order_names_number_of_preceding_orders(self) -> None:
        """Guards against an order that is executed late, after a newer one. The
        endpoint refuses a count that it has passed."""
        async with router_harness(ROUTES) as harness:
            pool = await start_with_layout(harness, 4)
            for endpoint in pool:
                assert endpoint.orders[0].orders == 0
                assert endpoint.orders[0].fence == harness.routers[0].lease.fence

    async def test_order_without_response_is_sent_again(self) -> None:
        """Guards against a gap that lasts while an order gets no response, and
        against the first order, executed late, undoing the second."""
        async with router_harness(ROUTES) as harness:
            pool = []
            for number in range(4):
                pool.append(
                    await harness.start_endpoint(f"p{number}", refuse_request, **EMPTY)
                )
                pool[-1].unanswered_orders = 1
            await harness.wait_until(lambda: not coverage_gaps(pool))
            for endpoint in pool:
                assert len(endpoint.pending_orders) == 1
                endpoint.apply_pending_orders()
                assert len(endpoint.orders) == 1
            assert not coverage_gaps(pool)


class TestLeadership:
    async def test_planning_continues_when_holder_ends_in_store_outage(self) -> None:
        """Guards against a gap that lasts until the store is back: the lease holder
        ends in a store outage, no host can acquire the lease, an endpoint is lost."""
        async with router_harness(ROUTES) as harness:
            pool = await start_with_layout(harness, 4)
            holder = harness.routers[0]
            other = await harness.add_router(grace_s=3.0)
            await harness.wait_until(lambda: other.directory.live_endpoints("pool"))
            await harness.wait_until(holder.membership.has_active_peer)
            harness.store.down = True
            await holder.leave()
            lost = pool.pop(1)
            lost.stop()
            other.directory.set_down(lost.name, down=True)
            await harness.wait_until(lambda: not coverage_gaps(pool))
            assert not other.lease.fence

    async def test_leaving_holder_releases_lease_to_peer(self) -> None:
        async with router_harness(ROUTES) as harness:
            holder = harness.routers[0]
            await harness.wait_until(lambda: holder.lease.fence)
            other = await harness.add_router()
            await harness.wait_until(holder.membership.has_active_peer)
            harness.group.start_soon(holder.leave)
            await harness.wait_until(lambda: other.lease.fence)
            assert not holder.lease.fence

    async def test_last_host_plans_until_it_ends(self) -> None:
        """Guards against layers that are reassigned only after a restart: all hosts
        are told to end, and an endpoint is lost while the last one still serves."""
        async with router_harness(ROUTES) as harness:
            pool = await start_with_layout(harness, 4)
            holder = harness.routers[0]
            harness.group.start_soon(holder.leave)
            await harness.wait_until(lambda: holder.frontend.leaving)
            lost = pool.pop(1)
            lost.stop()
            harness.register(lost, "pool", draining=True, accelerator="small")
            await harness.wait_until(lambda: not coverage_gaps(pool))


class TestManyEndpoints:
    async def test_concurrent_orders_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a planner that calls all endpoints of a service at once."""
        monkeypatch.setattr(planner, "MAX_CONCURRENT_ORDERS", 2)
        largest = 0
        async with router_harness(ROUTES) as harness:
            pool = [
                await harness.start_endpoint(f"p{n}", refuse_request, **EMPTY)
                for n in range(6)
            ]
            limiter = harness.routers[0]._planner._order_limiter
            while any(endpoint.state.layers is None for endpoint in pool):
                await anyio.sleep(0.01)
                largest = max(largest, int(limiter.borrowed_tokens))
        assert 0 < largest <= 2

    async def test_layout_in_progress_is_not_planned_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against copies that are planned again while some orders are queued."""
        monkeypatch.setattr(planner, "MAX_CONCURRENT_ORDERS", 1)
        async with router_harness(ROUTES) as harness:
            pool = await start_with_layout(harness, 8)
            assert [len(endpoint.orders) for endpoint in pool] == [1] * 8
