"""Relaying of streams, which go on elsewhere when an endpoint fails."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.request.active_stream import MovedError
from hemlockhall_router.request.attempt import Attempt
from hemlockhall_router.request.failure import TryFailedError, id_text
from hemlockhall_router.request.patience import Patience
from hemlockhall_router.request.plain import ABSENT_AGAIN_S, FULL_AGAIN_S
from hemlockhall_router.request.reason import RefusalReason, RetryReason
from hemlockhall_router.request.times import Times

if TYPE_CHECKING:
    from hemlockhall_router.request.events import Event
    from hemlockhall_router.request.relay import RelayContext, RoutedRequest
    from hemlockhall_router.request.response_writer import ResponseWriter
    from hemlockhall_router.version.endpoint import Endpoint
    from hemlockhall_router.version.path import Path

# Seconds after the last path was lost for which new requests wait for one: layers
# of a lost endpoint are soon loaded elsewhere, and a refused caller comes back
# later. Those that come later are refused at once: nobody knows when there is one.
PATH_RESTORE_WAIT_S = 1.3
# Part of the objective for which a request waits at any rate; an endpoint that
# failed a moment ago is often back by then.
HOLD_PART = 0.12
HOLD_POLL_S = 0.02
# The same for a stream that has waited for a while.
HOLD_POLL_MAX_S = 0.1
HOLD_POLL_GROWTH = 1.2
# Longest pauses for which a stream that is still served waits until another
# endpoint takes it; after that the caller does better with what it has.
HANDOVER_PAUSES = 1.0
# Objectives after which a request that endpoints refused for want of room is
# refused, and told when to come back. Its caller leaves after four of them; one
# that is held until then learns nothing, and comes back later than it could.
ROOM_OBJECTIVES = 2.0
# Tries for one request; it bounds the work that it makes. A stream that the caller
# has a part of goes on after them, but more slowly.
MAX_TRIES = 12
MORE_TRIES_S = 0.5


class StreamRelay:
    """Relays one stream."""

    def __init__(
        self, work: RoutedRequest, context: RelayContext, reply: ResponseWriter
    ) -> None:
        self._work = work
        self._context = context
        self._reply = reply
        self._patience = Patience(work)
        self._attempt: Attempt | None = None
        self._last_id: bytes | None = None
        self._ran = False
        self._rejected = False
        self._unaffordable = False
        self._avoid: set[str] = set()
        self._sent = 0
        self._paid = False
        self._ran_at: dict[str, Endpoint] = {}
        self._times = Times()

    async def run(self) -> None:
        """Relay the stream until it is complete or given up."""
        for tries in itertools.count():
            if tries >= MAX_TRIES:
                if not self._reply.started:
                    break
                await anyio.sleep(MORE_TRIES_S)
            path = await self._path()
            if (
                path is None
                or self._work.left_s <= 0
                or self._waited_too_long_for_room()
            ):
                break
            if self._sent and not self._paid and not await self._afford():
                break
            self._paid = False
            self._attempt = Attempt(self._work, self._context, path, self._patience)
            try:
                await self._try()
                return
            except TryFailedError as again:
                if not self._continue(again):
                    break
            finally:
                await self._attempt.close()
        await self._give_up()

    async def _try(self) -> None:
        assert self._attempt is not None
        try:
            await self._attempt.begin(self._last_id)
        except MovedError as exc:
            raise TryFailedError(RetryReason.MOVED, str(exc), ran=True) from exc
        while True:
            try:
                await self._deliver(self._attempt)
                return
            except MovedError as exc:
                if not exc.still_served:
                    raise TryFailedError(RetryReason.MOVED, str(exc), ran=True) from exc
                await self._hand_over(exc)

    async def _deliver(self, attempt: Attempt) -> None:
        """Pass events on until the stream is complete."""
        reply = self._reply
        while True:
            events = await attempt.events()
            if events is None:
                break
            events = self._fresh(events)
            if not events:
                continue
            attempt.heard()
            self._times.event()
            if not reply.started:
                assert attempt.head is not None
                await reply.stream(attempt.head)
            await reply.chunk(b"".join(event.text for event in events))
            self._last_id = events[-1].id or self._last_id
        if not reply.started:
            raise TryFailedError(RetryReason.BROKEN, "ended without an event", ran=True)
        await reply.end()
        self._note_end(attempt.path)
        await attempt.keep()

    async def _hand_over(self, moved: MovedError) -> None:
        """Go on at another endpoint if one takes the stream; else stay.

        The endpoint that leaves or is slow still serves. Were it left first, a
        stream that finds no room elsewhere would be lost, and with a whole
        endpoint's streams on the way at once many find none. What the old run
        sends meanwhile stays unread, so that the two never mix.
        """
        old = self._attempt
        assert old is not None
        avoid = self._avoid
        if moved.reason is RetryReason.SILENT:
            avoid = avoid.union(old.ids)
        path = self._context.chooser.choose_path(
            self._work.service, avoid, tokens=self._work.size
        )
        if path is None or path.first_endpoint.id == old.path.first_endpoint.id:
            self._leave_silent(moved)
            return
        if not self._may_leave(old.path) or not self._allow():
            return
        self._sent += 1
        new = Attempt(self._work, self._context, path, self._patience)
        try:
            with anyio.fail_after(self._patience.pause_s * HANDOVER_PAUSES):
                await new.begin(self._last_id)
            self._attempt = new
            self._note_run(old)
            self._context.metrics.count_retry(moved.reason)
            self._log_broken(old, moved.reason, str(moved))
        except (TryFailedError, TimeoutError, MovedError) as exc:
            if not isinstance(exc, TryFailedError) or exc.ran:
                self._note_run(new)
            self._context.metrics.count_retry(RetryReason.STAYED)
            self._log_broken(new, RetryReason.STAYED, str(exc) or "no answer in time")
        finally:
            await (old if self._attempt is new else new).close()

    def _leave_silent(self, moved: MovedError) -> None:
        """Raise ``TryFailedError`` for a silent run that nobody else takes.

        Its endpoint may take it anew: only a new request shows whether the
        connection is dead. Without a repeat left it is better to wait on.
        """
        if moved.reason is not RetryReason.SILENT or not self._allow():
            return
        self._paid = True
        raise TryFailedError(RetryReason.SILENT, str(moved), ran=True) from moved

    async def _afford(self) -> bool:
        """Take a repeat from the budget.

        Repeats come back as time passes. A stream that the caller has a part
        of waits for one: given up, it is lost, or the caller asks for all of
        it again.
        """
        while not self._allow():
            if not self._reply.started or self._work.left_s <= 0:
                self._unaffordable = True
                return False
            await anyio.sleep(HOLD_POLL_S)
        return True

    def _allow(self) -> bool:
        return self._context.retry_budget.try_acquire(self._work.service.name)

    def _may_leave(self, path: Path) -> bool:
        """Return whether the route allows one more endpoint than this path's."""
        used = {*self._ran_at, path.first_endpoint.id}
        return len(used) < self._work.route.max_attempts

    def _log_broken(self, attempt: Attempt, reason: RetryReason, cause: str) -> None:
        logger.info(
            "stream broke",
            request=id_text(self._work.id),
            reason=reason.value,
            cause=cause,
            path=attempt.ids,
            after=id_text(self._last_id or b""),
        )

    def _continue(self, again: TryFailedError) -> bool:
        """Note a failed try; return whether another one may follow."""
        work, attempt = self._work, self._attempt
        assert attempt is not None
        self._context.metrics.count_retry(again.reason)
        self._log_broken(attempt, again.reason, str(again))
        self._avoid.update(again.suspects)
        if again.reason is not RetryReason.NOT_SENT:
            self._sent += 1
        if again.ran:
            self._ran = True
            self._note_run(attempt)
            return work.route.retryable
        self._rejected = True
        return True

    async def _path(self) -> Path | None:
        """Return a path, waiting a moment for one to come back.

        After that moment an endpoint that failed this request is better than
        none: it may have restarted, and waiting first keeps the tries apart.
        """
        work, chooser = self._work, self._context.chooser
        began = time.monotonic()
        deadline = min(work.deadline, began + self._patience.objective_s * HOLD_PART)
        poll_s = HOLD_POLL_S
        while True:
            starts_at = self._starts_at()
            path = chooser.choose_path(
                work.service, self._avoid, starts_at, tokens=work.size
            )
            if path is not None:
                return path
            if time.monotonic() >= deadline:
                path = chooser.choose_path(
                    work.service, set(), starts_at, tokens=work.size
                )
                if path is not None or work.left_s <= 0 or self._too_long():
                    return path
            await anyio.sleep(poll_s)
            poll_s = min(HOLD_POLL_MAX_S, poll_s * HOLD_POLL_GROWTH)

    def _too_long(self) -> bool:
        """Return whether the wait for a path is over.

        A new request does not wait if there has been no path for long. A
        stream that the caller has a part of waits as long as the caller does:
        giving it up loses that.
        """
        if self._reply.started:
            return False
        return (
            self._context.chooser.seconds_without_path(self._work.service.name)
            > PATH_RESTORE_WAIT_S
        )

    def _waited_too_long_for_room(self) -> bool:
        """Return whether a refused request has waited long enough for room."""
        if self._reply.started or not self._rejected:
            return False
        return self._times.took_s > self._patience.objective_s * ROOM_OBJECTIVES

    def _starts_at(self) -> frozenset[str] | None:
        """Return where the request may be sent if its route's limit is reached.

        It ran at an endpoint that received it. Once as many as the route
        allows did, and have not ended, it goes on only at one of these, with other
        endpoints behind it on the path.
        """
        there = []
        for key, endpoint in self._ran_at.items():
            if self._context.directory.may_still_run(endpoint):
                there.append(key)
        if len(there) < self._work.route.max_attempts:
            return None
        return frozenset(there)

    def _note_run(self, attempt: Attempt) -> None:
        first = attempt.path.first_endpoint
        self._ran_at[first.id] = first

    def _note_end(self, path: Path) -> None:
        times = self._times
        self._context.metrics.longest_pause.record(times.pause_s)
        logger.info(
            "stream ended",
            request=id_text(self._work.id),
            first_ms=round(times.first_s * 1000),
            pause_ms=round(times.pause_s * 1000),
            pause_after_ms=round(times.pause_after_s * 1000),
            took_ms=round(times.took_s * 1000),
            tokens=self._work.size,
            tries=self._sent + 1,
            path=[part.endpoint.id for part in path.stages],
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

    async def _give_up(self) -> None:
        work, reply = self._work, self._reply
        late = work.left_s <= 0
        if reply.started:
            refusal = RefusalReason.TIMEOUT if late else RefusalReason.UNCERTAIN
        elif self._ran and not work.route.retryable:
            refusal = RefusalReason.TIMEOUT if late else RefusalReason.UNCERTAIN
        elif self._unaffordable:
            refusal = RefusalReason.RETRY_BUDGET
        elif self._rejected or self._ran:
            refusal = RefusalReason.ENDPOINTS_FULL
        else:
            refusal = RefusalReason.DEADLINE if late else RefusalReason.NO_PATH
        self._context.metrics.count_refusal(refusal)
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
            reply.close_connection = True
            return
        if self._ran:
            await reply.local_reply(504 if late else 502, "the endpoint did not answer")
            return
        again_s = FULL_AGAIN_S if self._rejected else ABSENT_AGAIN_S
        await reply.local_reply(503, "no path can take the request", again_s)


def _number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value)


__all__ = [
    "StreamRelay",
]
