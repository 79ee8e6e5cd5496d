"""What this host knows of the endpoints, and which of them it uses."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from math import ceil
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.membership.message import LayerUpdate, Load, endpoint_key
from hemlockhall_router.membership.tally import MAX_EVENT_AGE_MS
from hemlockhall_router.process.addresses import Addresses
from hemlockhall_router.process.replica_index import ReplicaIndex
from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.store import Row
    from hemlockhall_router.process.timing import Timing
    from hemlockhall_router.request.active_stream import ActiveStream
    from hemlockhall_router.version.endpoint import Endpoint, EndpointReport

# Seconds an endpoint that failed is left out, doubled with each failure in a
# row: long enough for a restart of a process, short enough to try again soon.
AVOID_S = 0.5
AVOID_MAX_S = 4.0
# Seconds an endpoint that has no room is left out; requests there end all the time.
BUSY_S = 0.2
# Part of the streams on a leaving endpoint that go on elsewhere together: all at
# once find the memory of the other endpoints full.
MOVE_PART = 0.35
# Weight of the newest value in moving averages.
SMOOTHING = 0.2
# Change of an endpoint's pace that is acted on.
PACE_STEP = 0.3
# Seconds after an endpoint was found down from which an event that came through it
# at another host shows that it lives: messages between hosts take a while.
HEARD_AFTER_S = 0.3
# Seconds after a refusal for which a report says why, and part of an endpoint's
# memory up to which it has room for any request.
REFUSED_S = 1.0
ROOMY = 0.25
# Seconds after its start, or after its layers changed, from which it is judged so:
# before, it refuses for other reasons.
SETTLED_S = 2.0
# Seconds for which an endpoint that seems to leave is left out, by the host that
# found it and by those that heard of it: as long as that host says so.
SHUT_S = 2.0
SHUT_HEARD_S = 1.0
# Seconds for which a run whose entry is gone may go on: as long as any stream lasts.
LEFT_S = 30.0
NO_LOAD = Load(0, 0, 0, 0, MAX_EVENT_AGE_MS)
# Latency assumed of an endpoint that has not answered yet, in seconds.
UNKNOWN_S = 0.1


@dataclass(slots=True)
class EndpointRecord:
    """An endpoint, and what this host has seen of it.

    ``tokens`` are those of its requests, ``prefill_tokens`` those of the requests
    without an event so far, whose prompts it still reads; ``remote_in_flight``,
    ``remote_tokens`` and ``remote_prefill_tokens`` are the same of other hosts there.
    ``ahead`` tells that its layers are newer than its entry in the store,
    ``replaced`` that another run has its address by now.
    An event came through it at ``last_event_at``, here or at another host, and here at
    ``last_local_event_at``.
    """

    endpoint: Endpoint
    in_flight: int = 0
    tokens: int = 0
    prefill_tokens: int = 0
    remote_in_flight: int = 0
    remote_tokens: int = 0
    remote_prefill_tokens: int = 0
    failures: int = 0
    backoff_deadline: float = 0.0
    entry_grace_deadline: float | None = None
    latency_s: float = UNKNOWN_S
    down: bool = False
    down_at: float = 0.0
    checked_at: float = 0.0
    slowdown: float = 1.0
    next_move_deadline: float | None = None
    key: int = 0
    refused_at: float = float("-inf")
    presumed_draining_deadline: float = 0.0
    presumed_draining_here: bool = False
    changed_at: float = field(default_factory=time.monotonic)
    ahead: bool = False
    replaced: bool = False
    last_event_at: float = 0.0
    last_local_event_at: float = 0.0
    active_streams: set[ActiveStream] = field(default_factory=set)

    @property
    def suspect(self) -> bool:
        """Whether it should be asked again without a new reason."""
        if self.replaced:
            return False
        return self.down or self.slowdown > 1.0 + PACE_STEP

    @property
    def entry_lapsed(self) -> bool:
        """Whether its entry lapsed, and it is not known yet whether it left."""
        return self.entry_grace_deadline is not None

    @property
    def load(self) -> int:
        """Requests of all hosts there, as far as is known."""
        return self.in_flight + self.remote_in_flight

    @property
    def token_load(self) -> int:
        """Tokens of the requests of all hosts there, as far as is known."""
        return self.tokens + self.remote_tokens

    def renew(self) -> None:
        """Forget what was seen of an earlier run."""
        self.failures = 0
        self.backoff_deadline = 0.0
        self.down = False
        self.slowdown = 1.0
        self.presumed_draining_deadline = 0.0
        self.replaced = False

    def presumed_draining(self, now: float) -> bool:
        """Return whether it seems to leave without a word in the store."""
        return now < self.presumed_draining_deadline

    def usable(self, now: float) -> bool:
        """Return whether a new request may go there."""
        if self.endpoint.draining or self.replaced:
            return False
        if self.down or self.presumed_draining(now):
            return False
        return now >= self.backoff_deadline


class Directory:
    """All endpoints by id.

    ``version`` counts changes, ``generation`` those of which endpoints there are.

    Parameters
    ----------
    decode : callable
        Returns the endpoint that a row names, or None.
    outage : callable
        Returns the monotonic time until which a missing entry may come back,
        or 0 if the store was there all the while.
    timing : Timing
        When the streams of a leaving endpoint go on elsewhere.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], Endpoint | None],
        outage: Callable[[], float],
        timing: Timing,
    ) -> None:
        self._decode = decode
        self._outage = outage
        self._timing = timing
        self.records: dict[str, EndpointRecord] = {}
        self.active_streams: set[ActiveStream] = set()
        self.version = 0
        self.generation = 0
        self.replica_index = ReplicaIndex(self)
        self._departed: list[EndpointRecord] = []
        self._addresses = Addresses()
        self._left: dict[tuple[str, int], float] = {}

    def apply_rows(self, rows: list[Row]) -> None:
        """Act on changed rows of the endpoint table."""
        for row in rows:
            endpoint = None
            if not row.deleted:
                endpoint = self._decode(row.key, row.value)
            if endpoint is None:
                self._missing(row)
            else:
                self._put(endpoint)
        self._bump()

    def add(self, endpoint: Endpoint) -> EndpointRecord:
        """Enter a new endpoint, and return its record."""
        record = EndpointRecord(endpoint, key=endpoint_key(endpoint.id))
        self.records[endpoint.id] = record
        self.generation += 1
        return record

    def _put(self, endpoint: Endpoint) -> None:
        record = self.records.get(endpoint.id)
        if record is None:
            self._occupy(self.add(endpoint))
            logger.info(
                "endpoint appeared",
                endpoint=endpoint.id,
                service=endpoint.service,
                place=endpoint.data_centre,
                layers=_span(endpoint),
                draining=endpoint.draining,
            )
            return
        old = record.endpoint
        record.entry_grace_deadline = None
        renewed = old.incarnation != endpoint.incarnation
        renewed = renewed or old.address != endpoint.address
        if endpoint.draining and record.next_move_deadline is None:
            record.next_move_deadline = time.monotonic() + self._timing.move_delay_s
        if old.draining != endpoint.draining or old.layers != endpoint.layers:
            logger.info(
                "endpoint changed",
                endpoint=endpoint.id,
                layers=_span(endpoint),
                draining=endpoint.draining,
            )
        if renewed:
            self._addresses.leave(record)
            record.renew()
            self.generation += 1
        record.endpoint = self._newest(record, endpoint)
        if renewed:
            self._occupy(record)
        if renewed or record.endpoint.layers != old.layers:
            record.changed_at = time.monotonic()

    def _occupy(self, record: EndpointRecord) -> None:
        """Take the address of an endpoint from a run there that has ended.

        The new run answers for the old one there, which would seem to be back.
        """
        ended = self._addresses.occupy(record)
        if ended is None:
            return
        ended.replaced = True
        logger.info(
            "endpoint replaced",
            endpoint=ended.endpoint.id,
            by=record.endpoint.id,
            streams=len(ended.active_streams),
        )
        _move(ended, "endpoint replaced")

    def _newest(self, record: EndpointRecord, entry: Endpoint) -> Endpoint:
        """Return an entry of the store, with layers that are newer than it."""
        old = record.endpoint
        if record.ahead and old.incarnation == entry.incarnation:
            if entry.order_count < old.order_count:
                return replace(entry, order_count=old.order_count, layers=old.layers)
        record.ahead = False
        return entry

    def layer_updates(self) -> list[LayerUpdate]:
        """Return the layers that the store does not tell yet."""
        found = []
        for record in self.records.values():
            endpoint = record.endpoint
            if not record.ahead or endpoint.layers is None:
                continue
            layers = endpoint.layers
            found.append(
                LayerUpdate(
                    record.key,
                    endpoint.started_ms,
                    endpoint.order_count,
                    layers.first,
                    layers.end,
                )
            )
        return found

    def apply_layer_updates(self, facts: list[LayerUpdate]) -> None:
        """Take layers that another host knows from the endpoints themselves.

        While the store is away nobody else learns what the planner's orders
        changed, and sends requests along layers that are no longer there.
        """
        by_key = {record.key: record for record in self.records.values()}
        for fact in facts:
            record = by_key.get(fact.endpoint)
            if record is None or record.endpoint.started_ms != fact.started_ms:
                continue
            if record.endpoint.order_count >= fact.order_count:
                continue
            layers = LayerRange(fact.first, fact.end)
            record.endpoint = replace(
                record.endpoint, order_count=fact.order_count, layers=layers
            )
            record.ahead = True
            self._bump()

    def _missing(self, row: Row) -> None:
        record = self.records.get(row.key)
        if record is None:
            return
        deadline = self._outage()
        # While the store was away it removes entries of endpoints that could
        # not reach it. Dropping them all at once would refuse every request
        # though nothing failed; they are back soon, or they are gone.
        if row.deleted and time.monotonic() < deadline and not record.endpoint.draining:
            record.entry_grace_deadline = deadline
            return
        self._drop(row.key, "removed" if row.deleted else "entry cannot be read")

    def _drop(self, key: str, cause: str) -> None:
        record = self.records.pop(key)
        self._addresses.leave(record)
        self.generation += 1
        if not record.down and not record.replaced:
            # Some endpoints leave without a word, and serve on without an entry.
            deadline = time.monotonic() + LEFT_S
            self._left[record.endpoint.incarnation] = deadline
        if record.active_streams:
            record.next_move_deadline = (
                record.next_move_deadline
                or time.monotonic() + self._timing.move_delay_s
            )
            self._departed.append(record)
        logger.info("endpoint gone", endpoint=key, cause=cause)

    def process_deadlines(self) -> None:
        """Drop the endpoints that did not come back in time."""
        now = time.monotonic()
        for key in list(self.records):
            deadline = self.records[key].entry_grace_deadline
            if deadline is None:
                continue
            # Another host may have had the store all the while.
            if now >= deadline or self._outage() == 0.0:
                self._drop(key, "did not come back after the outage")
                self._bump()
        for record in (*self.records.values(), *self._departed):
            if (
                record.next_move_deadline is not None
                and now >= record.next_move_deadline
            ):
                record.next_move_deadline = now + self._timing.move_interval_s
                self._move_some(record, "endpoint leaves", now)
        self._departed = [record for record in self._departed if record.active_streams]
        for incarnation in list(self._left):
            if now >= self._left[incarnation]:
                del self._left[incarnation]

    def may_still_run(self, endpoint: Endpoint) -> bool:
        """Return whether this run of an endpoint has not ended, for all we know.

        One that does not answer may still run what it was sent: it can be cut
        off, or slow to say how it is.
        """
        record = self.records.get(endpoint.id)
        if record is not None and record.endpoint.incarnation == endpoint.incarnation:
            return not record.replaced
        return endpoint.incarnation in self._left

    def _bump(self) -> None:
        self.version += 1

    def usable(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that new requests may use."""
        now = time.monotonic()
        found = []
        for record in self.replica_index.endpoints(service):
            if record.usable(now):
                found.append(record)
        return found

    def live_endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that live and do not leave."""
        now = time.monotonic()
        found = []
        for record in self.replica_index.endpoints(service):
            endpoint = record.endpoint
            if endpoint.draining:
                continue
            if record.down or record.replaced or record.presumed_draining(now):
                continue
            found.append(endpoint)
        return found

    def record_failure(self, key: str, cause: str) -> None:
        """Leave an endpoint out for a while."""
        record = self.records.get(key)
        # Requests that were there together fail together; that is one failure.
        if record is None or time.monotonic() < record.backoff_deadline:
            return
        record.failures += 1
        pause = min(AVOID_MAX_S, AVOID_S * 2 ** min(record.failures - 1, 8))
        record.backoff_deadline = time.monotonic() + pause
        logger.warning(
            "endpoint left out", endpoint=key, cause=cause, seconds=round(pause, 2)
        )
        self._bump()

    def record_busy(self, key: str) -> None:
        """Leave an endpoint out that has no room; it did not fail."""
        record = self.records.get(key)
        if record is None or time.monotonic() < record.backoff_deadline:
            return
        record.backoff_deadline = time.monotonic() + BUSY_S
        logger.info(
            "endpoint without room",
            endpoint=key,
            load=record.load,
            tokens=record.token_load,
        )
        self._bump()

    def record_refusal(self, key: str) -> None:
        """Note that an endpoint refused a request, whatever for."""
        record = self.records.get(key)
        if record is not None:
            record.refused_at = time.monotonic()

    def _judge_refusal(self, record: EndpointRecord, report: EndpointReport) -> None:
        """Tell an endpoint that leaves from one that is full.

        While the store is away an endpoint that leaves cannot say so. It refuses
        what is new and looks sound otherwise; tried again and again by all
        hosts, it fails most paths, each of which has a dozen endpoints.
        """
        now = time.monotonic()
        if now - record.refused_at > REFUSED_S or report.busy or report.queued:
            return
        if now - record.changed_at < SETTLED_S:
            return
        if report.memory_used >= report.memory_total * ROOMY:
            # It is full, or does not tell.
            return
        record.refused_at = float("-inf")
        record.presumed_draining_deadline = now + SHUT_S
        record.presumed_draining_here = True
        logger.warning(
            "endpoint seems to leave",
            endpoint=record.endpoint.id,
            memory_used=report.memory_used,
            memory_total=report.memory_total,
        )
        self._bump()

    def apply_presumed_draining(self, keys: list[int]) -> None:
        """Take which endpoints seem to leave from another host."""
        deadline = time.monotonic() + SHUT_HEARD_S
        known = set(keys)
        for record in self.records.values():
            if record.key in known:
                record.presumed_draining_deadline = max(
                    record.presumed_draining_deadline, deadline
                )

    def presumed_draining_keys(self) -> list[int]:
        """Return which endpoints this host found to leave."""
        now = time.monotonic()
        found = []
        for record in self.records.values():
            record.presumed_draining_here = (
                record.presumed_draining_here and record.presumed_draining(now)
            )
            if record.presumed_draining_here:
                found.append(record.key)
        return found

    def record_success(self, key: str, latency_s: float) -> None:
        """Note an answer, and the time to its first byte."""
        record = self.records.get(key)
        if record is None:
            return
        record.failures = 0
        record.latency_s += SMOOTHING * (latency_s - record.latency_s)

    def set_down(self, key: str, *, down: bool) -> None:
        """Note whether an endpoint answers when asked for its state."""
        record = self.records.get(key)
        if record is None or record.down == down:
            return
        record.down = down
        record.down_at = time.monotonic()
        logger.warning(
            "endpoint down" if down else "endpoint back",
            endpoint=key,
            streams=len(record.active_streams),
        )
        self._bump()
        if down:
            _move(record, "endpoint down")

    def reported(self, key: str, report: EndpointReport) -> None:
        """Take what an endpoint says of itself, if it is the same run."""
        record = self.records.get(key)
        if record is None or record.replaced:
            return
        self._judge_refusal(record, report)
        old = record.endpoint
        if abs(record.slowdown - report.slowdown) > PACE_STEP:
            logger.info("endpoint pace", endpoint=key, pace=report.slowdown)
            record.slowdown = max(1.0, report.slowdown)
            self._bump()
        if report.started_ms and old.started_ms and report.started_ms != old.started_ms:
            # A restarted endpoint holds nothing of before.
            record.endpoint = replace(
                old,
                started_ms=report.started_ms,
                order_count=report.order_count,
                layers=report.layers,
            )
            self._bump()
            _move(record, "endpoint restarted")
            return
        if report.order_count < old.order_count:
            # The report is older than what is known.
            return
        if old.layers != report.layers or old.order_count != report.order_count:
            record.endpoint = replace(
                old, order_count=report.order_count, layers=report.layers
            )
            if old.layers != report.layers:
                record.ahead = True
                record.changed_at = time.monotonic()
            self._bump()

    def suspect(self, key: str) -> bool:
        """Return whether an endpoint is down or slow."""
        record = self.records.get(key)
        return record is not None and record.suspect

    def set_remote_loads(self, loads: dict[int, Load]) -> None:
        """Take what the other hosts have at each endpoint, by its key."""
        now = time.monotonic()
        for record in self.records.values():
            load = loads.get(record.key, NO_LOAD)
            record.remote_in_flight = load.requests
            record.remote_tokens = load.tokens
            record.remote_prefill_tokens = load.prefill_tokens
            heard_at = now - load.event_age_ms / 1000
            record.last_event_at = max(record.last_event_at, heard_at)
            if record.down and heard_at > record.down_at + HEARD_AFTER_S:
                # It serves others, so the fault was on the way from here.
                self.set_down(record.endpoint.id, down=False)

    def _move_some(self, record: EndpointRecord, cause: str, now: float) -> None:
        """Ask some of the streams that an endpoint still serves to go on elsewhere."""
        waiting = []
        for running in record.active_streams:
            if now - running.move_requested_at > self._timing.move_retry_s:
                waiting.append(running)
        most = ceil(len(record.active_streams) * MOVE_PART)
        for running in waiting[:most]:
            running.request_move(cause, still_served=True)


def _move(record: EndpointRecord, cause: str) -> None:
    for running in list(record.active_streams):
        running.request_move(cause)


def _span(endpoint: Endpoint) -> str:
    layers = endpoint.layers
    return f"{layers.first}-{layers.end}" if layers else ""


__all__ = [
    "Directory",
    "EndpointRecord",
]
