"""Request limits that many hosts keep together, in virtual time."""

from __future__ import annotations

import pytest

from hemlockhall_standins.router.limited import (
    Callers,
    LimitedEndpoint,
    limited_endpoint,
)
from hemlockhall_standins.router.load import most_in_window
from hemlockhall_standins.router.network import Host, Network

# What an endpoint with a limit may get in any window: a multiple of what the limit
# allows, and some more, from some seconds after it first stated the limit.
WINDOW_S = 4.0
OVERSHOOT = 1.5
EXTRA_REQUESTS = 5
CONTACT_S = 3.0
# Requests of callers for each one that the limit allows, and at least so many a second
# for each host: a permit is lost if its host has no request until it expires.
DEMAND_FACTOR = 6
REQUESTS_PER_HOST = 1.0
# Fraction of the permits that hosts must use while there are so many callers.
LEAST_USED = 0.5
START_S = 4.0
STEADY_S = 6.0

# Hosts, data centres, and the limit in requests per second.
SIZES = [(4, 3, 1.0), (4, 3, 10.0), (4, 1, 10.0), (32, 3, 1.0)]


def allowed(limit: float) -> float:
    return OVERSHOOT * limit * WINDOW_S + EXTRA_REQUESTS


class Fleet:
    """Hosts with callers, and an endpoint that states a limit since ``stated_at``."""

    def __init__(self, hosts: int, data_centres: int, limit: float) -> None:
        endpoint = limited_endpoint()
        self.network = Network(hosts, data_centres, seed=hosts, endpoints=[endpoint])
        self.endpoint = LimitedEndpoint(self.network, endpoint)
        rate = max(DEMAND_FACTOR * limit, REQUESTS_PER_HOST * hosts)
        self.callers = Callers(self.endpoint, rate)
        self.callers.start()
        self.network.run(START_S)
        self.endpoint.limit = limit
        self.stated_at = self.network.now

    def most(self, after: float) -> int:
        """Return the most requests in a window from ``CONTACT_S`` after a time on."""
        return most_in_window(self.endpoint.arrivals, WINDOW_S, after + CONTACT_S)

    def used(self, after: float) -> float:
        """Return the fraction of the permits used since a time."""
        limit = self.endpoint.limit
        assert limit is not None
        count = sum(time_s > after for time_s in self.endpoint.arrivals)
        return count / (limit * (self.network.now - after))

    def restart(self, hosts: list[Host]) -> None:
        """Kill hosts, and start them again a second later."""
        for host in hosts:
            host.alive = False
        self.network.run(1.0)
        for host in hosts:
            self.network.start(
                host.name, host.data_centre, host.boot + "+", host.capacity
            )

    def cut_off(self, names: set[str]) -> None:
        """Let these hosts and the others not hear each other."""
        self.network.cut = lambda sender, receiver: (
            (sender in names) != (receiver in names)
        )

    def heal(self) -> None:
        """Let all hosts hear each other again."""
        self.network.cut = lambda sender, receiver: False


