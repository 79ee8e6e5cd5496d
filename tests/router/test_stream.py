"""Streams: whole events, in order, also when an endpoint fails."""

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
EVENTS = 6
WHOLE = b"".join(event_text(number) for number in range(1, EVENTS + 1))
ALL = {"service": "pool", "layers": (0, 8), "accelerator": "big"}


def first_event(arrival: ReceivedRequest) -> int:
    return int(arrival.header("resume-after") or 0) + 1


async def write(arrival: ReceivedRequest) -> None:
    await arrival.begin()
    for number in range(first_event(arrival), EVENTS + 1):
        await arrival.event(number)
    await arrival.end()


def cut_once(broken: anyio.Event) -> RequestHandler:
    """Return a script that breaks its first stream off, and writes the next."""

    async def cut(arrival: ReceivedRequest) -> None:
        await arrival.begin()
        await arrival.event(1)
        await broken.wait()
        await arrival.reset()

    scripts = iter((cut, write))

    async def script(arrival: ReceivedRequest) -> None:
        await next(scripts)(arrival)

    return script


@asynccontextmanager
async def leaving_endpoint(
    script: RequestHandler, other_script: RequestHandler
) -> AsyncIterator[tuple[list[bytes], ScriptedEndpoint, ScriptedEndpoint]]:
    """Let a stream run at one endpoint, add another, and let the first leave.

    Yields the callers' answers, the other endpoint and the first one.
    """
    routes = [RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)]
    async with router_harness(routes) as harness:
        first = await harness.start_endpoint("p1", script, **ALL)
        directory = harness.routers[0].directory
        bodies: list[bytes] = []

        async def ask() -> None:
            bodies.append((await harness.request("/draft/x", method="POST")).body)

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            record = directory.records["p1"]
            await harness.wait_until(lambda: record.active_streams)
            await harness.wait_until(
                lambda: all(run.first_event_seen for run in record.active_streams)
            )
            other = await harness.start_endpoint("p2", other_script, **ALL)
            harness.register(
                first, "pool", draining=True, layers=(0, 8), accelerator="big"
            )
            await harness.wait_until(lambda: record.next_move_deadline is not None)
            record.next_move_deadline = 0.0
            directory.process_deadlines()
            yield bodies, other, first


class TestWholeStreams:
    async def test_a_stream_arrives_as_sent_with_its_path(self) -> None:
        async with router_harness(ROUTES) as harness:
            pool = await harness.start_endpoint("p1", write, **ALL)
            response = await harness.request("/draft/x", method="POST", body=b"prompt")
            assert response.body == WHOLE
            assert response.head.header(b"signature") == b"p1"
            assert pool.received[0].header("path") == "p1:0-8"

    async def test_layers_of_two_endpoints_make_a_path(self) -> None:
        async with router_harness(ROUTES) as harness:
            first = await harness.start_endpoint(
                "p1", write, **{**ALL, "layers": (0, 5)}
            )
            await harness.start_endpoint("p2", write, **{**ALL, "layers": (3, 8)})
            await harness.wait_until(
                lambda: harness.routers[0].directory.records["p2"].endpoint.layers
            )
            assert (await harness.request("/draft/x", method="POST")).body == WHOLE
            path = first.received[0].header("path") or ""
            spans = [part.partition(":")[2].split("-") for part in path.split()]
            reached = 0
            for first_layer, end in spans:
                assert int(first_layer) == reached
                reached = int(end)
            assert reached == 8

    async def test_without_a_path_the_caller_learns_when_to_come_back(self) -> None:
        async with router_harness(ROUTES) as harness:
            half = {**ALL, "layers": (0, 4), "accelerator": "small"}
            await harness.start_endpoint("p1", write, **half)
            response = await harness.request("/draft/x", method="POST")
            assert response.head.status == 503
            assert response.head.header(b"retry-after") is not None


class TestRefusals:
    async def test_a_request_without_room_is_not_held_to_its_deadline(self) -> None:
        """All endpoints refuse a request for want of memory, again and again.
        It was sent to them every half second until its deadline, when its
        caller had left; it must be refused while the caller still listens."""

        async def refuse(arrival: ReceivedRequest) -> None:
            port = arrival.endpoint.port
            await arrival.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        route = RouteRow("/draft/", "stream", "pool", resumable=True, timeout_s=60.0)
        async with router_harness([route]) as harness:
            pool = await harness.start_endpoint("p1", refuse, **ALL)
            response = await harness.request("/draft/x", method="POST")
            assert response.head.status == 503
            assert response.head.header(b"retry-after") is not None
            # It is left out for 0.5 s after a refusal; the objective is 0.3 s.
            assert len(pool.received) <= 4


