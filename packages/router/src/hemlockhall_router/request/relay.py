"""The request, its context and its in-flight counts, for plain and stream relays."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.connection.message import encode_request, end_to_end_headers
from hemlockhall_router.policy.priority import combine_priorities, usable_priority
from hemlockhall_router.policy.retry_reserve import retry_reserve
from hemlockhall_router.process.dialect import PromptSegments
from hemlockhall_router.process.quarantine import FATAL_REQUEST_TEXT, QUARANTINED_TEXT
from hemlockhall_router.request.failure import AttemptFailedError, decode_value
from hemlockhall_router.request.reason import RefusalReason, RetryReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.client import ClientConnection
    from hemlockhall_router.connection.message import Headers, RequestHead
    from hemlockhall_router.connection.pool import ConnectionPool
    from hemlockhall_router.membership.message import SegmentVerdict
    from hemlockhall_router.policy.data_centre_link import DataCentreLinks
    from hemlockhall_router.process.admission import Admission
    from hemlockhall_router.process.budget import RetryBudget
    from hemlockhall_router.process.chooser import Chooser
    from hemlockhall_router.process.crash import CrashWatch
    from hemlockhall_router.process.dialect import Dialect, TokenCounts
    from hemlockhall_router.process.directory import Directory, EndpointRecord
    from hemlockhall_router.process.limits import EndpointLimits, Permit
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.process.prober import Prober
    from hemlockhall_router.process.quarantine import Quarantine
    from hemlockhall_router.process.statement import EndpointStatements
    from hemlockhall_router.request.active_stream import ActiveStream
    from hemlockhall_router.request.caller_watch import CallerWatch
    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import Customer, Route, Service

# Network time to the endpoint, subtracted from the deadline that it is sent.
TRANSIT_S = 0.005


@dataclass(slots=True)
class RelayContext:
    """The components of the process that a relay uses.

    ``dialect`` translates between this host and a deployment: header names and
    encodings.
    """

    dialect: Dialect
    pool: ConnectionPool
    directory: Directory
    chooser: Chooser
    retry_budget: RetryBudget
    metrics: Metrics
    prober: Prober
    data_centre_links: DataCentreLinks
    limits: EndpointLimits
    statements: EndpointStatements
    admission: Admission
    crashes: CrashWatch
    quarantine: Quarantine


@dataclass(slots=True)
class RoutedRequest:
    """A caller's request with its route and service.

    ``id`` is the caller's id of the request, ``deadline`` monotonic seconds. ``caller``
    is None if nobody waits for the response.
    ``completed`` is true once an endpoint has finished the response, ``sends`` counts
    how often it was sent to an endpoint, and ``retry_taken_at`` is the monotonic time
    at which the latest retry was taken for it. ``sent_at`` has the monotonic time at
    which it was last sent, by the id of the endpoint, ``uncounted_sends`` are those
    that the retry budget does not know yet, and ``crashes`` the keys of the
    endpoints that ended under it.
    ``config_version`` is that of the configuration by which it was routed.
    ``key`` is the key of its content and ``segment_keys`` are those of the shared
    segments of its prompt, None until they are needed, and ``tried_segments`` those of
    segments whose quarantine has ended and that this request tries.
    """

    head: RequestHead
    body: bytes
    route: Route
    service: Service
    customer: Customer | None
    id: bytes
    deadline: float
    caller: CallerWatch | None = None
    token_counts: TokenCounts | None = None
    segments: PromptSegments = PromptSegments()
    key: int | None = None
    segment_keys: tuple[int, ...] | None = None
    tried_segments: set[int] = field(default_factory=set)
    completed: bool = False
    sends: int = 0
    sent_at: dict[str, float] = field(default_factory=dict)
    uncounted_sends: list[tuple[Endpoint, float]] = field(default_factory=list)
    crashes: set[int] = field(default_factory=set)
    retry_taken_at: float = inf
    config_version: int = 0

    @property
    def priority(self) -> int:
        """Priority of the customer and, among equal ones, of the route; 0 comes first.

        The route's stands for that of a customer without one.
        """
        own = self.customer.priority if self.customer is not None else None
        if own is not None:
            own = usable_priority(own)
        return combine_priorities(own, usable_priority(self.route.priority))

    @property
    def expected_tokens(self) -> int:
        """Tokens that it occupies in memory on average while it runs.

        The prompt and half of the output, which is the model's typical one if that is
        less than the maximum that the request states.
        """
        model = self.service.model
        counts = self.token_counts
        if model is None:
            return self.token_estimate
        if counts is None:
            return round(model.typical_prompt_tokens + model.typical_output_tokens / 2)
        output = min(counts.max_output, model.typical_output_tokens or inf)
        return round(counts.prompt + output / 2)

    @property
    def token_estimate(self) -> int:
        """Tokens that it may occupy in memory.

        Prompt and maximum output if the request states them, else the typical
        counts of the model; 0 without a model.
        """
        if self.token_counts is not None:
            return self.token_counts.prompt + self.token_counts.max_output
        model = self.service.model
        return (
            round(model.typical_prompt_tokens + model.typical_output_tokens)
            if model
            else 0
        )

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()


def encode_upstream_request(
    request: RoutedRequest,
    dialect: Dialect,
    endpoint: Endpoint,
    path: Path | None = None,
    resume_after: bytes | None = None,
    *,
    priority: int | None = None,
) -> bytes:
    """Return the encoded request for an endpoint.

    ``priority`` is the one that it is sent, from 0 to ``LEAST_URGENT``, None for none.
    Headers that callers must not set are removed from the caller's request: a caller
    that sent them could act for another customer, choose its endpoint or its priority.
    """
    names = dialect.headers
    replaced = {
        b"content-length",
        names.api_key,
        names.customer,
        names.deadline_ms,
        names.expected_endpoint,
        names.path,
        names.priority,
        names.not_executed,
        names.failed_endpoint,
    }
    if resume_after is not None:
        replaced.add(names.resume_after)
    headers: Headers = []
    for key, value in end_to_end_headers(request.head.headers):
        if key.lower() not in replaced:
            headers.append((key, value))
    remaining_ms = max(1, int((request.remaining_s - TRANSIT_S) * 1000))
    headers.append((names.deadline_ms, b"%d" % remaining_ms))
    headers.append((names.expected_endpoint, endpoint.id.encode()))
    if request.customer is not None:
        headers.append((names.customer, request.customer.name.encode()))
    if path is not None:
        headers.append((names.path, dialect.encode_path(path)))
    if resume_after is not None:
        headers.append((names.resume_after, resume_after))
    if priority is not None:
        headers.append((names.priority, b"%d" % priority))
    return encode_request(
        request.head.method, request.head.target, headers, request.body
    )


def _check_quarantine(request: RoutedRequest, context: RelayContext) -> None:
    """Raise ``AttemptFailedError`` if it or part of its prompt is in quarantine."""
    if context.quarantine.refusal(request) is not None:
        raise AttemptFailedError(
            RetryReason.QUARANTINED,
            "the request or a segment of its prompt crashes endpoints",
            may_have_run=False,
        )


async def send_request(
    request: RoutedRequest,
    context: RelayContext,
    conn: ClientConnection,
    endpoints: list[Endpoint],
    permit: Permit,
    data: bytes,
    on_send: Callable[[], None] = lambda: None,
) -> None:
    """Write a request to the first of the endpoints, if it may be sent now.

    All requests of callers are sent here. Nothing is awaited between the checks and the
    write: while the connection was opened an endpoint may have asked for rest or been
    found to leave, the prompt may have been found to crash endpoints, and the caller
    may have left.

    Parameters
    ----------
    request : RoutedRequest
        The request.
    context : RelayContext
        Gets the permit back if the request is not sent, and counts it if it is.
    conn : ClientConnection
        A connection to the first of ``endpoints``.
    endpoints : list of Endpoint
        Those on its path.
    permit : Permit
        For the first of ``endpoints``.
    data : bytes
        The request as ``encode_upstream_request`` returned it.
    on_send : callable, optional
        Called right before the write.

    Raises
    ------
    AttemptFailedError
        If the request may not be sent.
    ConnectionLostError
        If it was not sent completely; it may have run.
    """
    try:
        context.statements.check_send(endpoints)
        _check_quarantine(request, context)
        if request.caller is not None:
            await request.caller.check()
    except BaseException:
        context.limits.give_back(permit)
        raise
    _record_send(request, context, endpoints)
    on_send()
    await conn.send(data, request.deadline)


def _record_send(
    request: RoutedRequest, context: RelayContext, endpoints: list[Endpoint]
) -> None:
    """Record that a request is about to be written to the first of the endpoints."""
    context.statements.record_sent(endpoints)
    service = request.service.name
    context.admission.record_sent(service)
    request.sends += 1
    now = request.sent_at[endpoints[0].id] = time.monotonic()
    request.uncounted_sends.append((endpoints[0], now))
    if request.sends == 1:
        return
    usage = context.retry_budget.record_sent(
        service, request.retry_taken_at, request.uncounted_sends
    )
    request.uncounted_sends.clear()
    context.metrics.count("retry_budget", "sent")
    logger.info(
        "retry sent",
        request=decode_value(request.id),
        service=service,
        endpoint=endpoints[0].id,
        number=request.sends,
        taken=usage.taken,
        sent=usage.sent,
        spent=usage.spent,
        known=usage.known,
        ended=usage.ended,
        requests=usage.requests,
        allowed=usage.allowed,
        hosts=usage.hosts,
        share=usage.share,
        reserved=usage.reserved,
        unreported=usage.unreported,
        lost=usage.lost,
    )


def explain_quarantine(verdict: SegmentVerdict) -> tuple[RefusalReason, str]:
    """Return the reason for refusing a request, and what to tell its caller."""
    if verdict.on_request:
        return RefusalReason.FATAL, FATAL_REQUEST_TEXT
    return RefusalReason.QUARANTINED, QUARANTINED_TEXT


def acquire_retry(
    request: RoutedRequest, context: RelayContext, reserve: float | None
) -> bool:
    """Take a retry from the budget; return False if none is left or may follow.

    ``reserve`` is what ``reserve_for_retry`` returned.
    """
    if reserve is None:
        return False
    allowed = context.retry_budget.try_acquire(request.service.name, reserve)
    if allowed:
        request.retry_taken_at = time.monotonic()
    context.metrics.count("retry_budget", "allowed" if allowed else "denied")
    return allowed


def reserve_for_retry(
    request: RoutedRequest,
    admission: Admission,
    *,
    rejected_for_room: bool,
    may_have_run: bool,
) -> float | None:
    """Return the fraction of the retry budget that the next attempt must leave.

    None means that there is no further attempt: the last one was rejected for want of
    room, and the room is short.
    """
    service = request.service.name
    if not rejected_for_room or not admission.applies(service):
        return 0.0
    return retry_reserve(
        admission.tier(request),
        short=admission.short(service),
        may_have_run=may_have_run,
    )


class InFlightTracker:
    """Counts a request and its tokens in the records of its endpoints.

    All of its tokens, with those of the output, count as prefill tokens until its first
    event. A stream is also registered there, so that it is moved if one of them fails.
    """

    def __init__(
        self,
        directory: Directory,
        endpoint_ids: list[str],
        active_stream: ActiveStream | None = None,
        tokens: int = 0,
    ) -> None:
        self._directory = directory
        self._active_stream = active_stream
        self._tokens = tokens
        self._started = False
        self._prefill_pending = False
        self._records: list[EndpointRecord] = []
        for endpoint_id in endpoint_ids:
            record = directory.records.get(endpoint_id)
            if record is not None:
                self._records.append(record)

    @property
    def silent(self) -> bool:
        """Whether one of the endpoints does not answer now."""
        return any(record.down for record in self._records)

    def start(self) -> None:
        """Begin to count the request."""
        self._prefill_pending = True
        for record in self._records:
            record.in_flight += 1
            record.tokens += self._tokens
            record.prefill_tokens += self._tokens
            if self._active_stream is not None:
                record.active_streams.add(self._active_stream)
        if self._active_stream is not None:
            self._directory.active_streams.add(self._active_stream)
        self._started = True

    def prefill_done(self) -> None:
        """Record that the prefill is done; further calls have no effect."""
        if not self._prefill_pending:
            return
        self._prefill_pending = False
        for record in self._records:
            record.prefill_tokens -= self._tokens

    def record_event(self) -> None:
        """Record that an event arrived at this host through the endpoints."""
        now = time.monotonic()
        for record in self._records:
            record.last_event_at = record.last_local_event_at = now

    def finish(self) -> None:
        """Stop counting the request; further calls have no effect."""
        if not self._started:
            return
        self.prefill_done()
        self._started = False
        for record in self._records:
            record.in_flight -= 1
            record.tokens -= self._tokens
            if self._active_stream is not None:
                record.active_streams.discard(self._active_stream)
        if self._active_stream is not None:
            self._directory.active_streams.discard(self._active_stream)

    def __enter__(self) -> None:
        self.start()

    def __exit__(self, *_: object) -> None:
        self.finish()


__all__ = [
    "InFlightTracker",
    "RelayContext",
    "RoutedRequest",
    "acquire_retry",
    "encode_upstream_request",
    "explain_quarantine",
    "reserve_for_retry",
    "send_request",
]
