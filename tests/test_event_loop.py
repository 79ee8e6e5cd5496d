"""The tests' event loop: an accept cancelled while a connection arrives."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterator

import pytest

pytestmark = pytest.mark.anyio


@pytest.fixture()
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        yield server


def connect(listener: socket.socket) -> socket.socket:
    """Returns when the connection is in the listener's backlog."""
    client = socket.create_connection(listener.getsockname())
    select.select([listener], [], [])
    return client


async def cancel_accept_as_connection_arrives(
    listener: socket.socket,
) -> socket.socket:
    loop = asyncio.get_running_loop()
    accept = asyncio.create_task(loop.sock_accept(listener))
    # One turn of the loop: the accept finds no connection and waits for one.
    await asyncio.sleep(0)
    # The next turn cancels first and runs the listener's reader afterwards:
    # _run_once appends what the selector reports to the callbacks queued here.
    loop.call_soon(accept.cancel)
    client = connect(listener)
    with pytest.raises(asyncio.CancelledError):
        await accept
    return client


class TestAccept:
    async def test_cancelled_as_connection_arrives_raises_nothing_in_loop(
        self, listener: socket.socket
    ) -> None:
        """Guards against InvalidStateError failing whichever test ends next."""
        client = await cancel_accept_as_connection_arrives(listener)
        client.close()

    async def test_cancelled_as_connection_arrives_leaves_it_in_backlog(
        self, listener: socket.socket
    ) -> None:
        """Guards against a cancelled accept taking a connection and losing it."""
        with await cancel_accept_as_connection_arrives(listener) as client:
            connection, address = listener.accept()
            with connection:
                assert address == client.getsockname()

    async def test_not_cancelled_returns_connection(
        self, listener: socket.socket
    ) -> None:
        """Guards against the tests' loop ignoring connections it has to accept."""
        loop = asyncio.get_running_loop()
        accept = asyncio.create_task(loop.sock_accept(listener))
        await asyncio.sleep(0)
        with connect(listener) as client:
            connection, address = await accept
            with connection:
                assert address == client.getsockname()
