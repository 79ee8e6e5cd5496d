"""Half of the routers are killed at once, just before a server's entry is removed."""

from __future__ import annotations

import asyncio
import json
import sys
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as s  # noqa: E402

SERVICE = "listings-app"
ZONE = "attica-a"
ROUTERS = 4
# The restarted routers get the table from the store or from another router, whichever
# is first; the fault needs the former. The case ends with the first broken round.
ROUNDS = 4
# From the kill of the processes to their restart, and to the removal of the entry.
RESTART_S = 0.15
REMOVAL_S = 0.1
# For so long the server goes on after its entry was removed.
STAY_S = 10.0
DRAIN_S = s.BOUNDS["drainMs"] / 1000


def configuration() -> bytes:
    """Return the configuration: bookings and lookups at one plain service."""

    def route(name: str, kind: str, attempts: int) -> dict:
        return {
            "name": f"r-{name}",
            "host": s.HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 4000,
            "latencyGoalMs": 400,
            "priority": 2,
            "service": SERVICE,
            "maxAttempts": attempts,
            "public": False,
        }

    return json.dumps(
        {
            "version": 3,
            "routes": [
                route("book", "non_idempotent", 1),
                route("read", "idempotent", 2),
            ],
            "services": [
                {"name": SERVICE, "healthPath": s.HEALTH_PATH, "maxConns": 100}
            ],
            "limits": s.limits(),
            "tenants": s.tenants(),
        }
    ).encode()


async def traffic(client: s.Client, until: float) -> None:
    """Send five requests a second, three bookings for each two lookups."""
    number = 0
    tasks = []
    while time.monotonic() < until:
        call = ("POST", "/book/x") if number % 5 < 3 else ("GET", "/read/x")
        tasks.append(asyncio.create_task(client.send(*call)))
        number += 1
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)


async def start_server(deployment: s.Deployment, number: int) -> s.PlainServer:
    """Start a server, and return it."""
    name, address = f"i-{number}", deployment.new_address()
    server = s.PlainServer(name, SERVICE, ZONE, address, deployment.store)
    deployment.servers[name] = server
    await server.start()
    return server


async def play(deployment: s.Deployment, record: s.Record) -> bool:
    """Play up to ``ROUNDS`` rounds; return whether the rule held in all."""
    deployment.store.put("op", "config", configuration())
    servers = [await start_server(deployment, number) for number in range(3)]
    await deployment.start_routers([ZONE] * ROUTERS)
    await asyncio.sleep(4)
    until = time.monotonic() + ROUNDS * (STAY_S + 6)
    clients = [s.Client(record, r.name, r.front) for r in deployment.routers]
    tasks = [asyncio.create_task(traffic(client, until)) for client in clients]
    held = True
    for number in range(ROUNDS):
        await asyncio.sleep(3)
        held = await play_round(deployment, servers.pop(0), record)
        if not held:
            break
        servers.append(await start_server(deployment, 3 + number))
    for task in tasks:
        task.cancel()
    return held


async def play_round(
    deployment: s.Deployment, leaving: s.PlainServer, record: s.Record
) -> bool:
    """Kill half of the routers while a server leaves; return whether the rule held."""
    store, routers = deployment.store, deployment.routers
    now = time.monotonic()
    watchers = [r for r in routers if now - store.polled.get(r.name, 0) < 1.5]
    if not 0 < len(watchers) <= ROUTERS / 2:
        raise s.CannotRunError(f"{len(watchers)} routers watch the store")
    killed = watchers if s.trouble() else []
    for router in killed:
        router.kill()
        record.say(f"{router.name} killed")
    asyncio.get_running_loop().call_later(RESTART_S, restart, killed, record)
    await asyncio.sleep(REMOVAL_S)
    store.put("servers", leaving.name, None)
    removed_s = record.now()
    record.say(f"entry of {leaving.name} removed, it goes on for {STAY_S:.0f} s")
    await asyncio.sleep(STAY_S)
    leaving.stop()
    record.say(f"{leaving.name} exits")
    return judge(leaving, removed_s, {r.name for r in killed}, record)


def restart(killed: list[s.Router], record: s.Record) -> None:
    """Start the killed processes again."""
    for router in killed:
        router.start()
        record.say(f"{router.name} started again")


def judge(
    leaving: s.PlainServer, removed_s: float, killed: set[str], record: s.Record
) -> bool:
    """Return whether no calm router sent a request to the server after the bound."""
    late = [
        arrival
        for arrival in leaving.arrivals
        if arrival.node not in killed and arrival.at_s > removed_s + DRAIN_S
    ]
    record.say(f"{len(leaving.arrivals)} requests reached {leaving.name} in all")
    for node in sorted({arrival.node for arrival in late}):
        times = [a.at_s - removed_s for a in late if a.node == node]
        record.say(
            f"DRAIN: {len(times)} requests of {node} {min(times):.2f} to "
            f"{max(times):.2f} s after the removal (bound {DRAIN_S:.0f} s)"
        )
    return not late


async def main() -> int:
    """Play the case; return the exit status."""
    record = s.Record()
    deployment = s.Deployment(record)
    status = 2
    try:
        status = 0 if await play(deployment, record) else 1
        record.say("the rule held" if status == 0 else "the rule was broken")
    except (s.CannotRunError, OSError) as exc:
        record.say(f"could not run: {exc}")
    finally:
        deployment.stop()
        Path(__file__).with_name("record.txt").write_text(
            "\n".join(record.lines) + "\n"
        )
    return status


def run() -> int:
    """Return the exit status of the case, also if it fails in itself."""
    try:
        return asyncio.run(main())
    except (Exception, KeyboardInterrupt):  # noqa: BLE001
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(run())
