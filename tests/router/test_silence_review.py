"""Silent endpoints: races with a connection, probes without a report, stale probes."""

from __future__ import annotations

import time
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.pool import ConnectionPool
from hemlockhall_router.membership.message import (
    CrashEvidence,
    SegmentVerdict,
    service_key,
)
from hemlockhall_router.process.prober import _heard_again
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import caller_text, router_harness
from hemlockhall_standins.router.pausing import EVENTS, PausingLoad, PausingPool
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop
from tests.router.test_hedge import (
    ALL_EVENTS,
    ROW,
    FirstEndpoint,
    say_nothing,
    send_events,
    send_rest,
    silent_stream,
)

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow(
        "/draft/",
        "stream",
        "pool",
        resumable=True,
        timeout_s=20.0,
        objective_s=2.0,
        pause_s=2.0,
    ),
    RouteRow("/read/", "idempotent", "desk", timeout_s=4.0),
    RouteRow("/book/", "once", "desk", timeout_s=4.0),
]
DARK_S = 60.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def answer(request: ReceivedRequest) -> None:
    await request.answer(body=b"booked")


class TestRace:
    @pytest.mark.parametrize("events", [0, 2])
    async def test_the_silent_attempt_breaks_while_the_second_connects(
        self, events: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a stream that goes on with an attempt that was never sent."""
        acquire = ConnectionPool.acquire
        slow_ports: set[int] = set()

        async def acquire_late(self, address, deadline):  # noqa: ANN001, ANN202
            if address[1] in slow_ports:
                await anyio.sleep(0.1)
            return await acquire(self, address, deadline)

        monkeypatch.setattr(ConnectionPool, "acquire", acquire_late)
        first = FirstEndpoint(events, lambda request: first.break_off(request))
        async with silent_stream(first) as stream:
            other = await stream.add("p2", send_rest)
            slow_ports.add(other.port)
            stream.report_silence()
            await anyio.sleep(0.05)
            first.may_go_on.set()
        assert stream.bodies == [ALL_EVENTS]


class TestProbes:
    async def test_an_endpoint_without_a_report_is_used_again_after_a_pause(
        self,
    ) -> None:
        """Guards against endpoints of plain services that stay down for good."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", answer)
            endpoint.state = "no report"
            endpoint.fall_silent(1.2)
            outcome = await PausingLoad(harness, "/read/").request("", "first")
            assert outcome.whole
            await anyio.sleep(5.0)
            record = harness.routers[0].directory.records["d1"]
            assert not record.down
            outcome = await PausingLoad(harness, "/read/").request("", "second")
            assert outcome.status == 200

    async def test_a_reset_while_the_answer_is_awaited_is_no_sign_of_life(self) -> None:
        """Guards against events before the silence that count as events after it."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", answer, **ROW)
            directory = harness.routers[0].directory
            record = directory.records["p1"]
            record.last_local_event_at = time.monotonic()
            await anyio.sleep(0.2)
            directory.set_down("p1", down=True)
            assert not _heard_again(record)
            directory.end_pause("p1")
            assert not _heard_again(record)

    async def test_a_refusal_of_an_earlier_incarnation_does_not_end_the_next(
        self,
    ) -> None:
        """Guards against streams that are moved off a sound endpoint."""
        async with router_harness(ROUTES) as harness:
            old = await harness.start_endpoint("p1", answer, **ROW)
            silent = await harness.start_endpoint("p2", answer, **ROW)
            router = harness.routers[0]
            records = router.directory.records
            silent.fall_silent(DARK_S)
            router.directory.set_down("p2", down=True)
            records["p2"].probed_at = time.monotonic()
            old.stop()
            await anyio.sleep(0.01)
            async with anyio.create_task_group() as group:
                group.start_soon(
                    router._prober._probe_round, ["p1", "p2"], harness.group
                )
                await anyio.sleep(0.1)
                await harness.start_endpoint("p1", answer, **ROW, born=9)
                await harness.wait_until(lambda: records["p1"].endpoint.started_ms == 9)
                assert not records["p1"].ended
            assert not records["p1"].ended


class TestPausingChoice:
    async def test_a_stream_sent_to_a_dark_endpoint_goes_on_elsewhere(self) -> None:
        """Guards against streams that wait for an endpoint that does not go on, while
        another one does."""
        async with router_harness(ROUTES) as harness:
            pool = PausingPool(harness)
            await pool.start(2)
            for endpoint in pool.endpoints:
                endpoint.fall_silent(DARK_S)
            router = harness.routers[0]
            router._prober.request_probes([item.name for item in pool.endpoints])
            records = router.directory.records
            await harness.wait_until(lambda: all(r.down for r in records.values()))
            load = PausingLoad(harness, "/draft/")
            async with anyio.create_task_group() as group:
                group.start_soon(load.request, "story", "first")
                await anyio.sleep(0.2)
                for endpoint in pool.endpoints:
                    if not endpoint.received:
                        endpoint.silent_until = 0.0
            assert [len(item.received) for item in pool.endpoints].count(0) == 0
            assert load.outcomes[0].whole
            assert load.outcomes[0].took_s < 4.0

    async def test_a_booking_refused_by_full_endpoints_is_not_sent_to_a_silent_one(
        self,
    ) -> None:
        """Guards against a booking that gets 504 where it could be refused."""

        async def refuse(request: ReceivedRequest) -> None:
            await request.refuse(503)

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("d1", refuse)
            dark = await harness.start_endpoint("d2", answer)
            dark.fall_silent(DARK_S)
            router = harness.routers[0]
            router._prober.request_probes(["d2"])
            records = router.directory.records
            await harness.wait_until(lambda: records["d2"].down)
            outcome = await PausingLoad(harness, "/book/").request("", "first")
            assert outcome.status == 503


class TestQuarantine:
    async def test_a_stream_that_moved_stays_under_a_verdict(self) -> None:
        """Guards against a verdict that ends a stream of which the caller has events,
        as the endpoint that it moved to has not sent one yet."""
        may_answer = anyio.Event()

        async def answer_late(request: ReceivedRequest) -> None:
            await request.begin()
            await may_answer.wait()
            await send_events(request, 3)

        first = FirstEndpoint(2, say_nothing)
        async with silent_stream(first) as stream:
            await anyio.sleep(0.2)
            await stream.add("p2", answer_late)
            stream.report_silence(RetryReason.MOVED)
            await anyio.sleep(0.2)
            assert stream.first.disconnects == 1
            router = stream.harness.routers[0]
            [active] = router.directory.active_streams
            now_ms = router.quarantine._now_ms()
            key = active.segment_keys[0]
            verdict = SegmentVerdict(key, now_ms, now_ms, now_ms + 600_000)
            router.quarantine.apply([], [verdict])
            await anyio.sleep(0.2)
            may_answer.set()
        assert stream.bodies == [ALL_EVENTS]


class TestCrash:
    async def test_one_that_left_and_started_again_under_its_id_did_not_crash(
        self,
    ) -> None:
        """Guards against prompts that are blamed for a planned restart."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", answer, **ROW)
            directory = harness.routers[0].directory
            old = directory.records["p1"].endpoint
            directory.record_leaving(old)
            assert not directory.has_crashed(old)
            harness.register(endpoint, **ROW, born=9)
            await harness.wait_until(
                lambda: directory.records["p1"].endpoint.started_ms == 9
            )
            assert not directory.has_crashed(old)


