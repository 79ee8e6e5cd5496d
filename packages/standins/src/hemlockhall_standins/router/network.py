"""Many hosts in one process, in virtual time, over a network with faults."""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_router.membership.exchange import Exchange, LocalState
from hemlockhall_router.membership.message import Contact, TableVersion, encode
from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.timing import Timing

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.membership.message import Load, Message

TABLE = "routing"
# Seconds between two looks of a host at the store.
STORE_POLL_INTERVAL_S = 0.05
# Seconds a datagram takes inside a data centre and between two.
NEAR_S = 0.0002
FAR_S = 0.0006


@dataclass
class Host:
    """A host of the network, with a copy of one table.

    ``slow_s`` delays all that it sends; ``loads`` are its requests.
    """

    name: str
    network: Network
    data_centre: str
    boot: str
    power: int
    version: int = 0
    confirmed_at: float = float("-inf")
    alive: bool = True
    slow_s: float = 0.0
    store_cut: bool = False
    loads: list[Load] = field(default_factory=list)
    store_unreachable: bool = False
    sent: int = 0
    sent_bytes: int = 0
    learned: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        own = Contact(self.name, self.name, self.data_centre, self.power, self.boot)
        self.exchange = Exchange(
            own,
            self.network.seeds,
            self.network.timing,
            lambda: LocalState(
                loads=self.loads, store_unreachable=self.store_unreachable
            ),
            self._copies,
            lambda address, message: self.network.post(self, address, message),
            lambda: self.network.now,
        )

    def hosts(self) -> int:
        """Return how many hosts this one believes to be there."""
        return sum(place.hosts for place in self.exchange.data_centres())

    def apply(self, version: int) -> None:
        """Take a newer version of the table."""
        if version <= self.version:
            return
        self.version = version
        self.learned.setdefault(version, self.network.now)
        self.exchange.push()

    def _copies(self) -> list[TableVersion]:
        age_ms = int(min(3600.0, self.network.now - self.confirmed_at) * 1000)
        return [TableVersion(TABLE, self.version, self.version, age_ms)]

    def round(self) -> None:
        """Tell others what is due, again and again."""
        if not self.alive:
            return
        self.exchange.run_round()
        self.network.after(self.network.timing.gossip_interval_s, self.round)

    def poll_store(self) -> None:
        """Ask the store if this host should, again and again."""
        if not self.alive:
            return
        stale = (
            self.network.now - self.confirmed_at > self.network.timing.max_staleness_s
        )
        if self.exchange.is_store_watcher() or stale:
            self.store_unreachable = self.store_cut
            if not self.store_unreachable:
                self.confirmed_at = self.network.now
                self.apply(self.network.store_version)
        self.network.after(STORE_POLL_INTERVAL_S, self.poll_store)

    def receive(self, message: Message) -> None:
        """Take a message, and rows from its sender if that has newer ones."""
        self.exchange.receive(message)
        now = self.network.now
        for copy in message.table_versions:
            if copy.last_change <= self.version:
                at = now - copy.age_ms / 1000
                self.confirmed_at = max(self.confirmed_at, at)
                continue
            sender = message.sender.address
            if self.network.reachable(self.name, sender):
                version = copy.last_change
                self.network.after(2 * FAR_S, lambda v=version: self.apply(v))


class Network:
    """Hosts in data centres; ``lost`` is the part of datagrams that get lost."""

    def __init__(
        self, hosts: int, data_centres: int, seed: int = 0, *, config_ms: float = 2000.0
    ) -> None:
        self.random = random.Random(seed)  # noqa: S311
        random.seed(seed)
        self.now = 0.0
        self.lost = 0.0
        self.store_version = 1
        self.timing = Timing(BoundsSection(config_ms=config_ms))
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = [f"host-{number}" for number in range(hosts)]
        self.seeds = self.random.sample(names, min(3, hosts))
        self.hosts: dict[str, Host] = {}
        for number, name in enumerate(names):
            self.start(name, f"place-{number % data_centres}", power=number % 5)

    def start(self, name: str, place: str, boot: str = "1", power: int = 1) -> Host:
        """Start a host, or a new run of one."""
        host = Host(name, self, place, boot, power)
        self.hosts[name] = host
        self.after(self.random.uniform(0.0, 0.3), host.round)
        self.after(self.random.uniform(0.0, 0.3), host.poll_store)
        return host

    def live(self) -> list[Host]:
        """Return the hosts that run."""
        return [host for host in self.hosts.values() if host.alive]

    def hubs(self) -> list[Host]:
        """Return the hosts that take themselves for hubs."""
        return [h for h in self.live() if h.exchange.roster.is_hub(self.now)]

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call later."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), call))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def reachable(self, sender: str, receiver: str) -> bool:
        """Return whether a message between two hosts may arrive."""
        target = self.hosts.get(receiver)
        return target is not None and target.alive and not self.cut(sender, receiver)

    def post(self, sender: Host, address: str, message: Message) -> None:
        """Carry a datagram."""
        sender.sent += 1
        sender.sent_bytes += len(encode(message))
        if not self.reachable(sender.name, address):
            return
        if self.random.random() < self.lost:
            return
        target = self.hosts[address]
        near = target.data_centre == sender.data_centre
        delay_s = (NEAR_S if near else FAR_S) + sender.slow_s
        self.after(delay_s, lambda: target.receive(message) if target.alive else None)

    def sent_each(self) -> float:
        """Return the median number of datagrams that a host sent."""
        return statistics.median(host.sent for host in self.live())


__all__ = [
    "TABLE",
    "Host",
    "Network",
]
