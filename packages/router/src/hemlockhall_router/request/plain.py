"""Relaying of requests that have one answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.error import (
    ConnectionLostError,
    NotSentError,
    TransportError,
)
from hemlockhall_router.request.failure import TryFailedError, id_text
from hemlockhall_router.request.reason import RefusalReason, RetryReason
from hemlockhall_router.request.relay import (
    Occupied,
    RelayContext,
    RoutedRequest,
    outgoing,
)

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.process.directory import EndpointRecord
    from hemlockhall_router.request.response_writer import ResponseWriter

# Seconds a connection may take to open: far above the delay inside a region,
# far below the objectives.
CONNECT_S = 0.3
# An idempotent request is sent to another endpoint when one has been silent
# for this many times its usual latency, but never sooner than the floor.
PATIENCE_FACTOR = 6.0
PATIENCE_FLOOR_S = 0.4
# Endpoints tried that did not run the request; it bounds the work that a
# refused request makes, since these tries are not limited by the route.
MAX_REFUSALS = 4
# Foreign answers skipped on one connection before it is given up.
MAX_FOREIGN = 3
# Retry-After where all endpoints are full or none is there, in seconds.
FULL_AGAIN_S = 0.5
ABSENT_AGAIN_S = 1.0


class PlainRelay:
    """Relays one request with one answer."""

    def __init__(
        self, work: RoutedRequest, context: RelayContext, reply: ResponseWriter
    ) -> None:
        self._work = work
        self._context = context
        self._reply = reply
        self._tried: set[str] = set()
        self._sent = 0
        self._ran = False
        self._refusals = 0
        self._spare: Response | None = None

    async def run(self) -> None:
        """Send the request until it is answered or given up."""
        work = self._work
        while True:
            record = self._context.chooser.choose_endpoint(
                work.service.name, self._tried
            )
            if record is None or work.left_s <= 0:
                await self._give_up(RefusalReason.NO_ENDPOINT)
                return
            if self._sent and not self._context.retry_budget.try_acquire(
                work.service.name
            ):
                await self._give_up(RefusalReason.RETRY_BUDGET)
                return
            try:
                response = await self._try(record)
            except TryFailedError as again:
                if not self._continue(record, again):
                    await self._give_up(RefusalReason.ENDPOINTS_FULL)
                    return
                continue
            await self._reply.whole(response)
            return

    def _continue(self, record: EndpointRecord, again: TryFailedError) -> bool:
        """Note a failed try; return whether another one may follow."""
        work = self._work
        self._tried.add(record.endpoint.id)
        self._context.metrics.count_retry(again.reason)
        logger.info(
            "try failed",
            request=id_text(work.id),
            endpoint=record.endpoint.id,
            reason=again.reason.value,
            cause=str(again),
            ran=again.ran,
        )
        if again.response is not None:
            self._spare = again.response
        if again.reason is not RetryReason.NOT_SENT:
            self._sent += 1
        if not again.ran:
            self._refusals += 1
            return self._refusals < MAX_REFUSALS
        self._ran = True
        return work.route.retryable and len(self._tried) < work.route.max_attempts

    async def _try(self, record: EndpointRecord) -> Response:
        work, context = self._work, self._context
        endpoint = record.endpoint
        connect_deadline = min(work.deadline, time.monotonic() + CONNECT_S)
        try:
            if work.route.retryable:
                conn = await context.pool.acquire(endpoint.address, connect_deadline)
            else:
                # A kept connection may be closed by the endpoint just as the
                # request leaves; nobody could tell then whether it ran.
                host, port = endpoint.address
                conn = await ClientConnection.open(host, port, connect_deadline)
        except NotSentError as exc:
            context.directory.record_failure(endpoint.id, str(exc))
            raise TryFailedError(RetryReason.NOT_SENT, str(exc), ran=False) from exc
        started = time.monotonic()
        try:
            with Occupied(context.directory, [endpoint.id]):
                response = await self._ask(conn, record)
        except TransportError as exc:
            silent = time.monotonic() - started > PATIENCE_FLOOR_S
            context.directory.record_failure(endpoint.id, str(exc))
            reason = RetryReason.SILENT if silent else RetryReason.BROKEN
            raise TryFailedError(reason, str(exc), ran=True) from exc
        finally:
            if not conn.reusable:
                await conn.close()
        await context.pool.release(endpoint.address, conn, response.head)
        return self._judge(record, response, time.monotonic() - started)

    async def _ask(self, conn: ClientConnection, record: EndpointRecord) -> Response:
        work, context = self._work, self._context
        text = outgoing(work, context.dialect, record.endpoint)
        await conn.send(text, work.deadline)
        deadline = self._patience(record)
        for _ in range(MAX_FOREIGN):
            bodiless = work.head.method == b"HEAD"
            response = await conn.read_response(deadline, no_body=bodiless)
            echoed = response.head.header(context.dialect.headers.request_id)
            if echoed is None or echoed == work.id:
                return response
            # An answer to an earlier request of this connection came late; the
            # answer to this one follows it.
            logger.warning("foreign answer skipped", request=id_text(work.id))
        raise ConnectionLostError("only answers to other requests came")

    def _patience(self, record: EndpointRecord) -> float:
        work = self._work
        if not work.route.retryable or work.route.max_attempts <= self._sent + 1:
            return work.deadline
        wait = max(PATIENCE_FLOOR_S, PATIENCE_FACTOR * record.latency_s)
        return min(work.deadline, time.monotonic() + wait)

    def _judge(
        self, record: EndpointRecord, response: Response, took_s: float
    ) -> Response:
        """Return the answer to relay, or raise ``TryFailedError``."""
        names = self._context.dialect.headers
        status = response.head.status
        key = record.endpoint.id
        if response.head.header(names.not_executed) is not None or status == 421:
            if status == 421:
                self._context.directory.record_failure(
                    key, "another endpoint has its address"
                )
            raise TryFailedError(RetryReason.REJECTED, f"status {status}", ran=False)
        if response.head.header(b"content-encoding") is not None:
            raise TryFailedError(RetryReason.FAILED, "the body is encoded", ran=True)
        if status < 300 and response.head.header(names.signature) is None:
            raise TryFailedError(RetryReason.FAILED, "no signature", ran=True)
        self._context.directory.record_success(key, took_s)
        self._context.metrics.response_time.record(took_s)
        if status >= 500 and self._work.route.retryable:
            cause = f"status {status}"
            raise TryFailedError(RetryReason.FAILED, cause, ran=True, response=response)
        return response

    async def _give_up(self, refusal: RefusalReason) -> None:
        """Answer at once; 503 only if no try can have run."""
        work = self._work
        if self._spare is not None:
            await self._reply.whole(self._spare)
            return
        late = work.left_s <= 0
        if self._ran:
            refusal = RefusalReason.TIMEOUT if late else RefusalReason.UNCERTAIN
        elif late:
            refusal = RefusalReason.DEADLINE
        self._context.metrics.count_refusal(refusal)
        logger.warning(
            "request given up",
            request=id_text(work.id),
            route=work.route.name,
            reason=refusal.value,
            tried=sorted(self._tried),
        )
        if self._ran:
            status = 504 if late else 502
            await self._reply.local_reply(status, "the endpoint did not answer")
            return
        again_s = FULL_AGAIN_S if self._refusals else ABSENT_AGAIN_S
        await self._reply.local_reply(503, "no endpoint can take the request", again_s)


__all__ = [
    "PlainRelay",
]
