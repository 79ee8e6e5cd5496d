"""Registry of endpoints with their health and load as seen by this host."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from math import ceil
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.membership.message import (
    LayerUpdate,
    LeavingNotice,
    Load,
    endpoint_key,
)
from hemlockhall_router.membership.tally import MAX_EVENT_AGE_MS
from hemlockhall_router.membership.turn import take_turn
from hemlockhall_router.policy.endpoint_rate import (
    average_s,
    is_fresh,
    is_slow,
    is_valid_time,
    likely_load,
    median_service_time_s,
    service_time_sample_s,
    waiting_time_s,
)
from hemlockhall_router.policy.room import clamp_slots
from hemlockhall_router.process.addresses import AddressTable
from hemlockhall_router.process.replica_index import ReplicaIndex
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_router.version.endpoint import LayerRange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.process.store import Row
    from hemlockhall_router.process.timing import Timing
    from hemlockhall_router.request.active_stream import ActiveStream
    from hemlockhall_router.version.endpoint import Endpoint, EndpointReport

# Backoff after a failure, doubled with each consecutive one up to the maximum: long
# enough for a process to restart, short enough to use the endpoint again soon.
FAILURE_BACKOFF_S = 0.5
MAX_FAILURE_BACKOFF_S = 4.0
# Backoff of a full endpoint; short, as its requests keep ending.
BUSY_BACKOFF_S = 0.2
# Fraction of the streams of a draining endpoint that are moved together. Moving all
# at once would fill the memory of the other endpoints.
MOVE_FRACTION = 0.35
# Weight of the newest sample in the moving average of the latency.
EWMA_WEIGHT = 0.2
# Change of an endpoint's slowdown that updates the record, and excess over 1.0 that
# marks the endpoint as slow.
SLOWDOWN_THRESHOLD = 0.3
# Time after an endpoint went down from which an event at another host shows that it
# is up. Earlier events may predate the failure, as messages between hosts are delayed.
REMOTE_EVENT_DELAY_S = 0.3
# Age of a refusal up to which a report is taken to explain it.
REFUSAL_WINDOW_S = 1.0
# Fraction of an endpoint's memory in use below which it has room for any request.
LOW_MEMORY_FRACTION = 0.25
# Fraction of an endpoint's memory from which the requests that hosts have in flight
# there may have filled it. Hosts know of each other's requests with a delay.
LOADED_MEMORY_FRACTION = 0.6
# Time in which a refusal does not count as draining, as the endpoint then refuses for
# other reasons: after it was added, changed its layers, or restarted according to its
# store entry. A restart that a report shows first does not begin this time.
WARMUP_S = 2.0
# Time for which an endpoint is presumed to be draining, at the host that detected it
# and at those that it tells. The latter keep it out as long as the former repeats it.
PRESUMED_DRAINING_S = 2.0
REMOTE_PRESUMED_DRAINING_S = 1.0
# Time for which an endpoint that does not answer may only pause: it is used where no
# other is left, and keeps its layers.
PAUSE_LIMIT_S = 2.0
# Time for which an incarnation without an entry may still run: as long as any stream
# lasts.
REMOVED_RUNNING_S = 30.0
# Time for which it is remembered that an endpoint stated that it leaves, after the last
# word of it: longer than one keeps running.
STATED_LEAVING_TTL_S = 600.0
# Endpoints that leave in one message. Those beyond it are sent in later messages.
MAX_NOTICES = 16
# Load of an endpoint of which no other host reports any.
NO_LOAD = Load(0, 0, 0, 0, MAX_EVENT_AGE_MS)
# Time between two comparisons of an endpoint's service time with the others', which
# bounds the cost and the log lines.
COMPARISON_INTERVAL_S = 1.0
# Latency assumed of an endpoint that has not responded yet.
INITIAL_LATENCY_S = 0.1


@dataclass(slots=True)
class EndpointRecord:
    """An endpoint with what this host has observed of it.

    Times are monotonic. ``in_flight`` and ``tokens`` count this host's requests and
    their tokens, ``prefill_tokens`` the tokens of requests that have no event yet. The
    fields ``remote_...`` count those of all other hosts.

    ``failures`` counts consecutive failures, and ``backoff_deadline`` is the time until
    which they or a lack of room keep the endpoint from new requests. ``latency_s`` is
    its average time to the first byte, ``service_time_s`` the time that a request takes
    without waiting. ``slowdown`` is the factor on the usual time of a token, 1.0 =
    normal. ``down`` tells that it does not answer, which last changed at
    ``down_changed_at``, and ``ended`` that its process is known to have ended. The last
    probe that it answered began at ``answered_at``, and ``heard_at`` is the time of its
    last response. The next group of streams is moved off the endpoint at
    ``next_move_deadline``.

    ``key`` is the endpoint's number in messages between hosts. ``entry_grace_deadline``
    is set while the store has no entry of the endpoint, which may come back until
    then. ``ahead_of_store`` is True if the layers are newer than the store's entry, and
    ``replaced`` if another incarnation has taken the address. Until
    ``leaving_deadline`` the endpoint counts as leaving whatever its entry says:
    infinite once it stated that in a response, else as long as it is presumed to drain.
    ``presumed_draining_here`` is True if this host detected it, not another one.
    ``last_event_at`` is the time of the last event through the endpoint at any host,
    ``last_local_event_at`` at this host.

    ``sampled_at`` is the time of the last response that showed the service time, minus
    infinity if the endpoint is untried. Since ``waiting_since`` this host has had
    requests in flight there without a response to any of them, at most ``waiting_load``
    from all hosts; it is None if it has none. ``slow`` tells whether its service time
    is far above that of the service's other endpoints, which is checked again at
    ``comparison_deadline``.
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
    service_time_s: float = INITIAL_LATENCY_S
    down: bool = False
    down_changed_at: float = 0.0
    answered_at: float = float("-inf")
    heard_at: float = float("-inf")
    ended: bool = False
    probed_at: float = 0.0
    slowdown: float = 1.0
    next_move_deadline: float | None = None
    key: int = 0
    refused_at: float = float("-inf")
    leaving_deadline: float = 0.0
    presumed_draining_here: bool = False
    layers_changed_at: float = field(default_factory=time.monotonic)
    ahead_of_store: bool = False
    replaced: bool = False
    last_event_at: float = 0.0
    last_local_event_at: float = 0.0
    sampled_at: float = float("-inf")
    waiting_since: float | None = None
    waiting_load: int = 0
    slow: bool = False
    comparison_deadline: float = 0.0
    active_streams: set[ActiveStream] = field(default_factory=set)

    @property
    def unhealthy(self) -> bool:
        """Whether it is down or slow, and so probed regularly."""
        if self.replaced:
            return False
        return self.down or self.slowdown > 1.0 + SLOWDOWN_THRESHOLD

    @property
    def entry_lapsed(self) -> bool:
        """Whether the store entry is missing but may still come back."""
        return self.entry_grace_deadline is not None

    @property
    def load(self) -> int:
        """Requests in flight from all hosts, as last reported."""
        return self.in_flight + self.remote_in_flight

    @property
    def token_load(self) -> int:
        """Tokens of the requests in flight from all hosts, as last reported."""
        return self.tokens + self.remote_tokens

    def reset(self) -> None:
        """Clear the health state that an earlier incarnation left.

        The average latency and the times of the last refusal and events stay. The
        service time is unknown again, as a new process may be slower or faster.
        """
        self.failures = 0
        self.backoff_deadline = 0.0
        self.down = False
        self.ended = False
        self.heard_at = float("-inf")
        self.slowdown = 1.0
        self.leaving_deadline = 0.0
        self.next_move_deadline = None
        self.replaced = False
        self.forget_service_time()

    def forget_service_time(self) -> None:
        """Let the endpoint count as untried."""
        self.service_time_s = INITIAL_LATENCY_S
        self.sampled_at = float("-inf")
        self.waiting_since = None
        self.waiting_load = 0
        self.slow = False

    def begin_waiting(self, now: float) -> None:
        """Record that this host is about to send a request."""
        if self.waiting_since is None or self.in_flight == 0:
            self.waiting_since, self.waiting_load = now, 0
        self.waiting_load = max(self.waiting_load, self.load + 1)

    def leaving(self, now: float) -> bool:
        """Return whether it shuts down and so takes no new requests.

        Its entry or a response says so, or it is presumed to drain.
        """
        return self.endpoint.draining or now < self.leaving_deadline

    def presumed_draining(self, now: float) -> bool:
        """Return whether it is presumed to drain without a notice of its own."""
        return now < self.leaving_deadline < float("inf")

    def pausing(self, now: float) -> bool:
        """Return whether it does not answer and is likely to go on."""
        if not self.down or self.ended:
            return False
        return now - self.down_changed_at < PAUSE_LIMIT_S

    def usable(self, now: float) -> bool:
        """Return whether it may receive a new request."""
        if self.down or self.replaced or self.leaving(now):
            return False
        return now >= self.backoff_deadline


