"""Streams whose endpoints fall silent: a second attempt runs beside the first."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hemlockhall_router.membership.message import SegmentVerdict
from hemlockhall_router.request.active_stream import ActiveStream, MoveRequestedError
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import (
    ReceivedRequest,
    ScriptedEndpoint,
    event_text,
)
from hemlockhall_standins.router.harness import (
    RouterHarness,
    caller_text,
    router_harness,
)
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

EVENT_COUNT = 6
ALL_EVENTS = b"".join(event_text(number) for number in range(1, EVENT_COUNT + 1))
# The model has no such accelerator, so the planner sends no orders.
ROW = {"service": "pool", "layers": (0, 8), "accelerator": "unplanned"}
# Time in which a second attempt that may be sent has been.
SOON_S = 0.4


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


def route(tries: int = 3, pause_s: float = 2.0, timeout_s: float = 20.0) -> RouteRow:
    return RouteRow(
        "/draft/",
        "stream",
        "pool",
        tries=tries,
        resumable=True,
        timeout_s=timeout_s,
        objective_s=2.0,
        pause_s=pause_s,
    )


async def send_rest(request: ReceivedRequest) -> None:
    """Send all events that the caller lacks."""
    await request.begin()
    await send_events(request, int(request.header("resume-after") or 0) + 1)


async def send_events(request: ReceivedRequest, first: int) -> None:
    for number in range(first, EVENT_COUNT + 1):
        await request.event(number)
    await request.end()


async def say_nothing(request: ReceivedRequest) -> None:
    request.ended = True
    await request.reader.wait_disconnect()
    request.endpoint.disconnects += 1


async def refuse(request: ReceivedRequest) -> None:
    await request.refuse(503, f"at-fault: 127.0.0.1:{request.endpoint.port}\r\n")


@dataclass
class FirstEndpoint:
    """Sends ``events`` events and part of one more, then does what ``script`` says.

    The script is run once for the first request; later ones are served.
    """

    events: int
    script: Callable[[ReceivedRequest], Awaitable[None]]
    part: int = 0
    may_go_on: anyio.Event = field(default_factory=anyio.Event)
    silent: anyio.Event = field(default_factory=anyio.Event)

    async def handle(self, request: ReceivedRequest) -> None:
        if len(request.endpoint.received) > 1:
            await send_rest(request)
            return
        if self.events:
            await request.begin()
        for number in range(1, self.events + 1):
            await request.event(number)
        if self.part:
            await request.raw(event_text(self.events + 1)[: self.part])
        self.silent.set()
        await self.script(request)

    async def go_on(self, request: ReceivedRequest) -> None:
        """Complete the stream once it may."""
        await self.may_go_on.wait()
        if not self.events:
            await request.begin()
        rest = event_text(self.events + 1)[self.part :]
        await request.raw(rest)
        await send_events(request, self.events + 2)

    async def break_off(self, request: ReceivedRequest) -> None:
        await self.may_go_on.wait()
        await request.reset()


@dataclass
class SilentStream:
    """A stream whose endpoint ``first`` has fallen silent, and what its caller got."""

    harness: RouterHarness
    first: ScriptedEndpoint
    group: anyio.abc.TaskGroup
    bodies: list[bytes] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)

    def report_silence(self, reason: RetryReason = RetryReason.SILENT) -> None:
        """Tell the streams at the first endpoint that a probe was not answered."""
        record = self.harness.routers[0].directory.records[self.first.name]
        for stream in list(record.active_streams):
            stream.request_move("no answer", still_served=True, reason=reason)

    async def request(self) -> None:
        response = await self.harness.request(
            "/draft/x", method="POST", headers={"segments": "story own"}
        )
        self.statuses.append(response.head.status)
        self.bodies.append(response.body)

    async def add(
        self, name: str, handler: Callable[[ReceivedRequest], Awaitable[None]]
    ) -> ScriptedEndpoint:
        return await self.harness.start_endpoint(name, handler, **ROW)


@asynccontextmanager
async def silent_stream(
    first: FirstEndpoint, row: RouteRow | None = None
) -> AsyncIterator[SilentStream]:
    """Run a stream until its endpoint has sent what it sends at first."""
    async with router_harness([row or route()]) as harness:
        endpoint = await harness.start_endpoint("p1", first.handle, **ROW)
        async with anyio.create_task_group() as group:
            stream = SilentStream(harness, endpoint, group)
            group.start_soon(stream.request)
            await first.silent.wait()
            await anyio.sleep(0.02)
            yield stream


class TestRace:
    @pytest.mark.parametrize(("events", "part"), [(0, 0), (2, 0), (2, 7)])
    async def test_second_attempt_with_an_event_goes_on(
        self, events: int, part: int
    ) -> None:
        """Guards against bytes of the silent attempt that reach the caller, and against
        one that stays at work."""
        first = FirstEndpoint(events, say_nothing, part)
        async with silent_stream(first) as stream:
            other = await stream.add("p2", send_rest)
            stream.report_silence()
        assert stream.bodies == [ALL_EVENTS]
        expected = str(events) if events else None
        assert other.received[0].header("resume-after") == expected
        assert stream.first.disconnects == 1

    @pytest.mark.parametrize("events", [0, 2])
    async def test_silent_attempt_goes_on_if_it_has_the_next_event(
        self, events: int
    ) -> None:
        """Guards against a connection that is closed as its endpoint pauses."""
        first = FirstEndpoint(events, lambda request: first.go_on(request))
        async with silent_stream(first) as stream:
            other = await stream.add("p2", say_nothing)
            stream.report_silence()
            await anyio.sleep(SOON_S)
            assert len(other.received) == 1
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]
        assert len(stream.first.received) == 1
        assert (stream.first.disconnects, other.disconnects) == (0, 1)

    async def test_part_of_an_event_is_completed_after_the_race(self) -> None:
        """Guards against bytes that are lost as a read ends with the race."""
        first = FirstEndpoint(2, lambda request: first.go_on(request), part=7)
        async with silent_stream(first) as stream:
            await stream.add("p2", refuse)
            stream.report_silence()
            await anyio.sleep(SOON_S)
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]

    @pytest.mark.parametrize("events", [0, 2])
    async def test_stream_stays_if_the_second_attempt_fails(self, events: int) -> None:
        """Guards against a stream that is worse off for the attempt to move it."""

        async def break_off(request: ReceivedRequest) -> None:
            await request.begin()
            await request.raw(event_text(events + 1)[:9])
            await request.reset()

        first = FirstEndpoint(events, lambda request: first.go_on(request))
        async with silent_stream(first) as stream:
            other = await stream.add("p2", break_off)
            stream.report_silence()
            await anyio.sleep(SOON_S)
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]
        assert (len(stream.first.received), len(other.received)) == (1, 1)

    @pytest.mark.parametrize("events", [0, 2])
    async def test_second_attempt_goes_on_if_the_silent_one_breaks(
        self, events: int
    ) -> None:
        """Guards against a stream that is sent a third time, or given up."""
        may_answer = anyio.Event()

        async def answer_late(request: ReceivedRequest) -> None:
            await may_answer.wait()
            await send_rest(request)

        first = FirstEndpoint(events, lambda request: first.break_off(request))
        async with silent_stream(first) as stream:
            other = await stream.add("p2", answer_late)
            stream.report_silence()
            await anyio.sleep(SOON_S)
            first.may_go_on.set()
            await anyio.sleep(SOON_S)
            may_answer.set()
        assert stream.bodies == [ALL_EVENTS]
        assert (len(stream.first.received), len(other.received)) == (1, 1)

    async def test_stream_is_sent_again_if_both_break(self) -> None:
        first = FirstEndpoint(2, lambda request: first.break_off(request))

        async def break_off(request: ReceivedRequest) -> None:
            if len(request.endpoint.received) > 1:
                await send_rest(request)
                return
            await first.may_go_on.wait()
            await request.reset()

        async with silent_stream(first) as stream:
            await stream.add("p2", break_off)
            stream.report_silence()
            await anyio.sleep(SOON_S)
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]

    async def test_path_with_one_other_endpoint_is_tried(self) -> None:
        """Guards against a stream that waits for a silent endpoint behind its first
        one, though another has the same layers."""
        first = FirstEndpoint(2, say_nothing)
        front, back = {**ROW, "layers": (0, 4)}, {**ROW, "layers": (4, 8)}
        async with router_harness([route(tries=1)]) as harness:
            endpoint = await harness.start_endpoint("p1", first.handle, **front)
            await harness.start_endpoint("p2", say_nothing, **back)
            async with anyio.create_task_group() as group:
                stream = SilentStream(harness, endpoint, group)
                group.start_soon(stream.request)
                await first.silent.wait()
                await anyio.sleep(0.02)
                await harness.start_endpoint("p3", say_nothing, **back)
                records = harness.routers[0].directory.records
                records["p2"].backoff_deadline = float("inf")
                stream.report_silence()
            assert stream.bodies == [ALL_EVENTS]
            assert endpoint.received[1].header("path") == "p1:0-4 p3:4-8"

    async def test_both_are_closed_once_the_caller_leaves(self) -> None:
        """Guards against endpoints at work for a caller that has left."""
        async with router_harness([route()]) as harness:
            first = FirstEndpoint(2, say_nothing)
            endpoint = await harness.start_endpoint("p1", first.handle, **ROW)
            conn = await harness.connect()
            text = caller_text("/draft/x", "POST")
            await conn.send(text, time.monotonic() + 5.0)
            await first.silent.wait()
            other = await harness.start_endpoint("p2", say_nothing, **ROW)
            async with anyio.create_task_group() as group:
                stream = SilentStream(harness, endpoint, group)
                await anyio.sleep(0.02)
                stream.report_silence()
                await anyio.sleep(SOON_S)
            assert len(other.received) == 1
            await conn.close()
            await anyio.sleep(0.1)
            assert (endpoint.disconnects, other.disconnects) == (1, 1)


class TestWithoutSecondAttempt:
    async def test_stream_reads_on_until_the_budget_allows_one(self) -> None:
        """Guards against a stream that is given up, or never moves, as its host has no
        retry at first."""
        first = FirstEndpoint(2, say_nothing)
        async with silent_stream(first) as stream:
            other = await stream.add("p2", send_rest)
            budget = stream.harness.routers[0].budget
            constant, budget.constant = budget.constant, 0.0
            stream.report_silence()
            await anyio.sleep(1.0)
            assert (other.received, stream.first.disconnects) == ([], 0)
            budget.constant = constant
        assert stream.bodies == [ALL_EVENTS]

    async def test_stream_at_its_endpoint_limit_reads_on(self) -> None:
        """Guards against a second endpoint for a route that allows one."""
        first = FirstEndpoint(2, lambda request: first.go_on(request))
        async with silent_stream(first, route(tries=1)) as stream:
            other = await stream.add("p2", send_rest)
            stream.report_silence()
            await anyio.sleep(3.0)
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]
        assert (len(stream.first.received), other.received) == (1, [])

    @pytest.mark.parametrize("events", [0, 2])
    async def test_stream_goes_on_after_all_others_refused(self, events: int) -> None:
        first = FirstEndpoint(events, lambda request: first.go_on(request))
        async with silent_stream(first) as stream:
            others = [await stream.add(f"p{n}", refuse) for n in (2, 3, 4)]
            stream.report_silence()
            await anyio.sleep(3.0)
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]
        assert 1 <= sum(len(other.received) for other in others) <= 3

    @pytest.mark.parametrize("tries", [1, 2])
    async def test_dead_connection_is_replaced_at_the_same_endpoint(
        self, tries: int
    ) -> None:
        """Guards against a stream that reads a dead connection until its deadline while
        its only endpoint accepts new ones."""
        first = FirstEndpoint(2, say_nothing)
        async with silent_stream(first, route(tries, pause_s=0.1)) as stream:
            began = time.monotonic()
        assert stream.bodies == [ALL_EVENTS]
        assert time.monotonic() - began < 2.0

    async def test_silent_request_gets_its_answer_at_the_deadline(self) -> None:
        """Guards against a stream without an event that outlasts its route's limit."""
        first = FirstEndpoint(0, say_nothing)
        async with silent_stream(first, route(tries=1, timeout_s=5.0)) as stream:
            stream.report_silence()
            began = time.monotonic()
        assert stream.statuses == [504]
        assert 4.5 < time.monotonic() - began < 5.1


