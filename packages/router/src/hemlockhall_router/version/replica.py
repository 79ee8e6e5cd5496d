"""Division of a data centre's endpoints into replicas.

A replica is a set of endpoints of bounded size that holds complete copies of the
model. Its layers are planned and repaired apart from those of other replicas, and a
path search looks at a few replicas, so neither grows with the number of endpoints.
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

# A data centre is split once more if the memory of its smallest replica then still
# holds this many copies of the model.
SPLIT_COPIES = 3.0
# It is split once less if the memory of its smallest replica holds fewer copies. The
# two differ so that endpoints which come and go do not split and merge it repeatedly.
MERGE_COPIES = 2.0
# Splits of a data centre; n of them make 2**n replicas.
MAX_SPLITS = 12
# Endpoint ids whose hash is cached.
HASH_CACHE_SIZE = 8192


@lru_cache(maxsize=HASH_CACHE_SIZE)
def _hash(endpoint_id: str) -> int:
    digest = hashlib.blake2b(endpoint_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


@dataclass(slots=True, frozen=True, order=True)
class Replica:
    """A replica of a data centre; numbers start at 0 in each data centre."""

    number: int
    data_centre: str


@dataclass(slots=True)
class ReplicaDivision:
    """Number of times that each data centre is split in two.

    A hash of its id decides an endpoint's replica. One more split divides each replica
    in two, and moves no endpoint between the replicas there were.
    """

    splits: dict[str, int] = field(default_factory=dict)

    def update(self, model: Model, endpoints: Iterable[Endpoint]) -> None:
        """Split or merge data centres to fit the live endpoints."""
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
        """Return the replica of an endpoint."""
        data_centre = endpoint.data_centre
        mask = (1 << self.splits.get(data_centre, 0)) - 1
        return Replica(_hash(endpoint.id) & mask, data_centre)


def _min_copies(model: Model, endpoints: list[Endpoint], splits: int) -> float:
    """Return the copies that fill the memory of the smallest replica."""
    memory = [0] * (1 << splits)
    mask = len(memory) - 1
    for endpoint in endpoints:
        memory[_hash(endpoint.id) & mask] += model.capacity(endpoint.accelerator)
    return min(memory) / model.layers


__all__ = [
    "ReplicaDivision",
    "Replica",
]
