"""Division of slots among hosts."""

from __future__ import annotations

import random

import pytest

from hemlockhall_router.membership.share import Competitor, Shares, demand_weight

LAG_S = 1.5
ROUND_S = 0.25
KEYS = [str(number) for number in range(200)]


class Hosts:
    """Hosts of one data centre that hear of each other's demand with a delay.

    ``hears`` tells whether a host hears another one, and ``delays`` is the number of
    rounds after which it does.
    """

    def __init__(self, count: int, seed: int = 0) -> None:
        self.random = random.Random(seed)  # noqa: S311
        self.names = [f"host-{number}" for number in range(count)]
        self.shares = {name: Shares(name, "here") for name in self.names}
        self.levels = {name: [0] for name in self.names}
        self.hears = lambda name, other: True
        self.now = 100.0
        rounds = range(int(LAG_S / ROUND_S))
        self.delays = {
            (name, other): self.random.choice(rounds)
            for name in self.names
            for other in self.names
        }

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / ROUND_S)):
            self.now += ROUND_S
            for name in self.names:
                self.levels[name].append(self.levels[name][-1])
                self._update(name)

    def _update(self, name: str) -> None:
        hosts = []
        for other in self.names:
            if not self.hears(name, other):
                continue
            delay = 0 if other == name else self.delays[name, other]
            level = self.levels[other][max(-len(self.levels[other]), -1 - delay)]
            hosts.append(Competitor(other, demand_weight(level)))
        total = sum(competitor.weight for competitor in hosts)
        here = Competitor("here", total, len(self.names))
        self.shares[name].update(self.now, hosts, [here], 0, 0, LAG_S)

    def owners(self) -> list[int]:
        """Return how many hosts own each slot."""
        return [sum(s.owns(key) for s in self.shares.values()) for key in KEYS]


class TestOwners:
    def test_each_slot_has_one_owner(self) -> None:
        hosts = Hosts(8)
        hosts.run(2 * LAG_S)
        assert set(hosts.owners()) == {1}

    def test_hosts_own_slots_by_their_demand(self) -> None:
        hosts = Hosts(8)
        hosts.levels["host-0"] = [6]
        hosts.run(4 * LAG_S)
        owned = sum(hosts.shares["host-0"].owns(key) for key in KEYS)
        assert owned > 0.9 * len(KEYS)

    @pytest.mark.parametrize("seed", range(5))
    def test_demand_that_changes_gives_no_slot_to_two_hosts(self, seed: int) -> None:
        """Guards against hosts that count themselves with more demand than the others
        know of: both of two hosts would own the same slots."""
        hosts = Hosts(8, seed)
        for _ in range(30):
            hosts.run(hosts.random.choice((ROUND_S, 2 * ROUND_S, 2 * LAG_S)))
            for name in hosts.random.sample(hosts.names, 3):
                hosts.levels[name][-1] = hosts.random.randrange(8)
            hosts.run(ROUND_S)
            assert max(hosts.owners()) <= 1

    def test_the_two_sides_of_a_partition_own_different_slots(self) -> None:
        """Guards against two sides that both own all slots, also when the demand moves
        to one of them, and when hosts notice the partition at different times."""
        hosts = Hosts(8)
        hosts.run(4 * LAG_S)
        first = hosts.names[:3]
        noticed_at = {name: hosts.now + hosts.random.random() for name in hosts.names}
        hosts.hears = lambda name, other: (
            (name in first) == (other in first) or hosts.now < noticed_at[name]
        )
        for _ in range(40):
            hosts.run(ROUND_S)
            assert max(hosts.owners()) <= 1
            for name in first:
                if not hosts.random.randrange(4):
                    hosts.levels[name][-1] = hosts.random.randrange(8)
        hosts.run(2 * LAG_S)
        assert sum(hosts.owners()) == len(KEYS)

    def test_a_host_that_was_held_up_owns_no_slot_at_first(self) -> None:
        """Guards against a host that wakes up and uses slots that others got meanwhile,
        since it does not know of the change yet."""
        hosts = Hosts(4)
        hosts.run(2 * LAG_S)
        name = hosts.names[0]
        hosts.now += 10 * LAG_S
        hosts._update(name)
        assert not any(hosts.shares[name].owns(key) for key in KEYS)

    def test_unknown_hosts_leave_their_slots_unused(self) -> None:
        """Guards against a host that hears nobody and takes itself for the only one."""
        shares = Shares("host-0", "here")
        own = [Competitor("host-0", 1)]
        for number in range(20):
            now = 100.0 + number * ROUND_S
            shares.update(now, own, [Competitor("here", 1, 1)], 7, 0, LAG_S)
        owned = sum(shares.owns(key) for key in KEYS)
        assert owned == pytest.approx(len(KEYS) / 8, rel=0.3)
