"""Client connections: framing of responses, and reuse."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.error import ConnectionLostError, ProtocolError

pytestmark = pytest.mark.anyio


def make_response(number: int, body: bytes, status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nnumber: {number}\r\ncontent-length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def deadline() -> float:
    return time.monotonic() + 10


@asynccontextmanager
async def server(
    *writes: bytes, close: bool = False
) -> AsyncIterator[ClientConnection]:
    """Connect to a server that sends ``writes`` after it received something.

    It then closes the connection if ``close``, and else keeps it open.
    """

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            for data in writes:
                await stream.send(data)
                await anyio.sleep(0.03)
            if not close:
                await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        conn = await ClientConnection.open("127.0.0.1", port, deadline())
        await conn.send(b"GET / HTTP/1.1\r\n\r\n", deadline())
        yield conn
        await conn.close()
        group.cancel_scope.cancel()


class TestResponses:
    async def test_a_late_response_and_part_of_the_next_in_one_read(self) -> None:
        """Guards against a response without its first half: that half arrives in one
        read with a late response to an earlier request, and is added to its body."""
        late = make_response(1, b"late", 503)
        current = make_response(2, b"0123456789")
        async with server(late + current[:-5], current[-5:]) as conn:
            first = await conn.read_response(deadline())
            assert (first.head.status, first.body) == (503, b"late")
            second = await conn.read_response(deadline())
            assert second.head.header(b"number") == b"2"
            assert (second.head.status, second.body) == (200, b"0123456789")

    async def test_a_connection_is_not_reusable_while_a_response_is_awaited(
        self,
    ) -> None:
        """Guards against a connection that stays open as idle though its request was
        abandoned after a late response: the endpoint would go on with the request."""
        async with server(make_response(1, b"late")) as conn:
            await conn.read_response(deadline())
            with pytest.raises(ConnectionLostError):
                await conn.read_head(time.monotonic() + 0.1)
            assert not conn.reusable

    async def test_an_extra_response_makes_the_connection_unusable(self) -> None:
        async with server(make_response(1, b"one") + make_response(1, b"two")) as conn:
            assert (await conn.read_response(deadline())).body == b"one"
            assert not conn.reusable

    async def test_a_response_in_small_reads(self) -> None:
        text = make_response(1, b"0123456789")
        pieces = [text[n : n + 7] for n in range(0, len(text), 7)]
        async with server(*pieces) as conn:
            assert (await conn.read_response(deadline())).body == b"0123456789"
            assert conn.reusable

    async def test_an_interim_response_is_skipped(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        async with server(interim, make_response(1, b"one")) as conn:
            response = await conn.read_response(deadline())
            assert (response.head.status, response.body) == (200, b"one")
            assert conn.reusable

    async def test_invalid_bytes_raise_a_protocol_error(self) -> None:
        async with server(b"\x00\x01garbage\r\n\r\n") as conn:
            with pytest.raises(ProtocolError):
                await conn.read_response(deadline())

    async def test_invalid_bytes_after_a_complete_response(self) -> None:
        async with server(make_response(1, b"one") + b"\x00\x01garbage") as conn:
            assert (await conn.read_response(deadline())).body == b"one"
            assert not conn.reusable

    async def test_a_truncated_chunk_raises_connection_lost(self) -> None:
        head = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"
        async with server(head + b"5\r\nabc", close=True) as conn:
            with pytest.raises(ConnectionLostError):
                await conn.read_response(deadline())

    async def test_a_response_to_head_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n"
        async with server(head) as conn:
            assert (await conn.read_response(deadline(), no_body=True)).body == b""
            assert not conn.reusable
