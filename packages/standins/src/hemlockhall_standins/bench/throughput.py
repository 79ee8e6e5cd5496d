"""Compares the token rate with its upper bound, at the size of one user.

About 40 engines of four speeds in three data centres hold a model in three stages.
The bound is the maximum flow through the stages: an engine of speed ``s`` runs
``s / (TOKEN_LAYER_S * layers)`` positions per second, and links between data centres
add delay but no limit. Callers send requests without pauses, which saturates the
engines. The naive variant chooses the chains of endpoints round robin.
"""

from __future__ import annotations

import random
import sys
import time
from dataclasses import dataclass

import anyio
import httpx

from hemlockhall_standins.bench.report import print_result
from hemlockhall_standins.caller import (
    COMPLETIONS_PATH,
    completion_body,
    read_response_async,
)
from hemlockhall_standins.deployment import (
    API_KEY,
    LAYERS,
    Deployment,
    EndpointSpec,
)

STAGES = 3
SPEEDS = {"small": 1.0, "medium": 1.5, "large": 2.0, "huge": 4.0}
DATA_CENTRES = ("attica-1", "attica-2", "attica-3")
ENGINE_COUNT = 39
STEP_S = 0.005
TOKEN_LAYER_S = 0.04
CALLERS = 220
MIN_TOKENS, MAX_TOKENS = 12, 36
PROMPT = "Notice"
SEED = 5
WARM_UP_S = 8.0
WINDOW_S = 20.0


def make_engines() -> list[EndpointSpec]:
    """Return engines of four kinds, spread over the stages and data centres."""
    specs = []
    kinds = sorted(SPEEDS)
    for number in range(ENGINE_COUNT):
        stage = number % STAGES
        first_layer, end_layer = (
            stage * LAYERS // STAGES,
            (stage + 1) * LAYERS // STAGES,
        )
        row = number // STAGES
        kind = kinds[row % len(kinds)]
        data_centre = DATA_CENTRES[row % len(DATA_CENTRES)]
        name = f"s{stage + 1}-{row + 1}"
        specs.append(
            EndpointSpec(
                name, kind, data_centre, first_layer, end_layer, speed=SPEEDS[kind]
            )
        )
    return specs


def max_tokens_per_s(specs: list[EndpointSpec]) -> float:
    """Return the upper bound of the rate of output tokens.

    The prompt is one token long, so that a response of ``n`` tokens takes ``n``
    positions at every stage. The fixed time of a step is ignored.
    """
    by_stage: dict[int, float] = {}
    for spec in specs:
        rate = spec.speed / (TOKEN_LAYER_S * (spec.end_layer - spec.first_layer))
        by_stage[spec.first_layer] = by_stage.get(spec.first_layer, 0.0) + rate
    return min(by_stage.values())


@dataclass
class LoadGenerator:
    """Callers that send the next request as soon as a response is complete."""

    deployment: Deployment
    tokens: int = 0
    failed: int = 0

    async def run(self) -> float:
        """Return the tokens per second in the window after the warm-up."""
        headers = {"authorization": f"Bearer {API_KEY}"}
        limits = httpx.Limits(max_connections=None)
        async with httpx.AsyncClient(
            headers=headers, timeout=60, limits=limits
        ) as client:
            async with anyio.create_task_group() as group:
                for number in range(CALLERS):
                    group.start_soon(self._caller, client, number)
                await anyio.sleep(WARM_UP_S)
                start, before = time.monotonic(), self.tokens
                await anyio.sleep(WINDOW_S)
                rate = (self.tokens - before) / (time.monotonic() - start)
                group.cancel_scope.cancel()
        return rate

    async def _caller(self, client: httpx.AsyncClient, number: int) -> None:
        urls = list(self.deployment.urls.values())
        url = urls[number % len(urls)]
        rng = random.Random(SEED + number)
        while True:
            tokens = rng.randint(MIN_TOKENS, MAX_TOKENS)
            body = completion_body(PROMPT, tokens)
            result = await read_response_async(
                client, url, body, self._count, path=COMPLETIONS_PATH
            )
            if not result.done:
                self.failed += 1

    def _count(self) -> None:
        self.tokens += 1


@dataclass
class Result:
    """Printed result; rates are in tokens per second."""

    bound: float
    ours: float
    naive: float
    ours_over_bound: float
    ours_over_naive: float
    failed: int


def main(rounds: int = 2) -> None:
    """Measure both variants in turn; print the means of their rates."""
    specs = make_engines()
    rates: dict[str, list[float]] = {"weighted": [], "round_robin": []}
    failed = 0
    for _ in range(rounds):
        for chooser in rates:
            deployment = Deployment(
                specs,
                step_s=STEP_S,
                token_layer_s=TOKEN_LAYER_S,
                chooser=chooser,
                step_timeout_s=30.0,
            )
            with deployment:
                load = LoadGenerator(deployment)
                rates[chooser].append(anyio.run(load.run))
                failed += load.failed
            print(f"{chooser}: {rates[chooser][-1]:.1f}", flush=True)
    ours = sum(rates["weighted"]) / rounds
    naive = sum(rates["round_robin"]) / rounds
    bound = max_tokens_per_s(specs)
    print_result(
        Result(
            round(bound, 1),
            round(ours, 1),
            round(naive, 1),
            round(ours / bound, 3),
            round(ours / naive, 3),
            failed,
        )
    )


if __name__ == "__main__":
    main(*(int(arg) for arg in sys.argv[1:]))
