"""Router processes of a soak, and which of them new connections go to."""

from __future__ import annotations

import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from hemlockhall_standins.soak.proxy import HostProxy

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from anyio.abc import TaskGroup

    from hemlockhall_standins.soak.history import History

GRACE_S = 8.0
RESTART_S = 0.5
# A host that misses two readiness checks in a row gets no new connections.
CHECK_INTERVAL_S = 1.0
MISSES = 2
READY_LIMIT_S = 60.0


@dataclass(slots=True)
class Member:
    """A host: its process, the proxy before it, and its readiness."""

    process: Any
    proxy: HostProxy
    misses: int = 0
    # Whether the player has sent a signal that ends it.
    ending: bool = False
    frozen: bool = False

    @property
    def name(self) -> str:
        """The name of the host."""
        return self.process.name


@dataclass(slots=True)
class Demand:
    """Which hosts callers use, and whether endpoints fail now.

    ``hosts`` are names of hosts; None means all.
    """

    hosts: set[str] | None = None
    failing: bool = True

    def uses(self, member: Member) -> bool:
        """Return whether callers use a host."""
        return self.hosts is None or member.name in self.hosts


class Fleet:
    """Router processes, each of which is started again after it ended.

    Parameters
    ----------
    make_process : callable
        Returns a new process for a name, a data centre and the addresses of seeds.
    free_address : callable
        Returns a free address.
    history : History
        Gets signals, starts and ends.
    data_centres : int
        Among how many the hosts are divided.
    demand : Demand
        Which hosts callers use.
    """

    def __init__(
        self,
        make_process: Callable[[str, str, list[str]], Any],
        free_address: Callable[[], str],
        history: History,
        data_centres: int = 3,
        demand: Demand | None = None,
    ) -> None:
        self.members: list[Member] = []
        self.demand = demand or Demand()
        self._make_process = make_process
        self._free_address = free_address
        self._history = history
        self._data_centres = data_centres

    async def add(self, group: TaskGroup) -> Member:
        """Start one more host."""
        number = len(self.members)
        seeds = [member.process.advertised for member in self.members[:3]]
        process = self._make_process(
            f"host-{number}", f"z-{number % self._data_centres}", seeds
        )
        process.advertised = self._free_address()
        member = Member(process, HostProxy(process.listen["control"]))
        await member.proxy.start(process.advertised)
        process.start()
        self._history.add("started", host=member.name)
        self.members.append(member)
        group.start_soon(self._keep, member)
        group.start_soon(self._check, member)
        return member

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready; raise ``TimeoutError`` if they are not."""
        with anyio.fail_after(READY_LIMIT_S):
            for member in self.members:
                while not await member.process.is_ready():
                    await anyio.sleep(0.1)
                member.misses = 0

    def choose(self, rng: Random) -> Member:
        """Return the host of a new connection."""
        if self.demand.hosts is not None:
            return rng.choice([m for m in self.members if self.demand.uses(m)])
        members = [member for member in self.members if member.misses < MISSES]
        if len(members) * 2 < len(self.members):
            members = self.members
        return rng.choice(members)

    def signal(self, member: Member, name: str) -> None:
        """Send a signal to a host that runs."""
        if not member.process.running:
            return
        member.ending |= name in ("SIGTERM", "SIGKILL")
        if name in ("SIGSTOP", "SIGCONT"):
            member.frozen = name == "SIGSTOP"
        self._history.add("signal", host=member.name, signal=name)
        member.process.signal(signal.Signals[name])

    async def terminate(self, member: Member) -> None:
        """Stop a host as an operator does: SIGTERM, and SIGKILL after the grace."""
        process = member.process.process
        self.signal(member, "SIGTERM")
        deadline = time.monotonic() + GRACE_S
        while time.monotonic() < deadline:
            if process.poll() is not None:
                return
            await anyio.sleep(0.02)
        if member.process.process is process:
            self.signal(member, "SIGKILL")

    def stop(self) -> None:
        """Kill all processes."""
        for member in self.members:
            member.proxy.stop()
            member.process.end()

    async def _keep(self, member: Member) -> None:
        while True:
            await anyio.sleep(0.02)
            if member.process.running:
                continue
            code = member.process.process.returncode
            self._history.add(
                "ended", host=member.name, code=code, by_itself=not member.ending
            )
            await anyio.sleep(RESTART_S)
            member.ending = member.frozen = False
            member.process.start()
            self._history.add("started", host=member.name)

    async def _check(self, member: Member) -> None:
        while True:
            ready = await member.process.is_ready()
            member.misses = 0 if ready else member.misses + 1
            await anyio.sleep(CHECK_INTERVAL_S)


__all__ = [
    "GRACE_S",
    "Demand",
    "Fleet",
    "Member",
]
