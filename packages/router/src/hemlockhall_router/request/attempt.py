"""One attempt of a stream on a path."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeVar

from hemlockhall_router.connection.error import (
    NotSentError,
    ReadTimeoutError,
    TransportError,
)
from hemlockhall_router.policy.retry_reserve import SERVICE_UNAVAILABLE, lacks_room
from hemlockhall_router.process.quarantine import suspect_keys
from hemlockhall_router.request.active_stream import ActiveStream, MoveRequestedError
from hemlockhall_router.request.events import EventSplitter
from hemlockhall_router.request.failure import AttemptFailedError, decode_value
from hemlockhall_router.request.plain import CONNECT_TIMEOUT_S
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_router.request.relay import (
    InFlightTracker,
    RelayContext,
    RoutedRequest,
    encode_upstream_request,
    send_request,
)
from hemlockhall_router.version.endpoint import EndpointStatement

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from hemlockhall_router.connection.client import ClientConnection
    from hemlockhall_router.connection.message import ResponseHead
    from hemlockhall_router.request.events import Event
    from hemlockhall_router.request.timeouts import StreamTimeouts
    from hemlockhall_router.version.path import Path

T = TypeVar("T")

# Time after its first event from which an endpoint is known not to crash under a
# request.
SERVED_AFTER_S = 0.1
# A read that ends this close to the deadline of the request ended with it.
DEADLINE_SLACK_S = 0.001


class Attempt:
    """An attempt of a stream, from sending the request to the last event.

    Its creator must call ``close``, which makes the endpoints stop work on it. Reads
    may be cancelled and called again: nothing that was received is lost.

    ``sent`` is true once the request was written, or part of it. ``silent`` is true
    while its endpoints do not answer or send nothing in time, ``timed_out`` in the
    latter case; the head of the response and events end both. ``rejected_for_room`` is
    true if an endpoint rejected it for want of room, and ``responded`` if the head of a
    response to it arrived. ``served`` is true once its first event arrived and the
    endpoint did not crash soon after, which was at ``ran_at``, a monotonic time.
    """

    def __init__(
        self,
        request: RoutedRequest,
        context: RelayContext,
        path: Path,
        timeouts: StreamTimeouts,
    ) -> None:
        self._request = request
        self._context = context
        self._timeouts = timeouts
        self._splitter = EventSplitter()
        self._conn: ClientConnection | None = None
        self._sent_at = 0.0
        self._deadline: float | None = None
        self._skipping = False
        self.sent = False
        self.silent = False
        self.timed_out = False
        self.path = path
        self.head: ResponseHead | None = None
        self.rejected_for_room = False
        self.responded = False
        self.ran_at: float | None = None
        self._served_at = float("inf")
        self._statement = EndpointStatement()
        self.active_stream = ActiveStream(
            self.endpoint_ids,
            timeouts.first_event_silence_limit_s,
            movable=request.route.retryable,
            segment_keys=suspect_keys(request),
        )
        self._in_flight = InFlightTracker(
            context.directory,
            self.endpoint_ids,
            self.active_stream,
            request.token_estimate,
        )

    @property
    def endpoint_ids(self) -> list[str]:
        """The ids of the endpoints on its path, in the order of their layers."""
        return [stage.endpoint.id for stage in self.path.stages]

    async def start(self, resume_after: bytes | None) -> None:
        """Send the request, and wait for the head of the response.

        Raises what ``send`` and ``next_events`` raise.
        """
        await self.send(resume_after)
        await self._receive_head()

    async def send(self, resume_after: bytes | None) -> None:
        """Send the request.

        Parameters
        ----------
        resume_after : bytes or None
            Id of the last event that the caller has.

        Raises
        ------
        AttemptFailedError
            If this host has no permit for the endpoint, or one on the path asked for
            rest or leaves, or the request or a segment of its prompt is in quarantine,
            or the endpoint cannot be reached.
        """
        await self._context.crashes.settle(self._request, self.path.first_endpoint)
        self.active_stream.resumed = resume_after is not None
        limits = self._context.limits
        permit = limits.try_acquire(self.path.first_endpoint)
        if permit is None:
            raise AttemptFailedError(
                RetryReason.NO_PERMIT, "no permit is left", may_have_run=False
            )
        try:
            await self._connect()
        except BaseException:
            limits.give_back(permit)
            raise
        data = encode_upstream_request(
            self._request,
            self._context.dialect,
            self.path.first_endpoint,
            self.path,
            resume_after,
            priority=self._context.admission.sent_priority(self._request),
        )
        with self._translate_errors():
            assert self._conn is not None
            await send_request(
                self._request,
                self._context,
                self._conn,
                self.path.endpoints,
                permit,
                data,
                self._record_send,
            )

    async def next_events(self) -> list[Event] | None:
        """Return the next complete events, or None at the end of the stream.

        The head of the response is read before the first of them. The list is empty if
        the bytes received complete no event.

        Raises
        ------
        AttemptFailedError
            If the endpoint refuses or fails, the connection broke, the stream ended
            inside an event, or the request's deadline passed without an event.
        MoveRequestedError
            If the stream was asked to move, or nothing came in time before that
            deadline.
        """
        await self._receive_head()
        assert self._conn is not None
        with self._translate_errors():
            data = await self._wait(self._conn.read_chunk)
            if data is not None:
                events = self._splitter.feed(data)
                if events:
                    # Bytes that complete no event do not extend the time for one.
                    self._record_progress()
                return events
        if self._splitter.partial:
            raise AttemptFailedError(
                RetryReason.BROKEN,
                "the stream ended inside an event",
                may_have_run=True,
            )
        return None

    @property
    def served(self) -> bool:
        """Whether an endpoint served the request and did not crash soon after."""
        return self.ran_at is not None

    def record_event(self) -> None:
        """Record that an event arrived that the caller does not have yet."""
        if not self.active_stream.first_event_seen:
            latency_s = time.monotonic() - self._sent_at
            self._context.directory.record_success(
                self.path.first_endpoint.id, latency_s
            )
            self._context.metrics.first_event.record(latency_s)
            self._in_flight.prefill_done()
            self._served_at = time.monotonic() + SERVED_AFTER_S
        elif time.monotonic() >= self._served_at:
            self._record_served()
        self._in_flight.record_event()
        self.active_stream.record_event(self._timeouts.event_gap_silence_limit_s)

    async def release_connection(self) -> None:
        """Return the connection to the pool after a complete response."""
        assert self._conn is not None
        assert self.head is not None
        self._record_served()
        conn, self._conn = self._conn, None
        await self._context.pool.release(
            self.path.first_endpoint.address, conn, self.head
        )

    async def close(self) -> None:
        """End the attempt in any state; may be called more than once."""
        self._in_flight.finish()
        if self._conn is not None:
            await self._conn.close()

    def _record_served(self) -> None:
        """Record that no endpoint crashed under the request."""
        if not self.served:
            self._context.quarantine.record_run(self._request)
            self.ran_at = time.monotonic()
        self._served_at = float("inf")
        self._context.quarantine.record_served(self._request)

    async def _connect(self) -> None:
        first = self.path.first_endpoint
        deadline = min(self._request.deadline, time.monotonic() + CONNECT_TIMEOUT_S)
        try:
            self._conn = await self._context.pool.acquire(first.address, deadline)
        except NotSentError as exc:
            self._context.directory.record_failure(first.id, str(exc))
            raise AttemptFailedError(
                RetryReason.NOT_SENT, str(exc), may_have_run=False, suspects=[first.id]
            ) from exc

    def _record_send(self) -> None:
        """Record that the request is about to be written."""
        self._sent_at = time.monotonic()
        self.sent = True
        self._in_flight.start()
        if self._in_flight.silent:
            # Another path may be found before the timeout.
            self.active_stream.request_move(
                "endpoint silent", still_served=True, reason=RetryReason.SILENT
            )
        request = self._request
        if request.service.model is not None:
            self._context.data_centre_links.record_transfer(
                self.path, request.service.model, request.token_estimate
            )

    async def _receive_head(self) -> None:
        if self.head is not None:
            return
        with self._translate_errors():
            head = await self._read_head()
        self._record_progress()
        self._check_head(head)
        self.head = head

    async def _read_head(self) -> ResponseHead:
        assert self._conn is not None
        name = self._context.dialect.headers.request_id
        while True:
            if self._skipping:
                # A late response to an earlier request on this connection.
                await self._wait(self._conn.skip_response)
                self._skipping = False
            head = await self._wait(self._conn.read_head)
            echoed = head.header(name)
            if echoed is None or echoed == self._request.id:
                self.responded = True
                self._statement = self._context.statements.record_response(
                    self.path.first_endpoint, head
                )
                return head
            self._skipping = True

    async def _wait(self, read: Callable[[float], Awaitable[T]]) -> T:
        """Await a read from the endpoint.

        The time for it counts from the last progress, over all calls.
        """
        if self._deadline is None:
            if self.active_stream.first_event_seen:
                self._deadline = self._timeouts.next_event_deadline()
            else:
                self._deadline = self._timeouts.first_event_deadline()
        try:
            return await self.active_stream.wait(read, self._deadline)
        except MoveRequestedError as exc:
            self.silent = self.silent or exc.reason is RetryReason.SILENT
            raise
        except ReadTimeoutError as exc:
            if self._request.remaining_s <= DEADLINE_SLACK_S:
                raise
            # The path may be dead or merely slow. Try another path before
            # leaving this one: a slow path may soon have the next event.
            self._context.prober.request_probes(self.endpoint_ids)
            self._timeouts.back_off()
            self._deadline = None
            self.silent = self.timed_out = True
            raise MoveRequestedError(
                str(exc), still_served=True, reason=RetryReason.SILENT
            ) from exc

    def _record_progress(self) -> None:
        """Record that the head of the response or an event arrived."""
        self._deadline = None
        self.silent = self.timed_out = False

    @contextmanager
    def _translate_errors(self) -> Iterator[None]:
        """Raise ``AttemptFailedError`` on transport errors.

        The path is then probed, and the timeouts of the stream are lengthened.
        """
        try:
            yield
        except TransportError as exc:
            self._context.metrics.count_oversized(exc)
            self._context.prober.request_probes(self.endpoint_ids)
            self._timeouts.back_off()
            silent = isinstance(exc, ReadTimeoutError)
            raise AttemptFailedError(
                RetryReason.SILENT if silent else RetryReason.BROKEN,
                str(exc),
                may_have_run=True,
                suspects=self.endpoint_ids if silent else self.endpoint_ids[:1],
            ) from exc

    def _check_head(self, head: ResponseHead) -> None:
        """Raise ``AttemptFailedError`` unless a stream follows that can be relayed."""
        names = self._context.dialect.headers
        # 421 (Misdirected Request): another endpoint has the address.
        not_executed = head.header(names.not_executed) is not None or head.status == 421
        if not_executed:
            suspects = [self._report_refusal(head)]
            self._check_room(head, suspects[0])
            cause = f"status {head.status}"
            raise AttemptFailedError(
                RetryReason.REJECTED, cause, may_have_run=False, suspects=suspects
            )
        self._context.statements.record_accepted(self.path.endpoints)
        if head.status >= 300:
            raise AttemptFailedError(
                RetryReason.FAILED, f"status {head.status}", may_have_run=True
            )
        if head.header(names.signature) is None:
            raise AttemptFailedError(
                RetryReason.FAILED, "the response has no signature", may_have_run=True
            )
        if head.header(b"content-encoding") is not None:
            raise AttemptFailedError(
                RetryReason.FAILED,
                "the response has a content encoding",
                may_have_run=True,
            )

    def _check_room(self, head: ResponseHead, endpoint_id: str) -> None:
        """Record whether an endpoint rejected the request for want of room."""
        context = self._context
        record = context.directory.records.get(endpoint_id)
        self.rejected_for_room = lacks_room(
            head.status, self._statement, record, time.monotonic()
        )
        if self.rejected_for_room:
            context.admission.record_rejected(self._request.service.name)

    def _report_refusal(self, head: ResponseHead) -> str:
        """Record which endpoint on the path refused the request; return its id.

        If the response names none on the path, nothing is recorded and the id of the
        first endpoint is returned. A rest that the response asks for holds for the
        endpoint that it names as well as for the first one, which sent it.
        """
        asks_for_rest = self._statement.rest_s > 0
        failed_address = decode_value(
            head.header(self._context.dialect.headers.failed_endpoint) or b""
        )
        for stage in self.path.stages:
            host, port = stage.endpoint.address
            if failed_address != f"{host}:{port}":
                continue
            endpoint_id = stage.endpoint.id
            if head.status == SERVICE_UNAVAILABLE:
                self._context.directory.record_busy(endpoint_id)
                if not asks_for_rest:
                    self._context.directory.record_refusal(endpoint_id)
                elif stage.endpoint != self.path.first_endpoint:
                    self._context.statements.record_rest(
                        stage.endpoint, self._statement
                    )
            else:
                self._context.directory.record_failure(
                    endpoint_id, f"status {head.status}"
                )
            self._context.prober.request_probes([endpoint_id])
            return endpoint_id
        return self.path.first_endpoint.id


__all__ = [
    "Attempt",
]
