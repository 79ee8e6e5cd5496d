"""Plays a scenario with router processes, and records what happens."""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio

from hemlockhall_platform_standins.document import (
    SERVICES,
    encode_document,
)
from hemlockhall_platform_standins.endpoint import PlainEndpoint
from hemlockhall_platform_standins.model import RecordedModelServer
from hemlockhall_platform_standins.process import RouterProcess
from hemlockhall_platform_standins.review import free_port, loopback_host
from hemlockhall_platform_standins.store import SoakStore
from hemlockhall_standins.soak.caller import Caller, work_s
from hemlockhall_standins.soak.disruption import DISRUPTIONS, LEAVE_ACTIONS, Stage
from hemlockhall_standins.soak.fleet import GRACE_S, Demand, Fleet
from hemlockhall_standins.soak.pool import Pool
from hemlockhall_standins.soak.scenario import SCENARIOS

if TYPE_CHECKING:
    from hemlockhall_standins.soak.history import History
    from hemlockhall_standins.soak.scenario import Moves, Scenario

RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
# Callers and endpoints are calm for so long before the first disruption, and after the
# last one.
CALM_S = 3.0
# Model servers load their layers first.
LOAD_S = 6.0
MODEL_SERVERS = 3
# The player's own delay from which it is recorded.
LAG_INTERVAL_S = 0.05
MAX_LAG_S = 0.25
# Interval of reading how long hosts waited for a core.
CPU_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class RunOptions:
    """What is played: a scenario, with a seed, for some seconds, with so many hosts.

    ``source`` is another checkout whose router is played; logs go to ``log_folder``.
    """

    scenario: str
    seed: int
    seconds: float
    hosts: int
    source: Path | None = None
    log_folder: Path | None = None


def draw_disruptions(
    scenario: Scenario, rng: Random, seconds: float
) -> list[tuple[float, str, int]]:
    """Return the times of disruptions, their names and their own seeds."""
    found = []
    at = CALM_S
    while scenario.disruptions and at < seconds - CALM_S:
        found.append((at, rng.choice(scenario.disruptions), rng.getrandbits(32)))
        at += rng.uniform(*scenario.gaps_s)
    return found


async def play(options: RunOptions, history: History) -> None:
    """Play a scenario from its start to its end."""
    scenario = SCENARIOS[options.scenario]
    rng = Random(options.seed)  # noqa: S311
    history.add(
        "settings",
        scenario=options.scenario,
        seed=options.seed,
        hosts=options.hosts,
        ratio=RETRY_RATIO,
        constant=scenario.retry_constant,
        window_s=RETRY_WINDOW_S,
        grace_s=GRACE_S,
        services=SERVICES,
    )
    address = loopback_host()
    store = SoakStore(partial(encode_document, read_attempts=scenario.read_attempts))
    await store.start(address)
    await store.configure()

    def make_process(name: str, data_centre: str, seeds: list[str]) -> RouterProcess:
        return RouterProcess(
            name,
            data_centre,
            store.address,
            seeds,
            scenario.retry_constant,
            options.source,
        )

    pools: list[Pool] = []
    demand = Demand()
    fleet = Fleet(
        make_process,
        lambda: f"{address}:{free_port(address)}",
        history,
        demand=demand,
    )
    try:
        async with anyio.create_task_group() as group:
            pools += await _start_pools(
                scenario, store, address, history, demand, group
            )
            for _ in range(options.hosts):
                await fleet.add(group)
            await fleet.wait_ready()
            if len(pools) > 1:
                await anyio.sleep(LOAD_S)
            group.start_soon(_watch_lag, history)
            group.start_soon(_watch_cpu, fleet, history)
            stage = Stage(fleet, pools, store, history, group)
            await _play_series(scenario, stage, rng, options.seconds)
            group.cancel_scope.cancel()
    finally:
        if options.log_folder is not None:
            for member in fleet.members:
                member.process.keep_log(options.log_folder)
        fleet.stop()
        for pool in pools:
            pool.stop()
        store.stop()


async def _start_pools(
    scenario: Scenario,
    store: SoakStore,
    address: str,
    history: History,
    demand: Demand,
    group: anyio.abc.TaskGroup,
) -> list[Pool]:
    fatal_ms = {str(work.work_ms) for work in scenario.works if work.fatal}

    def is_fatal(target: str) -> bool:
        return target.rpartition("/")[2].split("-")[1] in fatal_ms

    def make_plain(name: str) -> PlainEndpoint:
        def record(what: str, call: str, target: str) -> None:
            history.add("arrival", id=call, endpoint=name, what=what)

        own_rng = Random(name)  # noqa: S311
        return PlainEndpoint(
            name,
            "desk",
            store,
            scenario.slots,
            work_s,
            record,
            is_fatal,
            lambda: _draw_failure(scenario, own_rng) if demand.failing else None,
        )

    def make_model(name: str) -> RecordedModelServer:
        def record(what: str, call: str) -> None:
            history.add("arrival", id=call, endpoint=name, what=what)

        return RecordedModelServer(name, "pool", store, record)

    async def remove_entry(name: str) -> None:
        await store.remove("servers", name)

    pools = []
    routes = {work.route for work in scenario.works}
    if routes & {"read", "book"}:
        pools.append(Pool("desk", make_plain, remove_entry, address, history, group))
        for _ in range(scenario.endpoints):
            await pools[-1].start_one()
    if "draft" in routes:
        pools.append(Pool("pool", make_model, remove_entry, address, history, group))
        for _ in range(MODEL_SERVERS):
            await pools[-1].start_one()
    return pools


