"""Idle connections to endpoints, kept for the next request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from hemlockhall_router.connection.client import ClientConnection

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import ResponseHead

Address = tuple[str, int]

# Seconds an idle connection is kept when the endpoint names no time; below
# the usual idle timeout of HTTP servers of 5 s.
IDLE_S = 4.0
# Part of the endpoint's own idle timeout that is used: the rest covers the
# time that its close takes to arrive here.
IDLE_SHARE = 0.6
# Idle connections kept for an endpoint; more are closed at once, because an
# endpoint accepts a bounded number from all hosts together.
IDLE_MAX = 16


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[ClientConnection]] = {}

    async def take_idle(self, address: Address) -> ClientConnection | None:
        """Return an idle connection that is still sound, or None."""
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable():
                return conn
            await conn.close()
        return None

    async def acquire(self, address: Address, deadline: float) -> ClientConnection:
        """Return an idle connection, or a new one."""
        conn = await self.take_idle(address)
        if conn is not None:
            return conn
        return await ClientConnection.open(address[0], address[1], deadline)

    async def release(
        self, address: Address, conn: ClientConnection, head: ResponseHead
    ) -> None:
        """Keep a connection after a complete answer, or close it."""
        idle = self._idle.setdefault(address, [])
        if not conn.reusable or len(idle) >= IDLE_MAX:
            await conn.close()
            return
        conn.idle_deadline = time.monotonic() + _idle_s(head)
        idle.append(conn)

    async def close_expired(self) -> None:
        """Close the connections whose time is over."""
        # The lists are changed before anything is awaited: requests take
        # connections from them meanwhile.
        ended: list[ClientConnection] = []
        for address in list(self._idle):
            sound: list[ClientConnection] = []
            for conn in self._idle[address]:
                (sound if conn.is_usable() else ended).append(conn)
            self._idle[address] = sound
            if not sound:
                del self._idle[address]
        for conn in ended:
            await conn.close()

    async def drop(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, []):
            await conn.close()


def _idle_s(head: ResponseHead) -> float:
    value = head.header(b"keep-alive") or b""
    for part in value.split(b","):
        key, _, seconds = part.strip().partition(b"=")
        if key.lower() == b"timeout" and seconds.isdigit():
            return min(IDLE_S, int(seconds) * IDLE_SHARE)
    return IDLE_S


__all__ = [
    "Address",
    "ConnectionPool",
]
