"""Exchange of state among many hosts, in virtual time."""

from __future__ import annotations

import pytest

from hemlockhall_router.membership.message import Load, RetryUsage
from hemlockhall_router.membership.roster import HUBS_PER_DATA_CENTRE
from hemlockhall_router.process.intake import MIN_RELATIVE_DEMAND
from hemlockhall_standins.router.network import Host, Network

# Number of hosts and of data centres.
SIZES = [(4, 3), (25, 3), (68, 5)]
# Seconds within which all hosts know of a crash, of a restart, and of each other after
# a common start.
CRASH_S = 2.0
RESTART_S = 1.0
START_S = 4.0
CONTACT_S = 3.0


def started(hosts: int, data_centres: int, seed: int = 1, **bounds: float) -> Network:
    network = Network(hosts, data_centres, seed, **bounds)
    network.run(START_S)
    return network


@pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
class TestMembership:
    def test_all_hosts_agree_on_the_host_count(
        self, hosts: int, data_centres: int
    ) -> None:
        network = started(hosts, data_centres)
        assert {host.hosts() for host in network.live()} == {hosts}
        assert len(network.hubs()) <= HUBS_PER_DATA_CENTRE * data_centres

    def test_all_hosts_notice_a_crash(self, hosts: int, data_centres: int) -> None:
        """Guards against counting dead hosts, for retry budget shares and for loads."""
        network = started(hosts, data_centres)
        network.hubs()[0].alive = False
        network.run(CRASH_S)
        assert {host.hosts() for host in network.live()} == {hosts - 1}

    def test_a_host_with_most_callers_knows_it_in_time(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a host that takes the callers of all for its usual share."""
        network = started(hosts, data_centres)
        busy, *others = network.live()
        for _ in range(4 * int(CONTACT_S)):
            for _ in range(50):
                busy.limits.record_request()
            for host in others:
                host.limits.record_request()
            network.run(0.25)
        assert busy.exchange.relative_demand() > MIN_RELATIVE_DEMAND
        for host in others:
            assert host.exchange.relative_demand() <= 1.0

    def test_a_restarted_host_rejoins(self, hosts: int, data_centres: int) -> None:
        """Guards against a restarted host that the others still count as dead."""
        network = started(hosts, data_centres)
        crashed = network.hubs()[0]
        crashed.alive = False
        network.run(CRASH_S)
        restarted = network.start(
            crashed.name, crashed.data_centre, boot="2", capacity=crashed.capacity
        )
        network.run(RESTART_S)
        assert restarted.hosts() == hosts
        assert {host.hosts() for host in network.live()} == {hosts}

    def test_a_slow_host_does_not_count_as_dead(
        self, hosts: int, data_centres: int
    ) -> None:
        network = started(hosts, data_centres)
        network.hubs()[0].slow_s = 0.4
        for _ in range(10):
            network.run(0.3)
            assert {host.hosts() for host in network.live()} == {hosts}


class TestConvergence:
    def test_bounds_hold_with_400_hosts(self) -> None:
        """Guards against a convergence time that grows with the number of hosts.

        A change must arrive within a third of ``config_ms``, which is 2 s.
        """
        network = started(400, 15)
        assert {host.hosts() for host in network.live()} == {400}
        network.store_version = 2
        network.run(2.0 / 3)
        assert {host.version for host in network.live()} == {2}
        crashed = network.hubs()[0]
        crashed.alive = False
        network.run(CRASH_S)
        assert {host.hosts() for host in network.live()} == {399}
        network.start(
            crashed.name, crashed.data_centre, boot="2", capacity=crashed.capacity
        )
        network.run(RESTART_S)
        assert {host.hosts() for host in network.live()} == {400}


class TestCost:
    def test_messages_per_host_do_not_grow_with_hosts(self) -> None:
        """Guards against messages that grow with the number of hosts."""
        few, many = started(30, 5), started(130, 5)
        assert many.sent_each() <= few.sent_each() * 1.2

    def test_mean_datagram_is_not_fragmented(self) -> None:
        """Guards against datagrams of a host that exceed 1400 bytes in the mean."""
        network = started(68, 5)
        loads = [Load(key, 1, 900, 0, 10) for key in range(130)]
        for host in network.live():
            host.loads = loads[:40]
        network.run(START_S)
        largest_mean = max(h.sent_bytes / h.sent for h in network.live())
        assert largest_mean <= 1400


class TestFailures:
    @pytest.mark.parametrize("seed", range(5))
    def test_a_host_with_datagram_loss_does_not_count_as_dead(self, seed: int) -> None:
        network = started(25, 3, seed)
        network.lost = 0.05
        for _ in range(20):
            network.run(0.25)
            assert min(host.hosts() for host in network.live()) >= 24

    def test_data_centres_reconnect_after_a_partition(self) -> None:
        """Guards against a membership that stays split after a network partition."""
        network = started(25, 3)
        data_centres = {name: host.data_centre for name, host in network.hosts.items()}
        network.cut = lambda sender, receiver: (
            data_centres[sender] != data_centres[receiver]
        )
        network.run(10.0)
        own = [h for h in network.hosts.values() if h.data_centre == "place-0"]
        assert {host.hosts() for host in own} == {len(own)}
        network.cut = lambda sender, receiver: False
        network.run(6.0)
        assert {host.hosts() for host in network.live()} == {25}

    @pytest.mark.parametrize("seed", range(3))
    def test_a_data_centre_reconnects_after_a_partition_within_it(
        self, seed: int
    ) -> None:
        """Guards against hosts that never report again to a hub which they could not
        reach, so that nobody counts all hosts."""
        network = started(28, 3, seed)
        side = {f"host-{number}" for number in range(14)}
        network.cut = lambda sender, receiver: (sender in side) != (receiver in side)
        network.run(5.0)
        assert {host.hosts() for host in network.live()} == {14}
        network.cut = lambda sender, receiver: False
        network.run(6.0)
        assert {host.hosts() for host in network.live()} == {28}

    def test_hosts_find_each_other_after_a_restart_of_all(self) -> None:
        network = started(25, 3)
        for host in list(network.hosts.values()):
            host.alive = False
            network.start(host.name, host.data_centre, boot="2", capacity=host.capacity)
        network.run(START_S)
        assert {host.hosts() for host in network.live()} == {25}


class TestConfigurationChange:
    @pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
    def test_a_change_reaches_all_within_a_third_of_the_bound(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a configuration that reaches other data centres late.

        The bound is ``config_ms``, 2 s.
        """
        network = started(hosts, data_centres)
        network.store_version = 2
        network.run(2.0 / 3)
        assert {host.version for host in network.live()} == {2}

    @pytest.mark.parametrize("seed", range(5))
    def test_a_change_arrives_after_a_crash_of_all_hubs(self, seed: int) -> None:
        """Guards against hosts that wait for failed hubs to pass a change on."""
        network = started(25, 3, seed)
        for hub in network.hubs():
            hub.alive = False
        network.store_version = 2
        network.run(2.0)
        assert {host.version for host in network.live()} == {2}

    @pytest.mark.parametrize("seed", range(5))
    def test_a_change_arrives_if_hubs_lose_the_store(self, seed: int) -> None:
        """Guards against hosts that wait for hubs which cannot reach the store."""
        network = started(25, 3, seed)
        for hub in network.hubs():
            hub.store_partitioned = True
        network.store_version = 2
        network.run(1.0)
        assert {host.version for host in network.live()} == {2}

    def test_only_one_host_per_data_centre_watches_the_store(self) -> None:
        """Guards against a number of store calls that grows with the hosts."""
        network = started(68, 5)
        watchers = []

        def record(host: Host) -> None:
            if host.exchange.is_store_watcher():
                watchers.append(host.name)

        for _ in range(20):
            network.run(0.2)
            for host in network.live():
                record(host)
        assert len(set(watchers)) == 5


class TestLoads:
    @pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
    def test_loads_of_all_other_hosts_are_counted_once(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against loads that are lost or counted twice."""
        network = Network(hosts, data_centres, 1)
        for host in network.live():
            host.loads = [Load(7, 1, 100, 10, 5)]
        network.run(START_S)
        for host in network.live():
            assert host.exchange.loads()[7].tokens == 100 * (hosts - 1)

    def test_event_age_grows_while_passed_on(self) -> None:
        """Guards against old events that make a dead endpoint look live."""
        network = Network(4, 1, 1)
        first = network.hosts["host-0"]
        first.loads = [Load(7, 1, 100, 10, 0)]
        network.run(START_S)
        first.alive = False
        network.run(0.9)
        for host in network.live():
            load = host.exchange.loads().get(7)
            assert load is None or load.event_age_ms >= 600


class TestDemand:
    def test_the_only_host_of_a_data_centre_keeps_its_callers(self) -> None:
        """Guards against callers that are sent away and come back at the same host."""
        network = started(4, 4)
        for _ in range(200):
            network.hosts["host-0"].limits.record_request()
        network.run(CONTACT_S)
        assert network.hosts["host-0"].exchange.relative_demand() == 1.0


class TestRetryUsage:
    @pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
    def test_the_latest_claim_of_a_host_counts_once(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a host that takes its own claims for those of others, or those
        of others for its own, as digests have earlier ones."""
        network = started(hosts, data_centres)
        claims = {host.name: 1 for host in network.live()}
        for host in network.live():
            host.budget.usage = lambda name=host.name: [
                RetryUsage(7, 0, claims[name], 0)
            ]
        network.run(2.0)
        network.cut = lambda sender, receiver: True
        for host in network.live():
            claims[host.name] = 5
            host.exchange.report()
            claims[host.name] = 9
            host.exchange.report()
            _, usage = host.exchange.retry_usage()
            assert usage == [RetryUsage(7, 0, hosts - 1 + 9, 0)]
