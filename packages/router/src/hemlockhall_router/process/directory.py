"""What this host knows of the endpoints, and which of them it uses."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from math import ceil
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.membership.message import LayerUpdate, Load, endpoint_key
from hemlockhall_router.membership.tally import MAX_EVENT_AGE_MS
from hemlockhall_router.process.addresses import AddressTable
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
FAILURE_BACKOFF_S = 0.5
MAX_FAILURE_BACKOFF_S = 4.0
# Seconds an endpoint that has no room is left out; requests there end all the time.
BUSY_BACKOFF_S = 0.2
# Part of the streams on a leaving endpoint that go on elsewhere together: all at
# once find the memory of the other endpoints full.
MOVE_FRACTION = 0.35
# Weight of the newest value in moving averages.
EWMA_WEIGHT = 0.2
# Change of an endpoint's pace that is acted on.
SLOWDOWN_THRESHOLD = 0.3
# Seconds after an endpoint was found down from which an event that came through it
# at another host shows that it lives: messages between hosts take a while.
REMOTE_EVENT_DELAY_S = 0.3
# Seconds after a refusal for which a report says why, and part of an endpoint's
# memory up to which it has room for any request.
REFUSAL_WINDOW_S = 1.0
LOW_MEMORY_FRACTION = 0.25
# Seconds after its start, or after its layers changed, from which it is judged so:
# before, it refuses for other reasons.
WARMUP_S = 2.0
# Seconds for which an endpoint that seems to leave is left out, by the host that
# found it and by those that heard of it: as long as that host says so.
PRESUMED_DRAINING_S = 2.0
REMOTE_PRESUMED_DRAINING_S = 1.0
# Seconds for which a run whose entry is gone may go on: as long as any stream lasts.
ORPHAN_S = 30.0
NO_LOAD = Load(0, 0, 0, 0, MAX_EVENT_AGE_MS)
# Latency assumed of an endpoint that has not answered yet, in seconds.
INITIAL_LATENCY_S = 0.1


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
    latency_s: float = INITIAL_LATENCY_S
    down: bool = False
    down_at: float = 0.0
    probed_at: float = 0.0
    slowdown: float = 1.0
    next_move_deadline: float | None = None
    key: int = 0
    refused_at: float = float("-inf")
    presumed_draining_deadline: float = 0.0
    presumed_draining_here: bool = False
    layers_changed_at: float = field(default_factory=time.monotonic)
    ahead_of_store: bool = False
    replaced: bool = False
    last_event_at: float = 0.0
    last_local_event_at: float = 0.0
    active_streams: set[ActiveStream] = field(default_factory=set)

    @property
    def unhealthy(self) -> bool:
        """Whether it should be asked again without a new reason."""
        if self.replaced:
            return False
        return self.down or self.slowdown > 1.0 + SLOWDOWN_THRESHOLD

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

    def reset(self) -> None:
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
        grace_deadline: Callable[[], float],
        timing: Timing,
    ) -> None:
        self._decode = decode
        self._grace_deadline = grace_deadline
        self._timing = timing
        self.records: dict[str, EndpointRecord] = {}
        self.active_streams: set[ActiveStream] = set()
        self.version = 0
        self.generation = 0
        self.replica_index = ReplicaIndex(self)
        self._removed_with_streams: list[EndpointRecord] = []
        self._addresses = AddressTable()
        self._orphan_deadlines: dict[tuple[str, int], float] = {}

    def apply_rows(self, rows: list[Row]) -> None:
        """Act on changed rows of the endpoint table."""
        for row in rows:
            endpoint = None
            if not row.deleted:
                endpoint = self._decode(row.key, row.value)
            if endpoint is None:
                self._handle_missing_entry(row)
            else:
                self._upsert(endpoint)
        self._bump_version()

    def add(self, endpoint: Endpoint) -> EndpointRecord:
        """Enter a new endpoint, and return its record."""
        record = EndpointRecord(endpoint, key=endpoint_key(endpoint.id))
        self.records[endpoint.id] = record
        self.generation += 1
        return record

    def _upsert(self, endpoint: Endpoint) -> None:
        record = self.records.get(endpoint.id)
        if record is None:
            self._claim_address(self.add(endpoint))
            logger.info(
                "endpoint appeared",
                endpoint=endpoint.id,
                service=endpoint.service,
                place=endpoint.data_centre,
                layers=_layers_text(endpoint),
                draining=endpoint.draining,
            )
            return
        old = record.endpoint
        record.entry_grace_deadline = None
        restarted = old.incarnation != endpoint.incarnation
        restarted = restarted or old.address != endpoint.address
        if endpoint.draining and record.next_move_deadline is None:
            record.next_move_deadline = time.monotonic() + self._timing.move_delay_s
        if old.draining != endpoint.draining or old.layers != endpoint.layers:
            logger.info(
                "endpoint changed",
                endpoint=endpoint.id,
                layers=_layers_text(endpoint),
                draining=endpoint.draining,
            )
        if restarted:
            self._addresses.release(record)
            record.reset()
            self.generation += 1
        record.endpoint = self._merge_layers(record, endpoint)
        if restarted:
            self._claim_address(record)
        if restarted or record.endpoint.layers != old.layers:
            record.layers_changed_at = time.monotonic()

    def _claim_address(self, record: EndpointRecord) -> None:
        """Take the address of an endpoint from a run there that has ended.

        The new run answers for the old one there, which would seem to be back.
        """
        ended = self._addresses.claim(record)
        if ended is None:
            return
        ended.replaced = True
        logger.info(
            "endpoint replaced",
            endpoint=ended.endpoint.id,
            by=record.endpoint.id,
            streams=len(ended.active_streams),
        )
        _move_streams(ended, "endpoint replaced")

    def _merge_layers(self, record: EndpointRecord, entry: Endpoint) -> Endpoint:
        """Return an entry of the store, with layers that are newer than it."""
        old = record.endpoint
        if record.ahead_of_store and old.incarnation == entry.incarnation:
            if entry.order_count < old.order_count:
                return replace(entry, order_count=old.order_count, layers=old.layers)
        record.ahead_of_store = False
        return entry

    def layer_updates(self) -> list[LayerUpdate]:
        """Return the layers that the store does not tell yet."""
        found = []
        for record in self.records.values():
            endpoint = record.endpoint
            if not record.ahead_of_store or endpoint.layers is None:
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

    def apply_layer_updates(self, updates: list[LayerUpdate]) -> None:
        """Take layers that another host knows from the endpoints themselves.

        While the store is away nobody else learns what the planner's orders
        changed, and sends requests along layers that are no longer there.
        """
        by_key = {record.key: record for record in self.records.values()}
        for update in updates:
            record = by_key.get(update.endpoint)
            if record is None or record.endpoint.started_ms != update.started_ms:
                continue
            if record.endpoint.order_count >= update.order_count:
                continue
            layers = LayerRange(update.first, update.end)
            record.endpoint = replace(
                record.endpoint, order_count=update.order_count, layers=layers
            )
            record.ahead_of_store = True
            self._bump_version()

    def _handle_missing_entry(self, row: Row) -> None:
        record = self.records.get(row.key)
        if record is None:
            return
        deadline = self._grace_deadline()
        # While the store was away it removes entries of endpoints that could
        # not reach it. Dropping them all at once would refuse every request
        # though nothing failed; they are back soon, or they are gone.
        if row.deleted and time.monotonic() < deadline and not record.endpoint.draining:
            record.entry_grace_deadline = deadline
            return
        self._remove(row.key, "removed" if row.deleted else "entry cannot be read")

    def _remove(self, endpoint_id: str, cause: str) -> None:
        record = self.records.pop(endpoint_id)
        self._addresses.release(record)
        self.generation += 1
        if not record.down and not record.replaced:
            # Some endpoints leave without a word, and serve on without an entry.
            deadline = time.monotonic() + ORPHAN_S
            self._orphan_deadlines[record.endpoint.incarnation] = deadline
        if record.active_streams:
            record.next_move_deadline = (
                record.next_move_deadline
                or time.monotonic() + self._timing.move_delay_s
            )
            self._removed_with_streams.append(record)
        logger.info("endpoint gone", endpoint=endpoint_id, cause=cause)

    def process_deadlines(self) -> None:
        """Drop the endpoints that did not come back in time."""
        now = time.monotonic()
        for endpoint_id in list(self.records):
            deadline = self.records[endpoint_id].entry_grace_deadline
            if deadline is None:
                continue
            # Another host may have had the store all the while.
            if now >= deadline or self._grace_deadline() == 0.0:
                self._remove(endpoint_id, "did not come back after the outage")
                self._bump_version()
        for record in (*self.records.values(), *self._removed_with_streams):
            if (
                record.next_move_deadline is not None
                and now >= record.next_move_deadline
            ):
                record.next_move_deadline = now + self._timing.move_interval_s
                self._move_batch(record, "endpoint leaves", now)
        self._removed_with_streams = [
            record for record in self._removed_with_streams if record.active_streams
        ]
        for incarnation in list(self._orphan_deadlines):
            if now >= self._orphan_deadlines[incarnation]:
                del self._orphan_deadlines[incarnation]

    def may_still_run(self, endpoint: Endpoint) -> bool:
        """Return whether this run of an endpoint has not ended, for all we know.

        One that does not answer may still run what it was sent: it can be cut
        off, or slow to say how it is.
        """
        record = self.records.get(endpoint.id)
        if record is not None and record.endpoint.incarnation == endpoint.incarnation:
            return not record.replaced
        return endpoint.incarnation in self._orphan_deadlines

    def _bump_version(self) -> None:
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

    def record_failure(self, endpoint_id: str, cause: str) -> None:
        """Leave an endpoint out for a while."""
        record = self.records.get(endpoint_id)
        # Requests that were there together fail together; that is one failure.
        if record is None or time.monotonic() < record.backoff_deadline:
            return
        record.failures += 1
        pause = min(
            MAX_FAILURE_BACKOFF_S, FAILURE_BACKOFF_S * 2 ** min(record.failures - 1, 8)
        )
        record.backoff_deadline = time.monotonic() + pause
        logger.warning(
            "endpoint left out",
            endpoint=endpoint_id,
            cause=cause,
            seconds=round(pause, 2),
        )
        self._bump_version()

    def record_busy(self, endpoint_id: str) -> None:
        """Leave an endpoint out that has no room; it did not fail."""
        record = self.records.get(endpoint_id)
        if record is None or time.monotonic() < record.backoff_deadline:
            return
        record.backoff_deadline = time.monotonic() + BUSY_BACKOFF_S
        logger.info(
            "endpoint without room",
            endpoint=endpoint_id,
            load=record.load,
            tokens=record.token_load,
        )
        self._bump_version()

    def record_refusal(self, endpoint_id: str) -> None:
        """Note that an endpoint refused a request, whatever for."""
        record = self.records.get(endpoint_id)
        if record is not None:
            record.refused_at = time.monotonic()

    def _check_presumed_draining(
        self, record: EndpointRecord, report: EndpointReport
    ) -> None:
        """Tell an endpoint that leaves from one that is full.

        While the store is away an endpoint that leaves cannot say so. It refuses
        what is new and looks sound otherwise; tried again and again by all
        hosts, it fails most paths, each of which has a dozen endpoints.
        """
        now = time.monotonic()
        if now - record.refused_at > REFUSAL_WINDOW_S or report.busy or report.queued:
            return
        if now - record.layers_changed_at < WARMUP_S:
            return
        if report.memory_used >= report.memory_total * LOW_MEMORY_FRACTION:
            # It is full, or does not tell.
            return
        record.refused_at = float("-inf")
        record.presumed_draining_deadline = now + PRESUMED_DRAINING_S
        record.presumed_draining_here = True
        logger.warning(
            "endpoint seems to leave",
            endpoint=record.endpoint.id,
            memory_used=report.memory_used,
            memory_total=report.memory_total,
        )
        self._bump_version()

    def apply_presumed_draining(self, keys: list[int]) -> None:
        """Take which endpoints seem to leave from another host."""
        deadline = time.monotonic() + REMOTE_PRESUMED_DRAINING_S
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

    def record_success(self, endpoint_id: str, latency_s: float) -> None:
        """Note an answer, and the time to its first byte."""
        record = self.records.get(endpoint_id)
        if record is None:
            return
        record.failures = 0
        record.latency_s += EWMA_WEIGHT * (latency_s - record.latency_s)

    def set_down(self, endpoint_id: str, *, down: bool) -> None:
        """Note whether an endpoint answers when asked for its state."""
        record = self.records.get(endpoint_id)
        if record is None or record.down == down:
            return
        record.down = down
        record.down_at = time.monotonic()
        logger.warning(
            "endpoint down" if down else "endpoint back",
            endpoint=endpoint_id,
            streams=len(record.active_streams),
        )
        self._bump_version()
        if down:
            _move_streams(record, "endpoint down")

    def apply_report(self, endpoint_id: str, report: EndpointReport) -> None:
        """Take what an endpoint says of itself, if it is the same run."""
        record = self.records.get(endpoint_id)
        if record is None or record.replaced:
            return
        self._check_presumed_draining(record, report)
        old = record.endpoint
        if abs(record.slowdown - report.slowdown) > SLOWDOWN_THRESHOLD:
            logger.info("endpoint pace", endpoint=endpoint_id, pace=report.slowdown)
            record.slowdown = max(1.0, report.slowdown)
            self._bump_version()
        if report.started_ms and old.started_ms and report.started_ms != old.started_ms:
            # A restarted endpoint holds nothing of before.
            record.endpoint = replace(
                old,
                started_ms=report.started_ms,
                order_count=report.order_count,
                layers=report.layers,
            )
            self._bump_version()
            _move_streams(record, "endpoint restarted")
            return
        if report.order_count < old.order_count:
            # The report is older than what is known.
            return
        if old.layers != report.layers or old.order_count != report.order_count:
            record.endpoint = replace(
                old, order_count=report.order_count, layers=report.layers
            )
            if old.layers != report.layers:
                record.ahead_of_store = True
                record.layers_changed_at = time.monotonic()
            self._bump_version()

    def unhealthy(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is down or slow."""
        record = self.records.get(endpoint_id)
        return record is not None and record.unhealthy

    def set_remote_loads(self, loads: dict[int, Load]) -> None:
        """Take what the other hosts have at each endpoint, by its key."""
        now = time.monotonic()
        for record in self.records.values():
            load = loads.get(record.key, NO_LOAD)
            record.remote_in_flight = load.requests
            record.remote_tokens = load.tokens
            record.remote_prefill_tokens = load.prefill_tokens
            event_at = now - load.event_age_ms / 1000
            record.last_event_at = max(record.last_event_at, event_at)
            if record.down and event_at > record.down_at + REMOTE_EVENT_DELAY_S:
                # It serves others, so the fault was on the way from here.
                self.set_down(record.endpoint.id, down=False)

    def _move_batch(self, record: EndpointRecord, cause: str, now: float) -> None:
        """Ask some of the streams that an endpoint still serves to go on elsewhere."""
        due = []
        for stream in record.active_streams:
            if now - stream.move_requested_at > self._timing.move_retry_s:
                due.append(stream)
        count = ceil(len(record.active_streams) * MOVE_FRACTION)
        for stream in due[:count]:
            stream.request_move(cause, still_served=True)


def _move_streams(record: EndpointRecord, cause: str) -> None:
    for stream in list(record.active_streams):
        stream.request_move(cause)


def _layers_text(endpoint: Endpoint) -> str:
    layers = endpoint.layers
    return f"{layers.first}-{layers.end}" if layers else ""


__all__ = [
    "Directory",
    "EndpointRecord",
]
