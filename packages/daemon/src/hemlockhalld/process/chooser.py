"""Choice of a pipeline, and of an endpoint of a plain service."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.version.document import Endpoint

LINK_COST = 4.0
JITTER = 0.05


@dataclass(frozen=True)
class Candidate:
    """An endpoint that takes work.

    ``in_flight`` counts this entry host's own requests there, ``load`` all
    that the side process told of, some time ago.
    """

    endpoint: Endpoint
    in_flight: int
    load: int

    @property
    def busy(self) -> int:
        """Requests there, as far as is known."""
        return max(self.in_flight, self.load)


class Chooser(ABC):
    """Chooses chains whose layer ranges cover a model once, in order.

    Parameters
    ----------
    data_centre : str
        Where the choosing entry host is.
    """

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre

    @abstractmethod
    def chain(self, layers: int, candidates: list[Candidate]) -> list[Endpoint]:
        """Return a chain over layers 0 up to ``layers``; empty if none."""

    @abstractmethod
    def one(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return an endpoint of a plain service."""


CHOOSERS: dict[str, type[Chooser]] = {}


def chooser(name: str) -> Callable[[type[Chooser]], type[Chooser]]:
    """Register a chooser under the name that settings use."""

    def register(kind: type[Chooser]) -> type[Chooser]:
        CHOOSERS[name] = kind
        return kind

    return register


@chooser("weighted")
class WeightedChooser(Chooser):
    """The chain of least cost: work before it by speed, and links between."""

    def chain(self, layers: int, candidates: list[Candidate]) -> list[Endpoint]:
        """Return the chain of least cost, by a pass over rising layers."""
        best: dict[str, tuple[float, Candidate | None]] = {}
        ordered = sorted(candidates, key=lambda c: c.endpoint.first_layer)
        for index, candidate in enumerate(ordered):
            before = self._before(candidate, ordered[:index], best)
            if before is not None:
                cost, previous = before
                best[candidate.endpoint.name] = (cost + _work(candidate), previous)
        ends = []
        for candidate in ordered:
            if (
                candidate.endpoint.end_layer == layers
                and candidate.endpoint.name in best
            ):
                ends.append(candidate)
        if not ends:
            return []
        end = min(ends, key=lambda c: best[c.endpoint.name][0])
        return _trace(end, best)

    def _before(
        self,
        candidate: Candidate,
        earlier: list[Candidate],
        best: dict[str, tuple[float, Candidate | None]],
    ) -> tuple[float, Candidate | None] | None:
        here = candidate.endpoint
        if here.first_layer == 0:
            return self._link(self.data_centre, here.data_centre), None
        found: tuple[float, Candidate | None] | None = None
        for other in earlier:
            there = other.endpoint
            if there.end_layer != here.first_layer or there.name not in best:
                continue
            cost = best[there.name][0]
            cost += self._link(there.data_centre, here.data_centre)
            if found is None or cost < found[0]:
                found = (cost, other)
        return found

    def one(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return the endpoint with the least work before it."""
        if not candidates:
            return None
        return min(candidates, key=self._cost_one).endpoint

    def _cost_one(self, candidate: Candidate) -> float:
        link = self._link(self.data_centre, candidate.endpoint.data_centre)
        return link + _work(candidate)

    @staticmethod
    def _link(here: str, there: str) -> float:
        return 0.0 if here == there else LINK_COST


@chooser("round_robin")
class RoundRobinChooser(Chooser):
    """The baseline: chains in turn, whatever their load."""

    def __init__(self, data_centre: str) -> None:
        super().__init__(data_centre)
        self._turn = 0

    def chain(self, layers: int, candidates: list[Candidate]) -> list[Endpoint]:
        """Return the first chain found, beginning at another each time."""
        self._turn += 1
        chain: list[Endpoint] = []
        reached = 0
        while reached < layers:
            fitting = [c for c in candidates if c.endpoint.first_layer == reached]
            if not fitting:
                return []
            chain.append(fitting[self._turn % len(fitting)].endpoint)
            reached = chain[-1].end_layer
        return chain

    def one(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return the endpoints in turn."""
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)].endpoint


def _work(candidate: Candidate) -> float:
    here = candidate.endpoint
    span = max(1, here.end_layer - here.first_layer)
    work = span * (1 + candidate.busy) / here.speed
    return work * random.uniform(1 - JITTER, 1 + JITTER)


def _trace(
    end: Candidate, best: dict[str, tuple[float, Candidate | None]]
) -> list[Endpoint]:
    chain: list[Endpoint] = []
    step: Candidate | None = end
    while step is not None:
        chain.append(step.endpoint)
        step = best[step.endpoint.name][1]
    chain.reverse()
    return chain


__all__ = [
    "CHOOSERS",
    "Candidate",
    "Chooser",
    "chooser",
]
