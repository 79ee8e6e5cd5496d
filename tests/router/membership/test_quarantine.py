"""Prompts that crash endpoints, as known to many hosts, in virtual time."""

from __future__ import annotations

import os
import random
import statistics
from dataclasses import replace
from itertools import count

import msgspec
import pytest

from hemlockhall_router.connection.message import RequestHead
from hemlockhall_router.membership.message import (
    Digest,
    Message,
    Report,
    Summary,
    decode,
    encode,
)
from hemlockhall_router.policy.crash import MAX_REQUEST_CRASHES
from hemlockhall_router.process.dialect import PromptSegments
from hemlockhall_router.request.relay import RoutedRequest
from hemlockhall_router.version.endpoint import Endpoint
from hemlockhall_router.version.routing import Route, RouteKind, Service
from hemlockhall_standins.router.network import Host, Network

# Time after the fifth crash from which all hosts refuse such prompts.
CONTACT_S = 3.0
CRASHES = 5
# Crashes after the fifth that are allowed, requests that are tried in all, and seeds.
ALLOWED_CRASHES = 3
MAX_CRASHES = 25
SEEDS = int(os.environ.get("HEMLOCKHALL_SEEDS", "4"))
# Requests that an endpoint's end breaks off.
BROKEN_OFF = 40
START_S = 4.0
# What a host may send for control, in bytes per second.
BYTES_PER_S = 4096
# Hosts and data centres.
SIZES = [(4, 3), (28, 3), (400, 15)]
SMALL_SIZES = SIZES[:2]
ENDPOINT = Endpoint("d1", "pool", "10.0.0.1", 1, "here", started_ms=1)
ROUTE = Route("r", b"", b"/", RouteKind.STREAM, 5.0, 0.3, ())
SERVICE = Service("pool", "/", 0)


class Fleet:
    """Hosts before endpoints that crash under prompts with the segment ``bad``."""

    def __init__(self, hosts: int, data_centres: int, lost: float = 0.0) -> None:
        self.network = Network(hosts, data_centres, seed=hosts)
        self.random = random.Random(hosts)  # noqa: S311
        self.numbers = count(1)
        self.crash_count = 0
        self.network.run(START_S)
        self.network.lost = lost

    def request(self, *segments: str) -> RoutedRequest:
        head = RequestHead(b"POST", b"/", [])
        request = RoutedRequest(head, b"", ROUTE, SERVICE, None, b"r", 0.0)
        request.segments = PromptSegments(segments, f"own-{next(self.numbers)}")
        return request

    def repeat(self, own: str) -> RoutedRequest:
        """Return a request with a sound prompt and its own segment ``own``."""
        request = self.request("base")
        request.segments = PromptSegments(("base",), own)
        return request

    def crash(self, host: Host, *segments: str) -> None:
        self.crash_count += 1
        self.crash_under(host, [self.request(*segments)])

    def crash_under(self, host: Host, requests: list[RoutedRequest]) -> None:
        """Let one endpoint crash that had sent events of all of these requests."""
        endpoint = replace(ENDPOINT, started_ms=next(self.numbers))
        for request in requests:
            host.quarantine.record_crash(
                request,
                endpoint,
                self.network.now,
                responded=True,
                served=request.segments.shared == ("base",),
            )

    def serve(self, *segments: str) -> None:
        """Let an endpoint serve a request of each host."""
        for host in self.network.live():
            host.quarantine.record_served(self.request(*segments))

    def crashes(self, spacing_s: float = 0.2) -> None:
        """Let five endpoints crash, each under a request of another host."""
        live = self.network.live()
        hosts = self.random.sample(live, min(len(live), CRASHES - 1))
        for host in [*hosts, hosts[0]]:
            self.crash(host, "base", "bad", f"new-{next(self.numbers)}")
            self.network.run(spacing_s / 2)
            self.serve("base")
            self.network.run(spacing_s / 2)

    def ignorant(self) -> list[str]:
        """Return the names of the hosts that send such a prompt on."""
        names = []
        for host in self.network.live():
            if host.quarantine.refusal(self.request("base", "bad")) is None:
                names.append(host.name)
        return names

    def refusing(self, own: str) -> int:
        """Return how many hosts refuse a request with this own segment."""
        found = 0
        for host in self.network.live():
            found += host.quarantine.refusal(self.repeat(own)) is not None
        return found

    def refuse_sound(self) -> list[str]:
        """Return the names of the hosts that refuse another prompt."""
        names = []
        for host in self.network.live():
            if host.quarantine.refusal(self.request("base", "new")) is not None:
                names.append(host.name)
        return names


@pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
class TestAllHosts:
    def test_they_know_it_in_time(self, hosts: int, data_centres: int) -> None:
        """Guards against hosts that go on to send prompts under which endpoints crashed
        at other hosts; a tenth of the messages is lost."""
        fleet = Fleet(hosts, data_centres, lost=0.1)
        fleet.crashes()
        fleet.network.run(CONTACT_S)
        assert fleet.ignorant() == []
        assert fleet.refuse_sound() == []

    def test_they_know_it_though_each_request_has_new_segments(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against messages that are full of other segments, and that grow with
        their number."""
        fleet = Fleet(hosts, data_centres)
        live = fleet.network.live()
        for _ in range(CRASHES):
            for host in fleet.random.sample(live, min(len(live), 20)):
                new = [f"new-{next(fleet.numbers)}" for _ in range(8)]
                fleet.crash(host, "base", *new)
            fleet.crash(fleet.random.choice(live), "base", "bad")
            fleet.network.run(0.1)
            fleet.serve("base")
            fleet.network.run(0.1)
        for host in live:
            host.sent_bytes = 0
        fleet.network.run(CONTACT_S)
        assert fleet.ignorant() == []
        assert fleet.refuse_sound() == []
        others = [h.sent_bytes for h in live if h not in fleet.network.hubs()]
        if others:
            assert statistics.median(others) / CONTACT_S < BYTES_PER_S

    def test_a_host_that_starts_knows_it_in_time(
        self, hosts: int, data_centres: int
    ) -> None:
        fleet = Fleet(hosts, data_centres)
        fleet.crashes()
        fleet.network.run(30.0)
        old = fleet.random.choice(fleet.network.live())
        old.alive = False
        fleet.network.run(1.0)
        fleet.network.start(old.name, old.data_centre, "2", old.capacity)
        fleet.network.run(CONTACT_S)
        assert fleet.ignorant() == []


@pytest.mark.parametrize(("hosts", "data_centres"), SIZES)
class TestRequests:
    def test_all_know_a_request_under_which_three_endpoints_ended(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against hosts that send on a content under which endpoints ended at
        three other hosts, among many requests that each end broke off; a tenth of the
        messages is lost."""
        fleet = Fleet(hosts, data_centres, lost=0.1)
        live = fleet.network.live()
        for host in fleet.random.sample(live, MAX_REQUEST_CRASHES):
            others = [fleet.request("base") for _ in range(BROKEN_OFF)]
            fleet.crash_under(host, [*others, fleet.repeat("fatal")])
            fleet.network.run(1.0)
        for host in live:
            host.sent_bytes = 0
        fleet.network.run(CONTACT_S)
        assert fleet.refusing("fatal") == hosts
        assert fleet.refusing("another") == 0
        others = [h.sent_bytes for h in live if h not in fleet.network.hubs()]
        if others:
            assert statistics.median(others) / CONTACT_S < BYTES_PER_S

    def test_a_request_that_is_completed_is_refused_nowhere(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a sound request, repeated by its caller, that is refused as it
        met crashes at several hosts, though it was completed each time."""
        fleet = Fleet(hosts, data_centres)
        for _ in range(2 * MAX_REQUEST_CRASHES):
            host = fleet.random.choice(fleet.network.live())
            request = fleet.repeat("sound")
            request.sends = 2
            fleet.crash_under(host, [request])
            fleet.network.run(0.5)
            host.quarantine.record_completed(request)
            fleet.network.run(1.0)
        assert fleet.refusing("sound") == 0


@pytest.mark.parametrize("seed", range(SEEDS))
class TestSharedSegments:
    def test_only_prompts_with_the_fatal_segment_are_refused(self, seed: int) -> None:
        """Guards against sound segments that are refused as fatal requests had them,
        too, and against a fatal one that is sent on for its changing companions."""
        draw = random.Random(seed)  # noqa: S311
        hosts, data_centres = draw.choice(SMALL_SIZES)
        fleet = Fleet(hosts, data_centres, lost=draw.choice([0.0, 0.1]))
        parts = [f"part-{number}" for number in range(draw.randint(1, 5))]
        usual = draw.sample(parts, draw.randint(1, len(parts)))
        for _ in range(MAX_CRASHES):
            others = usual if draw.random() < 0.7 else draw.sample(parts, 1)
            prompt = [*others, "bad"]
            draw.shuffle(prompt)
            host = draw.choice(fleet.network.live())
            if host.quarantine.refusal(fleet.request(*prompt)) is None:
                fleet.crash(host, *prompt)
            fleet.network.run(draw.uniform(0.2, 1.0))
            fleet.serve("base")
            if draw.random() < 0.3:
                sound = draw.sample(parts, draw.randint(1, len(parts)))
                host = draw.choice(fleet.network.live())
                assert host.quarantine.refusal(fleet.request(*sound)) is None
                host.quarantine.record_served(fleet.request(*sound))
        fleet.network.run(CONTACT_S)
        assert fleet.crash_count <= CRASHES + ALLOWED_CRASHES
        for host in fleet.network.live():
            assert host.quarantine.refusal(fleet.request(*usual, "bad")) is not None
            for part in parts:
                assert host.quarantine.refusal(fleet.request(part)) is None


@pytest.mark.parametrize(("hosts", "data_centres"), SMALL_SIZES)
class TestCutOffHosts:
    def test_hosts_that_were_parted_know_it_in_time(
        self, hosts: int, data_centres: int
    ) -> None:
        fleet = Fleet(hosts, data_centres)
        names = [host.name for host in fleet.network.live()]
        parted = set(names[: max(1, len(names) // 3)])
        fleet.network.cut = lambda sender, receiver: (
            (sender in parted) != (receiver in parted)
        )
        others = [h for h in fleet.network.live() if h.name not in parted]
        for host in fleet.random.choices(others, k=CRASHES):
            fleet.crash(host, "base", "bad")
            fleet.network.run(0.2)
            fleet.serve("base")
        fleet.network.run(10.0)
        assert set(fleet.ignorant()) == parted
        fleet.network.cut = lambda sender, receiver: False
        fleet.network.run(CONTACT_S)
        assert fleet.ignorant() == []

    def test_a_host_that_wakes_knows_it_in_time(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a host that was frozen while the others reached a verdict."""
        fleet = Fleet(hosts, data_centres)
        frozen = fleet.random.choice(fleet.network.live())
        frozen.alive = False
        fleet.crashes()
        fleet.network.run(10.0)
        frozen.alive = True
        frozen.gossip()
        frozen.issue_permits()
        frozen.poll_store()
        fleet.network.run(CONTACT_S)
        assert fleet.ignorant() == []

    def test_two_hosts_with_opposite_news_agree(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a sound segment that some hosts refuse for good."""
        fleet = Fleet(hosts, data_centres)
        witness, *rest = fleet.network.live()
        fleet.network.run(1.0)
        for _ in range(CRASHES):
            fleet.crash(rest[0], "base", "bad")
            fleet.network.run(0.2)
            witness.quarantine.record_served(fleet.request("base", "bad"))
            for host in rest:
                host.quarantine.record_served(fleet.request("base"))
        fleet.network.run(2 * CONTACT_S)
        assert len(fleet.ignorant()) == hosts


class TestOlderHosts:
    @pytest.mark.parametrize("kind", [Report, Digest, Summary])
    def test_messages_without_the_fields_are_decoded(self, kind: type[Message]) -> None:
        """Guards against an older host that counts as dead."""
        sent: list[Message] = []
        fleet = Fleet(4, 2)
        for host in fleet.network.live():
            host.alter = lambda message: sent.append(message) or message
        fleet.crashes()
        message = next(
            m for m in sent if isinstance(m, kind) and m.crashes and m.verdicts
        )
        sender = msgspec.structs.replace(message.sender, address="10.0.0.1:1")
        message = msgspec.structs.replace(message, sender=sender, contacts=[])
        fields = msgspec.msgpack.decode(encode(message))
        # The first item is the kind of message.
        first = 1 + message.__struct_fields__.index("crashes")
        older = decode(msgspec.msgpack.encode(fields[:first]))
        expected = msgspec.structs.replace(message, crashes=[], verdicts=[], ended=[])
        if not isinstance(message, Report):
            # Came later than the crashes.
            expected = msgspec.structs.replace(expected, covered_ms=0)
        if isinstance(message, Digest):
            expected = msgspec.structs.replace(expected, report_ms=0)
        assert older == expected
        assert decode(encode(message)) == message
