"""Admission of requests to services under overload control."""

from __future__ import annotations

import random
import time
from bisect import bisect_left
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import partial
from heapq import nlargest
from math import inf, isfinite
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from hemlockhall_router.membership.message import (
    ClassDemand,
    CustomerDemand,
    ServiceDemand,
    customer_key,
    service_key,
)
from hemlockhall_router.policy.admission import (
    FIGURES_DELAY_S,
    FLOW_TIME_CONSTANT_S,
    NAMED_CUSTOMERS,
    ArrivalGrowth,
    Credit,
    Decision,
    EarlyUpdate,
    Rate,
    ServiceAdmission,
    ServiceFigures,
    StatedTime,
    combine,
    extrapolate,
    name_customers,
)
from hemlockhall_router.policy.priority import (
    LEAST_URGENT,
    combine_priorities,
    usable_priority,
)
from hemlockhall_router.policy.return_time import ReturnSchedule
from hemlockhall_router.policy.room import Room, plain_room, stream_room
from hemlockhall_router.request.reason import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.process.directory import Directory, EndpointRecord
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.process.setting import AdmissionSection
    from hemlockhall_router.request.relay import RoutedRequest
    from hemlockhall_router.version.routing import Route, RoutingConfig, Service

# Fraction of the limit that one request counts as at most. Callers state their tokens
# themselves, and a false statement would take the room of all others.
MAX_COST_FRACTION = 0.25
# Customers that sent a request within this time count as those who may send the next
# ones.
CUSTOMER_WINDOW_S = 60.0
# Time after its last request in which a customer has a demand that matters.
RATE_WINDOW_S = 3.0
# Fraction of the admitted requests that are expected to be those of returning callers.
RETURNING_FRACTION = 0.5
# Rate below which a priority counts as without demand, in cost per second.
MIN_RATE = 1e-3
# Weight of the newest request in the average cost.
MEAN_COST_WEIGHT = 1 / 64
# Names in a log line about a configuration.
MAX_LOGGED_NAMES = 10
# Groups of ranks that differ in how many retries they may take.
TIERS = 3
# Time after its start in which a host refuses nothing unless it has heard others. It
# has no history, and hosts that start together would each refuse what others admit.
STARTUP_S = 3.0
# Customer of a request without one.
NO_CUSTOMER = 0

# Bits of a combined priority.
PRIORITY_BITS = 7

ADMITTED = Decision(admitted=True)


class Peers(Protocol):
    """Figures of the other hosts."""

    def peer_demands(self) -> tuple[list[ServiceDemand], float]:
        """Return the sum of the other hosts' demands, and its age in seconds."""
        ...

    def peer_customers(self) -> tuple[list[CustomerDemand], float]:
        """Return the sum of the other hosts' customers, and its age in seconds."""
        ...

    def known_hosts(self) -> int:
        """Return the number of hosts that the demands cover, with this one."""
        ...

    def host_count(self) -> int:
        """Return the largest number of hosts that may be running, with this one."""
        ...

    def local_host_count(self) -> int:
        """Return the number of hosts in this data centre, with this one."""
        ...


@dataclass(slots=True)
class _Customer(Credit):
    """A customer's requests of one priority to a service at this host."""

    offered: Rate = field(default_factory=lambda: Rate(FLOW_TIME_CONSTANT_S))


@dataclass(slots=True)
class _ClassCustomers:
    """Customers of one priority of a service at this host.

    ``rates`` are the demands of those who sent requests just now, ``seen`` is the
    number of those who did within ``CUSTOMER_WINDOW_S``.
    """

    rates: dict[int, float] = field(default_factory=dict)
    seen: int = 0


@dataclass(slots=True)
class _Class:
    """Requests of one priority at this host.

    ``offered`` is cost per second, ``arrivals`` and ``admitted`` are requests per
    second.
    """

    offered: Rate = field(default_factory=lambda: Rate(FLOW_TIME_CONSTANT_S))
    arrivals: Rate = field(default_factory=lambda: Rate(FLOW_TIME_CONSTANT_S))
    admitted: Rate = field(default_factory=Rate)


