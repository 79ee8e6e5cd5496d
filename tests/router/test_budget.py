"""The budget of repeats."""

from __future__ import annotations

from hemlockhall_router.process.budget import CAUTION, Budget


class TestBudget:
    def test_the_hosts_shares_never_add_up_to_more(self) -> None:
        """Hosts that are cut off from one another still count the others, so
        all together stay inside the allowance."""
        hosts = [Budget(0.2, 100.0, 10.0, lambda: 4) for _ in range(4)]
        requests = allowed = 0
        for budget in hosts:
            for _ in range(50):
                budget.request("pool")
                requests += 1
            while budget.allow("pool"):
                allowed += 1
        assert 0 < allowed <= CAUTION * (0.2 * requests + 100.0)

    def test_services_are_counted_apart(self) -> None:
        budget = Budget(0.0, 10.0, 10.0, lambda: 1)
        while budget.allow("pool"):
            pass
        assert budget.allow("desk")
