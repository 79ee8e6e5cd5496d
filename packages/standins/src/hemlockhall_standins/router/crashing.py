"""Endpoints that crash when they begin to respond to some prompts."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.process.store import Table

if TYPE_CHECKING:
    from collections.abc import Collection

    from hemlockhall_standins.router.endpoint import ReceivedRequest, ScriptedEndpoint
    from hemlockhall_standins.router.harness import RouterHarness

# Events of a response, and the time before the first and between two of them.
EVENTS = 4
PREFILL_S = 0.05
EVENT_GAP_S = 0.15
# Time from the head of a response to the crash under it.
CRASH_DELAY_S = 0.02
RESTART_S = 1.0
ROW = {"layers": (0, 8), "accelerator": "big"}


def segments_of(received: ReceivedRequest) -> list[str]:
    """Return the ids of the prompt segments that a request states."""
    return (received.header("segments") or "").split()


@dataclass
class CrashingPool:
    """Endpoints of one service that crash under prompts with one of ``fatal``.

    A crash closes all connections, and ``RESTART_S`` later the endpoint is back under
    another id. ``crashes`` has the monotonic time of each, ``crashes_under`` those
    under a fatal segment, and ``arrivals`` the time of each request with a segment.
    ``responds`` is false while endpoints crash without the head of a response.
    """

    harness: RouterHarness
    service: str = "pool"
    fatal: set[str] = field(default_factory=set)
    responds: bool = True
    crashes: list[float] = field(default_factory=list)
    crashes_under: dict[str, list[float]] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    endpoints: list[ScriptedEndpoint] = field(default_factory=list)
    started: int = 0

    async def start(self, count: int) -> None:
        """Start so many endpoints."""
        for _ in range(count):
            await self.start_one()

    async def start_one(self) -> None:
        """Start one endpoint under a new id."""
        self.started += 1
        name = f"p{self.started}"
        endpoint = await self.harness.start_endpoint(
            name, self.handle, self.service, **ROW
        )
        self.endpoints.append(endpoint)

    async def handle(self, received: ReceivedRequest) -> None:
        """Respond to a request, or crash."""
        segments = segments_of(received)
        for segment in segments:
            self.arrivals.setdefault(segment, []).append(time.monotonic())
        await anyio.sleep(PREFILL_S)
        fatal = self.fatal.intersection(segments[:-1])
        if fatal and not self.responds:
            self.crash(received.endpoint, fatal)
        await received.begin()
        if fatal:
            await anyio.sleep(CRASH_DELAY_S)
            self.crash(received.endpoint, fatal)
        for number in range(1, EVENTS + 1):
            await received.event(number)
            await anyio.sleep(EVENT_GAP_S)
        await received.end()

    def crash(self, endpoint: ScriptedEndpoint, segments: Collection[str] = ()) -> None:
        """End an endpoint, and start another one in its place after a while."""
        if endpoint not in self.endpoints:
            return
        self.endpoints.remove(endpoint)
        self.crashes.append(time.monotonic())
        for segment in segments:
            self.crashes_under.setdefault(segment, []).append(time.monotonic())
        self.harness.group.start_soon(self._restart, endpoint)
        endpoint.stop()

    async def _restart(self, endpoint: ScriptedEndpoint) -> None:
        await anyio.sleep(RESTART_S)
        self.harness.store.remove(Table.ENDPOINTS, endpoint.name)
        await self.start_one()

    def arrivals_after_crash(self, segment: str, number: int, delay_s: float) -> int:
        """Return how many requests with a segment came after a crash under it.

        Those that arrived up to ``delay_s`` after it do not count.
        """
        crashes = self.crashes_under.get(segment, [])
        if len(crashes) < number:
            return 0
        since = crashes[number - 1] + delay_s
        return sum(at > since for at in self.arrivals.get(segment, ()))


__all__ = [
    "EVENTS",
    "ROW",
    "CrashingPool",
    "segments_of",
]
