"""State of a stream in flight, shared with the prober and the directory."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, TypeVar

import anyio

from hemlockhall_router.policy.silence import EventIntervalEstimator
from hemlockhall_router.request.reason import RetryReason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")


class MoveRequestedError(Exception):
    """The stream should continue on another path.

    Raised after ``ActiveStream.request_move``, and by an attempt whose events stop.

    Parameters
    ----------
    cause : str
        Why, for the log.
    still_served : bool
        Whether the present endpoints may still serve the stream. If so, it may
        stay where it is when no other path takes it.
    reason : RetryReason
        Label of the retry counter.
    """

    def __init__(
        self, cause: str, *, still_served: bool, reason: RetryReason = RetryReason.MOVED
    ) -> None:
        super().__init__(cause)
        self.still_served = still_served
        self.reason = reason


class ActiveStream:
    """One attempt of a stream, watched for silence and movable to another path.

    Times are monotonic seconds. ``last_event_at`` is the time of creation until
    the first event, ``move_requested_at`` the time of the last accepted move request.
    The prober sets ``probe_requested`` when the silence limit is exceeded; the next
    event clears it.

    Parameters
    ----------
    endpoint_ids : list of str
        Endpoints on its path.
    silence_limit_s : float
        Seconds without an event after which the endpoints are probed.
    movable : bool
        Whether the request may run again on another path. If not, the stream
        ignores move requests, even if an endpoint on its path seems down:
        leaving would lose it, and its own connection shows whether it broke.
    segment_keys : tuple of int
        Keys of the shared segments of its prompt, and of its content.

    ``resumed`` is true if its caller has events of an earlier attempt.
    """

    def __init__(
        self,
        endpoint_ids: list[str],
        silence_limit_s: float,
        *,
        movable: bool,
        segment_keys: tuple[int, ...] = (),
    ) -> None:
        self.endpoint_ids = endpoint_ids
        self.segment_keys = segment_keys
        self.silence_limit_s = silence_limit_s
        self._movable = movable
        self.last_event_at = time.monotonic()
        self.probe_requested = False
        self.first_event_seen = False
        self.resumed = False
        self.move_requested_at = float("-inf")
        self._interval_estimator = EventIntervalEstimator()
        self._move_request: MoveRequestedError | None = None
        self._scope: anyio.CancelScope | None = None

    def record_event(self, silence_limit_s: float) -> None:
        """Record that an event arrived.

        ``silence_limit_s`` is the upper bound of the next silence limit, which is
        lower if the events come at steady intervals.
        """
        now = time.monotonic()
        if self.first_event_seen:
            self._interval_estimator.add(now - self.last_event_at)
        self.last_event_at = now
        self.silence_limit_s = self._interval_estimator.silence_limit_s(silence_limit_s)
        self.probe_requested = False
        self.first_event_seen = True

    def silence_exceeded(
        self, now: float, factor: float, reading_since: float = 0.0
    ) -> bool:
        """Return whether the stream exceeded its limit and needs a probe request.

        Silence before ``reading_since`` does not count: until then this host was
        stalled and read nothing itself. ``factor`` multiplies the limit; the prober
        raises it after probes that found nothing.
        """
        if self.probe_requested:
            return False
        return (
            now - max(self.last_event_at, reading_since) > self.silence_limit_s * factor
        )

    def request_move(
        self,
        cause: str,
        *,
        still_served: bool = False,
        reason: RetryReason = RetryReason.MOVED,
    ) -> None:
        """Ask the stream to continue on another path, and cancel its pending read.

        Ignored if the stream is not movable, or if it is ``still_served`` and has
        no event yet, unless its endpoints are silent: it then loses nothing by waiting
        for its first event. A request to leave endpoints that no longer serve the
        stream is not overridden, nor one to leave silent endpoints by a weaker one.
        """
        silent = reason is RetryReason.SILENT
        if not self._movable:
            return
        if still_served and not silent and not self.first_event_seen:
            return
        pending = self._move_request
        if pending is not None and not pending.still_served:
            return
        if pending is not None and pending.reason is RetryReason.SILENT:
            if still_served:
                return
        self.move_requested_at = time.monotonic()
        self._move_request = MoveRequestedError(
            cause, still_served=still_served, reason=reason
        )
        if self._scope is not None:
            self._scope.cancel()

    async def wait(self, read: Callable[[float], Awaitable[T]], deadline: float) -> T:
        """Await ``read(deadline)``, a read from the endpoint.

        Only reads are cancelled by a move: after a cancelled write to the caller
        it would be unknown whether the caller has the event.

        Raises
        ------
        MoveRequestedError
            If the stream was asked to move before or during the read.
        """
        self._raise_if_move_requested()
        with anyio.CancelScope() as scope:
            self._scope = scope
            try:
                result = await read(deadline)
            finally:
                self._scope = None
        if scope.cancelled_caught:
            self._raise_if_move_requested()
        return result

    def _raise_if_move_requested(self) -> None:
        request = self._move_request
        if request is None:
            return
        if request.still_served:
            self._move_request = None
        raise request


__all__ = [
    "ActiveStream",
    "MoveRequestedError",
]
