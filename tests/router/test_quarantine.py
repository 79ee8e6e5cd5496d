"""Prompts that crash endpoints, over whole routers in virtual time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count, cycle
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_standins.router.crashing import EVENTS, CrashingPool
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=10.0)]
# Requests with a prompt that crashes endpoints that may reach endpoints, over all
# hosts, later than ``CONTACT_S`` after the fifth crash.
ALLOWED = 3
CRASHES = 5
# Crashes under a segment after which it is quarantined at the earliest.
CRASHES_FOR_VERDICT = 3
CONTACT_S = 3.0
START_S = 2.0
# Seconds within which a request is refused without a wait.
AT_ONCE_S = 0.02
# Fraction of the sound requests that are served at least, of those served before.
SERVED_FRACTION = 0.5
# Sound requests with a segment of the fatal ones must be served from this time after
# the fifth crash, or the last if there are fewer, until the end of the test.
RARE_AFTER_S = 2 * CONTACT_S
RARE_UNTIL_S = 16.0
RARE_RATE = 3.0


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

    async def test_two_such_prompts_at_once_are_both_found(self) -> None:
        random.seed(7)
        async with router_harness(ROUTES) as harness:
            await harness.add_router()
            pool = CrashingPool(harness, fatal={"bad", "worse"})
            await pool.start(8)
            sound = PromptLoad(harness, 20.0, lambda: ["base"], "sound")
            sound.start()
            for segment in ("bad", "worse"):
                prompt = ["base", segment]
                PromptLoad(harness, 2.0, lambda p=prompt: p, segment).start()
            await anyio.sleep(12.0)
        for segment in ("bad", "worse"):
            assert pool.arrivals_after_crash(segment, CRASHES, CONTACT_S) <= ALLOWED

    async def test_one_that_comes_seldom_and_after_a_pause_is_refused(self) -> None:
        """Guards against a verdict that is never reached, or forgotten, as such
        requests come seconds apart or stop for a while."""
        random.seed(9)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            await harness.add_router(data_centre="place-1")
            pool = CrashingPool(harness, fatal={"bad"})
            await pool.start(4)
            sound = PromptLoad(harness, 5.0, lambda: ["base"], "sound")
            sound.start()
            bad = PromptLoad(harness, 0.0, lambda: ["base", "bad"], "bad")
            for number in range(6):
                await bad.request(number % 2)
                await anyio.sleep(4.0)
            await anyio.sleep(20.0)
            crashes = len(pool.crashes)
            for number in range(6):
                assert await bad.request(number % 2) == 503
        assert crashes == len(pool.crashes) <= CRASHES

    async def test_it_is_refused_after_all_hosts_restarted(self) -> None:
        """Guards against hosts that all lose their memory and let such prompts crash
        endpoints again."""
        random.seed(11)
        async with router_harness(ROUTES) as harness:
            await harness.add_router()
            pool = CrashingPool(harness, fatal={"bad"})
            await pool.start(6)
            PromptLoad(harness, 10.0, lambda: ["base"], "sound").start()
            bad = PromptLoad(harness, 3.0, lambda: ["base", "bad"], "bad")
            bad.start()
            await anyio.sleep(6.0)
            bad.rate = 0.0
            await anyio.sleep(2.0)
            crashes = len(pool.crashes)
            for index in range(2):
                harness.kill(index)
            await anyio.sleep(1.0)
            for index in range(2):
                await harness.restart(index)
            await anyio.sleep(CONTACT_S)
            for number in range(6):
                assert await bad.request(number % 2) == 503
        assert len(pool.crashes) == crashes > 0

    @pytest.mark.parametrize("responds", [True, False])
    async def test_one_request_does_not_end_one_endpoint_after_the_other(
        self, responds: bool
    ) -> None:
        """Guards against a request that is repeated until no endpoint is left."""
        async with router_harness(ROUTES) as harness:
            pool = CrashingPool(harness, fatal={"bad"}, responds=responds)
            await pool.start(8)
            bad = PromptLoad(harness, 0.0, lambda: ["base", "bad"], "bad")
            # It may have run, so the response promises nothing.
            assert await bad.request() == 502
        assert len(pool.crashes) <= CRASHES - 1

    async def test_a_request_at_silent_endpoints_is_repeated(self) -> None:
        """Guards against requests that are given up as if endpoints had crashed under
        them, while these are only slow."""
        route = RouteRow(
            "/draft/", "stream", "pool", tries=6, resumable=True, timeout_s=30.0
        )
        # The model has no such accelerator, so the planner sends no orders.
        row = {"service": "pool", "layers": (0, 8), "accelerator": "unplanned"}
        arrived: list[str] = []

        async def serve(received: ReceivedRequest) -> None:
            arrived.append(received.endpoint.name)
            await received.begin()
            if len(set(arrived)) <= 3:
                await received.reader.wait_disconnect()
                return
            await received.event(1)
            await received.end()

        async with router_harness([route]) as harness:
            for number in range(6):
                await harness.start_endpoint(f"p{number}", serve, **row)
            headers = {"segments": "base new own"}
            response = await harness.request("/draft/", headers=headers)
        assert response.head.status == 200
        assert len(set(arrived)) == 4


@dataclass
class RareCase:
    """Requests that crash endpoints, and sound ones that share a segment with them."""

    fatal: list[str]
    sound: list[str]
    hosts: int = 4
    fatal_rate: float = 2.0
    responds: bool = True
    seed: int = 1
    restart: bool = False


RARE_CASES = {
    "first": RareCase(["rare", "bad"], ["rare"]),
    "first-seldom": RareCase(["rare", "bad"], ["rare"], fatal_rate=0.6, seed=2),
    "first-waiting": RareCase(["rare", "bad"], ["rare"], responds=False, seed=3),
    "first-16-hosts": RareCase(["rare", "bad"], ["rare"], hosts=16, seed=4),
    "last": RareCase(["bad", "rare"], ["rare"], seed=5),
    "several": RareCase(["rare", "a", "bad", "b"], ["rare", "a", "b"], seed=6),
    "first-restart": RareCase(["rare", "bad"], ["rare"], restart=True, seed=7),
}


class TestSharedSegments:
    @pytest.mark.parametrize("name", RARE_CASES)
    async def test_sound_requests_with_a_rare_segment_of_fatal_ones_are_served(
        self, name: str
    ) -> None:
        """Guards against a sound segment that is refused for ten minutes as all fatal
        requests had it too, and no sound request had shown it to be harmless."""
        case = RARE_CASES[name]
        random.seed(case.seed)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, case.hosts):
                await harness.add_router(data_centre=f"place-{number % 3}")
            pool = CrashingPool(harness, fatal={"bad"}, restart_s=(2.0, 5.0))
            pool.responds = case.responds
            await pool.start(16)
            PromptLoad(harness, 10.0, lambda: ["base"], "sound").start()
            rare = PromptLoad(harness, 0.0, lambda: case.sound, "rare")
            rare.start()
            await anyio.sleep(START_S)
            bad = PromptLoad(harness, case.fatal_rate, lambda: case.fatal, "bad")
            bad.start()
            await harness.wait_until(
                lambda: len(pool.crashes_under.get("bad", ())) >= CRASHES_FOR_VERDICT
            )
            await anyio.sleep(CONTACT_S)
            if case.restart:
                harness.kill(0)
                await anyio.sleep(0.5)
                await harness.restart(0)
            rare.rate = RARE_RATE
            await anyio.sleep(RARE_UNTIL_S - CONTACT_S)
            now = time.monotonic()
        crashes = pool.crashes_under["bad"]
        fifth = crashes[min(CRASHES, len(crashes)) - 1]
        assert rare.served(fifth + RARE_AFTER_S, now - 1.0) >= SERVED_FRACTION
        assert pool.arrivals_after_crash("bad", CRASHES, CONTACT_S) <= ALLOWED

    @pytest.mark.parametrize("responds", [True, False])
    async def test_a_first_segment_that_crashes_endpoints_is_found(
        self, responds: bool
    ) -> None:
        """Guards against a fatal segment that is only refused together with another
        one that the first requests with it had, too."""
        random.seed(23)
        others = cycle(["same"] * 4 + ["x", "y", "z"])
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            pool = CrashingPool(harness, fatal={"bad"}, restart_s=(2.0, 5.0))
            pool.responds = responds
            await pool.start(16)
            PromptLoad(harness, 10.0, lambda: ["base"], "sound").start()
            await anyio.sleep(START_S)
            bad = PromptLoad(harness, 1.0, lambda: ["bad", next(others)], "bad")
            bad.start()
            await anyio.sleep(20.0)
        assert pool.arrivals_after_crash("bad", CRASHES, CONTACT_S) <= ALLOWED


class TestCallers:
    async def test_they_are_refused_at_once_and_told_when_to_come_back(self) -> None:
        """Guards against callers that wait for a request which is known to fail, or
        come back at once."""
        random.seed(13)
        async with router_harness(ROUTES) as harness:
            pool = CrashingPool(harness, fatal={"bad"})
            await pool.start(8)
            PromptLoad(harness, 10.0, lambda: ["base"], "sound").start()
            bad = PromptLoad(harness, 0.0, lambda: ["base", "bad"], "bad")
            for _ in range(CRASHES):
                await bad.request()
                await anyio.sleep(1.0)
            bad.refusals.clear()
            arrived = len(pool.arrivals["bad"])
            for _ in range(20):
                assert await bad.request() == 503
            hold_s = harness.routers[0].quarantine.cfg.hold_s
        assert len(pool.arrivals["bad"]) == arrived
        for took_s, retry_after_s, body in bad.refusals:
            assert took_s < AT_ONCE_S
            assert hold_s / 2 < retry_after_s < 2 * hold_s
            assert b"prompt" in body


class TestSoundPrompts:
    async def test_none_is_refused_as_endpoints_crash_for_another_reason(self) -> None:
        """Guards against prompts that are blamed for endpoints which lose their power:
        one segment is in all prompts, others in a few."""
        random.seed(17)
        documents = count()

        def prompt() -> list[str]:
            return ["base", f"doc-{next(documents) // 4}"]

        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 3):
                await harness.add_router(data_centre=f"place-{number}")
            pool = CrashingPool(harness)
            await pool.start(8)
            sound = PromptLoad(harness, 30.0, prompt, "sound")
            sound.start()
            await anyio.sleep(START_S)
            for _ in range(20):
                await anyio.sleep(0.4)
                # One endpoint, or several at the same moment.
                for endpoint in random.sample(
                    pool.endpoints, min(len(pool.endpoints), random.choice([1, 1, 4]))
                ):
                    pool.crash(endpoint)
            await anyio.sleep(2.0)
            quarantines = [router.quarantine for router in harness.routers]
        assert [q.quarantined() for q in quarantines] == [[], [], []]
        assert not any(b"prompt" in body for _, _, body in sound.refusals)

    async def test_none_is_refused_after_all_endpoints_crashed(self) -> None:
        """Guards against a service that stays refused after an outage, as its prompts
        were at endpoints when these crashed and none was served in between."""
        random.seed(19)
        async with router_harness(ROUTES) as harness:
            pool = CrashingPool(harness)
            await pool.start(6)
            sound = PromptLoad(harness, 30.0, lambda: ["base"], "sound")
            sound.start()
            await anyio.sleep(START_S)
            for _ in range(10):
                for endpoint in list(pool.endpoints):
                    pool.crash(endpoint)
                    await anyio.sleep(0.02)
                await anyio.sleep(0.15)
            await anyio.sleep(3.0)
            now = time.monotonic()
            await anyio.sleep(3.0)
        assert not any(b"prompt" in body for _, _, body in sound.refusals)
        assert sound.served(now, now + 1.0) > SERVED_FRACTION
