"""Pool of idle connections to endpoints."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.decoding import decode_number

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import ResponseHead

Address = tuple[str, int]

# Longest time that a connection stays idle, also if the endpoint states none or a
# longer one; below the 5 s common to HTTP servers.
IDLE_TIMEOUT_S = 4.0
# Fraction of the endpoint's stated idle timeout: the rest covers the delay until its
# close arrives here.
IDLE_TIMEOUT_FRACTION = 0.6
# Bounded because an endpoint accepts a limited number of connections from all hosts.
MAX_IDLE_PER_ENDPOINT = 16


class ConnectionPool:
    """Idle connections by address; safe for concurrent tasks."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[ClientConnection]] = {}

    async def take_idle(self, address: Address) -> ClientConnection | None:
        """Return a usable idle connection, or None; close unusable ones."""
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable():
                return conn
            await conn.close()
        return None

    async def acquire(self, address: Address, deadline: float) -> ClientConnection:
        """Return an idle connection, or open one before ``deadline``."""
        conn = await self.take_idle(address)
        if conn is not None:
            return conn
        return await ClientConnection.open(address[0], address[1], deadline)

    async def release(
        self, address: Address, conn: ClientConnection, head: ResponseHead
    ) -> None:
        """Return a connection to the pool after a complete response, or close it.

        The response's head may state the endpoint's idle timeout (``Keep-Alive``).
        """
        idle = self._idle.setdefault(address, [])
        if not conn.reusable or len(idle) >= MAX_IDLE_PER_ENDPOINT:
            await conn.close()
            return
        conn.idle_deadline = time.monotonic() + _idle_timeout_s(head)
        idle.append(conn)

    async def close_expired(self) -> None:
        """Close the connections that expired or are no longer usable."""
        # Update the lists before awaiting: meanwhile requests take connections.
        expired: list[ClientConnection] = []
        for address in list(self._idle):
            usable: list[ClientConnection] = []
            for conn in self._idle[address]:
                (usable if conn.is_usable() else expired).append(conn)
            self._idle[address] = usable
            if not usable:
                del self._idle[address]
        for conn in expired:
            await conn.close()

    async def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, []):
            await conn.close()


def _idle_timeout_s(head: ResponseHead) -> float:
    value = head.header(b"keep-alive") or b""
    for part in value.split(b","):
        key, _, seconds = part.strip().partition(b"=")
        number = decode_number(seconds)
        if key.lower() == b"timeout" and number is not None:
            return min(IDLE_TIMEOUT_S, number * IDLE_TIMEOUT_FRACTION)
    return IDLE_TIMEOUT_S


__all__ = [
    "Address",
    "ConnectionPool",
]
