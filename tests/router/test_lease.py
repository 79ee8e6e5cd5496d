"""The planning lease while the store pauses."""

from __future__ import annotations

import pytest

from hemlockhall_router.process.lease import Lease
from hemlockhall_router.process.store import Table
from hemlockhall_standins.router.dialect import new_store

pytestmark = pytest.mark.anyio


class TestPausingStore:
    async def test_a_renewal_whose_response_is_lost_does_not_end_the_lease(
        self,
    ) -> None:
        """Guards against a holder that takes its own write for that of another host,
        as the store applied a renewal and answered too late."""
        _, store = new_store()
        lease, other = Lease(store, "a", "1"), Lease(store, "b", "1")
        await lease.acquire_or_renew()
        fence = lease.fence
        store.lose_writes = 1
        await lease.acquire_or_renew()
        assert lease.held
        await lease.acquire_or_renew()
        assert lease.held
        assert lease.fence == fence
        await lease.acquire_or_renew()
        await other.acquire_or_renew()
        assert lease.held
        assert lease.fence == fence
        assert not other.held

    @pytest.mark.parametrize(("holder", "run_id"), [("b", "1"), ("a", "2")])
    async def test_the_write_of_another_host_or_run_ends_it(
        self, holder: str, run_id: str
    ) -> None:
        """Guards against two holders with the same fence."""
        _, store = new_store()
        lease = Lease(store, "a", "1")
        await lease.acquire_or_renew()
        store.put(
            Table.LEASE,
            "planner",
            b'{"holder":"%b","boot":"%b","until_s":1e12}'
            % (holder.encode(), run_id.encode()),
        )
        await lease.acquire_or_renew()
        assert not lease.held

    async def test_a_lease_that_its_own_lost_release_ended_is_not_kept(self) -> None:
        """Guards against a holder that counts on a lease that others may acquire."""
        _, store = new_store()
        lease, other = Lease(store, "a", "1"), Lease(store, "b", "1")
        await lease.acquire_or_renew()
        store.lose_writes = 1
        await lease.release()
        assert lease.fence
        await lease.acquire_or_renew()
        await other.acquire_or_renew()
        assert not (lease.held and other.held)
