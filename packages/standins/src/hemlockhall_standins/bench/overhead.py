"""What the way through an entry host adds to calling the engine directly.

One engine holds all layers and its steps take no simulated time. A request
for one token goes to the engine itself and through an entry host, in turn.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpx

from hemlockhall_standins.bench.report import last_line
from hemlockhall_standins.caller import CHAT, ask, prompt_text
from hemlockhall_standins.deployment import (
    API_KEY,
    LAYERS,
    Deployment,
    EndpointPlan,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CALLERS = 16
WINDOW = 4.0
ROUNDS = 2
ALONE = 100


@dataclass
class Way:
    """One way to get a token: latency alone, and rate under load."""

    median_s: float = 0.0
    requests_per_s: float = 0.0


async def median(call: Callable[[], Awaitable[None]]) -> float:
    """Return the median seconds of a call without other load."""
    times = []
    for _ in range(ALONE):
        started = time.monotonic()
        await call()
        times.append(time.monotonic() - started)
    return sorted(times)[ALONE // 2]


async def rate(call: Callable[[], Awaitable[None]]) -> float:
    """Return the calls a second of callers that call without a pause."""
    count = 0

    async def caller() -> None:
        nonlocal count
        while True:
            await call()
            count += 1

    with anyio.move_on_after(WINDOW):
        async with anyio.create_task_group() as group:
            for _ in range(CALLERS):
                group.start_soon(caller)
    return count / WINDOW


async def measure(deployment: Deployment) -> tuple[Way, Way]:
    """Return both ways, the best of the rounds of each."""
    direct, through = Way(1e9), Way(1e9)
    engine = f"http://{deployment.nodes['a1'].back_end}/v1/steps"
    entry = deployment.urls["entry-1"] + CHAT
    headers = {"authorization": f"Bearer {API_KEY}"}
    number = 0
    async with httpx.AsyncClient(headers=headers, timeout=30) as client:

        async def at_engine() -> None:
            nonlocal number
            number += 1
            response = await client.post(engine, json={"items": [item(number)]})
            response.raise_for_status()

        async def at_entry() -> None:
            body = ask("Notice", 1, stream=False)
            response = await client.post(entry, json=body)
            response.raise_for_status()

        for _ in range(ROUNDS):
            for way, call in ((direct, at_engine), (through, at_entry)):
                way.median_s = min(way.median_s, await median(call))
                way.requests_per_s = max(way.requests_per_s, await rate(call))
    return direct, through


def item(number: int) -> dict[str, object]:
    """Return the work of one token for the engine."""
    return {
        "request": f"direct-{number}",
        "attempt": 1,
        "position": 0,
        "rank": 1,
        "seed": 0,
        "max_tokens": 1,
        "adapter": "",
        "sample": True,
        "text": prompt_text("Notice"),
        "tokens": [],
    }


@dataclass
class Result:
    """What the bench prints."""

    direct_median_s: float
    entry_median_s: float
    added_s: float
    direct_requests_per_s: float
    entry_requests_per_s: float


def main() -> None:
    """Measure both ways in one deployment."""
    plans = [EndpointPlan("a1", "tall", "attica-1", 0, LAYERS)]
    with Deployment(plans, entries=1, step_s=0.0, rate=1_000_000) as deployment:
        direct, through = anyio.run(measure, deployment)
    last_line(
        Result(
            round(direct.median_s, 4),
            round(through.median_s, 4),
            round(through.median_s - direct.median_s, 4),
            round(direct.requests_per_s, 1),
            round(through.requests_per_s, 1),
        )
    )


if __name__ == "__main__":
    main()
