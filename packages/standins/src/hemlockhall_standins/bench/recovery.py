"""Time from a failure to the next token of the interrupted stream.

Ours: a closed connection without a successor and a reported engine failure
end the attempt, and surviving stages keep their KV cache and outputs. Naive:
the loss of a stage is seen by its missed heartbeats only, and nothing is
retained. Both run side by side; trials alternate.
"""

from __future__ import annotations

import signal
import sys
import time
from dataclasses import asdict, dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import httpx

from hemlockhall_standins.bench.report import Spread, last_line, spread
from hemlockhall_standins.caller import Streamed, ask, read_stream
from hemlockhall_standins.deployment import (
    LAYERS,
    Deployment,
    EndpointPlan,
)

if TYPE_CHECKING:
    from collections.abc import Callable

TOKENS = 120
FAULT_AT = 15
HEARTBEAT = 0.3
CENTRES = ("attica-1", "attica-2", "attica-3")
NEVER = 60.0


def three_centres() -> list[EndpointPlan]:
    """Return a pipeline of three stages in each of three data centres."""
    plans = []
    for row, centre in zip("abc", CENTRES, strict=True):
        for stage in range(3):
            first, last = stage * LAYERS // 3, (stage + 1) * LAYERS // 3
            plans.append(EndpointPlan(f"{row}{stage + 1}", "tall", centre, first, last))
    return plans


def used(deployment: Deployment, stage: int) -> str:
    """Return the endpoint of a stage that has the request."""
    for row in "abc":
        name = f"{row}{stage}"
        if deployment.running(name) and deployment.status(name)["in_flight"]:
            return name
    raise RuntimeError(f"no endpoint of stage {stage} has the request")


@dataclass
class Trial:
    """One stream with a failure in it, and how the deployment is mended."""

    deployment: Deployment
    number: int
    failed_at: float = 0.0
    mend: list[Callable[[], None]] = field(default_factory=list)

    @property
    def stage(self) -> int:
        """The stage that this trial hits; trials take them in turn."""
        return 1 + self.number % 3

    def stage_kill(self) -> None:
        """Kill the side process of a stage."""
        name = used(self.deployment, self.stage)
        self.deployment.kill(name)
        self.mend.append(lambda: self.deployment.start_side(name))

    def engine_kill(self) -> None:
        """Kill the engine of a stage."""
        name = used(self.deployment, self.stage)
        self.deployment.kill(f"{name}/back-end")
        self.mend.append(lambda: self.deployment.start_back_end(name))

    def side_freeze(self) -> None:
        """Freeze the side process of a stage."""
        name = used(self.deployment, self.stage)
        self.deployment.signal(name, signal.SIGSTOP)
        self.mend.append(lambda: self.deployment.signal(name, signal.SIGCONT))

    def entry_kill(self) -> None:
        """Kill the entry host that the caller talks to."""
        self.deployment.kill("entry-1")
        self.mend.append(lambda: self.deployment.start_entry("entry-1"))

    def centre_lost(self) -> None:
        """Kill the engines and side processes of a whole data centre."""
        row = used(self.deployment, self.stage)[0]
        for name in [n for n in self.deployment.nodes if n.startswith(row)]:
            self.deployment.kill(name)
            self.deployment.kill(f"{name}/back-end")
            self.mend.append(partial(self.deployment.start_back_end, name))
            self.mend.append(partial(self.deployment.start_side, name))

    def run(self, fault: str) -> float | None:
        """Return the time to the next token, or None if the request was lost."""

        def act() -> None:
            self.failed_at = time.monotonic()
            getattr(self, fault)()

        streamed = self._stream({FAULT_AT: act})
        gap = _longest_gap(streamed, self.failed_at) if streamed.done else None
        for mend in self.mend:
            mend()
        for name in self.deployment.urls:
            self.deployment.wait_ready(name)
        return gap

    def _stream(self, at: dict[int, Callable[[], None]]) -> Streamed:
        body = ask("Recital notice for Sunday", TOKENS, stream=True)
        try:
            with self.deployment.client("entry-1") as client:
                return read_stream(client, body, at)
        except httpx.HTTPError:
            # The host of this caller is gone, and its stream with it; the
            # caller asks at once at another one.
            with self.deployment.client("entry-2") as client:
                return read_stream(client, body)


def _longest_gap(streamed: Streamed, failed_at: float) -> float:
    after = [arrival for arrival in streamed.arrivals if arrival > failed_at]
    times = [failed_at, *after]
    return max(b - a for a, b in zip(times, after, strict=False))


FAULTS = ("stage_kill", "engine_kill", "side_freeze", "entry_kill", "centre_lost")


@dataclass
class Result:
    """What the bench prints."""

    next_token_median_s: float
    next_token_worst_s: float
    naive_next_token_median_s: float
    heartbeat_s: float
    median_over_heartbeat: float
    lost: int
    naive_lost: int
    by_fault: dict[str, dict[str, object]]


def main(trials: int = 10) -> None:
    """Run the trials of every fault, ours and naive in turn."""
    plans = three_centres()
    ours = Deployment(plans, leave_notice_s=0.0)
    naive = Deployment(plans, leave_notice_s=0.0, refused_s=NEVER, retain_bytes=0)
    by_fault: dict[str, dict[str, object]] = {}
    lost = {"ours": 0, "naive": 0}
    stage_times: dict[str, Spread] = {}
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
            spreads = {kind: spread(values) for kind, values in times.items()}
            by_fault[fault] = {k: asdict(s) for k, s in spreads.items()}
            print(f"{fault}: {by_fault[fault]}", flush=True)
            if fault == "stage_kill":
                stage_times = spreads
    worst = max(float(f["ours"]["worst_s"]) for f in by_fault.values())  # type: ignore[index]
    median = stage_times["ours"].median_s
    last_line(
        Result(
            median,
            worst,
            stage_times["naive"].median_s,
            HEARTBEAT,
            round(median / HEARTBEAT, 2),
            lost["ours"],
            lost["naive"],
            by_fault,
        )
    )


if __name__ == "__main__":
    main(*(int(arg) for arg in sys.argv[1:]))
