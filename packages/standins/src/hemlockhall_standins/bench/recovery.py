"""Measures the time from a failure to the next token of the interrupted stream.

In the normal variant ("ours") a closed connection that is not renewed and a reported
engine failure end the attempt, and surviving stages keep their KV cache and outputs.
In the naive variant the loss of a stage is detected by missed heartbeats only, and
nothing is retained. Both run at the same time, with alternating trials.
"""

from __future__ import annotations

import signal
import sys
import time
from dataclasses import asdict, dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import httpx

from hemlockhall_standins.bench.report import TrialSummary, print_result, summarize
from hemlockhall_standins.caller import StreamResult, chat_body, read_stream
from hemlockhall_standins.deployment import (
    LAYERS,
    Deployment,
    EndpointSpec,
)

if TYPE_CHECKING:
    from collections.abc import Callable

STREAM_TOKENS = 120
FAULT_AT_TOKEN = 15
HEARTBEAT_S = 0.3
DATA_CENTRES = ("attica-1", "attica-2", "attica-3")
# Longer than any trial: a closed connection alone never counts as a loss.
NEVER_S = 60.0


def three_data_centres() -> list[EndpointSpec]:
    """Return a pipeline of three stages in each of three data centres."""
    specs = []
    for row, data_centre in zip("abc", DATA_CENTRES, strict=True):
        for stage in range(3):
            first_layer, end_layer = stage * LAYERS // 3, (stage + 1) * LAYERS // 3
            specs.append(
                EndpointSpec(
                    f"{row}{stage + 1}", "tall", data_centre, first_layer, end_layer
                )
            )
    return specs


def endpoint_in_use(deployment: Deployment, stage: int) -> str:
    """Return the endpoint of a stage that has the request in flight."""
    for row in "abc":
        name = f"{row}{stage}"
        if deployment.is_running(name) and deployment.status(name)["in_flight"]:
            return name
    raise RuntimeError(f"no endpoint of stage {stage} has the request")


@dataclass
class Trial:
    """One stream with a fault, and the actions that restore the deployment."""

    deployment: Deployment
    number: int
    failed_at: float = 0.0
    restore_actions: list[Callable[[], None]] = field(default_factory=list)

    @property
    def stage(self) -> int:
        """Stage that the fault hits; trials go through the stages in turn."""
        return 1 + self.number % 3

    def stage_kill(self) -> None:
        """Kill the side process of a stage."""
        name = endpoint_in_use(self.deployment, self.stage)
        self.deployment.kill(name)
        self.restore_actions.append(lambda: self.deployment.start_side(name))

    def engine_kill(self) -> None:
        """Kill the engine of a stage."""
        name = endpoint_in_use(self.deployment, self.stage)
        self.deployment.kill(f"{name}/back-end")
        self.restore_actions.append(lambda: self.deployment.start_back_end(name))

    def side_freeze(self) -> None:
        """Freeze the side process of a stage."""
        name = endpoint_in_use(self.deployment, self.stage)
        self.deployment.send_signal(name, signal.SIGSTOP)
        self.restore_actions.append(
            lambda: self.deployment.send_signal(name, signal.SIGCONT)
        )

    def entry_kill(self) -> None:
        """Kill the entry host of the caller."""
        self.deployment.kill("entry-1")
        self.restore_actions.append(lambda: self.deployment.start_entry("entry-1"))

    def centre_lost(self) -> None:
        """Kill the engines and side processes of the data centre in use."""
        row = endpoint_in_use(self.deployment, self.stage)[0]
        for name in [n for n in self.deployment.endpoints if n.startswith(row)]:
            self.deployment.kill(name)
            self.deployment.kill(f"{name}/back-end")
            self.restore_actions.append(partial(self.deployment.start_back_end, name))
            self.restore_actions.append(partial(self.deployment.start_side, name))

    def run(self, fault: str) -> float | None:
        """Return the seconds to the next token, None if the request was lost."""

        def act() -> None:
            self.failed_at = time.monotonic()
            getattr(self, fault)()

        result = self._stream({FAULT_AT_TOKEN: act})
        gap = _longest_gap_s(result, self.failed_at) if result.done else None
        for restore in self.restore_actions:
            restore()
        for name in self.deployment.urls:
            self.deployment.wait_ready(name)
        return gap

    def _stream(self, actions: dict[int, Callable[[], None]]) -> StreamResult:
        body = chat_body("Recital notice for Sunday", STREAM_TOKENS, stream=True)
        try:
            with self.deployment.client("entry-1") as client:
                return read_stream(client, body, actions)
        except httpx.HTTPError:
            # The entry host of the caller is lost with its stream, so that the
            # caller retries at another one at once.
            with self.deployment.client("entry-2") as client:
                return read_stream(client, body)


def _longest_gap_s(result: StreamResult, failed_at: float) -> float:
    after = [arrival for arrival in result.token_times if arrival > failed_at]
    times = [failed_at, *after]
    return max(b - a for a, b in zip(times, after, strict=False))


FAULTS = ("stage_kill", "engine_kill", "side_freeze", "entry_kill", "centre_lost")


@dataclass
class Result:
    """Printed result."""

    next_token_median_s: float
    next_token_worst_s: float
    naive_next_token_median_s: float
    heartbeat_s: float
    median_over_heartbeat: float
    lost: int
    naive_lost: int
    by_fault: dict[str, dict[str, object]]


def main(trials: int = 10) -> None:
    """Run the trials of every fault, alternating both variants."""
    specs = three_data_centres()
    ours = Deployment(specs, leave_notice_s=0.0)
    naive = Deployment(specs, leave_notice_s=0.0, refused_s=NEVER_S, retain_bytes=0)
    by_fault: dict[str, dict[str, object]] = {}
    lost = {"ours": 0, "naive": 0}
    stage_times: dict[str, TrialSummary] = {}
    with ours, naive:
        for fault in FAULTS:
            times: dict[str, list[float]] = {"ours": [], "naive": []}
            for number in range(trials):
                for kind, deployment in (("ours", ours), ("naive", naive)):
                    gap = Trial(deployment, number).run(fault)
                    if gap is None:
                        lost[kind] += 1
                    else:
                        times[kind].append(gap)
            summaries = {kind: summarize(values) for kind, values in times.items()}
            by_fault[fault] = {k: asdict(s) for k, s in summaries.items()}
            print(f"{fault}: {by_fault[fault]}", flush=True)
            if fault == "stage_kill":
                stage_times = summaries
    worst = max(float(f["ours"]["worst_s"]) for f in by_fault.values())  # type: ignore[index]
    median = stage_times["ours"].median_s
    print_result(
        Result(
            median,
            worst,
            stage_times["naive"].median_s,
            HEARTBEAT_S,
            round(median / HEARTBEAT_S, 2),
            lost["ours"],
            lost["naive"],
            by_fault,
        )
    )


if __name__ == "__main__":
    main(*(int(arg) for arg in sys.argv[1:]))
