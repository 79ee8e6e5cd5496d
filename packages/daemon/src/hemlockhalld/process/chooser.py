"""Choice of a pipeline, and of an endpoint of a plain service."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.version.document import Endpoint

CROSS_DATA_CENTRE_COST = 4.0
COST_JITTER = 0.05


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
    def estimated_load(self) -> int:
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
    def choose_pipeline(
        self, layers: int, candidates: list[Candidate]
    ) -> list[Endpoint]:
        """Return a chain over layers 0 up to ``layers``; empty if none."""

    @abstractmethod
    def choose_endpoint(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return an endpoint of a plain service."""


CHOOSERS: dict[str, type[Chooser]] = {}


def register_chooser(name: str) -> Callable[[type[Chooser]], type[Chooser]]:
    """Register a chooser under the name that settings use."""

    def register(kind: type[Chooser]) -> type[Chooser]:
        CHOOSERS[name] = kind
        return kind

    return register


@register_chooser("weighted")
class WeightedChooser(Chooser):
    """The chain of least cost: work before it by speed, and links between."""

    def choose_pipeline(
        self, layers: int, candidates: list[Candidate]
    ) -> list[Endpoint]:
        """Return the chain of least cost, by a pass over rising layers."""
        best: dict[str, tuple[float, Candidate | None]] = {}
        ordered = sorted(candidates, key=lambda c: c.endpoint.first_layer)
        for index, candidate in enumerate(ordered):
            predecessor = self._best_predecessor(candidate, ordered[:index], best)
            if predecessor is not None:
                cost, previous = predecessor
                best[candidate.endpoint.name] = (
                    cost + _queue_cost(candidate),
                    previous,
                )
        last_stages = []
        for candidate in ordered:
            if (
                candidate.endpoint.end_layer == layers
                and candidate.endpoint.name in best
            ):
                last_stages.append(candidate)
        if not last_stages:
            return []
        last_stage = min(last_stages, key=lambda c: best[c.endpoint.name][0])
        return _backtrack(last_stage, best)

    def _best_predecessor(
        self,
        candidate: Candidate,
        earlier: list[Candidate],
        best: dict[str, tuple[float, Candidate | None]],
    ) -> tuple[float, Candidate | None] | None:
        here = candidate.endpoint
        if here.first_layer == 0:
            return self._transfer_cost(self.data_centre, here.data_centre), None
        found: tuple[float, Candidate | None] | None = None
        for other in earlier:
            there = other.endpoint
            if there.end_layer != here.first_layer or there.name not in best:
                continue
            cost = best[there.name][0]
            cost += self._transfer_cost(there.data_centre, here.data_centre)
            if found is None or cost < found[0]:
                found = (cost, other)
        return found

    def choose_endpoint(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return the endpoint with the least work before it."""
        if not candidates:
            return None
        return min(candidates, key=self._endpoint_cost).endpoint

    def _endpoint_cost(self, candidate: Candidate) -> float:
        link = self._transfer_cost(self.data_centre, candidate.endpoint.data_centre)
        return link + _queue_cost(candidate)

    @staticmethod
    def _transfer_cost(here: str, there: str) -> float:
        return 0.0 if here == there else CROSS_DATA_CENTRE_COST


@register_chooser("round_robin")
class RoundRobinChooser(Chooser):
    """The baseline: chains in turn, whatever their load."""

    def __init__(self, data_centre: str) -> None:
        super().__init__(data_centre)
        self._call_count = 0

    def choose_pipeline(
        self, layers: int, candidates: list[Candidate]
    ) -> list[Endpoint]:
        """Return the first chain found, beginning at another each time."""
        self._call_count += 1
        pipeline: list[Endpoint] = []
        covered_layers = 0
        while covered_layers < layers:
            matching = [
                c for c in candidates if c.endpoint.first_layer == covered_layers
            ]
            if not matching:
                return []
            pipeline.append(matching[self._call_count % len(matching)].endpoint)
            covered_layers = pipeline[-1].end_layer
        return pipeline

    def choose_endpoint(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return the endpoints in turn."""
        if not candidates:
            return None
        self._call_count += 1
        return candidates[self._call_count % len(candidates)].endpoint


def _queue_cost(candidate: Candidate) -> float:
    endpoint = candidate.endpoint
    layer_count = max(1, endpoint.end_layer - endpoint.first_layer)
    cost = layer_count * (1 + candidate.estimated_load) / endpoint.speed
    return cost * random.uniform(1 - COST_JITTER, 1 + COST_JITTER)


def _backtrack(
    last_stage: Candidate, best: dict[str, tuple[float, Candidate | None]]
) -> list[Endpoint]:
    pipeline: list[Endpoint] = []
    candidate: Candidate | None = last_stage
    while candidate is not None:
        pipeline.append(candidate.endpoint)
        candidate = best[candidate.endpoint.name][1]
    pipeline.reverse()
    return pipeline


__all__ = [
    "CHOOSERS",
    "Candidate",
    "Chooser",
    "register_chooser",
]
