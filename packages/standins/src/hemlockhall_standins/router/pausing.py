"""Endpoints that are sound and fall silent for a while."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.connection.error import TransportError

if TYPE_CHECKING:
    from hemlockhall_standins.router.endpoint import ReceivedRequest, ScriptedEndpoint
    from hemlockhall_standins.router.harness import RouterHarness

# Events of a response, and the time before the first and between two of them.
EVENTS = 12
PREFILL_S = 0.04
EVENT_GAP_S = 0.05
# Of a response without a stream.
SERVICE_TIME_S = 0.05
BODY = b"booked"
ROW = {"layers": (0, 8), "accelerator": "unplanned"}


@dataclass
class Outcome:
    """What a caller got; ``status`` is 0 if its connection broke."""

    sent_at: float
    took_s: float
    status: int
    events: int
    body: bytes

    @property
    def whole(self) -> bool:
        """Whether it is a complete response of an endpoint."""
        return self.status == 200 and (self.events == EVENTS or self.body == BODY)

    @property
    def refused(self) -> bool:
        """Whether it is a promise that the request has not run."""
        return self.status == 503


@dataclass
class PausingPool:
    """Endpoints of one service that serve each request unless they are silent.

    ``silent_after`` has the seconds for which an endpoint falls silent right after it
    sent an event, by the own segment of the request and the number of the event; 0 is
    the head.
    """

    harness: RouterHarness
    service: str = "pool"
    silent_after: dict[tuple[str, int], float] = field(default_factory=dict)
    endpoints: list[ScriptedEndpoint] = field(default_factory=list)

    async def start(self, count: int, **row: object) -> None:
        """Start so many endpoints."""
        for _ in range(count):
            name = f"{self.service}-{len(self.endpoints)}"
            self.endpoints.append(
                await self.harness.start_endpoint(
                    name, self.handle, self.service, **{**ROW, **row}
                )
            )

    async def handle(self, received: ReceivedRequest) -> None:
        """Respond to a request."""
        if received.header("path") is None:
            await anyio.sleep(SERVICE_TIME_S)
            await received.answer(body=BODY)
            return
        own = (received.header("segments") or "").split()[-1]
        first = int(received.header("resume-after") or 0) + 1
        await anyio.sleep(PREFILL_S)
        await received.begin()
        self._pause(received, own, 0)
        for number in range(first, EVENTS + 1):
            await received.event(number)
            self._pause(received, own, number)
            await anyio.sleep(EVENT_GAP_S)
        await received.end()

    def _pause(self, received: ReceivedRequest, own: str, number: int) -> None:
        """Let the endpoint fall silent after an event, once for each entry."""
        seconds = self.silent_after.pop((own, number), 0.0)
        if seconds:
            received.endpoint.fall_silent(seconds)

    async def pause_in_turn(self, seconds: float, interval_s: float) -> None:
        """Let one endpoint after the other fall silent, until cancelled."""
        while True:
            for endpoint in list(self.endpoints):
                endpoint.fall_silent(seconds)
                await anyio.sleep(interval_s)


@dataclass
class PausingLoad:
    """Requests to a route, and what their callers got."""

    harness: RouterHarness
    target: str
    outcomes: list[Outcome] = field(default_factory=list)

    async def request(self, segments: str, own: str, router: int = 0) -> Outcome:
        """Send one request with these segments and one of its own."""
        sent_at = time.monotonic()
        headers = {"segments": f"{segments} {own}".strip()}
        status, body = 0, b""
        try:
            response = await self.harness.request(
                self.target,
                method="POST",
                headers=headers,
                router=router,
                request_id=own,
            )
            status, body = response.head.status, response.body
        except TransportError:
            pass
        outcome = Outcome(
            sent_at, time.monotonic() - sent_at, status, body.count(b"data:"), body
        )
        self.outcomes.append(outcome)
        return outcome

    async def run(
        self, rng: random.Random, rate: float, seconds: float, segments: list[str]
    ) -> None:
        """Send requests at random times, each with one of the shared segments."""
        deadline = time.monotonic() + seconds
        async with anyio.create_task_group() as group:
            number = 0
            while time.monotonic() < deadline:
                number += 1
                router = rng.randrange(len(self.harness.routers))
                segment = rng.choice(segments)
                own = f"{self.target.strip('/')}-{number}"
                group.start_soon(self.request, segment, own, router)
                await anyio.sleep(rng.expovariate(rate))

    def count(self, kind: str) -> int:
        """Return how many outcomes are ``whole``, ``refused`` or ``cut``."""
        if kind == "cut":
            return sum(item.status == 0 for item in self.outcomes)
        return sum(getattr(item, kind) for item in self.outcomes)


__all__ = [
    "BODY",
    "EVENTS",
    "Outcome",
    "PausingLoad",
    "PausingPool",
]
