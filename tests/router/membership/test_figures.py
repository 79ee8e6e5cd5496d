"""Demands and customers that many hosts tell each other, in virtual time."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec
import pytest

from hemlockhall_router.membership.message import (
    ClassDemand,
    CustomerDemand,
    Digest,
    Message,
    Report,
    ServiceDemand,
    Summary,
    decode,
    encode,
)
from hemlockhall_router.membership.outlier import MAX_RATIO
from hemlockhall_router.membership.tally import MAX_CLASS_CUSTOMERS, MAX_FIGURE
from hemlockhall_standins.router.network import Host, Network

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of hosts and of data centres.
SIZES = [(4, 3), (28, 3), (68, 5)]
START_S = 4.0
# Seconds within which a change at one host is in the sums of all others.
CHANGE_S = 1.5
# Seconds within which the figures of a dead host are in no sum.
CRASH_S = 2.5
SERVICE = 7


def service_demand(cost: int, service: int = SERVICE) -> ServiceDemand:
    return ServiceDemand(service, cost, 2 * cost, 3, 1, [ClassDemand(0, cost)])


def started(hosts: int, data_centres: int, seed: int = 1) -> Network:
    """Return a network of hosts that each have 1 unit in flight."""
    network = Network(hosts, data_centres, seed)
    for host in network.live():
        host.demands = lambda: [service_demand(1)]
    network.run(START_S)
    return network


def in_flight(host: Host) -> int:
    return sum(demand.in_flight for demand in host.exchange.figures().demands)


def known(hosts: Iterable[Host]) -> set[tuple[int, int]]:
    """Return the units in flight and the hosts that the sums cover, at these hosts."""
    return {(in_flight(host), host.exchange.figures().hosts) for host in hosts}


@pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
class TestSums:
    def test_figures_of_all_other_hosts_are_counted_once(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against figures that a hub, or another host, loses or counts twice,
        and against a host's own figures that come back to it."""
        network = started(hosts, data_centres)
        for _ in range(8):
            network.run(0.25)
            assert known(network.live()) == {(hosts - 1, hosts - 1)}

    def test_a_change_reaches_all_other_hosts(
        self, hosts: int, data_centres: int
    ) -> None:
        network = started(hosts, data_centres)
        changed = network.hosts["host-1"]
        changed.demands = lambda: [service_demand(MAX_RATIO)]
        network.run(CHANGE_S)
        others = [host for host in network.live() if host is not changed]
        assert known(others) == {(hosts - 2 + MAX_RATIO, hosts - 1)}
        assert known([changed]) == {(hosts - 1, hosts - 1)}

    def test_ages_are_known(self, hosts: int, data_centres: int) -> None:
        """Guards against old figures that pass for current ones."""
        network = started(hosts, data_centres)
        timeout_s = network.timing.host_timeout_s
        assert all(h.exchange.figures().age_s <= timeout_s for h in network.live())
        network.lost = 1.0
        network.run(timeout_s + 0.3)
        for host in network.live():
            assert host.exchange.figures().age_s == float("inf")
            assert known([host]) == {(0, 0)}

    def test_customers_of_many_hosts_are_added(
        self, hosts: int, data_centres: int
    ) -> None:
        network = Network(hosts, data_centres, 1)
        for host in network.live():
            host.customers = lambda: [CustomerDemand(SERVICE, 0, 5, 10)]
        network.run(START_S)
        for host in network.live():
            assert host.exchange.figures().customers == [
                CustomerDemand(SERVICE, 0, 5, 10 * (hosts - 1))
            ]


class TestDigestsOfOthers:
    def test_a_digest_of_a_host_that_is_no_hub_leaves_the_receiver_out(self) -> None:
        """Guards against a host that adds its own figures to the others', if the host
        that it takes for a hub is none and knows them from a digest."""
        network = started(28, 3)
        hubs = {host.name for host in network.hubs()}
        sender = next(h for h in network.live() if h.name not in hubs)
        receiver = next(
            h
            for h in network.live()
            if h.data_centre == sender.data_centre and h is not sender
        )
        receiver.demands = lambda: [service_demand(1, service=8)]
        network.run(CHANGE_S)
        sent: list[Message] = []
        sender.alter = lambda message: sent.append(message) or message
        report = sender.exchange._build_report()  # noqa: SLF001
        sender.exchange.receive(
            msgspec.structs.replace(report, sender=receiver.exchange.own)
        )
        digests = [message for message in sent if isinstance(message, Digest)]
        assert digests
        for digest in digests:
            assert [demand.service for demand in digest.demands] == [SERVICE]


