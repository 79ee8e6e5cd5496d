"""Simulates the membership of many hosts in virtual time.

Datagrams may be delayed, lost or blocked between hosts.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
import zlib
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_router.membership.exchange import Exchange, LocalState
from hemlockhall_router.membership.message import Contact, TableVersion, encode
from hemlockhall_router.process.budget import RetryBudget
from hemlockhall_router.process.limits import EndpointLimits
from hemlockhall_router.process.metric import Metrics
from hemlockhall_router.process.quarantine import Quarantine
from hemlockhall_router.process.router import MAINTENANCE_INTERVAL_S
from hemlockhall_router.process.setting import BoundsSection, RetrySection
from hemlockhall_router.process.timing import Timing
from hemlockhall_standins.router.pool import make_directory

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.membership.message import (
        CustomerDemand,
        Load,
        Message,
        ServiceDemand,
    )
    from hemlockhall_router.version.endpoint import Endpoint

TABLE = "routing"
STORE_POLL_INTERVAL_S = 0.05
INTRA_DATA_CENTRE_DELAY_S = 0.0002
INTER_DATA_CENTRE_DELAY_S = 0.0006


@dataclass
class Host:
    """A host of the network that caches one table of the store.

    ``complete_as_of`` is the time up to which its table holds all changes, ``frozen``
    is true while its process stands still and neither sends nor receives,
    ``store_partitioned`` cuts it off from the store, ``slow_s`` delays each
    datagram that it sends, and ``learned`` holds the time at which it got each
    version of the table. ``down`` has the keys of endpoints that do not answer it, and
    ``heard`` those in the lists of messages, by the list. ``demands`` and ``customers``
    return its figures for overload control, and ``alter`` changes the messages that it
    sends, as a host of another version or with a fault would. ``false_figures`` counts
    received messages with figures out of range.
    """

    name: str
    network: Network
    data_centre: str
    boot: str
    capacity: int
    version: int = 0
    complete_as_of: float = float("-inf")
    alive: bool = True
    frozen: bool = False
    slow_s: float = 0.0
    store_partitioned: bool = False
    loads: list[Load] = field(default_factory=list)
    down: list[int] = field(default_factory=list)
    heard: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))
    demands: Callable[[], list[ServiceDemand]] = list
    customers: Callable[[], list[CustomerDemand]] = list
    alter: Callable[[Message], Message] = lambda message: message
    store_unreachable: bool = False
    sent: int = 0
    sent_bytes: int = 0
    largest_bytes: int = 0
    false_figures: int = 0
    learned: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        own = Contact(self.name, self.name, self.data_centre, self.capacity, self.boot)
        self.exchange = Exchange(
            own,
            self.network.seeds,
            self.network.timing,
            self._local_state,
            self._table_versions,
            lambda address, message: self.network.send_datagram(self, address, message),
            lambda: self.network.now,
            self._count_false_figures,
        )
        self.exchange.host_count.set_minimum(len(self.network.hosts))
        self.directory = directory = make_directory()
        for endpoint in self.network.endpoints:
            directory.add(endpoint)
        self.limits = EndpointLimits(
            directory,
            self.exchange,
            Metrics(),
            lambda: self.network.now,
        )
        self.quarantine = Quarantine(directory, self.exchange, Metrics())
        retry = self.network.retry
        self.budget = RetryBudget(
            retry.ratio,
            retry.constant,
            retry.window_s,
            self.most_hosts,
            self.exchange.retry_usage,
            self.exchange.retry_history,
            self.exchange.report,
            lambda: self.network.now,
        )

    def _local_state(self) -> LocalState:
        return LocalState(
            loads=self.loads,
            down=self.down,
            layer_updates=self.directory.layer_updates(),
            leaving_endpoints=self.directory.leaving_notices(),
            store_unreachable=self.store_unreachable,
            usage=self.budget.usage(),
            retries=self.budget.records(),
            demand=self.limits.demand_level(),
            limits=self.limits.statements(),
            demands=self.demands(),
            customers=self.customers(),
            crashes=self.quarantine.evidence(),
            verdicts=self.quarantine.verdicts(),
            ended=self.quarantine.ended_requests(),
            runs=self.quarantine.runs(),
        )

    def _count_false_figures(self) -> None:
        self.false_figures += 1

    def issue_permits(self) -> None:
        """Issue permits for limited endpoints and schedule the next time."""
        if not self.alive:
            return
        self.limits.issue()
        self.quarantine.update()
        self.network.after(MAINTENANCE_INTERVAL_S, self.issue_permits)

    def hosts(self) -> int:
        """Return the number of live hosts in this one's view, itself included."""
        return sum(data_centre.hosts for data_centre in self.exchange.data_centres())

    def peer_demands(self) -> tuple[list[ServiceDemand], float]:
        """Return the sum of the other hosts' demands, and its age in seconds."""
        figures = self.exchange.figures()
        return figures.demands, figures.age_s

    def peer_customers(self) -> tuple[list[CustomerDemand], float]:
        """Return the sum of the other hosts' customers, and its age in seconds."""
        figures = self.exchange.figures()
        return figures.customers, figures.age_s

    def known_hosts(self) -> int:
        """Return the number of hosts that the demands cover, with this one."""
        return self.exchange.known_hosts()

    def host_count(self) -> int:
        """Return the largest number of hosts that may be running, with this one."""
        return self.exchange.host_count.upper_bound(
            self.exchange.data_centres(), self.network.now
        )

    def most_hosts(self) -> int:
        """Return the largest number of hosts that may be running, as a new host."""
        return self.exchange.host_count.cautious_bound(
            self.exchange.data_centres(), self.network.now
        )

    def local_host_count(self) -> int:
        """Return the number of hosts in this data centre, with this one."""
        for data_centre in self.exchange.data_centres():
            if data_centre.name == self.data_centre:
                return max(1, data_centre.hosts)
        return 1

    def apply(self, version: int) -> None:
        """Apply a version of the table if it is newer, and tell the peers."""
        if version <= self.version:
            return
        self.version = version
        self.learned.setdefault(version, self.network.now)
        self.exchange.push()

    def _table_versions(self) -> list[TableVersion]:
        age_ms = int(min(3600.0, self.network.now - self.complete_as_of) * 1000)
        return [TableVersion(TABLE, self.version, self.version, age_ms)]

    def gossip(self) -> None:
        """Run a gossip round and schedule the next one."""
        if not self.alive:
            return
        if not self.frozen:
            self.exchange.run_round()
        self.network.after(self.network.timing.gossip_interval_s, self.gossip)

    def poll_store(self) -> None:
        """Poll the store as a watcher or with a stale table; schedule the next poll."""
        if not self.alive:
            return
        stale = (
            self.network.now - self.complete_as_of > self.network.timing.max_staleness_s
        )
        if self.exchange.is_store_watcher() or stale:
            self.store_unreachable = self.store_partitioned
            if not self.store_unreachable:
                self.complete_as_of = self.network.now
                self.apply(self.network.store_version)
        self.network.after(STORE_POLL_INTERVAL_S, self.poll_store)

    def receive(self, message: Message) -> None:
        """Process a message; fetch the table if its sender has a newer version."""
        if self.frozen or not self.alive:
            return
        self.exchange.receive(message)
        self.heard["down"].update(message.down)
        self.heard["leaving"].update(notice.endpoint for notice in message.leaving)
        self.heard["limits"].update(limit.endpoint for limit in message.limits)
        self.directory.apply_layer_updates(message.layer_updates)
        self.directory.apply_leaving(message.leaving)
        self.limits.apply(message.limits)
        self.quarantine.apply(
            message.crashes, message.verdicts, message.ended, message.runs
        )
        now = self.network.now
        for table_version in message.table_versions:
            if table_version.last_change <= self.version:
                at = now - table_version.age_ms / 1000
                self.complete_as_of = max(self.complete_as_of, at)
                continue
            sender = message.sender.address
            if self.network.reachable(self.name, sender):
                version = table_version.last_change
                self.network.after(
                    2 * INTER_DATA_CENTRE_DELAY_S, lambda v=version: self.apply(v)
                )


