"""Connections to endpoints: each byte belongs to one answer."""

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


def answer(number: int, body: bytes, status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nnumber: {number}\r\ncontent-length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def deadline() -> float:
    return time.monotonic() + 10


@asynccontextmanager
async def server(
    *writes: bytes, reset: bool = False
) -> AsyncIterator[ClientConnection]:
    """Send ``writes`` one after another once something was received."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            for data in writes:
                await stream.send(data)
                await anyio.sleep(0.03)
            if not reset:
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


class TestAnswers:
    async def test_a_late_answer_and_part_of_the_next_in_one_read(self) -> None:
        """An answer to an earlier request arrives together with the head and
        half of the body of the answer that is due. The half was taken for the
        earlier answer's body, and the caller got only the rest."""
        late = answer(1, b"late", 503)
        due = answer(2, b"0123456789")
        async with server(late + due[:-5], due[-5:]) as conn:
            first = await conn.read_response(deadline())
            assert (first.head.status, first.body) == (503, b"late")
            second = await conn.read_response(deadline())
            assert second.head.header(b"number") == b"2"
            assert (second.head.status, second.body) == (200, b"0123456789")

    async def test_a_connection_is_in_use_while_the_due_answer_is_awaited(
        self,
    ) -> None:
        """A late answer is read and skipped, and then the request is given up.
        The connection looked idle and was never closed, so the endpoint went
        on with a request that nobody waited for."""
        async with server(answer(1, b"late")) as conn:
            await conn.read_response(deadline())
            with pytest.raises(ConnectionLostError):
                await conn.read_head(time.monotonic() + 0.1)
            assert not conn.reusable

    async def test_a_second_answer_makes_the_connection_unusable(self) -> None:
        async with server(answer(1, b"one") + answer(1, b"two")) as conn:
            assert (await conn.read_response(deadline())).body == b"one"
            assert not conn.reusable

    async def test_an_answer_in_small_pieces(self) -> None:
        text = answer(1, b"0123456789")
        pieces = [text[n : n + 7] for n in range(0, len(text), 7)]
        async with server(*pieces) as conn:
            assert (await conn.read_response(deadline())).body == b"0123456789"
            assert conn.reusable

    async def test_an_interim_answer_is_not_the_answer(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        async with server(interim, answer(1, b"one")) as conn:
            response = await conn.read_response(deadline())
            assert (response.head.status, response.body) == (200, b"one")
            assert conn.reusable

    async def test_bytes_that_are_no_answer(self) -> None:
        async with server(b"\x00\x01garbage\r\n\r\n") as conn:
            with pytest.raises(ProtocolError):
                await conn.read_response(deadline())

    async def test_spoilt_bytes_after_a_whole_answer(self) -> None:
        async with server(answer(1, b"one") + b"\x00\x01garbage") as conn:
            assert (await conn.read_response(deadline())).body == b"one"
            assert not conn.reusable

    async def test_a_cut_chunk_is_not_an_end(self) -> None:
        head = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"
        async with server(head + b"5\r\nabc", reset=True) as conn:
            with pytest.raises(ConnectionLostError):
                await conn.read_response(deadline())

    async def test_an_answer_to_head_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n"
        async with server(head) as conn:
            assert (await conn.read_response(deadline(), no_body=True)).body == b""
            assert not conn.reusable