class TestFailures:
    @pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
    def test_figures_of_a_dead_hub_expire(self, hosts: int, data_centres: int) -> None:
        """Guards against figures of a dead host that are never removed, and against
        hosts that have no figures, or each twice, while the hubs change."""
        network = started(hosts, data_centres)
        network.hubs()[0].alive = False
        for _ in range(20):
            network.run(CRASH_S / 20)
            for host in network.live():
                assert in_flight(host) <= hosts - 1
        assert known(network.live()) == {(hosts - 2, hosts - 2)}

    def test_hosts_keep_figures_while_a_hub_dies(self) -> None:
        """Guards against hosts that fall back to what they know on their own as long
        as another hub has the figures."""
        network = started(28, 3)
        network.hubs()[0].alive = False
        for _ in range(20):
            network.run(CRASH_S / 20)
            assert all(host.exchange.figures().hosts >= 26 for host in network.live())

    def test_a_restarted_hub_does_not_hide_figures(self) -> None:
        """Guards against hosts that use the digest of a hub that has just started and
        heard few of them."""
        network = started(28, 3)
        hub = network.hubs()[0]
        hub.alive = False
        network.run(CRASH_S)
        new = network.start(hub.name, hub.data_centre, "2", hub.capacity)
        new.demands = lambda: [service_demand(1)]
        others = [host for host in network.live() if host is not new]
        for _ in range(20):
            network.run(CRASH_S / 20)
            assert all(host.exchange.figures().hosts >= 26 for host in others)
            assert all(in_flight(host) <= 27 for host in network.live())
        assert known(network.live()) == {(27, 27)}

    def test_each_side_of_a_partition_knows_its_own_figures(self) -> None:
        """Guards against figures of unreachable hosts that are used, and against a sum
        that passes for one over all hosts."""
        network = started(28, 3)
        members = network.hosts.values()
        side = {h.name for h in members if h.data_centre == "place-0"}
        network.cut = lambda sender, receiver: (sender in side) != (receiver in side)
        network.run(2 * CRASH_S)
        inside = [host for host in network.live() if host.name in side]
        outside = [host for host in network.live() if host.name not in side]
        assert known(inside) == {(len(inside) - 1, len(inside) - 1)}
        assert known(outside) == {(len(outside) - 1, len(outside) - 1)}
        network.cut = lambda sender, receiver: False
        network.run(6.0)
        assert known(network.live()) == {(27, 27)}

    def test_a_partition_within_a_data_centre(self) -> None:
        """Guards against figures that are counted twice when each half of a data centre
        has its own hubs."""
        network = started(28, 3)
        side = {f"host-{number}" for number in range(14)}
        network.cut = lambda sender, receiver: (sender in side) != (receiver in side)
        network.run(2 * CRASH_S)
        assert known(network.live()) == {(13, 13)}
        network.cut = lambda sender, receiver: False
        for _ in range(24):
            network.run(0.25)
            assert all(in_flight(host) <= 27 for host in network.live())
        assert known(network.live()) == {(27, 27)}

    @pytest.mark.parametrize("seed", range(3))
    def test_lost_datagrams(self, seed: int) -> None:
        """Guards against a host that counts as unknown after one lost datagram."""
        network = started(28, 3, seed)
        network.lost = 0.05
        for _ in range(20):
            network.run(0.25)
            assert min(h.exchange.figures().hosts for h in network.live()) >= 26


class TestOlderHosts:
    @staticmethod
    def without_figures(message: Message) -> Message:
        return msgspec.structs.replace(
            message, demands=[], customers=[], demand_hosts=0
        )

    @pytest.mark.parametrize("seed", range(3))
    def test_hosts_of_an_older_version_are_not_covered(self, seed: int) -> None:
        """Guards against hosts without figures that pass for hosts without demand."""
        network = started(28, 3, seed)
        hubs = {host.name for host in network.hubs()}
        older = [h for h in network.live() if h.name not in hubs][:4]
        for host in older:
            host.alter = self.without_figures
        network.run(CRASH_S)
        others = [host for host in network.live() if host not in older]
        assert known(others) == {(23, 23)}

    def test_hubs_of_an_older_version_give_no_figures(self) -> None:
        network = started(28, 3)
        for host in network.hubs():
            host.alter = self.without_figures
        network.run(CRASH_S)
        hubs = {host.name for host in network.hubs()}
        others = [host for host in network.live() if host.name not in hubs]
        assert known(others) == {(0, 0)}

    @pytest.mark.parametrize("kind", [Report, Digest, Summary])
    def test_messages_without_the_fields_are_decoded(self, kind: type[Message]) -> None:
        """Guards against an older host that counts as dead."""
        sent: list[Message] = []
        network = Network(4, 2, 1)
        for host in network.live():
            host.demands = lambda: [service_demand(1)]
            host.alter = lambda message: sent.append(message) or message
        network.run(START_S)
        message = next(m for m in reversed(sent) if isinstance(m, kind))
        sender = msgspec.structs.replace(message.sender, address="10.0.0.1:1")
        message = msgspec.structs.replace(message, sender=sender, contacts=[])
        fields = msgspec.msgpack.decode(encode(message))
        # The first item is the kind of message.
        first = 1 + message.__struct_fields__.index("demands")
        older = decode(msgspec.msgpack.encode(fields[:first]))
        expected = self.without_figures(message)
        if not isinstance(message, Report):
            # Came later than the figures.
            expected = msgspec.structs.replace(expected, covered_ms=0)
        if isinstance(message, Digest):
            expected = msgspec.structs.replace(expected, report_ms=0)
        assert older == expected
        assert decode(encode(message)) == message