@pytest.mark.parametrize(("hosts", "data_centres", "limit"), SIZES)
class TestFleet:
    def test_permits_are_used_wherever_the_callers_are(
        self, hosts: int, data_centres: int, limit: float
    ) -> None:
        """Guards against permits of hosts without callers that nobody uses: equal parts
        of a low limit are of no use where all callers reach one host."""
        fleet = Fleet(hosts, data_centres, limit)
        fleet.network.run(STEADY_S)
        assert fleet.used(fleet.stated_at) >= LEAST_USED
        fleet.callers.weight = lambda host: float(host.name == "host-1")
        fleet.network.run(2 * STEADY_S)
        moved_at = fleet.network.now
        fleet.network.run(2 * STEADY_S)
        assert fleet.used(moved_at) >= LEAST_USED
        assert fleet.most(fleet.stated_at) <= allowed(limit)

    def test_a_partition_does_not_multiply_a_limit(
        self, hosts: int, data_centres: int, limit: float
    ) -> None:
        """Guards against hosts on the two sides of a partition that each use the whole
        limit, as they take the others for dead. It lasts longer than a dead host is
        remembered, and callers move to one side meanwhile."""
        fleet = Fleet(hosts, data_centres, limit)
        fleet.network.run(STEADY_S)
        names = list(fleet.network.hosts)
        side = set(names[: len(names) // 2])
        fleet.cut_off(side)
        fleet.network.run(STEADY_S)
        fleet.callers.weight = lambda host: 1.0 + 9.0 * (host.name in side)
        fleet.network.run(4 * STEADY_S)
        fleet.heal()
        healed_at = fleet.network.now
        fleet.network.run(2 * STEADY_S)
        assert fleet.used(healed_at) >= LEAST_USED
        assert fleet.most(fleet.stated_at) <= allowed(limit)

    def test_a_partition_between_data_centres_does_not_multiply_a_limit(
        self, hosts: int, data_centres: int, limit: float
    ) -> None:
        """Guards against data centres that each use the whole limit while they do not
        hear each other."""
        fleet = Fleet(hosts, data_centres, limit)
        fleet.network.run(STEADY_S)
        members = fleet.network.hosts.values()
        fleet.cut_off({host.name for host in members if host.data_centre == "place-0"})
        fleet.network.run(STEADY_S)
        cut_at = fleet.network.now
        fleet.network.run(2 * STEADY_S)
        assert fleet.used(cut_at) >= LEAST_USED
        fleet.heal()
        fleet.network.run(STEADY_S)
        assert fleet.most(fleet.stated_at) <= allowed(limit)

    def test_restarts_do_not_multiply_a_limit(
        self, hosts: int, data_centres: int, limit: float
    ) -> None:
        """Guards against hosts that use a limit again after a restart, as they have
        lost what they sent: one, then each hub in turn, then half of them."""
        fleet = Fleet(hosts, data_centres, limit)
        fleet.network.run(STEADY_S)
        fleet.restart([fleet.network.hosts["host-1"]])
        fleet.network.run(STEADY_S)
        for hub in fleet.network.hubs()[:2]:
            fleet.restart([hub])
            fleet.network.run(2.0)
        half = list(fleet.network.hosts.values())[::2]
        fleet.restart(half)
        fleet.network.run(STEADY_S)
        restarted_at = fleet.network.now
        fleet.network.run(STEADY_S)
        assert fleet.used(restarted_at) >= LEAST_USED
        assert fleet.most(fleet.stated_at) <= allowed(limit)

    def test_all_hosts_learn_the_limit_again_after_all_restarted(
        self, hosts: int, data_centres: int, limit: float
    ) -> None:
        """Guards against a fleet that goes past a limit after all hosts lost power,
        when no host knows it any more."""
        fleet = Fleet(hosts, data_centres, limit)
        fleet.network.run(STEADY_S)
        fleet.restart(list(fleet.network.hosts.values()))
        restarted_at = fleet.network.now
        fleet.network.run(2 * STEADY_S)
        assert fleet.most(restarted_at) <= allowed(limit)
        assert fleet.used(restarted_at + CONTACT_S) >= LEAST_USED

    def test_a_changed_limit_holds_at_all_hosts(
        self, hosts: int, data_centres: int, limit: float
    ) -> None:
        """Guards against hosts that keep an earlier limit, as they got no response from
        the endpoint since."""
        fleet = Fleet(hosts, data_centres, limit)
        fleet.network.run(STEADY_S)
        fleet.endpoint.limit = 3 * limit
        fleet.callers.rate *= 3
        fleet.network.run(STEADY_S)
        raised_at = fleet.network.now
        fleet.network.run(STEADY_S)
        assert fleet.used(raised_at) >= LEAST_USED
        assert fleet.most(fleet.stated_at) <= allowed(3 * limit)
        fleet.endpoint.limit = limit
        lowered_at = fleet.network.now
        fleet.network.run(STEADY_S)
        assert fleet.most(lowered_at) <= allowed(limit)

    def test_the_end_of_a_limit_reaches_all_hosts(
        self, hosts: int, data_centres: int, limit: float
    ) -> None:
        """Guards against hosts that keep a limit after its end: one without a permit
        gets no response that would tell it."""
        fleet = Fleet(hosts, data_centres, limit)
        fleet.network.run(STEADY_S)
        fleet.endpoint.limit = None
        fleet.network.run(STEADY_S)
        assert not [h.name for h in fleet.network.live() if h.limits.active]


class TestLostMessages:
    @pytest.mark.parametrize("limit", [1.0, 10.0])
    def test_lost_datagrams_do_not_multiply_a_limit(self, limit: float) -> None:
        """Guards against hosts that own the same permits, as each knows other demand of
        the others: one in ten datagrams is lost, and callers move."""
        fleet = Fleet(32, 3, limit)
        fleet.network.lost = 0.1
        for turn in range(6):
            fleet.callers.weight = lambda host, turn=turn: float(
                host.name.endswith(str(turn))
            )
            fleet.network.run(5.0)
        assert fleet.most(fleet.stated_at) <= allowed(limit)


class TestManyHosts:
    def test_a_limit_is_kept_by_400_hosts(self) -> None:
        """Guards against a limit that each of many hosts goes past by a little: a
        partition cuts off a third of the
        data centres, half of the hosts restart, and the limit ends."""
        limit = 20.0
        fleet = Fleet(400, 15, limit)
        fleet.network.run(3.0)
        third = {f"place-{number}" for number in range(5)}
        members = list(fleet.network.hosts.values())
        fleet.cut_off({host.name for host in members if host.data_centre in third})
        fleet.network.run(3.0)
        fleet.heal()
        fleet.restart(members[::2])
        fleet.network.run(3.0)
        assert fleet.most(fleet.stated_at) <= allowed(limit)
        fleet.endpoint.limit = None
        fleet.network.run(2.0)
        assert not [h.name for h in fleet.network.live() if h.limits.active]
