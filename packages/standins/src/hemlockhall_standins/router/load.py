"""Callers that send requests to routers in the test process at a given rate."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.connection.error import TransportError

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from hemlockhall_router.connection.message import Response
    from hemlockhall_standins.router.endpoint import ScriptedEndpoint
    from hemlockhall_standins.router.harness import RouterHarness

# Time that a response which asks for rest and the requests sent before it may take.
REST_NOTICE_S = 0.5


@dataclass
class CallerLoad:
    """Requests that arrive at random moments, ``rate`` a second over all routers.

    ``weights`` says how the requests are spread over the routers, evenly if it is
    empty. ``responses`` are those received so far, and ``routers`` has the index of the
    router that each request was sent to, by its id.
    """

    harness: RouterHarness
    target: str
    rate: float
    weights: list[float] = field(default_factory=list)
    sent: int = 0
    responses: list[Response] = field(default_factory=list)
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
        try:
            response = await self.harness.request(
                self.target, router=index, request_id=request_id
            )
        except TransportError:
            # A router that is stopped just then closes the connection.
            return
        self.responses.append(response)


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
    "most_during_rest",
    "most_in_window",
]
