"""Requests with one response: which are retried, and which status they get."""

from __future__ import annotations

import time

import anyio
import pytest

from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest, ScriptedEndpoint
from hemlockhall_standins.router.harness import caller_text, free_port, router_harness

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/read/far/", "idempotent", "annex"),
    RouteRow("/book/", "once", "desk"),
]


async def respond(request: ReceivedRequest) -> None:
    await request.answer(200, request.endpoint.name.encode())


async def refuse(request: ReceivedRequest) -> None:
    await request.refuse()


async def reset(request: ReceivedRequest) -> None:
    await request.reset()


async def respond_500(request: ReceivedRequest) -> None:
    await request.answer(500, b"broken")


class TestRoutes:
    async def test_longest_prefix_wins(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            await harness.start_endpoint("a1", respond, "annex")
            assert (await harness.request("/read/x")).body == b"d1"
            assert (await harness.request("/read/far/x?y=/book/")).body == b"a1"
            assert (await harness.request("/read/farther")).body == b"d1"

    async def test_unknown_paths_and_hosts_get_404(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond)
            assert (await harness.request("/read")).head.status == 404
            assert (await harness.request("/other/read/")).head.status == 404

    async def test_target_is_forwarded_unchanged(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            target = "/read/a%2Fb//c/../d?q=%7e&r=[1]"
            await harness.request(target, method="POST", body=b"\0body")
            assert endpoint.received[0].head.target == target.encode()
            assert endpoint.received[0].body == b"\0body"


class TestHeaders:
    async def test_caller_cannot_set_customer_endpoint_or_path(self) -> None:
        """A caller could act for another customer or choose its endpoint with headers
        that this host sets; its own are replaced."""
        async with router_harness(ROUTES, keys={"k1": "choir"}) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            headers = {
                "Api-Key": "k1",
                "Customer": "other",
                "Expected-Endpoint": "d9",
                "Path": "d9:0-8",
                "X-Else": "stays",
            }
            assert (
                await harness.request("/read/x", headers=headers)
            ).head.status == 200
            head = endpoint.received[0].head
            customers = [v for k, v in head.headers if k.lower() == b"customer"]
            assert customers == [b"choir"]
            assert head.header(b"expected-endpoint") == b"d1"
            assert head.header(b"path") is None
            assert head.header(b"api-key") is None
            assert head.header(b"x-else") == b"stays"

    async def test_forwarded_deadline_is_shorter(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            await harness.request("/read/x", headers={"Deadline-Ms": "900"})
            assert 0 < int(endpoint.received[0].header("deadline-ms") or "") < 900


class TestRetries:
    async def test_refused_non_idempotent_request_is_retried(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", refuse)
            endpoint = await harness.start_endpoint("d2", respond)
            for number in range(6):
                key = f"b{number}"
                response = await harness.request(
                    "/book/x", method="POST", request_id=key
                )
                assert response.body == b"d2"
            assert len(endpoint.received) == 6

    async def test_broken_non_idempotent_request_is_not_retried(self) -> None:
        """The endpoint resets the connection after reading the request, which may have
        run: it is not sent again, and the response has no Retry-After."""
        async with router_harness(ROUTES) as harness:
            first = await harness.start_endpoint("d1", reset)
            second = await harness.start_endpoint("d2", reset)
            response = await harness.request("/book/x", method="POST", body=b"loft")
            assert response.head.status == 502
            assert response.head.header(b"retry-after") is None
            assert len(first.received) + len(second.received) == 1

    async def test_unsent_non_idempotent_request_is_retried(self) -> None:
        async with router_harness(ROUTES) as harness:
            unreachable = ScriptedEndpoint("d1", respond, free_port())
            harness.register(unreachable, "desk")
            await harness.start_endpoint("d2", respond)
            await harness.wait_until(
                lambda: "d1" in harness.routers[0].directory.records
            )
            for number in range(4):
                key = f"b{number}"
                response = await harness.request(
                    "/book/x", method="POST", request_id=key
                )
                assert response.body == b"d2"

    async def test_broken_idempotent_request_is_retried(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", reset)
            await harness.start_endpoint("d2", respond)
            for number in range(4):
                response = await harness.request("/read/x", request_id=f"r{number}")
                assert response.body == b"d2"

    async def test_attempts_do_not_exceed_the_limit_of_the_route(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoints = [
                await harness.start_endpoint(f"d{n}", respond_500) for n in range(4)
            ]
            response = await harness.request("/read/x")
            assert (response.head.status, response.body) == (500, b"broken")
            assert sum(len(endpoint.received) for endpoint in endpoints) == 2

    async def test_failed_non_idempotent_request_keeps_its_response(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond_500)
            response = await harness.request("/book/x", method="POST")
            assert (response.head.status, response.body) == (500, b"broken")
            assert response.head.header(b"signature") == b"d1"
            assert len(endpoint.received) == 1


class TestGivingUp:
    async def test_full_endpoints_mean_503_with_retry_after(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", refuse)
            await harness.start_endpoint("d2", refuse)
            response = await harness.request("/book/x", method="POST")
            assert response.head.status == 503
            assert float(response.head.header(b"retry-after") or b"0") > 0
            assert response.head.header(b"signature") is None

    async def test_service_without_endpoints_means_503(self) -> None:
        async with router_harness(ROUTES) as harness:
            response = await harness.request("/book/x", method="POST")
            assert response.head.status == 503
            assert response.head.header(b"retry-after") is not None

    async def test_silent_non_idempotent_request_gets_504_at_its_timeout(self) -> None:
        async def never_respond(request: ReceivedRequest) -> None:
            await anyio.sleep_forever()

        routes = [RouteRow("/book/", "once", "desk", timeout_s=0.3)]
        async with router_harness(routes) as harness:
            await harness.start_endpoint("d1", never_respond)
            response = await harness.request("/book/x", method="POST")
            assert response.head.status == 504


class TestResponses:
    async def test_broken_response_never_looks_complete(self) -> None:
        """The endpoint resets inside the body, and the caller must not take the part
        for a complete response."""

        async def reset_inside_body(request: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\nsignature: d1\r\ncontent-length: 9\r\n\r\n"
            await request.stream.send(head + b"half")
            await request.reset()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", reset_inside_body)
            assert (await harness.request("/book/x", method="POST")).head.status == 502

    async def test_response_without_length_ends_with_its_connection(self) -> None:
        async def unframed(request: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\nsignature: d1\r\n\r\n"
            await request.stream.send(head + b"all of it")
            await request.close()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", unframed)
            response = await harness.request("/book/x", method="POST")
            assert (response.head.status, response.body) == (200, b"all of it")

    async def test_reset_response_without_length_is_not_complete(self) -> None:
        async def unframed(request: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\nsignature: d1\r\n\r\n"
            await request.stream.send(head + b"part")
            await anyio.sleep(0.05)
            await request.reset()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", unframed)
            assert (await harness.request("/book/x", method="POST")).head.status == 502

    @pytest.mark.parametrize("framed", [True, False])
    async def test_events_that_end_inside_an_event_are_not_complete(
        self, framed: bool
    ) -> None:
        """Guards against a stream of a plain service that looks complete to its caller
        though its endpoint broke it off inside an event."""

        async def break_off(request: ReceivedRequest) -> None:
            body = b"id: 1\ndata: word1\n\nid: 2\nda"
            head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            head += b"signature: d1\r\n"
            if framed:
                head += b"content-length: %d\r\n" % len(body)
            await request.stream.send(head + b"\r\n" + body)
            await request.close()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", break_off)
            assert (await harness.request("/book/x", method="POST")).head.status == 502

    async def test_whole_events_without_length_are_complete(self) -> None:
        body = b"id: 1\ndata: word1\n\n"

        async def send(request: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream; charset=utf-8"
            await request.stream.send(head + b"\r\nsignature: d1\r\n\r\n" + body)
            await request.close()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", send)
            response = await harness.request("/book/x", method="POST")
            assert (response.head.status, response.body) == (200, body)

    async def test_unsigned_success_is_not_relayed(self) -> None:
        async def unsigned(request: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
            await request.stream.send(head + b"hi")

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", unsigned)
            assert (await harness.request("/book/x", method="POST")).head.status == 502

    async def test_response_to_an_earlier_request_is_skipped(self) -> None:
        """An endpoint responds twice to a request on a pooled connection; the second
        copy must not be taken for the response to the next request."""

        async def respond_twice(request: ReceivedRequest) -> None:
            key = request.header("request-id") or ""
            await request.answer(200, b"mine " + key.encode())
            if request.header("request-id") == "r0":
                await anyio.sleep(0.05)
                await request.answer(200, b"again")

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", respond_twice)
            for number in range(3):
                response = await harness.request("/read/x", request_id=f"r{number}")
                assert response.body == b"mine r%d" % number
                await anyio.sleep(0.1)


class TestCallerDisconnects:
    async def test_endpoint_connection_is_closed_on_disconnect(self) -> None:
        started = anyio.Event()

        async def wait_for_disconnect(request: ReceivedRequest) -> None:
            started.set()
            await request.reader.wait_disconnect()
            request.endpoint.disconnects += 1
            request.ended = True

        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", wait_for_disconnect)
            conn = await harness.connect()
            await conn.send(caller_text("/read/x"), time.monotonic() + 5)
            with anyio.fail_after(5):
                await started.wait()
            await conn.close()
            await harness.wait_until(lambda: endpoint.disconnects == 1)


class TestKeys:
    async def test_withdrawn_key_gets_401(self) -> None:
        async with router_harness(
            ROUTES, keys={"k1": "choir", "k2": "parish"}
        ) as harness:
            await harness.start_endpoint("d1", respond)
            key = {"Api-Key": "k1"}
            assert (await harness.request("/read/x", headers=key)).head.status == 200
            assert (await harness.request("/read/x")).head.status == 401
            harness.keys = {"k2": "parish"}
            harness.configure()
            await harness.wait_until(lambda: harness.routers[0].routing.version == 2)
            assert (await harness.request("/read/x", headers=key)).head.status == 401
