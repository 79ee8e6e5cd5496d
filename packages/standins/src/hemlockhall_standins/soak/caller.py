"""Callers of a soak, which keep their connections until the process has gone."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from hemlockhall_platform_standins.call import Call, Outcome, read_outcome
from hemlockhall_platform_standins.document import PREFIXES

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from hemlockhall_standins.soak.fleet import Fleet, Member
    from hemlockhall_standins.soak.history import History

CONNECT_TIMEOUT_S = 1.0
# A caller gives up so long after its deadline.
GIVE_UP_S = 3.0
MAX_RETRY_AFTER_S = 1.0
# A caller that repeats at once does so after this time, and so often.
REPEAT_S = 0.01
REPEATS = 3


@dataclass(frozen=True, slots=True)
class Work:
    """A kind of request: its route, share of the requests, and how long it takes.

    There are ``contents`` different ones, or each has its own if that is 0. A stream
    has ``events``. ``body_pause_s`` is the time between the parts of its body.
    """

    route: str
    weight: float
    work_ms: int
    contents: int = 1
    events: int = 0
    deadline_ms: int = 4000
    fatal: bool = False
    body_pause_s: float = 0.0


class Caller:
    """Sends one request after the other, and records what it gets.

    Parameters
    ----------
    number : int
        Makes the ids of its requests.
    fleet : Fleet
        Chooses the host of a new connection.
    works : list of Work
        What it asks for.
    history : History
        Gets requests and responses.
    rng : Random
        Draws the requests and the pauses.
    impatient : bool
        Whether it repeats at once what was not served.
    pause_s : tuple of float
        Bounds of the pause after each response.
    rest_until : callable
        Returns until when callers rest, as a monotonic time.
    """

    def __init__(
        self,
        number: int,
        fleet: Fleet,
        works: list[Work],
        history: History,
        rng: Random,
        *,
        impatient: bool,
        pause_s: tuple[float, float] = (0.0, 0.05),
        rest_until: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._number = number
        self._fleet = fleet
        self._works = works
        self._history = history
        self._rng = rng
        self._impatient = impatient
        self._pause_s = pause_s
        self._rest_until = rest_until
        self._count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            member = self._fleet.choose(self._rng)
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        *member.process.front
                    )
            except (OSError, TimeoutError):
                await anyio.sleep(0.2)
                continue
            try:
                while await self._call(member, reader, writer):
                    await anyio.sleep(self._rng.uniform(*self._pause_s))
                    if not self._fleet.demand.uses(member):
                        break
                    await anyio.sleep(max(0.0, self._rest_until() - time.monotonic()))
            except ConnectionError:
                continue
            finally:
                writer.transport.abort()

    async def _call(
        self,
        member: Member,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request and its repeats; return whether to keep the connection."""
        weights = [work.weight for work in self._works]
        work = self._rng.choices(self._works, weights)[0]
        number = self._rng.randrange(work.contents) if work.contents else self._count
        content = f"{work.route}-{work.work_ms}-{number}"
        if not work.contents:
            content += f"-{self._number}"
        for _ in range(REPEATS if self._impatient else 1):
            outcome = await self._attempt(work, content, member, reader, writer)
            if not outcome.whole or outcome.closes:
                return False
            if outcome.status == 200:
                return True
            await anyio.sleep(REPEAT_S)
        if not self._impatient:
            await anyio.sleep(min(outcome.retry_after_s, MAX_RETRY_AFTER_S))
        return True

    async def _attempt(
        self,
        work: Work,
        content: str,
        member: Member,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Outcome:
        self._count += 1
        call = Call(
            f"{self._number:08x}{self._count:08x}",
            "GET" if work.route == "read" else "POST",
            f"{PREFIXES[work.route]}{content}",
            content,
            work.deadline_ms,
            work.events,
            b"" if work.route == "read" else content.encode() * 20,
        )
        self._history.add(
            "request",
            id=call.id,
            route=work.route,
            content=content,
            host=member.name,
            deadline_s=work.deadline_ms / 1000,
            events=work.events,
            fatal=work.fatal,
        )
        first, rest = call.encode()
        writer.write(first)
        if rest and work.body_pause_s:
            await anyio.sleep(work.body_pause_s)
        writer.write(rest)
        self._history.add("sent", id=call.id)
        outcome, gave_up = Outcome(), True
        with anyio.move_on_after(work.deadline_ms / 1000 + GIVE_UP_S):
            outcome, gave_up = await read_outcome(reader), False
        events = outcome.events
        self._history.add(
            "response",
            id=call.id,
            status=outcome.status,
            whole=outcome.whole,
            events=len(events or ()),
            in_order=events is None or events == list(range(1, len(events) + 1)),
            retry_after_s=outcome.retry_after_s,
            gave_up=gave_up,
        )
        return outcome


def work_s(target: str) -> float:
    """Return how long a plain request takes, from its target."""
    return int(target.rpartition("/")[2].split("-")[1]) / 1000


__all__ = [
    "Caller",
    "Work",
    "work_s",
]
