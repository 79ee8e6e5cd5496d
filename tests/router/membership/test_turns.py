"""Lists that are longer than a message, as they reach all hosts in virtual time."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from hemlockhall_router.membership.message import (
    LayerUpdate,
    LeavingNotice,
    RequestLimit,
    endpoint_key,
)
from hemlockhall_router.version.endpoint import Endpoint, LayerRange
from hemlockhall_standins.router.network import Host, Network
from hemlockhall_standins.virtual_time import VirtualClock

START_S = 4.0
# Seconds within which all hosts know what one of them does, however long the list is.
KNOWN_S = 4.0
# Hosts and data centres.
SIZES = [(4, 3), (25, 3)]
# Multiples of what a message holds, and other numbers.
COUNTS = [16, 32, 40]
# Hosts and data centres with more hosts than a message has contacts.
LARGE_SIZES = [(23, 1), (24, 1), (44, 2), (46, 2)]
# Slots that the hosts share out.
SLOTS = 300
STARTED_MS = 1
OLD_LAYERS = LayerRange(0, 20)
NEW_LAYERS = LayerRange(20, 60)


@pytest.fixture()
def fleet(clock: VirtualClock, request: pytest.FixtureRequest) -> Fleet:
    hosts, data_centres, count = request.param
    return Fleet(clock, hosts, data_centres, count)


@dataclass
class Fleet:
    """Hosts that know the same endpoints, ``count`` in number."""

    clock: VirtualClock
    hosts: int
    data_centres: int
    count: int

    def __post_init__(self) -> None:
        self.endpoints = []
        for number in range(self.count):
            endpoint = Endpoint(
                f"e{number}",
                "pool",
                f"10.0.0.{number}",
                1,
                "here",
                started_ms=STARTED_MS,
                order_count=1,
                layers=OLD_LAYERS,
            )
            self.endpoints.append(endpoint)
        self.network = Network(
            self.hosts, self.data_centres, seed=self.hosts, endpoints=self.endpoints
        )
        self.run(START_S)

    @property
    def keys(self) -> list[int]:
        return [endpoint_key(endpoint.id) for endpoint in self.endpoints]

    @property
    def witness(self) -> Host:
        """The host that knows something first."""
        return self.network.live()[-1]

    def assert_told(self, name: str) -> None:
        """Assert that all other hosts got all endpoints in a list of messages."""
        for host in self.network.live():
            if host is not self.witness:
                assert host.heard[name] == set(self.keys)

    def run(self, seconds: float) -> None:
        self.network.run(seconds)
        self.clock.advance(seconds)


every_fleet = pytest.mark.parametrize(
    "fleet", [(*size, count) for size in SIZES for count in COUNTS], indirect=True
)


class TestLongLists:
    @every_fleet
    def test_all_hosts_learn_of_all_layers(self, fleet: Fleet) -> None:
        """Guards against hosts that have no path, as they are told the same changes of
        layers again and again while the store has no newer entries."""
        updates = []
        for key in fleet.keys:
            layers = NEW_LAYERS
            updates.append(LayerUpdate(key, STARTED_MS, 2, layers.first, layers.end))
        fleet.witness.directory.apply_layer_updates(updates)
        fleet.run(KNOWN_S)
        for host in fleet.network.live():
            records = host.directory.records.values()
            assert all(record.endpoint.layers == NEW_LAYERS for record in records)

    @every_fleet
    def test_all_hosts_learn_which_endpoints_are_down(self, fleet: Fleet) -> None:
        """Guards against endpoints that end and that other hosts find one by one, each
        with a request of a caller."""
        fleet.witness.down = fleet.keys
        fleet.run(KNOWN_S)
        fleet.assert_told("down")

    @every_fleet
    def test_all_hosts_learn_which_endpoints_leave(self, fleet: Fleet) -> None:
        """Guards against endpoints that are told in each second message only, which
        is the one that other data centres get."""
        notices = [LeavingNotice(key, STARTED_MS) for key in fleet.keys]
        fleet.witness.directory.apply_leaving(notices)
        fleet.run(KNOWN_S)
        fleet.assert_told("leaving")

    @every_fleet
    def test_all_hosts_learn_all_limits(self, fleet: Fleet) -> None:
        """Guards against the same for the request limits of endpoints."""
        now_ms = fleet.witness.exchange.shared_clock.now_ms()
        limits = [RequestLimit(key, STARTED_MS, 5.0, now_ms) for key in fleet.keys]
        fleet.witness.limits.apply(limits)
        fleet.run(KNOWN_S)
        fleet.assert_told("limits")


@pytest.mark.parametrize(("hosts", "data_centres"), LARGE_SIZES)
class TestContacts:
    def test_hosts_of_a_data_centre_hear_of_each_other(
        self, hosts: int, data_centres: int
    ) -> None:
        """Guards against a host that never hears of some others, as each message to it
        has the same contacts."""
        network = Network(hosts, data_centres, seed=hosts)
        network.run(START_S + 2 * KNOWN_S)
        for host in network.live():
            heard = set()
            for member in host.exchange.roster.members.values():
                if network.now - member.last_seen_at < KNOWN_S:
                    if member.contact.data_centre == host.data_centre:
                        heard.add(member.contact.name)
            assert len(heard) == hosts // data_centres - 1

    def test_no_slot_has_two_owners(self, hosts: int, data_centres: int) -> None:
        """Guards against hosts that share out slots of limits and trials among those
        that they hear of, and so take the same ones."""
        network = Network(hosts, data_centres, seed=hosts)
        network.run(START_S + 2 * KNOWN_S)
        owned = 0
        for slot in range(SLOTS):
            owners = [h for h in network.live() if h.exchange.shares.owns(str(slot))]
            assert len(owners) <= 1
            owned += len(owners)
        assert owned > SLOTS / 2
