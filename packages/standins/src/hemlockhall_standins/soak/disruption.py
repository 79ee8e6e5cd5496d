"""Disruptions of a soak, by name."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

import anyio

from hemlockhall_standins.soak.proxy import LinkFaults

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hemlockhall_standins.soak.fleet import Fleet, Member
    from hemlockhall_standins.soak.history import History
    from hemlockhall_standins.soak.pool import Pool

Disruption = Callable[["Stage", Random], Awaitable[None]]
DISRUPTIONS: dict[str, Disruption] = {}
# What happens to the hosts that callers leave, by name.
LeaveAction = Callable[["Stage", list["Member"]], Awaitable[None]]
LEAVE_ACTIONS: dict[str, LeaveAction] = {}
# How long endpoints that ended are away.
AWAY_S = (0.5, 3.0)
PAUSE_S = (0.5, 2.5)
# A host that callers have left is stopped for so long.
LEFT_PAUSE_S = 3.0
LINK_FAULT_S = (1.0, 5.0)
LINK_DELAY_S = (0.05, 0.6)
STORE_AWAY_S = (1.0, 5.0)
# A host that is stopped for so long counts as dead meanwhile.
LONG_PAUSE_S = (3.0, 8.0)
PARTED_S = (6.0, 14.0)
SILENCE_S = (2.0, 7.0)
LONG_SILENCE_S = (6.0, 12.0)
RESETS_S = 3.0
RESET_INTERVAL_S = 0.5


@dataclass(slots=True)
class Stage:
    """What disruptions act on."""

    fleet: Fleet
    pools: list[Pool]
    store: Any
    history: History
    group: TaskGroup

    def some_hosts(self, rng: Random) -> list[Member]:
        """Return one host, two, or half of them."""
        members = self.fleet.members
        count = rng.choice([1, 2, max(1, len(members) // 2)])
        return rng.sample(members, min(count, len(members)))


def disruption(name: str) -> Callable[[Disruption], Disruption]:
    """Register a disruption under a name."""

    def register(function: Disruption) -> Disruption:
        DISRUPTIONS[name] = function
        return function

    return register


def leave_action(name: str) -> Callable[[LeaveAction], LeaveAction]:
    """Register what happens to the hosts that callers leave."""

    def register(function: LeaveAction) -> LeaveAction:
        LEAVE_ACTIONS[name] = function
        return function

    return register


@disruption("terminate")
async def terminate_hosts(stage: Stage, rng: Random) -> None:
    """Restart hosts as planned."""
    async with anyio.create_task_group() as group:
        for member in stage.some_hosts(rng):
            group.start_soon(stage.fleet.terminate, member)


@disruption("terminate in turn")
async def terminate_in_turn(stage: Stage, rng: Random) -> None:
    """Restart all hosts, one or two at a time."""
    members = list(stage.fleet.members)
    rng.shuffle(members)
    step = rng.choice([1, 2])
    for first in range(0, len(members), step):
        async with anyio.create_task_group() as group:
            for member in members[first : first + step]:
                group.start_soon(stage.fleet.terminate, member)
        await anyio.sleep(rng.uniform(0.0, 1.5))


@disruption("kill")
async def kill_hosts(stage: Stage, rng: Random) -> None:
    """Kill hosts."""
    for member in stage.some_hosts(rng):
        stage.fleet.signal(member, "SIGKILL")


@disruption("kill all")
async def kill_all_hosts(stage: Stage, rng: Random) -> None:
    """Kill all hosts at one moment."""
    for member in stage.fleet.members:
        stage.fleet.signal(member, "SIGKILL")


async def _freeze(stage: Stage, rng: Random, span_s: tuple[float, float]) -> None:
    members = stage.some_hosts(rng)
    for member in members:
        stage.fleet.signal(member, "SIGSTOP")
    await anyio.sleep(rng.uniform(*span_s))
    for member in members:
        stage.fleet.signal(member, "SIGCONT")


@disruption("freeze")
async def freeze_hosts(stage: Stage, rng: Random) -> None:
    """Stop hosts for a while."""
    await _freeze(stage, rng, PAUSE_S)


@disruption("freeze long")
async def freeze_hosts_long(stage: Stage, rng: Random) -> None:
    """Stop hosts until the others take them for dead."""
    await _freeze(stage, rng, LONG_PAUSE_S)


@disruption("reload")
async def reload_hosts(stage: Stage, rng: Random) -> None:
    """Let hosts read their settings again."""
    for member in stage.some_hosts(rng):
        stage.fleet.signal(member, "SIGHUP")


@disruption("configure")
async def configure(stage: Stage, rng: Random) -> None:
    """Write configurations, one shortly after the other."""
    for _ in range(rng.randint(1, 4)):
        await stage.store.configure(rng.randint(0, 20))
        stage.history.add("configuration")
        await anyio.sleep(rng.uniform(0.05, 0.5))


@disruption("store")
async def take_store_away(stage: Stage, rng: Random) -> None:
    """Let the store answer nobody for a while."""
    stage.history.add("store", what="away")
    await stage.store.be_away(rng.uniform(*STORE_AWAY_S))
    stage.history.add("store", what="back")


@disruption("crash")
async def crash_endpoints(stage: Stage, rng: Random) -> None:
    """End endpoints."""
    pool = rng.choice(stage.pools)
    for endpoint in pool.choose(rng, rng.randint(1, 2)):
        pool.crash(endpoint, rng.uniform(*AWAY_S))


@disruption("crash all")
async def crash_all_endpoints(stage: Stage, rng: Random) -> None:
    """End all endpoints of a service at one moment."""
    pool = rng.choice(stage.pools)
    away_s = rng.uniform(*AWAY_S)
    for endpoint in list(pool.endpoints):
        pool.crash(endpoint, away_s)


@disruption("blackout")
async def black_out(stage: Stage, rng: Random) -> None:
    """End all endpoints and kill half of the hosts at one moment."""
    for member in rng.sample(stage.fleet.members, len(stage.fleet.members) // 2):
        stage.fleet.signal(member, "SIGKILL")
    for pool in stage.pools:
        away_s = rng.uniform(*AWAY_S)
        for endpoint in list(pool.endpoints):
            pool.crash(endpoint, away_s)


@disruption("reset")
async def reset_endpoints(stage: Stage, rng: Random) -> None:
    """Reset the connections of all endpoints again and again."""
    pool = rng.choice(stage.pools)
    deadline = time.monotonic() + RESETS_S
    while time.monotonic() < deadline:
        for endpoint in list(pool.endpoints):
            pool.reset(endpoint)
        await anyio.sleep(RESET_INTERVAL_S)


@disruption("silence")
async def silence_endpoints(stage: Stage, rng: Random) -> None:
    """Let endpoints send nothing for a while."""
    pool = rng.choice(stage.pools)
    seconds = rng.uniform(*PAUSE_S)
    async with anyio.create_task_group() as group:
        for endpoint in pool.choose(rng, rng.randint(1, 3)):
            group.start_soon(pool.silence, endpoint, seconds)


async def _silence_all(stage: Stage, rng: Random, span_s: tuple[float, float]) -> None:
    pool = rng.choice(stage.pools)
    seconds = rng.uniform(*span_s)
    async with anyio.create_task_group() as group:
        for endpoint in list(pool.endpoints):
            group.start_soon(pool.silence, endpoint, seconds)


@disruption("silence all")
async def silence_all_endpoints(stage: Stage, rng: Random) -> None:
    """Let all endpoints read nothing for a while, and then what waits."""
    await _silence_all(stage, rng, SILENCE_S)


@disruption("silence all long")
async def silence_all_endpoints_long(stage: Stage, rng: Random) -> None:
    """Let all endpoints read nothing for about a window of the retry budget."""
    await _silence_all(stage, rng, LONG_SILENCE_S)


@disruption("replace")
async def replace_endpoint(stage: Stage, rng: Random) -> None:
    """Replace an endpoint as planned."""
    pool = rng.choice(stage.pools)
    for endpoint in pool.choose(rng, 1):
        await pool.leave(endpoint)


@disruption("add host")
async def add_host(stage: Stage, rng: Random) -> None:
    """Add a host."""
    await stage.fleet.add(stage.group)


@leave_action("kill")
async def kill_left_hosts(stage: Stage, left: list[Member]) -> None:
    """Kill the hosts that callers leave."""
    for member in left:
        stage.fleet.signal(member, "SIGKILL")


@leave_action("freeze")
async def freeze_left_hosts(stage: Stage, left: list[Member]) -> None:
    """Stop the hosts that callers leave for a while."""
    for member in left:
        stage.fleet.signal(member, "SIGSTOP")
    await anyio.sleep(LEFT_PAUSE_S)
    for member in left:
        stage.fleet.signal(member, "SIGCONT")


@leave_action("part")
async def part_left_hosts(stage: Stage, left: list[Member]) -> None:
    """Let the hosts that callers leave and the others not hear each other."""
    others = [member for member in stage.fleet.members if member not in left]
    for group in (left, others):
        hears = frozenset(member.process.address for member in group)
        for member in group:
            member.proxy.faults = LinkFaults(hears=hears)
            stage.history.add("link", host=member.name, hears=len(group))


@leave_action("add host")
async def add_host_when_left(stage: Stage, left: list[Member]) -> None:
    """Add a host when callers leave others."""
    await stage.fleet.add(stage.group)


async def _disturb_links(
    stage: Stage, rng: Random, members: list[Member], faults: LinkFaults
) -> None:
    what = {"delay_s": faults.delay_s, "in": faults.drop_in, "out": faults.drop_out}
    for member in members:
        member.proxy.faults = faults
        stage.history.add("link", host=member.name, **what)
    await anyio.sleep(rng.uniform(*LINK_FAULT_S))
    for member in members:
        if member.proxy.faults is faults:
            member.proxy.faults = LinkFaults()
            stage.history.add("link", host=member.name)


@disruption("delay links")
async def delay_links(stage: Stage, rng: Random) -> None:
    """Delay what hosts hear of the others."""
    faults = LinkFaults(delay_s=rng.uniform(*LINK_DELAY_S))
    await _disturb_links(stage, rng, stage.some_hosts(rng), faults)


@disruption("cut links one way")
async def cut_links_one_way(stage: Stage, rng: Random) -> None:
    """Let hosts hear nothing of the others, who hear them."""
    faults = LinkFaults(drop_in=True)
    await _disturb_links(stage, rng, stage.some_hosts(rng), faults)


@disruption("silence links")
async def silence_links(stage: Stage, rng: Random) -> None:
    """Let no host hear another one, while connections stay open."""
    faults = LinkFaults(drop_in=True, drop_out=True)
    await _disturb_links(stage, rng, list(stage.fleet.members), faults)


@disruption("part")
async def part_hosts(stage: Stage, rng: Random) -> None:
    """Let the hosts of two halves not hear each other."""
    members = list(stage.fleet.members)
    rng.shuffle(members)
    middle = len(members) // 2
    parted = []
    for half in (members[:middle], members[middle:]):
        faults = LinkFaults(hears=frozenset(member.process.address for member in half))
        for member in half:
            member.proxy.faults = faults
            parted.append((member, faults))
            stage.history.add("link", host=member.name, hears=len(half))
    await anyio.sleep(rng.uniform(*PARTED_S))
    for member, faults in parted:
        if member.proxy.faults is faults:
            member.proxy.faults = LinkFaults()
            stage.history.add("link", host=member.name)


@disruption("terminate unheard")
async def terminate_unheard(stage: Stage, rng: Random) -> None:
    """Restart several hosts while they hear nothing of each other."""
    members = stage.some_hosts(rng)
    faults = LinkFaults(drop_in=True, drop_out=True)
    async with anyio.create_task_group() as group:
        group.start_soon(_disturb_links, stage, rng, members, faults)
        await anyio.sleep(0.5)
        for member in members:
            group.start_soon(stage.fleet.terminate, member)


__all__ = [
    "DISRUPTIONS",
    "LEAVE_ACTIONS",
    "Stage",
    "disruption",
]
