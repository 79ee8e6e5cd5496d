"""Messages between hosts, and transfer of table rows from host to host.

A host that cannot reach the store would keep using an old configuration, a revoked
key or a draining endpoint, and the calls of hundreds of hosts that all poll the
store would cost more than the requests. A few store watchers long-poll it, and the
other hosts fetch newer rows from the hosts that have them. Versions come from a
single counter of the store, so a cached table at a version has the same rows
wherever they came from, and an older version never replaces a newer one.
"""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING

import anyio
import msgspec
from loguru import logger

from hemlockhall_router.connection.decoding import (
    DecodeError,
    decoding,
    parse_address,
)
from hemlockhall_router.connection.error import TransportError
from hemlockhall_router.connection.link import Delta, Fetch, Link, TableRow
from hemlockhall_router.membership.exchange import Exchange
from hemlockhall_router.membership.message import (
    Message,
    MessageError,
    TableVersion,
    decode,
    encode,
)
from hemlockhall_router.process.store import (
    Row,
    Store,
    StoreError,
    Table,
    VersionConflictError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream, TaskGroup, UDPSocket

    from hemlockhall_router.membership.clock import SharedClock
    from hemlockhall_router.membership.exchange import LocalState
    from hemlockhall_router.membership.history import RetryHistory
    from hemlockhall_router.membership.message import (
        Contact,
        CrashEvidence,
        CustomerDemand,
        Digest,
        EndedRequests,
        LayerUpdate,
        LeavingNotice,
        Load,
        Report,
        RequestLimit,
        RetryUsage,
        SegmentRuns,
        SegmentVerdict,
        ServiceDemand,
        Summary,
    )
    from hemlockhall_router.membership.share import Shares
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.process.supervisor import Supervisor
    from hemlockhall_router.process.timing import Timing
    from hemlockhall_router.process.watch import Watch

# Longest time for a transfer of rows; a host that takes longer is unreachable or its
# process is stopped.
FETCH_TIMEOUT_S = 0.8
# Seconds a host that is connected to the store waits before it fetches rows from
# another host: it usually receives them from the store at the same time.
STORE_HEAD_START_S = 0.15
# Confirmations of the cached tables within the maximum staleness.
CONFIRMATIONS_PER_STALENESS = 3
# Each host takes a random fraction of the maximum staleness, at least this one, as its
# own limit. With the same limit all hosts would call the store at once, before the
# response to the first of them is passed on.
MIN_STALENESS_FACTOR = 0.8
# Interval of reading the hosts table while no other host is live.
READ_HOSTS_INTERVAL_S = 4.0
# Interval of attempts to write this host's row to the hosts table.
REGISTER_RETRY_S = 1.0
# Interval of log lines about dropped messages.
DROP_LOG_INTERVAL_S = 1.0


class HostRow(msgspec.Struct):
    """A row of the hosts table; its key is the name of the host."""

    address: str


class Membership:
    """This host's messages to and from the other hosts, and its row in the store.

    Parameters
    ----------
    own : Contact
        This host, as the others know it.
    listen : str
        The address at which it listens for the others.
    seeds : list of str
        Addresses of hosts, to contact while no live host has them.
    store : Store
        Holds the hosts table.
    timing : Timing
        Intervals, and the time without a message after which a host counts as dead.
    get_local_state : callable
        Returns this host's state and what it knows about endpoints.
    on_down : callable
        Called with the keys of endpoints that do not answer another host.
    on_presumed_draining : callable
        Called with the keys of endpoints that another host presumes draining.
    on_layer_updates : callable
        Called with layers of endpoints that are newer than their store entries.
    on_limits : callable
        Called with the request limits of endpoints that another host knows.
    on_leaving : callable
        Called with endpoints that stated to another host that they leave.
    on_crashes : callable
        Called with what another host knows of crashes: evidence, verdicts, requests
        and counts of attempts.
    metrics : Metrics
        Counts dropped messages.
    supervisor : Supervisor
        Reports errors and keeps the tasks running.
    """

    def __init__(
        self,
        own: Contact,
        listen: str,
        seeds: list[str],
        store: Store,
        timing: Timing,
        get_local_state: Callable[[], LocalState],
        on_down: Callable[[list[int]], None],
        on_presumed_draining: Callable[[list[int]], None],
        on_layer_updates: Callable[[list[LayerUpdate]], None],
        on_limits: Callable[[list[RequestLimit]], None],
        on_leaving: Callable[[list[LeavingNotice]], None],
        on_crashes: Callable[
            [
                list[CrashEvidence],
                list[SegmentVerdict],
                list[EndedRequests],
                list[SegmentRuns],
            ],
            None,
        ],
        metrics: Metrics,
        supervisor: Supervisor,
    ) -> None:
        self._own = own
        self._listen = listen
        self._supervisor = supervisor
        self._store = store
        self._timing = timing
        self._on_down = on_down
        self._on_presumed_draining = on_presumed_draining
        self._on_layer_updates = on_layer_updates
        self._on_limits = on_limits
        self._on_leaving = on_leaving
        self._on_crashes = on_crashes
        self._metrics = metrics
        self._exchange = Exchange(
            own,
            seeds,
            timing,
            get_local_state,
            self._table_versions,
            self._enqueue,
            time.monotonic,
            lambda: metrics.count("false_figures", "demands"),
        )
        self._watches: dict[str, Watch] = {}
        self._staleness_factor = random.uniform(MIN_STALENESS_FACTOR, 1.0)  # noqa: S311
        self._behind_since: dict[str, float] = {}
        self._fetching: set[str] = set()
        self._outbox: list[tuple[bytes, str]] = []
        self._outbox_filled = anyio.Event()
        self._drop_logged_at = float("-inf")
        self._group: TaskGroup | None = None

    def share_table(self, watch: Watch) -> None:
        """Exchange the rows of a cached table with other hosts."""
        self._watches[watch.table.value] = watch

    async def run(self) -> None:
        """Exchange messages with the other hosts until cancelled.

        Raises ``OSError`` if it cannot listen at this host's address.
        """
        host, _, port = self._listen.rpartition(":")
        run = self._supervisor.run
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(run, "register", self._register)
            udp = await anyio.create_udp_socket(local_host=host, local_port=int(port))
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port)
            )
            async with udp, listener:
                group.start_soon(run, "rounds", self._run_rounds)
                group.start_soon(run, "send", partial(self._send, udp))
                group.start_soon(run, "receive", partial(self._receive, udp))
                serve = partial(listener.serve, self._serve_fetch, group)
                await run("serve_rows", serve)

    def should_watch(self, watch: Watch) -> bool:
        """Return whether this host should call the store itself for a table.

        The store watchers do, and so does a host that has not read the table, has no
        live peer, or last knew the table to be complete too long ago. Another table
        makes no difference: the calls of a host that is not a store watcher do not
        wait, so it would make them without a pause until the other one is complete.
        """
        if self._exchange.is_store_watcher() or not self.has_live_peers():
            return True
        max_age_s = self._timing.max_staleness_s * self._staleness_factor
        return watch.version == 0 or watch.age_s > max_age_s

    def is_store_watcher(self) -> bool:
        """Return whether other hosts rely on the changes that this one receives."""
        return self._exchange.is_store_watcher()

    def long_poll_s(self) -> float:
        """Return how long one call for changes waits at the store, in seconds.

        It is at most ``Timing.long_poll_s``, also where every host watches the store:
        the connections of all can go silent at once. The calls of a host that is not
        a store watcher do not wait. Those of all store watchers together confirm the
        cached tables of the other hosts ``CONFIRMATIONS_PER_STALENESS`` times within
        the maximum staleness, or more often.
        """
        if not self.has_live_peers():
            return self._timing.long_poll_s
        watchers = self._exchange.store_watcher_count()
        if watchers >= self.host_count():
            return self._timing.long_poll_s
        if not self._exchange.is_store_watcher():
            return 0.0
        shared_s = self._timing.max_staleness_s * watchers / CONFIRMATIONS_PER_STALENESS
        return min(self._timing.long_poll_s, shared_s)

    @property
    def shared_clock(self) -> SharedClock:
        """The clock on which the hosts agree."""
        return self._exchange.shared_clock

    @property
    def shares(self) -> Shares:
        """Which slots this host owns."""
        return self._exchange.shares

    @property
    def is_hub(self) -> bool:
        """Whether this host is a hub of its data centre."""
        return self._exchange.roster.is_hub(time.monotonic())

    def report(self) -> None:
        """Send this host's state at once, beside the periodic rounds."""
        self._exchange.report()

    def has_live_peers(self) -> bool:
        """Return whether another host is live."""
        return bool(self._exchange.roster.live(time.monotonic()))

    def host_count(self) -> int:
        """Return the largest number of hosts that may be running, with this one."""
        return self._exchange.host_count.upper_bound(
            self._exchange.data_centres(), time.monotonic()
        )

    @property
    def retry_history(self) -> RetryHistory:
        """The retries that all hosts took from the retry budget."""
        return self._exchange.retry_history

    def most_hosts(self) -> int:
        """Return the largest number of hosts that may be running, as a new host.

        One that started while others were out of reach has never heard of them.
        """
        return self._exchange.host_count.cautious_bound(
            self._exchange.data_centres(), time.monotonic()
        )

    def retry_usage(self) -> tuple[int, list[RetryUsage]]:
        """Return the number of known hosts, and the sum of their retry budget usage."""
        return self._exchange.retry_usage()

    def data_centre_link_sharers(self) -> int:
        """Return an estimate of the hosts that share the link between two data centres.

        The other data centre is assumed to have as many hosts as this one.
        """
        return min(self.host_count(), 2 * self.local_host_count())

    def local_host_count(self) -> int:
        """Return the number of hosts in this data centre, with this one."""
        for data_centre in self._exchange.data_centres():
            if data_centre.name == self._own.data_centre:
                return max(1, data_centre.hosts)
        return 1

    def enough_hosts_stay(self) -> bool:
        """Return whether retries in this data centre reach hosts that are not leaving.

        Load balancers use all hosts of a data centre if fewer than half are ready, and
        other data centres if none is.
        """
        for data_centre in self._exchange.data_centres():
            if data_centre.name == self._own.data_centre:
                active = data_centre.active_hosts
                return active == 0 or 2 * active >= data_centre.hosts
        return True

    def peer_loads(self) -> dict[int, Load]:
        """Return the sum of the other hosts' loads by the endpoint's key."""
        return self._exchange.loads()

    def peer_demands(self) -> tuple[list[ServiceDemand], float]:
        """Return the sum of the other hosts' demands, and its age in seconds.

        The age is infinite if there is none. The sum covers ``known_hosts``.
        """
        figures = self._exchange.figures()
        return figures.demands, figures.age_s

    def peer_customers(self) -> tuple[list[CustomerDemand], float]:
        """Return the sum of the other hosts' customers, and its age in seconds."""
        figures = self._exchange.figures()
        return figures.customers, figures.age_s

    def known_hosts(self) -> int:
        """Return the number of hosts that the demands cover, with this one."""
        return self._exchange.known_hosts()

    def relative_demand(self) -> float:
        """Return this host's demand in multiples of the mean of all hosts.

        It is 1.0 if no other host of its data centre is known.
        """
        return self._exchange.relative_demand()

    def newest_fence(self) -> int:
        """Return the highest fencing token of the planner's lease that is reported."""
        return max(data_centre.fence for data_centre in self._exchange.data_centres())

    def peer_store_stable(self) -> bool:
        """Return whether another host reports that its ``store_stable`` is true."""
        return self._exchange.peer_store_stable()

    def has_active_peer(self) -> bool:
        """Return whether another host is known that is not leaving.

        It can plan in place of this one when this one leaves.
        """
        own = 0 if self._exchange.own.leaving else 1
        return (
            sum(
                data_centre.active_hosts
                for data_centre in self._exchange.data_centres()
            )
            > own
        )

    def has_lowest_name(self) -> bool:
        """Return whether no host with a lower name is known that is not leaving.

        Such a host may plan without the lease while the store is unreachable; it may
        itself be leaving.
        """
        names = [
            data_centre.lowest_name
            for data_centre in self._exchange.data_centres()
            if data_centre.lowest_name
        ]
        return not names or self._own.name <= min(names)

    def push(self) -> None:
        """Send digests and summaries, with the table versions, at once, if a hub."""
        self._exchange.push()

    def _table_versions(self) -> list[TableVersion]:
        return [table_version_of(watch) for watch in self._watches.values()]

    def _enqueue(self, address: str, message: Message) -> None:
        with self._supervisor.contain("encode_message", address=address):
            self._outbox.append((encode(message), address))
            self._outbox_filled.set()

    async def _run_rounds(self) -> None:
        while True:
            self._exchange.run_round()
            await anyio.sleep(self._timing.gossip_interval_s)

    async def _send(self, udp: UDPSocket) -> None:
        while True:
            await self._outbox_filled.wait()
            self._outbox_filled = anyio.Event()
            outbox, self._outbox = self._outbox, []
            for data, address in outbox:
                host, _, port = address.rpartition(":")
                try:
                    await udp.sendto(data, host, int(port))
                except OSError as exc:
                    # As after a lost datagram, a later message replaces it.
                    logger.debug("datagram not sent", address=address, cause=str(exc))

    async def _receive(self, udp: UDPSocket) -> None:
        while True:
            try:
                data, _ = await udp.receive()
            except OSError as exc:
                # For example after a datagram was sent to a closed port.
                logger.debug("receiving a datagram failed", cause=str(exc))
                continue
            try:
                message = decode(data)
            except MessageError as exc:
                self._drop(str(exc))
                continue
            with self._supervisor.contain("message", sender=message.sender.name):
                self._handle(message)

    def _handle(self, message: Report | Digest | Summary) -> None:
        self._exchange.receive(message)
        if message.down:
            self._on_down(message.down)
        if message.presumed_draining:
            self._on_presumed_draining(message.presumed_draining)
        if message.layer_updates:
            self._on_layer_updates(message.layer_updates)
        if message.limits:
            self._on_limits(message.limits)
        if message.leaving:
            self._on_leaving(message.leaving)
        if message.crashes or message.verdicts or message.ended or message.runs:
            self._on_crashes(
                message.crashes, message.verdicts, message.ended, message.runs
            )
        self._fetch_newer(message)

    def _drop(self, cause: str) -> None:
        self._metrics.count("messages_dropped", "unreadable")
        now = time.monotonic()
        if now - self._drop_logged_at > DROP_LOG_INTERVAL_S:
            self._drop_logged_at = now
            logger.warning("message of a host dropped", cause=cause)

    def _fetch_newer(self, message: Message) -> None:
        """Fetch rows from the sender for each table of which it has a newer version."""
        now = time.monotonic()
        for table_version in message.table_versions:
            watch = self._watches.get(table_version.table)
            if watch is None:
                continue
            # True means that this host's table lacks changes.
            if not watch.confirm(
                table_version.last_change,
                table_version.complete_to,
                now - table_version.age_ms / 1000,
            ):
                self._behind_since.pop(table_version.table, None)
                continue
            behind_since = self._behind_since.setdefault(table_version.table, now)
            if watch.connected and now - behind_since < STORE_HEAD_START_S:
                continue
            if table_version.table not in self._fetching and self._group is not None:
                self._fetching.add(table_version.table)
                self._group.start_soon(self._fetch, watch, message.sender.address)

    async def _fetch(self, watch: Watch, address: str) -> None:
        table = watch.table.value
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + FETCH_TIMEOUT_S
        try:
            link = await Link.open(host, int(port), deadline)
            try:
                await link.send(Fetch(table, watch.version), deadline)
                response = await link.receive(deadline)
            finally:
                await link.close()
            if isinstance(response, Delta) and response.table == table:
                with self._supervisor.contain("fetch_rows", table=table):
                    self._apply(watch, response, address)
        except TransportError as exc:
            logger.info("rows not fetched", table=table, host=address, cause=str(exc))
        finally:
            self._fetching.discard(table)

    def _apply(self, watch: Watch, delta: Delta, address: str) -> None:
        if delta.version <= watch.version:
            return
        rows = [Row(r.key, r.value, r.version, r.deleted) for r in delta.rows]
        logger.info(
            "rows from another host",
            table=delta.table,
            source=address,
            version=delta.version,
            had=watch.version,
            rows=len(rows),
        )
        # Whether it has all rows of the table, and not only the changed ones.
        if delta.whole:
            watch.replace(rows, delta.version, address)
        else:
            watch.apply(rows, delta.version, address)

    async def _serve_fetch(self, stream: SocketStream) -> None:
        with self._supervisor.contain("serve_rows"):
            await self._answer_fetch(Link(stream))

    async def _answer_fetch(self, link: Link) -> None:
        """Answer one request for the rows of a table."""
        deadline = time.monotonic() + FETCH_TIMEOUT_S
        try:
            message = await link.receive(deadline)
            watch = None
            if isinstance(message, Fetch):
                watch = self._watches.get(message.table)
            if watch is None or not isinstance(message, Fetch):
                self._drop(
                    f"not a request for rows of a shared table: {message!r:.100}"
                )
                return
            await self._send_rows(link, watch, message, deadline)
        except TransportError as exc:
            logger.info("rows not sent", cause=str(exc))
        finally:
            await link.close()

    async def _send_rows(
        self, link: Link, watch: Watch, fetch: Fetch, deadline: float
    ) -> None:
        whole, rows = watch.changes_since(fetch.after)
        rows_sent = [TableRow(r.key, r.value, r.version, r.deleted) for r in rows]
        await link.send(Delta(fetch.table, watch.version, whole, rows_sent), deadline)
        # The peer closes the connection after it has received everything.
        await link.wait_closed(deadline)

    async def _register(self) -> None:
        """Write this host's row to the hosts table; read it while no peer is live."""
        version: int | None = None
        hosts_read = False
        while True:
            try:
                # For both calls together.
                deadline = time.monotonic() + 1.0
                if version is None:
                    version = await self._write_own_row(deadline)
                if not hosts_read or not self.has_live_peers():
                    page = await self._store.read(Table.HOSTS, deadline)
                    for row in page.rows:
                        self._add_seed(row)
                    self._exchange.host_count.set_minimum(len(page.rows))
                    hosts_read = True
            except StoreError as exc:
                logger.info("access to the hosts table failed", cause=str(exc))
            interval_s = REGISTER_RETRY_S if version is None else READ_HOSTS_INTERVAL_S
            await anyio.sleep(interval_s)

    async def _write_own_row(self, deadline: float) -> int:
        value = msgspec.json.encode(HostRow(self._own.address))
        expected = 0
        while True:
            try:
                written = await self._store.write(
                    Table.HOSTS, self._own.name, value, expected, deadline
                )
                return written.version
            except VersionConflictError as exc:
                if exc.row is None or exc.row.version == expected:
                    raise
                if exc.row.value == value:
                    return exc.row.version
                expected = exc.row.version

    def _add_seed(self, row: Row) -> None:
        try:
            with decoding("row of a host"):
                host_row = msgspec.json.decode(row.value, type=HostRow)
        except DecodeError as exc:
            logger.warning(
                "malformed row in the hosts table", host=row.key, cause=str(exc)
            )
            return
        if parse_address(host_row.address) is None:
            logger.warning(
                "no address in the hosts table", host=row.key, address=host_row.address
            )
            return
        if row.key != self._own.name:
            self._exchange.add_seed(host_row.address)


def table_version_of(watch: Watch) -> TableVersion:
    """Return the version of a cached table, as sent in messages."""
    age_ms = int(watch.age_s * 1000)
    return TableVersion(watch.table.value, watch.last_change, watch.version, age_ms)


__all__ = [
    "Membership",
    "table_version_of",
]
