"""Retry budget that hosts share."""

from __future__ import annotations

import random
from collections import deque

import pytest

from hemlockhall_router.membership.message import RetryUsage
from hemlockhall_router.membership.tally import sum_usage
from hemlockhall_router.process.budget import SAFETY_FACTOR, USAGE_LAG_S, RetryBudget

RATIO = 0.2
CONSTANT = 248.0
WINDOW_S = 10.0
HOSTS = 32
STEP_S = 0.25


class Fleet:
    """Hosts that receive each other's usage after a delay."""

    def __init__(self, hosts: int = HOSTS, lag_s: float = USAGE_LAG_S - STEP_S) -> None:
        self.now = 0.0
        self.reported_usage: deque[list[RetryUsage]] = deque(
            maxlen=max(1, round(lag_s / STEP_S))
        )
        self.parts: list[list[RetryBudget]] = []
        self.budgets = []
        self.spent: list[tuple[float, int]] = []
        for _ in range(hosts):
            budget = RetryBudget(
                RATIO,
                CONSTANT,
                WINDOW_S,
                lambda: hosts,
                self.usage_of_all_hosts,
                lambda: self.now,
            )
            self.budgets.append(budget)

    def usage_of_all_hosts(self) -> tuple[int, list[RetryUsage]]:
        return len(self.budgets), self.reported_usage[0] if self.reported_usage else []

    def step(self) -> None:
        found = [item for budget in self.budgets for item in budget.usage()]
        self.reported_usage.append(sum_usage(found))
        self.now += STEP_S

    def spend(self, host: int, limit: int) -> int:
        """Request retries at one host; return how many it allowed."""
        allowed = 0
        while allowed < limit and self.budgets[host].try_acquire("pool"):
            allowed += 1
        self.spent.append((self.now, allowed))
        return allowed

    def requests(self, host: int, count: int) -> None:
        for _ in range(count):
            self.budgets[host].record_request("pool")

    def retries_in_window(self) -> int:
        return sum(n for at, n in self.spent if at > self.now - WINDOW_S)


def fill_window(fleet: Fleet, each: int = 1) -> None:
    """Record requests at all hosts for one and a half windows."""
    for _ in range(round(1.5 * WINDOW_S / STEP_S)):
        for host in range(len(fleet.budgets)):
            fleet.requests(host, each)
        fleet.step()


class TestBudget:
    def test_shares_of_partitioned_hosts_stay_within_budget(self) -> None:
        """Guards against partitioned hosts that each spend the whole budget."""
        budgets = []
        for _ in range(4):
            budgets.append(RetryBudget(0.2, 100.0, 10.0, lambda: 4, lambda: (1, [])))
        requests = allowed = 0
        for budget in budgets:
            for _ in range(50):
                budget.record_request("pool")
                requests += 1
            while budget.try_acquire("pool"):
                allowed += 1
        assert 0 < allowed <= SAFETY_FACTOR * (0.2 * requests + 100.0)

    def test_services_have_separate_budgets(self) -> None:
        budget = RetryBudget(0.0, 10.0, 10.0, lambda: 1, lambda: (1, []))
        while budget.try_acquire("pool"):
            pass
        assert budget.try_acquire("desk")


class TestUnevenRetries:
    """Load pattern: lost endpoints interrupt the streams of a few hosts only."""

    def test_host_borrows_beyond_equal_share(
        self,
    ) -> None:
        """Guards against refusals at one host while the budget is hardly used."""
        fleet = Fleet()
        fill_window(fleet)
        requests = HOSTS * round(WINDOW_S / STEP_S)
        equal = SAFETY_FACTOR * (RATIO * requests + CONSTANT) / HOSTS
        allowed = 0
        for _ in range(round(4.0 / STEP_S)):
            fleet.requests(0, 1)
            allowed += fleet.spend(0, 100)
            fleet.step()
        assert allowed > 1.5 * equal

    def test_busy_host_has_larger_share(self) -> None:
        """Guards against equal shares where one host receives most requests."""
        fleet = Fleet(hosts=4)
        for _ in range(round(1.5 * WINDOW_S / STEP_S)):
            fleet.requests(0, 5)
            for host in range(1, 4):
                fleet.requests(host, 1)
            fleet.step()
        assert fleet.spend(0, 1000) > 2 * fleet.spend(1, 1000)

    @pytest.mark.parametrize("seed", range(20))
    def test_total_retries_stay_within_budget(self, seed: int) -> None:
        """Guards against hosts that borrow the same retries before they know of it."""
        rng = random.Random(seed)
        fleet = Fleet()
        fill_window(fleet)
        requests = HOSTS * round(WINDOW_S / STEP_S)
        most = RATIO * requests + CONSTANT
        for _ in range(round(3 * WINDOW_S / STEP_S)):
            hit = rng.randint(0, HOSTS)
            for host in range(HOSTS):
                fleet.requests(host, 1)
                if host < hit:
                    fleet.spend(host, rng.choice((1, 5, 50)))
            assert fleet.retries_in_window() <= most
            fleet.step()

    def test_restarted_hosts_stay_within_budget(self) -> None:
        """Guards against a second budget for hosts that lost their counts."""
        fleet = Fleet()
        fill_window(fleet)
        requests = HOSTS * round(WINDOW_S / STEP_S)
        half = HOSTS // 2
        for host in range(half):
            fleet.spend(host, 1000)
        fresh = Fleet(hosts=half)
        fresh.now = fleet.now
        fleet.budgets[:half] = fresh.budgets
        for budget in fresh.budgets:
            budget._usage_of_all_hosts = fleet.usage_of_all_hosts
        for _ in range(8):
            for host in range(HOSTS):
                fleet.requests(host, 1)
                fleet.spend(host, 1000)
            fleet.step()
        assert fleet.retries_in_window() <= RATIO * requests * 1.1 + CONSTANT
