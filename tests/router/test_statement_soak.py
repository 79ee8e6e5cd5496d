"""Endpoints that reject, ask for rest, leave, restart and break off at random moments.

``HEMLOCKHALL_SEEDS`` sets the number of seeds.
"""

from __future__ import annotations

import os
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.router.load import REST_NOTICE_S, CallerLoad
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

if TYPE_CHECKING:
    from hemlockhall_standins.router.endpoint import ReceivedRequest, ScriptedEndpoint

pytestmark = pytest.mark.anyio

SEEDS = range(int(os.environ.get("HEMLOCKHALL_SEEDS", "2")))
ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
ROWS: dict[str, dict[str, Any]] = {
    "/read/": {"service": "desk"},
    "/draft/": {"service": "pool", "layers": (0, 8), "accelerator": "big"},
}
DURATION_S = 15.0
# Time in which all hosts know of an endpoint's new incarnation.
RESTART_S = 2.0
DRAIN_S = 2.0
# Requests of one host that an endpoint may get in one time of rest.
ALLOWED = 2


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


@dataclass
class Troubled:
    """One endpoint whose behaviour changes at random.

    ``arrivals``, ``rests`` and ``leaving`` hold a time and the request's id, ``rests``
    also the seconds. ``restarts`` are the times at which it began anew.
    """

    harness: RouterHarness
    endpoint: ScriptedEndpoint
    target: str
    mode: str = "accept"
    born: int = 1
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    rests: list[tuple[float, float, str]] = field(default_factory=list)
    leaving: list[tuple[float, str]] = field(default_factory=list)
    restarts: list[float] = field(default_factory=list)

    async def handle(self, received: ReceivedRequest) -> None:
        request_id = received.header("request-id") or ""
        self.arrivals.append((time.monotonic(), request_id))
        mode, born = self.mode, self.born
        await anyio.sleep(random.uniform(0.0, 0.15))
        if self.born != born:
            # A process that has ended does not respond.
            await received.reset()
            return
        if mode == "reset":
            # No response is passed on, so no host learns that the endpoint leaves.
            await received.reset()
            return
        if self.endpoint.leaving:
            self.leaving.append((time.monotonic(), request_id))
        if mode == "rest":
            seconds = random.choice((0.7, 1.5, 3.0))
            self.rests.append((time.monotonic(), seconds, request_id))
            await received.refuse(headers=f"rest-s: {seconds}\r\n")
        elif mode == "bad rest":
            value = random.choice(("soon", "-1", "nan", ""))
            await received.refuse(headers=f"rest-s: {value}\r\n")
        elif mode == "full":
            await received.refuse()
        elif self.target == "/read/":
            await received.answer(200, b"")
        else:
            await received.begin()
            await received.event(1)
            await anyio.sleep(random.uniform(0.0, 0.5))
            await received.end()

    def arrived_at(self, request_id: str, responded_at: float) -> float:
        """Return when the request arrived to which a response was sent.

        A host that was killed in between does not get the response.
        """
        return max(
            at
            for at, other in self.arrivals
            if other == request_id and at <= responded_at
        )

    async def run(self) -> None:
        row = {k: v for k, v in ROWS[self.target].items() if k != "service"}
        service = ROWS[self.target]["service"]
        while True:
            await anyio.sleep(random.uniform(0.3, 2.0))
            steps = ["mode", "mode", "mode", "mode", "entry", "restart", "leave"]
            if self.endpoint.leaving:
                steps += ["entry", "restart", "restart"]
            step = random.choice(steps)
            if step == "mode":
                modes = ("accept", "accept", "rest", "rest", "full", "reset")
                self.mode = random.choice((*modes, "bad rest"))
            elif step == "leave":
                self.endpoint.leaving = True
            elif step == "entry":
                orders = random.randrange(100)
                self.harness.register(
                    self.endpoint, service, born=self.born, orders=orders, **row
                )
            else:
                self.born += 1
                self.endpoint.leaving, self.mode = False, "accept"
                self.restarts.append(time.monotonic())
                self.endpoint.state.born = self.born
                self.harness.register(self.endpoint, service, born=self.born, **row)
                await anyio.sleep(RESTART_S)


def in_rest(
    troubled: Troubled, load: CallerLoad, kills: list[tuple[float, int]]
) -> list[int]:
    """Return for each rest how many requests of its host arrived in it."""
    counts = []
    for asked_at, seconds, request_id in troubled.rests:
        host, end = load.routers[request_id], asked_at + seconds
        ended = [at for at in troubled.restarts if at > asked_at]
        sent_at = troubled.arrived_at(request_id, asked_at)
        ended += [at for at, killed in kills if killed == host and at > sent_at]
        end = min([end, *ended])
        counts.append(
            sum(
                load.routers[other] == host and asked_at + REST_NOTICE_S < at < end
                for at, other in troubled.arrivals
            )
        )
    return counts


def after_leaving(
    troubled: Troubled, load: CallerLoad, kills: list[tuple[float, int]]
) -> list[float]:
    """Return the times of requests that a leaving endpoint must not get any more."""
    found = []
    for stated_at, request_id in troubled.leaving:
        host = load.routers[request_id]
        ended = [at for at in troubled.restarts if at > stated_at]
        sent_at = troubled.arrived_at(request_id, stated_at)
        ended += [at for at, killed in kills if killed == host and at > sent_at]
        end = min([float("inf"), *ended])
        for at, other in troubled.arrivals:
            if load.routers[other] == host and stated_at + DRAIN_S < at < end:
                found.append(at)
    return found


@pytest.mark.parametrize("target", ROWS)
@pytest.mark.parametrize("seed", SEEDS)
class TestSoak:
    async def test_statements_are_obeyed(self, seed: int, target: str) -> None:
        """Guards against statements that get lost where several come together with
        failures, entries that change, restarts, partitions and killed hosts."""
        random.seed(seed)
        kills: list[tuple[float, int]] = []
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 3):
                await harness.add_router(data_centre=f"place-{number}")
            all_troubled = []
            for name in ("d1", "d2"):
                endpoint = await harness.start_endpoint(name, None, **ROWS[target])
                troubled = Troubled(harness, endpoint, target)
                endpoint.handler = troubled.handle
                all_troubled.append(troubled)
            load = CallerLoad(harness, target, 30.0)
            load.start(harness.group)
            for troubled in all_troubled:
                harness.group.start_soon(troubled.run)
            await anyio.sleep(DURATION_S / 3)
            cut = random.randrange(3)
            harness.parted = lambda sender, receiver: cut in (sender, receiver)
            await anyio.sleep(DURATION_S / 3)
            harness.parted = lambda sender, receiver: False
            killed = random.randrange(3)
            kills.append((time.monotonic(), killed))
            harness.kill(killed)
            await anyio.sleep(1.0)
            await harness.restart(killed)
            await anyio.sleep(DURATION_S / 3)
        for troubled in all_troubled:
            assert max(in_rest(troubled, load, kills), default=0) <= ALLOWED
            assert after_leaving(troubled, load, kills) == []
        for response in load.responses:
            if response.head.status == 503:
                assert response.head.header(b"retry-after") is not None
        assert sum(r.head.status == 200 for r in load.responses) > 0
