"""The router process."""

from __future__ import annotations

import gc
import secrets
import signal
import time
from functools import partial
from math import inf
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.bound import ConnectionBound
from hemlockhall_router.connection.caller import CallerLimits, CallerReader
from hemlockhall_router.connection.error import CallerDisconnectedError, CallerError
from hemlockhall_router.connection.message import encode_response_head
from hemlockhall_router.connection.pool import ConnectionPool
from hemlockhall_router.membership.exchange import LocalState
from hemlockhall_router.membership.hosts import Membership
from hemlockhall_router.membership.message import Contact, Load
from hemlockhall_router.membership.tally import MAX_EVENT_AGE_MS
from hemlockhall_router.policy.data_centre_link import DataCentreLinks
from hemlockhall_router.process.admission import Admission
from hemlockhall_router.process.archive import VerdictArchive
from hemlockhall_router.process.budget import RetryBudget
from hemlockhall_router.process.chooser import Chooser
from hemlockhall_router.process.crash import CrashWatch
from hemlockhall_router.process.dialect import DecodeError, load_dialect
from hemlockhall_router.process.directory import Directory
from hemlockhall_router.process.frontend import Frontend
from hemlockhall_router.process.intake import Intake
from hemlockhall_router.process.leadership import Leadership
from hemlockhall_router.process.lease import Lease
from hemlockhall_router.process.limits import EndpointLimits
from hemlockhall_router.process.metric import Metrics
from hemlockhall_router.process.outage import StoreOutage
from hemlockhall_router.process.planner import Planner
from hemlockhall_router.process.prober import Prober
from hemlockhall_router.process.quarantine import Quarantine
from hemlockhall_router.process.setting import SettingsError, load_settings
from hemlockhall_router.process.statement import EndpointStatements
from hemlockhall_router.process.store import Table
from hemlockhall_router.process.supervisor import Supervisor
from hemlockhall_router.process.timing import Timing
from hemlockhall_router.process.watch import Watch
from hemlockhall_router.request.relay import RelayContext

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from anyio.abc import SocketStream, TaskGroup, TaskStatus

    from hemlockhall_router.process.setting import RouterSettings
    from hemlockhall_router.process.store import Row
    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.routing import RoutingConfig

# Time between two runs of the periodic work in ``_run_maintenance``.
MAINTENANCE_INTERVAL_S = 0.25
# The settings file may change without a SIGHUP.
SETTINGS_POLL_INTERVAL_S = 1.0
# Time after SIGTERM until the load balancer sends no new connections: it checks
# readiness each second and removes a host after two failures.
DEREGISTRATION_S = 3.0
# The process exits this long before the platform kills it; requests that are still
# open then are aborted.
EXIT_MARGIN_S = 0.8
# For the responses to requests that are then still without one; a part of the margin.
FINISH_TIMEOUT_S = 0.2
# Above the usual duration of a call to the store; bounds the time to exit.
LEASE_RELEASE_TIMEOUT_S = 0.3
LISTEN_BACKLOG = 1024
# Connections of balancers and of those who read the metrics.
MAX_HEALTH_CONNECTIONS = 64


