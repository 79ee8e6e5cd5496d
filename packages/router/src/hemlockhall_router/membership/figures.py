"""Sums of the hosts' figures for overload control, without those of one host."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from hemlockhall_router.membership.outlier import Source, bound_sources
from hemlockhall_router.membership.tally import FigureSums

if TYPE_CHECKING:
    from hemlockhall_router.membership.message import CustomerDemand, ServiceDemand


@dataclass(slots=True, frozen=True)
class Figures:
    """Figures of some hosts, as sums over ``hosts`` of them.

    ``age_s`` is the time since the oldest message that they come from arrived, and
    infinite if there is none.
    """

    demands: list[ServiceDemand] = field(default_factory=list)
    customers: list[CustomerDemand] = field(default_factory=list)
    hosts: int = 0
    age_s: float = inf


class KnownFigures:
    """Figures of all known hosts, each in one source and bounded by the others."""

    def __init__(self, sources: list[Source]) -> None:
        self._sources = bound_sources(sources)
        self._sums = _sums_of(self._sources)

    def without(self, host: str, now: float) -> Figures:
        """Return the sums without the figures of a host."""
        others = []
        own = Source(host, [], [], 0, now)
        for source in self._sources:
            if source.host == host:
                own = source
            else:
                others.append(source)
        return _figures_of(self._sums, others, own, now)


def sum_sources(sources: list[Source], now: float) -> Figures:
    """Return the sums of figures as they are.

    A hub sends those of its data centre to other ones, which know more hosts to bound
    them by.
    """
    return _figures_of(_sums_of(sources), sources, Source("", [], [], 0, now), now)


def _sums_of(sources: list[Source]) -> FigureSums:
    return FigureSums(
        (demand for source in sources for demand in source.demands),
        (customer for source in sources for customer in source.customers),
    )


def _figures_of(
    sums: FigureSums, sources: list[Source], left_out: Source, now: float
) -> Figures:
    if not sources:
        return Figures()
    return Figures(
        sums.demands(left_out.demands),
        sums.customers(left_out.customers),
        sum(source.hosts for source in sources),
        now - min(source.received_at for source in sources),
    )


__all__ = [
    "Figures",
    "KnownFigures",
    "sum_sources",
]
