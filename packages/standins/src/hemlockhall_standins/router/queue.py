"""Endpoint with slots and a bounded queue that is ordered by priority."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.connection.error import CallerDisconnectedError

if TYPE_CHECKING:
    from hemlockhall_standins.router.endpoint import ReceivedRequest

# Priority of a request that states none.
DEFAULT_PRIORITY = 5
PRIORITY_HEADER = "urgency"


@dataclass(order=True)
class _Place:
    """A place in the queue; ``decided`` is set once it got a slot or was rejected."""

    priority: int
    number: int
    has_slot: bool = field(default=False, compare=False)
    decided: anyio.Event = field(default_factory=anyio.Event, compare=False)


@dataclass
class QueuedRequests:
    """Handler of a ``ScriptedEndpoint`` that serves ``slots`` requests at once.

    Each takes ``service_s`` seconds. Up to ``queue`` others wait, the most urgent first
    and those of one priority in the order of arrival. If there are more, the least
    urgent that came last is rejected. With ``events`` the response is a stream of so
    many events, spread over ``service_s``.

    ``rejected`` counts rejections, and ``work_s`` the seconds of service that were
    completed.
    """

    slots: int
    service_s: float
    queue: int
    events: int = 0
    rejected: int = 0
    work_s: float = 0.0
    running: int = 0
    _waiting: list[_Place] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def handle(self, received: ReceivedRequest) -> None:
        """Serve or reject one request; stop when its sender disconnects."""
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                await received.reader.wait_disconnect()
                received.ended = True
                group.cancel_scope.cancel()

            group.start_soon(watch)
            try:
                await self._serve(received)
            except (
                CallerDisconnectedError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                received.ended = True
            group.cancel_scope.cancel()

    async def _serve(self, received: ReceivedRequest) -> None:
        priority = int(received.header(PRIORITY_HEADER) or DEFAULT_PRIORITY)
        place = _Place(priority, next(self._numbers))
        try:
            self._enter(place)
            await place.decided.wait()
            if place.has_slot:
                await self._respond(received)
        finally:
            self._leave(place)
        if not place.has_slot:
            self.rejected += 1
            address = f"127.0.0.1:{received.endpoint.port}"
            await received.refuse(headers=f"at-fault: {address}\r\n")

    async def _respond(self, received: ReceivedRequest) -> None:
        if not self.events:
            await anyio.sleep(self.service_s)
            self.work_s += self.service_s
            await received.answer()
            return
        await received.begin()
        for number in range(1, self.events + 1):
            await anyio.sleep(self.service_s / self.events)
            await received.event(number)
        self.work_s += self.service_s
        await received.end()

    def _enter(self, place: _Place) -> None:
        self._waiting.append(place)
        self._fill_slots()
        if len(self._waiting) > self.queue:
            last = max(self._waiting)
            self._waiting.remove(last)
            last.decided.set()

    def _leave(self, place: _Place) -> None:
        if place in self._waiting:
            self._waiting.remove(place)
        if place.has_slot:
            self.running -= 1
            self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and self.running < self.slots:
            place = min(self._waiting)
            self._waiting.remove(place)
            self.running += 1
            place.has_slot = True
            place.decided.set()


__all__ = [
    "QueuedRequests",
]
