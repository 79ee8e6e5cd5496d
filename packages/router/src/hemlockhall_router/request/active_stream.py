"""A stream under way on a path, as the process watches it."""

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
    """This stream should go on elsewhere.

    ``still_served`` tells whether its endpoints may still serve it: then it is not
    lost by staying. ``reason`` is the counter's label.
    """

    def __init__(
        self, cause: str, *, still_served: bool, reason: RetryReason = RetryReason.MOVED
    ) -> None:
        super().__init__(cause)
        self.still_served = still_served
        self.reason = reason


class ActiveStream:
    """One run of a stream.

    Parameters
    ----------
    endpoint_ids : list of str
        Endpoints on its path.
    silence_limit_s : float
        Seconds of silence from which its endpoints are in doubt.
    movable : bool
        Whether it may run a second time elsewhere. One that may not is lost
        by leaving, even if an endpoint on its path seems down: its own
        connection tells whether it is.
    """

    def __init__(
        self, endpoint_ids: list[str], silence_limit_s: float, *, movable: bool
    ) -> None:
        self.endpoint_ids = endpoint_ids
        self.silence_limit_s = silence_limit_s
        self._movable = movable
        self.last_event_at = time.monotonic()
        self.probe_requested = False
        self.first_event_seen = False
        self.move_requested_at = float("-inf")
        self._interval_estimator = EventIntervalEstimator()
        self._move_request: MoveRequestedError | None = None
        self._scope: anyio.CancelScope | None = None

    def record_event(self, silence_limit_s: float) -> None:
        """Note that something came.

        ``silence_limit_s`` is the longest silence from now on.
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
        """Return whether it has been silent for too long, and not been doubted.

        Nothing counts as missed before ``reading_since``, when this host began to
        read again.
        """
        if self.probe_requested:
            return False
        return (
            now - max(self.last_event_at, reading_since) > self.silence_limit_s * factor
        )

    def request_move(self, cause: str, *, still_served: bool = False) -> None:
        """Let it go on elsewhere.

        One that is ``still_served`` is asked only once the caller has an event:
        before that it has nothing to lose where it is.
        """
        if not self._movable or (still_served and not self.first_event_seen):
            return
        if self._move_request is not None and not self._move_request.still_served:
            return
        self.move_requested_at = time.monotonic()
        self._move_request = MoveRequestedError(cause, still_served=still_served)
        if self._scope is not None:
            self._scope.cancel()

    async def wait(self, read: Callable[[float], Awaitable[T]], deadline: float) -> T:
        """Await a read of the endpoint; raise ``MoveRequestedError`` if it is moved.

        Only reads are given up: a write to the caller that was given up
        halfway would leave it open whether the caller has the event.
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
    "MoveRequestedError",
    "ActiveStream",
]