class TestFalseFigures:
    @pytest.mark.parametrize("figure", [-1, -(2**63), MAX_FIGURE + 1, 2**64 - 1])
    @pytest.mark.parametrize("is_hub", [False, True])
    def test_false_figures_of_a_host_count_as_zero(
        self, figure: int, *, is_hub: bool
    ) -> None:
        """Guards against a host with a fault that stops service at all others."""
        network = started(28, 3)
        hubs = {host.name for host in network.hubs()}
        false = next(h for h in network.live() if (h.name in hubs) == is_hub)
        demand = ServiceDemand(
            SERVICE, figure, figure, figure, figure, [ClassDemand(0, figure)]
        )
        customer = CustomerDemand(SERVICE, 0, 5, figure)
        false.alter = lambda message: msgspec.structs.replace(
            message, demands=[demand], customers=[customer], demand_hosts=figure
        )
        network.run(CRASH_S)
        assert sum(host.false_figures for host in network.live()) > 0
        for host in network.live():
            figures = host.exchange.figures()
            assert 0 <= figures.hosts <= 27
            assert 0 <= in_flight(host) <= 27
            assert figures.customers == []
            for item in figures.demands:
                assert all(0 <= cls.offered <= 27 for cls in item.classes)

    @pytest.mark.parametrize(("hosts", "data_centres"), [*SIZES, (28, 28)])
    def test_a_figure_is_bounded_by_those_of_the_other_hosts(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a false figure within the range that stops service at all
        hosts, also one of a host that is alone in its data centre."""
        network = started(hosts, data_centres)
        false = network.hosts["host-1"]
        false.demands = lambda: [service_demand(1000)]
        network.run(CRASH_S)
        others = [host for host in network.live() if host is not false]
        most = MAX_RATIO * ceil(hosts / data_centres)
        for host in others:
            (item,) = host.exchange.figures().demands
            (offered,) = item.classes
            assert hosts - 2 + MAX_RATIO <= item.in_flight <= hosts - 2 + most
            assert item.completed <= 2 * (hosts - 2 + most)
            assert offered.offered <= hosts - 2 + most
        assert known([false]) == {(hosts - 1, hosts - 1)}

    @pytest.mark.parametrize(
        "names", [("host-1",), ("host-1", "host-2"), ("host-1", "host-4")]
    )
    def test_the_hosts_with_nearly_all_requests_know_each_other(
        self, names: tuple[str, ...]
    ) -> None:
        """Guards against true figures that are taken for false ones, as the callers
        reach two hosts only: each would then use the room of the other."""
        network = started(28, 3)
        for name in names:
            network.hosts[name].demands = lambda: [service_demand(1000)]
        network.run(CRASH_S)
        for name in names:
            expected = 1000 * (len(names) - 1) + 28 - len(names)
            assert expected * 0.95 <= in_flight(network.hosts[name]) <= expected

    def test_false_figures_do_not_leave_the_host(self) -> None:
        """Guards against a number that MessagePack can't hold, which would end the
        sender's rounds."""
        network = started(4, 3)
        host = network.hosts["host-0"]
        host.demands = lambda: [service_demand(2**70), service_demand(-1, 8)]
        network.run(CRASH_S)
        assert all(other.false_figures == 0 for other in network.live())
        assert known(other for other in network.live() if other is not host) == {(2, 3)}


def largest_after(network: Network) -> int:
    """Return the size of the largest datagram sent in some seconds."""
    for host in network.live():
        host.largest_bytes = 0
    network.run(START_S)
    return max(host.largest_bytes for host in network.live())


class TestSizes:
    @staticmethod
    def with_customers(hosts: int, data_centres: int, customers: int) -> Network:
        """Return a network in which each host has its share of the customers."""
        network = Network(hosts, data_centres, 1)
        for number, host in enumerate(network.live()):
            listed = [
                CustomerDemand(service, priority, key, 100_000 + key)
                for service in (7, 8)
                for priority in (0, 1, 2)
                for key in range(number, customers, hosts)
            ]
            host.customers = lambda listed=listed: listed
        network.run(START_S)
        return network

    def test_messages_do_not_grow_with_customers(self) -> None:
        """Guards against messages that grow with hosts times customers."""
        few = largest_after(self.with_customers(28, 3, 28 * MAX_CLASS_CUSTOMERS))
        many = largest_after(self.with_customers(28, 3, 4100))
        assert many <= few * 1.02

    def test_messages_do_not_grow_with_hosts(self) -> None:
        """Guards against messages that grow with hosts times customers: those of a hub
        to a host, which sum up all others."""
        few = largest_after(self.with_customers(30, 5, 4100))
        many = largest_after(self.with_customers(130, 5, 4100))
        assert many <= few * 1.2
