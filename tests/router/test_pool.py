"""Pool of idle connections."""

from __future__ import annotations

import anyio
import pytest

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.message import ResponseHead
from hemlockhall_router.connection.pool import ConnectionPool

pytestmark = pytest.mark.anyio

ADDRESS = ("127.0.0.1", 1)


class SlowClosingConnection(ClientConnection):
    """A connection whose close takes a while."""

    def __init__(self) -> None:
        self.reusable = True
        self.idle_deadline = 0.0
        self.usable = True

    def is_usable(self) -> bool:
        return self.usable

    async def close(self) -> None:
        await anyio.sleep(0.01)


class TestCloseExpired:
    async def test_a_request_takes_a_connection_while_others_are_closed(self) -> None:
        """Guards against a pool that fails, and ends the process, if a request takes
        the second of two expired connections while the pool closes the first."""
        pool = ConnectionPool()
        conns = [SlowClosingConnection(), SlowClosingConnection()]
        for conn in conns:
            await pool.release(ADDRESS, conn, ResponseHead(200, b"", []))
            conn.usable = False
        async with anyio.create_task_group() as group:
            group.start_soon(pool.close_expired)
            await anyio.sleep(0.005)
            assert await pool.take_idle(ADDRESS) is None
        assert await pool.take_idle(ADDRESS) is None


class TestIdleTimeout:
    @pytest.mark.parametrize("seconds", [b"9" * 5000, b"-1", b"\xb2", b""])
    async def test_an_odd_one_fails_no_response(self, seconds: bytes) -> None:
        """Guards against a number of many digits that fails the request."""
        pool = ConnectionPool()
        head = ResponseHead(200, b"", [(b"Keep-Alive", b"timeout=" + seconds)])
        await pool.release(ADDRESS, SlowClosingConnection(), head)
        assert await pool.take_idle(ADDRESS) is not None
