"""Relaying of requests that get one complete response."""

from __future__ import annotations

import time
from math import inf
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.error import (
    CallerStalledError,
    ConnectionLostError,
    NotSentError,
    ReadTimeoutError,
    TransportError,
)
from hemlockhall_router.policy.endpoint_rate import NoRoomError
from hemlockhall_router.policy.retry_reserve import lacks_room
from hemlockhall_router.process.limits import NoPermitError
from hemlockhall_router.process.quarantine import CrashCount
from hemlockhall_router.process.statement import EndpointsRestingError
from hemlockhall_router.request.events import ends_inside_event
from hemlockhall_router.request.failure import AttemptFailedError, decode_value
from hemlockhall_router.request.race import AttemptRace
from hemlockhall_router.request.reason import (
    CRASH_REASONS,
    UNSENT_REASONS,
    WITHHELD_REASONS,
    RefusalReason,
    RetryReason,
)
from hemlockhall_router.request.relay import (
    InFlightTracker,
    RelayContext,
    RoutedRequest,
    acquire_retry,
    encode_upstream_request,
    explain_quarantine,
    reserve_for_retry,
    send_request,
)

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.process.directory import EndpointRecord
    from hemlockhall_router.process.limits import Permit
    from hemlockhall_router.request.response_writer import ResponseWriter
    from hemlockhall_router.version.endpoint import EndpointStatement

# Far above the network delay between the data centres of a region, far below the
# latency objectives.
CONNECT_TIMEOUT_S = 0.3
# An idempotent request is also sent to another endpoint after the first one has been
# silent for this multiple of its average latency, but not before the minimum.
LATENCY_TIMEOUT_FACTOR = 6.0
MIN_RESPONSE_TIMEOUT_S = 0.4
# Limit on the attempts that were not executed, which the route does not limit.
MAX_UNEXECUTED_ATTEMPTS = 4
# Late responses to earlier requests that are skipped on one connection.
MAX_LATE_RESPONSES = 3
# Retry-After if no endpoint executed the request, and if there was none to try.
RETRY_AFTER_FULL_S = 0.5
RETRY_AFTER_NO_ENDPOINT_S = 1.0


