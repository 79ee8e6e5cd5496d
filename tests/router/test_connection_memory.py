"""What connections of callers that always have more to send hold in memory."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketStream

from hemlockhall_router.connection.body import receive
from hemlockhall_router.connection.caller import READ_BYTES

pytestmark = pytest.mark.anyio

# Turns of the event loop in which a transport that reads receives something.
TURNS = 50


@asynccontextmanager
async def connection(data: bytes) -> AsyncIterator[SocketStream]:
    """Yield the end of a connection whose other end sends the data without end."""
    ours, theirs = socket.socketpair()
    theirs.setblocking(False)
    stream = await SocketStream.from_socket(ours)
    peer = await SocketStream.from_socket(theirs)

    async def send() -> None:
        while True:
            await peer.send(data)

    async with anyio.create_task_group() as group, stream, peer:
        group.start_soon(send)
        yield stream
        group.cancel_scope.cancel()


async def let_run() -> None:
    for _ in range(TURNS):
        await anyio.sleep(0)


class TestTransport:
    async def test_it_does_not_read_between_two_calls(self) -> None:
        """Guards against a queue that grows while a request is served, as its caller
        had sent more before the first call."""
        async with connection(b"x" * READ_BYTES) as stream:
            await let_run()
            await receive(stream, READ_BYTES)
            before = len(stream._protocol.read_queue)
            await let_run()
            assert len(stream._protocol.read_queue) == before
