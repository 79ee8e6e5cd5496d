"""Bounds of figures for overload control that differ much from those of other hosts.

A false figure of one host could stop service at all: in a simulation of 28 hosts, one
that reported 1,000 requests in flight took all room. Yet callers may reach one or two
hosts only, so high figures are not false as such. A host bounds its own requests by its
own figures, which it knows exactly, whatever the others take them for.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import ceil
from typing import TYPE_CHECKING

from hemlockhall_router.membership.message import ClassDemand, ServiceDemand

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.membership.message import CustomerDemand

# A figure counts as at most this many times the highest one of the other hosts, with
# the same multiple of what is in flight, completed and sent.
MAX_RATIO = 3
# The same for what callers ask for, most of which a host refuses after a jump.
MAX_OFFERED_RATIO = 10
# Numbers of the figures of a service; those of what is offered are the priorities.
IN_FLIGHT, COMPLETED, SENT, REJECTED = -4, -3, -2, -1

# Service and number of a figure.
Key = tuple[int, int]


@dataclass(slots=True, frozen=True)
class Source:
    """Figures that arrived at a time from a host, or from a whole data centre.

    ``host`` is empty for a data centre.
    """

    host: str
    demands: list[ServiceDemand]
    customers: list[CustomerDemand]
    hosts: int
    received_at: float


@dataclass(slots=True)
class _Highest:
    """The highest values of a figure, of sources and as means of their hosts."""

    value: float = 0.0
    source: int = 0
    next_value: float = 0.0
    mean: float = 0.0
    mean_source: int = 0
    next_mean: float = 0.0

    def add(self, value: int, source: int, hosts: int) -> None:
        """Add the figure of a source."""
        if value > self.value:
            self.value, self.source, self.next_value = value, source, self.value
        elif value > self.next_value:
            self.next_value = value
        mean = value / hosts
        if mean > self.mean:
            self.mean, self.mean_source, self.next_mean = mean, source, self.mean
        elif mean > self.next_mean:
            self.next_mean = mean

    @property
    def ratio(self) -> float:
        """The highest value, divided by the next one."""
        return self.value / max(1.0, self.next_value)

    @property
    def mean_of_others(self) -> float:
        """The highest mean of the sources but the one with the highest value."""
        own = self.mean_source == self.source
        return self.next_mean if own else self.mean


def bound_reports(reports: list[Source]) -> list[Source]:
    """Return the reports of single hosts, each figure bounded by those of the others.

    A host that has most of the callers has most of what is in flight, completed and
    sent. A figure is false if it is higher than at least two of these explain.
    """
    highest = _highest_of(reports)
    bounds: dict[int, dict[Key, int]] = {}
    for (service, number), found in highest.items():
        allowed = MAX_RATIO if number < 0 else MAX_OFFERED_RATIO
        if found.ratio <= allowed:
            continue
        allowed *= _skew(service, found.source, highest)
        if found.ratio > allowed:
            bound = ceil(allowed * max(1.0, found.next_value))
            bounds.setdefault(found.source, {})[service, number] = bound
    return _apply(bounds, reports)


def bound_sources(sources: list[Source]) -> list[Source]:
    """Return hosts and data centres, each figure bounded by the others.

    The bound is a multiple of the highest mean of a host elsewhere, or the figure of
    another source if that is more: the callers may reach one host in each of two data
    centres.
    """
    bounds: dict[int, dict[Key, int]] = {}
    for key, found in _highest_of(sources).items():
        hosts = sources[found.source].hosts
        bound = MAX_RATIO * hosts * max(1.0, found.mean_of_others)
        bound = max(bound, found.next_value)
        if found.value > bound:
            bounds.setdefault(found.source, {})[key] = ceil(bound)
    return _apply(bounds, sources)


def _highest_of(sources: list[Source]) -> dict[Key, _Highest]:
    """Return the highest values of each figure; none if there are no two sources."""
    highest: dict[Key, _Highest] = {}
    if len(sources) < 2:
        return highest
    for number, source in enumerate(sources):
        for key, value in _numbered(source.demands):
            found = highest.get(key)
            if found is None:
                found = highest[key] = _Highest()
            found.add(value, number, source.hosts)
    return highest


def _skew(service: int, source: int, highest: dict[Key, _Highest]) -> float:
    """Return how many times the others' figures at least two of a host's three are."""
    ratios = []
    for number in (IN_FLIGHT, COMPLETED, SENT):
        found = highest[service, number]
        is_highest = found.source == source
        ratios.append(found.ratio if is_highest else 1.0)
    return max(1.0, sorted(ratios)[1])


def _apply(bounds: dict[int, dict[Key, int]], sources: list[Source]) -> list[Source]:
    if not bounds:
        return sources
    result = [*sources]
    for number, bound_of in bounds.items():
        demands = [_bounded(demand, bound_of) for demand in sources[number].demands]
        result[number] = replace(sources[number], demands=demands)
    return result


def _numbered(demands: Iterable[ServiceDemand]) -> Iterable[tuple[Key, int]]:
    for demand in demands:
        service = demand.service
        yield (service, IN_FLIGHT), demand.in_flight
        yield (service, COMPLETED), demand.completed
        yield (service, SENT), demand.sent
        yield (service, REJECTED), demand.rejected
        for cls in demand.classes:
            yield (service, cls.priority), cls.offered


def _bounded(demand: ServiceDemand, bound_of: dict[Key, int]) -> ServiceDemand:
    def bounded(number: int, figure: int) -> int:
        return min(figure, bound_of.get((demand.service, number), figure))

    return ServiceDemand(
        demand.service,
        bounded(IN_FLIGHT, demand.in_flight),
        bounded(COMPLETED, demand.completed),
        bounded(SENT, demand.sent),
        bounded(REJECTED, demand.rejected),
        [
            ClassDemand(cls.priority, bounded(cls.priority, cls.offered))
            for cls in demand.classes
        ],
    )


__all__ = [
    "MAX_OFFERED_RATIO",
    "MAX_RATIO",
    "Source",
    "bound_reports",
    "bound_sources",
]
