"""The other entry hosts: what they know that this one does not, and load.

A host that the store turns away would go on with an old configuration, a
withdrawn key or a leaving endpoint. Hosts therefore tell each other the
versions of their copies of the tables, and pass on the rows that one lacks.
Versions come from the store's one counter, so a copy at a version is the same
wherever it came from, and an older one never replaces a newer one.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import msgspec
from loguru import logger

from hemlockhall_router.connection.error import WireError
from hemlockhall_router.connection.link import (
    Ack,
    Delta,
    Link,
    PassedRow,
    Status,
)
from hemlockhall_router.process.peer import Peer
from hemlockhall_router.process.store import (
    ConditionError,
    Row,
    Store,
    StoreError,
    Table,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream, TaskGroup

    from hemlockhall_router.process.watch import Watch

# Seconds between two messages to each host: what is passed on must be in force
# within 2 s.
INTERVAL_S = 0.25
# Seconds until an unanswered message means that the connection is silent.
ANSWER_S = 0.8
# Hosts that this one talks to in each interval on average. With more hosts each
# is talked to less often, so that what one host spends does not grow with their
# number; what is passed on reaches all in a number of rounds that grows with
# its logarithm.
FANOUT = 4
# Seconds of silence after which a host no longer counts, and how many of its
# periods at least.
DEAD_S = 1.5
DEAD_PERIODS = 3.2
# Seconds a host may be behind before it is sent rows: it gets them from the
# store at the same time unless it is cut off from it.
BEHIND_S = 0.15
# Seconds between tries to reach a host, and until it is forgotten.
RETRY_S = 0.3
RETRY_MAX_S = 2.0
FORGET_S = 30.0
# Seconds between readings of the table of hosts while nobody is heard.
ALONE_S = 4.0
# Hosts assumed until the table has been read: a host that believed itself alone
# would spend the whole allowance of repeats.
UNKNOWN_HOSTS = 8


class HostRow(msgspec.Struct):
    """A row of the table of hosts."""

    address: str


class Hosts:
    """Links to the other hosts.

    Parameters
    ----------
    address : str
        Where this host listens for the others.
    seeds : list of str
        Addresses to begin with.
    store : Store
        Keeps the table of hosts.
    name : str
        This host's name.
    describe : callable
        Returns this host's ``Status``; called with the live peers' addresses.
    watches : list of Watch
        The copies of tables that are passed on.
    suspect : callable
        Called with the endpoints that another host finds down.
    """

    def __init__(
        self,
        name: str,
        address: str,
        seeds: list[str],
        store: Store,
        describe: Callable[[list[str]], Status],
        watches: list[Watch],
        suspect: Callable[[list[str]], None],
    ) -> None:
        self._name = name
        self._address = address
        self._seeds = seeds
        self._store = store
        self._describe = describe
        self._suspect = suspect
        self._watches = {watch.table.value: watch for watch in watches}
        self.peers: dict[str, Peer] = {}
        self._group: TaskGroup | None = None
        self._most = UNKNOWN_HOSTS

    async def run(self) -> None:
        """Talk to the other hosts until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with anyio.create_task_group() as group:
            self._group = group
            for seed in self._seeds:
                self._meet(seed)
            group.start_soon(self._register)
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port)
            )
            await listener.serve(self._listen, group)

    def live(self) -> list[Peer]:
        """Return the hosts that were heard lately."""
        now = time.monotonic()
        dead_s = self._dead_s()
        return [peer for peer in self.peers.values() if peer.live(now, dead_s)]

    def count(self) -> int:
        """Return the most hosts that may be there, with this one."""
        self._most = max(self._most, 1 + len(self.live()))
        return self._most

    def _period_s(self) -> float:
        return INTERVAL_S * max(1.0, len(self.peers) / FANOUT)

    def _dead_s(self) -> float:
        return max(DEAD_S, DEAD_PERIODS * self._period_s())

    def loads(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return the other hosts' requests and tokens at each endpoint."""
        counts: dict[str, int] = {}
        tokens: dict[str, int] = {}
        for peer in self.live():
            assert peer.status is not None
            _add(counts, peer.status.loads)
            _add(tokens, peer.status.tokens)
        return counts, tokens

    def fence(self) -> int:
        """Return the newest planning lease that another live host claims."""
        fences = [peer.status.fence for peer in self.live() if peer.status]
        return max(fences, default=0)

    def another_steady(self) -> bool:
        """Return whether another live host has had the store all the while."""
        return any(peer.status.steady for peer in self.live() if peer.status)

    def staying(self) -> bool:
        """Return whether another host is heard that does not leave."""
        return any(not _leaves(peer) for peer in self.live())

    def first(self) -> bool:
        """Return whether this host's name is the first of those that stay."""
        for peer in self.live():
            if peer.status and not _leaves(peer) and peer.status.name < self._name:
                return False
        return True

    def _meet(self, address: str) -> None:
        if address == self._address or address in self.peers or not self._group:
            return
        peer = Peer(address)
        self.peers[address] = peer
        self._group.start_soon(self._talk, peer)

    async def _register(self) -> None:
        """Enter this host in the table, and read it while nobody is heard."""
        version: int | None = None
        known = False
        while True:
            try:
                deadline = time.monotonic() + 1.0
                if version is None:
                    version = await self._enter(deadline)
                if not known or not self.live():
                    page = await self._store.read(Table.HOSTS, deadline)
                    for row in page.rows:
                        self._meet_row(row)
                    self._most = max(len(page.rows), 1 + len(self.live()))
                    known = True
            except StoreError as exc:
                logger.info("table of hosts not reached", cause=str(exc))
            await anyio.sleep(ALONE_S if version is not None else 1.0)

    async def _enter(self, deadline: float) -> int:
        value = msgspec.json.encode(HostRow(self._address))
        expected = 0
        while True:
            try:
                written = await self._store.write(
                    Table.HOSTS, self._name, value, expected, deadline
                )
                return written.version
            except ConditionError as exc:
                if exc.row is None or exc.row.version == expected:
                    raise
                if exc.row.value == value:
                    return exc.row.version
                expected = exc.row.version

    def _meet_row(self, row: Row) -> None:
        try:
            entry = msgspec.json.decode(row.value, type=HostRow)
        except msgspec.DecodeError:
            logger.warning("row of a host cannot be read", host=row.key)
            return
        if row.key != self._name:
            self._meet(entry.address)

    async def _talk(self, peer: Peer) -> None:
        """Send to one host until it is forgotten."""
        host, _, port = peer.address.rpartition(":")
        delay = RETRY_S
        while True:
            try:
                link = await Link.open(host, int(port), time.monotonic() + ANSWER_S)
                try:
                    while True:
                        await self._round(link, peer)
                        delay = RETRY_S
                        await anyio.sleep(self._period_s())
                finally:
                    await link.close()
            except WireError:
                await anyio.sleep(delay)
                delay = min(RETRY_MAX_S, delay * 1.5)
            now = time.monotonic()
            if now - max(peer.heard_at, peer.added_at) > FORGET_S:
                self.peers.pop(peer.address, None)
                logger.info("host forgotten", address=peer.address)
                return

    async def _round(self, link: Link, peer: Peer) -> None:
        heard = [other.address for other in self.live()]
        await self._say(link, peer, self._describe(heard))
        for watch in self._watches.values():
            delta = self._lacking(watch, peer)
            if delta is not None:
                await self._say(link, peer, delta)

    async def _say(self, link: Link, peer: Peer, message: Status | Delta) -> None:
        deadline = time.monotonic() + ANSWER_S
        await link.send(message, deadline)
        answer = await link.receive(deadline)
        if isinstance(answer, Ack):
            peer.versions = answer.versions

    def _lacking(self, watch: Watch, peer: Peer) -> Delta | None:
        now = time.monotonic()
        table = watch.table.value
        if watch.version == 0 or table not in peer.versions:
            return None
        theirs = peer.versions[table]
        if theirs >= watch.version:
            peer.behind_since.pop(table, None)
            return None
        since = peer.behind_since.setdefault(table, now)
        if now - since < BEHIND_S:
            return None
        whole, rows = watch.since(theirs)
        if not whole and not rows:
            # Other tables moved the store's counter; nothing is lacking.
            return None
        passed = [PassedRow(r.key, r.value, r.version, r.deleted) for r in rows]
        return Delta(table, watch.version, whole, passed)

    async def _listen(self, stream: SocketStream) -> None:
        link = Link(stream)
        try:
            while True:
                message = await link.receive(time.monotonic() + self._dead_s() * 2)
                if isinstance(message, Status):
                    self._heard(message)
                elif isinstance(message, Delta):
                    self._take(message)
                versions = {w.table.value: w.version for w in self._watches.values()}
                await link.send(Ack(versions), time.monotonic() + ANSWER_S)
        except WireError:
            return
        finally:
            await link.close()

    def _heard(self, status: Status) -> None:
        self._meet(status.address)
        if status.down:
            self._suspect(status.down)
        for address in status.peers:
            self._meet(address)
        peer = self.peers.get(status.address)
        if peer is None:
            return
        now = time.monotonic()
        if not peer.live(now, self._dead_s()):
            logger.info("host heard", host=status.name, address=status.address)
        peer.status = status
        peer.heard_at = now

    def _take(self, delta: Delta) -> None:
        watch = self._watches.get(delta.table)
        if watch is None or delta.version <= watch.version:
            return
        rows = [Row(r.key, r.value, r.version, r.deleted) for r in delta.rows]
        logger.info(
            "rows from another host",
            table=delta.table,
            version=delta.version,
            had=watch.version,
            rows=len(rows),
        )
        if delta.whole:
            watch.replace(rows, delta.version)
        else:
            watch.apply(rows, delta.version)


def _leaves(peer: Peer) -> bool:
    return peer.status is not None and peer.status.leaving


def _add(sums: dict[str, int], counts: dict[str, int]) -> None:
    for key, count in counts.items():
        sums[key] = sums.get(key, 0) + count


__all__ = [
    "Hosts",
]
