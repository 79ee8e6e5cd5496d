"""Copies of the store's tables: lost answers, lost history, outages."""

from __future__ import annotations

import anyio
import pytest

from hemlockhall_router.process.lease import Lease
from hemlockhall_router.process.store import Table
from hemlockhall_standins.router.dialect import RouteRow, new_store
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import router_harness

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/read/", "idempotent", "desk")]


async def answer(arrival: ReceivedRequest) -> None:
    await arrival.answer(200, arrival.endpoint.name.encode())


class TestConfiguration:
    async def test_a_change_is_in_force_and_never_reverts(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            harness.routes = [RouteRow("/new/", "idempotent", "desk")]
            harness.configure()
            await harness.wait_until(lambda: harness.routers[0].routing.version == 2)
            assert (await harness.request("/new/x")).head.status == 200
            assert (await harness.request("/read/x")).head.status == 404
            harness.version = 0
            harness.routes = ROUTES
            harness.configure()
            await anyio.sleep(0.5)
            assert harness.routers[0].routing.version == 2

    async def test_a_change_while_the_history_is_lost_arrives(self) -> None:
        """The feed shows nothing while a change is made, and then says that
        its history is gone: the table is read anew."""
        async with router_harness(ROUTES) as harness:
            harness.store.hide_changes = True
            harness.configure()
            harness.store.compact_history()
            harness.store.hide_changes = False
            await harness.wait_until(lambda: harness.routers[0].routing.version == 2)

    async def test_a_host_that_the_store_turns_away_learns_from_another(self) -> None:
        """One of two hosts gets no answer from the store. The configuration
        with a withdrawn route must reach it through the other."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            address, cut = new_store()
            cut.down = True
            second = await harness.add_router(address=address)
            assert second.routing.version == 1
            harness.routes = [RouteRow("/new/", "idempotent", "desk")]
            harness.configure()
            await harness.wait_until(lambda: second.routing.version == 2)
            await harness.wait_until(lambda: "d1" in second.directory.records)
            assert (await harness.request("/read/x", router=1)).head.status == 404
            assert (await harness.request("/new/x", router=1)).body == b"d1"
            harness.store.remove(Table.ENDPOINTS, "d1")
            await harness.wait_until(
                lambda: not harness.routers[0].directory.usable("desk")
            )


class TestEndpoints:
    async def test_a_draining_endpoint_gets_no_new_requests(self) -> None:
        async with router_harness(ROUTES) as harness:
            leaving = await harness.start_endpoint("d1", answer)
            await harness.start_endpoint("d2", answer)
            harness.register(leaving, "desk", draining=True)
            held = harness.routers[0].directory.records
            await harness.wait_until(lambda: held["d1"].endpoint.draining)
            for number in range(5):
                assert (
                    await harness.request("/read/x", request_id=f"r{number}")
                ).body == b"d2"
            assert not leaving.received

    async def test_a_removed_endpoint_gets_no_new_requests(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            harness.store.remove(Table.ENDPOINTS, "d1")
            await harness.wait_until(
                lambda: "d1" not in harness.routers[0].directory.records
            )
            assert (await harness.request("/read/x")).head.status == 503

    async def test_entries_lost_in_an_outage_may_come_back(self) -> None:
        """Endpoints could not reach the store while it was down, so it drops
        their entries. They live: dropping them all would refuse everything."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            harness.store.down = True
            await anyio.sleep(0.5)
            harness.store.remove(Table.ENDPOINTS, "d1")
            harness.store.down = False
            held = harness.routers[0].directory.records
            await harness.wait_until(
                lambda: held["d1"].entry_grace_deadline is not None
            )
            assert (await harness.request("/read/x")).body == b"d1"

    async def test_entries_that_stay_away_after_an_outage_are_gone(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            harness.store.down = True
            await anyio.sleep(0.5)
            harness.store.remove(Table.ENDPOINTS, "d1")
            harness.store.down = False
            await harness.wait_until(
                lambda: "d1" not in harness.routers[0].directory.records
            )

    async def test_an_entry_that_only_this_host_missed_is_gone_at_once(self) -> None:
        """One host loses the store, the other keeps it. An endpoint leaves
        meanwhile and its entry is removed. The first host, back at the store,
        took it for one that could not reach the store either, and sent it
        requests for two seconds more."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            address, cut = new_store()
            cut.tables, cut.history = harness.store.tables, harness.store.history
            cut.version = harness.store.version
            second = await harness.add_router(address=address)
            await harness.wait_until(lambda: "d1" in second.directory.records)
            await harness.wait_until(lambda: second.membership.peer_store_stable())
            cut.down = True
            await harness.wait_until(lambda: not second._endpoints_watch.connected)
            record = second.directory.records["d1"]
            harness.store.remove(Table.ENDPOINTS, "d1")
            await harness.wait_until(
                lambda: not second.directory.records or record.entry_lapsed
            )
            assert "d1" not in second.directory.records

    async def test_an_endpoint_in_doubt_is_not_preferred(self) -> None:
        """After an outage one of two entries is missing. Its endpoint may have
        left, so requests go to the other while that has room."""
        async with router_harness(ROUTES) as harness:
            doubtful = await harness.start_endpoint("d1", answer)
            await harness.start_endpoint("d2", answer)
            harness.store.down = True
            await anyio.sleep(0.5)
            harness.store.remove(Table.ENDPOINTS, "d1")
            harness.store.down = False
            held = harness.routers[0].directory.records
            await harness.wait_until(
                lambda: held["d1"].entry_grace_deadline is not None
            )
            for number in range(5):
                assert (
                    await harness.request("/read/x", request_id=f"r{number}")
                ).body == b"d2"
            assert not doubtful.received

    async def test_an_unreadable_entry_names_no_endpoint(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            harness.store.put(Table.ENDPOINTS, "d2", b"\xff\x00")
            harness.store.put(Table.ENDPOINTS, "d3", b'{"service": 5, "port": "x"}')
            await anyio.sleep(0.4)
            assert set(harness.routers[0].directory.records) == {"d1"}


class TestLease:
    async def test_only_one_host_holds_it(self) -> None:
        _, store = new_store()
        first, second = Lease(store, "a", "1"), Lease(store, "b", "1")
        await first.acquire_or_renew()
        await second.acquire_or_renew()
        assert first.held
        assert not second.held

    async def test_a_lost_answer_does_not_give_two_holders(self) -> None:
        """The write that acquires the lease is done but not answered. The
        host does not know that it holds it; it reads the row and sees its own
        name, and nobody else acquired it meanwhile."""
        _, store = new_store()
        first, second = Lease(store, "a", "1"), Lease(store, "b", "1")
        store.lose_writes = 1
        await first.acquire_or_renew()
        assert not first.held
        await second.acquire_or_renew()
        assert not second.held
        await first.acquire_or_renew()
        assert first.held

    async def test_a_released_lease_is_free_at_once_with_a_higher_fence(self) -> None:
        _, store = new_store()
        first, second = Lease(store, "a", "1"), Lease(store, "b", "1")
        await first.acquire_or_renew()
        fence = first.fence
        await first.release()
        await second.acquire_or_renew()
        assert second.held
        assert second.fence > fence
        assert not first.held
