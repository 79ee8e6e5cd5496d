"""Endpoints that crash under some prompts or requests."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from math import inf
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
# Of a response without a stream.
SERVICE_TIME_S = 0.05
ROW = {"layers": (0, 8), "accelerator": "big"}


def segments_of(received: ReceivedRequest) -> list[str]:
    """Return the ids of the prompt segments that a request states."""
    return (received.header("segments") or "").split()


@dataclass
class CrashingPool:
    """Endpoints of one service that crash under prompts with one of ``fatal``.

    They also crash under a request whose own segment or body is in ``fatal_requests``.
    A crash closes all connections, and the endpoint is back under another id after a
    time in the range ``restart_s``. ``crashes`` has the monotonic time of each crash,
    ``crashes_under`` those under a fatal segment or request, and ``arrivals`` the time
    of each request with a segment or body. ``responds`` is false while endpoints crash
    without the head of a response, and ``crash_after_events`` counts the events that
    they send before. If ``dark`` is true they keep their connections, and fall silent
    until the next one starts. Before the head they wait ``prefill_s``. A stream has
    ``event_count`` events. Of requests with a fatal segment only a fraction of
    ``fatal_probability`` crashes an endpoint.
    """

    harness: RouterHarness
    service: str = "pool"
    has_model: bool = True
    fatal: set[str] = field(default_factory=set)
    fatal_requests: set[str] = field(default_factory=set)
    responds: bool = True
    crash_after_events: int = 0
    dark: bool = False
    prefill_s: float = PREFILL_S
    event_count: int = EVENTS
    fatal_probability: float = 1.0
    restart_s: tuple[float, float] = (RESTART_S, RESTART_S)
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
        name = f"{self.service}-{self.started}"
        row = ROW if self.has_model else {}
        endpoint = await self.harness.start_endpoint(
            name, self.handle, self.service, **row
        )
        self.endpoints.append(endpoint)

    async def handle(self, received: ReceivedRequest) -> None:
        """Respond to a request, or crash."""
        segments = segments_of(received)
        names = [*segments, received.body.decode()]
        for name in dict.fromkeys(names):
            self.arrivals.setdefault(name, []).append(time.monotonic())
        fatal = self.fatal.intersection(segments[:-1])
        if fatal and self.fatal_probability < 1.0:
            if random.random() >= self.fatal_probability:  # noqa: S311
                fatal = set()
        await anyio.sleep(self.prefill_s if fatal else PREFILL_S)
        fatal |= self.fatal_requests.intersection([*segments[-1:], names[-1]])
        if fatal and not self.responds:
            self.crash(received.endpoint, fatal)
        if received.header("path") is None:
            await self._answer(received, fatal)
            return
        await received.begin()
        if fatal and not self.crash_after_events:
            await anyio.sleep(CRASH_DELAY_S)
            self.crash(received.endpoint, fatal)
        first = int(received.header("resume-after") or 0) + 1
        for sent, number in enumerate(range(first, self.event_count + 1)):
            if fatal and sent == self.crash_after_events:
                self.crash(received.endpoint, fatal)
            await received.event(number)
            await anyio.sleep(EVENT_GAP_S)
        await received.end()

    async def _answer(self, received: ReceivedRequest, fatal: Collection[str]) -> None:
        """Respond without a stream, or crash."""
        await anyio.sleep(SERVICE_TIME_S)
        if fatal:
            self.crash(received.endpoint, fatal)
        await received.answer(body=b"answer")

    def crash(self, endpoint: ScriptedEndpoint, segments: Collection[str] = ()) -> None:
        """End an endpoint, and start another one in its place after a while."""
        if endpoint not in self.endpoints:
            return
        self.endpoints.remove(endpoint)
        self.crashes.append(time.monotonic())
        for segment in segments:
            self.crashes_under.setdefault(segment, []).append(time.monotonic())
        if self.dark:
            endpoint.fall_silent(inf)
        else:
            endpoint.stop()
        self.harness.group.start_soon(self._restart, endpoint)

    async def _restart(self, endpoint: ScriptedEndpoint) -> None:
        await anyio.sleep(random.uniform(*self.restart_s))  # noqa: S311
        endpoint.stop()
        self.harness.store.remove(Table.ENDPOINTS, endpoint.name)
        await self.start_one()

    def arrivals_after_crash(self, segment: str, number: int, delay_s: float) -> int:
        """Return how many requests with a segment or body came after a crash under it.

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
