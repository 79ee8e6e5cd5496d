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
SPLIT_COPIES = 3.0
MERGE_COPIES = 2.0
# Times that a data centre is halved at most.
MAX_SPLITS = 12
# Endpoints whose hash is kept.
HASH_CACHE_SIZE = 8192


@lru_cache(maxsize=HASH_CACHE_SIZE)
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

    splits: dict[str, int] = field(default_factory=dict)

    def update(self, model: Model, endpoints: Iterable[Endpoint]) -> None:
        """Adapt to the endpoints that live."""
        by_data_centre: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_data_centre.setdefault(endpoint.data_centre, []).append(endpoint)
        for data_centre, members in by_data_centre.items():
            splits = self.splits.get(data_centre, 0)
            while splits and _min_copies(model, members, splits) < MERGE_COPIES:
                splits -= 1
            while splits < MAX_SPLITS:
                if _min_copies(model, members, splits + 1) < SPLIT_COPIES:
                    break
                splits += 1
            self.splits[data_centre] = splits

    def replica(self, endpoint: Endpoint) -> Replica:
        """Return the replica that an endpoint belongs to."""
        data_centre = endpoint.data_centre
        mask = (1 << self.splits.get(data_centre, 0)) - 1
        return Replica(_hash(endpoint.id) & mask, data_centre)


def _min_copies(model: Model, endpoints: list[Endpoint], splits: int) -> float:
    """Return the copies that the memory of the smallest replica holds."""
    memory = [0] * (1 << splits)
    mask = len(memory) - 1
    for endpoint in endpoints:
        memory[_hash(endpoint.id) & mask] += model.capacity(endpoint.accelerator)
    return min(memory) / model.layers


__all__ = [
    "ReplicaDivision",
    "Replica",
]