@dataclass(slots=True)
class _Service:
    """A service under overload control, and what this host counts of it.

    ``priorities`` are those in the configuration, in order, ``objective_s`` is the
    shortest latency objective of its routes. ``largest`` has the largest customers of
    each priority while room is short. ``offered`` is what all hosts were offered at the
    last update, ``room`` and ``peers`` are its room and the other hosts' figures,
    ``growing`` the priorities of which this host's arrivals have grown
    since the other hosts' figures. ``mean_cost`` is that of the requests of callers.
    """

    name: str
    key: int
    service: Service | None
    priorities: tuple[int, ...]
    objective_s: float
    law: ServiceAdmission = field(default_factory=ServiceAdmission)
    growth: ArrivalGrowth = field(default_factory=ArrivalGrowth)
    early: EarlyUpdate = field(default_factory=EarlyUpdate)
    room: Room = Room(0.0, 0, 0)
    peers: ServiceFigures = field(default_factory=lambda: ServiceFigures(0))
    schedule: ReturnSchedule = field(default_factory=ReturnSchedule)
    classes: dict[int, _Class] = field(default_factory=dict)
    stated: dict[str, StatedTime] = field(default_factory=dict)
    largest: dict[int, list[tuple[int, float]]] = field(default_factory=dict)
    offered: dict[int, float] = field(default_factory=dict)
    growing: set[int] = field(default_factory=set)
    mean_cost: float = 0.0
    in_flight: int = 0
    completed: Rate = field(default_factory=lambda: Rate(FLOW_TIME_CONSTANT_S))
    sent: Rate = field(default_factory=Rate)
    rejected: Rate = field(default_factory=Rate)

    def figures(self, now: float) -> ServiceFigures:
        """Return the figures of this host."""
        offered = {}
        for priority, cls in self.classes.items():
            rate = cls.offered.read(now)
            if rate > MIN_RATE:
                offered[priority] = rate
        return ServiceFigures(
            1,
            self.in_flight,
            self.completed.read(now),
            self.sent.read(now),
            self.rejected.read(now),
            offered,
        )

    def cost(self, request: RoutedRequest) -> int:
        """Return the cost of a request: its expected tokens, or 1 without a model."""
        if request.service.model is None:
            return 1
        tokens = max(1, request.expected_tokens)
        if self.law.limit > 0:
            tokens = min(tokens, max(1, int(self.law.limit * MAX_COST_FRACTION)))
        return tokens

    def record_cost(self, cost: int) -> None:
        """Average the cost of requests; called for each one."""
        if not self.mean_cost:
            self.mean_cost = self._typical_cost() or float(cost)
        self.mean_cost += MEAN_COST_WEIGHT * (cost - self.mean_cost)

    def _typical_cost(self) -> float:
        model = self.service.model if self.service is not None else None
        if model is None:
            return 0.0
        return model.typical_prompt_tokens + model.typical_output_tokens / 2

    def update_room(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Compute the room of its endpoints."""
        service = self.service
        if service is not None and service.model is not None:
            self.room = stream_room(
                records, service.model, service.slots, now, self.mean_cost
            )
        else:
            self.room = plain_room(records, self.objective_s, now)


class Admission:
    """Decides which requests are sent to endpoints, and which are refused at once.

    Overload control applies to a service if it is enabled, and if the routes to the
    service have different priorities or the configuration has customers.

    Parameters
    ----------
    directory : Directory
        The known endpoints.
    peers : Peers
        The other hosts' figures.
    metrics : Metrics
        Counts decisions; has gauges of each service.
    cfg : AdmissionSection
        The settings; replaced by ``configure``.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        metrics: Metrics,
        cfg: AdmissionSection,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self._cfg = cfg
        self._clock = clock
        self._services: dict[str, _Service] = {}
        # Service and cost of each request in flight, by the id of the object. A new
        # configuration may change whether overload control applies meanwhile.
        self._begun: dict[int, tuple[_Service, int]] = {}
        # The least recently used customer comes first.
        self._customers: OrderedDict[int, _Customer] = OrderedDict()
        self._peers_age_s = inf
        self._peers_heard_at = clock()
        self._hosts_known = self._max_hosts = 1
        self._startup_deadline = clock() + STARTUP_S

    def configure(self, routing: RoutingConfig | None, cfg: AdmissionSection) -> None:
        """Apply a routing configuration and settings."""
        self._cfg = cfg
        for service in self._services.values():
            self._remove_gauges(service)
        old, self._services = self._services, {}
        if routing is not None and cfg.enabled:
            self._services = _find_services(routing, old)
            names = {customer.name for customer in routing.customers.values()}
            self._customer_count = len(names)
        for service in self._services.values():
            self._add_gauges(service)
        if routing is not None and cfg.enabled:
            _log_unusable_priorities(routing)

    def applies(self, service: str) -> bool:
        """Return whether overload control acts on a service."""
        return service in self._services

    def sent_priority(self, request: RoutedRequest) -> int | None:
        """Return the priority to send to endpoints with a request, None for none.

        It is the rank, from 0 to ``LEAST_URGENT``, where requests to the service differ
        in it.
        """
        found = self._services.get(request.service.name)
        if found is None or len(found.priorities) < 2:
            return None
        return min(LEAST_URGENT, self.rank(request))

    def short(self, service: str) -> bool:
        """Return whether more is asked of a service than there is room for."""
        found = self._services.get(service)
        return found is not None and found.law.short

    def rank(self, request: RoutedRequest) -> int:
        """Return the rank of a request's priority in its service, 0 the most urgent."""
        found = self._services.get(request.service.name)
        if found is None:
            return 0
        return bisect_left(found.priorities, request.priority)

    def tier(self, request: RoutedRequest) -> int:
        """Return the third of its service's ranks that a request is in, 0 to 2.

        0 has the most urgent ranks; it is also that of a service with a single rank.
        """
        found = self._services.get(request.service.name)
        if found is None or not found.priorities:
            return 0
        rank = min(self.rank(request), len(found.priorities) - 1)
        return rank * TIERS // len(found.priorities)

    def decide(self, request: RoutedRequest) -> Decision:
        """Decide whether a request that has just arrived is sent to an endpoint."""
        service = self._services.get(request.service.name)
        if service is None:
            return ADMITTED
        now = self._clock()
        priority = request.priority
        cost = service.cost(request)
        cls = service.classes.get(priority)
        if cls is None:
            cls = service.classes[priority] = _Class()
        cls.offered.add(now, cost)
        cls.arrivals.add(now, 1)
        service.record_cost(cost)
        if service.early.is_due(now):
            self._update_service(service, now)
            self._divide([service], now, RATE_WINDOW_S)
        key = _customer_of(request)
        customer = self._customer(service, priority, key)
        customer.offered.add(now, cost)
        stated = service.stated.get(request.route.name)
        if stated is None:
            stated = service.stated[request.route.name] = StatedTime()
        returning = stated.is_returning(now, request.deadline - now)
        fraction = service.law.fraction(priority, key)
        admitted = customer.admit(fraction, returning=returning)
        label = "admitted" if admitted else "refused"
        self._metrics.count("admission", f"returning_{label}" if returning else label)
        if admitted:
            cls.admitted.add(now, 1)
            return ADMITTED
        retry_after_s = self.retry_after_s(request)
        self._log_refusal(request, service, fraction, retry_after_s)
        return Decision(admitted=False, retry_after_s=retry_after_s)

    def retry_after_s(self, request: RoutedRequest) -> float:
        """Return the seconds after which to tell a refused caller to come back."""
        service = self._services.get(request.service.name)
        if service is None:
            return 0.0
        now = self._clock()
        cls = service.classes.get(request.priority)
        rate = cls.admitted.read(now) * RETURNING_FRACTION if cls is not None else 0.0
        return service.schedule.next_s(
            now, self.rank(request), rate, request.deadline - now
        )

    def begin(self, request: RoutedRequest) -> None:
        """Begin to count a request as in flight."""
        service = self._services.get(request.service.name)
        if service is None:
            return
        cost = service.cost(request)
        self._begun[id(request)] = (service, cost)
        service.in_flight += cost

    def end(self, request: RoutedRequest) -> None:
        """Stop counting a request as in flight; called once after ``begin``."""
        begun = self._begun.pop(id(request), None)
        if begun is None:
            return
        service, cost = begun
        service.in_flight -= cost
        if request.completed:
            service.completed.add(self._clock(), cost)

    def record_sent(self, service: str) -> None:
        """Count a request that is sent to an endpoint."""
        found = self._services.get(service)
        if found is not None:
            found.sent.add(self._clock(), 1)

    def record_rejected(self, service: str) -> None:
        """Count a request that an endpoint rejected because it had no room."""
        found = self._services.get(service)
        if found is not None:
            found.rejected.add(self._clock(), 1)

    def update(self) -> None:
        """Update the fractions of all services; called every ``UPDATE_INTERVAL_S``."""
        if not self._services:
            return
        now = self._clock()
        demands, self._peers_age_s = self._peers.peer_demands()
        heard = isfinite(self._peers_age_s)
        self._hosts_known = self._peers.known_hosts() if heard else 1
        self._max_hosts = self._peers.host_count()
        if heard:
            self._peers_heard_at = now - self._peers_age_s
            self._startup_deadline = -inf
        peer_demands = {demand.service: demand for demand in demands} if heard else {}
        records = self._records_by_service()
        for service in self._services.values():
            service.update_room(records.get(service.name, ()), now)
            demand = peer_demands.get(service.key)
            service.peers = _peer_figures(demand, self._hosts_known - 1)
            self._update_service(service, now)
        self._divide(list(self._services.values()), now)

    def demands(self) -> list[ServiceDemand]:
        """Return this host's demands, for the other hosts."""
        now = self._clock()
        result = []
        for service in self._services.values():
            figures = service.figures(now)
            classes = []
            for priority, offered in figures.offered.items():
                classes.append(ClassDemand(priority, _round(offered)))
            demand = ServiceDemand(
                service.key,
                service.in_flight,
                _round(figures.completed),
                _round(figures.sent),
                _round(figures.rejected),
                classes,
            )
            if classes or demand.in_flight or demand.completed or demand.sent:
                result.append(demand)
        return result

    def customer_demands(self) -> list[CustomerDemand]:
        """Return this host's largest customers of services without enough room."""
        result = []
        for service in self._services.values():
            for priority, largest in service.largest.items():
                for key, offered in largest:
                    amount = _round(offered)
                    if amount:
                        result.append(
                            CustomerDemand(service.key, priority, key, amount)
                        )
        return result

    def _update_service(self, service: _Service, now: float) -> None:
        if self._max_hosts > 1 and now < self._startup_deadline:
            return
        law, peers = service.law, service.peers
        own = service.figures(now)
        arrivals, peers_mean = {}, {}
        for priority, offered in own.offered.items():
            arrivals[priority] = rate = service.classes[priority].arrivals.read(now)
            per_host = peers.offered.get(priority, 0.0) / max(1, peers.hosts)
            peers_mean[priority] = per_host * rate / offered
        service.early.updated(now, sum(arrivals.values()))
        elapsed_s = now - self._peers_heard_at + FIGURES_DELAY_S
        growth = service.growth.update(now, arrivals, peers_mean, elapsed_s)
        if peers.hosts:
            fractions = law.mean_fractions(now, elapsed_s)
            local_hosts = min(self._hosts_known, self._peers.local_host_count())
            local_fraction = (local_hosts - 1) / max(1, self._hosts_known - 1)
            peers = extrapolate(
                peers, growth, fractions, elapsed_s, local_fraction, service.room.rate
            )
        figures = combine(own, peers)
        was_short = law.short
        room = service.room
        law.update(now, room.limit, figures, self._max_hosts, self._cfg, room.rate)
        service.offered = figures.offered
        service.growing = {key for key, factor in growth.items() if factor > 1.0}
        if not law.short:
            service.largest = {}
        if law.short != was_short:
            self._log_change(service, figures)

    def _divide(
        self, services: list[_Service], now: float, window_s: float = CUSTOMER_WINDOW_S
    ) -> None:
        """Divide what each priority may use among its customers.

        ``window_s`` bounds the time of their last requests. Updates that are brought
        forward use a short one, as they may be many.
        """
        short = [service for service in services if service.law.short]
        if not short:
            return
        listed = self._listed_customers()
        own = self._own_customers(short, now, window_s)
        for service in short:
            service.largest = {}
            for priority, demand in service.offered.items():
                class_key = _class_key(service.key, priority)
                customers = own[class_key]
                service.largest[priority] = nlargest(
                    NAMED_CUSTOMERS, customers.rates.items(), key=lambda item: item[1]
                )
                cls = service.classes.get(priority)
                offered = cls.offered.read(now) if cls is not None else 0.0
                # What other hosts named before a jump says nothing about it.
                named = name_customers(
                    customers.rates,
                    {} if priority in service.growing else listed.get(class_key, {}),
                    demand / offered if offered > MIN_RATE else 0.0,
                )
                others = customers.seen - sum(key in customers.rates for key in named)
                # Each host sees some of them only. With too few, each would seem to ask
                # for more than its share.
                configured = self._customer_count - len(named)
                others = max(others, min(configured, others * self._hosts_known))
                service.law.divide(priority, demand, named, others)

    def _listed_customers(self) -> dict[int, dict[int, float]]:
        """Return the customers that other hosts name, by service and priority."""
        demands, age_s = self._peers.peer_customers()
        listed: dict[int, dict[int, float]] = {}
        if not isfinite(age_s):
            return listed
        for demand in demands:
            class_key = _class_key(demand.service, demand.priority)
            listed.setdefault(class_key, {})[demand.customer] = float(demand.offered)
        return listed

    def _own_customers(
        self, services: list[_Service], now: float, window_s: float
    ) -> dict[int, _ClassCustomers]:
        """Return this host's customers of services, by service and priority."""
        found: dict[int, _ClassCustomers] = {}
        for service in services:
            for priority in service.offered:
                found[_class_key(service.key, priority)] = _ClassCustomers()
        for key, customer in reversed(self._customers.items()):
            age_s = now - customer.offered.at
            if age_s > window_s:
                break
            customers = found.get(key >> 32)
            if customers is None:
                continue
            customers.seen += 1
            if age_s < RATE_WINDOW_S:
                customers.rates[key & 0xFFFFFFFF] = customer.offered.read(now)
        return found

    def _customer(self, service: _Service, priority: int, key: int) -> _Customer:
        full_key = _class_key(service.key, priority) << 32 | key
        customer = self._customers.get(full_key)
        if customer is not None:
            self._customers.move_to_end(full_key)
            return customer
        while len(self._customers) >= self._cfg.max_customers:
            self._customers.popitem(last=False)
        customer = _Customer(random.random())  # noqa: S311
        self._customers[full_key] = customer
        return customer

    def _records_by_service(self) -> dict[str, list[EndpointRecord]]:
        found: dict[str, list[EndpointRecord]] = {}
        for record in self._directory.records.values():
            name = record.endpoint.service
            if name in self._services:
                found.setdefault(name, []).append(record)
        return found

    def _log_change(self, service: _Service, figures: ServiceFigures) -> None:
        law, room = service.law, service.room
        logger.info(
            "room is short" if law.short else "room is enough",
            service=service.name,
            limit=round(law.limit),
            in_flight=round(law.in_flight),
            capacity=round(law.capacity),
            offered=round(sum(figures.offered.values())),
            fill=round(law.fill, 2),
            endpoints=room.endpoints,
            withheld=room.withheld,
            hosts=figures.hosts,
            age_ms=_age_ms(self._peers_age_s),
        )

    def _log_refusal(
        self,
        request: RoutedRequest,
        service: _Service,
        fraction: float,
        retry_after_s: float,
    ) -> None:
        logger.info(
            "request refused",
            request=request.id.decode("latin-1"),
            reason=RefusalReason.NO_ROOM.value,
            route=request.route.name,
            customer=request.customer.name if request.customer else "",
            priority=request.priority,
            fraction=round(fraction, 3),
            in_flight=round(service.law.in_flight),
            limit=round(service.law.limit),
            age_ms=_age_ms(self._peers_age_s),
            retry_after_s=round(retry_after_s, 2),
        )

    def _add_gauges(self, service: _Service) -> None:
        add, name, law = self._metrics.add_gauge, service.name, service.law
        add("admission_limit", name, lambda: law.limit)
        add("admission_in_flight", name, lambda: law.in_flight)
        add("admission_capacity", name, lambda: law.capacity)
        add("admission_fill", name, lambda: law.fill)
        add("admission_short", name, lambda: float(law.short))
        add("admission_peer_age_seconds", name, self._since_peers_heard_s)
        add("admission_hosts_known", name, lambda: float(self._hosts_known))
        for priority in service.priorities:
            label = f"{name}/{priority}"
            add("admission_fraction", label, partial(law.fraction_of, priority))

    def _remove_gauges(self, service: _Service) -> None:
        self._metrics.remove_gauges(service.name, "admission_")
        for priority in service.priorities:
            self._metrics.remove_gauges(
                f"{service.name}/{priority}", "admission_fraction"
            )

    def _since_peers_heard_s(self) -> float:
        return self._clock() - self._peers_heard_at


def _find_services(
    routing: RoutingConfig, old: dict[str, _Service]
) -> dict[str, _Service]:
    """Return the services that overload control applies to.

    Those that it applied to before keep their state.
    """
    has_customers = routing.keys_required and bool(routing.customers)
    # Priorities of the customers; None stands for those without one.
    own_priorities: set[int | None] = set()
    for customer in routing.customers.values():
        if customer.priority is None:
            own_priorities.add(None)
            continue
        own_priorities.add(usable_priority(customer.priority))
    by_service: dict[str, list[Route]] = {}
    for routes in routing.routes.values():
        for route in routes.values():
            for target in route.targets:
                by_service.setdefault(target.service, []).append(route)
    found = {}
    for name, service_routes in by_service.items():
        priorities = {usable_priority(route.priority) for route in service_routes}
        if len(priorities) < 2 and not has_customers:
            continue
        combined = set()
        keyless = not has_customers or any(route.public for route in service_routes)
        for own in own_priorities | ({None} if keyless else set()):
            for priority in priorities:
                combined.add(combine_priorities(own, priority))
        ordered = tuple(sorted(combined))
        objective_s = _objective_s(service_routes)
        service = old.get(name)
        if service is None:
            service = _Service(name, service_key(name), None, ordered, objective_s)
        service.service = routing.services.get(name)
        service.priorities = ordered
        service.objective_s = objective_s
        names = {route.name for route in service_routes}
        for route_name in list(service.stated):
            if route_name not in names:
                del service.stated[route_name]
        found[name] = service
    return found


def _objective_s(routes: Iterable[Route]) -> float:
    """Return the shortest latency objective, or time limit if none is stated."""
    objectives = []
    for route in routes:
        if route.latency_objective_s > 0:
            objectives.append(route.latency_objective_s)
    return min(objectives or [route.timeout_s for route in routes])


def _log_unusable_priorities(routing: RoutingConfig) -> None:
    names = []
    for routes in routing.routes.values():
        for route in routes.values():
            if usable_priority(route.priority) != route.priority:
                names.append(route.name)
    customers = {customer.name: customer for customer in routing.customers.values()}
    for name, customer in customers.items():
        if customer.priority is None:
            continue
        if usable_priority(customer.priority) != customer.priority:
            names.append(name)
    if names:
        logger.warning(
            "priorities out of range",
            version=routing.version,
            count=len(names),
            names=names[:MAX_LOGGED_NAMES],
            fix=f"state a whole number from 0 to {LEAST_URGENT}",
        )


def _peer_figures(demand: ServiceDemand | None, hosts: int) -> ServiceFigures:
    if demand is None:
        return ServiceFigures(hosts)
    return ServiceFigures(
        hosts,
        demand.in_flight,
        demand.completed,
        demand.sent,
        demand.rejected,
        {cls.priority: float(cls.offered) for cls in demand.classes},
    )


def _customer_of(request: RoutedRequest) -> int:
    if request.customer is None:
        return NO_CUSTOMER
    return customer_key(request.customer.name)


def _class_key(service: int, priority: int) -> int:
    return service << PRIORITY_BITS | priority


def _round(amount: float) -> int:
    """Round at random so that the mean stays.

    The sum over hundreds of hosts with less than one request a second would otherwise
    be 0.
    """
    return int(amount + random.random())  # noqa: S311


def _age_ms(age_s: float) -> int | None:
    """Return an age in milliseconds, None if there are no figures."""
    return int(age_s * 1000) if isfinite(age_s) else None


__all__ = [
    "STARTUP_S",
    "Admission",
    "Decision",
    "Peers",
]