class Router:
    """The router process of one host, in front of HTTP endpoints.

    Parameters
    ----------
    path : Path
        The settings file; reloaded when it changes. The sections ``retry``,
        ``bounds``, ``limits``, ``rest``, ``admission``, ``quarantine`` and ``leave``
        then take effect, the others only after a restart.
    settings : RouterSettings
        Its contents.
    metrics : Metrics
        Counters and latency summaries of the process.
    """

    def __init__(self, path: Path, settings: RouterSettings, metrics: Metrics) -> None:
        self._path = path
        self._settings = settings
        self._metrics = metrics
        self._supervisor = Supervisor(metrics)
        self._run_id = secrets.token_hex(4)
        host = settings.host
        self._dialect = load_dialect(host.dialect, host.dialect_module)
        self._store = self._dialect.open_store(settings.store.address)
        self.routing: RoutingConfig | None = None
        self._timing = Timing(settings.bounds)
        contact = Contact(
            host.name,
            settings.listen.advertised_hosts or settings.listen.hosts,
            host.data_centre,
            host.capacity,
            self._run_id,
        )
        self.membership = Membership(
            contact,
            settings.listen.hosts,
            settings.seeds,
            self._store,
            self._timing,
            self._local_state,
            self._probe_suspects,
            lambda keys: self.directory.apply_presumed_draining(keys),
            lambda updates: self.directory.apply_layer_updates(updates),
            lambda statements: self.limits.apply(statements),
            lambda notices: self.directory.apply_leaving(notices),
            lambda crashes, verdicts, ended, runs: self.quarantine.apply(
                crashes, verdicts, ended, runs
            ),
            metrics,
            self._supervisor,
        )
        self._routing_watch = self._create_watch(Table.ROUTING, self._routing_changed)
        self._endpoints_watch = self._create_watch(
            Table.ENDPOINTS, self._endpoints_changed
        )
        self._outage = StoreOutage(
            self._endpoints_watch, self.membership.peer_store_stable, self._timing
        )
        self.directory = Directory(
            self._dialect.decode_endpoint, self._outage.grace_deadline, self._timing
        )
        metrics.add_gauge(
            "layers_ahead_of_store",
            "all",
            lambda: len(self.directory.layer_updates()),
        )
        self.lease = Lease(self._store, host.name, self._run_id)
        retry = settings.retry
        self.budget = RetryBudget(
            retry.ratio,
            retry.constant,
            retry.window_s,
            self.membership.most_hosts,
            self.membership.retry_usage,
            self.membership.retry_history,
            self.membership.report,
            time.monotonic,
            self._heard_at,
        )
        self.limits = EndpointLimits(
            self.directory,
            self.membership,
            metrics,
            time.monotonic,
            settings.limits,
        )
        self.statements = EndpointStatements(
            self._dialect,
            self.directory,
            self.limits,
            metrics,
            time.monotonic,
            settings.rest,
        )
        self._prober = Prober(
            self._dialect,
            self.directory,
            self.membership.local_host_count,
            self.statements,
        )
        data_centre_links = DataCentreLinks(self.membership.data_centre_link_sharers)
        chooser = Chooser(
            self.directory,
            host.data_centre,
            data_centre_links,
            self.membership.local_host_count,
            self.limits,
            self.statements,
        )
        self.admission = Admission(
            self.directory, self.membership, metrics, settings.admission
        )
        self._pool = ConnectionPool()
        self.quarantine = Quarantine(
            self.directory, self.membership, metrics, settings.quarantine
        )
        self._archive = VerdictArchive(self._store, self.quarantine)
        self.quarantine.on_verdict = self._archive.request_write
        self.quarantine.on_urgent_news = self._tell_urgent_news
        self._crashes = CrashWatch(
            self.directory,
            metrics,
            time.monotonic,
            self.quarantine,
            self._prober.request_probes,
        )
        context = RelayContext(
            self._dialect,
            self._pool,
            self.directory,
            chooser,
            self.budget,
            metrics,
            self._prober,
            data_centre_links,
            self.limits,
            self.statements,
            self.admission,
            self._crashes,
            self.quarantine,
        )
        self.intake = Intake(self.membership.relative_demand, metrics, time.monotonic)
        self._health_connections = ConnectionBound(
            "ready",
            MAX_HEALTH_CONNECTIONS,
            partial(metrics.count, "health_connections"),
        )
        self.frontend = Frontend(
            context,
            self.admission,
            lambda: self.routing,
            lambda: self._routing_watch.age_s,
            self.intake,
            ConnectionBound(
                "callers",
                settings.listen.max_connections,
                partial(metrics.count, "connections"),
            ),
            self._supervisor,
            self.membership.enough_hosts_stay,
        )
        self.leadership = Leadership(self.lease, self.membership)
        self._planner = Planner(
            self._dialect,
            self.directory,
            self.leadership,
            self.lease,
            self._prober,
            metrics,
            lambda: self.routing,
            self._timing,
            self._supervisor,
        )
        self._task_group: TaskGroup | None = None

    async def run(self) -> None:
        """Serve until SIGTERM, then until requests finish or the grace time ends."""
        logger.info(
            "router starts", boot=self._run_id, place=self._settings.host.data_centre
        )
        # Objects loaded so far live as long as the process: scanning them in each
        # garbage collection would only cost time.
        gc.freeze()
        listen = self._settings.listen
        async with anyio.create_task_group() as group:
            self._task_group = group
            group.start_soon(self._handle_signals)
            # The callers' port must accept before readiness is reported.
            await group.start(self._listen, listen.callers, self.frontend.serve)
            await group.start(self._listen, listen.ready, self._serve_health)
            tasks = {
                "routing": self._routing_watch.run,
                "endpoints": self._endpoints_watch.run,
                "verdicts": self._archive.run,
                "intake": self.intake.run,
                "planner": self._planner.run,
                "prober": self._prober.run,
                "maintenance": self._run_maintenance,
                "settings": self._watch_settings,
            }
            # Its own tasks are supervised; it fails if it cannot listen.
            group.start_soon(self.membership.run)
            for name, task in tasks.items():
                group.start_soon(self._supervisor.run, name, task)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        endpoints_known = self._endpoints_watch.version > 0
        return (
            self.routing is not None and endpoints_known and not self.frontend.leaving
        )

    async def _listen(
        self,
        address: str,
        serve: Callable[[SocketStream], Awaitable[None]],
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        host, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        task_status.started()
        # An error while a connection is accepted must not close the others.
        accept = partial(listener.serve, serve, self._task_group)
        async with listener:
            await self._supervisor.run("accept", accept)

    async def _serve_health(self, stream: SocketStream) -> None:
        with (
            self._supervisor.contain("health"),
            self._health_connections.admit() as admitted,
        ):
            if admitted:
                await self._answer_health(stream)
                return
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _answer_health(self, stream: SocketStream) -> None:
        reader = CallerReader(stream, CallerLimits())
        try:
            while True:
                head = None
                with self._health_connections.waiting():
                    head = await reader.read_head()
                if head is None:
                    return
                await reader.read_body(time.monotonic() + 1.0)
                await reader.send(self._health_response(head.path))
                reader.finish_request()
        except (CallerError, CallerDisconnectedError):
            return
        finally:
            reader.close()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    def _health_response(self, path: bytes) -> bytes:
        status, body = 404, b""
        if path == self._dialect.ready_path:
            status = 200 if self.ready else 503
        elif path == b"/metrics":
            status, body = 200, self._metrics.render()
        headers = [(b"Content-Length", b"%d" % len(body))]
        return encode_response_head(status, b"", headers) + body

    def _routing_changed(self, rows: list[Row]) -> None:
        for row in rows:
            if row.deleted:
                continue
            try:
                routing = self._dialect.decode_routing(row.key, row.value)
            except DecodeError as exc:
                logger.error("configuration cannot be read", cause=str(exc))
                continue
            if routing is None:
                continue
            if self.routing is not None and routing.version <= self.routing.version:
                logger.warning(
                    "configuration ignored: not newer", version=routing.version
                )
                continue
            self.routing = routing
            with self._supervisor.contain("configure", version=routing.version):
                self.admission.configure(routing, self._settings.admission)
            watch = self._routing_watch
            logger.info(
                "configuration in force",
                version=routing.version,
                row_version=row.version,
                source=watch.source,
                delay_ms=int(watch.delay_s * 1000),
            )

    def _endpoints_changed(self, rows: list[Row]) -> None:
        # The rows beside one that cannot be applied are.
        for row in rows:
            with self._supervisor.contain("apply_row", row=row.key):
                self.directory.apply_rows([row])

    def _create_watch(
        self, table: Table, changed: Callable[[list[Row]], None]
    ) -> Watch:
        def on_change(rows: list[Row]) -> None:
            changed(rows)
            self.membership.push()

        watch = Watch(
            self._store,
            table,
            on_change,
            self.membership,
            self._timing,
            self._metrics,
        )
        self.membership.share_table(watch)
        return watch

    def _local_state(self) -> LocalState:
        now = time.monotonic()
        loads = []
        down = []
        for record in self.directory.records.values():
            if record.in_flight:
                event_age_ms = min(
                    MAX_EVENT_AGE_MS, int((now - record.last_local_event_at) * 1000)
                )
                loads.append(
                    Load(
                        record.key,
                        record.in_flight,
                        record.tokens,
                        record.prefill_tokens,
                        event_age_ms,
                    )
                )
            if record.down:
                down.append(record.key)
        return LocalState(
            fence=self.lease.fence,
            store_stable=self._outage.store_stable,
            leaving=self.frontend.leaving,
            store_unreachable=self._routing_watch.store_unreachable
            or self._endpoints_watch.store_unreachable,
            loads=loads,
            down=down,
            presumed_draining=self.directory.presumed_draining_keys(),
            layer_updates=self.directory.layer_updates(),
            usage=self.budget.usage(),
            retries=self.budget.records(),
            demand=self.limits.demand_level(),
            limits=self.limits.statements(),
            leaving_endpoints=self.directory.leaving_notices(),
            demands=self.admission.demands(),
            customers=self.admission.customer_demands(),
            crashes=self.quarantine.evidence(),
            verdicts=self.quarantine.verdicts(),
            ended=self.quarantine.ended_requests(),
            runs=self.quarantine.runs(),
        )

    def _tell_urgent_news(self) -> None:
        self.membership.report()
        self.membership.push()

    def _probe_suspects(self, keys: list[int]) -> None:
        suspects = set(keys)
        endpoint_ids = []
        for record in self.directory.records.values():
            if record.key in suspects and not record.down:
                endpoint_ids.append(record.endpoint.id)
        self._prober.request_probes(endpoint_ids)

    async def _run_maintenance(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            for step in (
                self.admission.update,
                self.limits.issue,
                self.statements.expire,
                self.directory.process_deadlines,
                self._crashes.update,
                self.quarantine.update,
                self._update_remote_loads,
            ):
                with self._supervisor.contain("maintenance", step=step.__qualname__):
                    step()
            await self._pool.close_expired()

    def _update_remote_loads(self) -> None:
        self.directory.set_remote_loads(self.membership.peer_loads())

    async def _watch_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload()

    def _heard_at(self, endpoint: Endpoint) -> float:
        """Return when an endpoint was last heard, infinity once it can read no more."""
        if not self.directory.may_still_run(endpoint):
            return inf
        if self.directory.has_crashed(endpoint):
            return inf
        return self.directory.heard_at(endpoint)

    def _reload(self) -> None:
        try:
            settings = load_settings(self._path)
        except SettingsError as exc:
            logger.error("settings not reloaded", cause=str(exc))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self.budget.ratio = settings.retry.ratio
        self.budget.constant = settings.retry.constant
        self.budget.window_s = settings.retry.window_s
        self._timing.bounds = settings.bounds
        self.limits.cfg = settings.limits
        self.statements.cfg = settings.rest
        self.quarantine.cfg = settings.quarantine
        self.admission.configure(self.routing, settings.admission)
        logger.info("settings reloaded")

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as received:
            async for signum in received:
                if signum == signal.SIGHUP:
                    self._reload()
                elif not self.frontend.leaving:
                    assert self._task_group is not None
                    self._task_group.start_soon(self.leave)

    async def leave(self) -> None:
        """Shut down: serve while requests arrive or are open, then exit.

        Waits until the load balancer has removed this host, then for open requests
        until shortly before the end of ``leave.grace_s``. Those that have no response
        then are answered.
        """
        logger.info("leaving", open_requests=self.frontend.open_requests)
        started_at = time.monotonic()
        exit_at = started_at + self._settings.leave.grace_s - EXIT_MARGIN_S
        self.frontend.leave(started_at + DEREGISTRATION_S, exit_at)
        with self._supervisor.contain("leave"):
            await self.leadership.resign()
        await anyio.sleep(max(0.0, started_at + DEREGISTRATION_S - time.monotonic()))
        while self.frontend.open_requests and time.monotonic() < exit_at:
            self.frontend.close_idle()
            await anyio.sleep(0.05)
        await self.frontend.finish(time.monotonic() + FINISH_TIMEOUT_S)
        self.frontend.log_open(started_at)
        # The others learn what this process spent last.
        with self._supervisor.contain("leave"):
            self.membership.report()
            with anyio.move_on_after(LEASE_RELEASE_TIMEOUT_S):
                await self.lease.release()
        logger.info("router stops", open_requests=self.frontend.open_requests)
        assert self._task_group is not None
        self._task_group.cancel_scope.cancel()


__all__ = [
    "Router",
]
