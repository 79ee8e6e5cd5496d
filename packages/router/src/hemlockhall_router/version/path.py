"""Paths: endpoints that together run every layer once, in order."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.routing import Model

# Parts a path may have; engines refuse longer ones.
MAX_STAGES = 32
# Milliseconds a hop adds to each token inside a data centre: the delay of the
# network (0.2) and on average half a pass of waiting at the next engine.
HOP_MS = 0.8
# Milliseconds more for a start in another data centre: only what the caller sends
# and gets goes there, and no activations.
CROSS_DATA_CENTRE_START_MS = 2.0


@dataclass(slots=True, frozen=True)
class EndpointCost:
    """What using an endpoint costs beside its usual time.

    ``factor`` is on its time for a token, at least 1; ``layer_ms`` is added for
    each layer that it runs, ``stage_ms`` once, ``start_ms`` where it is the first.
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
    """Parts in the order of their layers; ``cost_ms`` estimates a token."""

    stages: tuple[Stage, ...]
    cost_ms: float

    @property
    def first_endpoint(self) -> Endpoint:
        """The endpoint that receives the request."""
        return self.stages[0].endpoint

    def uses(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is on the path."""
        return any(stage.endpoint.id == endpoint_id for stage in self.stages)


@dataclass(slots=True)
class _PartialPath:
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
) -> Path | None:
    """Return the cheapest path that starts in data centre ``home``.

    Parameters
    ----------
    model : Model
        Gives the number of layers and the times.
    endpoints : iterable of Endpoint
        Usable endpoints; those that hold no layers are left out.
    home : str
        Where the path starts; a start elsewhere costs a little more.
    cost_of : callable
        Returns an endpoint's ``EndpointCost``; more for loaded ones.
    far_ms : callable
        Returns the milliseconds that a hop from one data centre to another
        costs more than one inside it, for each token.
    first_endpoint_ids : frozenset of str, optional
        Ids of the endpoints that may be the first; all if not given.
    """
    cut_points = _find_cuts(model, endpoints, cost_of, first_endpoint_ids)
    # The cheapest step that ends at a cut, for each data centre it ends in.
    best: dict[int, dict[str, _PartialPath]] = {cut: {} for cut in cut_points.cuts}
    for cut in cut_points.cuts[:-1]:
        if cut > 0 and not best[cut]:
            continue
        arrivals: dict[str, tuple[_PartialPath | None, float]] = {}
        for candidate in cut_points.candidates_at[cut]:
            data_centre = candidate.endpoint.data_centre
            if data_centre not in arrivals:
                arrivals[data_centre] = _cheapest_arrival(
                    best[cut], data_centre, home, cross_data_centre_ms
                )
            previous, arrival_cost = arrivals[data_centre]
            arrival_cost += candidate.cost.stage_ms
            if cut == 0:
                arrival_cost += candidate.cost.start_ms
            for end in candidate.exits:
                if end <= cut:
                    continue
                cost = arrival_cost + candidate.layer_ms * (end - cut)
                best_known = best[end].get(data_centre)
                if best_known is None or cost < best_known.cost:
                    best[end][data_centre] = _PartialPath(
                        cost, candidate.endpoint, cut, previous
                    )
    complete = list(best[model.layers].values())
    if not complete:
        return None
    return _build_path(min(complete, key=lambda partial: partial.cost), model.layers)


@dataclass(slots=True)
class _Candidate:
    """An endpoint that may be part of a path; it may be left at ``exits``."""

    endpoint: Endpoint
    cost: EndpointCost
    layer_ms: float
    exits: list[int]


@dataclass(slots=True)
class _CutPoints:
    """The cuts between layers in order, and what may be entered at each."""

    cuts: list[int]
    candidates_at: dict[int, list[_Candidate]]


def _find_cuts(
    model: Model,
    endpoints: Iterable[Endpoint],
    cost_of: Callable[[Endpoint], EndpointCost],
    first_endpoint_ids: frozenset[str] | None,
) -> _CutPoints:
    """Return where a path may change endpoints.

    The cost is linear in the layer at which one endpoint hands over to the next, so
    the cheapest place is where the next one's range begins or the present one's ends.
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
    cuts = sorted(firsts | ends)
    exit_cuts = sorted(firsts)
    entry_cuts = sorted(ends)
    candidates_at: dict[int, list[_Candidate]] = {cut: [] for cut in cuts}
    for candidate in candidates:
        layers = candidate.endpoint.layers
        assert layers is not None
        first, end = max(0, layers.first), min(model.layers, layers.end)
        inner = exit_cuts[bisect_right(exit_cuts, first) : bisect_left(exit_cuts, end)]
        candidate.exits = [*inner, end]
        for cut in entry_cuts[bisect_right(entry_cuts, first) :]:
            if cut >= end:
                break
            candidates_at[cut].append(candidate)
        if (
            first > 0
            or first_endpoint_ids is None
            or candidate.endpoint.id in first_endpoint_ids
        ):
            candidates_at[first].append(candidate)
    return _CutPoints(cuts, candidates_at)


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
    """Return the step from which a data centre is reached at the least cost."""
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
    """Give an endpoint that stands twice all layers in between.

    An engine refuses a path on which it stands twice. It holds one range
    without gaps, so it can run what lies between its two parts itself.
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
