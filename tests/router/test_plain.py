"""Requests with one answer: what may be repeated, what a status promises."""

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


async def answer(arrival: ReceivedRequest) -> None:
    await arrival.answer(200, arrival.endpoint.name.encode())


async def refuse(arrival: ReceivedRequest) -> None:
    await arrival.refuse()


async def reset(arrival: ReceivedRequest) -> None:
    await arrival.reset()


async def fail(arrival: ReceivedRequest) -> None:
    await arrival.answer(500, b"broken")


class TestRoutes:
    async def test_the_longest_prefix_wins(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            await harness.start_endpoint("a1", answer, "annex")
            assert (await harness.request("/read/x")).body == b"d1"
            assert (await harness.request("/read/far/x?y=/book/")).body == b"a1"
            assert (await harness.request("/read/farther")).body == b"d1"

    async def test_unknown_paths_and_hosts_get_404(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", answer)
            assert (await harness.request("/read")).head.status == 404
            assert (await harness.request("/other/read/")).head.status == 404

    async def test_the_target_arrives_as_sent(self) -> None:
        async with router_harness(ROUTES) as harness:
            desk = await harness.start_endpoint("d1", answer)
            target = "/read/a%2Fb//c/../d?q=%7e&r=[1]"
            await harness.request(target, method="POST", body=b"\0body")
            assert desk.received[0].head.target == target.encode()
            assert desk.received[0].body == b"\0body"


class TestHeaders:
    async def test_a_caller_cannot_name_customer_endpoint_or_path(self) -> None:
        """A caller that sends the headers this host sets would act for another
        customer or choose its endpoint; its copies go, ours come."""
        async with router_harness(ROUTES, keys={"k1": "choir"}) as harness:
            desk = await harness.start_endpoint("d1", answer)
            own = {
                "Api-Key": "k1",
                "Customer": "other",
                "Expected-Endpoint": "d9",
                "Path": "d9:0-8",
                "X-Else": "stays",
            }
            assert (await harness.request("/read/x", headers=own)).head.status == 200
            head = desk.received[0].head
            customers = [v for k, v in head.headers if k.lower() == b"customer"]
            assert customers == [b"choir"]
            assert head.header(b"expected-endpoint") == b"d1"
            assert head.header(b"path") is None
            assert head.header(b"api-key") is None
            assert head.header(b"x-else") == b"stays"

    async def test_the_time_left_shrinks(self) -> None:
        async with router_harness(ROUTES) as harness:
            desk = await harness.start_endpoint("d1", answer)
            await harness.request("/read/x", headers={"Deadline-Ms": "900"})
            assert 0 < int(desk.received[0].header("deadline-ms") or "") < 900


class TestRepeating:
    async def test_a_refused_booking_runs_elsewhere(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", refuse)
            desk = await harness.start_endpoint("d2", answer)
            for number in range(6):
                key = f"b{number}"
                response = await harness.request(
                    "/book/x", method="POST", request_id=key
                )
                assert response.body == b"d2"
            assert len(desk.received) == 6

    async def test_a_broken_booking_is_not_repeated(self) -> None:
        """The endpoint resets the connection after it has read the booking:
        it may have run, so it is sent nowhere else and nothing is promised."""
        async with router_harness(ROUTES) as harness:
            first = await harness.start_endpoint("d1", reset)
            second = await harness.start_endpoint("d2", reset)
            response = await harness.request("/book/x", method="POST", body=b"loft")
            assert response.head.status == 502
            assert response.head.header(b"retry-after") is None
            assert len(first.received) + len(second.received) == 1

    async def test_an_unreachable_endpoint_did_not_run_a_booking(self) -> None:
        async with router_harness(ROUTES) as harness:
            gone = ScriptedEndpoint("d1", answer, free_port())
            harness.register(gone, "desk")
            await harness.start_endpoint("d2", answer)
            await harness.wait_until(
                lambda: "d1" in harness.routers[0].directory.records
            )
            for number in range(4):
                key = f"b{number}"
                response = await harness.request(
                    "/book/x", method="POST", request_id=key
                )
                assert response.body == b"d2"

    async def test_a_broken_read_is_repeated(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", reset)
            await harness.start_endpoint("d2", answer)
            for number in range(4):
                response = await harness.request("/read/x", request_id=f"r{number}")
                assert response.body == b"d2"

    async def test_a_read_is_tried_as_often_as_its_route_says(self) -> None:
        async with router_harness(ROUTES) as harness:
            desks = [await harness.start_endpoint(f"d{n}", fail) for n in range(4)]
            response = await harness.request("/read/x")
            assert (response.head.status, response.body) == (500, b"broken")
            assert sum(len(desk.received) for desk in desks) == 2

    async def test_a_failed_booking_keeps_its_answer(self) -> None:
        async with router_harness(ROUTES) as harness:
            desk = await harness.start_endpoint("d1", fail)
            response = await harness.request("/book/x", method="POST")
            assert (response.head.status, response.body) == (500, b"broken")
            assert response.head.header(b"signature") == b"d1"
            assert len(desk.received) == 1


class TestPromises:
    async def test_full_endpoints_mean_503_with_a_time_to_come_back(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", refuse)
            await harness.start_endpoint("d2", refuse)
            response = await harness.request("/book/x", method="POST")
            assert response.head.status == 503
            assert float(response.head.header(b"retry-after") or b"0") > 0
            assert response.head.header(b"signature") is None

    async def test_a_service_without_endpoints_means_503(self) -> None:
        async with router_harness(ROUTES) as harness:
            response = await harness.request("/book/x", method="POST")
            assert response.head.status == 503
            assert response.head.header(b"retry-after") is not None

    async def test_a_silent_booking_ends_in_504_at_its_timeout(self) -> None:
        async def silent(arrival: ReceivedRequest) -> None:
            await anyio.sleep_forever()

        routes = [RouteRow("/book/", "once", "desk", timeout_s=0.3)]
        async with router_harness(routes) as harness:
            await harness.start_endpoint("d1", silent)
            response = await harness.request("/book/x", method="POST")
            assert response.head.status == 504


class TestWholeAnswers:
    async def test_a_cut_answer_never_looks_complete(self) -> None:
        """An endpoint breaks off inside the body of a booking's answer; the
        caller must not take the part for the whole."""

        async def cut(arrival: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\nsignature: d1\r\ncontent-length: 9\r\n\r\n"
            await arrival.stream.send(head + b"half")
            await arrival.reset()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", cut)
            assert (await harness.request("/book/x", method="POST")).head.status == 502

    async def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        async def unframed(arrival: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\nsignature: d1\r\n\r\n"
            await arrival.stream.send(head + b"all of it")
            await arrival.close()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", unframed)
            response = await harness.request("/book/x", method="POST")
            assert (response.head.status, response.body) == (200, b"all of it")

    async def test_an_answer_without_a_length_that_is_reset_is_cut(self) -> None:
        async def unframed(arrival: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\nsignature: d1\r\n\r\n"
            await arrival.stream.send(head + b"part")
            await anyio.sleep(0.05)
            await arrival.reset()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", unframed)
            assert (await harness.request("/book/x", method="POST")).head.status == 502

    async def test_an_unsigned_success_is_not_relayed(self) -> None:
        async def unsigned(arrival: ReceivedRequest) -> None:
            head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
            await arrival.stream.send(head + b"hi")

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", unsigned)
            assert (await harness.request("/book/x", method="POST")).head.status == 502

    async def test_an_answer_to_another_request_is_skipped(self) -> None:
        """An endpoint answers a read twice on a kept connection. The second
        copy stands where the next request's answer is due; it names the
        first request and belongs to nobody."""

        async def twice(arrival: ReceivedRequest) -> None:
            key = arrival.header("request-id") or ""
            await arrival.answer(200, b"mine " + key.encode())
            if arrival.header("request-id") == "r0":
                await anyio.sleep(0.05)
                await arrival.answer(200, b"again")

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", twice)
            for number in range(3):
                response = await harness.request("/read/x", request_id=f"r{number}")
                assert response.body == b"mine r%d" % number
                await anyio.sleep(0.1)


class TestLeavingCallers:
    async def test_the_endpoint_is_told_by_the_closed_connection(self) -> None:
        started = anyio.Event()

        async def slow(arrival: ReceivedRequest) -> None:
            started.set()
            await arrival.reader.wait_disconnect()
            arrival.endpoint.disconnects += 1
            arrival.ended = True

        async with router_harness(ROUTES) as harness:
            desk = await harness.start_endpoint("d1", slow)
            conn = await harness.connect()
            await conn.send(caller_text("/read/x"), time.monotonic() + 5)
            with anyio.fail_after(5):
                await started.wait()
            await conn.close()
            await harness.wait_until(lambda: desk.disconnects == 1)


class TestKeys:
    async def test_a_withdrawn_key_gets_401(self) -> None:
        async with router_harness(
            ROUTES, keys={"k1": "choir", "k2": "parish"}
        ) as harness:
            await harness.start_endpoint("d1", answer)
            key = {"Api-Key": "k1"}
            assert (await harness.request("/read/x", headers=key)).head.status == 200
            assert (await harness.request("/read/x")).head.status == 401
            harness.keys = {"k2": "parish"}
            harness.configure()
            await harness.wait_until(lambda: harness.routers[0].routing.version == 2)
            assert (await harness.request("/read/x", headers=key)).head.status == 401
