"""Choice of a pipeline for a model and of an endpoint for a plain service."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.version.document import Endpoint

# In layers of an endpoint without requests and of speed 1.
CROSS_DATA_CENTRE_COST = 4.0
# Largest relative deviation, random, of the cost of an endpoint's queue.
COST_JITTER = 0.05


@dataclass(frozen=True)
class Candidate:
    """An endpoint that takes requests.

    ``in_flight`` counts the requests of this entry host at the endpoint.
    ``load`` is the number of all requests there that its side process last
    reported, which may be out of date.
    """

    endpoint: Endpoint
    in_flight: int
    load: int

    @property
    def estimated_load(self) -> int:
        """Estimated number of requests at the endpoint."""
        return max(self.in_flight, self.load)


class Chooser(ABC):
    """Chooses pipelines whose layer ranges cover a model once, in order.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry host.
    """

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre

    @abstractmethod
    def choose_pipeline(
        self, layers: int, candidates: list[Candidate]
    ) -> list[Endpoint]:
        """Return a pipeline for layers 0 to ``layers`` (exclusive); empty if none."""

    @abstractmethod
    def choose_endpoint(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return an endpoint of a plain service, or None if there is none."""


CHOOSERS: dict[str, type[Chooser]] = {}


def register_chooser(name: str) -> Callable[[type[Chooser]], type[Chooser]]:
    """Register a chooser under its name in the settings."""

    def register(chooser_type: type[Chooser]) -> type[Chooser]:
        CHOOSERS[name] = chooser_type
        return chooser_type

    return register


@register_chooser("weighted")
class WeightedChooser(Chooser):
    """Chooses by least cost: queued work by speed, and data centre changes."""

    def choose_pipeline(
        self, layers: int, candidates: list[Candidate]
    ) -> list[Endpoint]:
        """Return the cheapest pipeline, as a shortest path over increasing layers."""
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
        endpoint = candidate.endpoint
        if endpoint.first_layer == 0:
            return self._transfer_cost(self.data_centre, endpoint.data_centre), None
        cheapest: tuple[float, Candidate | None] | None = None
        for other_candidate in earlier:
            previous = other_candidate.endpoint
            if previous.end_layer != endpoint.first_layer or previous.name not in best:
                continue
            cost = best[previous.name][0]
            cost += self._transfer_cost(previous.data_centre, endpoint.data_centre)
            if cheapest is None or cost < cheapest[0]:
                cheapest = (cost, other_candidate)
        return cheapest

    def choose_endpoint(self, candidates: list[Candidate]) -> Endpoint | None:
        """Return the endpoint of least cost."""
        if not candidates:
            return None
        return min(candidates, key=self._endpoint_cost).endpoint

    def _endpoint_cost(self, candidate: Candidate) -> float:
        transfer_cost = self._transfer_cost(
            self.data_centre, candidate.endpoint.data_centre
        )
        return transfer_cost + _queue_cost(candidate)

    @staticmethod
    def _transfer_cost(from_data_centre: str, to_data_centre: str) -> float:
        return 0.0 if from_data_centre == to_data_centre else CROSS_DATA_CENTRE_COST


@register_chooser("round_robin")
class RoundRobinChooser(Chooser):
    """Baseline: takes the endpoints in turn, whatever their load."""

    def __init__(self, data_centre: str) -> None:
        super().__init__(data_centre)
        self._call_count = 0

    def choose_pipeline(
        self, layers: int, candidates: list[Candidate]
    ) -> list[Endpoint]:
        """Return a pipeline; at each stage, calls take the endpoints in turn."""
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
        """Return the next endpoint in turn."""
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
