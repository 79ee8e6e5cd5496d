"""Compares requests through an entry host with direct calls of the engine.

One engine holds all layers, and its steps take no simulated time. A request for one
token is sent to the engine directly and through an entry host, in turn.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpx

from hemlockhall_standins.bench.report import print_result
from hemlockhall_standins.caller import CHAT_PATH, chat_body, prompt_text
from hemlockhall_standins.deployment import (
    API_KEY,
    LAYERS,
    Deployment,
    EndpointSpec,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CALLERS = 16
WINDOW_S = 4.0
ROUNDS = 2
LATENCY_SAMPLES = 100


@dataclass
class LatencyAndRate:
    """Median latency without other load, and request rate under load."""

    median_s: float = 0.0
    requests_per_s: float = 0.0


async def median_latency_s(call: Callable[[], Awaitable[None]]) -> float:
    """Return the median latency of a call without other load."""
    times = []
    for _ in range(LATENCY_SAMPLES):
        started = time.monotonic()
        await call()
        times.append(time.monotonic() - started)
    return sorted(times)[LATENCY_SAMPLES // 2]


async def rate_per_s(call: Callable[[], Awaitable[None]]) -> float:
    """Return the rate of calls by ``CALLERS`` callers without pauses."""
    count = 0

    async def caller() -> None:
        nonlocal count
        while True:
            await call()
            count += 1

    with anyio.move_on_after(WINDOW_S):
        async with anyio.create_task_group() as group:
            for _ in range(CALLERS):
                group.start_soon(caller)
    return count / WINDOW_S


async def measure(deployment: Deployment) -> tuple[LatencyAndRate, LatencyAndRate]:
    """Return the best rounds of the direct calls and of those via an entry host."""
    direct, via_entry = LatencyAndRate(1e9), LatencyAndRate(1e9)
    engine = f"http://{deployment.endpoints['a1'].back_end}/v1/steps"
    entry = deployment.urls["entry-1"] + CHAT_PATH
    headers = {"authorization": f"Bearer {API_KEY}"}
    number = 0
    async with httpx.AsyncClient(headers=headers, timeout=30) as client:

        async def call_engine() -> None:
            nonlocal number
            number += 1
            response = await client.post(engine, json={"items": [step_item(number)]})
            response.raise_for_status()

        async def call_entry() -> None:
            body = chat_body("Notice", 1, stream=False)
            response = await client.post(entry, json=body)
            response.raise_for_status()

        for _ in range(ROUNDS):
            for result, call in ((direct, call_engine), (via_entry, call_entry)):
                result.median_s = min(result.median_s, await median_latency_s(call))
                result.requests_per_s = max(
                    result.requests_per_s, await rate_per_s(call)
                )
    return direct, via_entry


def step_item(number: int) -> dict[str, object]:
    """Return an item for the engine that yields one token."""
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
    """Printed result."""

    direct_median_s: float
    entry_median_s: float
    added_s: float
    direct_requests_per_s: float
    entry_requests_per_s: float


def main() -> None:
    """Measure both in one deployment."""
    specs = [EndpointSpec("a1", "tall", "attica-1", 0, LAYERS)]
    with Deployment(
        specs, entry_count=1, step_s=0.0, rate_per_s=1_000_000
    ) as deployment:
        direct, via_entry = anyio.run(measure, deployment)
    print_result(
        Result(
            round(direct.median_s, 4),
            round(via_entry.median_s, 4),
            round(via_entry.median_s - direct.median_s, 4),
            round(direct.requests_per_s, 1),
            round(via_entry.requests_per_s, 1),
        )
    )


if __name__ == "__main__":
    main()