class Directory:
    """The known endpoints by id.

    ``version`` grows when rows or layer updates are applied, a lapsed endpoint is
    removed, a backoff begins, an endpoint goes down or up, a report shows a restart or
    changes the layers, order count or slowdown, when an endpoint states that it leaves,
    and when this host presumes an endpoint to be draining. It does not grow when a
    backoff ends or another host presumes an endpoint to be draining. ``generation``
    grows when an endpoint is added, removed, or has a new start or address according to
    its store entry.

    Parameters
    ----------
    decode : callable
        Returns the endpoint in a row's key and value, or None if there is none.
    grace_deadline : callable
        Returns the monotonic time until which a missing entry may come back, or 0
        if this host or another one had the store throughout.
    timing : Timing
        Delays after which the streams of a draining endpoint are moved.
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
        self._removed_running_deadlines: dict[tuple[str, int], float] = {}
        # Endpoints that stated that they leave, and how long that is remembered. They
        # are kept apart from the records, as entries may lapse and come back.
        self._stated_leaving: dict[LeavingNotice, float] = {}
        self._notice_turn = 0

    def apply_rows(self, rows: list[Row]) -> None:
        """Apply changed rows of the endpoint table."""
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
        """Add an endpoint and return its record."""
        record = EndpointRecord(endpoint, key=endpoint_key(endpoint.id))
        self.records[endpoint.id] = record
        self.generation += 1
        self._apply_stated_leaving(record)
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
        if endpoint.draining and record.next_move_deadline is None:
            record.next_move_deadline = time.monotonic() + self._timing.move_delay_s
        record.endpoint = self._merge_layers(record, endpoint)
        if restarted:
            self._apply_stated_leaving(record)
            self._claim_address(record)
        if restarted or record.endpoint.layers != old.layers:
            record.layers_changed_at = time.monotonic()

    def _claim_address(self, record: EndpointRecord) -> None:
        """Mark an older incarnation at the same address as replaced.

        The newer one answers probes of that address, which would otherwise make the
        older one look alive.
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
        """Return a store entry, keeping layers that are known to be newer."""
        old = record.endpoint
        if record.ahead_of_store and old.incarnation == entry.incarnation:
            if entry.order_count < old.order_count:
                return replace(entry, order_count=old.order_count, layers=old.layers)
        record.ahead_of_store = False
        return entry

    def layer_updates(self) -> list[LayerUpdate]:
        """Return the layers that are newer than the store's entries."""
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
        """Apply layers that another host learned from the endpoints themselves.

        While the store is unreachable, a host without these updates does not see what
        the planner's orders changed, and routes requests to layers that are gone.
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
        # After an outage the store removes the entries of endpoints that could not
        # renew them. Removing these endpoints at once would refuse every request
        # although none failed, so their entries get time to come back.
        if row.deleted and time.monotonic() < deadline and not record.endpoint.draining:
            record.entry_grace_deadline = deadline
            return
        self._remove(row.key, "removed" if row.deleted else "entry cannot be read")

    def _remove(self, endpoint_id: str, cause: str) -> None:
        record = self.records.pop(endpoint_id)
        self._addresses.release(record)
        self.generation += 1
        now = time.monotonic()
        if not record.replaced and (not record.down or record.pausing(now)):
            # Some endpoints remove their entry and keep serving without one.
            deadline = now + REMOVED_RUNNING_S
            self._removed_running_deadlines[record.endpoint.incarnation] = deadline
        if record.active_streams:
            record.next_move_deadline = (
                record.next_move_deadline
                or time.monotonic() + self._timing.move_delay_s
            )
            self._removed_with_streams.append(record)
        logger.info("endpoint gone", endpoint=endpoint_id, cause=cause)

    def process_deadlines(self) -> None:
        """Remove lapsed endpoints; move streams off draining and removed ones."""
        now = time.monotonic()
        for endpoint_id in list(self.records):
            deadline = self.records[endpoint_id].entry_grace_deadline
            if deadline is None:
                continue
            # 0: this host or another had the store throughout, so the entry is gone.
            if now >= deadline or self._grace_deadline() == 0.0:
                self._remove(endpoint_id, "entry not renewed after the outage")
                self._bump_version()
        for record in (*self.records.values(), *self._removed_with_streams):
            if (
                record.next_move_deadline is not None
                and now >= record.next_move_deadline
            ):
                record.next_move_deadline = now + self._timing.move_interval_s
                self._move_batch(record, "endpoint draining or removed", now)
        self._removed_with_streams = [
            record for record in self._removed_with_streams if record.active_streams
        ]
        for incarnation in list(self._removed_running_deadlines):
            if now >= self._removed_running_deadlines[incarnation]:
                del self._removed_running_deadlines[incarnation]
        for notice in list(self._stated_leaving):
            if now >= self._stated_leaving[notice]:
                del self._stated_leaving[notice]

    def may_still_run(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint may still be running.

        One that does not answer probes may still execute its requests: it can be
        partitioned from this host or slow to answer.
        """
        record = self.records.get(endpoint.id)
        if record is not None and record.endpoint.incarnation == endpoint.incarnation:
            return not record.replaced
        return endpoint.incarnation in self._removed_running_deadlines

    def has_crashed(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint ended without leaving.

        One that is silent may go on, so silence is no crash. The entry of one that
        crashed stays until it has not been renewed for some time, so one without an
        entry has left.
        """
        record = self.records.get(endpoint.id)
        if record is None:
            return False
        if record.endpoint.incarnation != endpoint.incarnation or record.replaced:
            return True
        return record.ended and not self.is_leaving(endpoint)

    def has_answered_since(self, endpoint: Endpoint, at: float) -> bool:
        """Return whether this incarnation answered a probe that began after ``at``."""
        record = self.records.get(endpoint.id)
        if record is None or record.endpoint.incarnation != endpoint.incarnation:
            return False
        return record.answered_at > at

    def is_silent(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation does not answer and does not shut down."""
        record = self.records.get(endpoint.id)
        if record is None or record.endpoint.incarnation != endpoint.incarnation:
            return False
        return record.down and not record.leaving(time.monotonic())

    def record_answer(self, endpoint: Endpoint, began_at: float) -> None:
        """Record that this incarnation answered a probe that began at that time."""
        record = self.records.get(endpoint.id)
        if record is None or record.endpoint.incarnation != endpoint.incarnation:
            return
        record.answered_at = began_at

    def record_heard(self, endpoint: Endpoint) -> None:
        """Record a response of this incarnation, of whatever kind."""
        record = self.records.get(endpoint.id)
        if record is not None and record.endpoint.incarnation == endpoint.incarnation:
            record.heard_at = time.monotonic()

    def heard_at(self, endpoint: Endpoint) -> float:
        """Return when this incarnation last gave a sign of life, a monotonic time.

        That is a response, an event, or the begin of a probe that it answered; minus
        infinity if there is none.
        """
        record = self.records.get(endpoint.id)
        if record is None or record.endpoint.incarnation != endpoint.incarnation:
            return float("-inf")
        return max(record.answered_at, record.heard_at, record.last_local_event_at)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint shuts down as planned."""
        record = self.records.get(endpoint.id)
        if record is None or record.endpoint.incarnation != endpoint.incarnation:
            return False
        return record.leaving(time.monotonic())

    def _bump_version(self) -> None:
        self.version += 1

    def usable(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may receive new requests."""
        now = time.monotonic()
        found = []
        for record in self.replica_index.records(service):
            if record.usable(now):
                found.append(record)
        return found

    def pausing(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service to use if no other is left.

        They pause, and neither leave nor were replaced. A backoff does not count, as
        the silence may have begun it.
        """
        now = time.monotonic()
        found = []
        for record in self.replica_index.records(service):
            if not record.pausing(now) or record.replaced or record.leaving(now):
                continue
            found.append(record)
        return found

    def live_endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are up, or pause, and do not leave."""
        now = time.monotonic()
        found = []
        for record in self.replica_index.records(service):
            endpoint = record.endpoint
            if record.down and not record.pausing(now):
                continue
            if record.replaced or record.leaving(now):
                continue
            found.append(endpoint)
        return found

    def record_failure(self, endpoint_id: str, cause: str) -> None:
        """Count a failure of an endpoint and start its backoff."""
        record = self.records.get(endpoint_id)
        # Requests in flight at the same time fail together: one failure.
        if record is None or time.monotonic() < record.backoff_deadline:
            return
        # Requests that time out give no other sample, and the endpoint would look as
        # fast as before after its backoff.
        waited_s = waiting_time_s(record, time.monotonic())
        if waited_s > record.service_time_s:
            record.service_time_s = average_s(record.service_time_s, waited_s)
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
        """Start the backoff of a full endpoint, without counting a failure."""
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
        """Record the time at which an endpoint refused a request, for any reason."""
        record = self.records.get(endpoint_id)
        if record is not None:
            record.refused_at = time.monotonic()

    def _check_presumed_draining(
        self, record: EndpointRecord, report: EndpointReport
    ) -> None:
        """Presume that an endpoint is draining if it refuses though it has room.

        While the store is unreachable a draining endpoint cannot announce it. It
        refuses new requests and looks healthy otherwise. As all hosts keep trying it,
        and a path has a dozen endpoints, it would fail most paths.
        """
        now = time.monotonic()
        if now - record.refused_at > REFUSAL_WINDOW_S or report.busy or report.queued:
            return
        if now - record.layers_changed_at < WARMUP_S:
            return
        if report.memory_used >= report.memory_total * LOW_MEMORY_FRACTION:
            # It is full, or reports no memory.
            return
        if _memory_load(record) >= report.memory_total * LOADED_MEMORY_FRACTION:
            # What it reports as used leaves out requests that it may preempt. Under
            # load, full endpoints would be taken for draining ones and be replaced.
            return
        record.refused_at = float("-inf")
        record.leaving_deadline = max(
            record.leaving_deadline, now + PRESUMED_DRAINING_S
        )
        record.presumed_draining_here = True
        logger.warning(
            "endpoint seems to leave",
            endpoint=record.endpoint.id,
            memory_used=report.memory_used,
            memory_total=report.memory_total,
        )
        self._bump_version()

    def apply_presumed_draining(self, keys: list[int]) -> None:
        """Apply another host's list of endpoints that it presumes to be draining."""
        deadline = time.monotonic() + REMOTE_PRESUMED_DRAINING_S
        known = set(keys)
        for record in self.records.values():
            if record.key in known:
                record.leaving_deadline = max(record.leaving_deadline, deadline)

    def presumed_draining_keys(self) -> list[int]:
        """Return the keys of endpoints that this host presumes to be draining."""
        now = time.monotonic()
        found = []
        for record in self.records.values():
            record.presumed_draining_here = (
                record.presumed_draining_here and record.presumed_draining(now)
            )
            if record.presumed_draining_here:
                found.append(record.key)
        return found

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Record that an endpoint stated in a response that it leaves.

        That holds for this incarnation whatever its entry in the store says before or
        after.
        """
        notice = LeavingNotice(endpoint_key(endpoint.id), endpoint.started_ms)
        self._record_stated_leaving([notice], "response")

    def apply_leaving(self, notices: list[LeavingNotice]) -> None:
        """Apply another host's list of endpoints that stated that they leave."""
        self._record_stated_leaving(notices, "host")

    def leaving_notices(self) -> list[LeavingNotice]:
        """Return which endpoints to tell other hosts of, at most ``MAX_NOTICES``.

        They stated that they leave, and their entries in the store do not say it. If
        there are more, the next call returns the next ones.
        """
        if not self._stated_leaving:
            return []
        found = []
        for record in self.records.values():
            notice = LeavingNotice(record.key, record.endpoint.started_ms)
            if notice in self._stated_leaving and not record.endpoint.draining:
                found.append(notice)
        self._notice_turn += 1
        return take_turn(found, MAX_NOTICES, self._notice_turn)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that was chosen before may still get a request."""
        record = self.records.get(endpoint.id)
        if record is None or record.replaced:
            return False
        return not record.leaving(time.monotonic())

    def _record_stated_leaving(
        self, notices: Iterable[LeavingNotice], source: str
    ) -> None:
        now = time.monotonic()
        new = set()
        for notice in notices:
            if notice not in self._stated_leaving:
                new.add(notice)
            self._stated_leaving[notice] = now + STATED_LEAVING_TTL_S
        if not new:
            return
        for record in self.records.values():
            if LeavingNotice(record.key, record.endpoint.started_ms) not in new:
                continue
            logger.info(
                "endpoint states that it leaves",
                endpoint=record.endpoint.id,
                source=source,
                streams=len(record.active_streams),
            )
            self._apply_stated_leaving(record)
            self._bump_version()

    def _apply_stated_leaving(self, record: EndpointRecord) -> None:
        """Let a record count as leaving, and its streams move, if it stated that."""
        notice = LeavingNotice(record.key, record.endpoint.started_ms)
        if notice not in self._stated_leaving:
            return
        record.leaving_deadline = float("inf")
        record.presumed_draining_here = False
        if record.next_move_deadline is None:
            record.next_move_deadline = time.monotonic() + self._timing.move_delay_s

    def record_success(self, endpoint_id: str, latency_s: float) -> None:
        """Reset the failures and average the time to the first byte."""
        record = self.records.get(endpoint_id)
        if record is None:
            return
        record.failures = 0
        record.latency_s += EWMA_WEIGHT * (latency_s - record.latency_s)

    def record_service_time(
        self, endpoint_id: str, response_time_s: float, load: int
    ) -> None:
        """Update the service time of an endpoint after a response to a plain request.

        Responses that show nothing of it must not be recorded: rejections, and error
        responses, which a broken endpoint sends sooner than others.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        response_time_s : float
            Time from sending the request to the end of the response.
        load : int
            Requests at the endpoint when it was sent, from all hosts and with this one.
        """
        record = self.records.get(endpoint_id)
        if record is None or not is_valid_time(response_time_s):
            return
        now = time.monotonic()
        slots = clamp_slots(record.endpoint.slots)
        load_at_start = likely_load(load, record.remote_in_flight + 1, response_time_s)
        sample_s = service_time_sample_s(response_time_s, load_at_start, slots)
        if is_fresh(record, now):
            record.service_time_s = average_s(
                record.service_time_s, sample_s, queued=load_at_start > slots
            )
        else:
            record.service_time_s = sample_s
        record.sampled_at = now
        record.waiting_since = now if record.in_flight else None
        record.waiting_load = record.load
        if now >= record.comparison_deadline:
            record.comparison_deadline = now + COMPARISON_INTERVAL_S
            self._compare_service_time(record, now)

    def _compare_service_time(self, record: EndpointRecord, now: float) -> None:
        """Log if an endpoint has become slow, or no longer is."""
        service = record.endpoint.service
        median_s = median_service_time_s(self.replica_index.records(service), now)
        slow = is_slow(record, median_s)
        if slow == record.slow:
            return
        record.slow = slow
        logger.info(
            "endpoint slow" if slow else "endpoint fast again",
            endpoint=record.endpoint.id,
            service=service,
            service_time_ms=round(record.service_time_s * 1000, 1),
            median_ms=round(median_s * 1000, 1),
            load=record.load,
        )

    def set_down(
        self, endpoint_id: str, *, down: bool, ended: bool = False, cause: str = ""
    ) -> None:
        """Mark an endpoint as down or up; ask its streams to move if it went down.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        down : bool
            Whether it does not answer.
        ended : bool
            Whether its process has ended. If not, it may go on after a pause, and
            streams leave it only for a path that serves them.
        cause : str
            How that was found, for the log.
        """
        record = self.records.get(endpoint_id)
        if record is None:
            return
        # One that ended and then is silent, as its machine is off, still has ended.
        ended = down and (ended or record.ended)
        if record.down == down and record.ended == ended:
            return
        if record.down != down:
            record.down_changed_at = time.monotonic()
        record.down, record.ended = down, ended
        logger.warning(
            "endpoint down" if down else "endpoint back",
            endpoint=endpoint_id,
            ended=ended,
            cause=cause,
            streams=len(record.active_streams),
        )
        self._bump_version()
        if not down:
            # It may have become slower or faster.
            record.sampled_at = float("-inf")
            if record.failures:
                # Failures that the silence caused say nothing of it now.
                record.failures, record.backoff_deadline = 0, 0.0
        elif ended:
            _move_streams(record, "endpoint ended")
        else:
            for stream in list(record.active_streams):
                stream.request_move(
                    "endpoint silent", still_served=True, reason=RetryReason.SILENT
                )

    def apply_report(self, endpoint_id: str, report: EndpointReport) -> None:
        """Apply an endpoint's report unless the incarnation was replaced.

        Layers are not applied if the report is older than the known ones. The report
        may also show that the endpoint restarted, or let it be presumed to be draining.
        """
        record = self.records.get(endpoint_id)
        if record is None or record.replaced:
            return
        self._check_presumed_draining(record, report)
        old = record.endpoint
        if abs(record.slowdown - report.slowdown) > SLOWDOWN_THRESHOLD:
            logger.info(
                "endpoint slowdown changed", endpoint=endpoint_id, pace=report.slowdown
            )
            record.slowdown = max(1.0, report.slowdown)
            self._bump_version()
        if report.started_ms and old.started_ms and report.started_ms != old.started_ms:
            # A restarted endpoint has lost all state of the earlier incarnation.
            record.endpoint = replace(
                old,
                started_ms=report.started_ms,
                order_count=report.order_count,
                layers=report.layers,
            )
            record.leaving_deadline = 0.0
            record.next_move_deadline = None
            record.forget_service_time()
            self._apply_stated_leaving(record)
            self._bump_version()
            _move_streams(record, "endpoint restarted")
            return
        if report.order_count < old.order_count:
            # The report is older than the known layers.
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
        """Set the load that the other hosts report, by endpoint key.

        Endpoints from which other hosts have had events since they went down are marked
        as up.
        """
        now = time.monotonic()
        for record in self.records.values():
            load = loads.get(record.key, NO_LOAD)
            record.remote_in_flight = load.requests
            record.remote_tokens = load.tokens
            record.remote_prefill_tokens = load.prefill_tokens
            event_at = now - load.event_age_ms / 1000
            record.last_event_at = max(record.last_event_at, event_at)
            if record.down and event_at > record.down_changed_at + REMOTE_EVENT_DELAY_S:
                # It serves other hosts, so only the network path from this host failed.
                self.set_down(record.endpoint.id, down=False, cause="serves others")

    def end_pause(self, endpoint_id: str) -> None:
        """Let others take the layers of an endpoint that is still silent."""
        record = self.records.get(endpoint_id)
        if record is None or not record.down or record.pausing(time.monotonic()):
            return
        logger.warning("endpoint stays silent", endpoint=endpoint_id)
        self._bump_version()

    def _move_batch(self, record: EndpointRecord, cause: str, now: float) -> None:
        """Request the move of a fraction of an endpoint's streams."""
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


def _memory_load(record: EndpointRecord) -> int:
    """Return the memory that requests in flight may take, in tokens times layers."""
    layers = record.endpoint.layers
    return record.token_load * layers.size if layers is not None else 0


def _layers_text(endpoint: Endpoint) -> str:
    layers = endpoint.layers
    return f"{layers.first}-{layers.end}" if layers else ""


__all__ = [
    "Directory",
    "EndpointRecord",
]