async def _play_series(
    scenario: Scenario, stage: Stage, rng: Random, seconds: float
) -> None:
    """Run callers and disruptions; return after the last responses."""
    schedule = draw_disruptions(scenario, rng, seconds)
    started = time.monotonic()
    if scenario.moves is not None:
        stage.group.start_soon(_move_callers, scenario.moves, stage)
    async with anyio.create_task_group() as callers:
        for number in range(scenario.callers_per_host * len(stage.fleet.members)):
            caller = Caller(
                number,
                stage.fleet,
                scenario.works,
                stage.history,
                Random(rng.getrandbits(32)),  # noqa: S311
                impatient=rng.random() < scenario.impatient,
                pause_s=scenario.pause_s,
                rest_until=partial(_rest_until, scenario, started),
            )
            callers.start_soon(caller.run)
        for at, name, seed in schedule:
            await anyio.sleep(max(0.0, started + at - time.monotonic()))
            stage.history.add("disruption", name=name, seed=seed)
            own_rng = Random(seed)  # noqa: S311
            stage.group.start_soon(DISRUPTIONS[name], stage, own_rng)
        await anyio.sleep(max(0.0, started + seconds - time.monotonic()))
        stage.history.add("end")
        callers.cancel_scope.cancel()


async def _move_callers(moves: Moves, stage: Stage) -> None:
    """Let each group of hosts have the callers in turn, and the first one again."""
    members = list(stage.fleet.members)
    groups = [members[first :: moves.group_count] for first in range(moves.group_count)]
    demand = stage.fleet.demand
    demand.failing = False
    ends_at = time.monotonic() + moves.first_s
    for group in [*groups, groups[0]]:
        demand.hosts = {member.name for member in group}
        stage.history.add("move", hosts=sorted(demand.hosts))
        await anyio.sleep(ends_at - moves.failing_s - time.monotonic())
        demand.failing = True
        await anyio.sleep(ends_at - time.monotonic())
        demand.failing = False
        ends_at += moves.turn_s
        if moves.leave_action is not None:
            action = LEAVE_ACTIONS[moves.leave_action]
            stage.group.start_soon(action, stage, group)


def _draw_failure(scenario: Scenario, rng: Random) -> str | None:
    """Return what an endpoint does to the next request that it does not serve."""
    if rng.random() >= scenario.broken:
        return None
    return rng.choice(scenario.failures)


def _rest_until(scenario: Scenario, started: float) -> float:
    """Return until when callers rest, as a monotonic time."""
    if not scenario.bursts:
        return started
    at = (time.monotonic() - started) % scenario.period_s
    period_starts_at = time.monotonic() - at
    for begins_s, ends_s in scenario.bursts:
        if at < ends_s:
            return period_starts_at + begins_s
    return period_starts_at + scenario.period_s


async def _watch_lag(history: History) -> None:
    """Record when the player's own loop is held up."""
    with suppress(anyio.get_cancelled_exc_class()):
        while True:
            due = time.monotonic() + LAG_INTERVAL_S
            await anyio.sleep(LAG_INTERVAL_S)
            lag_s = time.monotonic() - due
            if lag_s > MAX_LAG_S:
                history.add("lag", seconds=round(lag_s, 3))


async def _watch_cpu(fleet: Fleet, history: History) -> None:
    """Record which hosts waited long for a core, according to the scheduler."""
    known: dict[int, int] = {}
    while True:
        for member in fleet.members:
            process = member.process.process
            if process is None or not member.process.running:
                continue
            try:
                text = Path(f"/proc/{process.pid}/schedstat").read_text()
            except OSError:
                continue
            waited_ns = int(text.split()[1])
            waited_s = (waited_ns - known.get(process.pid, waited_ns)) / 1e9
            known[process.pid] = waited_ns
            if waited_s > MAX_LAG_S:
                seconds = round(waited_s, 3)
                history.add("starved", host=member.name, seconds=seconds)
        await anyio.sleep(CPU_INTERVAL_S)


__all__ = [
    "RunOptions",
    "draw_disruptions",
    "play",
]
