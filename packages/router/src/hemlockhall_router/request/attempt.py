"""One run of a stream at the endpoints of a path."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from hemlockhall_router.connection.error import (
    NotSentError,
    ReadTimeoutError,
    TransportError,
)
from hemlockhall_router.request.active_stream import ActiveStream, MovedError
from hemlockhall_router.request.events import Splitter
from hemlockhall_router.request.failure import TryFailedError, id_text
from hemlockhall_router.request.plain import CONNECT_S
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_router.request.relay import (
    Occupied,
    RelayContext,
    RoutedRequest,
    outgoing,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hemlockhall_router.connection.client import ClientConnection
    from hemlockhall_router.connection.message import ResponseHead
    from hemlockhall_router.request.events import Event
    from hemlockhall_router.request.patience import Patience
    from hemlockhall_router.version.path import Path

# Status with which an endpoint on a path says that it has no room, or is leaving
# or dead; the questions that follow tell which.
NO_ROOM = 503


class Attempt:
    """A run of a stream, from its request to its last event.

    Whoever makes one closes it; the endpoints stop work on it then.
    """

    def __init__(
        self, work: RoutedRequest, context: RelayContext, path: Path, patience: Patience
    ) -> None:
        self._work = work
        self._context = context
        self._patience = patience
        self._splitter = Splitter()
        self._conn: ClientConnection | None = None
        self._began = 0.0
        self.path = path
        self.head: ResponseHead | None = None
        self.running = ActiveStream(
            self.ids, patience.quiet_first_s, movable=work.route.retryable
        )
        self._occupied = Occupied(context.directory, self.ids, self.running, work.size)

    @property
    def ids(self) -> list[str]:
        """The endpoints of its path."""
        return [part.endpoint.id for part in self.path.stages]

    async def begin(self, resume_after: bytes | None) -> None:
        """Send the request, and return when its answer has begun.

        Raises
        ------
        TryFailedError
            If the endpoint cannot be reached, refuses, or fails.
        MovedError
            If the process wants the stream elsewhere meanwhile.
        """
        await self._connect()
        self._occupied.enter()
        self._send_activations()
        text = outgoing(
            self._work,
            self._context.dialect,
            self.path.first_endpoint,
            self.path,
            resume_after,
        )
        self._began = time.monotonic()
        with self._faults():
            assert self._conn is not None
            await self._conn.send(text, self._work.deadline)
            head = await self._own_head()
        self._judge(head)
        self.head = head

    async def events(self) -> list[Event] | None:
        """Return the next whole events, or None when the stream is complete.

        Raises
        ------
        TryFailedError
            If the stream broke off.
        MovedError
            If the process wants the stream elsewhere, or it is silent.
        """
        assert self._conn is not None
        patience = self._patience
        if self.running.first_event_seen:
            deadline = patience.pause_deadline()
        else:
            deadline = patience.first_deadline()
        with self._faults():
            try:
                data = await self.running.wait(self._conn.read_chunk, deadline)
            except ReadTimeoutError as exc:
                if self._work.left_s <= 0:
                    raise
                # It may be dead or slow. Whoever can go on without it is asked
                # first: a slow one has the next event ready soon.
                self._context.prober.request_probes(self.ids)
                self._patience.grow()
                raise MovedError(
                    str(exc), still_served=True, reason=RetryReason.SILENT
                ) from exc
        if data is not None:
            return self._splitter.feed(data)
        if self._splitter.partial:
            raise TryFailedError(RetryReason.BROKEN, "ended inside an event", ran=True)
        return None

    def heard(self) -> None:
        """Note that an event came that the caller did not have."""
        if not self.running.first_event_seen:
            took = time.monotonic() - self._began
            self._context.directory.record_success(self.path.first_endpoint.id, took)
            self._context.metrics.first_event.record(took)
            self._occupied.read()
        self._occupied.heard()
        self.running.record_event(self._patience.quiet_pause_s)

    async def keep(self) -> None:
        """Give the connection back after a complete answer."""
        assert self._conn is not None
        assert self.head is not None
        conn, self._conn = self._conn, None
        await self._context.pool.release(
            self.path.first_endpoint.address, conn, self.head
        )

    async def close(self) -> None:
        """End the run, wherever it is."""
        self._occupied.exit()
        if self._conn is not None:
            await self._conn.close()

    async def _connect(self) -> None:
        first = self.path.first_endpoint
        deadline = min(self._work.deadline, time.monotonic() + CONNECT_S)
        try:
            self._conn = await self._context.pool.acquire(first.address, deadline)
        except NotSentError as exc:
            self._context.directory.record_failure(first.id, str(exc))
            raise TryFailedError(
                RetryReason.NOT_SENT, str(exc), ran=False, suspects=[first.id]
            ) from exc

    def _send_activations(self) -> None:
        work = self._work
        if work.service.model is not None:
            self._context.data_centre_links.record_transfer(
                self.path, work.service.model, work.size
            )

    async def _own_head(self) -> ResponseHead:
        assert self._conn is not None
        name = self._context.dialect.headers.request_id
        while True:
            deadline = self._patience.first_deadline()
            head = await self.running.wait(self._conn.read_head, deadline)
            echoed = head.header(name)
            if echoed is None or echoed == self._work.id:
                return head
            # A late answer to an earlier request of this connection.
            while await self._conn.read_chunk(deadline) is not None:
                continue

    @contextmanager
    def _faults(self) -> Iterator[None]:
        try:
            yield
        except TransportError as exc:
            self._context.prober.request_probes(self.ids)
            self._patience.grow()
            silent = isinstance(exc, ReadTimeoutError)
            raise TryFailedError(
                RetryReason.SILENT if silent else RetryReason.BROKEN,
                str(exc),
                ran=True,
                suspects=self.ids if silent else self.ids[:1],
            ) from exc

    def _judge(self, head: ResponseHead) -> None:
        """Raise ``TryFailedError`` unless the answer is a stream to relay."""
        names = self._context.dialect.headers
        not_run = head.header(names.not_executed) is not None or head.status == 421
        if not_run:
            suspects = [self._blame(head)]
            cause = f"status {head.status}"
            raise TryFailedError(
                RetryReason.REJECTED, cause, ran=False, suspects=suspects
            )
        if head.status >= 300:
            raise TryFailedError(RetryReason.FAILED, f"status {head.status}", ran=True)
        if head.header(names.signature) is None:
            raise TryFailedError(RetryReason.FAILED, "no signature", ran=True)
        if head.header(b"content-encoding") is not None:
            raise TryFailedError(RetryReason.FAILED, "the body is encoded", ran=True)

    def _blame(self, head: ResponseHead) -> str:
        """Note which endpoint of the path refused, and return its id."""
        at_fault = id_text(
            head.header(self._context.dialect.headers.failed_endpoint) or b""
        )
        for part in self.path.stages:
            host, port = part.endpoint.address
            if at_fault != f"{host}:{port}":
                continue
            key = part.endpoint.id
            if head.status == NO_ROOM:
                self._context.directory.record_busy(key)
                self._context.directory.record_refusal(key)
            else:
                self._context.directory.record_failure(key, f"status {head.status}")
            self._context.prober.request_probes([key])
            return key
        return self.path.first_endpoint.id


__all__ = [
    "Attempt",
]
