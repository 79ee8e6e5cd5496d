"""Client connections: framing of responses, and reuse."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from hemlockhall_router.connection.body import BodyBudget
from hemlockhall_router.connection.client import (
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_RESPONSES_PER_REQUEST,
    MAX_SKIPPED_BYTES,
    ClientConnection,
)
from hemlockhall_router.connection.error import (
    ConnectionLostError,
    ProtocolError,
    ReadTimeoutError,
)
from hemlockhall_standins.router.endless import (
    BODIES,
    CHUNKED,
    FRAMINGS,
    HEADS,
    OK,
    SOCKET_BYTES,
    EndlessResponse,
)

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


@asynccontextmanager
async def endless_server(
    start: bytes, repeated: bytes
) -> AsyncIterator[tuple[ClientConnection, EndlessResponse]]:
    """Connect to a server that sends ``repeated`` until the connection is closed."""
    response = EndlessResponse(start, repeated)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, response.serve)
        conn = await ClientConnection.open("127.0.0.1", port, deadline())
        await conn.send(b"GET / HTTP/1.1\r\n\r\n", deadline())
        yield conn, response
        await conn.close()
        with anyio.fail_after(10):
            while response.open:
                await anyio.sleep(0.005)
        group.cancel_scope.cancel()


class TestEndlessResponses:
    """The server counts what it sent until the connection was closed."""

    @pytest.mark.parametrize("case", HEADS)
    async def test_a_head_is_given_up_at_its_limit(self, case: str) -> None:
        """Guards against heads that fill the memory (header fields: 421 MB in 1.5 s),
        or are read at full speed until the deadline."""
        async with endless_server(*HEADS[case]) as (conn, response):
            with pytest.raises(ProtocolError):
                await conn.read_response(deadline())
            assert not conn.reusable
        assert response.sent[0] <= MAX_HEAD_BYTES + SOCKET_BYTES

    @pytest.mark.parametrize("case", FRAMINGS)
    async def test_framing_of_a_body_is_given_up_at_its_limit(self, case: str) -> None:
        """Guards against trailers that fill the memory (323 MB in 1.5 s), and against
        chunk sizes and extensions that are read at full speed until the deadline."""
        async with endless_server(*FRAMINGS[case]) as (conn, response):
            with pytest.raises(ProtocolError):
                await conn.read_response(deadline())
            assert not conn.reusable
        assert response.sent[0] <= MAX_FRAMING_BYTES + SOCKET_BYTES

    @pytest.mark.parametrize("case", FRAMINGS)
    async def test_framing_of_a_stream_is_given_up_at_its_limit(
        self, case: str
    ) -> None:
        async with endless_server(*FRAMINGS[case]) as (conn, response):
            with pytest.raises(ProtocolError):
                await conn.read_head(deadline())
                while await conn.read_chunk(deadline()) is not None:
                    continue
            assert not conn.reusable
        assert response.sent[0] <= MAX_FRAMING_BYTES + SOCKET_BYTES

    @pytest.mark.parametrize("case", BODIES)
    async def test_a_body_is_given_up_at_its_limit(self, case: str) -> None:
        async with endless_server(*BODIES[case]) as (conn, response):
            with pytest.raises(ProtocolError):
                await conn.read_response(deadline(), max_body_bytes=1_000_000)
            assert not conn.reusable
        # Small chunks have five bytes of framing for two of the body.
        assert response.sent[0] <= 3.5 * 1_000_000 + SOCKET_BYTES

    async def test_a_body_that_states_a_length_above_the_limit_is_not_read(
        self,
    ) -> None:
        async with endless_server(*BODIES["body of a length"]) as (conn, response):
            with pytest.raises(ProtocolError):
                await conn.read_response(deadline())
        assert response.sent[0] <= SOCKET_BYTES

    async def test_late_responses_are_given_up_at_their_limit(self) -> None:
        """Guards against a connection on which responses to other requests come without
        end: each is whole, and all are read and thrown away until the deadline."""
        late = make_response(1, b"late" * 10)
        async with endless_server(b"", late) as (conn, response):
            with pytest.raises(ProtocolError):
                while True:
                    await conn.read_head(deadline())
                    await conn.skip_response(deadline())
        assert response.sent[0] <= SOCKET_BYTES

    async def test_one_late_response_is_given_up_at_its_limit(self) -> None:
        start, repeated = BODIES["body until the end of the connection"]
        async with endless_server(start, repeated) as (conn, response):
            await conn.read_head(deadline())
            with pytest.raises(ProtocolError):
                await conn.skip_response(deadline())
        assert response.sent[0] <= MAX_SKIPPED_BYTES + SOCKET_BYTES

    async def test_a_head_that_comes_a_byte_at_a_time_ends_at_the_deadline(
        self,
    ) -> None:
        """Guards against a deadline that counts from the last byte."""
        head = OK + b"name: " + b"v" * 1000
        pieces = [head[n : n + 1] for n in range(len(head))]
        async with server(*pieces) as conn:
            with pytest.raises(ReadTimeoutError):
                await conn.read_response(time.monotonic() + 0.2)

    async def test_a_body_that_comes_a_byte_at_a_time_ends_at_the_deadline(
        self,
    ) -> None:
        async with server(OK + b"\r\n", *[b"x"] * 1000) as conn:
            with pytest.raises(ReadTimeoutError):
                await conn.read_response(time.monotonic() + 0.2)


class TestLargeResponses:
    """What is legal, and large or oddly framed, is read whole."""

    async def test_many_header_fields(self) -> None:
        lines = b"".join(b"name-%d: %b\r\n" % (n, b"v" * 100) for n in range(200))
        text = OK + lines + b"content-length: 2\r\n\r\nab"
        async with server(text[:9000], text[9000:]) as conn:
            response = await conn.read_response(deadline())
            assert response.head.header(b"name-199") == b"v" * 100
            assert response.body == b"ab"
            assert conn.reusable

    async def test_interim_responses_before_the_final_one(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nlink: </style>\r\n\r\n" * 20
        async with server(interim + make_response(1, b"one")) as conn:
            assert (await conn.read_response(deadline())).body == b"one"
            assert conn.reusable

    async def test_chunks_of_one_byte_with_extensions(self) -> None:
        body = bytes(range(256)) * 100
        chunks = b"".join(b"1;n=v\r\n%c\r\n" % byte for byte in body)
        text = CHUNKED + chunks + b"0\r\n\r\n"
        async with server(text) as conn:
            assert (await conn.read_response(deadline())).body == body
            assert conn.reusable

    async def test_a_body_of_several_megabytes(self) -> None:
        body = b"0123456789abcdef" * 300_000
        async with server(make_response(1, body)) as conn:
            assert (await conn.read_response(deadline())).body == body
            assert conn.reusable

    async def test_trailers_are_no_header_fields(self) -> None:
        """Guards against a response whose trailer says that it was not executed, or
        has a signature, after its head said nothing of it."""
        text = CHUNKED + b"1\r\na\r\n0\r\nnot-run: 1\r\n\r\n"
        async with server(text) as conn:
            response = await conn.read_response(deadline())
            assert response.body == b"a"
            assert response.head.header(b"not-run") is None
            assert conn.reusable


class TestBodyBudget:
    def test_the_largest_incomplete_body_gives_way(self) -> None:
        """Guards against bodies without an end, hundreds at once, that fill the memory
        or leave no room for the others."""
        budget = BodyBudget(1000)
        endless, other = budget.open(5000), budget.open(5000)
        other.append(b"x" * 300)
        endless.append(b"x" * 600)
        other.append(b"x" * 200)
        assert budget.used == 500
        with pytest.raises(ProtocolError):
            endless.append(b"x")
        assert other.complete() == b"x" * 500

    def test_a_body_gives_way_itself_if_it_is_the_largest(self) -> None:
        budget = BodyBudget(1000)
        other, endless = budget.open(5000), budget.open(5000)
        other.append(b"x" * 300)
        with pytest.raises(ProtocolError):
            for _ in range(100):
                endless.append(b"x" * 100)
        assert budget.used == 300

    def test_a_complete_body_counts_until_it_is_dropped(self) -> None:
        budget = BodyBudget(1000)
        first = budget.open(5000)
        first.append(b"x" * 900)
        assert first.complete() == b"x" * 900
        with pytest.raises(ProtocolError):
            budget.open(5000).append(b"x" * 200)
        del first
        assert budget.used == 0
        budget.open(5000).append(b"x" * 200)

    async def test_bodies_of_many_connections_stay_within_it(self) -> None:
        budget = BodyBudget(3_000_000)
        start, repeated = BODIES["body until the end of the connection"]
        most = 0
        async with AsyncExitStack() as stack:
            conns = []
            for _ in range(20):
                pair = await stack.enter_async_context(endless_server(start, repeated))
                conns.append(pair[0])

            async def read(conn: ClientConnection) -> None:
                nonlocal most
                conn.body_budget = budget
                with pytest.raises(ProtocolError):
                    await conn.read_response(deadline(), max_body_bytes=1_000_000)
                most = max(most, budget.used)
                await conn.close()

            async with anyio.create_task_group() as group:
                for conn in conns:
                    group.start_soon(read, conn)
        assert budget.used == 0
        assert most <= 3_000_000


class TestCancelledReads:
    async def test_a_head_may_be_waited_for_in_many_short_calls(self) -> None:
        """Guards against a silent response that counts as broken since reads of its
        head were cancelled and repeated."""
        async with server() as conn:
            for _ in range(3 * MAX_RESPONSES_PER_REQUEST):
                with anyio.move_on_after(0.005):
                    await conn.read_head(deadline())
            with pytest.raises(ReadTimeoutError):
                await conn.read_head(time.monotonic())


class TestStatus:
    @pytest.mark.parametrize("status", ["000", "099", "600", "999", "101"])
    async def test_one_that_is_none_raises_a_protocol_error(self, status: str) -> None:
        """Guards against a status below 200 that is taken for an interim response, for
        which another one follows, and one above 599 that is passed on."""
        text = f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n".encode()
        async with server(text) as conn:
            with pytest.raises(ProtocolError):
                await conn.read_response(deadline())
            assert not conn.reusable
