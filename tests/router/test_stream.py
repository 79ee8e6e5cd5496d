"""Streams: complete events in order and once, also when endpoints fail."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from hemlockhall_router.connection.error import ConnectionLostError
from hemlockhall_router.process.store import Table
from hemlockhall_router.request.stream import PATH_RESTORE_WAIT_S
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import (
    ReceivedRequest,
    RequestHandler,
    ScriptedEndpoint,
    event_text,
)
from hemlockhall_standins.router.harness import WAIT_S, caller_text, router_harness

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/draft/", "stream", "pool", resumable=True),
    RouteRow("/once/", "stream", "pool"),
]
EVENT_COUNT = 6
ALL_EVENTS = b"".join(event_text(number) for number in range(1, EVENT_COUNT + 1))
UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nsignature: p1\r\n\r\n"
)
ALL_LAYERS = {"service": "pool", "layers": (0, 8), "accelerator": "big"}


def next_event_number(request: ReceivedRequest) -> int:
    return int(request.header("resume-after") or 0) + 1


async def send_remaining_events(request: ReceivedRequest) -> None:
    await request.begin()
    for number in range(next_event_number(request), EVENT_COUNT + 1):
        await request.event(number)
    await request.end()


def reset_first_stream(may_reset: anyio.Event) -> RequestHandler:
    """Return a handler that resets its first stream and completes the next."""

    async def reset_midway(request: ReceivedRequest) -> None:
        await request.begin()
        await request.event(1)
        await may_reset.wait()
        await request.reset()

    handlers = iter((reset_midway, send_remaining_events))

    async def handler(request: ReceivedRequest) -> None:
        await next(handlers)(request)

    return handler


@asynccontextmanager
async def draining_endpoint(
    handler: RequestHandler, other_handler: RequestHandler
) -> AsyncIterator[tuple[list[bytes], ScriptedEndpoint, ScriptedEndpoint]]:
    """Run a stream on one endpoint, add another, and drain the first.

    Yields the bodies that the caller received, the other endpoint and the first.
    """
    routes = [RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)]
    async with router_harness(routes) as harness:
        first = await harness.start_endpoint("p1", handler, **ALL_LAYERS)
        directory = harness.routers[0].directory
        bodies: list[bytes] = []

        async def send_request() -> None:
            bodies.append((await harness.request("/draft/x", method="POST")).body)

        async with anyio.create_task_group() as group:
            group.start_soon(send_request)
            record = directory.records["p1"]
            await harness.wait_until(lambda: record.active_streams)
            await harness.wait_until(
                lambda: all(stream.first_event_seen for stream in record.active_streams)
            )
            other = await harness.start_endpoint("p2", other_handler, **ALL_LAYERS)
            harness.register(
                first, "pool", draining=True, layers=(0, 8), accelerator="big"
            )
            await harness.wait_until(lambda: record.next_move_deadline is not None)
            record.next_move_deadline = 0.0
            directory.process_deadlines()
            yield bodies, other, first


class TestWholeStreams:
    async def test_stream_is_forwarded_unchanged_with_its_path(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint(
                "p1", send_remaining_events, **ALL_LAYERS
            )
            response = await harness.request("/draft/x", method="POST", body=b"prompt")
            assert response.body == ALL_EVENTS
            assert response.head.header(b"signature") == b"p1"
            assert endpoint.received[0].header("path") == "p1:0-8"

    async def test_two_endpoints_form_a_path_over_all_layers(self) -> None:
        async with router_harness(ROUTES) as harness:
            first = await harness.start_endpoint(
                "p1", send_remaining_events, **{**ALL_LAYERS, "layers": (0, 5)}
            )
            await harness.start_endpoint(
                "p2", send_remaining_events, **{**ALL_LAYERS, "layers": (3, 8)}
            )
            await harness.wait_until(
                lambda: harness.routers[0].directory.records["p2"].endpoint.layers
            )
            assert (await harness.request("/draft/x", method="POST")).body == ALL_EVENTS
            path = first.received[0].header("path") or ""
            stage_ranges = [
                stage_text.partition(":")[2].split("-") for stage_text in path.split()
            ]
            reached = 0
            for first_layer, end in stage_ranges:
                assert int(first_layer) == reached
                reached = int(end)
            assert reached == 8

    async def test_response_without_a_path_has_retry_after(self) -> None:
        async with router_harness(ROUTES) as harness:
            lower_half = {**ALL_LAYERS, "layers": (0, 4), "accelerator": "small"}
            await harness.start_endpoint("p1", send_remaining_events, **lower_half)
            response = await harness.request("/draft/x", method="POST")
            assert response.head.status == 503
            assert response.head.header(b"retry-after") is not None


class TestWithoutLength:
    """Streams that come with neither a length nor chunks, and end with a connection."""

    async def test_whole_one_is_relayed_as_complete(self) -> None:
        """Guards against a complete stream that is taken for a broken one."""

        async def unframed(request: ReceivedRequest) -> None:
            await request.stream.send(UNFRAMED_HEAD + ALL_EVENTS)
            await request.close()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", unframed, **ALL_LAYERS)
            response = await harness.request("/once/x", method="POST")
            assert (response.head.status, response.body) == (200, ALL_EVENTS)

    @pytest.mark.parametrize("cut", [1, 7, len(event_text(1)) - 1])
    async def test_one_that_ends_inside_an_event_is_resumed(self, cut: int) -> None:
        """Guards against a stream that looks complete to its caller though its endpoint
        crashed inside an event."""

        async def break_off(request: ReceivedRequest) -> None:
            if len(request.endpoint.received) > 1:
                await send_remaining_events(request)
                return
            part = event_text(1) + event_text(2)[:cut]
            await request.stream.send(UNFRAMED_HEAD + part)
            await request.close()

        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", break_off, **ALL_LAYERS)
            response = await harness.request("/draft/x", method="POST")
            assert response.body == ALL_EVENTS
            assert endpoint.received[1].header("resume-after") == "1"

    async def test_one_that_is_not_resumable_does_not_look_complete(self) -> None:
        async def break_off(request: ReceivedRequest) -> None:
            await request.stream.send(UNFRAMED_HEAD + event_text(1) + b"id: 2")
            await request.close()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", break_off, **ALL_LAYERS)
            with pytest.raises(ConnectionLostError):
                await harness.request("/once/x", method="POST")

    async def test_one_that_is_reset_does_not_look_complete(self) -> None:
        async def reset(request: ReceivedRequest) -> None:
            await request.stream.send(UNFRAMED_HEAD + event_text(1))
            await anyio.sleep(0.05)
            await request.reset()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", reset, **ALL_LAYERS)
            with pytest.raises(ConnectionLostError):
                await harness.request("/once/x", method="POST")


class TestRefusals:
    async def test_request_without_memory_is_refused_before_its_deadline(self) -> None:
        """Guards against retries every 0.5 s until the deadline of a request that all
        endpoints refuse for lack of memory: its caller has left by then."""

        async def refuse(request: ReceivedRequest) -> None:
            port = request.endpoint.port
            await request.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        route = RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=60.0)
        async with router_harness([route]) as harness:
            endpoint = await harness.start_endpoint("p1", refuse, **ALL_LAYERS)
            response = await harness.request("/draft/x", method="POST")
            assert response.head.status == 503
            assert response.head.header(b"retry-after") is not None
            # The backoff after a refusal is 0.5 s, the latency objective 0.3 s.
            assert len(endpoint.received) <= 4


class TestResuming:
    async def test_stream_reset_inside_an_event_resumes_after_the_last(self) -> None:
        """The endpoint resets inside the third event: the caller must not get that
        part, and the next endpoint is asked to resume after event 2."""

        async def reset_midway(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await request.event(2)
            await request.raw(event_text(3)[:7])
            await anyio.sleep(0.05)
            await request.reset()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", reset_midway, **ALL_LAYERS)
            bodies: list[bytes] = []

            async def send_request() -> None:
                response = await harness.request("/draft/x", method="POST")
                assert response.head.header(b"signature") == b"p1"
                bodies.append(response.body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                await harness.wait_until(
                    lambda: harness.routers[0].directory.records["p1"].in_flight
                )
                other = await harness.start_endpoint(
                    "p2", send_remaining_events, **ALL_LAYERS
                )
            assert bodies == [ALL_EVENTS]
            assert other.received[0].header("resume-after") == "2"

    async def test_events_are_not_delivered_twice(self) -> None:
        """On the retry the endpoint starts from event 1, though asked to resume."""

        async def reset_midway(request: ReceivedRequest) -> None:
            await request.begin()
            for number in (1, 2, 3):
                await request.event(number)
            await anyio.sleep(0.05)
            await request.reset()

        async def send_all_events(request: ReceivedRequest) -> None:
            await request.begin()
            await request.raw(ALL_EVENTS)
            await request.end()

        handlers = iter((reset_midway, send_all_events))

        async def handler(request: ReceivedRequest) -> None:
            await next(handlers)(request)

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", handler, **ALL_LAYERS)
            assert (await harness.request("/draft/x", method="POST")).body == ALL_EVENTS

    async def test_stream_does_not_exceed_its_endpoint_limit(self) -> None:
        """Three endpoints each reset after one more event; the route allows two of
        them, so the stream returns to these and never reaches the third."""

        async def send_one_event(request: ReceivedRequest) -> None:
            await request.begin()
            first = next_event_number(request)
            await request.event(first)
            if first < EVENT_COUNT:
                await anyio.sleep(0.02)
                await request.reset()
                return
            await request.end()

        async with router_harness(ROUTES) as harness:
            endpoints = [
                await harness.start_endpoint(f"p{n}", send_one_event, **ALL_LAYERS)
                for n in range(3)
            ]
            assert (await harness.request("/draft/x", method="POST")).body == ALL_EVENTS
            assert sum(len(endpoint.received) for endpoint in endpoints) == EVENT_COUNT
            assert sum(1 for endpoint in endpoints if endpoint.received) == 2

    async def test_endpoint_marked_down_counts_toward_the_limit(self) -> None:
        """The first endpoint answers no probe but still runs the stream, and the
        second resets: a third would exceed the route's limit of two."""

        async def stall(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(next_event_number(request))
            await request.reader.wait_disconnect()
            request.ended = True

        async def reset_midway(request: ReceivedRequest) -> None:
            if len(request.endpoint.received) > 1:
                await send_remaining_events(request)
                return
            await request.begin()
            await request.event(next_event_number(request))
            await anyio.sleep(0.02)
            await request.reset()

        # The model has no such accelerator, so the planner sends no orders.
        unplanned = {**ALL_LAYERS, "accelerator": "unplanned"}
        async with router_harness(ROUTES) as harness:
            directory = harness.routers[0].directory
            endpoints = [await harness.start_endpoint("p0", stall, **unplanned)]
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                record = directory.records["p0"]
                await harness.wait_until(
                    lambda: any(
                        stream.first_event_seen for stream in record.active_streams
                    )
                )
                endpoints.append(
                    await harness.start_endpoint("p1", reset_midway, **unplanned)
                )
                endpoints.append(
                    await harness.start_endpoint("p2", reset_midway, **unplanned)
                )
                directory.set_down("p0", down=True)
            assert bodies == [ALL_EVENTS]
            assert sum(1 for endpoint in endpoints if endpoint.received) == 2

    async def test_endpoint_without_an_entry_counts_toward_the_limit(self) -> None:
        """The first endpoint's entry is removed without draining while it still runs
        the stream: a third endpoint would exceed the route's limit of two."""
        may_end = anyio.Event()

        async def serve(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(next_event_number(request))
            await may_end.wait()
            await request.reset()

        async def reset_midway(request: ReceivedRequest) -> None:
            if len(request.endpoint.received) > 1:
                await send_remaining_events(request)
                return
            await request.begin()
            await request.event(next_event_number(request))
            may_end.set()
            await anyio.sleep(0.02)
            await request.reset()

        routes = [RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)]
        # The model has no such accelerator, so the planner sends no orders.
        unplanned = {**ALL_LAYERS, "accelerator": "unplanned"}
        async with router_harness(routes) as harness:
            directory = harness.routers[0].directory
            endpoints = [await harness.start_endpoint("p0", serve, **unplanned)]
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                record = directory.records["p0"]
                await harness.wait_until(
                    lambda: any(
                        stream.first_event_seen for stream in record.active_streams
                    )
                )
                endpoints.append(
                    await harness.start_endpoint("p1", reset_midway, **unplanned)
                )
                endpoints.append(
                    await harness.start_endpoint("p2", reset_midway, **unplanned)
                )
                harness.store.remove(Table.ENDPOINTS, "p0")
                await harness.wait_until(lambda: "p0" not in directory.records)
            assert bodies == [ALL_EVENTS]
            assert sum(1 for endpoint in endpoints if endpoint.received) == 2

    async def test_stream_limited_to_one_endpoint_survives_a_refusal(self) -> None:
        """The only allowed endpoint resets the stream, refuses the first retry for
        lack of memory and accepts the second. Guards against giving up after the
        first."""

        async def reset_midway(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await request.event(2)
            await anyio.sleep(0.05)
            await request.reset()

        async def refuse(request: ReceivedRequest) -> None:
            port = request.endpoint.port
            await request.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        handlers = iter((reset_midway, refuse, send_remaining_events))

        async def handler(request: ReceivedRequest) -> None:
            await next(handlers)(request)

        routes = [RouteRow("/draft/", "stream", "pool", tries=1, resumable=True)]
        async with router_harness(routes) as harness:
            await harness.start_endpoint("p1", handler, **ALL_LAYERS)
            assert (await harness.request("/draft/x", method="POST")).body == ALL_EVENTS

    async def test_broken_non_resumable_stream_does_not_look_complete(
        self,
    ) -> None:
        async def reset_midway(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await anyio.sleep(0.05)
            await request.reset()

        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", reset_midway, **ALL_LAYERS)
            with pytest.raises(ConnectionLostError):
                await harness.request("/once/x", method="POST")
            assert len(endpoint.received) == 1

    async def test_refused_stream_runs_on_another_endpoint(self) -> None:
        async def reject(request: ReceivedRequest) -> None:
            port = request.endpoint.port
            await request.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", reject, **ALL_LAYERS)
            await harness.start_endpoint("p2", send_remaining_events, **ALL_LAYERS)
            for number in range(4):
                key = f"s{number}"
                response = await harness.request(
                    "/once/x", method="POST", request_id=key
                )
                assert response.body == ALL_EVENTS

    async def test_silent_stream_is_resumed(self) -> None:
        """The endpoint stops sending without closing, as it does when the next
        endpoint on the path is dead."""

        async def stall(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await request.reader.wait_disconnect()
            request.ended = True

        handlers = iter((stall, send_remaining_events))

        async def handler(request: ReceivedRequest) -> None:
            await next(handlers)(request)

        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", handler, **ALL_LAYERS)
            assert (await harness.request("/draft/x", method="POST")).body == ALL_EVENTS
            assert endpoint.received[1].header("resume-after") == "1"


class TestMoving:
    async def test_stream_is_not_moved_without_retry_budget(self) -> None:
        """Guards against a stream that is cut because it leaves a draining endpoint,
        which still serves it, while the retry budget allows no other attempt."""
        may_continue = anyio.Event()

        async def pause_then_finish(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await may_continue.wait()
            for number in range(2, EVENT_COUNT + 1):
                await request.event(number)
            await request.end()

        routes = [RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)]
        async with router_harness(routes) as harness:
            endpoint = await harness.start_endpoint(
                "p1", pause_then_finish, **ALL_LAYERS
            )
            router = harness.routers[0]
            router.budget.constant = 0.0
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                record = router.directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                harness.register(
                    endpoint, "pool", draining=True, layers=(0, 8), accelerator="big"
                )
                await harness.wait_until(lambda: record.next_move_deadline is not None)
                record.next_move_deadline = 0.0
                router.directory.process_deadlines()
                await anyio.sleep(0.1)
                may_continue.set()
            assert bodies == [ALL_EVENTS]

    async def test_stream_is_not_moved_at_its_endpoint_limit(self) -> None:
        """Guards against a stream that is cut because it leaves a draining endpoint:
        the route allows only that one, and it takes no new requests."""
        may_continue = anyio.Event()

        async def pause_then_finish(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await may_continue.wait()
            for number in range(2, EVENT_COUNT + 1):
                await request.event(number)
            await request.end()

        route = RouteRow("/draft/", "stream", "pool", tries=1, resumable=True)
        route.pause_s = 60.0
        async with router_harness([route]) as harness:
            endpoint = await harness.start_endpoint(
                "p1", pause_then_finish, **ALL_LAYERS
            )
            directory = harness.routers[0].directory
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                record = directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                other = await harness.start_endpoint(
                    "p2", send_remaining_events, **ALL_LAYERS
                )
                harness.register(
                    endpoint, "pool", draining=True, layers=(0, 8), accelerator="big"
                )
                await harness.wait_until(lambda: record.next_move_deadline is not None)
                record.next_move_deadline = 0.0
                directory.process_deadlines()
                await anyio.sleep(0.1)
                may_continue.set()
            assert bodies == [ALL_EVENTS]
            assert not other.received

    async def test_broken_stream_waits_for_a_path(self) -> None:
        """A stream breaks after longer without a path than new requests wait; one
        returns soon after. Guards against giving the stream up at once, which would
        lose the caller's events."""
        may_reset = anyio.Event()
        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)
        async with router_harness([route]) as harness:
            await harness.start_endpoint(
                "p1", reset_first_stream(may_reset), **ALL_LAYERS
            )
            record = harness.routers[0].directory.records["p1"]
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                await harness.wait_until(lambda: record.active_streams)
                record.backoff_deadline = float("inf")
                await anyio.sleep(PATH_RESTORE_WAIT_S + 0.2)
                may_reset.set()
                await anyio.sleep(0.3)
                record.backoff_deadline = 0.0
            assert bodies == [ALL_EVENTS]

    async def test_started_stream_is_not_given_up_without_a_path(self) -> None:
        """Guards against closing a stream whose layers are unavailable for seconds."""
        may_reset = anyio.Event()
        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)
        async with router_harness([route]) as harness:
            await harness.start_endpoint(
                "p1", reset_first_stream(may_reset), **ALL_LAYERS
            )
            record = harness.routers[0].directory.records["p1"]
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                await harness.wait_until(lambda: record.active_streams)
                await harness.wait_until(
                    lambda: all(
                        stream.first_event_seen for stream in record.active_streams
                    )
                )
                record.backoff_deadline = float("inf")
                may_reset.set()
                await anyio.sleep(PATH_RESTORE_WAIT_S * 2)
                record.backoff_deadline = 0.0
            assert bodies == [ALL_EVENTS]


class TestMovingWhileServed:
    async def test_stream_stays_on_draining_endpoint_if_next_refuses(self) -> None:
        """Guards against a stream that is lost because it leaves the draining endpoint
        before another accepts it; the other has no memory left."""
        may_continue = anyio.Event()

        async def pause_then_finish(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await may_continue.wait()
            for number in range(2, EVENT_COUNT + 1):
                await request.event(number)
            await request.end()

        async def refuse(request: ReceivedRequest) -> None:
            port = request.endpoint.port
            await request.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        async with draining_endpoint(pause_then_finish, refuse) as (bodies, other, _):
            with anyio.fail_after(WAIT_S):
                while not other.received:
                    await anyio.sleep(0.005)
            await anyio.sleep(0.1)
            may_continue.set()
        assert bodies == [ALL_EVENTS]

    async def test_move_closes_the_old_connection_after_the_new_starts(self) -> None:
        """The stream resumes after the last delivered event, and the draining
        endpoint is disconnected so that it stops working on the stream."""

        async def stall(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await request.reader.wait_disconnect()
            request.ended = True
            request.endpoint.disconnects += 1

        async with draining_endpoint(stall, send_remaining_events) as (
            bodies,
            other,
            first,
        ):
            with anyio.fail_after(WAIT_S):
                while not bodies:
                    await anyio.sleep(0.005)
            assert other.received[0].header("resume-after") == "1"
            with anyio.fail_after(WAIT_S):
                while not first.disconnects:
                    await anyio.sleep(0.005)
        assert bodies == [ALL_EVENTS]

    async def test_slow_stream_stays_if_the_next_endpoint_refuses(self) -> None:
        """An endpoint pauses past the timeout and the other has no memory left. Guards
        against cutting the stream though the slow endpoint soon has the next event."""
        refused = anyio.Event()

        async def pause_then_finish(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await refused.wait()
            await anyio.sleep(0.1)
            for number in range(2, EVENT_COUNT + 1):
                await request.event(number)
            await request.end()

        async def refuse(request: ReceivedRequest) -> None:
            port = request.endpoint.port
            await request.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")
            if request.header("resume-after"):
                refused.set()

        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=0.05)
        # The model has no such accelerator, so the planner sends no orders.
        unplanned = {**ALL_LAYERS, "accelerator": "unplanned"}
        async with router_harness([route]) as harness:
            first = await harness.start_endpoint("p1", pause_then_finish, **unplanned)
            await harness.start_endpoint("p2", refuse, **unplanned)
            records = harness.routers[0].directory.records
            records["p2"].backoff_deadline = float("inf")
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                await harness.wait_until(lambda: records["p1"].active_streams)
                records["p2"].backoff_deadline = 0.0
            assert bodies == [ALL_EVENTS]
            assert len(first.received) == 1

    async def test_broken_stream_waits_for_the_retry_budget(self) -> None:
        """A stream breaks while the retry budget is exhausted for a moment. Guards
        against giving it up: the caller's events would be lost, and callers then send
        the request again."""
        may_reset = anyio.Event()
        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)
        async with router_harness([route]) as harness:
            await harness.start_endpoint(
                "p1", reset_first_stream(may_reset), **ALL_LAYERS
            )
            budget = harness.routers[0].budget
            constant, budget.constant = budget.constant, 0.0
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                record = harness.routers[0].directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                await harness.wait_until(
                    lambda: all(
                        stream.first_event_seen for stream in record.active_streams
                    )
                )
                may_reset.set()
                await anyio.sleep(0.3)
                budget.constant = constant
            assert bodies == [ALL_EVENTS]

    async def test_non_resumable_stream_is_never_moved(self) -> None:
        """The endpoint drains and answers no probe, but still serves the stream. Moved,
        the request would run twice; cut, it would be lost."""
        may_continue = anyio.Event()

        async def pause_then_finish(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await may_continue.wait()
            for number in range(2, EVENT_COUNT + 1):
                await request.event(number)
            await request.end()

        async with router_harness([RouteRow("/once/", "stream", "pool")]) as harness:
            first = await harness.start_endpoint("p1", pause_then_finish, **ALL_LAYERS)
            directory = harness.routers[0].directory
            bodies: list[bytes] = []

            async def send_request() -> None:
                bodies.append((await harness.request("/once/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(send_request)
                record = directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                await harness.wait_until(
                    lambda: all(
                        stream.first_event_seen for stream in record.active_streams
                    )
                )
                other = await harness.start_endpoint(
                    "p2", send_remaining_events, **ALL_LAYERS
                )
                harness.register(
                    first, "pool", draining=True, layers=(0, 8), accelerator="big"
                )
                await harness.wait_until(lambda: record.next_move_deadline is not None)
                record.next_move_deadline = 0.0
                directory.process_deadlines()
                directory.set_down("p1", down=True)
                await anyio.sleep(0.1)
                may_continue.set()
            assert bodies == [ALL_EVENTS]
            assert len(first.received) == 1
            assert not other.received


class TestShutdown:
    async def test_shutdown_does_not_cut_a_stream(self) -> None:
        """The host reports not ready at once, but completes the stream before it
        ends."""
        may_continue = anyio.Event()

        async def pause_then_finish(request: ReceivedRequest) -> None:
            await request.begin()
            await request.event(1)
            await may_continue.wait()
            for number in range(2, EVENT_COUNT + 1):
                await request.event(number)
            await request.end()

        routes = [RouteRow("/draft/", "stream", "pool", pause_s=60.0)]
        async with router_harness(routes) as harness:
            await harness.start_endpoint("p1", pause_then_finish, **ALL_LAYERS)
            conn = await harness.connect()
            deadline = time.monotonic() + 20
            await conn.send(caller_text("/draft/x", "POST"), deadline)
            await conn.read_head(deadline)
            harness.group.start_soon(harness.routers[0].leave)
            await harness.wait_until(lambda: not harness.routers[0].ready)
            may_continue.set()
            body = b""
            while (part := await conn.read_chunk(deadline)) is not None:
                body += part
            assert body == ALL_EVENTS

    async def test_responses_during_shutdown_close_their_connections(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", send_remaining_events, **ALL_LAYERS)
            harness.group.start_soon(harness.routers[0].leave)
            await harness.wait_until(lambda: not harness.routers[0].ready)
            response = await harness.request("/draft/x", method="POST")
            assert response.body == ALL_EVENTS
            assert response.head.header(b"connection") == b"close"


class TestRetryBudget:
    async def test_refusal_without_retries_is_counted_as_retry_budget(self) -> None:
        """Such refusals must not be counted as refusals by full endpoints."""

        async def refuse(request: ReceivedRequest) -> None:
            await request.refuse(503)

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", refuse, **ALL_LAYERS)
            router = harness.routers[0]
            router.budget.ratio = router.budget.constant = 0.0
            response = await harness.request("/draft/x", method="POST")
            assert response.head.status == 503
            text = router.frontend._context.metrics.render().decode()
            assert 'refusals_total{label="retry_budget"} 1' in text


class TestEventIds:
    async def test_an_odd_one_ends_no_stream(self) -> None:
        """Guards against an id of many digits that fails the stream."""
        text = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"

        async def handler(request: ReceivedRequest) -> None:
            await request.begin()
            for _ in range(3):
                await request.raw(text)
            await request.end()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", handler, **ALL_LAYERS)
            response = await harness.request("/draft/x", method="POST")
        assert response.body == 3 * text
