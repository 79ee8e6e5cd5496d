"""Two of a zone's three routers get SIGTERM, and cut streams that they accepted."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from model_server import ModelServer, engine  # noqa: E402
from standins import (  # noqa: E402
    BOUNDS,
    Record,
    Router,
    Store,
    encode_request,
    free_port,
    loopback_host,
    new_id,
    read_chunk,
    read_head,
    run_script,
    wait_ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTERS = 3
# ``roll_term``: machines that get SIGTERM at a time.
AT_ONCE = 2
RESTART_S = 0.5
# A stream of the sheet: 84 events of 2 tokens; pauses of up to 200 ms are on time.
EVENTS = 84
# The servers are as fast as the configuration says: a step takes 15 (``pace`` of a t4)
# times STEP_MS, 24 ms, and an event holds two tokens.
STEP_MS = 1.6
PAUSE_S = 0.05
# From this time after a SIGTERM on, no work that is cut is excused.
EXCUSED_S = 3.0
PER_S = 12.0
BEFORE_S = 3.0
AFTER_S = 13.0


class Platform:
    """Checks readiness once a second and chooses the router of a new connection."""

    def __init__(self, routers: list[Router], record: Record) -> None:
        self._routers, self._record = routers, record
        self._misses = dict.fromkeys([router.name for router in routers], 0)

    async def run(self, router: Router) -> None:
        """Check one router until cancelled."""
        while True:
            before = self._misses[router.name]
            ready = await router.is_ready()
            self._misses[router.name] = 0 if ready else before + 1
            if (before < 2) != (self._misses[router.name] < 2):
                state = "in" if ready else "out of"
                self._record.write(f"{router.name} is {state} rotation")
            await asyncio.sleep(1.0)

    def choose(self) -> Router:
        """Return the router for a new connection, as the page on the ingress says."""
        rotation = [r for r in self._routers if self._misses[r.name] < 2]
        # With fewer than half of a zone's nodes in rotation, it uses all of them.
        if len(rotation) * 2 < len(self._routers):
            rotation = self._routers
        return random.choice(rotation)


class Traffic:
    """Streams of clients, and how each ended."""

    def __init__(self, platform: Platform, record: Record) -> None:
        self._platform, self._record = platform, record
        self.sent: dict[str, tuple[str, float]] = {}
        self.ends: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, length_s: float) -> None:
        """Send requests for some time, then wait for the answers."""
        until = time.monotonic() + length_s
        while time.monotonic() < until:
            task = asyncio.create_task(self._request(self._platform.choose()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.wait_for(asyncio.gather(*self._tasks), 20.0)

    async def _request(self, router: Router) -> None:
        attempt = new_id()
        headers = {
            "X-Hemlockhall-Attempt-Id": attempt,
            "X-Hemlockhall-Model": "daka510000",
            "X-Hemlockhall-Token-Counts": f"760,{2 * EVENTS}",
            "X-Hemlockhall-Prompt-Prefix": f"5c1e07a2:40,{attempt}:720",
            "X-Hemlockhall-Deadline-Ms": "20000",
            "X-Api-Key": "n2ctnfzs989anu6wsjnb",
        }
        data = encode_request(
            "POST", "/lohu930/2f", "ficu95.example", headers, b"x" * 800
        )
        try:
            reader, writer = await asyncio.open_connection(*router.front)
        except OSError:
            self.ends[attempt] = "no connection"
            return
        writer.write(data)
        self.sent[attempt] = (router.name, time.monotonic())
        self._record.write(f"{attempt} is sent to {router.name}")
        self.ends[attempt] = await self._answer(reader)
        self._record.write(f"{attempt} ends: {self.ends[attempt]}")
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> str:
        head = await read_head(reader)
        if head is None:
            return "closed without an answer"
        if head.status != 200:
            return str(head.status)
        events = 0
        try:
            while chunk := await read_chunk(reader):
                events += chunk.count(b"\n\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return f"cut off after {events} of {EVENTS} events"
        return "whole" if events == EVENTS else f"{events} events, as if whole"


def configuration() -> bytes:
    """Return the configuration: one route of streams."""
    route = {
        "name": "r-draft",
        "host": "ficu95.example",
        "prefix": "/lohu930/",
        "kind": "streaming",
        "timeoutMs": 20_000,
        "latencyGoalMs": 500,
        "priority": 1,
        "service": "hemlock-pool",
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 200,
    }
    tenant = {"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}
    service = {
        "name": "hemlock-pool",
        "healthPath": "/healthz",
        "maxConns": 1128,
        "engine": engine(8, STEP_MS),
    }
    body = {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": {},
        "tenants": [tenant],
    }
    return json.dumps(body).encode()


async def restart(router: Router, record: Record, stopped: dict[str, float]) -> None:
    """Stop a router with SIGTERM, as the platform does, and start it again."""
    router.signal(signal.SIGTERM)
    stopped[router.name] = time.monotonic()
    record.write(f"{router.name} gets SIGTERM")
    until = time.monotonic() + BOUNDS["graceS"]
    while router.running and time.monotonic() < until:
        await asyncio.sleep(0.01)
    record.write(f"{router.name} {'still runs' if router.running else 'has ended'}")
    if router.running:
        router.signal(signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    router.start()


async def main() -> int:
    """Return 1 if the rule was broken, 0 if it held."""
    record = Record(FOLDER, "record.txt")
    host = loopback_host()
    store = Store()
    await store.start(host)
    await store.put("op", "config", configuration())
    servers = []
    for number in range(3):
        server = ModelServer(
            f"i-{number}", "hemlock-pool", "t4", store, record, EVENTS, PAUSE_S
        )
        servers.append(server)
        await server.start(host, free_port(host))
    routers: list[Router] = []
    tasks: list[asyncio.Task[None]] = []
    stopped: dict[str, float] = {}
    try:
        for number in range(1, ROUTERS + 1):
            seeds = [router.listen["control"] for router in routers]
            routers.append(Router(f"front-{number}", "z-a", store.address, seeds))
            routers[-1].start()
        if not await wait_ready(routers):
            return 2
        # All servers are to hold their layers.
        await asyncio.sleep(6.0)
        platform = Platform(routers, record)
        tasks = [asyncio.create_task(platform.run(router)) for router in routers]
        traffic = Traffic(platform, record)
        sending = asyncio.create_task(traffic.run(BEFORE_S + AFTER_S))
        await asyncio.sleep(BEFORE_S)
        if TROUBLE:
            for router in routers[:AT_ONCE]:
                tasks.append(asyncio.create_task(restart(router, record, stopped)))
        await sending
    finally:
        for task in tasks:
            task.cancel()
        for router in routers:
            router.stop()
        store.stop()
    return judge(servers, traffic, stopped, record)


def judge(
    servers: list[ModelServer],
    traffic: Traffic,
    stopped: dict[str, float],
    record: Record,
) -> int:
    """Write the result; return the exit code."""
    ran = {attempt for server in servers for attempt in server.runs}
    lost = excused = 0
    for attempt, (router, sent_at) in traffic.sent.items():
        end = traffic.ends[attempt]
        if attempt not in ran or not end.startswith(("cut off", "closed")):
            continue
        after_s = sent_at - stopped.get(router, float("inf"))
        if after_s <= EXCUSED_S:
            excused += 1
            continue
        lost += 1
        record.write(f"lost: {attempt}, sent {after_s:.2f} s after the SIGTERM: {end}")
    whole = sum(end == "whole" for end in traffic.ends.values())
    refused = sum(end == "503" for end in traffic.ends.values())
    lines = [
        f"{len(traffic.ends)} requests: {whole} whole, {refused} answered 503, "
        f"{excused} cut off that were sent in the first {EXCUSED_S:.0f} s after a "
        f"SIGTERM (excused), {lost} cut off that were sent later",
        "LOST is broken" if lost else "LOST holds",
    ]
    for line in lines:
        record.write(line)
        print(line)
    return 1 if lost else 0


if __name__ == "__main__":
    run_script(main)
