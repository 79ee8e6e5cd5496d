"""Attempts of one request that run side by side."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.request.failure import AttemptFailedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.process.directory import EndpointRecord


class AttemptRace:
    """Runs attempts in a task group, whose owner cancels those that are left."""

    def __init__(
        self,
        group: TaskGroup,
        attempt: Callable[[EndpointRecord], Awaitable[Response]],
    ) -> None:
        self._group = group
        self._attempt = attempt
        self._ended = anyio.Event()
        self._results: deque[tuple[EndpointRecord, Response | AttemptFailedError]] = (
            deque()
        )
        self.running: dict[str, EndpointRecord] = {}

    def start(self, record: EndpointRecord) -> None:
        """Start an attempt at an endpoint."""
        self.running[record.endpoint.id] = record
        self._group.start_soon(self._run, record)

    async def next_result(
        self, deadline: float
    ) -> tuple[EndpointRecord, Response | AttemptFailedError] | None:
        """Return the result of the next attempt that ends, None after the deadline."""
        if not self._results:
            with anyio.move_on_after(max(0.0, deadline - time.monotonic())):
                await self._ended.wait()
        if not self._results:
            return None
        self._ended = anyio.Event()
        record, result = self._results.popleft()
        del self.running[record.endpoint.id]
        return record, result

    async def _run(self, record: EndpointRecord) -> None:
        result: Response | AttemptFailedError
        try:
            result = await self._attempt(record)
        except AttemptFailedError as exc:
            result = exc
        self._results.append((record, result))
        self._ended.set()


__all__ = [
    "AttemptRace",
]
