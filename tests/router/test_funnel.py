"""Most new connections at one of the hosts, over whole routers in virtual time."""

from __future__ import annotations

import random
import time
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import WAIT_S, caller_text, router_harness
from hemlockhall_standins.router.load import CallerLoad
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk", priority=1),
    RouteRow("/draft/", "stream", "pool", resumable=True, priority=2),
]
ROWS = {
    "/read/": {"service": "desk"},
    "/draft/": {"service": "pool", "layers": (0, 8), "accelerator": "big"},
}
# Fraction of the requests served at the first attempt that must stay, from
# ``CONTACT_S`` on.
SERVED_FRACTION = 0.75
CONTACT_S = 3.0
EVEN_S = 5.0
FUNNEL_S = 5.0
# Weight of the host with most connections against that of each other one.
WEIGHT = 30.0
# Fraction of the responses that fail, so that requests need retries.
FAILING = 0.1


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def serve(received: ReceivedRequest) -> None:
    await anyio.sleep(0.05)
    if random.random() < FAILING:
        await received.reset()
    elif received.head.path.startswith(b"/read/"):
        await received.answer(200, b"whole")
    else:
        await received.begin()
        for number in (1, 2):
            await received.event(number)
            await anyio.sleep(0.05)
        await received.end()


async def answer(received: ReceivedRequest) -> None:
    await received.answer(200, b"whole")


def served(load: CallerLoad, since: float, until: float) -> float:
    """Return the fraction of the requests sent in a span of time that were served."""
    total = good = 0
    for at, response in load.sent_responses:
        if not since <= at < until:
            continue
        total += 1
        good += response is not None and response.head.status == 200
    assert total
    return good / total


@pytest.mark.parametrize("hosts", [4, 12])
@pytest.mark.parametrize("target", ROWS)
class TestOneHost:
    async def test_it_serves_nearly_as_many_as_all_did(
        self, target: str, hosts: int
    ) -> None:
        """Guards against a host that refuses requests when it gets those of all, as its
        shares of retries and of room follow its earlier load."""
        random.seed(hosts)
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, hosts):
                await harness.add_router(data_centre=f"place-{number % 3}")
            for name in ("d1", "d2", "d3", "d4"):
                await harness.start_endpoint(name, serve, **ROWS[target])
            load = CallerLoad(harness, target, 60.0)
            load.start(harness.group)
            began_at = time.monotonic()
            await anyio.sleep(EVEN_S)
            funnel_at = time.monotonic()
            load.weights = [WEIGHT, *[1.0] * (hosts - 1)]
            await anyio.sleep(FUNNEL_S)
            load.weights = [*[1.0] * (hosts - 1), WEIGHT]
            await anyio.sleep(FUNNEL_S)
            ended_at = time.monotonic()
            await anyio.sleep(2.0)
        before = served(load, began_at + CONTACT_S, funnel_at)
        after = served(load, funnel_at + CONTACT_S, ended_at)
        assert after >= SERVED_FRACTION * before


class TestClosedUnread:
    async def test_open_connections_are_served_on(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers on open connections that lose a request as the host
        has too many new ones."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", answer, **ROWS["/read/"])
            conn = await harness.connect()
            deadline = time.monotonic() + WAIT_S
            await conn.send(caller_text("/read/"), deadline)
            await conn.read_response(deadline)
            intake = harness.routers[0].intake
            monkeypatch.setattr(intake, "accepts", lambda: False)
            with pytest.raises(TransportError):
                await harness.request("/read/")
            assert len(endpoint.received) == 1
            await conn.send(caller_text("/read/"), deadline)
            response = await conn.read_response(deadline)
            await conn.close()
        assert response.head.status == 200
        assert len(endpoint.received) == 2
