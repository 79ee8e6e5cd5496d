"""Router processes before model servers that crash under one segment of prompts."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import anyio

from hemlockhall_platform_standins.call import SHARED_SEGMENT, Call, read_outcome
from hemlockhall_platform_standins.document import (
    PREFIXES,
    RETRY_CONSTANT,
    encode_document,
)
from hemlockhall_platform_standins.fatal import (
    EVENTS,
    FATAL_SEGMENT,
    CrashPattern,
    FatalModelServer,
)
from hemlockhall_platform_standins.process import RouterProcess
from hemlockhall_platform_standins.review import free_port, loopback_host
from hemlockhall_platform_standins.store import SoakStore
from hemlockhall_standins.soak.pool import ENTRY_LAPSE_S

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup

DATA_CENTRES = 3
# Segments of which each sound request has one, besides the one that all have.
VARIANTS = ("7a1e0001", "7a1e0002", "7a1e0003")
SOUND_RATE = 25.0
# A crashed server's address has another one after a time in this range.
RESTART_S = (2.0, 4.0)
# Until model servers hold their layers.
LOAD_S = 5.0
READY_LIMIT_S = 60.0
DEADLINE_MS = 20_000
# Callers give up so long after the last request was sent.
DRAIN_S = 5.0


@dataclass(frozen=True, slots=True)
class FatalOptions:
    """What is played: when servers crash, and how much of each kind is asked for.

    Fatal requests come from ``fatal_from_s`` on. ``source`` is another checkout whose
    router is played; logs go to ``log_folder``.
    """

    pattern: CrashPattern
    seed: int
    fatal_rate: float = 3.0
    hosts: int = 4
    servers: int = 10
    seconds: float = 36.0
    fatal_from_s: float = 5.0
    resumable: bool = True
    source: Path | None = None
    log_folder: Path | None = None


@dataclass
class FatalPlay:
    """One play, with what became of the requests.

    ``arrivals`` and ``crashes`` are the monotonic times at which fatal requests reached
    a server, and at which one crashed under them. ``sound`` has when each sound
    request was sent, and whether all of its response arrived.
    """

    options: FatalOptions
    arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    sound: list[tuple[float, bool]] = field(default_factory=list)
    fatal_since: float = 0.0
    _processes: list[RouterProcess] = field(default_factory=list)
    _servers: list[FatalModelServer] = field(default_factory=list)
    _started: int = 0

    def arrivals_after_crash(self, number: int, delay_s: float) -> int:
        """Return how many fatal requests came later than ``delay_s`` after a crash."""
        if len(self.crashes) < number:
            return 0
        since = sorted(self.crashes)[number - 1] + delay_s
        return sum(at > since for at in self.arrivals)

    def served(self, *, before: bool) -> float:
        """Return the fraction of sound requests served before the first fatal one.

        If ``before`` is false, those from then on count.
        """
        found = [ok for at, ok in self.sound if (at < self.fatal_since) is before]
        return sum(found) / len(found)

    async def run(self) -> None:
        """Start all processes, play, and end them."""
        options = self.options
        rng = Random(options.seed)  # noqa: S311
        address = loopback_host()
        store = SoakStore(partial(encode_document, resumable=options.resumable))
        await store.start(address)
        await store.configure()
        try:
            async with anyio.create_task_group() as group:
                for _ in range(options.servers):
                    await self._start_server(store, address, 0, rng, group)
                await self._start_routers(store, address)
                await anyio.sleep(LOAD_S)
                await self._send_requests(rng)
                group.cancel_scope.cancel()
        finally:
            for process in self._processes:
                if options.log_folder is not None:
                    process.keep_log(options.log_folder)
                process.end()
            for server in self._servers:
                server.crash()
            store.stop()

    async def _start_routers(self, store: SoakStore, address: str) -> None:
        seeds: list[str] = []
        for number in range(self.options.hosts):
            process = RouterProcess(
                f"host-{number}",
                f"z-{number % DATA_CENTRES}",
                store.address,
                list(seeds),
                RETRY_CONSTANT * 10,
                self.options.source,
            )
            process.advertised = process.listen["control"]
            seeds.append(process.advertised)
            process.start()
            self._processes.append(process)
        with anyio.fail_after(READY_LIMIT_S):
            for process in self._processes:
                while not await process.is_ready():
                    await anyio.sleep(0.1)

    async def _start_server(
        self, store: SoakStore, address: str, port: int, rng: Random, group: TaskGroup
    ) -> None:
        self._started += 1
        server = FatalModelServer(
            f"pool-{self._started}",
            "pool",
            store,
            self.options.pattern,
            Random(rng.getrandbits(32)),  # noqa: S311
            self.arrivals,
            self.crashes,
        )
        port = port or free_port(address)
        crashed = False

        def replace() -> None:
            nonlocal crashed
            if crashed:
                return
            crashed = True
            self._servers.remove(server)
            server.crash()
            group.start_soon(self._replace, server, store, address, port, rng, group)

        server.on_crash = replace
        self._servers.append(server)
        await server.start(address, port)

    async def _replace(
        self,
        server: FatalModelServer,
        store: SoakStore,
        address: str,
        port: int,
        rng: Random,
        group: TaskGroup,
    ) -> None:
        lapses_at = time.monotonic() + ENTRY_LAPSE_S
        await anyio.sleep(rng.uniform(*RESTART_S))
        await self._start_server(store, address, port, rng, group)
        await anyio.sleep(max(0.0, lapses_at - time.monotonic()))
        await store.remove("servers", server.name)

    async def _send_requests(self, rng: Random) -> None:
        started = time.monotonic()
        self.fatal_since = started + self.options.fatal_from_s
        with anyio.move_on_after(self.options.seconds + DRAIN_S):
            async with anyio.create_task_group() as callers:
                callers.start_soon(self._send_sound, rng, started, callers)
                callers.start_soon(self._send_fatal, rng, started, callers)

    async def _send_sound(
        self, rng: Random, started: float, callers: TaskGroup
    ) -> None:
        number = 0
        while time.monotonic() < started + self.options.seconds:
            await anyio.sleep(rng.expovariate(SOUND_RATE))
            number += 1
            segments = (SHARED_SEGMENT, rng.choice(VARIANTS))
            callers.start_soon(self._send, f"5{number:07x}", segments, rng, True)

    async def _send_fatal(
        self, rng: Random, started: float, callers: TaskGroup
    ) -> None:
        await anyio.sleep(self.options.fatal_from_s)
        number = 0
        while time.monotonic() < started + self.options.seconds:
            await anyio.sleep(rng.expovariate(self.options.fatal_rate))
            number += 1
            segments = (SHARED_SEGMENT, rng.choice(VARIANTS), FATAL_SEGMENT)
            callers.start_soon(self._send, f"f{number:07x}", segments, rng, False)

    async def _send(
        self, call_id: str, segments: tuple[str, ...], rng: Random, sound: bool
    ) -> None:
        call = Call(
            call_id + f"{rng.getrandbits(32):08x}",
            "POST",
            f"{PREFIXES['draft']}draft-50-{call_id}",
            call_id,
            DEADLINE_MS,
            events=EVENTS,
            body=b"prompt",
            segments=segments,
        )
        sent_at = time.monotonic()
        whole = False
        process = rng.choice(self._processes)
        try:
            reader, writer = await asyncio.open_connection(*process.front)
        except OSError:
            reader = None
        if reader is not None:
            try:
                writer.write(b"".join(call.encode()))
                outcome = await read_outcome(reader)
                events = list(range(1, EVENTS + 1))
                whole = outcome.whole and outcome.events == events
            except OSError:
                whole = False
            finally:
                writer.transport.abort()
        if sound:
            self.sound.append((sent_at, whole))


__all__ = [
    "FatalOptions",
    "FatalPlay",
]
