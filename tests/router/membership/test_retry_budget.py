"""The retry budget of many hosts, with the restarts of their processes."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

import pytest

from hemlockhall_router.process.setting import RetrySection
from hemlockhall_standins.router.audit import RetryAudit
from hemlockhall_standins.router.network import Host, Network

RETRY = RetrySection(ratio=0.2, constant=198.0, window_s=10.0)
SERVICE = "pool"
STEP_S = 0.05
# Attempts of a request, and the time from a failed one to the next.
ATTEMPTS = 6
ATTEMPT_S = 0.1
# Time from the start of the hosts to the first failures.
START_S = 4.0
FAILURE_S = 16.0
RESTART_S = 0.3
# Time that the first group of hosts has all callers, and for which requests fail before
# the callers move to the next group.
CALM_S = 11.5
MOVE_FAILING_S = 0.7
# Time for which hosts stand still in a series of moves, for which requests fail before
# a move, and from the first move of a lap to the last.
HELD_S = (1.0, 3.0)
SERIES_FAILING_S = (0.4, 1.2)
LAP_S = (4.5, 7.0)
# Part of the budget that hosts use at least while all requests fail, without restarts.
LEAST_USED = 0.65
# Hosts, data centres, and requests per second.
SIZES = [(4, 3, 60.0), (28, 3, 250.0), (400, 15, 1000.0)]
SMALL_SIZES = SIZES[:2]
SEEDS = int(os.environ.get("HEMLOCKHALL_SEEDS", "12"))


@dataclass
class Pending:
    """A failed request that is to be sent again at ``due_at``."""

    id: str
    host: Host
    due_at: float
    attempts: int = 1


# What happens to the hosts that lose the callers and to those that get them.
Move = Callable[["Fleet", list[Host], list[Host]], None]


class Fleet:
    """Hosts with callers whose requests all fail from ``START_S`` on."""

    def __init__(
        self,
        hosts: int,
        data_centres: int,
        rate: float,
        *,
        seed: int = 1,
        retry: RetrySection = RETRY,
        attempt_s: float = ATTEMPT_S,
    ) -> None:
        self.network = Network(hosts, data_centres, seed=seed, retry=retry)
        self.random = random.Random(seed)  # noqa: S311
        self.rate = rate
        self.attempt_s = attempt_s
        self.audit = RetryAudit(retry.ratio, retry.constant, retry.window_s)
        self.pending: list[Pending] = []
        self.numbers = count(1)
        # How much more likely a request fails at some hosts, by name; 1 for the others.
        self.failing: dict[str, float] = {}
        # Names of the hosts that callers use; None means all that run.
        self.used_by_callers: set[str] | None = None
        for host in self.network.live():
            # They have run for a window when the first requests fail.
            host.budget.assume_first()
        self.run(START_S, failing=0.0)

    def run(self, seconds: float, failing: float = 1.0) -> None:
        """Let callers send requests, of which a fraction fails, and are repeated."""
        until = self.network.now + seconds
        while self.network.now < until:
            self.network.run(STEP_S)
            self._request(failing)
            self._repeat()

    def _request(self, failing: float) -> None:
        # Callers reach the hosts that run, and do not know of those that stand still.
        hosts = self.network.live()
        if self.used_by_callers is not None:
            hosts = [host for host in hosts if host.name in self.used_by_callers]
        due = self.rate * STEP_S
        for _ in range(int(due) + (self.random.random() < due % 1)):
            now = self.network.now
            self.audit.record_request(now)
            if not hosts:
                continue
            host = self.random.choice(hosts)
            if host.frozen:
                continue
            request = Pending(f"r{next(self.numbers)}", host, now + self.attempt_s)
            host.budget.record_request(SERVICE)
            self.audit.record_arrival(request.id, now)
            if self.random.random() < failing * self.failing.get(host.name, 1.0):
                self.pending.append(request)

    def _repeat(self) -> None:
        now = self.network.now
        waiting = []
        for request in self.pending:
            host = request.host
            if not host.alive:
                continue
            if host.frozen or now < request.due_at:
                waiting.append(request)
                continue
            if not host.budget.try_acquire(SERVICE):
                continue
            host.budget.record_sent(SERVICE, now)
            self.audit.record_arrival(request.id, now)
            request.attempts += 1
            request.due_at = now + self.attempt_s
            if request.attempts < ATTEMPTS:
                waiting.append(request)
        self.pending = waiting

    def used(self) -> float:
        """Return the largest fraction of the budget used in any window."""
        return self.audit.most_used()

    def burst(self, host: Host) -> None:
        """Let a host repeat as many requests as it may at one moment."""
        request_id = f"burst-{next(self.numbers)}"
        self.audit.record_arrival(request_id, self.network.now)
        while host.budget.try_acquire(SERVICE):
            self.audit.record_arrival(request_id, self.network.now)

    def kill(self, hosts: list[Host]) -> None:
        """Kill the processes of hosts."""
        for host in hosts:
            host.alive = False

    def start(self, host: Host, name: str | None = None) -> Host:
        """Start the process of a host again, or one of another name in its place."""
        name = name or host.name
        return self.network.start(name, host.data_centre, host.boot + "+")

    def restart(self, hosts: list[Host]) -> None:
        """Kill hosts and start them again ``RESTART_S`` later."""
        self.kill(hosts)
        self.run(RESTART_S)
        for host in hosts:
            self.start(host)

    def restart_in_turn(self, span_s: float) -> None:
        """Restart all hosts within a time, one or several at once."""
        hosts = self.network.live()
        self.random.shuffle(hosts)
        rounds = min(len(hosts), int(span_s / (2 * RESTART_S)))
        size = -(-len(hosts) // rounds)
        for first in range(0, len(hosts), size):
            self.restart(hosts[first : first + size])
            self.run(span_s / rounds - RESTART_S)

    def move_demand(
        self,
        group_count: int,
        span_s: float,
        on_move: Move,
        on_failure: Move | None = None,
    ) -> None:
        """Let groups of hosts have all callers in turn; requests fail as turns end.

        ``span_s`` is the time from the first failures to the start of the last ones.
        ``on_move`` is called with the hosts that lose the callers and those that get
        them, when they move, and ``on_failure`` when requests begin to fail.
        """
        hosts = self.network.live()
        groups = [hosts[first::group_count] for first in range(group_count)]
        turn_s = span_s / (group_count - 1)
        for number, group in enumerate(groups):
            self.used_by_callers = {host.name for host in group}
            next_group = groups[(number + 1) % group_count]
            self.run((turn_s if number else CALM_S) - MOVE_FAILING_S, failing=0.0)
            if on_failure is not None:
                on_failure(self, group, next_group)
            self.run(MOVE_FAILING_S)
            on_move(self, group, next_group)
        self.used_by_callers = None
        self.run(RETRY.window_s, failing=0.0)

    def move_in_series(self, group_count: int, rng: random.Random) -> None:
        """Let groups of hosts have all callers in turn, twice.

        Each is parted from the others as its requests begin to fail, or stands still
        for a while after it has lost the callers.
        """
        hosts = self.network.live()
        groups = [hosts[first::group_count] for first in range(group_count)]
        turn_s = rng.uniform(*LAP_S) / (group_count - 1)
        failing_s = rng.uniform(*SERIES_FAILING_S)
        for number in range(2 * group_count):
            group = groups[number % group_count]
            next_group = groups[(number + 1) % group_count]
            self.used_by_callers = {host.name for host in group}
            self.run((turn_s if number else CALM_S) - failing_s, failing=0.0)
            held = rng.random() < 0.5
            if not held:
                self.part({host.name for host in group})
            self.run(failing_s)
            if not held:
                continue
            for host in group:
                host.frozen = True
            self.used_by_callers = {host.name for host in next_group}
            self.run(rng.uniform(*HELD_S), failing=rng.choice([0.0, 1.0]))
            for host in group:
                host.frozen = False
        self.used_by_callers = None
        self.run(RETRY.window_s, failing=0.0)

    def part(self, names: set[str]) -> None:
        """Let these hosts and the others not hear each other."""
        self.network.cut = lambda sender, receiver: (
            (sender in names) != (receiver in names)
        )

    def part_half(self) -> None:
        """Part the hosts in two halves, across data centres."""
        names = sorted(self.network.hosts)
        self.part(set(self.random.sample(names, len(names) // 2)))

    def heal(self) -> None:
        """Let all hosts hear each other again."""
        self.network.cut = lambda sender, receiver: False


@pytest.mark.parametrize(("hosts", "data_centres", "rate"), SMALL_SIZES)
class TestWithoutRestarts:
    def test_the_budget_is_used_and_not_exceeded(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against callers that are refused while retries are left."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(FAILURE_S)
        assert LEAST_USED <= fleet.used() <= 1.0


class TestRestarts:
    @pytest.mark.parametrize(("hosts", "data_centres", "rate"), SIZES)
    def test_all_hosts_in_turn_and_again(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against a second budget for each process that starts."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(1.0)
        fleet.restart_in_turn(3.0)
        fleet.restart_in_turn(3.0)
        fleet.run(FAILURE_S - 7.0)
        assert fleet.used() <= 1.0

    @pytest.mark.parametrize(("hosts", "data_centres", "rate"), SMALL_SIZES)
    def test_all_hosts_together_and_again(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against a whole budget for hosts none of which knows what was spent
        before."""
        fleet = Fleet(hosts, data_centres, rate)
        for _ in range(2):
            fleet.run(3.0)
            fleet.restart(fleet.network.live())
        fleet.run(FAILURE_S)
        assert fleet.used() <= 1.0


