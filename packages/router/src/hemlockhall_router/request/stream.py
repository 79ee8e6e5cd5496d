"""Relaying of streams, which go on elsewhere when an endpoint fails."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.error import NotSentError, WireError
from hemlockhall_router.request.events import Splitter
from hemlockhall_router.request.failure import TryFailedError, id_text
from hemlockhall_router.request.plain import ABSENT_AGAIN_S, CONNECT_S, FULL_AGAIN_S
from hemlockhall_router.request.reason import Refusal, Retry
from hemlockhall_router.request.running import MovedError, Running
from hemlockhall_router.request.times import Times
from hemlockhall_router.request.work import Occupied, Tools, Work, outgoing

if TYPE_CHECKING:
    from hemlockhall_router.connection.client import ClientConnection
    from hemlockhall_router.connection.message import ResponseHead
    from hemlockhall_router.request.events import Event
    from hemlockhall_router.request.reply import Reply
    from hemlockhall_router.version.path import Path

# Part of the objective without a first event, and of the longest pause without
# another one, after which the endpoints of the path are asked whether they
# live. What is left suffices to ask and to read the prompt elsewhere in time.
QUIET_FIRST_PART = 0.3
QUIET_PAUSE_PART = 0.35
# Objectives and pauses after which a stream goes on elsewhere although all of
# its endpoints answer. Slow endpoints are not left sooner: what they have read
# would be read again, which makes all of them slower.
FIRST_PARTS = 5.0
PAUSE_PARTS = 5.0
# Each silence doubles the patience.
PATIENCE_GROWTH = 2.0
# Seconds assumed where the route states no objective or pause.
UNSTATED_S = 2.0
# Seconds after the last path was lost for which requests wait for one. Layers of
# a lost endpoint are loaded elsewhere in about a second, and a caller that is
# refused comes back later than that. Requests that come later are refused at
# once: nobody knows then when there will be a path.
RESTORE_S = 1.3
# Part of the objective for which a request waits at any rate; an endpoint that
# failed a moment ago is often back by then.
HOLD_PART = 0.12
HOLD_POLL_S = 0.02
# Status with which an endpoint on a path says that it has no room, or is leaving
# or dead; the questions that follow tell which.
NO_ROOM = 503
# Tries for one request; it bounds the work that it makes.
MAX_TRIES = 12


class StreamRelay:
    """Relays one stream."""

    def __init__(self, work: Work, tools: Tools, reply: Reply) -> None:
        self._work = work
        self._tools = tools
        self._reply = reply
        self._last_id: bytes | None = None
        self._ran = False
        self._rejected = False
        self._avoid: set[str] = set()
        self._growth = 1.0
        self._sent = 0
        self._ran_at: set[str] = set()
        self._paid = False
        self._times = Times()

    async def run(self) -> None:
        """Relay the stream until it is complete or given up."""
        for _ in range(MAX_TRIES):
            path = await self._path()
            if path is None or self._work.left_s <= 0:
                break
            if self._sent and not self._paid and not self._allow():
                break
            self._paid = False
            try:
                await self._try(path)
                self._note_end(path)
                return
            except TryFailedError as again:
                if not self._continue(path, again):
                    break
        await self._give_up()

    def _allow(self) -> bool:
        return self._tools.budget.allow(self._work.service.name)

    def _may_leave(self, path: Path) -> bool:
        """Return whether a stream that is served may go on elsewhere.

        Only if its route allows another endpoint, and a repeat is left: else
        leaving would break off what the endpoint still serves.
        """
        used = {*self._ran_at, path.first.id}
        if len(used) >= self._work.route.max_endpoints:
            return False
        return self._allow()

    def _continue(self, path: Path, again: TryFailedError) -> bool:
        work = self._work
        self._tools.metrics.retry(again.reason)
        logger.info(
            "stream broke",
            request=id_text(work.id),
            reason=again.reason.value,
            cause=str(again),
            path=[part.endpoint.id for part in path.parts],
            after=id_text(self._last_id or b""),
        )
        if again.reason is not Retry.NOT_SENT:
            self._sent += 1
        if again.ran:
            self._ran = True
            self._ran_at.add(path.first.id)
            return work.route.repeatable
        self._rejected = True
        return True

    async def _path(self) -> Path | None:
        """Return a path, waiting a moment for one to come back.

        After that moment an endpoint that failed this request is better than
        none: it may have restarted, and waiting first keeps the tries apart.
        """
        work, chooser = self._work, self._tools.chooser
        objective = work.route.objective_s or UNSTATED_S
        began = time.monotonic()
        deadline = min(work.deadline, began + objective * HOLD_PART)
        while True:
            starts_at = self._starts_at()
            path = chooser.path(work.service, self._avoid, starts_at)
            if path is not None:
                return path
            if time.monotonic() >= deadline:
                path = chooser.path(work.service, set(), starts_at)
                if path is not None or work.left_s <= 0 or self._too_long(began):
                    return path
            await anyio.sleep(HOLD_POLL_S)

    def _too_long(self, began: float) -> bool:
        """Return whether the wait for a path is over.

        A new request does not wait if there has been no path for long. A
        stream that the caller has a part of does: giving it up loses that.
        """
        if self._reply.started:
            return time.monotonic() - began > RESTORE_S
        return self._tools.chooser.without_path_s(self._work.service.name) > RESTORE_S

    def _starts_at(self) -> frozenset[str] | None:
        """Return where the request may be sent if its route's limit is reached.

        It ran at an endpoint that received it. Once as many as the route
        allows did, and live, it goes on only at one of these, with other
        endpoints behind it on the path.
        """
        alive = [key for key in self._ran_at if self._tools.chooser.alive(key)]
        if len(alive) < self._work.route.max_endpoints:
            return None
        return frozenset(alive)

    async def _try(self, path: Path) -> None:
        work, tools = self._work, self._tools
        address = path.first.address
        connect_deadline = min(work.deadline, time.monotonic() + CONNECT_S)
        try:
            conn = await tools.pool.connect(address, connect_deadline)
        except NotSentError as exc:
            tools.directory.failed(path.first.id, str(exc))
            self._avoid.add(path.first.id)
            raise TryFailedError(Retry.NOT_SENT, str(exc), ran=False) from exc
        ids = [part.endpoint.id for part in path.parts]
        running = Running(ids, self._quiet_first_s(), lambda: self._may_leave(path))
        try:
            with Occupied(tools.directory, ids, running):
                head = await self._relay(conn, path, running)
        except MovedError as exc:
            self._paid = running.paid
            raise TryFailedError(Retry.MOVED, str(exc), ran=True) from exc
        except WireError as exc:
            tools.prober.doubt(ids)
            self._growth *= PATIENCE_GROWTH
            silent = "in time" in str(exc)
            self._avoid.update(ids if silent else ids[:1])
            raise TryFailedError(
                Retry.SILENT if silent else Retry.BROKEN, str(exc), ran=True
            ) from exc
        finally:
            if not conn.reusable:
                await conn.close()
        await tools.pool.give(address, conn, head)

    async def _relay(
        self, conn: ClientConnection, path: Path, running: Running
    ) -> ResponseHead:
        work, tools = self._work, self._tools
        text = outgoing(work, tools.dialect, path.first, path, self._last_id)
        started = time.monotonic()
        await conn.send(text, work.deadline)
        head = await running.wait(conn.head, self._first_deadline())
        echoed = head.header(tools.dialect.headers.request_id)
        while echoed is not None and echoed != work.id:
            # A late answer to an earlier request of this connection.
            while await conn.chunk(self._first_deadline()) is not None:
                continue
            head = await running.wait(conn.head, self._first_deadline())
            echoed = head.header(tools.dialect.headers.request_id)
        await self._judge(conn, head, path)
        await self._events(conn, head, path, running, started)
        return head

    async def _judge(
        self, conn: ClientConnection, head: ResponseHead, path: Path
    ) -> None:
        """Raise ``TryFailedError`` unless the answer is a stream to relay."""
        names = self._tools.dialect.headers
        not_run = head.header(names.not_run) is not None or head.status == 421
        if not_run:
            self._blame(head, path)
            raise TryFailedError(Retry.REJECTED, f"status {head.status}", ran=False)
        if head.status >= 300:
            raise TryFailedError(Retry.FAILED, f"status {head.status}", ran=True)
        if head.header(names.signature) is None:
            raise TryFailedError(Retry.FAILED, "no signature", ran=True)
        if head.header(b"content-encoding") is not None:
            raise TryFailedError(Retry.FAILED, "the body is encoded", ran=True)

    def _blame(self, head: ResponseHead, path: Path) -> None:
        at_fault = id_text(head.header(self._tools.dialect.headers.at_fault) or b"")
        for part in path.parts:
            host, port = part.endpoint.address
            if at_fault != f"{host}:{port}":
                continue
            self._avoid.add(part.endpoint.id)
            if head.status == NO_ROOM:
                self._tools.directory.busy(part.endpoint.id)
            else:
                self._tools.directory.failed(part.endpoint.id, f"status {head.status}")
            self._tools.prober.doubt([part.endpoint.id])
            return
        self._avoid.add(path.first.id)

    async def _events(
        self,
        conn: ClientConnection,
        head: ResponseHead,
        path: Path,
        running: Running,
        started: float,
    ) -> None:
        splitter = Splitter()
        deadline = self._first_deadline()
        first = True
        while True:
            data = await running.wait(conn.chunk, deadline)
            if data is None:
                break
            events = self._fresh(splitter.feed(data))
            if not events:
                continue
            if first:
                first = False
                took = time.monotonic() - started
                self._tools.directory.succeeded(path.first.id, took)
                self._tools.metrics.first_event.record(took)
            self._times.event()
            if not self._reply.started:
                await self._reply.stream(head)
            await self._reply.chunk(b"".join(event.text for event in events))
            self._last_id = events[-1].id or self._last_id
            deadline = self._pause_deadline()
            running.heard(self._quiet_pause_s())
        if splitter.partial or not self._reply.started:
            raise TryFailedError(Retry.BROKEN, "ended inside an event", ran=True)
        await self._reply.end()

    def _note_end(self, path: Path) -> None:
        times = self._times
        self._tools.metrics.longest_pause.record(times.pause_s)
        logger.info(
            "stream ended",
            request=id_text(self._work.id),
            first_ms=round(times.first_s * 1000),
            pause_ms=round(times.pause_s * 1000),
            pause_after_ms=round(times.pause_after_s * 1000),
            tries=self._sent + 1,
            path=[part.endpoint.id for part in path.parts],
        )

    def _fresh(self, events: list[Event]) -> list[Event]:
        """Leave out events that the caller has; ids only increase."""
        fresh = []
        last = _number(self._last_id)
        for event in events:
            number = _number(event.id)
            if last is not None and number is not None and number <= last:
                continue
            last = number if number is not None else last
            fresh.append(event)
        return fresh

    def _quiet_first_s(self) -> float:
        if not self._work.route.repeatable:
            return float("inf")
        return (self._work.route.objective_s or UNSTATED_S) * QUIET_FIRST_PART

    def _quiet_pause_s(self) -> float:
        if not self._work.route.repeatable:
            return float("inf")
        return (self._work.route.pause_s or UNSTATED_S) * QUIET_PAUSE_PART

    def _first_deadline(self) -> float:
        if not self._work.route.repeatable:
            return self._work.deadline
        objective = self._work.route.objective_s or UNSTATED_S
        patience = objective * FIRST_PARTS * self._growth
        return min(self._work.deadline, time.monotonic() + patience)

    def _pause_deadline(self) -> float:
        if not self._work.route.repeatable:
            return self._work.deadline
        pause = self._work.route.pause_s or UNSTATED_S
        patience = pause * PAUSE_PARTS * self._growth
        return min(self._work.deadline, time.monotonic() + patience)

    async def _give_up(self) -> None:
        work, reply = self._work, self._reply
        late = work.left_s <= 0
        if reply.started:
            refusal = Refusal.TIMEOUT if late else Refusal.UNCERTAIN
        elif self._ran and not work.route.repeatable:
            refusal = Refusal.TIMEOUT if late else Refusal.UNCERTAIN
        elif self._rejected or self._ran:
            refusal = Refusal.ENDPOINTS_FULL
        else:
            refusal = Refusal.DEADLINE if late else Refusal.NO_PATH
        self._tools.metrics.refusal(refusal)
        logger.warning(
            "stream given up",
            request=id_text(work.id),
            route=work.route.name,
            reason=refusal.value,
            after=id_text(self._last_id or b""),
            tries=self._sent,
        )
        if reply.started:
            # The caller must see that the stream is not complete.
            reply.close = True
            return
        if self._ran:
            await reply.own(504 if late else 502, "the endpoint did not answer")
            return
        again_s = FULL_AGAIN_S if self._rejected else ABSENT_AGAIN_S
        await reply.own(503, "no path can take the request", again_s)


def _number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value)


__all__ = [
    "StreamRelay",
]
