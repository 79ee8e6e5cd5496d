"""Sums of the loads, the retry usage and the demands that hosts report."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from heapq import nlargest
from typing import TYPE_CHECKING

from msgspec import structs

from hemlockhall_router.membership.message import (
    ClassDemand,
    CustomerDemand,
    Load,
    RetryUsage,
    ServiceDemand,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Maximum number of loads in one message, one for each endpoint: those with the most
# tokens, as the size of a datagram is limited.
MAX_LOADS = 64
# Upper bound of ``event_age_ms``, in milliseconds, also sent if no event has arrived
# yet.
MAX_EVENT_AGE_MS = 60_000
# Maximum number of services in one message, and of priorities for each.
MAX_SERVICES = 16
MAX_CLASSES = 8
# Maximum number of customers in one message, and for each service and priority.
MAX_CUSTOMERS = 16
MAX_CLASS_CUSTOMERS = 8
# Highest figure of a demand, and the highest number that MessagePack packs in five
# bytes. It is over twice the tokens of 1,700 endpoints with a million each.
MAX_FIGURE = 2**32 - 1
MAX_PRIORITY = 99


def sum_loads(loads: Iterable[Load]) -> dict[int, Load]:
    """Return the sum of the loads of each endpoint, by the endpoint's key."""
    sums: dict[int, Load] = {}
    for load in loads:
        old = sums.get(load.endpoint)
        if old is None:
            sums[load.endpoint] = load
            continue
        sums[load.endpoint] = Load(
            load.endpoint,
            old.requests + load.requests,
            old.tokens + load.tokens,
            old.prefill_tokens + load.prefill_tokens,
            min(old.event_age_ms, load.event_age_ms),
        )
    return sums


def age_loads(loads: Iterable[Load], age_s: float) -> list[Load]:
    """Return the loads with ``age_s`` seconds added to the age of their events."""
    age_ms = int(age_s * 1000)
    if age_ms <= 0:
        return list(loads)
    result = []
    for load in loads:
        event_age_ms = min(MAX_EVENT_AGE_MS, load.event_age_ms + age_ms)
        result.append(
            Load(
                load.endpoint,
                load.requests,
                load.tokens,
                load.prefill_tokens,
                event_age_ms,
            )
        )
    return result


def sum_usage(usages: Iterable[RetryUsage]) -> list[RetryUsage]:
    """Return the sum of the retry budget usage of each service."""
    sums: dict[int, RetryUsage] = {}
    for usage in usages:
        old = sums.get(usage.service)
        if old is not None:
            usage = RetryUsage(
                usage.service,
                old.requests + usage.requests,
                old.retries + usage.retries,
                old.taken + usage.taken,
                old.recent + usage.recent,
            )
        sums[usage.service] = usage
    return list(sums.values())


def replace_retries(
    total: Iterable[RetryUsage], old: Iterable[RetryUsage], new: Iterable[RetryUsage]
) -> list[RetryUsage]:
    """Return a sum of usages in which the retries of one host are replaced."""
    changes: dict[int, int] = {}
    for usage in new:
        changes[usage.service] = usage.retries
    for usage in old:
        changes[usage.service] = changes.get(usage.service, 0) - usage.retries
    result = []
    for usage in total:
        retries = max(0, usage.retries + changes.get(usage.service, 0))
        result.append(structs.replace(usage, retries=retries))
    return result


def busiest(loads: Iterable[Load]) -> list[Load]:
    """Return the ``MAX_LOADS`` loads with the most tokens, highest first."""
    ordered = sorted(loads, key=lambda load: -load.tokens)
    return ordered[:MAX_LOADS]


def plausible_demands(demands: Iterable[ServiceDemand]) -> list[ServiceDemand]:
    """Return the demands of at most ``MAX_SERVICES`` services, without false figures.

    A figure out of range counts as 0 and not as the nearest bound: the highest number
    in flight or offered would take all room from the requests of the other hosts. A
    class with a priority out of range is left out.
    """
    result = []
    for demand in demands:
        if len(result) == MAX_SERVICES:
            break
        classes = [
            ClassDemand(cls.priority, _plausible(cls.offered))
            for cls in demand.classes[: MAX_PRIORITY + 1]
            if 0 <= cls.priority <= MAX_PRIORITY
        ]
        result.append(
            ServiceDemand(
                demand.service,
                _plausible(demand.in_flight),
                _plausible(demand.completed),
                _plausible(demand.sent),
                _plausible(demand.rejected),
                limit_classes(classes),
            )
        )
    return result


def plausible_customers(customers: Iterable[CustomerDemand]) -> list[CustomerDemand]:
    """Return at most ``MAX_CUSTOMERS`` customers, without those with false figures."""
    result = []
    for customer in customers:
        if len(result) == MAX_CUSTOMERS:
            break
        if not 0 <= customer.priority <= MAX_PRIORITY:
            continue
        if 0 <= customer.offered <= MAX_FIGURE:
            result.append(customer)
    return result


def sum_demands(demands: Iterable[ServiceDemand]) -> list[ServiceDemand]:
    """Return the sum of the demands of each service, those most in flight first.

    These are at most ``MAX_SERVICES`` services.
    """
    return FigureSums(demands, ()).demands()


