"""Endpoints of a soak, each of which is replaced after it ended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from anyio.abc import TaskGroup

    from hemlockhall_standins.soak.history import History

# The store removes the entry of an endpoint that ended after this time.
ENTRY_LAPSE_S = 3.6
# An endpoint that leaves goes on for so long.
LEAVE_S = 2.5


class Pool:
    """The endpoints of one service.

    Parameters
    ----------
    service : str
        Its name.
    make_endpoint : callable
        Returns a new endpoint for an id; it is not started yet.
    remove_entry : callable
        Removes the entry of an endpoint from the store.
    address : str
        The IP address at which endpoints listen.
    history : History
        Gets what happens to endpoints.
    group : TaskGroup
        Runs what takes time.
    """

    def __init__(
        self,
        service: str,
        make_endpoint: Callable[[str], Any],
        remove_entry: Callable[[str], Any],
        address: str,
        history: History,
        group: TaskGroup,
    ) -> None:
        self.service = service
        self.endpoints: list[Any] = []
        self._make_endpoint = make_endpoint
        self._remove_entry = remove_entry
        self._address = address
        self._history = history
        self._group = group
        self._started = 0

    async def start_one(self) -> None:
        """Start an endpoint under a new id."""
        self._started += 1
        endpoint = self._make_endpoint(f"{self.service}-{self._started}")
        endpoint.on_crash = lambda: self.crash(endpoint, back_after_s=1.0)
        self._note(endpoint, "start")
        await endpoint.start(self._address)
        self.endpoints.append(endpoint)

    def crash(self, endpoint: Any, back_after_s: float) -> None:
        """End an endpoint; another one starts in its place later."""
        if endpoint not in self.endpoints:
            return
        self.endpoints.remove(endpoint)
        self._note(endpoint, "crash")
        endpoint.crash()
        self._group.start_soon(self._replace, endpoint, back_after_s)

    def reset(self, endpoint: Any) -> None:
        """Reset the connections of an endpoint."""
        self._note(endpoint, "reset")
        endpoint.reset()

    async def silence(self, endpoint: Any, seconds: float) -> None:
        """Let an endpoint send nothing for a while."""
        self._note(endpoint, "silent")
        endpoint.fall_silent()
        await anyio.sleep(seconds)
        self._note(endpoint, "awake")
        endpoint.wake()

    async def leave(self, endpoint: Any) -> None:
        """Let an endpoint drain and end, as planned; another one takes its place."""
        if endpoint not in self.endpoints:
            return
        self.endpoints.remove(endpoint)
        self._note(endpoint, "drain")
        await endpoint.drain()
        await self.start_one()
        await anyio.sleep(LEAVE_S)
        self._note(endpoint, "left")
        await self._remove_entry(endpoint.name)
        endpoint.crash()

    def stop(self) -> None:
        """End all endpoints."""
        for endpoint in self.endpoints:
            endpoint.crash()

    def choose(self, rng: Random, count: int) -> list[Any]:
        """Return some of the endpoints that run."""
        return rng.sample(self.endpoints, min(count, len(self.endpoints)))

    async def _replace(self, endpoint: Any, back_after_s: float) -> None:
        lapses_at = time.monotonic() + ENTRY_LAPSE_S
        await anyio.sleep(back_after_s)
        await self.start_one()
        await anyio.sleep(max(0.0, lapses_at - time.monotonic()))
        await self._remove_entry(endpoint.name)

    def _note(self, endpoint: Any, what: str) -> None:
        self._history.add(
            "endpoint", endpoint=endpoint.name, service=self.service, what=what
        )


__all__ = [
    "Pool",
]
