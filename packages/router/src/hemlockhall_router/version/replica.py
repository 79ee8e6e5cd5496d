"""Division of a data centre's endpoints into replicas.

A replica is a set of endpoints of bounded size that holds whole copies of the
model. Its layers are planned, repaired and searched apart from those of the other
replicas, so neither a plan nor a choice grows with the number of endpoints.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.routing import Model

# Copies that the memory of each replica must hold for a data centre to be divided
# once more, and below which it is divided once less: losses that come and go must
# not divide it anew each time.
DIVIDE_COPIES = 3.0
JOIN_COPIES = 2.0
# Times that a data centre is halved at most.
MAX_HALVINGS = 12
# Endpoints whose hash is kept.
HASHES = 8192


@lru_cache(maxsize=HASHES)
def _hash(endpoint_id: str) -> int:
    digest = hashlib.blake2b(endpoint_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


@dataclass(slots=True, frozen=True, order=True)
class Replica:
    """One part of a data centre; those of all data centres are numbered from 0."""

    number: int
    data_centre: str


@dataclass(slots=True)
class ReplicaDivision:
    """How often each data centre is halved.

    An endpoint's replica follows from a hash of its id. Dividing once more splits
    each replica in two, so no endpoint changes places with another one.
    """

    halvings: dict[str, int] = field(default_factory=dict)

    def update(self, model: Model, endpoints: Iterable[Endpoint]) -> None:
        """Adapt to the endpoints that live."""
        by_place: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_place.setdefault(endpoint.data_centre, []).append(endpoint)
        for place, found in by_place.items():
            halvings = self.halvings.get(place, 0)
            while halvings and _least(model, found, halvings) < JOIN_COPIES:
                halvings -= 1
            while halvings < MAX_HALVINGS:
                if _least(model, found, halvings + 1) < DIVIDE_COPIES:
                    break
                halvings += 1
            self.halvings[place] = halvings

    def replica(self, endpoint: Endpoint) -> Replica:
        """Return the replica that an endpoint belongs to."""
        place = endpoint.data_centre
        mask = (1 << self.halvings.get(place, 0)) - 1
        return Replica(_hash(endpoint.id) & mask, place)


def _least(model: Model, endpoints: list[Endpoint], halvings: int) -> float:
    """Return the copies that the memory of the smallest replica holds."""
    memory = [0] * (1 << halvings)
    mask = len(memory) - 1
    for endpoint in endpoints:
        memory[_hash(endpoint.id) & mask] += model.capacity(endpoint.accelerator)
    return min(memory) / model.layers


__all__ = [
    "ReplicaDivision",
    "Replica",
]
