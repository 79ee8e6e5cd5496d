"""Validation and limits of callers' requests."""

from __future__ import annotations

import time

import anyio
import pytest

from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import caller_text, router_harness

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/read/", "idempotent", "desk", timeout_s=1.0)]
READ = b"GET /read/x HTTP/1.1\r\nHost: hall.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


async def respond(received: ReceivedRequest) -> None:
    await received.answer(200, received.body)


async def status_of(harness, data: bytes) -> int:  # noqa: ANN001
    conn = await harness.connect()
    try:
        deadline = time.monotonic() + 20
        await conn.send(data, deadline)
        return (await conn.read_response(deadline)).head.status
    finally:
        await conn.close()


class TestAmbiguousRequests:
    @pytest.mark.parametrize(
        "lines",
        [
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n",
            b"Content-Length : 3\r\n\r\nabc",
            b"Host: other.example\r\n\r\n",
            b"Content-Length: -1\r\n\r\n",
        ],
    )
    async def test_ambiguous_framing_gets_400(self, lines: bytes) -> None:
        """If two HTTP parsers disagree on where a request ends, a caller can
        smuggle a second request in the body of the first."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            assert await status_of(harness, READ + lines) == 400
            assert not endpoint.received

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            conn = await harness.connect()
            deadline = time.monotonic() + 20
            text = caller_text("/read/x", "POST", b"one", request_id="1")
            text += caller_text("/read/x", "POST", b"two", request_id="2")
            await conn.send(text, deadline)
            assert (await conn.read_response(deadline)).body == b"one"
            assert (await conn.read_response(deadline)).body == b"two"
            await conn.close()


class TestLimits:
    async def test_a_large_head_gets_431(self) -> None:
        async with router_harness(ROUTES) as harness:
            lines = b"X-Long: " + b"a" * 5000 + b"\r\n\r\n"
            assert await status_of(harness, READ + lines) == 431

    async def test_a_large_body_gets_413(self) -> None:
        async with router_harness(ROUTES, body_bytes=10) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            text = caller_text("/read/x", "POST", b"0123456789a")
            assert await status_of(harness, text) == 413
            assert not endpoint.received

    async def test_a_slow_head_gets_408(self) -> None:
        async with router_harness(ROUTES) as harness:
            assert await status_of(harness, READ) == 408

    async def test_slow_bodies_get_408(self) -> None:
        """Fifty callers never complete their bodies; without a deadline for the
        whole body they would hold their connections for ever."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            statuses: list[int] = []

            async def send_slowly() -> None:
                conn = await harness.connect()
                deadline = time.monotonic() + 20
                lines = b"Deadline-Ms: 300\r\nContent-Length: 1000\r\n\r\n"
                await conn.send(READ + lines, deadline)
                statuses.append((await conn.read_response(deadline)).head.status)
                await conn.close()

            async with anyio.create_task_group() as group:
                for _ in range(50):
                    group.start_soon(send_slowly)
            assert statuses == [408] * 50


class TestEndlessRequests:
    @pytest.mark.parametrize(
        ("start", "repeated", "status"),
        [
            (READ, b"name: value\r\n", 431),
            (READ, b"a:\r\n", 431),
            (READ + b"name: ", b"v", 431),
            (READ + CHUNKED, b"0", 400),
            (READ + CHUNKED + b"1;", b"x", 400),
            (READ + CHUNKED + b"0\r\n", b"name: value\r\n", 400),
            (READ + CHUNKED + b"0\r\nname: ", b"v", 400),
            (READ + CHUNKED, b"2\r\nab\r\n", 400),
            (READ + CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n", 413),
        ],
    )
    async def test_one_is_refused_at_the_limit(
        self, start: bytes, repeated: bytes, status: int
    ) -> None:
        """Guards against trailers that fill the memory, and against chunk sizes and
        extensions that are read at full speed until the deadline."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            conn = await harness.connect()
            deadline = time.monotonic() + 20
            await conn.send(start, deadline)
            piece = repeated * max(1, 32_768 // len(repeated))
            sent = 0
            async with anyio.create_task_group() as group:

                async def send() -> None:
                    nonlocal sent
                    while True:
                        await conn._stream.send(piece)
                        sent += len(piece)

                group.start_soon(send)
                response = await conn.read_response(deadline)
                at_response = sent
                group.cancel_scope.cancel()
            await conn.close()
            assert response.head.status == status
            # The limits and what is in the buffers of the sockets.
            assert at_response <= 6_000_000
            assert not endpoint.received

    async def test_trailers_are_not_forwarded(self) -> None:
        """Guards against header fields after the head was checked: a second host, or
        the customer of another key."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            read = READ + b"Request-Id: r1\r\n"
            text = b"1\r\na\r\n0\r\nHost: other.example\r\nX-Else: y\r\n\r\n"
            assert await status_of(harness, read + CHUNKED + text) == 200
            head = endpoint.received[0].head
            assert head.header(b"x-else") is None
            hosts = [value for key, value in head.headers if key.lower() == b"host"]
            assert hosts == [b"hall.example"]
            assert endpoint.received[0].body == b"a"
