"""Index of each service's endpoints by replica.

A replica is a group of endpoints of one data centre that holds complete copies of the
model (see ``version/replica.py``).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_router.version.replica import ReplicaDivision

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import Directory, EndpointRecord
    from hemlockhall_router.version.replica import Replica
    from hemlockhall_router.version.routing import Model

# Number of endpoints up to which replicas of other data centres are added to the sample
# in which a request's path is searched. Whole replicas are added, so it can be larger.
SAMPLE_SIZE = 130
# Replicas of the local data centre in a sample; two, as one may be broken or full.
LOCAL_REPLICAS = 2


@dataclass(slots=True)
class _ServiceIndex:
    """Endpoints of one service, built from one ``generation`` of the directory."""

    generation: int = -1
    records: list[EndpointRecord] = field(default_factory=list)
    division: ReplicaDivision = field(default_factory=ReplicaDivision)
    replicas: dict[Replica, list[EndpointRecord]] = field(default_factory=dict)


class ReplicaIndex:
    """Endpoints by service and replica, rebuilt when the directory's set changes."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._services: dict[str, _ServiceIndex] = {}

    def records(self, service: str) -> list[EndpointRecord]:
        """Return the records of all endpoints of a service."""
        return self._service_index(service, None).records

    def division(self, service: str, model: Model) -> ReplicaDivision:
        """Return how the data centres of a service are divided into replicas."""
        return self._service_index(service, model).division

    def sample(
        self,
        service: str,
        model: Model,
        local_data_centre: str,
        first_endpoint_ids: frozenset[str] | None = None,
    ) -> list[EndpointRecord]:
        """Return a random sample of endpoints, in whole replicas, for a path search.

        It has ``LOCAL_REPLICAS`` of this host's data centre, ``local_data_centre``,
        the replicas of the endpoints in ``first_endpoint_ids``, and replicas of other
        data centres until it has at least ``SAMPLE_SIZE`` endpoints. A service with no
        more than these is returned whole.
        """
        index = self._service_index(service, model)
        if len(index.records) <= SAMPLE_SIZE:
            return index.records
        chosen: set[Replica] = set()
        for endpoint_id in first_endpoint_ids or ():
            record = self._directory.records.get(endpoint_id)
            if record is not None:
                chosen.add(index.division.replica(record.endpoint))
        local = [
            replica
            for replica in index.replicas
            if replica.data_centre == local_data_centre
        ]
        remote = [
            replica
            for replica in index.replicas
            if replica.data_centre != local_data_centre
        ]
        random.shuffle(local)
        random.shuffle(remote)
        chosen.update(local[:LOCAL_REPLICAS])
        found = [record for replica in chosen for record in index.replicas[replica]]
        for replica in remote:
            if len(found) >= SAMPLE_SIZE:
                break
            if replica not in chosen:
                found += index.replicas[replica]
        return found

    def _service_index(self, service: str, model: Model | None) -> _ServiceIndex:
        index = self._services.setdefault(service, _ServiceIndex())
        if index.generation != self._directory.generation:
            index.generation = self._directory.generation
            index.records = []
            index.replicas = {}
            for record in self._directory.records.values():
                if record.endpoint.service == service:
                    index.records.append(record)
        if model is not None and not index.replicas:
            self._group_by_replica(index, model)
        return index

    def _group_by_replica(self, index: _ServiceIndex, model: Model) -> None:
        index.division.update(model, [record.endpoint for record in index.records])
        for record in index.records:
            replica = index.division.replica(record.endpoint)
            index.replicas.setdefault(replica, []).append(record)


__all__ = [
    "ReplicaIndex",
]
