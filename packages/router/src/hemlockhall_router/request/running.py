"""A stream under way on a path, as the process watches it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, TypeVar

import anyio

from hemlockhall_router.policy.silence import EventIntervalEstimator
from hemlockhall_router.request.reason import Retry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")


class MovedError(Exception):
    """This stream should go on elsewhere.

    ``served`` tells whether its endpoints may still serve it: then it is not
    lost by staying. ``reason`` is the counter's label.
    """

    def __init__(
        self, cause: str, *, served: bool, reason: Retry = Retry.MOVED
    ) -> None:
        super().__init__(cause)
        self.served = served
        self.reason = reason


class Running:
    """One run of a stream.

    Parameters
    ----------
    ids : list of str
        Endpoints on its path.
    quiet_s : float
        Seconds of silence from which its endpoints are in doubt.
    movable : bool
        Whether it may run a second time elsewhere. One that may not is lost
        by leaving, even if an endpoint on its path seems down: its own
        connection tells whether it is.
    """

    def __init__(self, ids: list[str], quiet_s: float, *, movable: bool) -> None:
        self.ids = ids
        self.quiet_s = quiet_s
        self._movable = movable
        self.heard_at = time.monotonic()
        self.doubted = False
        self.began = False
        self.asked_at = float("-inf")
        self._interval = EventIntervalEstimator()
        self._moved: MovedError | None = None
        self._scope: anyio.CancelScope | None = None

    def heard(self, quiet_s: float) -> None:
        """Note that something came; ``quiet_s`` is the longest silence from now on."""
        now = time.monotonic()
        if self.began:
            self._interval.add(now - self.heard_at)
        self.heard_at = now
        self.quiet_s = self._interval.silence_limit_s(quiet_s)
        self.doubted = False
        self.began = True

    def silent(self, now: float, factor: float, awake_at: float = 0.0) -> bool:
        """Return whether it has been silent for too long, and not been doubted.

        Nothing counts as missed before ``awake_at``, when this host began to
        read again.
        """
        if self.doubted:
            return False
        return now - max(self.heard_at, awake_at) > self.quiet_s * factor

    def move(self, cause: str, *, served: bool = False) -> None:
        """Let it go on elsewhere.

        One that is still ``served`` is asked only once the caller has an event:
        before that it has nothing to lose where it is.
        """
        if not self._movable or (served and not self.began):
            return
        if self._moved is not None and not self._moved.served:
            return
        self.asked_at = time.monotonic()
        self._moved = MovedError(cause, served=served)
        if self._scope is not None:
            self._scope.cancel()

    async def wait(self, read: Callable[[float], Awaitable[T]], deadline: float) -> T:
        """Await a read of the endpoint; raise ``MovedError`` if it is moved.

        Only reads are given up: a write to the caller that was given up
        halfway would leave it open whether the caller has the event.
        """
        self._raise_moved()
        with anyio.CancelScope() as scope:
            self._scope = scope
            try:
                result = await read(deadline)
            finally:
                self._scope = None
        if scope.cancelled_caught:
            self._raise_moved()
        return result

    def _raise_moved(self) -> None:
        moved = self._moved
        if moved is None:
            return
        if moved.served:
            self._moved = None
        raise moved


__all__ = [
    "MovedError",
    "Running",
]
