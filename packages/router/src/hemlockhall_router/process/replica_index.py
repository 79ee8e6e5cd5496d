"""The endpoints of each service by replica, for choices among many of them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_router.version.replica import ReplicaDivision

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import Directory, EndpointRecord
    from hemlockhall_router.version.replica import Replica
    from hemlockhall_router.version.routing import Model

# Endpoints among which one request chooses its path, if there are more.
SAMPLE_SIZE = 130
# Replicas of the own data centre in a sample: one may be broken or full.
HOME_REPLICAS = 2


@dataclass(slots=True)
class _Entry:
    """One service; ``generation`` is that of the directory it was made from."""

    generation: int = -1
    endpoints: list[EndpointRecord] = field(default_factory=list)
    division: ReplicaDivision = field(default_factory=ReplicaDivision)
    replicas: dict[Replica, list[EndpointRecord]] = field(default_factory=dict)


class ReplicaIndex:
    """Lists of endpoints that follow the directory."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._entries: dict[str, _Entry] = {}

    def endpoints(self, service: str) -> list[EndpointRecord]:
        """Return all endpoints of a service."""
        return self._entry(service, None).endpoints

    def division(self, service: str, model: Model) -> ReplicaDivision:
        """Return how the data centres of a service are divided."""
        return self._entry(service, model).division

    def sample(
        self,
        service: str,
        model: Model,
        home: str,
        first_endpoint_ids: frozenset[str] | None = None,
    ) -> list[EndpointRecord]:
        """Return endpoints among which a request may find a path.

        Two replicas of the data centre ``home``, and those of others up to a bound;
        with ``first_endpoint_ids`` also the replicas of these endpoints. All of them
        if they are few.
        """
        entry = self._entry(service, model)
        if len(entry.endpoints) <= SAMPLE_SIZE:
            return entry.endpoints
        chosen: set[Replica] = set()
        for key in first_endpoint_ids or ():
            record = self._directory.records.get(key)
            if record is not None:
                chosen.add(entry.division.replica(record.endpoint))
        near = [replica for replica in entry.replicas if replica.data_centre == home]
        far = [replica for replica in entry.replicas if replica.data_centre != home]
        random.shuffle(near)
        random.shuffle(far)
        chosen.update(near[:HOME_REPLICAS])
        found = [record for replica in chosen for record in entry.replicas[replica]]
        for replica in far:
            if len(found) >= SAMPLE_SIZE:
                break
            if replica not in chosen:
                found += entry.replicas[replica]
        return found

    def _entry(self, service: str, model: Model | None) -> _Entry:
        entry = self._entries.setdefault(service, _Entry())
        if entry.generation != self._directory.generation:
            entry.generation = self._directory.generation
            entry.endpoints = []
            entry.replicas = {}
            for record in self._directory.records.values():
                if record.endpoint.service == service:
                    entry.endpoints.append(record)
        if model is not None and not entry.replicas:
            self._divide(entry, model)
        return entry

    def _divide(self, entry: _Entry, model: Model) -> None:
        entry.division.update(model, [record.endpoint for record in entry.endpoints])
        for record in entry.endpoints:
            replica = entry.division.replica(record.endpoint)
            entry.replicas.setdefault(replica, []).append(record)


__all__ = [
    "ReplicaIndex",
]
