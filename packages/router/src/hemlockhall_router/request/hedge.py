"""A second attempt beside one that is silent; the first with an event goes on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.request.active_stream import MoveRequestedError
from hemlockhall_router.request.failure import AttemptFailedError
from hemlockhall_router.request.reason import RetryReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.request.attempt import Attempt
    from hemlockhall_router.request.events import Event

    Undelivered = Callable[[list[Event]], list[Event]]


@dataclass(slots=True)
class RaceOutcome:
    """How a race of two attempts ended.

    ``winner`` is the first one that had events which the caller lacks, None if the race
    ended as an attempt failed. ``events`` are these events, None at the end of the
    stream. ``failures`` has the attempts that failed.
    """

    winner: Attempt | None = None
    events: list[Event] | None = field(default_factory=list)
    failures: dict[Attempt, AttemptFailedError] = field(default_factory=dict)


async def race(
    old: Attempt,
    new: Attempt,
    resume_after: bytes | None,
    undelivered: Undelivered,
    *,
    started: bool,
) -> RaceOutcome:
    """Send ``new``, and read both until one has an event or ``new`` fails.

    If ``old`` fails, ``new`` is read alone.

    The caller closes the one that does not go on. ``undelivered`` returns those of the
    events given that the caller lacks; ``resume_after`` is the id of the last that it
    has, and ``started`` whether it has any.
    """
    outcome = RaceOutcome()
    async with anyio.create_task_group() as group:

        async def read(attempt: Attempt) -> None:
            try:
                if attempt is new:
                    await new.send(resume_after)
                events = await next_undelivered(
                    attempt, undelivered, started=started, until_timeout=attempt is new
                )
            except AttemptFailedError as exc:
                outcome.failures[attempt] = exc
                if attempt is old and new not in outcome.failures:
                    # The new one goes on, also if it is not sent yet.
                    return
            else:
                # Both may have been received at the same moment.
                if outcome.winner is None:
                    outcome.winner, outcome.events = attempt, events
            group.cancel_scope.cancel()

        group.start_soon(read, old)
        group.start_soon(read, new)
    return outcome


async def next_undelivered(
    attempt: Attempt,
    undelivered: Undelivered,
    *,
    started: bool,
    until_timeout: bool = False,
) -> list[Event] | None:
    """Return the next events that the caller lacks, None at the end of the stream.

    Requests to move are ignored while the endpoints may still serve the stream, and so
    are timeouts, unless ``until_timeout`` is true. May be cancelled and called again.

    Raises
    ------
    AttemptFailedError
        If the attempt failed, its endpoints have ended, or the stream ended before the
        caller got an event.
    """
    while True:
        try:
            events = await attempt.next_events()
        except MoveRequestedError as exc:
            if not exc.still_served:
                raise AttemptFailedError(
                    RetryReason.MOVED, str(exc), may_have_run=True
                ) from exc
            if until_timeout and attempt.timed_out:
                raise AttemptFailedError(
                    RetryReason.SILENT, str(exc), may_have_run=True
                ) from exc
            continue
        if events is None and not started:
            raise AttemptFailedError(
                RetryReason.BROKEN,
                "the stream ended without an event",
                may_have_run=True,
            )
        if events is None:
            return None
        events = undelivered(events)
        if events:
            return events


__all__ = [
    "RaceOutcome",
    "next_undelivered",
    "race",
]
