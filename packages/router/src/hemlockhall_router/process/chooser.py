"""Selection of an endpoint or a path for a request."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

from hemlockhall_router.policy.data_centre_link import transfer_s
from hemlockhall_router.policy.endpoint_rate import select_endpoint
from hemlockhall_router.policy.utilization import (
    PENALTY_MS,
    PREFILL_WEIGHT,
    load_penalty,
    prefill_ms,
    utilization,
)
from hemlockhall_router.process.limits import NoPermitError
from hemlockhall_router.process.statement import EndpointsRestingError
from hemlockhall_router.version.path import EndpointCost, find_path

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from hemlockhall_router.policy.data_centre_link import DataCentreLinks
    from hemlockhall_router.process.directory import Directory, EndpointRecord
    from hemlockhall_router.process.limits import EndpointLimits
    from hemlockhall_router.process.statement import EndpointStatements
    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import Model, Service

# Relative jitter of endpoint costs, in both directions. Hosts learn of each other's
# requests with a delay; without jitter all would choose the same endpoints meanwhile.
COST_JITTER = 0.1
# Least cost of a hop to another data centre, in milliseconds per token.
MIN_CROSS_DATA_CENTRE_MS = 2.0
# Backlog of a data centre link up to which a prompt can be processed within its
# latency objective.
LINK_BACKLOG_LIMIT_S = 0.15
# Time without path searches after one over all endpoints found no path. Many streams
# wait in that case, and a search for each would keep the host from relaying the events
# of the others.
NO_PATH_BACKOFF_S = 0.05
# Cost factor of an endpoint whose entry lapsed. It may have left, so it is used only
# if the others are far slower or full.
LAPSED_ENTRY_FACTOR = 5.0
# Cost of each pausing endpoint on a path, in milliseconds per token: above that of any
# path without one.
PAUSING_MS = 1e9


class Chooser:
    """Selects the cheapest endpoint or path among those in the directory.

    Parameters
    ----------
    directory : Directory
        The known endpoints.
    local_data_centre : str
        Data centre of this host.
    data_centre_links : DataCentreLinks
        Backlog of the links between data centres.
    host_count : callable
        Returns the number of hosts in this data centre.
    limits : EndpointLimits
        Says whether this host has a permit to send a request to an endpoint.
    statements : EndpointStatements
        Says when a request may be sent to an endpoint that asked for rest.
    """

    def __init__(
        self,
        directory: Directory,
        local_data_centre: str,
        data_centre_links: DataCentreLinks,
        host_count: Callable[[], int],
        limits: EndpointLimits,
        statements: EndpointStatements,
    ) -> None:
        self._limits = limits
        self._statements = statements
        self._directory = directory
        self._host_count = host_count
        self._data_centre_links = data_centre_links
        self._local_data_centre = local_data_centre
        self._path_found_at: dict[str, float] = {}
        self._no_path_deadlines: dict[str, float] = {}
        self._no_permit_deadlines: dict[tuple[str, bool], float] = {}
        # How long the last result for a service is used, and that result.
        self._rest_deadlines: dict[str, tuple[float, float]] = {}
        self._started_at = time.monotonic()

    def choose_endpoint(
        self,
        service: str,
        excluded: set[str],
        *,
        by_rate: bool = False,
        objective_s: float = 0.0,
        remaining_s: float = inf,
        pausing: bool = True,
    ) -> EndpointRecord | None:
        """Return the usable endpoint with the least expected wait, or None.

        If there is none, it is a pausing one.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : set of str
            Ids of endpoints that must not be chosen.
        by_rate : bool
            Whether to choose by observed service times, as under overload control. The
            parameters below have no effect otherwise.
        objective_s : float
            Latency objective, 0 for none.
        remaining_s : float
            Time until the request's deadline.
        pausing : bool
            Whether endpoints that pause may be chosen.

        Raises
        ------
        NoPermitError
            If this host has no permit for any of the usable ones.
        EndpointsRestingError
            If the others asked for rest.
        NoRoomError
            With ``by_rate``, if none is expected to respond in the remaining time.
        """
        candidates = []
        without_permit = []
        resting: dict[str, float] = {}
        usable = self._directory.usable(service)
        for record in usable:
            send_at = self._statements.send_at(record.endpoint)
            if send_at:
                resting[record.endpoint.id] = send_at
                continue
            if record.endpoint.id in excluded:
                continue
            if not self._limits.may_send(record.endpoint):
                without_permit.append(record.endpoint)
                continue
            candidates.append(record)
        if pausing and not usable:
            record = _least_wait(self._pausing_candidates(service, excluded))
            if record is not None:
                return record
        if not candidates and without_permit:
            raise NoPermitError(without_permit)
        if not candidates and resting:
            raise EndpointsRestingError(resting, min(resting.values()))
        if not candidates or not by_rate:
            return _least_wait(candidates)
        now = time.monotonic()
        best = select_endpoint(
            candidates, now, objective_s, remaining_s, LAPSED_ENTRY_FACTOR
        )
        best.begin_waiting(now)
        return best

    def choose_path(
        self,
        service: Service,
        excluded: set[str],
        first_endpoint_ids: frozenset[str] | None = None,
        tokens: int = 0,
        *,
        resumed: bool = False,
        pausing: bool = True,
    ) -> Path | None:
        """Return the cheapest path for a generating request, or None.

        If endpoints that answer form no path, it has as few pausing ones as possible.
        It is None if there is no path, or if a search over all endpoints found none
        within the last ``NO_PATH_BACKOFF_S``.

        Parameters
        ----------
        service : Service
            The service; one without a model has no path.
        excluded : set of str
            Ids of endpoints that must not be on the path.
        first_endpoint_ids : frozenset of str, optional
            Ids of the endpoints that may be the first on the path.
        tokens : int
            Tokens of the request, prompt and output.
        resumed : bool
            Whether the caller has events of the stream.
        pausing : bool
            Whether endpoints that pause may be used.

        Raises
        ------
        NoPermitError
            If there are paths, and this host has no permit for the first endpoint of
            any of them.
        EndpointsRestingError
            If there are paths, and on each of them an endpoint asked for rest.
        """
        model = service.model
        if model is None:
            return None
        now = time.monotonic()
        if now < self._no_path_deadlines.get(service.name, 0.0):
            return None
        resting = self._resting_endpoints(service.name)
        others = excluded.difference(resting)
        unrestricted = not others and first_endpoint_ids is None
        if resting and unrestricted:
            until, send_at = self._rest_deadlines.get(service.name, (0.0, 0.0))
            if now < until:
                raise EndpointsRestingError(resting, send_at)
        excluded = excluded.union(resting)
        without_permit = self._first_endpoints_without_permit(
            service.name, excluded, first_endpoint_ids, resumed=resumed
        )
        # A search over all endpoints just found none with a permit, so one over some of
        # them would not either.
        cache_key = (service.name, resumed)
        if without_permit and now < self._no_permit_deadlines.get(cache_key, 0.0):
            raise NoPermitError(without_permit)
        not_first_ids = {endpoint.id for endpoint in without_permit}
        path = self._find(
            service, model, excluded, tokens, first_endpoint_ids, not_first_ids
        )
        if path is None and pausing and not without_permit and not resting:
            path = self._find_pausing(
                service, model, excluded, tokens, first_endpoint_ids, resumed=resumed
            )
        if path is None and without_permit:
            path = self._find(service, model, excluded, tokens, first_endpoint_ids, ())
            if path is not None:
                if unrestricted and pausing:
                    self._no_permit_deadlines[cache_key] = now + NO_PATH_BACKOFF_S
                self._path_found_at[service.name] = now
                raise NoPermitError(without_permit)
        if path is None and resting:
            possible_at = self._path_possible_at(
                service, model, others, tokens, first_endpoint_ids, resting
            )
            if possible_at is not None:
                if unrestricted and pausing:
                    until = min(possible_at, now + NO_PATH_BACKOFF_S)
                    self._rest_deadlines[service.name] = (until, possible_at)
                self._path_found_at[service.name] = now
                raise EndpointsRestingError(resting, possible_at)
        if path is not None:
            self._path_found_at[service.name] = now
        elif unrestricted and pausing:
            self._no_path_deadlines[service.name] = now + NO_PATH_BACKOFF_S
        return path

    def _resting_endpoints(self, service: str) -> dict[str, float]:
        """Return when requests may be sent to those that asked for rest, by id."""
        if not self._statements.any_resting:
            return {}
        found = {}
        for record in self._directory.usable(service):
            send_at = self._statements.send_at(record.endpoint)
            if send_at:
                found[record.endpoint.id] = send_at
        return found

    def _path_possible_at(
        self,
        service: Service,
        model: Model,
        excluded: set[str],
        tokens: int,
        first_endpoint_ids: frozenset[str] | None,
        resting: dict[str, float],
    ) -> float | None:
        """Return the time at which enough endpoints have rested for a path, or None.

        ``resting`` has the time at which each of them may get requests, by id.
        """
        times = sorted(set(resting.values()))
        found = None
        first, end = 0, len(times)
        while first < end:
            # Without a path at the last time there is none at any other.
            middle = end - 1 if found is None else (first + end) // 2
            still_resting = {key for key in resting if resting[key] > times[middle]}
            path = self._find(
                service,
                model,
                excluded | still_resting,
                tokens,
                first_endpoint_ids,
                (),
            )
            if path is not None:
                found, end = times[middle], middle
            elif found is None:
                return None
            else:
                first = middle + 1
        return found

    def _first_endpoints_without_permit(
        self,
        service: str,
        excluded: set[str],
        allowed_ids: frozenset[str] | None,
        *,
        resumed: bool,
        pausing: bool = False,
    ) -> list[Endpoint]:
        """Return the endpoints that only the lack of a permit keeps from being first.

        ``allowed_ids`` are the only endpoints that may be first, if given. With
        ``pausing``, they include endpoints that pause.
        """
        if not self._limits.active:
            return []
        found = []
        records = self._directory.usable(service)
        if pausing:
            records += self._directory.pausing(service)
        for record in records:
            endpoint = record.endpoint
            if endpoint.layers is None or endpoint.layers.first > 0:
                continue
            if endpoint.id in excluded:
                continue
            if allowed_ids is not None and endpoint.id not in allowed_ids:
                continue
            if not self._limits.may_send(endpoint, resumed=resumed):
                found.append(endpoint)
        return found

    def _pausing_candidates(
        self, service: str, excluded: set[str]
    ) -> list[EndpointRecord]:
        """Return the pausing endpoints that a request may wait at."""
        found = []
        for record in self._directory.pausing(service):
            endpoint = record.endpoint
            if endpoint.id in excluded or self._statements.send_at(endpoint):
                continue
            if self._limits.may_send(endpoint):
                found.append(record)
        return found

    def _find_pausing(
        self,
        service: Service,
        model: Model,
        excluded: set[str],
        tokens: int,
        first_endpoint_ids: frozenset[str] | None,
        *,
        resumed: bool,
    ) -> Path | None:
        """Return a path with as few pausing endpoints as possible, or None."""
        pausing_ids = set()
        for record in self._directory.pausing(service.name):
            if not self._statements.send_at(record.endpoint):
                pausing_ids.add(record.endpoint.id)
        pausing_ids -= excluded
        if not pausing_ids:
            return None
        without_permit = self._first_endpoints_without_permit(
            service.name, excluded, first_endpoint_ids, resumed=resumed, pausing=True
        )
        return self._search(
            service,
            model,
            self._directory.replica_index.records(service.name),
            excluded,
            tokens,
            first_endpoint_ids,
            {endpoint.id for endpoint in without_permit},
            pausing_ids,
        )

    def seconds_since_path_found(self, service: str) -> float:
        """Return the seconds since a path of a service was last found.

        They count from the start of this host if none was found yet.
        """
        return time.monotonic() - self._path_found_at.get(service, self._started_at)

    def _find(
        self,
        service: Service,
        model: Model,
        excluded: set[str],
        tokens: int,
        first_endpoint_ids: frozenset[str] | None,
        not_first_ids: Collection[str],
    ) -> Path | None:
        index = self._directory.replica_index
        sample = index.sample(
            service.name, model, self._local_data_centre, first_endpoint_ids
        )
        path = self._search(
            service, model, sample, excluded, tokens, first_endpoint_ids, not_first_ids
        )
        records = index.records(service.name)
        if path is not None or len(sample) == len(records):
            return path
        return self._search(
            service, model, records, excluded, tokens, first_endpoint_ids, not_first_ids
        )

    def _search(
        self,
        service: Service,
        model: Model,
        candidates: list[EndpointRecord],
        excluded: set[str],
        tokens: int,
        first_endpoint_ids: frozenset[str] | None,
        not_first_ids: Collection[str],
        pausing_ids: Collection[str] = (),
    ) -> Path | None:
        """Return the cheapest path over candidates, and pausing ones if given."""
        # The transfer of a prompt's activations delays its processing.
        link_ms = MIN_CROSS_DATA_CENTRE_MS + PREFILL_WEIGHT * 1000 * transfer_s(
            model, tokens
        )
        burst_s = self._data_centre_links.burst_s(model, tokens)
        costs = {}
        host_count = self._host_count()
        now = time.monotonic()
        endpoints = []
        for record in candidates:
            endpoint_id = record.endpoint.id
            pausing = endpoint_id in pausing_ids
            if endpoint_id in excluded or not (pausing or record.usable(now)):
                continue
            cost = _endpoint_cost(record, model, service.slots, tokens, host_count)
            if pausing:
                cost = replace(cost, stage_ms=cost.stage_ms + PAUSING_MS)
            costs[endpoint_id] = cost
            endpoints.append(record.endpoint)
        return find_path(
            model,
            endpoints,
            self._local_data_centre,
            lambda endpoint: costs[endpoint.id],
            lambda source, target: link_ms + self._queueing_ms(source, target, burst_s),
            first_endpoint_ids,
            not_first_ids,
        )

    def _queueing_ms(self, source: str, target: str, burst_s: float) -> float:
        backlog_s = self._data_centre_links.backlog_s(source, target) + burst_s
        return PENALTY_MS * load_penalty(backlog_s / LINK_BACKLOG_LIMIT_S)


def _least_wait(records: list[EndpointRecord]) -> EndpointRecord | None:
    """Return the endpoint with the least expected wait by its average latency."""
    best: EndpointRecord | None = None
    least = inf
    for record in records:
        slots = max(1, record.endpoint.slots)
        wait = record.latency_s * (1 + record.load / slots)
        if record.entry_lapsed:
            wait *= LAPSED_ENTRY_FACTOR
        wait *= random.uniform(0.9, 1.1)  # noqa: S311
        if wait < least:
            best, least = record, wait
    return best


def _endpoint_cost(
    record: EndpointRecord, model: Model, slots: int, tokens: int, host_count: int
) -> EndpointCost:
    """Return the cost of one more request at an endpoint."""
    factor = record.slowdown * random.uniform(1 - COST_JITTER, 1 + COST_JITTER)  # noqa: S311
    if record.entry_lapsed:
        factor *= LAPSED_ENTRY_FACTOR
    memory_ms = PENALTY_MS * load_penalty(utilization(record, model, tokens))
    start_ms = 0.0
    if slots:
        start_ms = PENALTY_MS * load_penalty((record.load + 1) / slots)
    layer_ms = PREFILL_WEIGHT * prefill_ms(record, model, tokens, host_count)
    return EndpointCost(
        factor, layer_ms * factor, memory_ms * factor, start_ms * factor
    )


__all__ = [
    "Chooser",
]
