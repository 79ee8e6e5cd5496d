"""Idle connections."""

from __future__ import annotations

import anyio
import pytest

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.message import ResponseHead
from hemlockhall_router.connection.pool import ConnectionPool

pytestmark = pytest.mark.anyio

ADDRESS = ("127.0.0.1", 1)


class SlowlyClosed(ClientConnection):
    """A connection that was ended by the other side, slow to close."""

    def __init__(self) -> None:
        self.reusable = True
        self.idle_deadline = 0.0
        self.sound = True

    def is_usable(self) -> bool:
        return self.sound

    async def close(self) -> None:
        await anyio.sleep(0.01)


class TestSweep:
    async def test_a_request_takes_a_connection_while_others_are_closed(self) -> None:
        """Two idle connections were ended by the endpoint. While the first is
        being closed, a request looks for an idle one and removes the second;
        the sweep then found it missing and ended the process."""
        pool = ConnectionPool()
        conns = [SlowlyClosed(), SlowlyClosed()]
        for conn in conns:
            await pool.release(ADDRESS, conn, ResponseHead(200, b"", []))
            conn.sound = False
        async with anyio.create_task_group() as group:
            group.start_soon(pool.close_expired)
            await anyio.sleep(0.005)
            assert await pool.take_idle(ADDRESS) is None
        assert await pool.take_idle(ADDRESS) is None
