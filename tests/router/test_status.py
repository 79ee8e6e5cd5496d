"""Responses whose status is none of HTTP."""

from __future__ import annotations

from functools import partial

import anyio
import pytest

from hemlockhall_standins.router.crashing import ROW
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import router_harness

pytestmark = pytest.mark.anyio

STATUSES = ["000", "099", "600", "999"]
ROUTES = [
    RouteRow("/read/", "idempotent", "desk", timeout_s=4.0),
    RouteRow("/book/", "once", "desk", timeout_s=4.0),
    RouteRow("/draft/", "stream", "pool", timeout_s=4.0),
]
# Until after the deadline of a request, which then gets 504.
OPEN_S = 10.0


async def respond(request: ReceivedRequest, status: str) -> None:
    request.ended = True
    head = f"HTTP/1.1 {status} X\r\nsignature: e1\r\ncontent-length: 4\r\n\r\nbody"
    await request.stream.send(head.encode())
    await anyio.sleep(OPEN_S)


async def serve(request: ReceivedRequest) -> None:
    await request.answer(200, b"body")


@pytest.mark.parametrize("status", STATUSES)
class TestEndpoints:
    @pytest.mark.parametrize("route", ["/book/", "/draft/"])
    async def test_a_request_that_may_have_run_gets_502_at_once(
        self, route: str, status: str
    ) -> None:
        """Guards against callers that get such a status as an answer, or wait until
        their deadline for another one."""
        async with router_harness(ROUTES) as harness:
            handler = partial(respond, status=status)
            service = "pool" if route == "/draft/" else "desk"
            row = ROW if service == "pool" else {}
            endpoint = await harness.start_endpoint("d1", handler, service, **row)
            response = await harness.request(f"{route}x", method="POST", body=b"x")
            assert response.head.status == 502
            assert len(endpoint.received) == 1

    async def test_a_lookup_is_repeated(self, status: str) -> None:
        """Guards against a lookup that is not repeated at a sound endpoint."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", partial(respond, status=status))
            await harness.start_endpoint("d2", serve)
            for number in range(4):
                response = await harness.request("/read/x", request_id=f"r{number}")
                assert response.head.status == 200
