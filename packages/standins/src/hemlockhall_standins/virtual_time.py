"""Event loop whose clock jumps to the next timer while nothing else happens.

Tests that take seconds of waiting run in milliseconds and do not depend on the load of
the machine. Sockets of the same process work: their events come before a jump.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from _typeshed import FileDescriptorLike

# Real time to wait for events of sockets before the clock jumps.
IO_WAIT_S = 0.0005


class VirtualClock:
    """Monotonic time in seconds; begins at that of the machine."""

    def __init__(self) -> None:
        self._now = time.monotonic()

    def monotonic(self) -> float:
        """Return the current time, in place of ``time.monotonic``."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the time forward."""
        self._now += seconds


class _JumpingSelector(selectors.BaseSelector):
    """Advances the clock in place of waiting for a timer."""

    def __init__(self, clock: VirtualClock, io_wait_s: float) -> None:
        self._clock = clock
        self._io_wait_s = io_wait_s
        self._selector = selectors.DefaultSelector()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout <= 0:
            return self._selector.select(timeout)
        events = self._selector.select(self._io_wait_s)
        if not events:
            self._clock.advance(timeout)
        return events

    def register(
        self, fileobj: FileDescriptorLike, events: int, data: object = None
    ) -> selectors.SelectorKey:
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: FileDescriptorLike) -> selectors.SelectorKey:
        return self._selector.unregister(fileobj)

    def modify(
        self, fileobj: FileDescriptorLike, events: int, data: object = None
    ) -> selectors.SelectorKey:
        return self._selector.modify(fileobj, events, data)

    def close(self) -> None:
        self._selector.close()

    def get_map(self) -> Mapping[FileDescriptorLike, selectors.SelectorKey]:
        return self._selector.get_map()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on a ``VirtualClock``.

    Code under test that calls ``time.monotonic`` must get ``clock.monotonic`` instead.
    With an ``io_wait_s`` of 0 jumps take no real time: data sent over loopback usually
    arrives before the call that sends it returns, else at the time of the next timer.
    """

    def __init__(self, clock: VirtualClock, io_wait_s: float = IO_WAIT_S) -> None:
        super().__init__(_JumpingSelector(clock, io_wait_s))
        self._virtual_clock = clock

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual_clock.monotonic()


__all__ = [
    "VirtualClock",
    "VirtualTimeLoop",
]