def limit_classes(classes: Iterable[ClassDemand]) -> list[ClassDemand]:
    """Return at most ``MAX_CLASSES`` classes in order, the most urgent ones.

    What the less urgent ones ask for is added to the last.
    """
    ordered = sorted(classes, key=lambda cls: cls.priority)
    result = ordered[:MAX_CLASSES]
    for cls in ordered[MAX_CLASSES:]:
        last = result[-1]
        result[-1] = ClassDemand(last.priority, _bounded(last.offered + cls.offered))
    return result


def sum_customers(customers: Iterable[CustomerDemand]) -> list[CustomerDemand]:
    """Return the sum of the demands of the largest customers.

    These are at most ``MAX_CLASS_CUSTOMERS`` for each service and priority and
    ``MAX_CUSTOMERS`` in all. The largest customer of each service and priority comes
    first, then the second ones: figures of different services have different units.
    """
    return FigureSums((), customers).customers()


@dataclass(slots=True)
class _ServiceSum:
    """Sum of the demands of a service, with what is offered by priority."""

    in_flight: int = 0
    completed: int = 0
    sent: int = 0
    rejected: int = 0
    offered: dict[int, int] = field(default_factory=dict)

    def add(self, demand: ServiceDemand, sign: int = 1) -> None:
        """Add a demand, or subtract it if ``sign`` is -1."""
        self.in_flight += sign * demand.in_flight
        self.completed += sign * demand.completed
        self.sent += sign * demand.sent
        self.rejected += sign * demand.rejected
        for cls in demand.classes:
            offered = self.offered.get(cls.priority, 0) + sign * cls.offered
            self.offered[cls.priority] = offered

    def without(self, demand: ServiceDemand) -> _ServiceSum:
        """Return the sum without one of the demands in it."""
        result = replace(self, offered=dict(self.offered))
        result.add(demand, -1)
        return result

    def __bool__(self) -> bool:
        """Return whether any figure is not 0."""
        figures = (self.in_flight, self.completed, self.sent, self.rejected)
        return any(figures) or any(self.offered.values())

    def listed(self, service: int) -> ServiceDemand:
        """Return the sum as sent in messages."""
        classes = [
            ClassDemand(priority, _bounded(offered))
            for priority, offered in self.offered.items()
            if offered
        ]
        return ServiceDemand(
            service,
            _bounded(self.in_flight),
            _bounded(self.completed),
            _bounded(self.sent),
            _bounded(self.rejected),
            limit_classes(classes),
        )


class FigureSums:
    """Sums of the demands and customers of several hosts.

    The figures of one of them can be left out, for a digest to that host. Of the
    customers of each service and priority, twice those that are sent are kept.
    """

    def __init__(
        self, demands: Iterable[ServiceDemand], customers: Iterable[CustomerDemand]
    ) -> None:
        self._services: dict[int, _ServiceSum] = {}
        for demand in demands:
            self._services.setdefault(demand.service, _ServiceSum()).add(demand)
        sums: dict[tuple[int, int], dict[int, int]] = {}
        for customer in customers:
            by_key = sums.setdefault((customer.service, customer.priority), {})
            offered = by_key.get(customer.customer, 0) + customer.offered
            by_key[customer.customer] = offered
        self._customers: dict[tuple[int, int], dict[int, int]] = {}
        for class_key, by_key in sums.items():
            self._customers[class_key] = _largest(by_key, 2 * MAX_CLASS_CUSTOMERS)

    def demands(self, left_out: Iterable[ServiceDemand] = ()) -> list[ServiceDemand]:
        """Return the sum of each service, those most in flight first."""
        services = dict(self._services)
        for demand in left_out:
            services[demand.service] = services[demand.service].without(demand)
        used = [(key, total) for key, total in services.items() if total]
        used.sort(key=lambda item: (-item[1].in_flight, item[0]))
        return [total.listed(service) for service, total in used[:MAX_SERVICES]]

    def customers(
        self, left_out: Iterable[CustomerDemand] = ()
    ) -> list[CustomerDemand]:
        """Return the sums of the largest customers; see ``sum_customers``."""
        classes = dict(self._customers)
        for customer in left_out:
            class_key = (customer.service, customer.priority)
            by_key = classes[class_key]
            if customer.customer in by_key:
                offered = by_key[customer.customer] - customer.offered
                classes[class_key] = {**by_key, customer.customer: offered}
        ranked = []
        for (service, priority), by_key in classes.items():
            largest = _largest(by_key, MAX_CLASS_CUSTOMERS)
            for rank, (key, offered) in enumerate(largest.items()):
                if offered > 0:
                    demand = CustomerDemand(service, priority, key, _bounded(offered))
                    ranked.append((rank, priority, demand))
        ranked.sort(key=lambda item: item[:2])
        return [demand for _, _, demand in ranked[:MAX_CUSTOMERS]]


def _largest(by_key: dict[int, int], count: int) -> dict[int, int]:
    return dict(nlargest(count, by_key.items(), key=lambda item: item[1]))


def _plausible(figure: int) -> int:
    return figure if 0 <= figure <= MAX_FIGURE else 0


def _bounded(figure: int) -> int:
    return min(MAX_FIGURE, figure)


__all__ = [
    "MAX_CLASSES",
    "MAX_CLASS_CUSTOMERS",
    "MAX_CUSTOMERS",
    "MAX_EVENT_AGE_MS",
    "MAX_FIGURE",
    "MAX_LOADS",
    "MAX_SERVICES",
    "FigureSums",
    "age_loads",
    "busiest",
    "limit_classes",
    "plausible_customers",
    "plausible_demands",
    "replace_retries",
    "sum_customers",
    "sum_demands",
    "sum_loads",
    "sum_usage",
]
