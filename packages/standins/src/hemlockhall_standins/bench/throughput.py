"""Tokens a second against the bound, at the size of one of the users.

Forty drafting servers of four kinds in three data centres hold a model in
three stages. The bound is the maximum flow through the stages: an engine of
speed ``s`` runs ``s / (TOKEN_LAYER * layers)`` positions a second, and links
between data centres add delay, not a limit. Callers ask without a pause, so
the engines are always wanted. The naive version takes the chains in turn.
"""

from __future__ import annotations

import random
import sys
import time
from dataclasses import dataclass

import anyio
import httpx

from hemlockhall_standins.bench.report import last_line
from hemlockhall_standins.caller import COMPLETIONS, complete, read_stream_async
from hemlockhall_standins.deployment import (
    API_KEY,
    LAYERS,
    Deployment,
    EndpointPlan,
)

STAGES = 3
SPEEDS = {"small": 1.0, "medium": 1.5, "large": 2.0, "huge": 4.0}
CENTRES = ("attica-1", "attica-2", "attica-3")
SERVERS = 39
STEP = 0.005
TOKEN_LAYER = 0.04
CALLERS = 220
MIN_TOKENS, MAX_TOKENS = 12, 36
PROMPT = "Notice"
SEED = 5
WARM_UP = 8.0
WINDOW = 20.0


def forty_servers() -> list[EndpointPlan]:
    """Return engines of four kinds, spread over stages and data centres."""
    plans = []
    kinds = sorted(SPEEDS)
    for number in range(SERVERS):
        stage = number % STAGES
        first, last = stage * LAYERS // STAGES, (stage + 1) * LAYERS // STAGES
        row = number // STAGES
        kind = kinds[row % len(kinds)]
        centre = CENTRES[row % len(CENTRES)]
        name = f"s{stage + 1}-{row + 1}"
        plans.append(EndpointPlan(name, kind, centre, first, last, speed=SPEEDS[kind]))
    return plans


def bound(plans: list[EndpointPlan]) -> float:
    """Return the highest possible rate of answer tokens a second.

    The prompt is one token long, so an answer of ``n`` tokens takes ``n``
    positions at every stage. The fixed cost of a step is left out.
    """
    by_stage: dict[int, float] = {}
    for plan in plans:
        rate = plan.speed / (TOKEN_LAYER * (plan.last - plan.first))
        by_stage[plan.first] = by_stage.get(plan.first, 0.0) + rate
    return min(by_stage.values())


@dataclass
class Load:
    """Callers that ask again as soon as they are answered."""

    deployment: Deployment
    tokens: int = 0
    failed: int = 0

    async def run(self) -> float:
        """Return the tokens a second in the window after the warm-up."""
        headers = {"authorization": f"Bearer {API_KEY}"}
        limits = httpx.Limits(max_connections=None)
        async with httpx.AsyncClient(
            headers=headers, timeout=60, limits=limits
        ) as client:
            async with anyio.create_task_group() as group:
                for number in range(CALLERS):
                    group.start_soon(self._caller, client, number)
                await anyio.sleep(WARM_UP)
                start, before = time.monotonic(), self.tokens
                await anyio.sleep(WINDOW)
                rate = (self.tokens - before) / (time.monotonic() - start)
                group.cancel_scope.cancel()
        return rate

    async def _caller(self, client: httpx.AsyncClient, number: int) -> None:
        urls = list(self.deployment.urls.values())
        url = urls[number % len(urls)]
        draw = random.Random(SEED + number)
        while True:
            tokens = draw.randint(MIN_TOKENS, MAX_TOKENS)
            body = complete(PROMPT, tokens)
            streamed = await read_stream_async(
                client, url, body, self._count, path=COMPLETIONS
            )
            if not streamed.done:
                self.failed += 1

    def _count(self) -> None:
        self.tokens += 1


@dataclass
class Result:
    """What the bench prints; rates in tokens a second."""

    bound: float
    ours: float
    naive: float
    ours_over_bound: float
    ours_over_naive: float
    failed: int


def main(rounds: int = 2) -> None:
    """Measure ours and the naive version in turn; print the medians."""
    plans = forty_servers()
    rates: dict[str, list[float]] = {"weighted": [], "round_robin": []}
    failed = 0
    for _ in range(rounds):
        for chooser in rates:
            deployment = Deployment(
                plans,
                step_s=STEP,
                token_layer_s=TOKEN_LAYER,
                chooser=chooser,
                step_timeout_s=30.0,
            )
            with deployment:
                load = Load(deployment)
                rates[chooser].append(anyio.run(load.run))
                failed += load.failed
            print(f"{chooser}: {rates[chooser][-1]:.1f}", flush=True)
    ours = sum(rates["weighted"]) / rounds
    naive = sum(rates["round_robin"]) / rounds
    limit = bound(plans)
    last_line(
        Result(
            round(limit, 1),
            round(ours, 1),
            round(naive, 1),
            round(ours / limit, 3),
            round(ours / naive, 3),
            failed,
        )
    )


if __name__ == "__main__":
    main(*(int(arg) for arg in sys.argv[1:]))
