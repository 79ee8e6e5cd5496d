"""A stream under way on a path, as the process watches it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, TypeVar

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")


class MovedError(Exception):
    """The process asked for this stream to go on elsewhere."""


class Running:
    """One try of a stream.

    Parameters
    ----------
    ids : list of str
        Endpoints on its path.
    quiet_s : float
        Seconds of silence from which its endpoints are in doubt.
    allow : callable
        Asked before it leaves an endpoint that serves it; takes a repeat from
        the budget, or returns False if it should stay.
    """

    def __init__(
        self, ids: list[str], quiet_s: float, allow: Callable[[], bool]
    ) -> None:
        self.ids = ids
        self.quiet_s = quiet_s
        self.heard_at = time.monotonic()
        self.doubted = False
        self.paid = False
        self._allow = allow
        self._cause: str | None = None
        self._scope: anyio.CancelScope | None = None

    def heard(self, quiet_s: float) -> None:
        """Note that something came."""
        self.heard_at = time.monotonic()
        self.quiet_s = quiet_s
        self.doubted = False

    def silent(self, now: float, factor: float) -> bool:
        """Return whether it has been silent for too long, and not been doubted."""
        return not self.doubted and now - self.heard_at > self.quiet_s * factor

    def move(self, cause: str, *, served: bool = False) -> None:
        """Let it go on elsewhere.

        While it is still ``served`` it stays if no repeat is left: it would be
        broken off here and could not be sent anywhere else.
        """
        if self._cause is not None:
            return
        if served:
            self.paid = self._allow()
            if not self.paid:
                return
        self._cause = cause
        if self._scope is not None:
            self._scope.cancel()

    async def wait(self, read: Callable[[float], Awaitable[T]], deadline: float) -> T:
        """Await a read of the endpoint; raise ``MovedError`` if it is moved.

        Only reads are given up: a write to the caller that was given up
        halfway would leave it open whether the caller has the event.
        """
        if self._cause is not None:
            raise MovedError(self._cause)
        with anyio.CancelScope() as scope:
            self._scope = scope
            try:
                result = await read(deadline)
            finally:
                self._scope = None
        if scope.cancelled_caught:
            raise MovedError(self._cause)
        return result


__all__ = [
    "MovedError",
    "Running",
]