class PlainRelay:
    """Relays one request and its response, with retries where the route allows."""

    def __init__(
        self, request: RoutedRequest, context: RelayContext, writer: ResponseWriter
    ) -> None:
        self._request = request
        self._context = context
        self._writer = writer
        self._attempted_ids: set[str] = set()
        self._attempts_sent = 0
        self._retry_acquired = False
        self._may_have_run = False
        self._unexecuted_attempts = 0
        # Whether the last attempt sent was rejected for want of room.
        self._rejected_for_room = False
        # Why no attempt began when the last one was to begin, and when to come back.
        self._refusal = RefusalReason.NO_ENDPOINT
        self._retry_after_s: float | None = None
        self._crashes = CrashCount()
        # Whether it is not sent again, as endpoints crashed under it.
        self._crashed = False
        self._error_response: Response | None = None

    async def run(self) -> None:
        """Send the request until it gets a response or is given up."""
        response = None
        async with anyio.create_task_group() as group:
            self._race = AttemptRace(group, self._run_attempt)
            response = await self._first_response(self._race)
            if self._race.running:
                group.cancel_scope.cancel()
        if response is None:
            await self._give_up(self._refusal, self._retry_after_s)
            return
        self._request.completed = True
        await self._forward(response)

    async def _forward(self, response: Response) -> None:
        """Send a response, unless the caller does not read it and memory is short."""
        try:
            await self._writer.forward(response)
        except CallerStalledError:
            self._context.metrics.count("connections", "closed_stalled")
            logger.info(
                "response given up",
                request=decode_value(self._request.id),
                cause="the caller does not read it, and others need the memory",
                bytes=len(response.body),
            )
            raise

    async def _first_response(self, race: AttemptRace) -> Response | None:
        """Return the first whole response, or None if the request is given up.

        A silent attempt stays connected while another one begins elsewhere, and also
        if no other may begin.
        """
        may_try = True
        while True:
            record = self._choose(race) if may_try else None
            if record is not None:
                race.start(record)
            elif not race.running:
                return None
            result = await race.next_result(self._next_try_at(record, race))
            if result is None:
                self._record_silence(race)
                may_try = self._may_add_attempt(race)
                continue
            record, outcome = result
            if not isinstance(outcome, AttemptFailedError):
                self._leave_silent(race)
                return outcome
            may_try = self._handle_failure(record, outcome)
            if race.running:
                may_try = may_try and self._may_add_attempt(race)
            if may_try:
                continue
            self._refusal, self._retry_after_s = RefusalReason.ENDPOINTS_FULL, None
            if self._error_response is not None or self._crashed:
                return None

    def _choose(self, race: AttemptRace) -> EndpointRecord | None:
        """Return the endpoint of the next attempt; else record why there is none."""
        request, context = self._request, self._context
        self._refusal, self._retry_after_s = RefusalReason.NO_ENDPOINT, None
        try:
            record = context.chooser.choose_endpoint(
                request.service.name,
                self._attempted_ids.union(race.running),
                by_rate=context.admission.applies(request.service.name),
                objective_s=request.route.latency_objective_s,
                remaining_s=request.remaining_s,
                # One that pauses is no better than the one that is silent.
                pausing=not race.running,
            )
        except NoRoomError:
            self._refusal = RefusalReason.NO_ROOM
            return None
        except NoPermitError as exc:
            self._refusal = RefusalReason.NO_PERMIT
            if not race.running:
                self._retry_after_s = context.limits.promise_permit_s(exc.endpoints)
            return None
        except EndpointsRestingError as exc:
            self._refusal = RefusalReason.RESTING
            if not race.running:
                retry_after_s = context.statements.retry_after_s(exc.deadline)
                if self._attempted_ids - exc.endpoint_ids:
                    # Others have no room at present.
                    retry_after_s = min(RETRY_AFTER_FULL_S, retry_after_s)
                self._retry_after_s = retry_after_s
            return None
        if record is None or request.remaining_s <= 0:
            return None
        if (self._attempts_sent or race.running) and not self._acquire_retry():
            self._refusal = RefusalReason.RETRY_BUDGET
            return None
        return record

    def _may_add_attempt(self, race: AttemptRace) -> bool:
        """Return whether another attempt may begin beside those in progress."""
        route = self._request.route
        sent = self._attempts_sent + len(race.running)
        return route.retryable and sent < route.max_attempts

    def _next_try_at(self, record: EndpointRecord | None, race: AttemptRace) -> float:
        """Return when to try another endpoint if no attempt ends before."""
        if not self._may_add_attempt(race):
            return inf
        timeout_s = MIN_RESPONSE_TIMEOUT_S
        if record is not None:
            timeout_s = max(timeout_s, LATENCY_TIMEOUT_FACTOR * record.latency_s)
        return time.monotonic() + timeout_s

    def _record_silence(self, race: AttemptRace) -> None:
        """Record that the attempts in progress are silent, and probe endpoints."""
        self._context.prober.request_probes(list(race.running))
        for endpoint_id in race.running:
            if endpoint_id in self._attempted_ids:
                continue
            self._attempted_ids.add(endpoint_id)
            self._context.crashes.record_attempt(
                self._request,
                [race.running[endpoint_id].endpoint],
                responded=False,
                served=True,
                closed=False,
            )
            self._context.metrics.count_retry(RetryReason.SILENT)
            logger.info(
                "try silent",
                request=decode_value(self._request.id),
                endpoint=endpoint_id,
            )

    def _leave_silent(self, race: AttemptRace) -> None:
        """Record the failure of endpoints that are silent and answer probes."""
        for endpoint_id, record in race.running.items():
            if endpoint_id in self._attempted_ids and not record.down:
                self._context.directory.record_failure(endpoint_id, "silent")

    def _handle_failure(self, record: EndpointRecord, exc: AttemptFailedError) -> bool:
        """Record a failed attempt; return whether a retry may follow."""
        request = self._request
        self._attempted_ids.add(record.endpoint.id)
        self._context.metrics.count_retry(exc.reason)
        logger.info(
            "try failed",
            request=decode_value(request.id),
            endpoint=record.endpoint.id,
            reason=exc.reason.value,
            cause=str(exc),
            ran=exc.may_have_run,
        )
        if exc.response is not None:
            self._error_response = exc.response
        if exc.reason not in UNSENT_REASONS:
            self._attempts_sent += 1
        elif exc.reason in WITHHELD_REASONS and (
            self._attempts_sent or self._race.running
        ):
            # Nothing was sent, so the retry that was taken is used by the next attempt.
            self._retry_acquired = True
        if exc.reason is RetryReason.QUARANTINED:
            return False
        if not exc.may_have_run:
            self._unexecuted_attempts += 1
            if self._retry_reserve() is None:
                return False
            return self._unexecuted_attempts < MAX_UNEXECUTED_ATTEMPTS
        self._may_have_run = True
        if exc.reason in CRASH_REASONS:
            self._context.prober.request_probes([record.endpoint.id])
        if exc.reason in CRASH_REASONS:
            self._context.crashes.record_attempt(
                request,
                [record.endpoint],
                responded=False,
                closed=exc.reason is RetryReason.BROKEN,
            )
        if self._seems_crashed(record, exc.reason):
            self._crashes.add(record.endpoint, responded=False)
            quarantine = self._context.quarantine
            self._crashed = not quarantine.may_repeat(request, self._crashes)
            if self._crashed:
                return False
        return (
            request.route.retryable
            and len(self._attempted_ids) < request.route.max_attempts
        )

    def _seems_crashed(self, record: EndpointRecord, reason: RetryReason) -> bool:
        """Return whether an endpoint seems to have crashed under the request.

        One that is silent has if it is known to.
        """
        if reason is RetryReason.SILENT:
            return self._context.directory.has_crashed(record.endpoint)
        return reason in CRASH_REASONS

    def _acquire_retry(self) -> bool:
        """Take a retry from the budget, unless the last one was not used."""
        if self._retry_acquired:
            self._retry_acquired = False
            return True
        return acquire_retry(self._request, self._context, self._retry_reserve())

    def _retry_reserve(self) -> float | None:
        """Return the fraction of the budget to leave; None if no retry may follow."""
        return reserve_for_retry(
            self._request,
            self._context.admission,
            rejected_for_room=self._rejected_for_room,
            may_have_run=self._may_have_run,
        )

    async def _run_attempt(self, record: EndpointRecord) -> Response:
        request, context = self._request, self._context
        endpoint = record.endpoint
        await context.crashes.settle(request, endpoint)
        permit = context.limits.try_acquire(endpoint)
        if permit is None:
            raise AttemptFailedError(
                RetryReason.NO_PERMIT, "no permit is left", may_have_run=False
            )
        connect_deadline = min(request.deadline, time.monotonic() + CONNECT_TIMEOUT_S)
        try:
            if request.route.retryable:
                conn = await context.pool.acquire(endpoint.address, connect_deadline)
            else:
                # The endpoint may close an idle connection just as the request is
                # sent, and it would be unknown whether the request was executed.
                host, port = endpoint.address
                conn = await ClientConnection.open(host, port, connect_deadline)
        except anyio.get_cancelled_exc_class():
            context.limits.give_back(permit)
            raise
        except NotSentError as exc:
            context.limits.give_back(permit)
            context.directory.record_failure(endpoint.id, str(exc))
            self._rejected_for_room = False
            raise AttemptFailedError(
                RetryReason.NOT_SENT, str(exc), may_have_run=False
            ) from exc
        started = time.monotonic()
        response = None
        try:
            with InFlightTracker(context.directory, [endpoint.id]):
                load = record.load
                response, statement = await self._exchange(conn, record, permit)
        except TransportError as exc:
            context.metrics.count_oversized(exc)
            silent = isinstance(exc, ReadTimeoutError)
            if not silent or not record.down:
                # The prober tells when a silent endpoint goes on.
                context.directory.record_failure(endpoint.id, str(exc))
            reason = RetryReason.SILENT if silent else RetryReason.BROKEN
            raise AttemptFailedError(reason, str(exc), may_have_run=True) from exc
        finally:
            if response is None or not conn.reusable:
                await conn.close()
        await context.pool.release(endpoint.address, conn, response.head)
        response_time_s = time.monotonic() - started
        return self._check_response(record, response, statement, response_time_s, load)

    async def _exchange(
        self, conn: ClientConnection, record: EndpointRecord, permit: Permit
    ) -> tuple[Response, EndpointStatement]:
        request, context = self._request, self._context
        data = encode_upstream_request(
            request,
            context.dialect,
            record.endpoint,
            priority=context.admission.sent_priority(request),
        )
        await send_request(
            request,
            context,
            conn,
            [record.endpoint],
            permit,
            data,
            self._forget_rejection,
        )
        for _ in range(MAX_LATE_RESPONSES):
            no_body = request.head.method == b"HEAD"
            response = await conn.read_response(request.deadline, no_body=no_body)
            echoed = response.head.header(context.dialect.headers.request_id)
            if echoed is None or echoed == request.id:
                statement = context.statements.record_response(
                    record.endpoint, response.head
                )
                return response, statement
            # A late response to an earlier request on this connection; the response
            # to this one follows it.
            logger.warning("late response skipped", request=decode_value(request.id))
        raise ConnectionLostError("received only responses to other requests")

    def _forget_rejection(self) -> None:
        self._rejected_for_room = False

    def _check_response(
        self,
        record: EndpointRecord,
        response: Response,
        statement: EndpointStatement,
        response_time_s: float,
        load: int,
    ) -> Response:
        """Return the response to relay, or raise ``AttemptFailedError``.

        ``load`` is that of the endpoint when the request was sent.

        Status 421 (Misdirected Request) means that another endpoint has the address. A
        response without a signature was not sent by an endpoint.
        """
        names = self._context.dialect.headers
        status = response.head.status
        endpoint_id = record.endpoint.id
        if response.head.header(names.not_executed) is not None or status == 421:
            if status == 421:
                self._context.directory.record_failure(
                    endpoint_id, "another endpoint has its address"
                )
            self._rejected_for_room = lacks_room(
                status, statement, record, time.monotonic()
            )
            if self._rejected_for_room:
                self._context.admission.record_rejected(self._request.service.name)
            raise AttemptFailedError(
                RetryReason.REJECTED, f"status {status}", may_have_run=False
            )
        self._context.statements.record_accepted([record.endpoint])
        if response.head.header(b"content-encoding") is not None:
            raise AttemptFailedError(
                RetryReason.FAILED,
                "the response has a content encoding",
                may_have_run=True,
            )
        if status < 300 and response.head.header(names.signature) is None:
            raise AttemptFailedError(
                RetryReason.FAILED, "the response has no signature", may_have_run=True
            )
        if ends_inside_event(response):
            raise AttemptFailedError(
                RetryReason.BROKEN,
                "the stream ended inside an event",
                may_have_run=True,
            )
        self._context.directory.record_success(endpoint_id, response_time_s)
        self._context.metrics.response_time.record(response_time_s)
        if status < 500:
            # A broken endpoint fails requests sooner than it would serve them.
            self._context.directory.record_service_time(
                endpoint_id, response_time_s, load
            )
            self._context.quarantine.record_run(self._request)
            self._context.quarantine.record_served(self._request)
            self._context.quarantine.record_completed(self._request)
        if status >= 500 and self._request.route.retryable:
            cause = f"status {status}"
            raise AttemptFailedError(
                RetryReason.FAILED, cause, may_have_run=True, response=response
            )
        return response

    def _refused_for_room(self, refusal: RefusalReason) -> bool:
        """Return whether a request that has not run gets no further attempt for room.

        That is so if the last attempt was rejected for want of room; and while room is
        short, if the retry budget allows no retry. When an endpoint without a permit,
        or one that rests, can be used again is known more exactly.
        """
        admission, service = self._context.admission, self._request.service.name
        if refusal in (RefusalReason.NO_PERMIT, RefusalReason.RESTING):
            return False
        if self._rejected_for_room:
            return admission.applies(service)
        return refusal is RefusalReason.RETRY_BUDGET and admission.short(service)

    async def _give_up(
        self, refusal: RefusalReason, retry_after_s: float | None = None
    ) -> None:
        """Respond without another attempt.

        A complete error response of an endpoint is forwarded. Otherwise the status is
        503 if no attempt can have been executed, 504 after the deadline, or 502. The
        last two are also sent after a response that cannot be relayed.
        """
        request = self._request
        if self._error_response is not None:
            request.completed = True
            await self._forward(self._error_response)
            return
        expired = request.remaining_s <= 0
        verdict = self._context.quarantine.refusal(request)
        if self._crashed:
            refusal = RefusalReason.CRASHED
        elif self._may_have_run:
            refusal = RefusalReason.TIMEOUT if expired else RefusalReason.UNCERTAIN
        elif expired:
            refusal = RefusalReason.DEADLINE
        elif verdict is not None:
            refusal, _ = explain_quarantine(verdict)
        elif self._refused_for_room(refusal):
            refusal = RefusalReason.NO_ROOM
        self._context.metrics.count_refusal(refusal)
        logger.warning(
            "request given up",
            request=decode_value(request.id),
            route=request.route.name,
            reason=refusal.value,
            tried=sorted(self._attempted_ids),
        )
        if self._may_have_run:
            status = 504 if expired else 502
            await self._writer.local_reply(status, "the endpoint did not answer")
            return
        text = "no endpoint can take the request"
        if verdict is not None:
            retry_after_s = self._context.quarantine.retry_after_s(verdict)
            _, text = explain_quarantine(verdict)
        elif refusal is RefusalReason.NO_ROOM:
            retry_after_s = self._context.admission.retry_after_s(request)
        elif retry_after_s is None:
            retry_after_s = (
                RETRY_AFTER_FULL_S
                if self._unexecuted_attempts
                else RETRY_AFTER_NO_ENDPOINT_S
            )
        await self._writer.local_reply(503, text, retry_after_s)


__all__ = [
    "PlainRelay",
]
