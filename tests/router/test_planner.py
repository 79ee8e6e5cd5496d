"""Orders: given once, conditional, for what is missing."""

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


async def unused(arrival: ReceivedRequest) -> None:
    await arrival.refuse()


def missing(pool: list[ScriptedEndpoint]) -> list[LayerRange]:
    members = []
    for endpoint in pool:
        if endpoint.state.layers is None:
            continue
        entry = Endpoint(endpoint.name, "pool", "127.0.0.1", 1, "here")
        members.append(Member(entry, 8, LayerRange(*endpoint.state.layers)))
    return Coverage(model(), members).holes()


async def laid_out(harness: RouterHarness, count: int) -> list[ScriptedEndpoint]:
    pool = [
        await harness.start_endpoint(f"p{n}", unused, **EMPTY) for n in range(count)
    ]
    await harness.wait_until(lambda: all(e.state.layers is not None for e in pool))
    await harness.wait_until(lambda: not missing(pool))
    return pool


class TestOrders:
    async def test_empty_endpoints_get_a_whole_copy(self) -> None:
        async with router_harness(ROUTES) as harness:
            pool = await laid_out(harness, 4)
            assert [len(endpoint.orders) for endpoint in pool] == [1, 1, 1, 1]

    async def test_a_lost_endpoint_is_replaced(self) -> None:
        async with router_harness(ROUTES) as harness:
            pool = await laid_out(harness, 4)
            lost = pool.pop(1)
            lost.stop()
            harness.register(lost, "pool", draining=True, accelerator="small")
            await harness.wait_until(lambda: not missing(pool))

    async def test_layers_are_given_up_at_once_only_for_a_broken_copy(self) -> None:
        """An endpoint that holds layers twice takes over those of a lost one.
        It waited until the streams on it had ended, which under load took many
        seconds, and all that time the copy served nobody."""
        async with router_harness(ROUTES) as harness:
            pool = await laid_out(harness, 4)
            assert all(endpoint.orders[-1].at_once for endpoint in pool)
            held = harness.routers[0].directory.records
            await harness.wait_until(
                lambda: all(held[e.name].endpoint.layers for e in pool)
            )
            spare = await harness.start_endpoint("p9", unused, **EMPTY)
            await harness.wait_until(lambda: spare.orders)
            assert not spare.orders[0].at_once
            lost = pool.pop(1)
            rest = [*pool, spare]
            before = {e.name: len(e.orders) for e in rest}
            lost.stop()
            harness.register(lost, "pool", draining=True, accelerator="small")
            await harness.wait_until(lambda: not missing(rest))
            repairs = [o for e in rest for o in e.orders[before[e.name] :]]
            assert any(order.at_once for order in repairs)

    async def test_orders_name_the_count_of_orders_before(self) -> None:
        """An order that an endpoint carries out late, after a newer one, names
        a count that has passed, so the endpoint refuses it."""
        async with router_harness(ROUTES) as harness:
            pool = await laid_out(harness, 4)
            for endpoint in pool:
                assert endpoint.orders[0].orders == 0
                assert endpoint.orders[0].fence == harness.routers[0].lease.fence

    async def test_an_order_without_an_answer_is_given_again_at_once(self) -> None:
        """Endpoints leave their first order unanswered and carry it out after
        they began a second one. Waiting for the first, the planner left the
        layers unserved; carried out late, it must not undo the second."""
        async with router_harness(ROUTES) as harness:
            pool = []
            for number in range(4):
                pool.append(await harness.start_endpoint(f"p{number}", unused, **EMPTY))
                pool[-1].unanswered_orders = 1
            await harness.wait_until(lambda: not missing(pool))
            for endpoint in pool:
                assert len(endpoint.pending_orders) == 1
                endpoint.apply_pending_orders()
                assert len(endpoint.orders) == 1
            assert not missing(pool)


class TestLeadership:
    async def test_orders_go_on_when_the_holder_ends_in_an_outage(self) -> None:
        """The store is away, and the host that holds the lease is told to end.
        Nobody can acquire the lease. Then an endpoint dies: its layers stayed
        unserved until the store was back, and callers were refused."""
        async with router_harness(ROUTES) as harness:
            pool = await laid_out(harness, 4)
            holder = harness.routers[0]
            other = await harness.add_router(grace_s=3.0)
            await harness.wait_until(lambda: other.directory.live_endpoints("pool"))
            await harness.wait_until(holder.membership.has_active_peer)
            harness.store.down = True
            await holder.leave()
            lost = pool.pop(1)
            lost.stop()
            other.directory.set_down(lost.name, down=True)
            await harness.wait_until(lambda: not missing(pool))
            assert not other.lease.fence

    async def test_the_holder_leaves_orders_to_a_host_that_stays(self) -> None:
        async with router_harness(ROUTES) as harness:
            holder = harness.routers[0]
            await harness.wait_until(lambda: holder.lease.fence)
            other = await harness.add_router()
            await harness.wait_until(holder.membership.has_active_peer)
            harness.group.start_soon(holder.leave)
            await harness.wait_until(lambda: other.lease.fence)
            assert not holder.lease.fence

    async def test_the_last_host_gives_orders_until_it_ends(self) -> None:
        """All hosts are told to end, one after the other. A leaving host gave
        no orders, so what died then was replaced only after the restart."""
        async with router_harness(ROUTES) as harness:
            pool = await laid_out(harness, 4)
            holder = harness.routers[0]
            harness.group.start_soon(holder.leave)
            await harness.wait_until(lambda: holder.frontend.leaving)
            lost = pool.pop(1)
            lost.stop()
            harness.register(lost, "pool", draining=True, accelerator="small")
            await harness.wait_until(lambda: not missing(pool))


class TestManyEndpoints:
    async def test_orders_under_way_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a planner that calls all endpoints of a fleet at once."""
        monkeypatch.setattr(planner, "ORDERS_MAX", 2)
        most = 0
        async with router_harness(ROUTES) as harness:
            pool = [
                await harness.start_endpoint(f"p{n}", unused, **EMPTY) for n in range(6)
            ]
            turns = harness.routers[0]._planner._turns
            while any(endpoint.state.layers is None for endpoint in pool):
                await anyio.sleep(0.01)
                most = max(most, int(turns.borrowed_tokens))
        assert 0 < most <= 2

    async def test_a_layout_that_is_ordered_in_parts_stays_as_planned(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against copies that are planned anew while half of them is ordered."""
        monkeypatch.setattr(planner, "ORDERS_MAX", 1)
        async with router_harness(ROUTES) as harness:
            pool = await laid_out(harness, 8)
            assert [len(endpoint.orders) for endpoint in pool] == [1] * 8