class TestCaller:
    async def test_one_that_has_sent_all_it_sends_gets_its_stream(self) -> None:
        """Guards against a stream that is cut as its caller closes its sending side."""
        async with router_harness(ROUTES) as harness:
            pool = PausingPool(harness)
            await pool.start(1)
            conn = await harness.connect()
            deadline = time.monotonic() + 5.0
            text = caller_text("/draft/", "POST", headers={"segments": "story own"})
            await conn.send(text, deadline)
            await conn._stream.send_eof()
            response = await conn.read_response(deadline)
            assert response.body.count(b"data:") == EVENTS


class TestEvidence:
    async def test_a_silent_stream_with_evidence_against_its_prompt_is_not_cut(
        self,
    ) -> None:
        """Guards against a stream with an event that its host gives up, as another
        host saw a crash under the prompt and the endpoint pauses."""
        async with router_harness(ROUTES) as harness:
            pool = PausingPool(harness)
            await pool.start(3)
            pool.silent_after[("own", 1)] = 1.2
            router = harness.routers[0]
            load = PausingLoad(harness, "/draft/")
            async with anyio.create_task_group() as group:
                group.start_soon(load.request, "story", "own")
                await harness.wait_until(lambda: router.directory.active_streams)
                [active] = router.directory.active_streams
                item = CrashEvidence(
                    active.segment_keys[0],
                    service_key("pool"),
                    1,
                    2,
                    router.quarantine._now_ms(),
                    True,
                )
                router.quarantine.apply([item], [])
                await harness.wait_until(lambda: active.first_event_seen)
                router._prober.request_probes([e.name for e in pool.endpoints])
            assert load.outcomes[0].whole
