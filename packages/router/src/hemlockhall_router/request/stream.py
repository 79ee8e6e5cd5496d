"""Relaying of streams, which continue on another path if an endpoint fails."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.decoding import MAX_INTEGER, decode_number
from hemlockhall_router.process.limits import NoPermitError
from hemlockhall_router.process.quarantine import CrashCount
from hemlockhall_router.process.statement import EndpointsRestingError
from hemlockhall_router.request.active_stream import MoveRequestedError
from hemlockhall_router.request.attempt import Attempt
from hemlockhall_router.request.failure import AttemptFailedError, decode_value
from hemlockhall_router.request.hedge import next_undelivered, race
from hemlockhall_router.request.plain import (
    RETRY_AFTER_FULL_S,
    RETRY_AFTER_NO_ENDPOINT_S,
)
from hemlockhall_router.request.reason import (
    CRASH_REASONS,
    ENDED_HERE_REASONS,
    UNSENT_REASONS,
    WITHHELD_REASONS,
    RefusalReason,
    RetryReason,
)
from hemlockhall_router.request.relay import (
    acquire_retry,
    explain_quarantine,
    reserve_for_retry,
)
from hemlockhall_router.request.timeouts import StreamTimeouts
from hemlockhall_router.request.times import StreamTimes

if TYPE_CHECKING:
    from hemlockhall_router.request.events import Event
    from hemlockhall_router.request.relay import RelayContext, RoutedRequest
    from hemlockhall_router.request.response_writer import ResponseWriter
    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.path import Path

# How long after the last path was lost new requests wait for one. The layers of a
# lost endpoint are usually loaded elsewhere by then, sooner than a refused caller
# would retry. Later requests are refused: it is unknown when a path returns.
PATH_RESTORE_WAIT_S = 1.3
# Fraction of the latency objective for which a request without a path waits at least.
# After it, endpoints that failed the request are used again: they are often back.
MIN_PATH_WAIT_FRACTION = 0.12
# Initial time between two searches for a path, and between two attempts to take a retry
# from the budget.
POLL_INTERVAL_S = 0.02
# Shortest wait before the last search for a path. A wait of one rounding error would
# not advance the clock of a simulation.
MIN_POLL_INTERVAL_S = 0.001
# The interval between searches for a path grows while a stream waits.
MAX_POLL_INTERVAL_S = 0.1
POLL_BACKOFF_FACTOR = 1.2
# Longest time between two searches of a stream that waits for a permit. Other endpoints
# may be usable again meanwhile.
PERMIT_WAIT_S = 0.5
# Longest time between two searches of a stream that waits for endpoints that rest.
REST_WAIT_S = 0.5
# Timeout of a move of a stream that is still served, as a multiple of the
# maximum event gap. After it the stream stays on its path.
MOVE_TIMEOUT_FACTOR = 1.0
# Multiple of the latency objective after which a request gets a 503 with Retry-After if
# it was tried but not executed, usually for lack of memory. Callers give up after four
# times the latency objective; one that is kept waiting until then gets no Retry-After
# and retries later.
CAPACITY_WAIT_FACTOR = 2.0
# Fraction of the latency objective after which a request that no endpoint had room for
# is refused while room is short. It covers the backoff of a full endpoint at an
# objective of 2 s, and a last attempt still ends within an eighth of the objective.
ROOM_WAIT_FRACTION = 0.11
# Limit on the attempts of one request. A stream of which the caller has events is not
# given up at this limit: one attempt per EXTRA_ATTEMPT_INTERVAL_S follows.
MAX_ATTEMPTS = 12
EXTRA_ATTEMPT_INTERVAL_S = 0.5
# Time between two searches for a path beside a silent one, and time after a second
# attempt that failed, doubled after each further one.
HEDGE_POLL_INTERVAL_S = 0.1
HEDGE_RETRY_INTERVAL_S = 0.5
MAX_HEDGE_RETRY_INTERVAL_S = 4.0


class StreamRelay:
    """Relays one stream, in several attempts if need be."""

    def __init__(
        self, request: RoutedRequest, context: RelayContext, writer: ResponseWriter
    ) -> None:
        self._request = request
        self._context = context
        self._writer = writer
        self._timeouts = StreamTimeouts(request)
        self._attempt: Attempt | None = None
        self._last_id: bytes | None = None
        self._may_have_run = False
        self._had_unexecuted_attempt = False
        self._retries_exhausted = False
        # Whether the last attempt sent was rejected for want of room, and whether the
        # search for a path ended since there was no room.
        self._rejected_for_room = False
        self._room_wait_ended = False
        # Why the last search found no path: endpoints for which only a permit was
        # missing, and endpoints that asked for rest.
        self._without_permit: list[Endpoint] = []
        self._resting: EndpointsRestingError | None = None
        self._excluded_ids: set[str] = set()
        # Attempts sent, without the one in progress; every attempt to move counts.
        self._attempts_sent = 0
        self._retry_acquired = False
        self._crashes = CrashCount()
        self._served = False
        # Whether it is not sent again, as endpoints crashed under it.
        self._crashed = False
        self._last_failure = ""
        self._executed_at: dict[str, Endpoint] = {}
        # No second attempt beside a silent one begins before this monotonic time.
        self._next_hedge_at = 0.0
        self._hedge_interval_s = HEDGE_RETRY_INTERVAL_S
        self._times = StreamTimes()

    async def run(self) -> None:
        """Relay the stream until it is complete or given up."""
        for attempts in itertools.count():
            if attempts >= MAX_ATTEMPTS:
                if not self._writer.started:
                    break
                await anyio.sleep(EXTRA_ATTEMPT_INTERVAL_S)
            path = await self._find_path()
            if (
                path is None
                or self._request.remaining_s <= 0
                or self._capacity_wait_expired()
            ):
                break
            if (
                self._attempts_sent
                and not self._retry_acquired
                and not await self._wait_for_retry()
            ):
                break
            self._retry_acquired = False
            self._attempt = Attempt(self._request, self._context, path, self._timeouts)
            try:
                await self._run_attempt()
                return
            except AttemptFailedError as exc:
                if not self._handle_failure(exc):
                    break
            finally:
                await self._attempt.close()
        await self._give_up()

    async def _run_attempt(self) -> None:
        assert self._attempt is not None
        await self._attempt.send(self._last_id)
        events: list[Event] | None = []
        while True:
            try:
                await self._forward_events(self._attempt, events)
                return
            except MoveRequestedError as exc:
                events = []
                if not exc.still_served:
                    raise AttemptFailedError(
                        RetryReason.MOVED, str(exc), may_have_run=True
                    ) from exc
                if exc.reason is RetryReason.SILENT:
                    events = await self._wait_out_silence(str(exc))
                else:
                    await self._move(exc)

    async def _forward_events(
        self, attempt: Attempt, events: list[Event] | None
    ) -> None:
        """Forward events to the caller until the stream is complete.

        ``events`` were received already; None if the stream is complete.
        """
        writer = self._writer
        while events is not None:
            events = self._drop_delivered(events)
            if events:
                attempt.record_event()
                self._times.record_event(len(events))
                if not writer.started:
                    assert attempt.head is not None
                    await writer.start_stream(attempt.head)
                await writer.send_events(b"".join(event.raw for event in events))
                self._last_id = events[-1].id or self._last_id
            events = await attempt.next_events()
        if not writer.started:
            raise AttemptFailedError(
                RetryReason.BROKEN,
                "the stream ended without an event",
                may_have_run=True,
            )
        self._request.completed = True
        self._context.quarantine.record_completed(self._request)
        await writer.end_stream()
        self._log_end(attempt.path)
        await attempt.release_connection()

    async def _move(self, move_request: MoveRequestedError) -> None:
        """Move to another path if one accepts the stream; stay otherwise.

        The present endpoints are draining or slow but still serve the stream. If it
        left them first and no other path had memory for it, it would be lost, which is
        likely when all streams of an endpoint move at once. Events that the old
        attempt sends meanwhile are not read, so that the two never mix.
        """
        old = self._attempt
        assert old is not None
        path = self._choose_path(self._excluded_ids, None, pausing=False)
        if path is None or path.first_endpoint.id == old.path.first_endpoint.id:
            return
        if not self._may_add_endpoint(old.path) or not self._may_send_second():
            return
        self._attempts_sent += 1
        new = Attempt(self._request, self._context, path, self._timeouts)
        try:
            with anyio.fail_after(self._timeouts.max_event_gap_s * MOVE_TIMEOUT_FACTOR):
                await new.start(self._last_id)
            self._attempt = new
            self._record_execution(old)
            self._context.metrics.count_retry(move_request.reason)
            self._log_failure(old, move_request.reason, str(move_request))
        except (AttemptFailedError, TimeoutError, MoveRequestedError) as exc:
            if not isinstance(exc, AttemptFailedError) or exc.may_have_run:
                self._record_execution(new)
            self._record_stay(new, str(exc) or "no answer in time")
        finally:
            await (old if self._attempt is new else new).close()

    async def _wait_out_silence(self, cause: str) -> list[Event] | None:
        """Read on, with a second attempt beside the silent one if one may be sent.

        A sound endpoint may fall silent for a while, so the stream leaves it only for a
        path that has an event. Returns the next events of the attempt that goes on;
        None if it is complete, and an empty list if it is to be read as usual.

        Raises
        ------
        AttemptFailedError
            If no attempt is left, or the deadline of the request passed.
        """
        while True:
            attempt = self._attempt
            assert attempt is not None
            if not attempt.silent:
                return []
            path = self._choose_second_path(attempt)
            if path is not None and self._may_send_second():
                self._record_silence(attempt)
                events = await self._hedge(attempt, path, cause)
                if events != []:
                    return events
                continue
            with anyio.move_on_after(HEDGE_POLL_INTERVAL_S):
                return await next_undelivered(
                    attempt, self._drop_delivered, started=self._writer.started
                )

    async def _hedge(self, old: Attempt, path: Path, cause: str) -> list[Event] | None:
        """Race an attempt on ``path`` with a silent one; return the winner's events.

        The list is empty if there is no winner, and the attempt that did not fail goes
        on.

        Raises
        ------
        AttemptFailedError
            If both failed.
        """
        self._attempts_sent += 1
        new = Attempt(self._request, self._context, path, self._timeouts)
        try:
            outcome = await race(
                old,
                new,
                self._last_id,
                self._drop_delivered,
                started=self._writer.started,
            )
            old_failure = outcome.failures.get(old)
            new_failure = outcome.failures.get(new)
            if new_failure is not None:
                self._record_failed_hedge(new, new_failure)
            elif outcome.winner is old:
                self._record_lost_hedge(new)
            if outcome.winner is old:
                return outcome.events
            if old_failure is not None and new_failure is not None:
                raise old_failure
            if new_failure is not None:
                return []
            self._attempt = new
            if old_failure is None:
                old_failure = AttemptFailedError(
                    RetryReason.SILENT, cause, may_have_run=True
                )
            self._record_failure(old, old_failure)
            return outcome.events
        finally:
            await (old if self._attempt is new else new).close()

    def _record_failed_hedge(self, new: Attempt, exc: AttemptFailedError) -> None:
        """Record a second attempt that failed; the next one waits."""
        self._excluded_ids.update(exc.suspects)
        if exc.reason in WITHHELD_REASONS:
            self._retry_acquired = True
        if exc.may_have_run:
            self._record_run(new, exc.reason)
        self._record_stay(new, str(exc))
        self._next_hedge_at = time.monotonic() + self._hedge_interval_s
        self._hedge_interval_s = min(
            MAX_HEDGE_RETRY_INTERVAL_S, self._hedge_interval_s * 2
        )

    def _record_lost_hedge(self, new: Attempt) -> None:
        """Record a second attempt that is ended as the silent one goes on."""
        if new.sent:
            self._record_execution(new)
        else:
            self._retry_acquired = True
        self._record_stay(new, "the silent path went on")

    def _record_stay(self, attempt: Attempt, cause: str) -> None:
        self._context.metrics.count_retry(RetryReason.STAYED)
        self._log_failure(attempt, RetryReason.STAYED, cause)

    def _record_silence(self, attempt: Attempt) -> None:
        """Record that an endpoint may have ended to which the stream is connected."""
        self._context.crashes.record_attempt(
            self._request,
            attempt.path.endpoints,
            responded=False,
            answered=attempt.responded,
            served=True,
            ran_at=attempt.ran_at,
            closed=False,
            at=attempt.active_stream.last_event_at,
        )

    def _choose_second_path(self, old: Attempt) -> Path | None:
        """Return a path for a second attempt beside a silent one, or None.

        It leaves out all endpoints of the silent path, else one of them. One that sent
        nothing for so long that it timed out is tried again if nothing else is left:
        only the connection may be dead.
        """
        request = self._request
        if not request.route.retryable or time.monotonic() < self._next_hedge_at:
            return None
        if not self._may_resend or request.remaining_s <= 0:
            return None
        if self._writer.started:
            if self._last_id is None:
                # The second attempt would begin with events that the caller has.
                return None
        elif self._attempts_sent >= MAX_ATTEMPTS:
            return None
        silent_ids = set(old.endpoint_ids)
        first_ids = self._allowed_first_endpoints(old)
        path = self._choose_path(
            self._excluded_ids | silent_ids, first_ids, pausing=False
        )
        if path is None and len(silent_ids) > 1:
            path = self._choose_path(self._excluded_ids, first_ids, pausing=False)
            if path is not None:
                if silent_ids <= {stage.endpoint.id for stage in path.stages}:
                    path = None
        if path is None and old.timed_out:
            path = self._choose_path(set(), first_ids, pausing=False)
        return path

    def _may_send_second(self) -> bool:
        """Take a retry for an attempt beside the present one, if it may be sent."""
        if self._context.quarantine.refusal(self._request) is not None:
            return False
        if not self._retry_acquired:
            reserve = self._retry_reserve()
            if not acquire_retry(self._request, self._context, reserve):
                return False
        self._retry_acquired = False
        return True

    async def _wait_for_retry(self) -> bool:
        """Take a retry from the budget; return whether there was one.

        The budget is refilled over time, and a stream of which the caller has
        events waits for that: if it were given up, its events would be lost or the
        caller would request all of them again.
        """
        while not acquire_retry(self._request, self._context, self._retry_reserve()):
            if not self._writer.started or self._request.remaining_s <= 0:
                self._retries_exhausted = True
                return False
            await anyio.sleep(POLL_INTERVAL_S)
        return True

    def _retry_reserve(self) -> float | None:
        """Return the fraction of the budget to leave; None if no retry may follow."""
        if self._writer.started:
            return 0.0
        return reserve_for_retry(
            self._request,
            self._context.admission,
            rejected_for_room=self._rejected_for_room,
            may_have_run=self._may_have_run,
        )

    def _may_add_endpoint(self, path: Path) -> bool:
        """Return whether the route allows one endpoint more than were used.

        Those used are where the request ran and the first endpoint of ``path``.
        """
        used = {*self._executed_at, path.first_endpoint.id}
        return len(used) < self._request.route.max_attempts

    def _log_failure(self, attempt: Attempt, reason: RetryReason, cause: str) -> None:
        """Log a failed attempt, a move off its path, or a failed move to its path."""
        logger.info(
            "stream broke",
            request=decode_value(self._request.id),
            reason=reason.value,
            cause=cause,
            ended_by="host" if reason in ENDED_HERE_REASONS else "endpoint",
            path=attempt.endpoint_ids,
            responded=attempt.responded,
            events=self._times.event_count,
            version=self._request.config_version,
            segments=self._request.segments.logged,
            after=decode_value(self._last_id or b""),
        )

    def _handle_failure(self, exc: AttemptFailedError) -> bool:
        """Record a failed attempt; return whether a retry may follow."""
        request, attempt = self._request, self._attempt
        assert attempt is not None
        self._record_failure(attempt, exc)
        if exc.reason not in UNSENT_REASONS:
            self._attempts_sent += 1
        elif exc.reason in WITHHELD_REASONS and self._attempts_sent:
            # Nothing was sent, so the retry that was taken is used by the next attempt.
            self._retry_acquired = True
        if exc.may_have_run:
            if self._context.quarantine.refusal(request) is not None:
                return False
            return request.route.retryable and self._may_resend
        if exc.reason is RetryReason.QUARANTINED or not self._may_resend:
            return False
        if self._rejected_for_room and self._room_wait_expired():
            return False
        return self._retry_reserve() is not None

    def _record_failure(self, attempt: Attempt, exc: AttemptFailedError) -> None:
        """Record an attempt that failed, or that another one replaced."""
        self._context.metrics.count_retry(exc.reason)
        self._log_failure(attempt, exc.reason, str(exc))
        self._last_failure = f"{exc.reason.value}: {exc}"
        self._excluded_ids.update(exc.suspects)
        if exc.reason not in WITHHELD_REASONS:
            self._rejected_for_room = attempt.rejected_for_room
        if exc.may_have_run:
            self._record_run(attempt, exc.reason)
        elif exc.reason is not RetryReason.QUARANTINED:
            self._had_unexecuted_attempt = True

    def _record_run(self, attempt: Attempt, reason: RetryReason) -> None:
        """Record a failed attempt that may have run, and whether it was a crash."""
        self._may_have_run = True
        self._record_execution(attempt)
        quarantine = self._context.quarantine
        if quarantine.refusal(self._request) is not None:
            # This host may have ended the attempt itself.
            return
        if self._record_crash(attempt, reason):
            if not quarantine.may_repeat(self._request, self._crashes):
                self._crashed = True

    @property
    def _may_resend(self) -> bool:
        """Whether the crashes under the request allow another attempt."""
        return self._served or not self._crashed

    def _record_crash(self, attempt: Attempt, reason: RetryReason) -> bool:
        """Record a broken attempt; return whether an endpoint seems to have crashed.

        An endpoint that broke it off may have crashed; of those on a silent path one
        has if it is known to. Once the request was served, it is not the cause.
        """
        self._served = self._served or attempt.served
        if reason not in CRASH_REASONS:
            return False
        endpoints = attempt.path.endpoints
        if reason is RetryReason.BROKEN:
            endpoints = endpoints[:1]
        responded = attempt.responded and not attempt.active_stream.first_event_seen
        self._context.crashes.record_attempt(
            self._request,
            endpoints,
            responded=responded,
            answered=attempt.responded,
            served=self._served,
            ran_at=attempt.ran_at,
            closed=reason is RetryReason.BROKEN,
        )
        if self._served:
            return False
        for endpoint in endpoints:
            if reason is not RetryReason.BROKEN:
                if not self._context.directory.has_crashed(endpoint):
                    continue
            self._crashes.add(endpoint, responded=responded)
            return True
        return False

    async def _find_path(self) -> Path | None:
        """Return a path, or None if there is none after a wait.

        After a short wait, endpoints that failed this request are used again: they
        may have restarted, and the wait spaces out the attempts.
        """
        request = self._request
        self._room_wait_ended = False
        started_at = time.monotonic()
        deadline = min(
            request.deadline,
            started_at + self._timeouts.latency_objective_s * MIN_PATH_WAIT_FRACTION,
        )
        interval_s = POLL_INTERVAL_S
        while True:
            first_endpoint_ids = self._allowed_first_endpoints()
            # Those that failed the request and answer are better than pausing ones.
            path = self._choose_path(
                self._excluded_ids,
                first_endpoint_ids,
                pausing=not self._excluded_ids,
            )
            if path is not None:
                return path
            if self._may_refuse_at_once():
                return None
            self._room_wait_ended = self._room_wait_expired()
            if time.monotonic() >= deadline or self._room_wait_ended:
                path = self._choose_path(set(), first_endpoint_ids)
                if (
                    path is not None
                    or request.remaining_s <= 0
                    or self._room_wait_ended
                    or self._path_wait_expired()
                ):
                    return path
            await self._wait_for_path(self._until_room_wait(interval_s), deadline)
            interval_s = min(MAX_POLL_INTERVAL_S, interval_s * POLL_BACKOFF_FACTOR)

    def _choose_path(
        self,
        excluded: set[str],
        first_endpoint_ids: frozenset[str] | None,
        *,
        pausing: bool = True,
    ) -> Path | None:
        """Return a path, or None if there is none that may be used now.

        ``pausing`` tells whether endpoints that pause may be on it if no other path is
        left. They serve a stream no better that is connected to an endpoint.
        """
        self._without_permit = []
        self._resting = None
        try:
            return self._context.chooser.choose_path(
                self._request.service,
                excluded,
                first_endpoint_ids,
                tokens=self._request.token_estimate,
                resumed=self._writer.started,
                pausing=pausing,
            )
        except NoPermitError as exc:
            self._without_permit = exc.endpoints
        except EndpointsRestingError as exc:
            self._resting = exc
        return None

    def _may_refuse_at_once(self) -> bool:
        """Return whether to refuse a new request without any wait.

        It is known then when the request can be served. Endpoints that failed the
        request may be back sooner.
        """
        if self._writer.started:
            return False
        if self._resting is not None:
            return self._excluded_ids <= self._resting.endpoint_ids
        return bool(self._without_permit) and not self._excluded_ids

    async def _wait_for_path(self, seconds: float, deadline: float) -> None:
        """Wait before the next search for a path, for a permit if that is missing.

        From ``deadline`` on endpoints that failed the request are searched too, so a
        stream that still has no permit then waits longer between two searches.
        """
        if self._resting is not None:
            rest_s = self._resting.deadline - time.monotonic()
            seconds = max(seconds, min(rest_s, REST_WAIT_S))
        if not self._without_permit:
            await anyio.sleep(seconds)
            return
        if time.monotonic() >= deadline:
            seconds = PERMIT_WAIT_S
        await self._context.limits.wait_for_permit(seconds)

    def _path_wait_expired(self) -> bool:
        """Return whether to stop waiting for a path.

        A new request stops once there has been no path for
        ``PATH_RESTORE_WAIT_S``. A stream of which the caller has events waits
        until its deadline, since giving it up would lose them. A request for which
        only a permit is missing, or for which endpoints rest, does not wait: the caller
        is told when to come back.
        """
        if self._writer.started:
            return False
        if self._without_permit or self._resting is not None:
            return True
        return (
            self._context.chooser.seconds_since_path_found(self._request.service.name)
            > PATH_RESTORE_WAIT_S
        )

    def _room_wait_expired(self) -> bool:
        """Return whether a request without an event has waited too long for room.

        One that may have run waits longer: it cannot be refused with the promise that
        it has not.
        """
        if self._writer.started or self._may_have_run:
            return False
        if self._room_wait_s > 0:
            return False
        if not self._context.admission.short(self._request.service.name):
            return False
        return self._rejected_for_room or self._full_endpoint_withheld()

    def _until_room_wait(self, seconds: float) -> float:
        """Return a time to wait, shortened to the end of the wait for room."""
        left_s = self._room_wait_s
        if left_s <= 0 or not self._context.admission.short(self._request.service.name):
            return seconds
        return min(seconds, max(left_s, MIN_POLL_INTERVAL_S))

    @property
    def _room_wait_s(self) -> float:
        """Seconds that are left to wait for room; negative after them."""
        limit_s = self._timeouts.latency_objective_s * ROOM_WAIT_FRACTION
        return limit_s - self._times.elapsed_s

    def _full_endpoint_withheld(self) -> bool:
        """Return whether an endpoint gets no requests now since it had no room."""
        now = time.monotonic()
        index = self._context.directory.replica_index
        for record in index.records(self._request.service.name):
            if record.failures or record.down or now >= record.backoff_deadline:
                continue
            return True
        return False

    def _capacity_wait_expired(self) -> bool:
        """Return whether a request that was not executed has waited too long."""
        if self._writer.started or not self._had_unexecuted_attempt:
            return False
        return (
            self._times.elapsed_s
            > self._timeouts.latency_objective_s * CAPACITY_WAIT_FACTOR
        )

    def _allowed_first_endpoints(
        self, active: Attempt | None = None
    ) -> frozenset[str] | None:
        """Return the ids of the only endpoints that may receive the request.

        None means that any may. The route limits at how many endpoints a request
        runs; the first endpoint of a path counts, also that of the ``active`` attempt.
        When that many may still run it, it continues only at one of them, with other
        endpoints after it on the path.
        """
        executed_at = dict(self._executed_at)
        if active is not None:
            first = active.path.first_endpoint
            executed_at[first.id] = first
        active_ids = []
        for endpoint_id, endpoint in executed_at.items():
            if self._context.directory.may_still_run(endpoint):
                active_ids.append(endpoint_id)
        if len(active_ids) < self._request.route.max_attempts:
            return None
        return frozenset(active_ids)

    def _record_execution(self, attempt: Attempt) -> None:
        first = attempt.path.first_endpoint
        self._executed_at[first.id] = first

    def _log_end(self, path: Path) -> None:
        times = self._times
        self._context.metrics.longest_pause.record(times.longest_event_gap_s)
        logger.info(
            "stream ended",
            request=decode_value(self._request.id),
            first_ms=round(times.first_event_s * 1000),
            pause_ms=round(times.longest_event_gap_s * 1000),
            pause_after_ms=round(times.longest_event_gap_end_s * 1000),
            took_ms=round(times.elapsed_s * 1000),
            tokens=self._request.token_estimate,
            tries=self._attempts_sent + 1,
            path=[stage.endpoint.id for stage in path.stages],
        )

    def _drop_delivered(self, events: list[Event]) -> list[Event]:
        """Return the events that the caller does not have; ids only increase."""
        undelivered = []
        last = _event_number(self._last_id)
        for event in events:
            number = _event_number(event.id)
            if last is not None and number is not None and number <= last:
                continue
            last = number if number is not None else last
            undelivered.append(event)
        return undelivered

    def _refused_for_room(self) -> bool:
        """Return whether a request that has not run gets no further attempt for room.

        That is so if the last attempt was rejected for want of room; and while room is
        short, if the retry budget allows no retry or no endpoint had room.
        """
        admission, service = self._context.admission, self._request.service.name
        if self._may_have_run:
            return False
        if self._rejected_for_room:
            return admission.applies(service)
        if self._retries_exhausted or self._room_wait_ended:
            return admission.short(service)
        return False

    async def _give_up(self) -> None:
        """End the stream, or respond with an error if the caller has no event.

        502 and 504 tell that the request may have run, also if an endpoint sent a
        response that cannot be relayed.
        """
        request, writer = self._request, self._writer
        expired = request.remaining_s <= 0
        verdict = self._context.quarantine.refusal(request)
        if writer.started:
            refusal = RefusalReason.TIMEOUT if expired else RefusalReason.UNCERTAIN
        elif self._crashed and not expired:
            refusal = RefusalReason.CRASHED
        elif verdict is not None:
            refusal, _ = explain_quarantine(verdict)
        elif self._may_have_run and not request.route.retryable:
            refusal = RefusalReason.TIMEOUT if expired else RefusalReason.UNCERTAIN
        elif self._without_permit and not expired:
            refusal = RefusalReason.NO_PERMIT
        elif self._resting is not None and not expired:
            refusal = RefusalReason.RESTING
        elif self._refused_for_room():
            refusal = RefusalReason.NO_ROOM
        elif self._retries_exhausted:
            refusal = RefusalReason.RETRY_BUDGET
        elif self._had_unexecuted_attempt or self._may_have_run:
            refusal = RefusalReason.ENDPOINTS_FULL
        else:
            refusal = RefusalReason.DEADLINE if expired else RefusalReason.NO_PATH
        self._context.metrics.count_refusal(refusal)
        logger.warning(
            "stream given up",
            request=decode_value(request.id),
            route=request.route.name,
            reason=refusal.value,
            after=decode_value(self._last_id or b""),
            tries=self._attempts_sent,
            last_failure=self._last_failure,
            crashed=self._crashed,
            quarantined=verdict is not None,
            remaining_ms=round(request.remaining_s * 1000),
            version=request.config_version,
        )
        if writer.started:
            self._context.metrics.count("streams_cut_off", refusal.value)
            # Closing without the last chunk shows that the stream is incomplete.
            writer.close_connection = True
            return
        if self._may_have_run:
            await writer.local_reply(
                504 if expired else 502, "the endpoint did not answer"
            )
            return
        retry_after_s = (
            RETRY_AFTER_FULL_S
            if self._had_unexecuted_attempt
            else RETRY_AFTER_NO_ENDPOINT_S
        )
        text = "no path can take the request"
        if verdict is not None:
            _, text = explain_quarantine(verdict)
            retry_after_s = self._context.quarantine.retry_after_s(verdict)
        elif refusal is RefusalReason.NO_ROOM:
            retry_after_s = self._context.admission.retry_after_s(request)
        elif refusal is RefusalReason.NO_PERMIT:
            retry_after_s = self._context.limits.promise_permit_s(self._without_permit)
        elif refusal is RefusalReason.RESTING:
            assert self._resting is not None
            retry_after_s = self._context.statements.retry_after_s(
                self._resting.deadline
            )
        await writer.local_reply(503, text, retry_after_s)


def _event_number(value: bytes | None) -> int | None:
    number = decode_number(value) if value is not None else None
    # Ids beyond the range are not told apart, so they are not compared.
    return number if number != MAX_INTEGER else None


__all__ = [
    "StreamRelay",
]
