"""Amount of work that the endpoints of a service can process and finish on time."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from hemlockhall_router.policy.utilization import token_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.process.directory import EndpointRecord
    from hemlockhall_router.version.routing import Model

# Fraction of the latency objective that waiting and processing at an endpoint may take;
# the rest is for the network and for loads that are known late.
ROOM_FRACTION = 0.7
# Bounds of the slots of an endpoint. Some state none, and one that states far too many
# would hide that the others are full.
MIN_SLOTS = 1
MAX_SLOTS = 10_000
# Lower bound of a service time; less cannot be measured over a network.
MIN_SERVICE_TIME_S = 0.001


@dataclass(slots=True, frozen=True)
class Room:
    """Room of a service.

    ``limit`` is the cost that may be in flight, in tokens for a model, else in
    requests. ``endpoints`` may get requests; ``withheld`` are known and may not: they
    are down, leaving, or in backoff after a failure. ``rate`` is the cost per second
    that they complete while all are busy, None if it does not follow from what is known
    of them.
    """

    limit: float
    endpoints: int
    withheld: int
    rate: float | None = None


class _Layers:
    """Tokens and first endpoints of a set of endpoints, by the layers they hold."""

    def __init__(self, layers: int) -> None:
        # Changes of the tokens from one layer to the next.
        self._changes = [0] * (layers + 1)
        self._first_endpoints = 0

    def add(self, first: int, end: int, tokens: int) -> None:
        """Add an endpoint that holds these layers, end exclusive."""
        last = len(self._changes) - 1
        if not 0 <= first < end <= last:
            return
        self._changes[first] += tokens
        self._changes[end] -= tokens
        if first == 0:
            self._first_endpoints += 1

    def limit(self, first_tokens: float) -> float:
        """Return the tokens at the scarcest layer.

        They are at most ``first_tokens`` for each endpoint that holds the first layer.
        """
        least = min(accumulate(self._changes[:-1]), default=0)
        if not self._first_endpoints:
            return 0.0
        return float(min(least, first_tokens * self._first_endpoints))


def plain_room(
    records: Iterable[EndpointRecord], objective_s: float, now: float
) -> Room:
    """Return the requests that endpoints can finish within an objective.

    An endpoint that is slower than the objective counts with its slots.
    """
    limit = rate = 0.0
    endpoints = withheld = 0
    allowed_s = ROOM_FRACTION * objective_s
    for record in records:
        if record.replaced:
            continue
        if not _may_work(record, now):
            withheld += 1
            continue
        endpoints += 1
        slots = clamp_slots(record.endpoint.slots)
        service_time_s = max(MIN_SERVICE_TIME_S, record.service_time_s)
        limit += slots * max(1.0, allowed_s / service_time_s)
        rate += slots / service_time_s
    return Room(limit, endpoints, withheld, rate)


def stream_room(
    records: Iterable[EndpointRecord],
    model: Model,
    slots: int,
    now: float,
    request_tokens: float = 0.0,
) -> Room:
    """Return the tokens of requests that fit beside the layers of a model.

    The scarcest layer limits them. The endpoints of all data centres count together:
    while one of them lacks layers, its requests cross to others. ``slots`` is the
    number of requests that an endpoint takes at once as the first of a path; with 0
    only memory counts. ``request_tokens`` is the mean cost of a request, the model's
    typical one if it is 0.
    """
    endpoints = withheld = 0
    held = _Layers(model.layers)
    capacities: dict[tuple[str, int], int] = {}
    for record in records:
        if record.replaced:
            continue
        if not _may_work(record, now):
            withheld += 1
            continue
        endpoints += 1
        endpoint = record.endpoint
        layers = endpoint.layers
        if layers is None:
            continue
        # Endpoints with the same accelerator and number of layers have the same.
        kind = (endpoint.accelerator, layers.size)
        tokens = capacities.get(kind)
        if tokens is None:
            # Integers, so that the sums have no rounding errors.
            tokens = capacities[kind] = int(token_capacity(record, model))
        held.add(layers.first, layers.end, tokens)
    limit = held.limit(_first_tokens(model, slots, request_tokens))
    return Room(limit, endpoints, withheld)


def clamp_slots(slots: int) -> int:
    """Return the slots of an endpoint, within the bounds of what one may have."""
    return min(MAX_SLOTS, max(MIN_SLOTS, slots))


def _may_work(record: EndpointRecord, now: float) -> bool:
    """Return whether an endpoint works on requests.

    One that pauses goes on with what it has, so it is a part of the room. One that is
    in backoff after a rejection, and not after a failure, is full: what it works on is
    a part of the room, too.
    """
    if record.replaced or record.leaving(now):
        return False
    if record.down:
        return record.pausing(now)
    return record.failures == 0 or now >= record.backoff_deadline


def _first_tokens(model: Model, slots: int, request_tokens: float) -> float:
    """Return the tokens of the requests that one endpoint takes as the first."""
    if request_tokens <= 0.0:
        request_tokens = model.typical_prompt_tokens + model.typical_output_tokens
    if slots <= 0 or request_tokens <= 0.0:
        return float("inf")
    return clamp_slots(slots) * request_tokens


__all__ = [
    "Room",
    "clamp_slots",
    "plain_room",
    "stream_room",
]
