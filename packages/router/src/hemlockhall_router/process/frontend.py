"""Connections of callers: one task each, which serves requests in sequence."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from functools import partial
from math import inf, isfinite
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.body import limit_receive_buffer
from hemlockhall_router.connection.caller import (
    LINGERING_BODY_S,
    CallerLimits,
    CallerReader,
)
from hemlockhall_router.connection.decoding import decode_number
from hemlockhall_router.connection.error import CallerDisconnectedError, CallerError
from hemlockhall_router.process.duration import Durations
from hemlockhall_router.process.shutdown import Shutdown
from hemlockhall_router.request.caller_watch import CallerWatch
from hemlockhall_router.request.plain import PlainRelay
from hemlockhall_router.request.reason import RefusalReason
from hemlockhall_router.request.relay import RoutedRequest, explain_quarantine
from hemlockhall_router.request.response_writer import ResponseWriter
from hemlockhall_router.request.stream import StreamRelay
from hemlockhall_router.version.routing import RouteKind, Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from hemlockhall_router.connection.bound import ConnectionBound
    from hemlockhall_router.connection.message import RequestHead
    from hemlockhall_router.membership.message import SegmentVerdict
    from hemlockhall_router.process.admission import Admission
    from hemlockhall_router.process.dialect import TokenCounts
    from hemlockhall_router.process.intake import Intake
    from hemlockhall_router.process.supervisor import Supervisor
    from hemlockhall_router.request.relay import RelayContext
    from hemlockhall_router.version.routing import Customer, Route, RoutingConfig

# Time limit of a request without a deadline header.
DEFAULT_TIMEOUT_S = 30.0
# Nearly all requests to a service without streaming take less.
PLAIN_RESPONSE_S = 0.5
# Time between two tokens on a typical path under moderate load.
TOKEN_INTERVAL_S = 0.015
# Multiple of the longest duration of late that a request is expected to take if its
# caller could not repeat it, and of the mean one if it could.
LONGEST_FACTOR = 1.25
MEAN_FACTOR = 1.05
# Interval of looking whether the last responses of a host that shuts down are sent.
FINISH_POLL_S = 0.01
# Retry-After before the first configuration has been received.
RETRY_AFTER_STARTING_S = 1.0


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request whose response is not complete.

    ``arrived_at`` is the monotonic time at which its head was read, and ``caller`` is
    None until its body was. ``routed`` is None until it is relayed, ``estimate_s`` is
    the time that such requests usually take at most, and ``expected_s`` what it was
    expected to take after those of late. Cancelling ``scope`` ends the work on it
    before a response is sent.
    """

    arrived_at: float
    request_id: str
    response: ResponseWriter
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    caller: CallerWatch | None = None
    routed: RoutedRequest | None = None
    estimate_s: float = 0.0
    expected_s: float = 0.0

    @property
    def sends(self) -> int:
        """How often it was sent to an endpoint."""
        return self.routed.sends if self.routed is not None else 0

    @property
    def aborted(self) -> bool:
        """Whether it gets a response of this host, which is not complete."""
        return self.scope.cancel_called and not self.response.complete


class _RefusedError(Exception):
    """The request is not relayed; this host answers it with ``status``."""

    def __init__(self, refusal: RefusalReason, status: int, text: str) -> None:
        super().__init__(text)
        self.refusal = refusal
        self.status = status
        self.text = text


