"""What hosts know of each other: many of them, in virtual time."""

from __future__ import annotations

import pytest

from hemlockhall_router.membership.message import Load
from hemlockhall_router.membership.roster import HUBS_PER_DATA_CENTRE
from hemlockhall_standins.router.network import Host, Network

# Hosts and data centres.
SIZES = [(4, 3), (25, 3), (68, 5)]
# Seconds in which a crash is known to all, and a new run of a host.
CRASH_S = 2.0
RESTART_S = 1.0
START_S = 4.0


def started(hosts: int, places: int, seed: int = 1, **bounds: float) -> Network:
    network = Network(hosts, places, seed, **bounds)
    network.run(START_S)
    return network


@pytest.mark.parametrize(("hosts", "places"), SIZES)
class TestMembership:
    def test_each_host_knows_how_many_there_are(self, hosts: int, places: int) -> None:
        network = started(hosts, places)
        assert {host.hosts() for host in network.live()} == {hosts}
        assert len(network.hubs()) <= HUBS_PER_DATA_CENTRE * places

    def test_a_crash_is_known_to_all(self, hosts: int, places: int) -> None:
        """Guards against shares and loads of hosts that are gone."""
        network = started(hosts, places)
        network.hubs()[0].alive = False
        network.run(CRASH_S)
        assert {host.hosts() for host in network.live()} == {hosts - 1}

    def test_a_new_run_of_a_host_takes_part(self, hosts: int, places: int) -> None:
        """Guards against a restarted host that the others take for dead."""
        network = started(hosts, places)
        old = network.hubs()[0]
        old.alive = False
        network.run(CRASH_S)
        new = network.start(old.name, old.data_centre, boot="2", capacity=old.capacity)
        network.run(RESTART_S)
        assert new.hosts() == hosts
        assert {host.hosts() for host in network.live()} == {hosts}

    def test_a_slow_host_is_not_taken_for_dead(self, hosts: int, places: int) -> None:
        network = started(hosts, places)
        network.hubs()[0].slow_s = 0.4
        for _ in range(10):
            network.run(0.3)
            assert {host.hosts() for host in network.live()} == {hosts}


class TestLarge:
    def test_promises_hold_among_four_hundred(self) -> None:
        """Guards against knowledge that needs longer the more hosts there are."""
        network = started(400, 15)
        assert {host.hosts() for host in network.live()} == {400}
        network.store_version = 2
        network.run(2.0 / 3)
        assert {host.version for host in network.live()} == {2}
        old = network.hubs()[0]
        old.alive = False
        network.run(CRASH_S)
        assert {host.hosts() for host in network.live()} == {399}
        network.start(old.name, old.data_centre, boot="2", capacity=old.capacity)
        network.run(RESTART_S)
        assert {host.hosts() for host in network.live()} == {400}


class TestCost:
    def test_a_host_sends_as_much_among_many_as_among_few(self) -> None:
        """Guards against messages that grow with the number of hosts."""
        few, many = started(30, 5), started(130, 5)
        assert many.sent_each() <= few.sent_each() * 1.2

    def test_a_datagram_is_not_fragmented(self) -> None:
        network = started(68, 5)
        loads = [Load(key, 1, 900, 0, 10) for key in range(130)]
        for host in network.live():
            host.loads = loads[:40]
        network.run(START_S)
        largest = max(h.sent_bytes / h.sent for h in network.live())
        assert largest <= 1400


class TestLoss:
    @pytest.mark.parametrize("seed", range(5))
    def test_lost_datagrams_make_no_host_look_dead(self, seed: int) -> None:
        network = started(25, 3, seed)
        network.lost = 0.05
        for _ in range(20):
            network.run(0.25)
            assert min(host.hosts() for host in network.live()) >= 24

    def test_parted_data_centres_find_each_other_again(self) -> None:
        """Guards against a partition that outlives its cause."""
        network = started(25, 3)
        places = {name: host.data_centre for name, host in network.hosts.items()}
        network.cut = lambda sender, receiver: places[sender] != places[receiver]
        network.run(10.0)
        own = [h for h in network.hosts.values() if h.data_centre == "place-0"]
        assert {host.hosts() for host in own} == {len(own)}
        network.cut = lambda sender, receiver: False
        network.run(6.0)
        assert {host.hosts() for host in network.live()} == {25}

    def test_all_hosts_that_lost_power_find_each_other(self) -> None:
        network = started(25, 3)
        for host in list(network.hosts.values()):
            host.alive = False
            network.start(host.name, host.data_centre, boot="2", capacity=host.capacity)
        network.run(START_S)
        assert {host.hosts() for host in network.live()} == {25}


class TestChange:
    @pytest.mark.parametrize(("hosts", "places"), SIZES)
    def test_a_change_is_with_all_in_a_third_of_its_time(
        self, hosts: int, places: int
    ) -> None:
        """Guards against a configuration that reaches far hosts late."""
        network = started(hosts, places)
        network.store_version = 2
        network.run(2.0 / 3)
        assert {host.version for host in network.live()} == {2}

    @pytest.mark.parametrize("seed", range(5))
    def test_a_change_arrives_though_all_hubs_die_with_it(self, seed: int) -> None:
        """Guards against hosts that wait for hubs which are gone."""
        network = started(25, 3, seed)
        for hub in network.hubs():
            hub.alive = False
        network.store_version = 2
        network.run(2.0)
        assert {host.version for host in network.live()} == {2}

    @pytest.mark.parametrize("seed", range(5))
    def test_a_change_arrives_though_the_hubs_lost_the_store(self, seed: int) -> None:
        """Guards against hosts that wait for hubs which the store turns away."""
        network = started(25, 3, seed)
        for hub in network.hubs():
            hub.store_partitioned = True
        network.store_version = 2
        network.run(1.0)
        assert {host.version for host in network.live()} == {2}

    def test_hosts_that_are_no_hubs_leave_the_store_alone(self) -> None:
        """Guards against calls to the store that grow with the hosts."""
        network = started(68, 5)
        asked = []

        def watch(host: Host) -> None:
            if host.exchange.is_store_watcher():
                asked.append(host.name)

        for _ in range(20):
            network.run(0.2)
            for host in network.live():
                watch(host)
        assert len(set(asked)) == 5


class TestLoads:
    @pytest.mark.parametrize(("hosts", "places"), SIZES)
    def test_each_host_knows_the_loads_of_all_others_once(
        self, hosts: int, places: int
    ) -> None:
        """Guards against endpoints that look empty, or twice as full."""
        network = Network(hosts, places, 1)
        for host in network.live():
            host.loads = [Load(7, 1, 100, 10, 5)]
        network.run(START_S)
        for host in network.live():
            assert host.exchange.loads()[7].tokens == 100 * (hosts - 1)

    def test_what_was_heard_grows_old_on_its_way(self) -> None:
        """Guards against dead endpoints that seem to serve other hosts."""
        network = Network(4, 1, 1)
        first = network.hosts["host-0"]
        first.loads = [Load(7, 1, 100, 10, 0)]
        network.run(START_S)
        first.alive = False
        network.run(0.9)
        for host in network.live():
            load = host.exchange.loads().get(7)
            assert load is None or load.event_age_ms >= 600
