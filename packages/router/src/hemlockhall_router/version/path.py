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
FAR_START_MS = 2.0


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
        return any(part.endpoint.id == endpoint_id for part in self.stages)


@dataclass(slots=True)
class _Step:
    cost: float
    endpoint: Endpoint
    start: int
    before: _Step | None


def find_path(
    model: Model,
    endpoints: Iterable[Endpoint],
    home: str,
    cost_of: Callable[[Endpoint], EndpointCost],
    far_ms: Callable[[str, str], float],
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
    stops = _stops(model, endpoints, cost_of, first_endpoint_ids)
    # The cheapest step that ends at a cut, for each data centre it ends in.
    best: dict[int, dict[str, _Step]] = {cut: {} for cut in stops.order}
    for cut in stops.order[:-1]:
        if cut > 0 and not best[cut]:
            continue
        entries: dict[str, tuple[_Step | None, float]] = {}
        for stage in stops.entered[cut]:
            place = stage.endpoint.data_centre
            if place not in entries:
                entries[place] = _cheapest(best[cut], place, home, far_ms)
            before, reach = entries[place]
            reach += stage.cost.stage_ms
            if cut == 0:
                reach += stage.cost.start_ms
            for end in stage.exits:
                if end <= cut:
                    continue
                cost = reach + stage.layer_ms * (end - cut)
                known = best[end].get(place)
                if known is None or cost < known.cost:
                    best[end][place] = _Step(cost, stage.endpoint, cut, before)
    final = list(best[model.layers].values())
    if not final:
        return None
    return _trace(min(final, key=lambda step: step.cost), model.layers)


@dataclass(slots=True)
class _Stage:
    """An endpoint that may be part of a path; it may be left at ``exits``."""

    endpoint: Endpoint
    cost: EndpointCost
    layer_ms: float
    exits: list[int]


@dataclass(slots=True)
class _Stops:
    """The cuts between layers in order, and what may be entered at each."""

    order: list[int]
    entered: dict[int, list[_Stage]]


def _stops(
    model: Model,
    endpoints: Iterable[Endpoint],
    cost_of: Callable[[Endpoint], EndpointCost],
    first_endpoint_ids: frozenset[str] | None,
) -> _Stops:
    """Return where a path may change endpoints.

    The cost is linear in the layer at which one endpoint hands over to the next, so
    the cheapest place is where the next one's range begins or the present one's ends.
    """
    firsts, ends = {0}, {0, model.layers}
    stages = []
    for endpoint in endpoints:
        layers = endpoint.layers
        if layers is None or layers.size <= 0:
            continue
        firsts.add(max(0, layers.first))
        ends.add(min(model.layers, layers.end))
        stages.append(_stage(model, endpoint, cost_of(endpoint)))
    order = sorted(firsts | ends)
    left_at = sorted(firsts)
    entered_at = sorted(ends)
    entered: dict[int, list[_Stage]] = {cut: [] for cut in order}
    for stage in stages:
        layers = stage.endpoint.layers
        assert layers is not None
        first, end = max(0, layers.first), min(model.layers, layers.end)
        inner = left_at[bisect_right(left_at, first) : bisect_left(left_at, end)]
        stage.exits = [*inner, end]
        for cut in entered_at[bisect_right(entered_at, first) :]:
            if cut >= end:
                break
            entered[cut].append(stage)
        if (
            first > 0
            or first_endpoint_ids is None
            or stage.endpoint.id in first_endpoint_ids
        ):
            entered[first].append(stage)
    return _Stops(order, entered)


def _stage(model: Model, endpoint: Endpoint, cost: EndpointCost) -> _Stage:
    accelerator = model.accelerators.get(endpoint.accelerator)
    pace = accelerator.step_factor if accelerator else 1.0
    layer_ms = model.step_ms * pace * cost.factor / model.layers + cost.layer_ms
    return _Stage(endpoint, cost, layer_ms, [])


def _cheapest(
    steps: dict[str, _Step],
    place: str,
    home: str,
    far_ms: Callable[[str, str], float],
) -> tuple[_Step | None, float]:
    """Return the step from which a data centre is reached at the least cost."""
    if not steps:
        return None, HOP_MS + (FAR_START_MS if place != home else 0.0)
    chosen = None
    cost = float("inf")
    for here, step in steps.items():
        reach = step.cost + HOP_MS
        if here != place:
            reach += far_ms(here, place)
        if reach < cost:
            chosen, cost = step, reach
    return chosen, cost


def _trace(step: _Step, layers: int) -> Path | None:
    cost = step.cost
    parts: list[Stage] = []
    end = layers
    cursor: _Step | None = step
    while cursor is not None:
        parts.append(Stage(cursor.endpoint, LayerRange(cursor.start, end)))
        end = cursor.start
        cursor = cursor.before
    parts.reverse()
    merged = _merge(parts)
    if len(merged) > MAX_STAGES:
        return None
    return Path(tuple(merged), cost)


def _merge(parts: list[Stage]) -> list[Stage]:
    """Give an endpoint that stands twice all layers in between.

    An engine refuses a path on which it stands twice. It holds one range
    without gaps, so it can run what lies between its two parts itself.
    """
    merged: list[Stage] = []
    for part in parts:
        at = None
        for index, earlier in enumerate(merged):
            if earlier.endpoint.id == part.endpoint.id:
                at = index
                break
        if at is None:
            merged.append(part)
            continue
        first = merged[at].layers.first
        del merged[at:]
        merged.append(Stage(part.endpoint, LayerRange(first, part.layers.end)))
    return merged


__all__ = [
    "MAX_STAGES",
    "Stage",
    "Path",
    "EndpointCost",
    "find_path",
]
