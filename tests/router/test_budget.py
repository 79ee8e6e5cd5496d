"""Retry budget that hosts share."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockhall_router.membership.clock import SharedClock
from hemlockhall_router.membership.history import RetryHistory
from hemlockhall_router.membership.message import (
    RetryRecord,
    RetryUsage,
    service_key,
)
from hemlockhall_router.membership.tally import replace_retries, sum_usage
from hemlockhall_router.process.budget import (
    RESERVED_FRACTION,
    SAFETY_FACTOR,
    STARTUP_FRACTION,
    USAGE_LAG_S,
    RetryBudget,
)

RATIO = 0.2
CONSTANT = 248.0
WINDOW_S = 10.0
HOSTS = 32
STEP_S = 0.25


def new_budget(
    ratio: float,
    constant: float,
    max_hosts: int,
    usage_of_all_hosts: Callable[[], tuple[int, list[RetryUsage]]] = lambda: (1, []),
    clock: Callable[[], float] = time.monotonic,
) -> RetryBudget:
    """Return the budget of a process that has just started."""
    history = RetryHistory(SharedClock(clock, 0.0), clock, WINDOW_S)
    return RetryBudget(
        ratio,
        constant,
        WINDOW_S,
        lambda: max_hosts,
        usage_of_all_hosts,
        history,
        clock=clock,
    )


def running_budget(
    ratio: float,
    constant: float,
    max_hosts: int,
    usage_of_all_hosts: Callable[[], tuple[int, list[RetryUsage]]] = lambda: (1, []),
    clock: Callable[[], float] = time.monotonic,
) -> RetryBudget:
    """Return the budget of a process that no other went before."""
    budget = new_budget(ratio, constant, max_hosts, usage_of_all_hosts, clock)
    budget.assume_first()
    return budget


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
        # The latest usage of each host, and what of it is in ``reported_usage``.
        self.own_usage: list[list[RetryUsage]] = [[] for _ in range(hosts)]
        self.earlier_usage: deque[list[list[RetryUsage]]] = deque(
            maxlen=self.reported_usage.maxlen
        )
        for host in range(hosts):
            budget = running_budget(
                RATIO,
                CONSTANT,
                hosts,
                partial(self.usage_of_all_hosts, host),
                lambda: self.now,
            )
            self.budgets.append(budget)

    def usage_of_all_hosts(self, host: int) -> tuple[int, list[RetryUsage]]:
        if not self.reported_usage:
            return len(self.budgets), []
        usage = replace_retries(
            self.reported_usage[0], self.earlier_usage[0][host], self.own_usage[host]
        )
        return len(self.budgets), usage

    def step(self) -> None:
        self.own_usage = [budget.usage() for budget in self.budgets]
        found = [item for usage in self.own_usage for item in usage]
        self.reported_usage.append(sum_usage(found))
        self.earlier_usage.append(self.own_usage)
        self.now += STEP_S
        for budget in self.budgets:
            budget._history.observe_time()

    def spend(self, host: int, limit: int, reserve: float = 0.0) -> int:
        """Request retries at one host; return how many it allowed."""
        allowed = 0
        budget = self.budgets[host]
        while allowed < limit and budget.try_acquire("pool", reserve):
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
            budgets.append(running_budget(0.2, 100.0, 4))
        requests = allowed = 0
        for budget in budgets:
            for _ in range(50):
                budget.record_request("pool")
                requests += 1
            while budget.try_acquire("pool"):
                allowed += 1
        assert 0 < allowed <= SAFETY_FACTOR * (0.2 * requests + 100.0)

    def test_services_have_separate_budgets(self) -> None:
        budget = running_budget(0.0, 10.0, 1)
        while budget.try_acquire("pool"):
            pass
        assert budget.try_acquire("desk")


class TestUsage:
    def test_retries_taken_and_sent_are_counted_apart(self) -> None:
        """Guards against logs that do not tell unsent retries from uncounted ones."""
        budget = running_budget(0.0, 10.0, 1)
        for _ in range(3):
            assert budget.try_acquire("pool")
        budget.record_sent("pool", time.monotonic())
        usage = budget.record_sent("pool", time.monotonic())
        assert (usage.taken, usage.sent, usage.spent) == (3, 2, 3)


class TestStart:
    def test_retries_accrue_while_nothing_is_known(self) -> None:
        """Guards against a share for each of the processes that follow each other."""
        now = 0.0
        budget = new_budget(0.0, 100.0, 1, clock=lambda: now)
        assert not budget.try_acquire("pool")
        taken = 0
        for _ in range(round(WINDOW_S / STEP_S) - 1):
            now += STEP_S
            budget._history.observe_time()
            while budget.try_acquire("pool"):
                taken += 1
        most = SAFETY_FACTOR * STARTUP_FRACTION * 100.0
        assert most - 2 <= taken <= most
        now += STEP_S
        budget._history.observe_time()
        assert budget.try_acquire("pool")

    def test_what_ended_processes_took_is_not_taken_again(self) -> None:
        """Guards against a host that starts with retries which others have taken."""
        budget = new_budget(0.0, 100.0, 1)
        history = budget._history
        record = RetryRecord(service_key("pool"), history.bucket() - 4, [20, 0, 30])
        history.merge([record], round(WINDOW_S * 1000) + 1)
        taken = 0
        while budget.try_acquire("pool"):
            taken += 1
        assert taken == SAFETY_FACTOR * 100.0 - 50

    def test_a_host_that_stood_still_borrows_nothing_until_it_hears_others(
        self,
    ) -> None:
        """Guards against a host that wakes and takes what was taken meanwhile."""
        now = 0.0
        budget = running_budget(0.0, 100.0, 1, clock=lambda: now)
        while budget.try_acquire("pool"):
            pass
        now += 2 * WINDOW_S
        taken = 0
        while budget.try_acquire("pool"):
            taken += 1
        assert taken == SAFETY_FACTOR * RESERVED_FRACTION * 100.0
        budget._history.observe_time()
        assert not budget.try_acquire("pool")
        budget._history.merge([], round(WINDOW_S * 1000) + 1)
        assert budget.try_acquire("pool")

    def test_a_host_that_stood_still_keeps_no_reserve_that_others_have_taken(
        self,
    ) -> None:
        """Guards against a reserve that outlives the time for which others left it."""
        now = 0.0
        budget = running_budget(0.0, 100.0, 4, clock=lambda: now)
        assert budget.try_acquire("pool")
        now += 2 * WINDOW_S
        assert not budget.try_acquire("pool")
        budget._history.observe_time()
        assert not budget.try_acquire("pool")

    def test_a_retry_that_is_sent_late_counts_when_it_is_sent(self) -> None:
        """Guards against retries that arrive in a window in which none counts them."""
        now = 0.0
        budget = running_budget(0.0, 100.0, 1, clock=lambda: now)
        assert budget.try_acquire("pool")
        now += WINDOW_S + 1.0
        budget._history.observe_time()
        assert budget.record_sent("pool", 0.0).spent == 1


class TestLostHosts:
    """Two of four hosts, which have all callers, are not heard any more."""

    def test_their_share_is_left_to_them_for_a_window(self) -> None:
        """Guards against hosts that spend again what lost ones had reserved, or take
        unheard: what is left to them by their number is less."""
        now, hosts = 0.0, 4
        key = service_key("pool")
        usages = {4: [RetryUsage(key, 400, 36)], 2: [RetryUsage(key, 0, 0)]}
        budget = running_budget(
            0.0, 100.0, 4, lambda: (hosts, usages[hosts]), lambda: now
        )
        budget.record_request("pool")
        budget.usage()
        hosts = 2
        assert not budget.try_acquire("pool")
        now += WINDOW_S + 1.0
        budget._history.observe_time()
        budget._history.assume_known()
        assert budget.try_acquire("pool")

    def test_nothing_is_left_to_them_once_they_are_back(self) -> None:
        """Guards against callers that are refused after hosts were not heard for a
        moment."""
        hosts = 4
        key = service_key("pool")
        usages = {4: [RetryUsage(key, 400, 36)], 2: [RetryUsage(key, 0, 0)]}
        budget = running_budget(0.0, 1000.0, 4, lambda: (hosts, usages[hosts]))
        budget.record_request("pool")
        budget.usage()
        hosts = 2
        budget.usage()
        assert budget.record_sent("pool", time.monotonic()).lost > 0
        hosts = 4
        assert budget.try_acquire("pool")
        assert budget.record_sent("pool", time.monotonic()).lost == 0


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
        for host in range(half):
            fleet.budgets[host] = new_budget(
                RATIO,
                CONSTANT,
                HOSTS,
                partial(fleet.usage_of_all_hosts, host),
                lambda: fleet.now,
            )
        for _ in range(8):
            for host in range(HOSTS):
                fleet.requests(host, 1)
                fleet.spend(host, 1000)
            fleet.step()
        assert fleet.retries_in_window() <= RATIO * requests * 1.1 + CONSTANT


class TestReserve:
    def test_more_than_the_reserve_stays_unspent(self) -> None:
        for reserve, allowed in ((0.0, 10), (0.3, 6), (0.6, 3), (1.0, 0)):
            constant = 10.0 / SAFETY_FACTOR
            budget = running_budget(0.0, constant, 1)
            count = 0
            while budget.try_acquire("pool", reserve):
                count += 1
            assert count == allowed

    def test_reserve_is_left_for_other_attempts(self) -> None:
        """Guards against a reserve that no attempt may use."""
        constant = 10.0 / SAFETY_FACTOR
        budget = running_budget(0.0, constant, 1)
        while budget.try_acquire("pool", 0.6):
            pass
        assert budget.try_acquire("pool", 0.3)
        while budget.try_acquire("pool", 0.3):
            pass
        assert not budget.try_acquire("pool", 0.6)
        assert budget.try_acquire("pool")


class TestFloodOfRejections:
    """Load pattern: endpoints are full for long, and then one of them is lost.

    Each host attempts far more retries after rejections than the budget holds.
    """

    def flooded(self, reserve: float) -> Fleet:
        fleet = Fleet()
        fill_window(fleet)
        for _ in range(round(1.5 * WINDOW_S / STEP_S)):
            for host in range(HOSTS):
                fleet.requests(host, 1)
                fleet.spend(host, 50, reserve)
            fleet.step()
        return fleet

    def lost_endpoint(self, fleet: Fleet, streams: int) -> int:
        """Retry streams at all hosts for half a second; return how many went on."""
        waiting = [streams] * HOSTS
        for _ in range(round(0.5 / STEP_S)):
            for host in range(HOSTS):
                fleet.requests(host, 1)
                waiting[host] -= fleet.spend(host, waiting[host])
                fleet.spend(host, 50, 0.3)
            fleet.step()
        return streams * HOSTS - sum(waiting)

    def test_streams_of_a_lost_endpoint_get_their_retries(self) -> None:
        """Guards against rejections that use up the retries of running streams."""
        assert self.lost_endpoint(self.flooded(0.3), streams=2) == 2 * HOSTS

    def test_rejections_without_a_reserve_leave_no_retries(self) -> None:
        """Shows that the flood of these tests uses up the budget by itself."""
        assert self.lost_endpoint(self.flooded(0.0), streams=2) < HOSTS / 2

    @settings(max_examples=60)
    @given(
        hosts=st.integers(1, 12),
        seed=st.integers(0, 2**32 - 1),
        steps=st.integers(1, 120),
        reserves=st.lists(st.sampled_from((0.0, 0.3, 0.6)), min_size=1, max_size=3),
    )
    def test_total_retries_stay_within_budget(
        self, hosts: int, seed: int, steps: int, reserves: list[float]
    ) -> None:
        """Guards against reserves that let hosts together exceed the budget, in
        whatever order the hosts' attempts and messages follow each other."""
        rng = random.Random(seed)
        fleet = Fleet(hosts=hosts)
        fill_window(fleet)
        most = RATIO * hosts * round(WINDOW_S / STEP_S) + CONSTANT
        for _ in range(steps):
            for host in range(hosts):
                fleet.requests(host, 1)
            for _ in range(rng.randint(0, 2 * hosts)):
                host = rng.randrange(hosts)
                fleet.spend(host, rng.choice((1, 5, 50)), rng.choice(reserves))
            assert fleet.retries_in_window() <= most
            fleet.step()
