"""Connections between hosts: the limits of messages."""

from __future__ import annotations

import time
import zlib

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from hemlockhall_router.connection.link import (
    MAX_FETCH_BYTES,
    Delta,
    Fetch,
    Link,
    LinkError,
    Message,
    TableRow,
)

pytestmark = pytest.mark.anyio


async def accept(data: bytes) -> Message | LinkError:
    """Return what an accepted connection receives on which these bytes arrive."""
    received: list[Message | LinkError] = []

    async def serve(stream: SocketStream) -> None:
        link = Link(stream)
        try:
            received.append(await link.receive(time.monotonic() + 10))
        except LinkError as exc:
            received.append(exc)
        await link.close()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(data)
            with anyio.fail_after(15):
                while not received:
                    await anyio.sleep(0.005)
        group.cancel_scope.cancel()
    return received[0]


class TestLimits:
    async def test_an_accepted_connection_reads_no_long_message(self) -> None:
        """Guards against hundreds of connections that each announce 16 MiB, which are
        buffered until the deadline."""
        length = (MAX_FETCH_BYTES + 1).to_bytes(4, "big")
        assert isinstance(await accept(length), LinkError)

    async def test_an_accepted_connection_decompresses_no_long_message(self) -> None:
        body = zlib.compress(b"\0" * 1_000_000)
        assert len(body) < MAX_FETCH_BYTES
        data = len(body).to_bytes(4, "big") + body
        assert isinstance(await accept(data), LinkError)

    async def test_a_request_and_a_large_response_pass(self) -> None:
        rows = [TableRow(f"k{n}", bytes(range(256)) * 40, n, False) for n in range(500)]
        delta = Delta("endpoints", 9, True, rows)

        async def serve(stream: SocketStream) -> None:
            link = Link(stream)
            assert await link.receive(time.monotonic() + 10) == Fetch("endpoints", 3)
            await link.send(delta, time.monotonic() + 10)
            await link.wait_closed(time.monotonic() + 10)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            link = await Link.open("127.0.0.1", port, time.monotonic() + 10)
            await link.send(Fetch("endpoints", 3), time.monotonic() + 10)
            assert await link.receive(time.monotonic() + 10) == delta
            await link.close()
            group.cancel_scope.cancel()
