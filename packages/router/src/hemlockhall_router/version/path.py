"""Paths: chains of endpoints that run every layer once, in order."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.routing import Model

# Endpoints refuse paths of more stages.
MAX_STAGES = 32
# Time that a hop inside a data centre adds to each token: network delay (0.2 ms) and on
# average half a forward pass of waiting at the next endpoint.
HOP_MS = 0.8
# Time added to each token by a first endpoint in another data centre. Only the request
# and the response cross the link then, no activations.
CROSS_DATA_CENTRE_START_MS = 2.0


@dataclass(slots=True, frozen=True)
class EndpointCost:
    """Cost of an endpoint in addition to its usual time for a token.

    ``factor`` multiplies its usual time. ``layer_ms`` is added for each layer that it
    runs, ``stage_ms`` once, ``start_ms`` if it is the first of a path.
    """

    factor: float = 1.0
    layer_ms: float = 0.0
    stage_ms: float = 0.0
    start_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Stage:
    """The layers that one endpoint runs for a request."""

    endpoint: Endpoint
    layers: LayerRange


@dataclass(slots=True, frozen=True)
class Path:
    """Stages in the order of their layers.

    ``cost_ms`` is the cost by which paths are compared: milliseconds per token, with
    penalties. It is that of the path before repeated stages are merged.
    """

    stages: tuple[Stage, ...]
    cost_ms: float

    @property
    def first_endpoint(self) -> Endpoint:
        """The endpoint that receives the request."""
        return self.stages[0].endpoint

    @property
    def endpoints(self) -> list[Endpoint]:
        """The endpoints of the stages."""
        return [stage.endpoint for stage in self.stages]

    def uses(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is on the path."""
        return any(stage.endpoint.id == endpoint_id for stage in self.stages)


@dataclass(slots=True)
class _PartialPath:
    """Cheapest known path up to a layer; its last stage begins at layer ``start``."""

    cost: float
    endpoint: Endpoint
    start: int
    previous: _PartialPath | None


def find_path(
    model: Model,
    endpoints: Iterable[Endpoint],
    home: str,
    cost_of: Callable[[Endpoint], EndpointCost],
    cross_data_centre_ms: Callable[[str, str], float],
    first_endpoint_ids: frozenset[str] | None = None,
    not_first_ids: Collection[str] = (),
) -> Path | None:
    """Return the cheapest path for a request of data centre ``home``.

    None if no path runs all layers, or the cheapest has more than ``MAX_STAGES``.

    Parameters
    ----------
    model : Model
        The model; its number of layers and its times are used.
    endpoints : iterable of Endpoint
        Usable endpoints; those without layers are ignored.
    home : str
        Data centre where the path should start; another one costs a little more.
    cost_of : callable
        Returns the ``EndpointCost`` of an endpoint.
    cross_data_centre_ms : callable
        Returns the milliseconds that a hop from one data centre to another adds to
        each token, compared to a hop inside a data centre.
    first_endpoint_ids : frozenset of str, optional
        Ids of endpoints that may be the first of the path; all if not given.
    not_first_ids : collection of str
        Ids of endpoints that may not be the first of the path.
    """
    graph = _build_graph(model, endpoints, cost_of, first_endpoint_ids, not_first_ids)
    # The cheapest partial path to each boundary, by the data centre of its last
    # endpoint.
    best: dict[int, dict[str, _PartialPath]] = {
        boundary: {} for boundary in graph.boundaries
    }
    for boundary in graph.boundaries[:-1]:
        if boundary > 0 and not best[boundary]:
            continue
        arrivals: dict[str, tuple[_PartialPath | None, float]] = {}
        for candidate in graph.candidates_at[boundary]:
            data_centre = candidate.endpoint.data_centre
            if data_centre not in arrivals:
                arrivals[data_centre] = _cheapest_arrival(
                    best[boundary], data_centre, home, cross_data_centre_ms
                )
            previous, arrival_cost = arrivals[data_centre]
            arrival_cost += candidate.cost.stage_ms
            if boundary == 0:
                arrival_cost += candidate.cost.start_ms
            for end in candidate.exits:
                if end <= boundary:
                    continue
                cost = arrival_cost + candidate.layer_ms * (end - boundary)
                best_known = best[end].get(data_centre)
                if best_known is None or cost < best_known.cost:
                    best[end][data_centre] = _PartialPath(
                        cost, candidate.endpoint, boundary, previous
                    )
    complete = list(best[model.layers].values())
    if not complete:
        return None
    return _build_path(min(complete, key=lambda partial: partial.cost), model.layers)


@dataclass(slots=True)
class _Candidate:
    """An endpoint that a path may use.

    ``exits`` are the boundaries where the path may leave it.
    """

    endpoint: Endpoint
    cost: EndpointCost
    layer_ms: float
    exits: list[int]


