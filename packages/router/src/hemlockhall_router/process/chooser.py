"""Choice of an endpoint or of a path for a request."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from hemlockhall_router.policy.data_centre_link import transfer_s
from hemlockhall_router.policy.utilization import (
    PENALTY_MS,
    PREFILL_WEIGHT,
    load_penalty,
    prefill_ms,
    utilization,
)
from hemlockhall_router.version.path import EndpointCost, find_path

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.policy.data_centre_link import DataCentreLinks
    from hemlockhall_router.process.directory import Directory, EndpointRecord
    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import Model, Service

# Spread of the costs of endpoints, either way. Hosts know of each other's requests
# with a delay; without it all would choose the same endpoints meanwhile.
SPREAD = 0.1
# Milliseconds a hop to another data centre costs for each token at least.
FAR_MS = 2.0
# Backlog of a pipe, in seconds, that leaves a prompt time to be read in its
# objective.
BACKLOG_S = 0.15
# Seconds for which no request looks for a path after a search over all endpoints
# found none. Many streams wait then, and searching for each would keep the host
# from passing on the events of the others.
NONE_S = 0.05
# Factor on the cost of an endpoint whose entry lapsed: it may have left, and is
# used only where the others are far slower or full.
DOUBT_FACTOR = 5.0


class Chooser:
    """Chooses among the endpoints in the directory."""

    def __init__(
        self,
        directory: Directory,
        home: str,
        pipes: DataCentreLinks,
        hosts: Callable[[], int],
    ) -> None:
        self._directory = directory
        self._hosts = hosts
        self._pipes = pipes
        self._home = home
        self._seen_at: dict[str, float] = {}
        self._none_deadlines: dict[str, float] = {}
        self._began = time.monotonic()

    def choose_endpoint(
        self, service: str, excluded: set[str]
    ) -> EndpointRecord | None:
        """Return the endpoint where a plain request waits least."""
        best: EndpointRecord | None = None
        least = float("inf")
        for record in self._directory.usable(service):
            if record.endpoint.id in excluded:
                continue
            slots = max(1, record.endpoint.slots)
            wait = record.latency_s * (1 + record.load / slots)
            if record.entry_lapsed:
                wait *= DOUBT_FACTOR
            wait *= random.uniform(0.9, 1.1)  # noqa: S311
            if wait < least:
                best, least = record, wait
        return best

    def choose_path(
        self,
        service: Service,
        excluded: set[str],
        first_endpoint_ids: frozenset[str] | None = None,
        tokens: int = 0,
    ) -> Path | None:
        """Return the path where a generation runs fastest and has room.

        Parameters
        ----------
        service : Service
            The service; it has a path only if it has a model.
        excluded : set of str
            Ids of endpoints that failed this request.
        first_endpoint_ids : frozenset of str, optional
            Ids of the endpoints that may receive the request.
        tokens : int
            Tokens of the request.
        """
        model = service.model
        if model is None:
            return None
        now = time.monotonic()
        if now < self._none_deadlines.get(service.name, 0.0):
            return None
        path = self._find(service, model, excluded, tokens, first_endpoint_ids)
        if path is not None:
            self._seen_at[service.name] = now
        elif not excluded and first_endpoint_ids is None:
            self._none_deadlines[service.name] = now + NONE_S
        return path

    def seconds_without_path(self, service: str) -> float:
        """Return for how many seconds there has been no path at all."""
        return time.monotonic() - self._seen_at.get(service, self._began)

    def _find(
        self,
        service: Service,
        model: Model,
        excluded: set[str],
        tokens: int,
        first_endpoint_ids: frozenset[str] | None,
    ) -> Path | None:
        catalog = self._directory.replica_index
        sample = catalog.sample(service.name, model, self._home, first_endpoint_ids)
        path = self._search(
            service, model, sample, excluded, tokens, first_endpoint_ids
        )
        endpoints = catalog.endpoints(service.name)
        if path is not None or len(sample) == len(endpoints):
            return path
        return self._search(
            service, model, endpoints, excluded, tokens, first_endpoint_ids
        )

    def _search(
        self,
        service: Service,
        model: Model,
        candidates: list[EndpointRecord],
        excluded: set[str],
        tokens: int,
        first_endpoint_ids: frozenset[str] | None,
    ) -> Path | None:
        # A prompt is read later by the time that its activations take the pipe.
        pipe_ms = FAR_MS + PREFILL_WEIGHT * 1000 * transfer_s(model, tokens)
        burst_s = self._pipes.burst_s(model, tokens)
        costs = {}
        hosts = self._hosts()
        now = time.monotonic()
        endpoints = []
        for record in candidates:
            if record.endpoint.id in excluded or not record.usable(now):
                continue
            costs[record.endpoint.id] = _endpoint_cost(
                record, model, service.slots, tokens, hosts
            )
            endpoints.append(record.endpoint)
        return find_path(
            model,
            endpoints,
            self._home,
            lambda endpoint: costs[endpoint.id],
            lambda here, there: pipe_ms + self._waiting_ms(here, there, burst_s),
            first_endpoint_ids,
        )

    def _waiting_ms(self, here: str, there: str, burst_s: float) -> float:
        backlog_s = self._pipes.backlog_s(here, there) + burst_s
        return PENALTY_MS * load_penalty(backlog_s / BACKLOG_S)


def _endpoint_cost(
    record: EndpointRecord, model: Model, slots: int, size: int, hosts: int
) -> EndpointCost:
    """Return what one more request at an endpoint costs."""
    factor = record.slowdown * random.uniform(1 - SPREAD, 1 + SPREAD)  # noqa: S311
    if record.entry_lapsed:
        factor *= DOUBT_FACTOR
    memory_ms = PENALTY_MS * load_penalty(utilization(record, model, size))
    start_ms = 0.0
    if slots:
        start_ms = PENALTY_MS * load_penalty((record.load + 1) / slots)
    layer_ms = PREFILL_WEIGHT * prefill_ms(record, model, size, hosts)
    return EndpointCost(
        factor, layer_ms * factor, memory_ms * factor, start_ms * factor
    )


__all__ = [
    "Chooser",
]