class TestResuming:
    async def test_a_stream_cut_inside_an_event_goes_on_elsewhere(self) -> None:
        """The first endpoint resets after two and a half events. The caller
        has two; the second endpoint is asked for what follows them, and the
        half event never reaches the caller."""

        async def cut(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await arrival.event(2)
            await arrival.raw(event_text(3)[:7])
            await anyio.sleep(0.05)
            await arrival.reset()

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", cut, **ALL)
            response_task: list[bytes] = []

            async def ask() -> None:
                response = await harness.request("/draft/x", method="POST")
                assert response.head.header(b"signature") == b"p1"
                response_task.append(response.body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await harness.wait_until(
                    lambda: harness.routers[0].directory.records["p1"].in_flight
                )
                other = await harness.start_endpoint("p2", write, **ALL)
            assert response_task == [WHOLE]
            assert other.received[0].header("resume-after") == "2"

    async def test_events_that_the_caller_has_are_left_out(self) -> None:
        """The second endpoint starts from the beginning although it was asked
        to go on; repeated events would reach the caller twice."""

        async def cut(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            for number in (1, 2, 3):
                await arrival.event(number)
            await anyio.sleep(0.05)
            await arrival.reset()

        async def whole(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.raw(WHOLE)
            await arrival.end()

        scripts = iter((cut, whole))

        async def script(arrival: ReceivedRequest) -> None:
            await next(scripts)(arrival)

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", script, **ALL)
            assert (await harness.request("/draft/x", method="POST")).body == WHOLE

    async def test_a_stream_runs_on_as_many_endpoints_as_its_route_says(self) -> None:
        """Three endpoints each hold all layers, and each breaks off after one
        more event. The route allows two: the stream goes back to one of them
        and never reaches the third."""

        async def one_more(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            first = first_event(arrival)
            await arrival.event(first)
            if first < EVENTS:
                await anyio.sleep(0.02)
                await arrival.reset()
                return
            await arrival.end()

        async with router_harness(ROUTES) as harness:
            pool = [
                await harness.start_endpoint(f"p{n}", one_more, **ALL) for n in range(3)
            ]
            assert (await harness.request("/draft/x", method="POST")).body == WHOLE
            assert sum(len(endpoint.received) for endpoint in pool) == EVENTS
            assert sum(1 for endpoint in pool if endpoint.received) == 2

    async def test_an_endpoint_that_seems_down_counts_as_used(self) -> None:
        """A stream leaves its first endpoint, which does not answer when asked
        how it is, but is there and still runs it. The second one breaks off
        too. The route allows two; a third endpoint must not get the stream."""

        async def stall(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(first_event(arrival))
            await arrival.reader.wait_disconnect()
            arrival.ended = True

        async def cut(arrival: ReceivedRequest) -> None:
            if len(arrival.endpoint.received) > 1:
                await write(arrival)
                return
            await arrival.begin()
            await arrival.event(first_event(arrival))
            await anyio.sleep(0.02)
            await arrival.reset()

        fixed = {**ALL, "accelerator": "unplanned"}
        async with router_harness(ROUTES) as harness:
            directory = harness.routers[0].directory
            pool = [await harness.start_endpoint("p0", stall, **fixed)]
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                record = directory.records["p0"]
                await harness.wait_until(
                    lambda: any(run.first_event_seen for run in record.active_streams)
                )
                pool.append(await harness.start_endpoint("p1", cut, **fixed))
                pool.append(await harness.start_endpoint("p2", cut, **fixed))
                directory.set_down("p0", down=True)
            assert bodies == [WHOLE]
            assert sum(1 for endpoint in pool if endpoint.received) == 2

    async def test_an_endpoint_whose_entry_is_gone_counts_as_used(self) -> None:
        """Guards against a third run while the first endpoint leaves without a word."""
        may_end = anyio.Event()

        async def serve(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(first_event(arrival))
            await may_end.wait()
            await arrival.reset()

        async def cut(arrival: ReceivedRequest) -> None:
            if len(arrival.endpoint.received) > 1:
                await write(arrival)
                return
            await arrival.begin()
            await arrival.event(first_event(arrival))
            may_end.set()
            await anyio.sleep(0.02)
            await arrival.reset()

        routes = [RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)]
        fixed = {**ALL, "accelerator": "unplanned"}
        async with router_harness(routes) as harness:
            directory = harness.routers[0].directory
            pool = [await harness.start_endpoint("p0", serve, **fixed)]
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                record = directory.records["p0"]
                await harness.wait_until(
                    lambda: any(run.first_event_seen for run in record.active_streams)
                )
                pool.append(await harness.start_endpoint("p1", cut, **fixed))
                pool.append(await harness.start_endpoint("p2", cut, **fixed))
                harness.store.remove(Table.ENDPOINTS, "p0")
                await harness.wait_until(lambda: "p0" not in directory.records)
            assert bodies == [WHOLE]
            assert sum(1 for endpoint in pool if endpoint.received) == 2

    async def test_a_stream_that_may_only_go_back_survives_one_refusal(self) -> None:
        """The route allows one endpoint. It breaks the stream off after two
        events, refuses the first resumption for want of room, and has room a
        moment later. The caller's connection was cut beside events that the
        endpoint could have gone on with."""

        async def cut(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await arrival.event(2)
            await anyio.sleep(0.05)
            await arrival.reset()

        async def refuse(arrival: ReceivedRequest) -> None:
            port = arrival.endpoint.port
            await arrival.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        scripts = iter((cut, refuse, write))

        async def script(arrival: ReceivedRequest) -> None:
            await next(scripts)(arrival)

        routes = [RouteRow("/draft/", "stream", "pool", tries=1, resumable=True)]
        async with router_harness(routes) as harness:
            await harness.start_endpoint("p1", script, **ALL)
            assert (await harness.request("/draft/x", method="POST")).body == WHOLE

    async def test_a_stream_that_may_not_be_resumed_does_not_look_complete(
        self,
    ) -> None:
        async def cut(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await anyio.sleep(0.05)
            await arrival.reset()

        async with router_harness(ROUTES) as harness:
            pool = await harness.start_endpoint("p1", cut, **ALL)
            with pytest.raises(ConnectionLostError):
                await harness.request("/once/x", method="POST")
            assert len(pool.received) == 1

    async def test_a_rejected_stream_runs_elsewhere(self) -> None:
        async def reject(arrival: ReceivedRequest) -> None:
            port = arrival.endpoint.port
            await arrival.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", reject, **ALL)
            await harness.start_endpoint("p2", write, **ALL)
            for number in range(4):
                key = f"s{number}"
                response = await harness.request(
                    "/once/x", method="POST", request_id=key
                )
                assert response.body == WHOLE

    async def test_a_silent_stream_goes_on_elsewhere(self) -> None:
        """The endpoint stops in the middle without closing, as one does whose
        successor on the path is dead."""

        async def stall(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await arrival.reader.wait_disconnect()
            arrival.ended = True

        scripts = iter((stall, write))

        async def script(arrival: ReceivedRequest) -> None:
            await next(scripts)(arrival)

        async with router_harness(ROUTES) as harness:
            pool = await harness.start_endpoint("p1", script, **ALL)
            assert (await harness.request("/draft/x", method="POST")).body == WHOLE
            assert pool.received[1].header("resume-after") == "1"


class TestMoving:
    async def test_a_stream_stays_where_no_repeat_is_left(self) -> None:
        """An endpoint leaves while a stream runs there, and the budget of
        repeats is spent. The endpoint still serves: moving the stream broke it
        off, since it could not be sent anywhere else."""
        go_on = anyio.Event()

        async def slow(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await go_on.wait()
            for number in range(2, EVENTS + 1):
                await arrival.event(number)
            await arrival.end()

        routes = [RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)]
        async with router_harness(routes) as harness:
            pool = await harness.start_endpoint("p1", slow, **ALL)
            router = harness.routers[0]
            router.budget.constant = 0.0
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                record = router.directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                harness.register(
                    pool, "pool", draining=True, layers=(0, 8), accelerator="big"
                )
                await harness.wait_until(lambda: record.next_move_deadline is not None)
                record.next_move_deadline = 0.0
                router.directory.process_deadlines()
                await anyio.sleep(0.1)
                go_on.set()
            assert bodies == [WHOLE]

    async def test_a_stream_stays_where_its_route_allows_no_other(self) -> None:
        """An endpoint leaves while a stream runs there, and the route allows
        one endpoint. Moving the stream broke it off: it could go back to the
        leaving endpoint only, which takes no new requests."""
        go_on = anyio.Event()

        async def slow(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await go_on.wait()
            for number in range(2, EVENTS + 1):
                await arrival.event(number)
            await arrival.end()

        route = RouteRow("/draft/", "stream", "pool", tries=1, resumable=True)
        route.pause_s = 60.0
        async with router_harness([route]) as harness:
            pool = await harness.start_endpoint("p1", slow, **ALL)
            directory = harness.routers[0].directory
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                record = directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                other = await harness.start_endpoint("p2", write, **ALL)
                harness.register(
                    pool, "pool", draining=True, layers=(0, 8), accelerator="big"
                )
                await harness.wait_until(lambda: record.next_move_deadline is not None)
                record.next_move_deadline = 0.0
                directory.process_deadlines()
                await anyio.sleep(0.1)
                go_on.set()
            assert bodies == [WHOLE]
            assert not other.received

    async def test_a_stream_that_broke_off_waits_for_a_path(self) -> None:
        """For longer than new requests would wait there has been no path, and
        then the endpoint of a running stream breaks it off. A path is back a
        moment later; giving the stream up at once lost what the caller had."""
        broken = anyio.Event()
        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)
        async with router_harness([route]) as harness:
            await harness.start_endpoint("p1", cut_once(broken), **ALL)
            record = harness.routers[0].directory.records["p1"]
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await harness.wait_until(lambda: record.active_streams)
                record.backoff_deadline = float("inf")
                await anyio.sleep(PATH_RESTORE_WAIT_S + 0.2)
                broken.set()
                await anyio.sleep(0.3)
                record.backoff_deadline = 0.0
            assert bodies == [WHOLE]

    async def test_a_begun_stream_is_not_given_up_while_no_path_is_there(self) -> None:
        """Guards against closing streams whose layers are away for seconds."""
        broken = anyio.Event()
        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)
        async with router_harness([route]) as harness:
            await harness.start_endpoint("p1", cut_once(broken), **ALL)
            record = harness.routers[0].directory.records["p1"]
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await harness.wait_until(lambda: record.active_streams)
                await harness.wait_until(
                    lambda: all(run.first_event_seen for run in record.active_streams)
                )
                record.backoff_deadline = float("inf")
                broken.set()
                await anyio.sleep(PATH_RESTORE_WAIT_S * 2)
                record.backoff_deadline = 0.0
            assert bodies == [WHOLE]


class TestHandover:
    async def test_a_stream_stays_where_it_is_served_if_the_next_refuses(self) -> None:
        """An endpoint leaves while a stream runs there; the other one has no
        room. The caller's connection was cut beside events that the leaving
        endpoint still sent: all streams there were broken off at once, and
        those that found no room elsewhere had lost their place."""
        go_on = anyio.Event()

        async def slow(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await go_on.wait()
            for number in range(2, EVENTS + 1):
                await arrival.event(number)
            await arrival.end()

        async def refuse(arrival: ReceivedRequest) -> None:
            port = arrival.endpoint.port
            await arrival.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")

        async with leaving_endpoint(slow, refuse) as (bodies, other, _):
            with anyio.fail_after(WAIT_S):
                while not other.received:
                    await anyio.sleep(0.005)
            await anyio.sleep(0.1)
            go_on.set()
        assert bodies == [WHOLE]

    async def test_the_first_endpoint_is_left_when_the_next_has_begun(self) -> None:
        """The same, with room at the other endpoint: the stream goes on there
        after the last event delivered, and the first connection is closed so
        that the leaving endpoint stops its work."""

        async def slow(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await arrival.reader.wait_disconnect()
            arrival.ended = True
            arrival.endpoint.disconnects += 1

        async with leaving_endpoint(slow, write) as (bodies, other, first):
            with anyio.fail_after(WAIT_S):
                while not bodies:
                    await anyio.sleep(0.005)
            assert other.received[0].header("resume-after") == "1"
            with anyio.fail_after(WAIT_S):
                while not first.disconnects:
                    await anyio.sleep(0.005)
        assert bodies == [WHOLE]

    async def test_a_slow_stream_is_not_cut_for_an_endpoint_that_refuses(self) -> None:
        """An endpoint lives but pauses for longer than a stream waits; the
        other one has no room. The host cut the stream off and could not go on
        anywhere, though the slow endpoint had the next event ready soon."""
        refused = anyio.Event()

        async def slow(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await refused.wait()
            await anyio.sleep(0.1)
            for number in range(2, EVENTS + 1):
                await arrival.event(number)
            await arrival.end()

        async def refuse(arrival: ReceivedRequest) -> None:
            port = arrival.endpoint.port
            await arrival.refuse(503, f"at-fault: 127.0.0.1:{port}\r\n")
            if arrival.header("resume-after"):
                refused.set()

        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=0.05)
        fixed = {**ALL, "accelerator": "unplanned"}
        async with router_harness([route]) as harness:
            first = await harness.start_endpoint("p1", slow, **fixed)
            await harness.start_endpoint("p2", refuse, **fixed)
            held = harness.routers[0].directory.records
            held["p2"].backoff_deadline = float("inf")
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await harness.wait_until(lambda: held["p1"].active_streams)
                held["p2"].backoff_deadline = 0.0
            assert bodies == [WHOLE]
            assert len(first.received) == 1

    async def test_a_broken_stream_waits_for_a_repeat(self) -> None:
        """A stream breaks off while the budget of repeats is spent; a moment
        later repeats are left again. Giving the stream up at once lost what
        the caller had of it, and callers come back on their own then."""
        broken = anyio.Event()
        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=60.0)
        async with router_harness([route]) as harness:
            await harness.start_endpoint("p1", cut_once(broken), **ALL)
            budget = harness.routers[0].budget
            constant, budget.constant = budget.constant, 0.0
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/draft/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                record = harness.routers[0].directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                await harness.wait_until(
                    lambda: all(run.first_event_seen for run in record.active_streams)
                )
                broken.set()
                await anyio.sleep(0.3)
                budget.constant = constant
            assert bodies == [WHOLE]

    async def test_a_stream_that_may_run_once_is_never_moved(self) -> None:
        """A stream that may not be resumed runs at an endpoint that leaves, and
        that does not answer when asked for its state. Sent to the other one it
        would run twice; broken off, it would be lost though it is served."""
        go_on = anyio.Event()

        async def slow(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await go_on.wait()
            for number in range(2, EVENTS + 1):
                await arrival.event(number)
            await arrival.end()

        async with router_harness([RouteRow("/once/", "stream", "pool")]) as harness:
            first = await harness.start_endpoint("p1", slow, **ALL)
            directory = harness.routers[0].directory
            bodies: list[bytes] = []

            async def ask() -> None:
                bodies.append((await harness.request("/once/x", method="POST")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                record = directory.records["p1"]
                await harness.wait_until(lambda: record.active_streams)
                await harness.wait_until(
                    lambda: all(run.first_event_seen for run in record.active_streams)
                )
                other = await harness.start_endpoint("p2", write, **ALL)
                harness.register(
                    first, "pool", draining=True, layers=(0, 8), accelerator="big"
                )
                await harness.wait_until(lambda: record.next_move_deadline is not None)
                record.next_move_deadline = 0.0
                directory.process_deadlines()
                directory.set_down("p1", down=True)
                await anyio.sleep(0.1)
                go_on.set()
            assert bodies == [WHOLE]
            assert len(first.received) == 1
            assert not other.received


class TestLeaving:
    async def test_a_stream_outlives_sigterm(self) -> None:
        """A stream is under way when the host is told to end: the balancer is
        told at once, the stream is finished, and its connection closed."""
        go_on = anyio.Event()

        async def slow(arrival: ReceivedRequest) -> None:
            await arrival.begin()
            await arrival.event(1)
            await go_on.wait()
            for number in range(2, EVENTS + 1):
                await arrival.event(number)
            await arrival.end()

        routes = [RouteRow("/draft/", "stream", "pool", pause_s=60.0)]
        async with router_harness(routes) as harness:
            await harness.start_endpoint("p1", slow, **ALL)
            conn = await harness.connect()
            deadline = time.monotonic() + 20
            await conn.send(caller_text("/draft/x", "POST"), deadline)
            await conn.read_head(deadline)
            harness.group.start_soon(harness.routers[0].leave)
            await harness.wait_until(lambda: not harness.routers[0].ready)
            go_on.set()
            body = b""
            while (part := await conn.read_chunk(deadline)) is not None:
                body += part
            assert body == WHOLE

    async def test_answers_after_sigterm_end_their_connections(self) -> None:
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", write, **ALL)
            harness.group.start_soon(harness.routers[0].leave)
            await harness.wait_until(lambda: not harness.routers[0].ready)
            response = await harness.request("/draft/x", method="POST")
            assert response.body == WHOLE
            assert response.head.header(b"connection") == b"close"


class TestRetryBudget:
    async def test_a_refusal_for_want_of_repeats_names_the_budget(self) -> None:
        """Guards against refusals that seem to come from full endpoints."""

        async def refuse(arrival: ReceivedRequest) -> None:
            await arrival.refuse(503)

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", refuse, **ALL)
            router = harness.routers[0]
            router.budget.ratio = router.budget.constant = 0.0
            answer = await harness.request("/draft/x", method="POST")
            assert answer.head.status == 503
            text = router.frontend._context.metrics.render().decode()
            assert 'refusals_total{label="retry_budget"} 1' in text
