"""Choice of an endpoint or of a path for a request."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from hemlockhall_router.version.path import find_path

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import Directory, Held
    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import Model, Service

# Seconds for which computed paths are used while no endpoint changed.
PATHS_S = 0.5
# How much a path to another data centre must be better, per token written.
FAR_MS = 2.0
# How strongly the filling of a path counts against its time for a token: one
# that is half full counts as 3.5 times slower. Every path is fast enough for its
# objective while it has room, and a full one preempts requests in the middle.
LOAD_WEIGHT = 10.0
# Filling up to which a path is offered requests while another one has room. The
# rest is for what other hosts send in the quarter of a second between messages.
ROOM_PART = 0.92
# Factor on the cost of a path without room; above any ratio of two paths.
FULL_FACTOR = 100.0
# Factor on the cost of an endpoint whose entry lapsed: it may have left, and is
# used only where the others are far slower or full.
DOUBT_FACTOR = 5.0


class Chooser:
    """Chooses among the endpoints in the directory."""

    def __init__(self, directory: Directory, home: str) -> None:
        self._directory = directory
        self._home = home
        self._paths: dict[str, list[Path]] = {}
        self._made: dict[str, tuple[int, int, float]] = {}
        self._seen_at: dict[str, float] = {}
        self._began = time.monotonic()

    def endpoint(self, service: str, tried: set[str]) -> Held | None:
        """Return the endpoint where a plain request waits least."""
        best: Held | None = None
        least = float("inf")
        for held in self._directory.usable(service):
            if held.endpoint.id in tried:
                continue
            slots = max(1, held.endpoint.slots)
            wait = held.latency_s * (1 + held.load / slots)
            if held.doubtful:
                wait *= DOUBT_FACTOR
            wait *= random.uniform(0.9, 1.1)  # noqa: S311
            if wait < least:
                best, least = held, wait
        return best

    def path(
        self,
        service: Service,
        tried: set[str],
        starts_at: frozenset[str] | None = None,
        size: int = 0,
    ) -> Path | None:
        """Return the path where a generation runs fastest and has room.

        Parameters
        ----------
        service : Service
            The service; it has a path only if it has a model.
        tried : set of str
            Ids of endpoints that failed this request.
        starts_at : frozenset of str, optional
            Ids of the endpoints that may receive the request.
        size : int
            Tokens of the request.
        """
        model = service.model
        if model is None:
            return None
        if starts_at is not None:
            return self._around(service, model, tried, starts_at)
        best: Path | None = None
        least = float("inf")
        for path in self._known(service.name, model):
            if any(part.endpoint.id in tried for part in path.parts):
                continue
            cost = self._cost(path, model, service.slots, size)
            if cost < least:
                best, least = path, cost
        if best is None and tried:
            best = self._around(service, model, tried)
        if best is not None:
            self._seen_at[service.name] = time.monotonic()
        return best

    def without_path_s(self, service: str) -> float:
        """Return for how many seconds there has been no path at all."""
        return time.monotonic() - self._seen_at.get(service, self._began)

    def _cost(self, path: Path, model: Model, slots: int, size: int) -> float:
        held = self._directory.held
        filling = 0.0
        first = held.get(path.first.id)
        if first is None:
            return float("inf")
        if slots and first.load >= slots:
            return float("inf")
        for part in path.parts:
            known = held.get(part.endpoint.id)
            if known is None:
                return float("inf")
            filling = max(filling, (known.token_load + size) / room(known, model))
        cost = path.cost_ms * (1 + LOAD_WEIGHT * filling * filling)
        if filling > ROOM_PART:
            # Still better than none: the estimate is of the most it may take.
            cost *= FULL_FACTOR
        if path.first.data_centre != self._home:
            cost += FAR_MS
        return cost * random.uniform(0.98, 1.02)  # noqa: S311

    def _known(self, service: str, model: Model) -> list[Path]:
        now = time.monotonic()
        version, layers, made = self._made.get(service, (-1, 0, 0.0))
        fresh = version == self._directory.version and layers == model.layers
        if fresh and now - made < PATHS_S:
            return self._paths[service]
        usable = self._directory.usable(service)
        places = sorted({held.endpoint.data_centre for held in usable})
        paths: list[Path] = []
        for place in places:
            path = self._find(model, usable, place)
            if path is not None and path not in paths:
                paths.append(path)
        self._paths[service] = paths
        self._made[service] = (self._directory.version, model.layers, now)
        return paths

    def there(self, endpoint: Endpoint) -> bool:
        """Return whether this run of an endpoint has not ended, for all we know.

        One that does not answer may still run what it was sent: it can be cut
        off, or slow to say how it is.
        """
        held = self._directory.held.get(endpoint.id)
        return held is not None and held.endpoint.incarnation == endpoint.incarnation

    def _around(
        self,
        service: Service,
        model: Model,
        tried: set[str],
        starts_at: frozenset[str] | None = None,
    ) -> Path | None:
        usable = []
        for held in self._directory.usable(service.name):
            if held.endpoint.id not in tried:
                usable.append(held)
        return self._find(model, usable, self._home, starts_at)

    def _find(
        self,
        model: Model,
        usable: list[Held],
        place: str,
        starts_at: frozenset[str] | None = None,
    ) -> Path | None:
        penalties = {}
        endpoints = []
        for held in usable:
            filling = held.token_load / room(held, model)
            factor = 1 + LOAD_WEIGHT * filling * filling
            if held.doubtful:
                factor *= DOUBT_FACTOR
            penalties[held.endpoint.id] = factor * held.pace
            endpoints.append(held.endpoint)
        return find_path(
            model,
            endpoints,
            place,
            lambda endpoint: penalties[endpoint.id],
            starts_at,
        )


def room(held: Held, model: Model) -> float:
    """Return how many tokens of requests fit beside an endpoint's layers."""
    layers = held.endpoint.layers
    accelerator = model.accelerators.get(held.endpoint.accelerator)
    if layers is None or layers.size == 0 or accelerator is None:
        return 1.0
    free_mb = accelerator.memory_mb - layers.size * model.layer_mb
    token_mb = model.kv_bytes / model.layers * layers.size / 1e6
    return max(1.0, free_mb / token_mb) if token_mb else 1.0


__all__ = [
    "Chooser",
    "room",
]
