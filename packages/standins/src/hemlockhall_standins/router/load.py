"""Callers that send requests to routers in the test process at a given rate."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.connection.error import TransportError
from hemlockhall_standins.router.harness import caller_text

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hemlockhall_router.connection.client import ClientConnection
    from hemlockhall_router.connection.message import Response, ResponseHead
    from hemlockhall_standins.router.endpoint import ScriptedEndpoint
    from hemlockhall_standins.router.harness import RouterHarness

# Time that a response which asks for rest and the requests sent before it may take.
REST_NOTICE_S = 0.5
# Fraction of the time that a caller has left up to which it obeys Retry-After.
OBEYED_FRACTION = 1 / 3


@dataclass
class CallerLoad:
    """Requests that arrive at random moments, ``rate`` a second over all routers.

    ``weights`` says how the requests are spread over the routers, evenly if it is
    empty. ``responses`` are those received so far, ``sent_responses`` has the time at
    which each request was sent with its response, None if the connection broke, and
    ``routers`` the index of the router that each was sent to, by its id.
    """

    harness: RouterHarness
    target: str
    rate: float
    weights: list[float] = field(default_factory=list)
    sent: int = 0
    responses: list[Response] = field(default_factory=list)
    sent_responses: list[tuple[float, Response | None]] = field(default_factory=list)
    routers: dict[str, int] = field(default_factory=dict)

    def start(self, group: TaskGroup) -> None:
        """Send requests until the group is cancelled."""
        group.start_soon(self._run, group)

    async def _run(self, group: TaskGroup) -> None:
        while True:
            await anyio.sleep(random.expovariate(self.rate))
            self.sent += 1
            group.start_soon(self._request, self.sent)

    async def _request(self, number: int) -> None:
        indexes = range(len(self.harness.routers))
        index = random.choices(indexes, self.weights or None)[0]  # noqa: S311
        request_id = f"load-{number}"
        self.routers[request_id] = index
        sent_at = time.monotonic()
        try:
            response = await self.harness.request(
                self.target, router=index, request_id=request_id
            )
        except TransportError:
            # A router that is stopped just then closes the connection.
            self.sent_responses.append((sent_at, None))
            return
        self.responses.append(response)
        self.sent_responses.append((sent_at, response))


@dataclass
class Refusal:
    """A response 503; ``retry_after_s`` is None if it has no such header."""

    response_time_s: float
    retry_after_s: float | None


@dataclass
class Outcome:
    """What a patient caller got.

    ``began_at`` is the monotonic time of its first request and ``sent_at`` that of its
    last one. ``first_s`` and ``end_s`` are the seconds from then to the first bytes and
    to the end of the response. ``status`` is 0 until the response is complete.
    """

    began_at: float
    router: int
    sent_at: float = 0.0
    status: int = 0
    first_s: float = 0.0
    end_s: float = 0.0
    refusals: list[Refusal] = field(default_factory=list)

    @property
    def served(self) -> bool:
        """Whether the caller got a complete response of an endpoint."""
        return self.status == 200

    @property
    def waited_s(self) -> float:
        """Seconds from its first request to the last one."""
        return self.sent_at - self.began_at


@dataclass
class PatientCallers:
    """Callers that arrive at random moments and come back once after a refusal.

    They obey Retry-After up to a fraction of the time that they have left, and state
    that time with each request. ``rate`` is per second over all routers and may be
    changed while it runs.
    """

    harness: RouterHarness
    target: str
    rate: float
    patience_s: float = 5.0
    api_key: str | None = None
    outcomes: list[Outcome] = field(default_factory=list)
    _idle: dict[int, list[ClientConnection]] = field(default_factory=dict)

    def start(self, group: TaskGroup) -> None:
        """Send requests until the group is cancelled."""
        group.start_soon(self._run, group)

    async def _run(self, group: TaskGroup) -> None:
        while True:
            await anyio.sleep(random.expovariate(self.rate))
            index = random.randrange(len(self.harness.routers))  # noqa: S311
            outcome = Outcome(time.monotonic(), index)
            self.outcomes.append(outcome)
            group.start_soon(self._call, outcome, len(self.outcomes))

    async def _call(self, outcome: Outcome, number: int) -> None:
        deadline = outcome.began_at + self.patience_s
        try:
            head = await self._request(outcome, number, deadline)
            retry_after_s = _retry_after_s(head)
            if head.status != 503 or retry_after_s is None:
                return
            left_s = deadline - time.monotonic()
            await anyio.sleep(min(retry_after_s, OBEYED_FRACTION * left_s))
            await self._request(outcome, number, deadline)
        except TransportError:
            # A router that is stopped just then closes the connection.
            return

    async def _request(
        self, outcome: Outcome, number: int, deadline: float
    ) -> ResponseHead:
        """Send one request and add its response to the outcome."""
        conn = await self._connect(outcome.router)
        sent_at = outcome.sent_at = time.monotonic()
        headers = {"deadline-ms": str(int((deadline - sent_at) * 1000))}
        if self.api_key is not None:
            headers["api-key"] = self.api_key
        request_id = f"{self.target}{number}-{len(outcome.refusals)}"
        text = caller_text(self.target, headers=headers, request_id=request_id)
        try:
            await conn.send(text, deadline)
            head = await conn.read_head(deadline)
            chunk = await conn.read_chunk(deadline)
            outcome.first_s = time.monotonic() - sent_at
            while chunk is not None:
                chunk = await conn.read_chunk(deadline)
        except TransportError:
            await conn.close()
            raise
        outcome.status = head.status
        outcome.end_s = time.monotonic() - sent_at
        if head.status == 503:
            outcome.refusals.append(Refusal(outcome.end_s, _retry_after_s(head)))
        self._idle.setdefault(outcome.router, []).append(conn)
        return head

    async def _connect(self, router: int) -> ClientConnection:
        idle = self._idle.setdefault(router, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable():
                return conn
            await conn.close()
        return await self.harness.connect(router)


def _retry_after_s(head: ResponseHead) -> float | None:
    value = head.header(b"retry-after")
    return float(value) if value is not None else None


def most_in_window(times: list[float], window_s: float, after: float = 0.0) -> int:
    """Return the most of the times that any window of this length has.

    The times are in ascending order; windows begin at ``after`` or later.
    """
    most = 0
    first = 0
    for last, time_s in enumerate(times):
        while times[first] < after or time_s - times[first] >= window_s:
            if first == last:
                break
            first += 1
        if times[first] >= after:
            most = max(most, last - first + 1)
    return most


def most_during_rest(endpoint: ScriptedEndpoint, load: CallerLoad) -> int:
    """Return the most requests of one router that arrived in one time of rest.

    A time of rest begins ``REST_NOTICE_S`` after the response that asked for it.
    """
    arrived = []
    for received, at in zip(endpoint.received, endpoint.arrivals, strict=True):
        arrived.append((load.routers[received.header("request-id") or ""], at))
    most = 0
    for asked_at, seconds, request_id in endpoint.rests:
        router = load.routers[request_id]
        count = 0
        for sender, at in arrived:
            if sender == router and asked_at + REST_NOTICE_S < at < asked_at + seconds:
                count += 1
        most = max(most, count)
    return most


__all__ = [
    "CallerLoad",
    "Outcome",
    "PatientCallers",
    "Refusal",
    "most_during_rest",
    "most_in_window",
]
