"""Prompts that crash endpoints, over whole routers in virtual time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_standins.router.crashing import EVENTS, CrashingPool
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=10.0)]
# Requests with a prompt that crashes endpoints that may reach endpoints, over all
# hosts, later than ``CONTACT_S`` after the fifth crash.
ALLOWED = 3
CRASHES = 5
CONTACT_S = 3.0
START_S = 2.0
# Fraction of the sound requests that are served at least, of those served before.
SERVED_FRACTION = 0.5


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


@dataclass
class PromptLoad:
    """Requests with prompts, ``rate`` a second, each at a random router.

    ``segments`` returns the shared segments of the next one. ``outcomes`` has the time
    at which each was sent, its status, 0 if the connection broke, and its events.
    """

    harness: RouterHarness
    rate: float
    segments: Callable[[], list[str]]
    label: str
    outcomes: list[tuple[float, int, int]] = field(default_factory=list)
    refusals: list[tuple[float, float, bytes]] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=count)

    def start(self) -> None:
        self.harness.group.start_soon(self._run)

    async def _run(self) -> None:
        while True:
            if self.rate <= 0:
                await anyio.sleep(0.1)
                continue
            await anyio.sleep(random.expovariate(self.rate))
            self.harness.group.start_soon(self.request)

    async def request(self, router: int | None = None) -> int:
        """Send one request; return the status of the response."""
        number = next(self._numbers)
        own = f"{self.label}-{number}"
        if router is None:
            router = random.randrange(len(self.harness.routers))  # noqa: S311
        sent_at = time.monotonic()
        headers = {"segments": " ".join([*self.segments(), own])}
        try:
            response = await self.harness.request(
                "/draft/", headers=headers, router=router, request_id=own
            )
        except TransportError:
            self.outcomes.append((sent_at, 0, 0))
            return 0
        status = response.head.status
        self.outcomes.append((sent_at, status, response.body.count(b"data:")))
        if status == 503:
            retry_after_s = float(response.head.header(b"retry-after") or b"nan")
            took_s = time.monotonic() - sent_at
            self.refusals.append((took_s, retry_after_s, response.body))
        return status

    def served(self, since: float, until: float) -> float:
        """Return the fraction served of the requests sent in a span of time."""
        whole = [
            status == 200 and events == EVENTS
            for sent_at, status, events in self.outcomes
            if since <= sent_at < until
        ]
        return sum(whole) / len(whole)


class TestBudget:
    @pytest.mark.parametrize("responds", [True, False])
    async def test_a_prompt_that_crashed_five_endpoints_is_sent_no_more(
        self, responds: bool
    ) -> None:
        """Guards against requests that crash endpoint after endpoint, as each host
        repeats them and no host knows of the crashes at the others."""
        random.seed(5)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            pool = CrashingPool(harness, fatal={"bad"}, responds=responds)
            await pool.start(8)
            sound = PromptLoad(harness, 30.0, lambda: ["base"], "sound")
            sound.start()
            await anyio.sleep(START_S)
            began_at = time.monotonic()
            bad = PromptLoad(harness, 3.0, lambda: ["base", "bad"], "bad")
            bad.start()
            await anyio.sleep(15.0)
            now = time.monotonic()
        assert pool.arrivals_after_crash("bad", CRASHES, CONTACT_S) <= ALLOWED
        before = sound.served(began_at - START_S, began_at)
        after = sound.served(began_at + 2 * CONTACT_S, now - 1.0)
        assert after >= SERVED_FRACTION * before
