"""Connections of callers: one task each, requests one after another."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.caller import CallerLimits, CallerReader
from hemlockhall_router.connection.error import CallerDisconnectedError, CallerError
from hemlockhall_router.request.plain import PlainRelay
from hemlockhall_router.request.reason import RefusalReason
from hemlockhall_router.request.relay import RoutedRequest
from hemlockhall_router.request.response_writer import ResponseWriter
from hemlockhall_router.request.stream import StreamRelay
from hemlockhall_router.version.routing import RouteKind, Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from hemlockhall_router.connection.message import RequestHead
    from hemlockhall_router.process.dialect import TokenCounts
    from hemlockhall_router.request.relay import RelayContext
    from hemlockhall_router.version.routing import Customer, Route, RoutingConfig

# Seconds a caller waits that states no deadline.
DEADLINE_S = 30.0
# Seconds an answer of a plain service takes at most, but for rare ones.
PLAIN_S = 0.5
# Seconds between two tokens on a usual path with some load.
TOKEN_S = 0.015
# Retry-After while this host is about to end: another one takes the request.
LEAVE_AGAIN_S = 0.1
# Retry-After while no configuration is known yet, in seconds.
START_AGAIN_S = 1.0


class _Refused(Exception):
    """The request is not relayed; the answer is this host's own."""

    def __init__(self, refusal: RefusalReason, status: int, text: str) -> None:
        super().__init__(text)
        self.refusal = refusal
        self.status = status
        self.text = text


