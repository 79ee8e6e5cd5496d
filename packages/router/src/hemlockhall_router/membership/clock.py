"""Clock on which the hosts agree."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class SharedClock:
    """The most advanced of the hosts' clocks, as known to this host.

    Each message carries the sender's time, and a receiver that is behind adopts it. All
    hosts are thus behind the most advanced one by no more than the delay of messages.
    The time does not step back while the process runs.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.
    start : float
        Time in seconds at which the clock starts, such as the Unix time.
    """

    def __init__(self, clock: Callable[[], float], start: float) -> None:
        self._clock = clock
        self._offset = start - clock()

    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock() + self._offset

    def now_ms(self) -> int:
        """Return the time in milliseconds, as sent to other hosts."""
        return int(self.now() * 1000)

    def at_ms(self, at: float) -> int:
        """Return the time in milliseconds that a monotonic time stands for."""
        return int((at + self._offset) * 1000)

    def adopt(self, time_ms: int) -> float:
        """Step to the time in another host's message, if that is later.

        Return the seconds by which the clock stepped.
        """
        before = self._offset
        self._offset = max(before, time_ms / 1000 - self._clock())
        return self._offset - before


__all__ = [
    "SharedClock",
]