class Network:
    """Hosts spread over data centres, and the datagrams between them.

    ``lost`` is the fraction of datagrams that are lost; ``cut`` tells whether a
    sender cannot reach a receiver.
    """

    def __init__(
        self,
        hosts: int,
        data_centres: int,
        seed: int = 0,
        *,
        config_ms: float = 2000.0,
        endpoints: Iterable[Endpoint] = (),
        retry: RetrySection | None = None,
    ) -> None:
        self.random = random.Random(seed)  # noqa: S311
        random.seed(seed)
        self.now = 0.0
        self.lost = 0.0
        self.store_version = 1
        self.endpoints = list(endpoints)
        self.retry = retry or RetrySection()
        self.timing = Timing(BoundsSection(config_ms=config_ms))
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = [f"host-{number}" for number in range(hosts)]
        self.seeds = self.random.sample(names, min(3, hosts))
        self.hosts: dict[str, Host] = {}
        for number, name in enumerate(names):
            self.start(name, f"place-{number % data_centres}", capacity=number % 5)

    def start(
        self, name: str, data_centre: str, boot: str = "1", capacity: int = 1
    ) -> Host:
        """Start a host, or restart one with another ``boot``."""
        host = Host(name, self, data_centre, boot, capacity)
        self.hosts[name] = host
        self.after(self.random.uniform(0.0, 0.3), host.gossip)
        self.after(self.random.uniform(0.0, 0.3), host.poll_store)
        # Not drawn, so that runs without limits stay the same for a seed.
        self.after(zlib.crc32(name.encode()) % 250 / 1000, host.issue_permits)
        return host

    def live(self) -> list[Host]:
        """Return the running hosts."""
        return [host for host in self.hosts.values() if host.alive]

    def hubs(self) -> list[Host]:
        """Return the hosts that consider themselves hubs."""
        return [h for h in self.live() if h.exchange.roster.is_hub(self.now)]

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback in virtual time."""
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._numbers), callback)
        )

    def run(self, seconds: float) -> None:
        """Advance virtual time and run the callbacks that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def reachable(self, sender: str, receiver: str) -> bool:
        """Return whether the receiver runs and is not cut off from the sender."""
        target = self.hosts.get(receiver)
        return target is not None and target.alive and not self.cut(sender, receiver)

    def send_datagram(self, sender: Host, address: str, message: Message) -> None:
        """Send a datagram, which is lost if the receiver cannot be reached."""
        message = sender.alter(message)
        size = len(encode(message))
        sender.sent += 1
        sender.sent_bytes += size
        sender.largest_bytes = max(sender.largest_bytes, size)
        if not self.reachable(sender.name, address):
            return
        if self.random.random() < self.lost:
            return
        target = self.hosts[address]
        same_data_centre = target.data_centre == sender.data_centre
        delay_s = (
            INTRA_DATA_CENTRE_DELAY_S if same_data_centre else INTER_DATA_CENTRE_DELAY_S
        ) + sender.slow_s
        self.after(delay_s, lambda: target.receive(message))

    def sent_each(self) -> float:
        """Return the median number of datagrams sent by a running host."""
        return statistics.median(host.sent for host in self.live())


__all__ = [
    "TABLE",
    "Host",
    "Network",
]