class Frontend:
    """Serves callers.

    Parameters
    ----------
    context : RelayContext
        What relaying uses.
    routing : callable
        Returns the configuration in force, or None.
    """

    def __init__(
        self, context: RelayContext, routing: Callable[[], RoutingConfig | None]
    ) -> None:
        self._context = context
        self._routing = routing
        self._idle: set[anyio.CancelScope] = set()
        self._notice = self._end = float("inf")
        self.open_requests = 0

    @property
    def leaving(self) -> bool:
        """Whether this host is about to end."""
        return self._end != float("inf")

    def leave(self, notice: float, end: float) -> None:
        """Take only requests that will be answered before ``end``.

        Until ``notice`` all are taken: callers cannot know yet that this host
        ends, and nearly all answers fit.
        """
        self._notice = notice
        self._end = end

    def close_idle(self) -> None:
        """End the connections that carry no request."""
        for scope in list(self._idle):
            scope.cancel()

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until either side ends it."""
        routing = self._routing()
        reader = CallerReader(stream, routing.limits if routing else CallerLimits())
        try:
            while await self._next(reader):
                continue
        except CallerDisconnectedError:
            return
        except Exception:  # noqa: BLE001
            # One connection's fault must not end the others' requests.
            logger.exception("connection failed")
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _next(self, reader: CallerReader) -> bool:
        """Serve one request; return whether another may follow."""
        routing = self._routing()
        if routing is not None:
            reader.limits = routing.limits
        head = None
        try:
            with anyio.CancelScope() as idle:
                self._idle.add(idle)
                try:
                    head = await reader.read_head()
                finally:
                    self._idle.discard(idle)
        except CallerError as exc:
            self._context.metrics.count_refusal(RefusalReason.UNREADABLE)
            await reader.send_error(exc)
            return False
        if head is None:
            return False
        self.open_requests += 1
        try:
            return await self._exchange(reader, head)
        finally:
            self.open_requests -= 1

    async def _exchange(self, reader: CallerReader, head: RequestHead) -> bool:
        arrived = time.monotonic()
        deadline = arrived + self._patience_s(head)
        reply = ResponseWriter(reader, head, lambda: self.leaving or reader.close_after)
        try:
            body = await reader.read_body(deadline)
        except CallerError as exc:
            self._context.metrics.count_refusal(RefusalReason.UNREADABLE)
            await reader.send_error(exc)
            return False
        gone = False
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                nonlocal gone
                await reader.wait_disconnect()
                gone = True
                group.cancel_scope.cancel()

            group.start_soon(watch)
            try:
                await self._answer(head, body, deadline, arrived, reply)
            except CallerDisconnectedError:
                gone = True
            group.cancel_scope.cancel()
        self._context.metrics.count_response(0 if gone else reply.status)
        if gone:
            # Leaving closed the connections to the endpoints, which stops them.
            logger.info("caller left", request=self._id(head).decode("latin-1"))
            return False
        reader.finish_request()
        if reply.close_connection and reply.complete:
            await reader.lingering_close()
        return reply.complete and not reply.close_connection

    async def _answer(
        self,
        head: RequestHead,
        body: bytes,
        deadline: float,
        arrived: float,
        reply: ResponseWriter,
    ) -> None:
        try:
            work = self._work(head, body, deadline, arrived)
        except _Refused as exc:
            self._context.metrics.count_refusal(exc.refusal)
            logger.info(
                "request refused",
                request=self._id(head).decode("latin-1"),
                reason=exc.refusal.value,
                version=self._version(),
            )
            again_s = None
            if exc.status == 503:
                again_s = LEAVE_AGAIN_S if self.leaving else START_AGAIN_S
            await reply.local_reply(exc.status, exc.text, again_s)
            return
        self._context.retry_budget.record_request(work.service.name)
        if work.route.kind is RouteKind.STREAM and work.service.model is not None:
            await StreamRelay(work, self._context, reply).run()
        else:
            await PlainRelay(work, self._context, reply).run()

    def _work(
        self, head: RequestHead, body: bytes, deadline: float, arrived: float
    ) -> RoutedRequest:
        routing = self._routing()
        if routing is None:
            raise _Refused(
                RefusalReason.NO_CONFIGURATION, 503, "no configuration is known yet"
            )
        route = routing.match(head)
        if route is None:
            raise _Refused(
                RefusalReason.NO_ROUTE, 404, "no route has this host and path"
            )
        customer = self._customer(routing, route, head)
        tokens = self._context.dialect.decode_token_counts(head)
        now = time.monotonic()
        if now > self._notice and self._end - now < _usual_s(route, tokens):
            raise _Refused(RefusalReason.LEAVING, 503, "this host is about to end")
        name = _target(route)
        service = routing.services.get(name) or Service(name, "/", 0)
        return RoutedRequest(
            head=head,
            body=body,
            route=route,
            service=service,
            customer=customer,
            id=self._id(head),
            deadline=min(deadline, arrived + route.timeout_s),
            token_counts=tokens,
        )

    def _customer(
        self, routing: RoutingConfig, route: Route, head: RequestHead
    ) -> Customer | None:
        key = head.header(self._context.dialect.headers.api_key)
        customer = routing.customers.get(key.strip()) if key else None
        if not routing.keys_required or route.public:
            return customer
        if customer is None:
            raise _Refused(RefusalReason.UNKNOWN_KEY, 401, "the API key is not known")
        return customer

    def _patience_s(self, head: RequestHead) -> float:
        value = head.header(self._context.dialect.headers.deadline_ms)
        if value is None or not value.strip().isdigit():
            return DEADLINE_S
        return int(value) / 1000

    def _id(self, head: RequestHead) -> bytes:
        return head.header(self._context.dialect.headers.request_id) or b""

    def _version(self) -> int:
        routing = self._routing()
        return routing.version if routing else 0


def _usual_s(route: Route, tokens: TokenCounts | None) -> float:
    """Return how long an answer usually takes, in seconds."""
    if route.kind is not RouteKind.STREAM:
        return min(route.timeout_s, PLAIN_S)
    return route.latency_objective_s + (tokens.max_output if tokens else 0) * TOKEN_S


def _target(route: Route) -> str:
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return random.choices(route.targets, weights)[0].service  # noqa: S311


__all__ = [
    "Frontend",
]
