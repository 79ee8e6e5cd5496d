"""Cached tables of the store during outages and compaction, and the lease."""

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


async def respond(received: ReceivedRequest) -> None:
    await received.answer(200, received.endpoint.name.encode())


class TestConfiguration:
    async def test_an_older_configuration_does_not_replace_a_newer_one(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
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

    async def test_a_change_before_the_history_is_compacted_arrives(self) -> None:
        """Long polls miss a change, and then its history is compacted: only reading
        the whole table can deliver it."""
        async with router_harness(ROUTES) as harness:
            harness.store.hide_changes = True
            harness.configure()
            harness.store.compact_history()
            harness.store.hide_changes = False
            await harness.wait_until(lambda: harness.routers[0].routing.version == 2)

    async def test_a_host_without_the_store_gets_changes_from_a_peer(self) -> None:
        """A host that cannot reach the store must not keep serving a withdrawn
        route; it gets the configuration from the other host."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            address, second_store = new_store()
            second_store.down = True
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
            draining = await harness.start_endpoint("d1", respond)
            await harness.start_endpoint("d2", respond)
            harness.register(draining, "desk", draining=True)
            records = harness.routers[0].directory.records
            await harness.wait_until(lambda: records["d1"].endpoint.draining)
            for number in range(5):
                assert (
                    await harness.request("/read/x", request_id=f"r{number}")
                ).body == b"d2"
            assert not draining.received

    async def test_a_removed_endpoint_gets_no_new_requests(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            harness.store.remove(Table.ENDPOINTS, "d1")
            await harness.wait_until(
                lambda: "d1" not in harness.routers[0].directory.records
            )
            assert (await harness.request("/read/x")).head.status == 503

    async def test_entries_that_lapse_in_an_outage_stay_in_use(self) -> None:
        """Endpoints cannot renew their entries while the store is down, so these
        lapse. Dropping the live endpoints at once would refuse every request."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            harness.store.down = True
            await anyio.sleep(0.5)
            harness.store.remove(Table.ENDPOINTS, "d1")
            harness.store.down = False
            records = harness.routers[0].directory.records
            await harness.wait_until(
                lambda: records["d1"].entry_grace_deadline is not None
            )
            assert (await harness.request("/read/x")).body == b"d1"

    async def test_entries_not_renewed_after_an_outage_are_dropped(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            harness.store.down = True
            await anyio.sleep(0.5)
            harness.store.remove(Table.ENDPOINTS, "d1")
            harness.store.down = False
            await harness.wait_until(
                lambda: "d1" not in harness.routers[0].directory.records
            )

    async def test_an_entry_removed_while_only_one_host_was_cut_off(self) -> None:
        """Guards against requests to a removed endpoint for two more seconds: only one
        of two hosts loses the store, an entry is removed meanwhile, and the host takes
        it for one that lapsed in an outage."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            address, second_store = new_store()
            second_store.tables, second_store.history = (
                harness.store.tables,
                harness.store.history,
            )
            second_store.version = harness.store.version
            second = await harness.add_router(address=address)
            await harness.wait_until(lambda: "d1" in second.directory.records)
            await harness.wait_until(lambda: second.membership.peer_store_stable())
            second_store.down = True
            await harness.wait_until(lambda: not second._endpoints_watch.connected)
            record = second.directory.records["d1"]
            harness.store.remove(Table.ENDPOINTS, "d1")
            await harness.wait_until(
                lambda: not second.directory.records or record.entry_lapsed
            )
            assert "d1" not in second.directory.records

    async def test_an_endpoint_with_a_lapsed_entry_is_used_last(self) -> None:
        """One of two entries lapsed in an outage. Its endpoint may have left, so
        requests go to the other while that has room."""
        async with router_harness(ROUTES) as harness:
            lapsed = await harness.start_endpoint("d1", respond)
            await harness.start_endpoint("d2", respond)
            harness.store.down = True
            await anyio.sleep(0.5)
            harness.store.remove(Table.ENDPOINTS, "d1")
            harness.store.down = False
            records = harness.routers[0].directory.records
            await harness.wait_until(
                lambda: records["d1"].entry_grace_deadline is not None
            )
            for number in range(5):
                assert (
                    await harness.request("/read/x", request_id=f"r{number}")
                ).body == b"d2"
            assert not lapsed.received

    async def test_an_invalid_entry_is_ignored(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            harness.store.put(Table.ENDPOINTS, "d2", b"\xff\x00")
            harness.store.put(Table.ENDPOINTS, "d3", b'{"service": 5, "port": "x"}')
            await anyio.sleep(0.4)
            assert set(harness.routers[0].directory.records) == {"d1"}


class TestLease:
    async def test_only_one_host_holds_the_lease(self) -> None:
        _, store = new_store()
        first, second = Lease(store, "a", "1"), Lease(store, "b", "1")
        await first.acquire_or_renew()
        await second.acquire_or_renew()
        assert first.held
        assert not second.held

    async def test_a_lost_response_does_not_lead_to_two_holders(self) -> None:
        """The write that acquires the lease is applied, but its response is lost.
        The host finds its own name when it next reads the row; until then no other
        host can acquire the lease."""
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
