"""Evidence against prompt segments that other hosts serve, in virtual time."""

from __future__ import annotations

import random
import statistics
from dataclasses import replace
from itertools import count

import msgspec
import pytest

from hemlockhall_router.connection.message import RequestHead
from hemlockhall_router.membership.message import decode, encode
from hemlockhall_router.process.dialect import PromptSegments
from hemlockhall_router.process.quarantine import CrashCount
from hemlockhall_router.request.relay import RoutedRequest
from hemlockhall_router.version.endpoint import Endpoint
from hemlockhall_router.version.routing import Route, RouteKind, Service
from hemlockhall_standins.router.network import Host, Network

# Time after which no host counts evidence against a segment that is served.
CONTACT_S = 3.0
START_S = 4.0
# What a host may send for control, in bytes per second.
BYTES_PER_S = 4096
# Hosts and data centres.
SIZES = [(2, 1), (4, 3), (28, 3)]
ENDPOINT = Endpoint("d1", "pool", "10.0.0.1", 1, "here", started_ms=1)
ROUTE = Route("r", b"", b"/", RouteKind.STREAM, 5.0, 0.3, ())
SERVICE = Service("pool", "/", 0)


class Fleet:
    """Hosts before endpoints that crash under some requests and serve others."""

    def __init__(self, hosts: int, data_centres: int, lost: float = 0.0) -> None:
        self.network = Network(hosts, data_centres, seed=hosts)
        self.random = random.Random(hosts)  # noqa: S311
        self.numbers = count(1)
        self.network.run(START_S)
        self.network.lost = lost
        self.hosts = self.random.sample(self.network.live(), hosts)

    def request(self, *segments: str) -> RoutedRequest:
        head = RequestHead(b"POST", b"/", [])
        request = RoutedRequest(head, b"", ROUTE, SERVICE, None, b"r", 0.0)
        request.segments = PromptSegments(segments, f"own-{next(self.numbers)}")
        return request

    def crash(self, host: Host, *segments: str, responded: bool = True) -> None:
        endpoint = replace(ENDPOINT, started_ms=next(self.numbers))
        host.quarantine.record_crash(
            self.request(*segments), endpoint, self.network.now, responded=responded
        )

    def serve(self, host: Host, *segments: str) -> None:
        host.quarantine.record_served(self.request(*segments))

    def serve_for(self, seconds: float, host: Host, *segments: str) -> None:
        """Let one host serve requests with the segments, one each 0.1 s."""
        for _ in range(round(seconds / 0.1)):
            self.network.run(0.1)
            self.serve(host, *segments)

    def suspicious(self, *segments: str) -> list[str]:
        """Return the hosts that give up a request with the segments after one crash."""
        crashes = CrashCount()
        crashes.add(ENDPOINT, responded=True)
        names = []
        for host in self.network.live():
            if not host.quarantine.may_repeat(self.request(*segments), crashes):
                names.append(host.name)
        return names

    def refusing(self, *segments: str) -> list[str]:
        """Return the hosts that refuse a request with the segments."""
        names = []
        for host in self.network.live():
            if host.quarantine.refusal(self.request(*segments)) is not None:
                names.append(host.name)
        return names


@pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
class TestServedElsewhere:
    @pytest.mark.parametrize("lost", [0.0, 0.1])
    def test_evidence_against_a_segment_that_another_host_serves_is_dropped(
        self, hosts: int, data_centres: int, lost: float
    ) -> None:
        """Guards against a host that gives a request up at its first broken attempt for
        ten minutes, though another host serves such requests all the time."""
        fleet = Fleet(hosts, data_centres, lost)
        first, second, *_ = fleet.hosts
        fleet.crash(first, "part")
        assert first.name in fleet.suspicious("part")
        fleet.serve_for(CONTACT_S, second, "part")
        assert fleet.suspicious("part") == []

    def test_it_is_dropped_if_it_was_served_before_the_evidence_came(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against evidence that the host which knows better drops silently."""
        fleet = Fleet(hosts, data_centres)
        first, second, *_ = fleet.hosts
        fleet.crash(first, "part")
        fleet.network.run(0.0001)
        fleet.serve(second, "part")
        fleet.network.run(CONTACT_S)
        assert fleet.suspicious("part") == []

    def test_it_is_dropped_once_a_parted_host_is_back(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against evidence that outlasts a network partition."""
        fleet = Fleet(hosts, data_centres)
        first, second, *_ = fleet.hosts
        fleet.crash(first, "part")
        fleet.network.run(CONTACT_S)
        fleet.network.cut = lambda sender, receiver: first.name in (sender, receiver)
        fleet.serve_for(5.0, second, "part")
        assert fleet.suspicious("part") == [first.name]
        fleet.network.cut = lambda sender, receiver: False
        fleet.serve_for(CONTACT_S, second, "part")
        assert fleet.suspicious("part") == []

    def test_evidence_of_a_later_crash_counts(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a segment that is never blamed again once it was served."""
        fleet = Fleet(hosts, data_centres)
        first, second, *_ = fleet.hosts
        fleet.crash(first, "part")
        fleet.serve_for(CONTACT_S, second, "part")
        fleet.network.run(11.0)
        fleet.crash(first, "part")
        fleet.network.run(CONTACT_S)
        assert len(fleet.suspicious("part")) == hosts

    def test_a_fatal_segment_is_refused_in_time_while_many_others_are_cleared(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against news of sound segments that keep a verdict, or the evidence
        for it, out of the messages, and that make these long."""
        fleet = Fleet(hosts, data_centres)
        first, second, *_ = fleet.hosts
        for number in range(5):
            for host in fleet.hosts[:20]:
                sound = [f"sound-{number}-{host.name}-{part}" for part in range(8)]
                fleet.crash(host, "base", *sound)
                fleet.network.run(0.02)
                fleet.serve(second, "base", *sound)
            fleet.crash(fleet.hosts[number % hosts], "base", "bad")
            fleet.network.run(0.1)
            for host in fleet.hosts:
                fleet.serve(host, "base")
            fleet.network.run(0.1)
        for host in fleet.hosts:
            host.sent_bytes = 0
        fleet.serve_for(CONTACT_S, first, "base")
        assert len(fleet.refusing("base", "bad")) == hosts
        assert fleet.refusing("base", "new") == []
        others = [h for h in fleet.hosts if h not in fleet.network.hubs()]
        if others:
            sent = statistics.median(host.sent_bytes for host in others)
            assert sent / CONTACT_S < BYTES_PER_S


class TestMessages:
    def test_what_clears_a_segment_reads_as_a_release(self) -> None:
        """Guards against hosts of an older version that take it for a quarantine, or
        cannot decode it."""
        fleet = Fleet(2, 1)
        first, second = fleet.hosts
        fleet.crash(first, "part")
        fleet.serve_for(CONTACT_S, second, "part")
        told = [*first.quarantine.verdicts(), *second.quarantine.verdicts()]
        assert told
        for verdict in told:
            assert not verdict.quarantined
        sent = []
        second.alter = lambda message: sent.append(message) or message
        fleet.serve_for(CONTACT_S, second, "part")
        carriers = [message for message in sent if message.verdicts]
        assert carriers
        for message in carriers:
            sender = msgspec.structs.replace(message.sender, address="10.0.0.1:1")
            message = msgspec.structs.replace(message, sender=sender, contacts=[])
            assert decode(encode(message)) == message

    def test_it_is_not_written_to_the_store(self) -> None:
        """Guards against a call of the store for each segment that is served."""
        fleet = Fleet(2, 1)
        first, second = fleet.hosts
        calls: list[int] = []
        for host in fleet.hosts:
            host.quarantine.on_verdict = lambda: calls.append(1)
        fleet.crash(first, "part")
        fleet.serve_for(CONTACT_S, second, "part")
        assert calls == []
        assert first.quarantine.known() == second.quarantine.known() == []
