"""Segments under which endpoints crash after some events, or not each time, over whole
routers."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_router.policy.spectrum import MIN_CRASHED
from hemlockhall_standins.router.crashing import CrashingPool
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

HOSTS = 4
ENDPOINTS = 16
# Crashes after which all hosts refuse such requests, the time after the last of them in
# which they learn of it, and requests that may still come later.
CRASHES = 5
CONTACT_S = 3.0
MAX_ARRIVALS = 3
SERVED_FRACTION = 0.9
CALM_S = 3.0
FATAL_S = 15.0
SOUND_RATE = 20.0
FATAL_RATE = 2.0
STREAM_EVENTS = 12
VARIANTS = ["one", "two", "three"]
SEEDS = [1, 2]
RESUMABLE = "/draft/"
ROUTES = [
    RouteRow(RESUMABLE, "stream", "pool", resumable=True, tries=4, timeout_s=20.0),
    RouteRow("/single/", "stream", "pool", timeout_s=20.0),
]


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock, 0.0)}


@dataclass
class Load:
    """Sound requests, of which each has one of three segments, and fatal ones."""

    harness: RouterHarness
    target: str
    sound: list[tuple[float, bool]] = field(default_factory=list)
    sent: int = 0

    async def run(self, rate: float, *segments: str) -> None:
        while True:
            await anyio.sleep(random.expovariate(rate))
            prompt = ["base", random.choice(VARIANTS), *segments]  # noqa: S311
            self.harness.group.start_soon(self._request, prompt, not segments)

    async def _request(self, prompt: list[str], sound: bool) -> None:
        self.sent += 1
        sent_at = time.monotonic()
        own = f"own-{self.sent}"
        response = None
        try:
            response = await self.harness.request(
                self.target,
                method="POST",
                body=own.encode(),
                headers={"segments": " ".join([*prompt, own])},
                router=random.randrange(HOSTS),  # noqa: S311
                request_id=own,
            )
        except TransportError:
            response = None
        if sound:
            status = response.head.status if response is not None else 0
            self.sound.append((sent_at, status == 200))

    def served(self, since: float = 0.0) -> float:
        """Return the fraction of the sound requests sent since then that was served."""
        found = [served for sent_at, served in self.sound if sent_at >= since]
        return sum(found) / len(found)


async def play(target: str, seed: int, **pool_fields: Any) -> tuple[CrashingPool, Load]:
    """Play callers before endpoints that crash under the segment ``bad``."""
    random.seed(seed)
    async with router_harness(ROUTES, data_centre="place-0") as harness:
        for number in range(1, HOSTS):
            await harness.add_router(data_centre=f"place-{number % 3}")
        pool = CrashingPool(
            harness,
            fatal={"bad"},
            event_count=STREAM_EVENTS,
            restart_s=(2.0, 4.0),
            **pool_fields,
        )
        await pool.start(ENDPOINTS)
        load = Load(harness, target)
        harness.group.start_soon(load.run, SOUND_RATE)
        await anyio.sleep(CALM_S)
        harness.group.start_soon(load.run, FATAL_RATE, "bad")
        deadline = time.monotonic() + FATAL_S
        while time.monotonic() < deadline:
            await anyio.sleep(0.5)
    return pool, load


def check(pool: CrashingPool, load: Load) -> None:
    """Check that the segment is refused in time and that sound requests are served.

    What was in flight at the first crashes is lost if it may not be resumed.
    """
    crashes = pool.crashes_under["bad"]
    assert len(crashes) >= MIN_CRASHED
    assert pool.arrivals_after_crash("bad", CRASHES, CONTACT_S) <= MAX_ARRIVALS
    since = 0.0
    if load.target != RESUMABLE:
        since = crashes[:CRASHES][-1] + CONTACT_S
    assert load.served(since) >= SERVED_FRACTION


class TestAfterEvents:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("target", ["/draft/", "/single/"])
    @pytest.mark.parametrize("prefill_s", [0.1, 1.2])
    @pytest.mark.parametrize("events", [3, 8])
    async def test_a_segment_is_refused(
        self, events: int, prefill_s: float, target: str, seed: int
    ) -> None:
        """Guards against a response that gets some events and clears the segment under
        which its endpoint crashes a moment later."""
        check(*await play(target, seed, crash_after_events=events, prefill_s=prefill_s))


class TestNotEachTime:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("responds", [True, False])
    @pytest.mark.parametrize("probability", [0.5, 0.3])
    async def test_a_segment_is_refused(
        self, probability: float, responds: bool, seed: int
    ) -> None:
        """Guards against a segment that each request which is served clears of all
        crashes before."""
        check(
            *await play(
                "/draft/", seed, responds=responds, fatal_probability=probability
            )
        )


class TestOtherCauses:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(("together", "pause_s"), [(1, 0.8), (5, 4.0)])
    async def test_no_segment_is_refused(
        self, together: int, pause_s: float, seed: int
    ) -> None:
        """Guards against blame for a segment when endpoints crash whatever they serve,
        one by one or with their racks: some request at each of them has it."""
        random.seed(seed)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, HOSTS):
                await harness.add_router(data_centre=f"place-{number % 3}")
            pool = CrashingPool(
                harness, event_count=STREAM_EVENTS, restart_s=(2.0, 4.0)
            )
            await pool.start(ENDPOINTS)
            load = Load(harness, RESUMABLE)
            harness.group.start_soon(load.run, SOUND_RATE)
            harness.group.start_soon(load.run, FATAL_RATE, "rare")
            await anyio.sleep(CALM_S)
            deadline = time.monotonic() + FATAL_S
            while time.monotonic() < deadline:
                count = min(together, len(pool.endpoints))
                for endpoint in random.sample(pool.endpoints, count):
                    pool.crash(endpoint)
                await anyio.sleep(random.expovariate(1 / pause_s))  # noqa: S311
            verdicts = []
            for router in harness.routers:
                verdicts += router.quarantine.quarantined()
        assert len(pool.crashes) >= CRASHES
        assert not verdicts
