"""Planner that orders endpoints to load the layers of the layout.

The layout assigns to each endpoint the layers that it should hold. One host plans it,
under a lease; in a store outage one may plan without the lease (see ``leadership``). An
order names the number of orders that the endpoint began before, and the lease's fencing
token. The endpoint refuses an order that arrives after newer ones, and can refuse one
with an older fencing token than it has seen.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.error import TransportError
from hemlockhall_router.process.dialect import DecodeError
from hemlockhall_router.version.layout import (
    endpoints_beyond_max_stages,
    is_complete,
    plan_layout,
)
from hemlockhall_router.version.path import MAX_STAGES

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.dialect import Dialect
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.process.leadership import Leadership
    from hemlockhall_router.process.lease import Lease
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.process.prober import Prober
    from hemlockhall_router.process.supervisor import Supervisor
    from hemlockhall_router.process.timing import Timing
    from hemlockhall_router.version.endpoint import Endpoint, LayerRange
    from hemlockhall_router.version.layout import GroupState
    from hemlockhall_router.version.replica import ReplicaDivision
    from hemlockhall_router.version.routing import Model, RoutingConfig

# Time between two plans.
PLAN_INTERVAL_S = 0.2
# The same while nothing is known to have changed.
IDLE_PLAN_INTERVAL_S = 1.0
# Concurrent orders for each load that the weight store serves at full speed. More
# would queue there and delay the loads that the layout needs first.
ORDERS_PER_LOAD = 8
# Each concurrent order takes connections of this host.
MAX_CONCURRENT_ORDERS = 128
# Time within which an endpoint accepts an order.
ORDER_TIMEOUT_S = 0.3
# Attempts to send an order that gets no response.
ORDER_ATTEMPTS = 3
# Time beyond the expected load time after which an order counts as lost.
LOAD_MARGIN_S = 3.0
# Time for which an order whose attempts all got no response stays pending.
UNCONFIRMED_ORDER_S = 1.5
# Time between two reports while an order is being executed.
REPORT_INTERVAL_S = 0.4
# Time without orders for an endpoint that refused one, is busy or sends no report.
ORDER_BACKOFF_S = 0.5


@dataclass(slots=True)
class PendingOrder:
    """An order whose layers the endpoint does not report yet.

    ``deadline`` is the monotonic time at which the order counts as lost, infinite while
    it is queued. ``immediate`` makes the endpoint drop layers without waiting for the
    streams on them. ``preceding_orders`` is the number of orders that the endpoint had
    begun when this one was ``sent``.
    """

    layers: LayerRange
    deadline: float = float("inf")
    immediate: bool = False
    sent: bool = False
    preceding_orders: int = 0


class Planner:
    """Plans the layout of each service while this host may send orders.

    Parameters
    ----------
    dialect : Dialect
        Encodes the orders.
    directory : Directory
        The known endpoints and their layers.
    leadership : Leadership
        Tells whether this host may plan.
    lease : Lease
        Provides the fencing token of orders.
    prober : Prober
        Fetches the endpoints' reports.
    metrics : Metrics
        Counts orders and refused plans.
    routing : callable
        Returns the configuration in force, or None before the first one.
    timing : Timing
        How long to wait for more endpoints before the first plan.
    supervisor : Supervisor
        Reports errors in the plan of one service, without an effect on the others.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        leadership: Leadership,
        lease: Lease,
        prober: Prober,
        metrics: Metrics,
        routing: Callable[[], RoutingConfig | None],
        timing: Timing,
        supervisor: Supervisor,
    ) -> None:
        self._supervisor = supervisor
        self._dialect = dialect
        self._directory = directory
        self._leadership = leadership
        self._lease = lease
        self._prober = prober
        self._metrics = metrics
        self._routing = routing
        self._timing = timing
        self._pending: dict[tuple[str, int], PendingOrder] = {}
        self._order_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        self._known_incarnations: dict[str, set[tuple[str, int]]] = {}
        self._settle_deadlines: dict[str, float] = {}
        self._backoff_deadlines: dict[str, float] = {}
        self._idle: dict[str, tuple[int, float]] = {}
        self._converged_groups: dict[str, set[GroupState]] = {}

    async def run(self) -> None:
        """Plan until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(PLAN_INTERVAL_S)
                if not await self._leadership.may_plan():
                    self._drop_queued()
                    continue
                routing = self._routing()
                if routing is None:
                    continue
                for service in routing.services.values():
                    if service.model is None:
                        continue
                    with self._supervisor.contain("plan", service=service.name):
                        self._plan_service(service.name, service.model, group)

    def _plan_service(
        self, service: str, model: Model, group: anyio.abc.TaskGroup
    ) -> None:
        now = time.monotonic()
        version, idle_deadline = self._idle.get(service, (-1, 0.0))
        if version == self._directory.version and now < idle_deadline:
            return
        members = [
            _without_foreign_layers(endpoint, model)
            for endpoint in self._directory.live_endpoints(service)
        ]
        self._track_members(service, members, now)
        assigned: dict[str, LayerRange | None] = {}
        for endpoint in members:
            assigned[endpoint.id] = self._assigned_layers(endpoint, now)
        started = any(layers is not None for layers in assigned.values())
        if not started and now < self._settle_deadlines.get(service, 0.0):
            return
        by_id = {endpoint.id: endpoint for endpoint in members}
        serving = {endpoint.id: endpoint.layers for endpoint in members}
        fixed = frozenset(
            endpoint_id
            for endpoint_id in by_id
            if self._is_fixed(by_id[endpoint_id], now)
        )
        division = self._directory.replica_index.division(service, model)
        # A replica with a gap serves no requests. Waiting for the streams on an
        # endpoint would keep the gap open until they end, many seconds under load; the
        # few streams are moved instead.
        immediate = not is_complete(model, members, serving, division)
        converged = self._converged_groups.setdefault(service, set())
        orders = plan_layout(
            model, members, assigned, serving, fixed, division, converged
        )
        if not orders:
            if not fixed:
                idle_deadline = now + IDLE_PLAN_INTERVAL_S
                self._idle[service] = (self._directory.version, idle_deadline)
            return
        planned = {**assigned, **orders}
        unroutable = self._unroutable(service, model, members, planned, division)
        for endpoint_id, layers in orders.items():
            if endpoint_id in fixed or endpoint_id in unroutable:
                continue
            # All orders of a plan become pending together. Otherwise the next plan
            # would see a replica that is ordered in part, and repair its gaps.
            order = PendingOrder(layers, immediate=immediate)
            endpoint = by_id[endpoint_id]
            self._pending[endpoint.incarnation] = order
            group.start_soon(self._execute_order, endpoint, order, model)

    def _unroutable(
        self,
        service: str,
        model: Model,
        members: list[Endpoint],
        planned: dict[str, LayerRange | None],
        division: ReplicaDivision,
    ) -> frozenset[str]:
        """Return the endpoints whose paths would have too many stages.

        The event "plan refused" is logged and counted if there are any. Only their
        orders are left out; the others of the plan are sent.
        """
        unroutable = endpoints_beyond_max_stages(model, members, planned, division)
        if unroutable:
            self._metrics.count("plans_refused", "too_many_parts")
            logger.error(
                "plan refused",
                service=service,
                endpoints=len(unroutable),
                cause=f"its shortest path has more than {MAX_STAGES} stages; "
                "add endpoints with more memory",
            )
        return unroutable

    def _drop_queued(self) -> None:
        """Drop the orders that were not sent yet, as another host plans now."""
        for incarnation, order in list(self._pending.items()):
            if order.deadline == float("inf"):
                del self._pending[incarnation]

    def _track_members(self, service: str, members: list[Endpoint], now: float) -> None:
        present = {endpoint.incarnation for endpoint in members}
        known = self._known_incarnations.get(service, set())
        if present - known:
            # Endpoints that start together appear within one heartbeat. A plan for
            # only some of them would have to be redone.
            self._settle_deadlines[service] = now + self._timing.settle_time_s
        self._known_incarnations[service] = present
        for incarnation in known - present:
            self._pending.pop(incarnation, None)

    def _assigned_layers(self, endpoint: Endpoint, now: float) -> LayerRange | None:
        """Return an endpoint's layers, counting a pending order as done."""
        order = self._pending.get(endpoint.incarnation)
        if order is None:
            return endpoint.layers
        if endpoint.layers == order.layers or now >= order.deadline:
            del self._pending[endpoint.incarnation]
            return endpoint.layers
        return order.layers

    def _is_fixed(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint can take no other order now."""
        if endpoint.incarnation in self._pending:
            return True
        if not self._prober.may_call(endpoint):
            return True
        return now < self._backoff_deadlines.get(endpoint.id, 0.0)

    async def _execute_order(
        self, endpoint: Endpoint, order: PendingOrder, model: Model
    ) -> None:
        with self._supervisor.contain("order", endpoint=endpoint.id):
            await self._run_order(endpoint, order, model)
            return
        self._fail_order(endpoint, order, "internal error")

    async def _run_order(
        self, endpoint: Endpoint, order: PendingOrder, model: Model
    ) -> None:
        """Send a queued order and wait until it is executed.

        An order without a response is sent again, as it may be lost or be executed
        seconds later. Both name the same number of preceding orders, so the endpoint
        executes one of them and refuses the other.
        """
        limit = min(
            MAX_CONCURRENT_ORDERS, ORDERS_PER_LOAD * max(1, model.concurrent_loads)
        )
        self._order_limiter.total_tokens = limit
        async with self._order_limiter:
            if self._pending.get(endpoint.incarnation) is not order:
                return
            concurrency = limit / max(1, model.concurrent_loads)
            load_s = (
                model.load_all_layers_s * order.layers.size / model.layers * concurrency
            )
            order.deadline = time.monotonic() + load_s + LOAD_MARGIN_S
            for _ in range(ORDER_ATTEMPTS):
                if await self._send_order(endpoint, order):
                    return
            order.deadline = time.monotonic() + UNCONFIRMED_ORDER_S

    async def _send_order(self, endpoint: Endpoint, order: PendingOrder) -> bool:
        """Send an order once; return whether its outcome is known."""
        if not self._directory.may_send(endpoint):
            self._fail_order(endpoint, order, "endpoint leaves")
            return True
        try:
            report = await self._prober.fetch_report(endpoint)
        except (TransportError, DecodeError) as exc:
            self._fail_order(endpoint, order, f"no report: {exc}")
            self._prober.request_probes([endpoint.id])
            return True
        if report.layers == order.layers:
            self._directory.apply_report(endpoint.id, report)
            return True
        if report.busy and order.sent and report.order_count > order.preceding_orders:
            await self._await_completion(endpoint, order)
            return True
        if report.busy:
            self._fail_order(endpoint, order, "busy")
            return True
        if not self._directory.may_send(endpoint):
            self._fail_order(endpoint, order, "endpoint leaves")
            return True
        order.sent, order.preceding_orders = True, report.order_count
        call = self._dialect.assign_layers_call(
            order.layers,
            report.order_count,
            self._lease.fence,
            immediate=order.immediate,
        )
        try:
            deadline = time.monotonic() + ORDER_TIMEOUT_S
            response = await self._prober.call(endpoint, call, deadline)
        except TransportError as exc:
            self._record_outcome(endpoint, order, f"no answer: {exc}")
            return False
        status = response.head.status
        self._record_outcome(endpoint, order, str(status))
        if status not in (200, 202):
            self._fail_order(endpoint, order, f"status {status}")
            return True
        await self._await_completion(endpoint, order)
        return True

    async def _await_completion(self, endpoint: Endpoint, order: PendingOrder) -> None:
        while self._pending.get(endpoint.incarnation) is order:
            await anyio.sleep(REPORT_INTERVAL_S)
            record = self._directory.records.get(endpoint.id)
            if record is not None and record.endpoint.layers == order.layers:
                return
            try:
                report = await self._prober.fetch_report(endpoint)
            except (TransportError, DecodeError):
                self._prober.request_probes([endpoint.id])
                return
            if not report.busy:
                self._directory.apply_report(endpoint.id, report)
                if self._pending.get(endpoint.incarnation) is order:
                    del self._pending[endpoint.incarnation]
                return

    def _fail_order(self, endpoint: Endpoint, order: PendingOrder, cause: str) -> None:
        if self._pending.get(endpoint.incarnation) is order:
            del self._pending[endpoint.incarnation]
        self._backoff_deadlines[endpoint.id] = time.monotonic() + ORDER_BACKOFF_S
        self._record_outcome(endpoint, order, cause)

    def _record_outcome(
        self, endpoint: Endpoint, order: PendingOrder, outcome: str
    ) -> None:
        self._metrics.count("orders", outcome.split(":")[0])
        logger.info(
            "order",
            endpoint=endpoint.id,
            layers=f"{order.layers.first}-{order.layers.end}",
            outcome=outcome,
            fence=self._lease.fence,
        )


def _without_foreign_layers(endpoint: Endpoint, model: Model) -> Endpoint:
    """Return an endpoint without its layers if the model has no such layers.

    An entry may state any, and those of an earlier configuration are not served.
    """
    if endpoint.layers is None or endpoint.layers.end <= model.layers:
        return endpoint
    return replace(endpoint, layers=None)


__all__ = [
    "Planner",
]
