"""Endpoints that stop inside the head of a response and close."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import Any

import pytest

from hemlockhall_router.connection.error import TransportError
from hemlockhall_router.connection.message import Response
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import (
    RouterHarness,
    caller_text,
    router_harness,
)
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk", tries=1),
    RouteRow("/book/", "once", "desk", tries=1),
    RouteRow("/draft/", "stream", "pool", tries=1, resumable=True),
    RouteRow("/single/", "stream", "pool", tries=1),
]
TARGETS = [route.prefix for route in ROUTES]
BODY = b'{"a": 1}'
EVENT = b"id: 1\ndata: word1\n\n"
SIGNED = "signature: %s\r\nrequest-id: %s\r\n"
LENGTH = f"content-length: {len(BODY)}\r\n"
CHUNKED = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
# Heads without the empty line that ends them.
HEADS = {
    "length": "HTTP/1.1 200 OK\r\n" + SIGNED + LENGTH,
    "chunks": "HTTP/1.1 200 OK\r\n" + SIGNED + CHUNKED,
    "until-close": "HTTP/1.1 200 OK\r\n" + SIGNED,
    "older": "HTTP/1.0 200 OK\r\n" + SIGNED,
    "interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + SIGNED + LENGTH,
    "empty": "HTTP/1.1 200 OK\r\n" + SIGNED + "content-length: 0\r\n",
}


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


@dataclass
class CuttingEndpoint:
    """Sends ``sent`` bytes of the head of a response, then ``rest``, and closes.

    A request whose id begins with ``whole`` gets all of it.
    """

    head: str
    resets: bool = False
    sent: int = 0
    rest: bytes = b""
    arrived: list[str] = field(default_factory=list)

    async def handle(self, received: ReceivedRequest) -> None:
        request_id = received.header("request-id") or ""
        if request_id.startswith("whole"):
            if received.header("path") is None:
                await received.answer(200, BODY)
                return
            await received.begin()
            await received.event(1)
            await received.end()
            return
        self.arrived.append(request_id)
        head = (self.head % (received.endpoint.name, request_id)).encode()
        await received.stream.send(head[: self.sent] + self.rest)
        await (received.reset() if self.resets else received.close())

    @property
    def cuts(self) -> range:
        """All numbers of bytes that leave the head incomplete."""
        return range(1, len(self.head % ("e1", "cut-000")) + 2)


async def request(harness: RouterHarness, target: str, name: str) -> Response | None:
    """Send a request; return the response, None if the connection broke."""
    try:
        return await harness.request(target, method="POST", request_id=name)
    except TransportError:
        return None


def forgive(harness: RouterHarness) -> None:
    """Let endpoints that failed take requests again."""
    for record in harness.routers[0].directory.records.values():
        record.reset()


async def start(harness: RouterHarness, endpoint: CuttingEndpoint) -> None:
    await harness.start_endpoint("e1", endpoint.handle)
    row = {"layers": (0, 8), "accelerator": "big"}
    await harness.start_endpoint("e2", endpoint.handle, "pool", **row)


class TestCutHeads:
    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize("head", HEADS)
    @pytest.mark.parametrize("target", TARGETS)
    async def test_one_is_no_success(
        self, target: str, head: str, resets: bool
    ) -> None:
        """Guards against a 200 with an empty body in place of a response whose head did
        not end."""
        endpoint = CuttingEndpoint(HEADS[head], resets)
        async with router_harness(ROUTES) as harness:
            await start(harness, endpoint)
            for cut in [*endpoint.cuts[::23], *endpoint.cuts[-3:]]:
                endpoint.sent = cut
                endpoint.arrived.clear()
                response = await request(harness, target, f"cut-{cut:03}")
                assert endpoint.arrived
                assert response is None or response.head.status in (502, 504)
                forgive(harness)

    @pytest.mark.parametrize("target", TARGETS)
    async def test_one_on_a_kept_connection_is_no_success(self, target: str) -> None:
        """Guards against the same where the response before it was whole."""
        endpoint = CuttingEndpoint(HEADS["length"])
        async with router_harness(ROUTES) as harness:
            await start(harness, endpoint)
            for cut in [*endpoint.cuts[::23], *endpoint.cuts[-2:]]:
                endpoint.sent = cut
                endpoint.arrived.clear()
                conn = await harness.connect()
                whole = partial(caller_text, target, "POST", request_id=f"whole-{cut}")
                for text in (whole(), caller_text(target, "POST", request_id="cut-1")):
                    await conn.send(text, float("inf"))
                    try:
                        response = await conn.read_response(float("inf"))
                    except TransportError:
                        response = None
                    if text == whole():
                        assert response is not None
                        assert response.head.status == 200
                assert endpoint.arrived
                assert response is None or response.head.status in (502, 504)
                await conn.close()
                forgive(harness)

    @pytest.mark.parametrize(
        "rest", [BODY, EVENT, b"0\r\n", b"0\r\n\r\n", b"\r", b"\n\0", b"data: x\n"]
    )
    @pytest.mark.parametrize("target", TARGETS)
    async def test_a_body_without_the_empty_line_is_no_success(
        self, target: str, rest: bytes
    ) -> None:
        """Guards against a body that is read as header fields, and a response without
        one that looks whole."""
        for head in HEADS.values():
            endpoint = CuttingEndpoint(head, rest=rest, sent=len(head) + 100)
            async with router_harness(ROUTES) as harness:
                await start(harness, endpoint)
                response = await request(harness, target, "cut-1")
            assert endpoint.arrived
            assert response is None or response.head.status in (502, 504)
