"""The budget of repeats."""

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
    """Hosts that hear of each other's usage after a delay."""

    def __init__(self, hosts: int = HOSTS, lag_s: float = USAGE_LAG_S - STEP_S) -> None:
        self.now = 0.0
        self.told: deque[list[RetryUsage]] = deque(maxlen=max(1, round(lag_s / STEP_S)))
        self.parts: list[list[RetryBudget]] = []
        self.budgets = []
        self.spent: list[tuple[float, int]] = []
        for _ in range(hosts):
            budget = RetryBudget(
                RATIO,
                CONSTANT,
                WINDOW_S,
                lambda: hosts,
                self.shared,
                lambda: self.now,
            )
            self.budgets.append(budget)

    def shared(self) -> tuple[int, list[RetryUsage]]:
        return len(self.budgets), self.told[0] if self.told else []

    def step(self) -> None:
        found = [item for budget in self.budgets for item in budget.usage()]
        self.told.append(sum_usage(found))
        self.now += STEP_S

    def spend(self, host: int, wanted: int) -> int:
        """Ask for repeats at one host; return how many it allowed."""
        allowed = 0
        while allowed < wanted and self.budgets[host].try_acquire("pool"):
            allowed += 1
        self.spent.append((self.now, allowed))
        return allowed

    def requests(self, host: int, count: int) -> None:
        for _ in range(count):
            self.budgets[host].record_request("pool")

    def in_window(self) -> int:
        return sum(n for at, n in self.spent if at > self.now - WINDOW_S)


def warm(fleet: Fleet, each: int = 1) -> None:
    """Let a window and a half of requests pass."""
    for _ in range(round(1.5 * WINDOW_S / STEP_S)):
        for host in range(len(fleet.budgets)):
            fleet.requests(host, each)
        fleet.step()


class TestBudget:
    def test_the_hosts_shares_never_add_up_to_more(self) -> None:
        """Hosts that are cut off from one another still count the others, so
        all together stay inside the allowance."""
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

    def test_services_are_counted_apart(self) -> None:
        budget = RetryBudget(0.0, 10.0, 10.0, lambda: 1, lambda: (1, []))
        while budget.try_acquire("pool"):
            pass
        assert budget.try_acquire("desk")


class TestUnevenLosses:
    """Load pattern: losses that hit the streams of a few hosts."""

    def test_a_host_repeats_more_than_an_equal_share_while_others_need_none(
        self,
    ) -> None:
        """Guards against refusals at one host while the allowance is hardly used."""
        fleet = Fleet()
        warm(fleet)
        requests = HOSTS * round(WINDOW_S / STEP_S)
        equal = SAFETY_FACTOR * (RATIO * requests + CONSTANT) / HOSTS
        allowed = 0
        for _ in range(round(4.0 / STEP_S)):
            fleet.requests(0, 1)
            allowed += fleet.spend(0, 100)
            fleet.step()
        assert allowed > 1.5 * equal

    def test_a_busy_host_has_a_larger_share(self) -> None:
        """Guards against equal shares where one host receives most requests."""
        fleet = Fleet(hosts=4)
        for _ in range(round(1.5 * WINDOW_S / STEP_S)):
            fleet.requests(0, 5)
            for host in range(1, 4):
                fleet.requests(host, 1)
            fleet.step()
        assert fleet.spend(0, 1000) > 2 * fleet.spend(1, 1000)

    @pytest.mark.parametrize("seed", range(20))
    def test_all_hosts_together_never_exceed_the_allowance(self, seed: int) -> None:
        """Guards against hosts that draw the same repeats before they hear."""
        rng = random.Random(seed)
        fleet = Fleet()
        warm(fleet)
        requests = HOSTS * round(WINDOW_S / STEP_S)
        most = RATIO * requests + CONSTANT
        for _ in range(round(3 * WINDOW_S / STEP_S)):
            hit = rng.randint(0, HOSTS)
            for host in range(HOSTS):
                fleet.requests(host, 1)
                if host < hit:
                    fleet.spend(host, rng.choice((1, 5, 50)))
            assert fleet.in_window() <= most
            fleet.step()

    def test_hosts_that_restart_together_stay_within_the_allowance(self) -> None:
        """Guards against a second allowance for hosts that forgot the first."""
        fleet = Fleet()
        warm(fleet)
        requests = HOSTS * round(WINDOW_S / STEP_S)
        half = HOSTS // 2
        for host in range(half):
            fleet.spend(host, 1000)
        fresh = Fleet(hosts=half)
        fresh.now = fleet.now
        fleet.budgets[:half] = fresh.budgets
        for budget in fresh.budgets:
            budget._cluster_usage = fleet.shared
        for _ in range(8):
            for host in range(HOSTS):
                fleet.requests(host, 1)
                fleet.spend(host, 1000)
            fleet.step()
        assert fleet.in_window() <= RATIO * requests * 1.1 + CONSTANT