class TestQuarantine:
    async def quarantine(self, stream: SilentStream) -> None:
        """Bring a verdict against the prompt into force."""
        router = stream.harness.routers[0]
        now_ms = router.quarantine._now_ms()
        [active] = stream.harness.routers[0].directory.active_streams
        key = active.segment_keys[0]
        verdict = SegmentVerdict(key, now_ms, now_ms, now_ms + 600_000)
        router.quarantine.apply([], [verdict])
        assert router.quarantine.quarantined()

    @pytest.mark.parametrize("reason", [RetryReason.SILENT, RetryReason.MOVED])
    async def test_stream_with_events_stays_under_a_verdict(
        self, reason: RetryReason
    ) -> None:
        """Guards against a verdict that ends a stream which only leaves a silent or a
        draining endpoint, and against a move that could crash another one."""
        first = FirstEndpoint(2, lambda request: first.go_on(request))
        async with silent_stream(first) as stream:
            other = await stream.add("p2", send_rest)
            await self.quarantine(stream)
            stream.report_silence(reason)
            await anyio.sleep(1.0)
            assert (other.received, stream.first.disconnects) == ([], 0)
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]


class TestRequestMove:
    async def read(self, stream: ActiveStream) -> None:
        async def receive(deadline: float) -> None:
            await anyio.sleep(deadline - time.monotonic())

        await stream.wait(receive, time.monotonic() + 1.0)

    async def test_silence_before_the_first_event_is_told(self) -> None:
        stream = ActiveStream(["p1"], 1.0, movable=True)
        stream.request_move("x", still_served=True, reason=RetryReason.SILENT)
        with pytest.raises(MoveRequestedError) as caught:
            await self.read(stream)
        assert caught.value.reason is RetryReason.SILENT
        await self.read(stream)

    async def test_draining_before_the_first_event_is_not_told(self) -> None:
        stream = ActiveStream(["p1"], 1.0, movable=True)
        stream.request_move("x", still_served=True)
        await self.read(stream)

    async def test_stream_that_may_not_run_twice_is_told_nothing(self) -> None:
        stream = ActiveStream(["p1"], 1.0, movable=False)
        stream.request_move("x", still_served=True, reason=RetryReason.SILENT)
        await self.read(stream)
