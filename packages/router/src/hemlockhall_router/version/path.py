"""Paths: endpoints that together run every layer once, in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.routing import Model

# Parts a path may have; engines refuse longer ones.
MAX_PARTS = 32
# Milliseconds a hop adds to each token inside a data centre: the delay of the
# network (0.2) and on average half a pass of waiting at the next engine.
HOP_MS = 0.8
# Milliseconds more for a start in another data centre: only what the caller sends
# and gets goes there, and no activations.
FAR_START_MS = 2.0


@dataclass(slots=True, frozen=True)
class Toll:
    """What using an endpoint costs beside its usual time.

    ``factor`` is on its time for a token, at least 1; ``layer_ms`` is added for
    each layer that it runs, ``pass_ms`` once, ``start_ms`` where it is the first.
    """

    factor: float = 1.0
    layer_ms: float = 0.0
    pass_ms: float = 0.0
    start_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Part:
    """The layers that one endpoint runs for a request."""

    endpoint: Endpoint
    layers: LayerRange


@dataclass(slots=True, frozen=True)
class Path:
    """Parts in the order of their layers; ``cost_ms`` estimates a token."""

    parts: tuple[Part, ...]
    cost_ms: float

    @property
    def first(self) -> Endpoint:
        """The endpoint that receives the request."""
        return self.parts[0].endpoint

    def uses(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is on the path."""
        return any(part.endpoint.id == endpoint_id for part in self.parts)


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
    toll: Callable[[Endpoint], Toll],
    far_ms: Callable[[str, str], float],
    starts_at: frozenset[str] | None = None,
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
    toll : callable
        Returns an endpoint's ``Toll``; more for loaded ones.
    far_ms : callable
        Returns the milliseconds that a hop from one data centre to another
        costs more than one inside it, for each token.
    starts_at : frozenset of str, optional
        Ids of the endpoints that may be the first; all if not given.
    """
    holders = [e for e in endpoints if e.layers is not None and e.layers.size > 0]
    cuts = {0, model.layers}
    for endpoint in holders:
        assert endpoint.layers is not None
        cuts.add(max(0, endpoint.layers.first))
        cuts.add(min(model.layers, endpoint.layers.end))
    order = sorted(cuts)
    tolls = {endpoint.id: toll(endpoint) for endpoint in holders}
    # The cheapest step that ends at a cut, for each data centre it ends in.
    best: dict[int, dict[str, _Step]] = {cut: {} for cut in order}
    for index, cut in enumerate(order[:-1]):
        starts = list(best[cut].values())
        if cut > 0 and not starts:
            continue
        for endpoint in holders:
            layers = endpoint.layers
            assert layers is not None
            if not layers.first <= cut < layers.end:
                continue
            if cut == 0 and starts_at is not None and endpoint.id not in starts_at:
                continue
            cost_of_use = tolls[endpoint.id]
            before, reach = _cheapest(starts, endpoint, home, far_ms)
            reach += cost_of_use.pass_ms
            if cut == 0:
                reach += cost_of_use.start_ms
            accelerator = model.accelerators.get(endpoint.accelerator)
            pace = accelerator.step_factor if accelerator else 1.0
            per_layer = model.step_ms * pace * cost_of_use.factor / model.layers
            per_layer += cost_of_use.layer_ms
            for end in order[index + 1 :]:
                if end > layers.end:
                    break
                cost = reach + per_layer * (end - cut)
                held = best[end].get(endpoint.data_centre)
                if held is None or cost < held.cost:
                    best[end][endpoint.data_centre] = _Step(cost, endpoint, cut, before)
    final = list(best[model.layers].values())
    if not final:
        return None
    return _trace(min(final, key=lambda step: step.cost), model.layers)


def _cheapest(
    starts: list[_Step],
    endpoint: Endpoint,
    home: str,
    far_ms: Callable[[str, str], float],
) -> tuple[_Step | None, float]:
    if not starts:
        far = endpoint.data_centre != home
        return None, HOP_MS + (FAR_START_MS if far else 0.0)
    chosen = starts[0]
    cost = float("inf")
    for step in starts:
        reach = step.cost + HOP_MS
        if step.endpoint.data_centre != endpoint.data_centre:
            reach += far_ms(step.endpoint.data_centre, endpoint.data_centre)
        if reach < cost:
            chosen, cost = step, reach
    return chosen, cost


def _trace(step: _Step, layers: int) -> Path | None:
    cost = step.cost
    parts: list[Part] = []
    end = layers
    cursor: _Step | None = step
    while cursor is not None:
        parts.append(Part(cursor.endpoint, LayerRange(cursor.start, end)))
        end = cursor.start
        cursor = cursor.before
    parts.reverse()
    merged = _merge(parts)
    if len(merged) > MAX_PARTS:
        return None
    return Path(tuple(merged), cost)


def _merge(parts: list[Part]) -> list[Part]:
    """Give an endpoint that stands twice all layers in between.

    An engine refuses a path on which it stands twice. It holds one range
    without gaps, so it can run what lies between its two parts itself.
    """
    merged: list[Part] = []
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
        merged.append(Part(part.endpoint, LayerRange(first, part.layers.end)))
    return merged


__all__ = [
    "Part",
    "Path",
    "Toll",
    "find_path",
]
