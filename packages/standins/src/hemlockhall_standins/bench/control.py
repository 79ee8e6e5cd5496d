"""Measures CPU time, link traffic and memory of the control plane.

A deployment without requests runs with several numbers of endpoints; the slope of
each figure over the number of peers is the cost of a peer. The memory of a large
document is measured in the deployment with the fewest peers.
"""

from __future__ import annotations

import hashlib
import os
import time
from dataclasses import dataclass
from pathlib import Path

from hemlockhall_standins.bench.report import print_result
from hemlockhall_standins.deployment import LAYERS, Deployment, EndpointSpec

PEER_COUNTS = (8, 16, 32, 64)
SETTLE_S = 3.0
WINDOW_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class ResourceUsage:
    """Resource usage of a process; ``core_percent`` is its share of one core."""

    peers: int
    core_percent: float
    bytes_per_s: float
    batches_per_s: float
    resident_mb: float


def read_cpu_time_s(pid: int) -> float:
    """Return the CPU time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(deployment: Deployment, names: list[str]) -> dict[str, ResourceUsage]:
    """Return the resource usage of processes over one common window."""
    before = {name: take_snapshot(deployment, name) for name in names}
    time.sleep(WINDOW_S)
    usages = {}
    for name in names:
        first, last = before[name], take_snapshot(deployment, name)
        elapsed_s = last.at - first.at
        usages[name] = ResourceUsage(
            last.peers,
            round(100 * (last.cpu_time_s - first.cpu_time_s) / elapsed_s, 2),
            round((last.bytes - first.bytes) / elapsed_s),
            round((last.batches - first.batches) / elapsed_s, 1),
            round(resident_mb(deployment.pid(name)), 1),
        )
    return usages


@dataclass
class Snapshot:
    """Counters of a process at the monotonic time ``at``."""

    at: float
    peers: int
    cpu_time_s: float
    bytes: float
    batches: float


def take_snapshot(deployment: Deployment, name: str) -> Snapshot:
    """Return the current counters of a process."""
    status = deployment.status(name)
    counters = status["counters"]
    total = {"link_bytes": 0.0, "link_batches": 0.0}
    for key, value in counters.items():
        for kind in total:
            if key.startswith(f"hemlockhall_{kind}_total"):
                total[kind] += value
    return Snapshot(
        time.monotonic(),
        len(status["peers"]),
        read_cpu_time_s(deployment.pid(name)),
        total["link_bytes"],
        total["link_batches"],
    )


def customers_text(count: int) -> str:
    """Return the TOML sections of ``count`` customers."""
    lines = []
    for number in range(count):
        hashed = hashlib.sha256(f"bench-{number}".encode()).hexdigest()
        lines.append(f'[customers.c{number}]\nkey_sha256 = "{hashed}"')
        lines.append('priority = "normal"\nrate_per_s = 5\nconcurrency = 5')
    return "\n".join(lines) + "\n"


def document_memory(deployment: Deployment, count: int) -> float:
    """Return the resident MB of an entry host after adding ``count`` customers."""
    text = deployment.document() + customers_text(count)
    completed = deployment.submit(text, "--base", "1")
    if completed.returncode:
        raise RuntimeError(completed.stderr)
    while deployment.status("entry-1")["version"] < 2:
        time.sleep(0.1)
    return round(resident_mb(deployment.pid("entry-1")), 1)


def idle_engines(count: int) -> list[EndpointSpec]:
    """Return ``count`` endpoints, which get no requests."""
    return [EndpointSpec(f"e{n}", "tall", "attica-1", 0, LAYERS) for n in range(count)]


def listing_latency_s(deployment: Deployment) -> float:
    """Return the median latency of a model listing, the cheapest request."""
    times = []
    with deployment.client() as client:
        for _ in range(50):
            started = time.monotonic()
            client.get("/v1/models").raise_for_status()
            times.append(time.monotonic() - started)
    return sorted(times)[len(times) // 2]


@dataclass
class Result:
    """Printed result; ``..._a_peer`` is the increase for one more peer."""

    entry: list[ResourceUsage]
    side: ResourceUsage
    entry_core_percent_a_peer: float
    entry_bytes_a_peer: float
    entry_mb_a_peer: float
    entry_mb_at_4100_customers: float
    entry_mb_before: float
    listing_s: float


def main() -> None:
    """Measure with increasing numbers of endpoints."""
    usages: list[ResourceUsage] = []
    for count in PEER_COUNTS:
        with Deployment(idle_engines(count), entry_count=1) as deployment:
            time.sleep(SETTLE_S)
            usage = measure(deployment, ["entry-1", "e0"])
            usages.append(usage["entry-1"])
            side = usage["e0"]
            print(f"{count} endpoints: {usage}", flush=True)
            if count == PEER_COUNTS[0]:
                listing = listing_latency_s(deployment)
                before = resident_mb(deployment.pid("entry-1"))
                large = document_memory(deployment, 4100)
    few, many = usages[0], usages[-1]
    span = many.peers - few.peers
    print_result(
        Result(
            usages,
            side,
            round((many.core_percent - few.core_percent) / span, 4),
            round((many.bytes_per_s - few.bytes_per_s) / span, 1),
            round((many.resident_mb - few.resident_mb) / span, 3),
            large,
            round(before, 1),
            round(listing, 4),
        )
    )


if __name__ == "__main__":
    main()
