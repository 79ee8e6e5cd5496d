"""What control costs: processor time, bytes and memory of idle processes.

A deployment without requests runs at several numbers of endpoints; the slope
of each figure over the number of peers is what a peer costs. Large documents
are measured in a process of their own, as instances.
"""

from __future__ import annotations

import hashlib
import os
import time
from dataclasses import dataclass
from pathlib import Path

from hemlockhall_standins.bench.report import last_line
from hemlockhall_standins.deployment import LAYERS, Deployment, EndpointPlan

PEERS = (8, 16, 32, 64)
SETTLE = 3.0
WINDOW = 10.0
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass
class Cost:
    """What one process costs: share of a core, bytes a second, MB."""

    peers: int
    core_percent: float
    bytes_per_s: float
    batches_per_s: float
    resident_mb: float


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(deployment: Deployment, names: list[str]) -> dict[str, Cost]:
    """Return the cost of processes over one window, all at once."""
    before = {name: snapshot(deployment, name) for name in names}
    time.sleep(WINDOW)
    costs = {}
    for name in names:
        first, last = before[name], snapshot(deployment, name)
        seconds = last.at - first.at
        costs[name] = Cost(
            last.peers,
            round(100 * (last.processor - first.processor) / seconds, 2),
            round((last.bytes - first.bytes) / seconds),
            round((last.batches - first.batches) / seconds, 1),
            round(resident_mb(deployment.pid(name)), 1),
        )
    return costs


@dataclass
class Snapshot:
    """Counters of a process at one moment."""

    at: float
    peers: int
    processor: float
    bytes: float
    batches: float


def snapshot(deployment: Deployment, name: str) -> Snapshot:
    """Return the counters of a process now."""
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
        processor_seconds(deployment.pid(name)),
        total["link_bytes"],
        total["link_batches"],
    )


def customers(count: int) -> str:
    """Return the text of so many customers."""
    lines = []
    for number in range(count):
        hashed = hashlib.sha256(f"bench-{number}".encode()).hexdigest()
        lines.append(f'[customers.c{number}]\nkey_sha256 = "{hashed}"')
        lines.append('priority = "normal"\nrate_per_s = 5\nconcurrency = 5')
    return "\n".join(lines) + "\n"


def document_memory(deployment: Deployment, count: int) -> float:
    """Return the MB that an entry host has with so many customers more."""
    text = deployment.document() + customers(count)
    ran = deployment.submit(text, "--base", "1")
    if ran.returncode:
        raise RuntimeError(ran.stderr)
    while deployment.status("entry-1")["version"] < 2:
        time.sleep(0.1)
    return round(resident_mb(deployment.pid("entry-1")), 1)


def engines(count: int) -> list[EndpointPlan]:
    """Return endpoints; none of them gets a request."""
    return [EndpointPlan(f"e{n}", "tall", "attica-1", 0, LAYERS) for n in range(count)]


def latency(deployment: Deployment) -> float:
    """Return the median seconds of a listing, the shortest way in and out."""
    times = []
    with deployment.client() as client:
        for _ in range(50):
            started = time.monotonic()
            client.get("/v1/models").raise_for_status()
            times.append(time.monotonic() - started)
    return sorted(times)[len(times) // 2]


@dataclass
class Result:
    """What the bench prints; slopes are for one more peer of an entry host."""

    entry: list[Cost]
    side: Cost
    entry_core_percent_a_peer: float
    entry_bytes_a_peer: float
    entry_mb_a_peer: float
    entry_mb_at_4100_customers: float
    entry_mb_before: float
    listing_s: float


def main() -> None:
    """Measure at rising numbers of endpoints."""
    costs: list[Cost] = []
    for count in PEERS:
        with Deployment(engines(count), entries=1) as deployment:
            time.sleep(SETTLE)
            found = measure(deployment, ["entry-1", "e0"])
            costs.append(found["entry-1"])
            side = found["e0"]
            print(f"{count} endpoints: {found}", flush=True)
            if count == PEERS[0]:
                listing = latency(deployment)
                before = resident_mb(deployment.pid("entry-1"))
                large = document_memory(deployment, 4100)
    few, many = costs[0], costs[-1]
    span = many.peers - few.peers
    last_line(
        Result(
            costs,
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