class Frontend:
    """Serves connections of callers.

    Parameters
    ----------
    context : RelayContext
        Components that a relay uses.
    admission : Admission
        Decides which requests are relayed.
    routing : callable
        Returns the configuration in force, or None before the first one.
    routing_age_s : callable
        Returns the time since it was last known to be the newest one.
    intake : Intake
        Decides which new connections are served.
    connections : ConnectionBound
        Bounds how many are open.
    supervisor : Supervisor
        Reports errors in the code that serves a request.
    others_stay : callable
        Returns whether callers that come back reach hosts that do not shut down.
    """

    def __init__(
        self,
        context: RelayContext,
        admission: Admission,
        routing: Callable[[], RoutingConfig | None],
        routing_age_s: Callable[[], float],
        intake: Intake,
        connections: ConnectionBound,
        supervisor: Supervisor,
        others_stay: Callable[[], bool],
    ) -> None:
        self._others_stay = others_stay
        self._supervisor = supervisor
        self._context = context
        self._admission = admission
        self._routing = routing
        self._routing_age_s = routing_age_s
        self._intake = intake
        self._connections = connections
        self._shutdown = Shutdown()
        self._durations = Durations(time.monotonic)
        self._open: set[OpenRequest] = set()

    @property
    def open_requests(self) -> int:
        """The number of requests whose responses are not complete."""
        return len(self._open)

    @property
    def leaving(self) -> bool:
        """Whether this host is shutting down."""
        return self._shutdown.begun

    def leave(self, accept_until: float, exit_at: float) -> None:
        """Begin to refuse requests that would not finish before ``exit_at``.

        The load balancer still sends new connections until ``accept_until``. Both times
        are monotonic.
        """
        self._shutdown = Shutdown(accept_until, exit_at)

    async def finish(self, deadline: float) -> None:
        """Refuse all further requests, and answer those that have no response yet.

        A stream that has begun cannot be answered; it ends with the process. Returns
        when the responses are sent, at the monotonic time ``deadline`` at the latest.
        """
        self._shutdown.closing = True
        self.close_idle()
        for entry in list(self._open):
            if not entry.response.started:
                entry.scope.cancel()
        while time.monotonic() < deadline:
            if not any(entry.aborted for entry in self._open):
                return
            await anyio.sleep(FINISH_POLL_S)

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        self._connections.close_waiting()

    def log_open(self, left_at: float) -> None:
        """Log the requests that the end of the process cuts off.

        ``left_at`` is the monotonic time at which the shutdown began.
        """
        now = time.monotonic()
        for entry in self._open:
            if entry.response.complete:
                continue
            logger.warning(
                "request cut off",
                request=entry.request_id,
                arrived_s=round(entry.arrived_at - left_at, 2),
                took_s=round(now - entry.arrived_at, 2),
                expected_s=round(entry.expected_s, 2)
                if isfinite(entry.expected_s)
                else None,
                sends=entry.sends,
            )

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until either side closes it."""
        with self._connections.admit() as admitted:
            if admitted and self._intake.accepts():
                await self._serve_connection(stream)
                return
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _serve_connection(self, stream: SocketStream) -> None:
        routing = self._routing()
        limit_receive_buffer(stream)
        reader = CallerReader(stream, routing.limits if routing else CallerLimits())
        try:
            with self._supervisor.contain("connection"):
                await self._serve_requests(reader)
        finally:
            reader.close()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _serve_requests(self, reader: CallerReader) -> None:
        try:
            while await self._serve_request(reader):
                continue
        except CallerDisconnectedError:
            return

    async def _serve_request(self, reader: CallerReader) -> bool:
        """Serve one request; return whether the connection may carry another."""
        routing = self._routing()
        if routing is not None:
            reader.limits = routing.limits
        head = None
        try:
            with self._connections.waiting():
                head = await reader.read_head()
        except CallerError as exc:
            self._count_unreadable(exc)
            await reader.send_error(exc)
            return False
        if head is None:
            return False
        request_id = self._request_id(head).decode("latin-1")
        response = ResponseWriter(
            reader, head, lambda: self.leaving or reader.close_after_response
        )
        entry = OpenRequest(time.monotonic(), request_id, response)
        self._open.add(entry)
        try:
            with entry.scope:
                return await self._handle_request(reader, head, entry)
            await self._answer_aborted(entry)
            return False
        finally:
            self._open.discard(entry)

    def _count_unreadable(self, exc: CallerError) -> None:
        """Count a request that was not read whole."""
        no_memory = exc.status == 503
        self._context.metrics.count_refusal(
            RefusalReason.NO_MEMORY if no_memory else RefusalReason.UNREADABLE
        )

    async def _answer_aborted(self, entry: OpenRequest) -> None:
        """Answer a request on which work ended for the shutdown of this host."""
        if entry.sends:
            refusal, status = RefusalReason.UNCERTAIN, 504
            text = "this host ends, and the endpoint did not answer"
            retry_after_s = None
        else:
            refusal, status = RefusalReason.LEAVING, 503
            text = "this host ends"
            retry_after_s = self._retry_after_leaving_s()
        self._context.metrics.count_refusal(refusal)
        logger.info(
            "request given up in the shutdown",
            request=entry.request_id,
            status=status,
            sends=entry.sends,
        )
        await entry.response.local_reply(status, text, retry_after_s)

    def _retry_after_leaving_s(self) -> float:
        return self._shutdown.retry_after_s(
            time.monotonic(), others_stay=self._others_stay()
        )

    async def _handle_request(
        self, reader: CallerReader, head: RequestHead, entry: OpenRequest
    ) -> bool:
        deadline = entry.arrived_at + self._requested_timeout_s(head)
        response = entry.response
        try:
            body = await reader.read_body(deadline)
        except CallerError as exc:
            self._count_unreadable(exc)
            await reader.send_error(exc, LINGERING_BODY_S)
            return False
        entry.caller = caller = CallerWatch(reader)
        await caller.run(partial(self._relay_or_fail, head, body, deadline, entry))
        self._context.metrics.count_response(0 if caller.left else response.status)
        if caller.left:
            # Cancelling the relay closed its connections, so the endpoints stop.
            logger.info(
                "caller left",
                request=entry.request_id,
                sends=entry.sends,
                after_ms=round((time.monotonic() - entry.arrived_at) * 1000),
            )
            return False
        reader.finish_request()
        if response.close_connection and response.complete:
            await reader.lingering_close()
        return response.complete and not response.close_connection

    async def _relay_or_fail(
        self,
        head: RequestHead,
        body: bytes,
        deadline: float,
        entry: OpenRequest,
    ) -> None:
        """Relay a request; answer it with status 500 after an error of this host."""
        try:
            await self._relay(head, body, deadline, entry)
        except CallerDisconnectedError:
            raise
        except Exception as exc:  # noqa: BLE001
            self._supervisor.report("request", exc, request=entry.request_id)
            if not entry.response.started:
                await entry.response.local_reply(500, "internal error of this host")

    async def _relay(
        self,
        head: RequestHead,
        body: bytes,
        deadline: float,
        entry: OpenRequest,
    ) -> None:
        response = entry.response
        try:
            request = self._route_request(head, body, deadline, entry)
        except _RefusedError as exc:
            self._context.metrics.count_refusal(exc.refusal)
            logger.info(
                "request refused",
                request=entry.request_id,
                reason=exc.refusal.value,
                version=self._config_version(),
                age_ms=int(self._routing_age_s() * 1000),
            )
            retry_after_s = None
            if exc.status == 503:
                retry_after_s = (
                    self._retry_after_leaving_s()
                    if self.leaving
                    else RETRY_AFTER_STARTING_S
                )
            await response.local_reply(exc.status, exc.text, retry_after_s)
            return
        verdict = self._context.quarantine.refusal(request)
        if verdict is not None:
            await self._refuse_quarantined(request, verdict, response)
            return
        decision = self._admission.decide(request)
        if not decision.admitted:
            self._context.metrics.count_refusal(RefusalReason.NO_ROOM)
            await response.local_reply(
                503, "endpoints have no room for the request", decision.retry_after_s
            )
            return
        self._admission.begin(request)
        began_at = time.monotonic()
        try:
            await self._run_relay(request, response)
        finally:
            self._admission.end(request)
        if response.complete and request.completed:
            took_s = time.monotonic() - began_at
            self._durations.record(request.route.name, took_s, entry.estimate_s)

    async def _refuse_quarantined(
        self, request: RoutedRequest, verdict: SegmentVerdict, response: ResponseWriter
    ) -> None:
        reason, text = explain_quarantine(verdict)
        self._context.metrics.count_refusal(reason)
        retry_after_s = self._context.quarantine.retry_after_s(verdict)
        logger.info(
            "request refused",
            request=request.id.decode("latin-1"),
            reason=reason.value,
            route=request.route.name,
            customer=request.customer.name if request.customer else "",
            segment=f"{verdict.segment:016x}",
            segments=request.segments.logged,
            since_ms=verdict.since_ms,
            retry_after_s=round(retry_after_s, 1),
        )
        await response.local_reply(503, text, retry_after_s)

    async def _run_relay(
        self, request: RoutedRequest, response: ResponseWriter
    ) -> None:
        self._context.retry_budget.record_request(request.service.name)
        self._context.limits.record_request()
        if request.route.kind is RouteKind.STREAM and request.service.model is not None:
            await StreamRelay(request, self._context, response).run()
        else:
            await PlainRelay(request, self._context, response).run()

    def _route_request(
        self, head: RequestHead, body: bytes, deadline: float, entry: OpenRequest
    ) -> RoutedRequest:
        routing = self._routing()
        if routing is None:
            raise _RefusedError(
                RefusalReason.NO_CONFIGURATION, 503, "no configuration is known yet"
            )
        route = routing.match(head)
        if route is None:
            raise _RefusedError(
                RefusalReason.NO_ROUTE, 404, "no route has this host and path"
            )
        customer = self._authenticate(routing, route, head)
        tokens = self._context.dialect.decode_token_counts(head)
        name = _choose_service(route)
        service = routing.services.get(name) or Service(name, "/", 0)
        deadline = min(deadline, entry.arrived_at + route.timeout_s)
        entry.estimate_s = _estimated_duration_s(route, service, tokens)
        entry.expected_s = self._expected_duration_s(route, entry.estimate_s)
        if not self._shutdown.accepts(time.monotonic(), entry.expected_s, deadline):
            raise _RefusedError(RefusalReason.LEAVING, 503, "this host is about to end")
        entry.routed = RoutedRequest(
            head=head,
            body=body,
            route=route,
            service=service,
            customer=customer,
            id=self._request_id(head),
            deadline=deadline,
            caller=entry.caller,
            token_counts=tokens,
            segments=self._context.dialect.decode_prompt_segments(head),
            config_version=routing.version,
        )
        return entry.routed

    def _expected_duration_s(self, route: Route, estimate_s: float) -> float:
        """Return the time that a request is expected to take.

        One that its caller could not repeat is expected to take as long as any of its
        route of late, and infinitely long if there was none. One that may be repeated
        is expected to take the mean: a refusal would cost its caller more often than
        the end of this host.
        """
        if route.retryable:
            return estimate_s * max(
                1.0, (self._durations.mean(route.name) or 0.0) * MEAN_FACTOR
            )
        longest = self._durations.longest(route.name)
        if longest is None:
            return inf
        return estimate_s * max(1.0, longest * LONGEST_FACTOR)

    def _authenticate(
        self, routing: RoutingConfig, route: Route, head: RequestHead
    ) -> Customer | None:
        key = head.header(self._context.dialect.headers.api_key)
        customer = routing.customers.get(key.strip()) if key else None
        if not routing.keys_required or route.public:
            return customer
        if customer is None:
            raise _RefusedError(
                RefusalReason.UNKNOWN_KEY, 401, "the API key is not known"
            )
        return customer

    def _requested_timeout_s(self, head: RequestHead) -> float:
        value = head.header(self._context.dialect.headers.deadline_ms)
        timeout_ms = decode_number(value) if value is not None else None
        return DEFAULT_TIMEOUT_S if timeout_ms is None else timeout_ms / 1000

    def _request_id(self, head: RequestHead) -> bytes:
        return head.header(self._context.dialect.headers.request_id) or b""

    def _config_version(self) -> int:
        routing = self._routing()
        return routing.version if routing else 0


def _estimated_duration_s(
    route: Route, service: Service, tokens: TokenCounts | None
) -> float:
    """Return the time that a request usually takes at most."""
    if route.kind is not RouteKind.STREAM:
        return min(route.timeout_s, PLAIN_RESPONSE_S)
    output = float(tokens.max_output) if tokens is not None else 0.0
    interval_s = TOKEN_INTERVAL_S
    if service.model is not None:
        output = min(output, service.model.typical_output_tokens or output)
        interval_s = max(interval_s, service.model.slowest_step_s)
    return min(route.timeout_s, route.latency_objective_s + output * interval_s)


def _choose_service(route: Route) -> str:
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return random.choices(route.targets, weights)[0].service  # noqa: S311


__all__ = [
    "Frontend",
]