@pytest.mark.parametrize(("hosts", "data_centres", "rate"), SMALL_SIZES)
class TestLostHosts:
    def test_what_lost_hosts_borrowed_is_not_forgotten(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against hosts that spend again what a killed one had borrowed."""
        fleet = Fleet(hosts, data_centres, rate)
        lost = fleet.network.live()[: hosts // 2]
        fleet.failing = {host.name: 0.0 for host in fleet.network.live()}
        fleet.failing.update({host.name: 1.0 for host in lost})
        fleet.run(5.0)
        fleet.kill(lost)
        fleet.failing = {}
        fleet.run(FAILURE_S)
        assert fleet.used() <= 1.0

    def test_hosts_that_end_right_after_many_retries(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against retries that no one knows of, as their host ended before its
        next report."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(6.0, failing=0.0)
        for _ in range(2):
            for host in fleet.network.live():
                fleet.burst(host)
                fleet.restart([host])
        fleet.run(5.0)
        assert fleet.used() <= 1.0

    def test_hosts_that_are_replaced_under_other_names(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against a whole budget for hosts that join in place of others, while
        the old processes still run and after they ended."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(3.0)
        for old in fleet.network.live():
            fleet.start(old, f"{old.name}-new")
            fleet.run(0.5)
            fleet.kill([old])
        fleet.run(FAILURE_S)
        assert fleet.used() <= 1.0

    def test_hosts_that_start_with_their_clocks_ahead(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against a step of the shared clock that moves retries out of the
        window."""
        fleet = Fleet(hosts, data_centres, rate)
        for _ in range(2):
            fleet.run(3.0)
            old = fleet.network.live()[0]
            fleet.kill([old])
            clock = fleet.start(old).exchange.shared_clock
            clock.adopt(clock.now_ms() + 5000)
        fleet.run(FAILURE_S)
        assert fleet.used() <= 1.0

    def test_twice_as_many_hosts(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against shares of hosts that join on top of those of the others."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(3.0)
        for old in fleet.network.live():
            fleet.start(old, f"{old.name}-new")
        fleet.run(FAILURE_S)
        assert fleet.used() <= 1.0


@pytest.mark.parametrize(("hosts", "data_centres", "rate"), SMALL_SIZES)
class TestPartedHosts:
    def test_halves_that_restart(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against parted hosts that know nothing of the others' retries and
        lose what they know of their own."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(2.0)
        fleet.part_half()
        fleet.run(1.0)
        fleet.restart_in_turn(3.0)
        fleet.heal()
        fleet.restart_in_turn(3.0)
        fleet.run(FAILURE_S - 6.0)
        assert fleet.used() <= 1.0

    def test_hosts_that_stand_still(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against hosts that wake and spend what others have spent since."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(2.0)
        half = fleet.network.live()[::2]
        for host in half:
            host.frozen = True
        fleet.run(4.0)
        for host in half:
            host.frozen = False
        fleet.run(FAILURE_S)
        assert fleet.used() <= 1.0


class TestBursts:
    @pytest.mark.parametrize("attempt_s", [0.5, 1.0, 2.0])
    @pytest.mark.parametrize(("hosts", "constant"), [(4, 15.0), (4, 198.0), (28, 15.0)])
    def test_two_within_a_window_do_not_add_up(
        self, hosts: int, constant: float, attempt_s: float
    ) -> None:
        """Guards against retries for the requests of 10 s that lie in other windows, of
        which each has the requests of one burst only."""
        retry = RetrySection(ratio=0.2, constant=constant, window_s=10.0)
        rate = 20 * constant * hosts
        fleet = Fleet(hosts, 3, 0.0, retry=retry, attempt_s=attempt_s)
        fleet.run(2 * retry.window_s)
        for _ in range(2):
            fleet.rate = rate
            fleet.run(0.2)
            fleet.rate = 0.0
            fleet.run(9.3 - attempt_s)
        fleet.run(retry.window_s)
        assert fleet.used() <= 1.0

    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_many_of_any_kind(self, seed: int) -> None:
        """Guards against other times of bursts, and failures after other times."""
        rng = random.Random(seed)
        retry = RetrySection(ratio=0.2, constant=15.0, window_s=10.0)
        attempt_s = rng.choice([0.1, 0.5, 1.0, 2.0, 4.0])
        fleet = Fleet(4, 3, 0.0, seed=seed, retry=retry, attempt_s=attempt_s)
        fleet.run(2 * retry.window_s)
        for _ in range(10):
            fleet.rate = rng.choice([0.0, 20.0, 300.0, 2000.0])
            fleet.run(rng.uniform(0.1, 1.0), rng.choice([0.3, 1.0]))
            fleet.rate = rng.choice([0.0, 0.0, 10.0])
            fleet.run(rng.uniform(0.5, 9.5), rng.choice([0.3, 1.0]))
        fleet.run(retry.window_s)
        assert fleet.used() <= 1.0


MOVES: dict[str, Move] = {}


def move(function: Move) -> Move:
    """Register what happens to hosts when callers move from one group to another."""
    MOVES[function.__name__] = function
    return function


@move
def calm(fleet: Fleet, left: list[Host], joined: list[Host]) -> None:
    """Change nothing."""


@move
def restarted(fleet: Fleet, left: list[Host], joined: list[Host]) -> None:
    """Kill the hosts that lose the callers, and start them again."""
    fleet.kill(left)
    fleet.used_by_callers = {host.name for host in joined}
    fleet.run(RESTART_S, failing=0.0)
    for host in left:
        fleet.start(host)


@move
def replaced(fleet: Fleet, left: list[Host], joined: list[Host]) -> None:
    """Replace the hosts that lose the callers by hosts of other names."""
    fleet.kill(left)
    for host in left:
        fleet.start(host, f"{host.name}-new")


@move
def parted(fleet: Fleet, left: list[Host], joined: list[Host]) -> None:
    """Part the hosts that lose the callers from all others."""
    fleet.part({host.name for host in left})


@move
def frozen(fleet: Fleet, left: list[Host], joined: list[Host]) -> None:
    """Freeze the hosts that lose the callers, and wake the others."""
    for host in fleet.network.live():
        host.frozen = host in left


@move
def extended(fleet: Fleet, left: list[Host], joined: list[Host]) -> None:
    """Add a host."""
    name = f"new-{len(fleet.network.hosts)}"
    fleet.network.start(name, left[0].data_centre)


class TestMovingDemand:
    @pytest.mark.parametrize("span_s", [6.0, 7.2, 8.4])
    @pytest.mark.parametrize(("hosts", "group_count"), [(2, 2), (4, 4), (6, 6)])
    @pytest.mark.parametrize("disruption", list(MOVES))
    def test_shares_of_several_moments_do_not_add_up(
        self, disruption: str, hosts: int, group_count: int, span_s: float
    ) -> None:
        """Guards against a share for each host that callers move to, after the hosts
        that they left have spent the budget of the window."""
        worst = 0.0
        for seed in (1, 2):
            fleet = Fleet(hosts, 3, 80.0, seed=seed)
            fleet.move_demand(group_count, span_s, MOVES[disruption])
            worst = max(worst, fleet.used())
        assert worst <= 1.0

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("span_s", [6.0, 8.4])
    @pytest.mark.parametrize("hosts", [2, 4, 6])
    def test_hosts_that_are_parted_as_requests_begin_to_fail(
        self, hosts: int, span_s: float, seed: int
    ) -> None:
        """Guards against a host that spends the whole budget unheard, and others that
        spend it again."""
        fleet = Fleet(hosts, 3, 80.0, seed=seed)
        fleet.move_demand(hosts, span_s, calm, on_failure=parted)
        assert fleet.used() <= 1.0

    @pytest.mark.parametrize("added_after_s", [0.6, 2.0])
    @pytest.mark.parametrize(("hosts", "group_count"), [(2, 2), (4, 2), (4, 4)])
    def test_hosts_that_are_added_as_others_are_parted(
        self, hosts: int, group_count: int, added_after_s: float
    ) -> None:
        """Guards against lost hosts that nobody misses, as others came in their place:
        what is left to lost hosts must not depend on how many hosts there are."""

        def replace(fleet: Fleet, left: list[Host], joined: list[Host]) -> None:
            parted(fleet, left, joined)
            for host in left:
                fleet.network.after(
                    added_after_s, lambda host=host: fleet.start(host, f"{host.name}-2")
                )

        worst = 0.0
        for seed in (1, 2):
            fleet = Fleet(hosts, 3, 80.0, seed=seed)
            fleet.move_demand(group_count, 6.0, calm, on_failure=replace)
            worst = max(worst, fleet.used())
        assert worst <= 1.0

    @pytest.mark.parametrize("seed", [3, 5, 11, 14, 20, 33])
    @pytest.mark.parametrize(
        ("hosts", "data_centres", "group_count"), [(6, 3, 4), (12, 4, 6), (24, 3, 4)]
    )
    def test_groups_that_are_parted_or_stand_still_one_after_the_other(
        self, hosts: int, data_centres: int, group_count: int, seed: int
    ) -> None:
        """Guards against hosts that spend again what a group had reserved, or took
        unheard, when they lost it."""
        rng = random.Random(seed)
        fleet = Fleet(hosts, data_centres, rng.choice([60.0, 100.0, 250.0]), seed=seed)
        fleet.move_in_series(group_count, rng)
        assert fleet.used() <= 1.0

    @pytest.mark.parametrize(("hosts", "data_centres", "rate"), SMALL_SIZES)
    def test_a_host_that_gets_all_callers_uses_the_budget(
        self, hosts: int, data_centres: int, rate: float
    ) -> None:
        """Guards against retries that are kept for hosts without callers."""
        fleet = Fleet(hosts, data_centres, rate)
        fleet.run(8.0, failing=0.0)
        fleet.used_by_callers = {fleet.network.live()[0].name}
        fleet.run(FAILURE_S)
        assert LEAST_USED <= fleet.used() <= 1.0


class TestSeries:
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_disruptions_that_overlap(self, seed: int) -> None:
        """Guards against sequences of restarts, partitions, pauses and new hosts that
        no single test has."""
        rng = random.Random(seed)
        hosts, data_centres, rate = rng.choice([(2, 1, 30.0), (4, 3, 60.0), (9, 2, 90)])
        fleet = Fleet(hosts, data_centres, rate, seed=seed)
        fleet.network.lost = rng.choice([0.0, 0.0, 0.1])
        for number in range(14):
            live = fleet.network.live()
            some = rng.sample(live, rng.randint(1, len(live)))
            action = rng.choice(
                ["restart", "in turn", "part", "heal", "freeze", "wake", "replace", ""]
            )
            if action == "restart":
                fleet.restart(some)
            elif action == "in turn":
                fleet.restart_in_turn(rng.uniform(1.0, 4.0))
            elif action == "part":
                fleet.part({host.name for host in some})
            elif action == "heal":
                fleet.heal()
            elif action == "freeze":
                for host in some:
                    host.frozen = True
            elif action == "wake":
                for host in live:
                    host.frozen = False
            elif action == "replace":
                fleet.start(some[0], f"new-{number}")
                fleet.run(rng.choice([0.0, 1.0]))
                fleet.kill(some[:1])
            fleet.run(rng.uniform(0.2, 3.0), rng.choice([0.2, 1.0, 1.0]))
        assert fleet.used() <= 1.0