@dataclass(slots=True)
class _BoundaryGraph:
    """Sorted boundaries between layers, and the endpoints that may be entered there."""

    boundaries: list[int]
    candidates_at: dict[int, list[_Candidate]]


def _build_graph(
    model: Model,
    endpoints: Iterable[Endpoint],
    cost_of: Callable[[Endpoint], EndpointCost],
    first_endpoint_ids: frozenset[str] | None,
    not_first_ids: Collection[str],
) -> _BoundaryGraph:
    """Return the boundaries at which a path may change endpoints.

    The cost is linear in the layer at which a path changes from one endpoint to the
    next, so it is least where the range of the next begins or that of the previous one
    ends. A path thus leaves an endpoint where another range begins or at the end of its
    own, and enters one where another range ends or at the beginning of its own.
    """
    firsts, ends = {0}, {0, model.layers}
    candidates = []
    for endpoint in endpoints:
        layers = endpoint.layers
        if layers is None or layers.size <= 0:
            continue
        firsts.add(max(0, layers.first))
        ends.add(min(model.layers, layers.end))
        candidates.append(_candidate(model, endpoint, cost_of(endpoint)))
    boundaries = sorted(firsts | ends)
    exit_boundaries = sorted(firsts)
    entry_boundaries = sorted(ends)
    candidates_at: dict[int, list[_Candidate]] = {
        boundary: [] for boundary in boundaries
    }
    for candidate in candidates:
        layers = candidate.endpoint.layers
        assert layers is not None
        first, end = max(0, layers.first), min(model.layers, layers.end)
        inner = exit_boundaries[
            bisect_right(exit_boundaries, first) : bisect_left(exit_boundaries, end)
        ]
        candidate.exits = [*inner, end]
        for boundary in entry_boundaries[bisect_right(entry_boundaries, first) :]:
            if boundary >= end:
                break
            candidates_at[boundary].append(candidate)
        endpoint_id = candidate.endpoint.id
        allowed = first_endpoint_ids is None or endpoint_id in first_endpoint_ids
        if first > 0 or (allowed and endpoint_id not in not_first_ids):
            candidates_at[first].append(candidate)
    return _BoundaryGraph(boundaries, candidates_at)


def _candidate(model: Model, endpoint: Endpoint, cost: EndpointCost) -> _Candidate:
    accelerator = model.accelerators.get(endpoint.accelerator)
    step_factor = accelerator.step_factor if accelerator else 1.0
    layer_ms = model.step_ms * step_factor * cost.factor / model.layers + cost.layer_ms
    return _Candidate(endpoint, cost, layer_ms, [])


def _cheapest_arrival(
    partials: dict[str, _PartialPath],
    data_centre: str,
    home: str,
    cross_data_centre_ms: Callable[[str, str], float],
) -> tuple[_PartialPath | None, float]:
    """Return the partial path from which a data centre is reached at the least cost.

    The second value is that cost in milliseconds, with the hop.
    """
    if not partials:
        return None, HOP_MS + (
            CROSS_DATA_CENTRE_START_MS if data_centre != home else 0.0
        )
    chosen = None
    cost = float("inf")
    for source, partial in partials.items():
        arrival_cost = partial.cost + HOP_MS
        if source != data_centre:
            arrival_cost += cross_data_centre_ms(source, data_centre)
        if arrival_cost < cost:
            chosen, cost = partial, arrival_cost
    return chosen, cost


def _build_path(partial: _PartialPath, layers: int) -> Path | None:
    cost = partial.cost
    stages: list[Stage] = []
    end = layers
    cursor: _PartialPath | None = partial
    while cursor is not None:
        stages.append(Stage(cursor.endpoint, LayerRange(cursor.start, end)))
        end = cursor.start
        cursor = cursor.previous
    stages.reverse()
    merged = _merge_repeated(stages)
    if len(merged) > MAX_STAGES:
        return None
    return Path(tuple(merged), cost)


def _merge_repeated(stages: list[Stage]) -> list[Stage]:
    """Merge two stages of the same endpoint and all stages between them.

    Endpoints refuse a path that contains them twice. An endpoint holds one contiguous
    range, so it can run the layers between its two stages itself.
    """
    merged: list[Stage] = []
    for stage in stages:
        earlier_index = None
        for index, earlier in enumerate(merged):
            if earlier.endpoint.id == stage.endpoint.id:
                earlier_index = index
                break
        if earlier_index is None:
            merged.append(stage)
            continue
        first = merged[earlier_index].layers.first
        del merged[earlier_index:]
        merged.append(Stage(stage.endpoint, LayerRange(first, stage.layers.end)))
    return merged


__all__ = [
    "MAX_STAGES",
    "Stage",
    "Path",
    "EndpointCost",
    "find_path",
]
