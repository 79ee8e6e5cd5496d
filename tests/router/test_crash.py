"""Attempts that ended together with an endpoint, at one host without a network."""

from __future__ import annotations

import time
from dataclasses import replace

import anyio
import pytest

from hemlockhall_router.connection.message import RequestHead
from hemlockhall_router.membership.message import SegmentVerdict
from hemlockhall_router.policy.crash import MAX_REQUEST_CRASHES
from hemlockhall_router.process.crash import (
    CONFIRMATION_S,
    WITHDRAWAL_INTERVAL_S,
    CrashWatch,
)
from hemlockhall_router.process.dialect import PromptSegments
from hemlockhall_router.process.directory import PAUSE_LIMIT_S, Directory
from hemlockhall_router.process.metric import Metrics
from hemlockhall_router.process.quarantine import request_key
from hemlockhall_router.request.failure import AttemptFailedError
from hemlockhall_router.request.relay import RoutedRequest
from hemlockhall_router.version.endpoint import Endpoint
from hemlockhall_router.version.routing import Route, RouteKind, Service
from hemlockhall_standins.router.pool import make_directory, make_quarantine
from hemlockhall_standins.virtual_time import VirtualClock

pytestmark = pytest.mark.anyio

ENDPOINT = Endpoint("d1", "pool", "10.0.0.1", 1, "here", started_ms=1)
ROUTE = Route("r", b"", b"/", RouteKind.STREAM, 5.0, 0.3, ())


def request(*segments: str) -> RoutedRequest:
    head = RequestHead(b"POST", b"/", [])
    service = Service("pool", "/", 0)
    deadline = time.monotonic() + 5.0
    routed = RoutedRequest(head, b"", ROUTE, service, None, b"r1", deadline)
    routed.segments = PromptSegments(tuple(segments[:-1]), segments[-1])
    return routed


@pytest.fixture()
def directory(clock: VirtualClock) -> Directory:
    result = make_directory()
    result.add(ENDPOINT)
    return result


@pytest.fixture()
def watch(directory: Directory) -> CrashWatch:
    quarantine = make_quarantine(directory)
    return CrashWatch(
        directory, Metrics(), time.monotonic, quarantine, lambda ids: None
    )


def attempts(watch: CrashWatch, label: str) -> int:
    return watch._metrics._counters.get("crash_attempts", {}).get(label, 0)


class TestCrash:
    def test_an_endpoint_is_probed_until_that_is_known(
        self, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against a crash that is missed as the endpoint had been probed just
        before, and no other request is sent to it."""
        probed: list[str] = []
        quarantine = make_quarantine(directory)
        watch = CrashWatch(
            directory, Metrics(), time.monotonic, quarantine, probed.extend
        )
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=True)
        watch.update()
        assert probed == ["d1"]
        directory.set_down("d1", down=True, ended=True)
        watch.update()
        watch.update()
        assert probed == ["d1"]
        assert attempts(watch, "responded") == 1

    def test_an_endpoint_that_has_ended_crashed(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=True)
        watch.update()
        assert attempts(watch, "responded") == 0
        clock.advance(CONFIRMATION_S / 2)
        directory.set_down("d1", down=True, ended=True)
        watch.update()
        watch.update()
        assert attempts(watch, "responded") == 1

    def test_one_that_is_silent_did_not_crash(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against prompts that are blamed for a pause of an endpoint."""
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=True)
        directory.set_down("d1", down=True)
        watch.update()
        clock.advance(CONFIRMATION_S)
        watch.update()
        assert attempts(watch, "responded") == 0

    def test_one_that_restarted_under_its_id_crashed(
        self, watch: CrashWatch, directory: Directory
    ) -> None:
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=False)
        directory.records["d1"].endpoint = replace(ENDPOINT, started_ms=2)
        watch.update()
        assert attempts(watch, "waiting") == 1

    def test_one_that_lives_did_not_crash(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against prompts that are blamed for a broken connection."""
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=True)
        clock.advance(CONFIRMATION_S)
        watch.update()
        directory.set_down("d1", down=True, ended=True)
        watch.update()
        assert attempts(watch, "responded") == 0
        assert attempts(watch, "endpoint_lives") == 1

    def test_one_that_was_leaving_did_not_crash(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against prompts that are blamed for an endpoint that exits."""
        directory.record_leaving(ENDPOINT)
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=True)
        directory.set_down("d1", down=True, ended=True)
        watch.update()
        clock.advance(CONFIRMATION_S)
        watch.update()
        assert attempts(watch, "responded") == 0

    def test_one_that_left_and_restarted_did_not_crash(
        self, watch: CrashWatch, directory: Directory
    ) -> None:
        """Guards against prompts that are blamed for a planned restart."""
        directory.record_leaving(ENDPOINT)
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=True)
        directory.records["d1"].endpoint = replace(ENDPOINT, started_ms=2)
        watch.update()
        assert attempts(watch, "responded") == 0

    def test_one_whose_entry_was_removed_did_not_crash(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against prompts that are blamed for an endpoint that removes its entry
        and ends."""
        watch.record_attempt(request("a", "own"), [ENDPOINT], responded=True)
        directory._remove("d1", "removed")
        watch.update()
        clock.advance(CONFIRMATION_S)
        watch.update()
        assert attempts(watch, "responded") == 0

    def test_bodies_are_not_kept(self, watch: CrashWatch) -> None:
        """Guards against a host that runs out of memory as endpoints crash under many
        large prompts."""
        routed = request("a", "own")
        routed.body = b"x" * 1000
        watch.record_attempt(routed, [ENDPOINT], responded=True)
        assert [attempt.request.body for attempt in watch._pending] == [b""]
        assert routed.body


class TestSettle:
    async def settled(self, watch: CrashWatch, routed: RoutedRequest) -> bool:
        """Return whether a request may be sent without a wait."""
        with anyio.move_on_after(0):
            await watch.settle(routed, ENDPOINT)
            return True
        return False

    async def test_a_third_break_is_waited_out(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against a fourth endpoint that is sent a request before it is known
        that the third one ended."""
        routed = request("a", "own")
        for number in range(MAX_REQUEST_CRASHES):
            assert await self.settled(watch, routed)
            endpoint = replace(ENDPOINT, id=f"e{number}")
            directory.add(endpoint)
            watch.record_attempt(routed, [endpoint], responded=True, served=True)
        assert not await self.settled(watch, request("a", "own"))
        assert await self.settled(watch, request("a", "another"))
        clock.advance(CONFIRMATION_S)
        watch.update()
        assert await self.settled(watch, routed)

    async def test_one_that_answers_has_not_ended(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against a stream that waits whenever its connections break."""
        routed = request("a", "own")
        for number in range(MAX_REQUEST_CRASHES):
            endpoint = replace(ENDPOINT, id=f"e{number}")
            directory.add(endpoint)
            watch.record_attempt(routed, [endpoint], responded=True, served=True)
        clock.advance(0.1)
        directory.record_answer(endpoint, time.monotonic())
        assert await self.settled(watch, routed)

    async def test_one_that_waits_for_a_trial_ends_with_a_verdict(
        self, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against requests that wait until their deadline for a trial of a
        content that is refused meanwhile."""
        quarantine = make_quarantine(directory)
        watch = CrashWatch(
            directory, Metrics(), time.monotonic, quarantine, lambda ids: None
        )
        first, waiting = request("a", "own"), request("a", "own")
        now = time.monotonic()
        for number in range(MAX_REQUEST_CRASHES):
            endpoint = replace(ENDPOINT, id=f"e{number}")
            quarantine.record_crash(
                first, endpoint, now, alive_at=now, responded=False, served=True
            )
        assert not await self.settled(watch, waiting)
        now_ms = quarantine._now_ms()
        verdict = SegmentVerdict(request_key(first), now_ms, now_ms, now_ms + 30_000)
        quarantine.apply([], [verdict])
        with pytest.raises(AttemptFailedError):
            await self.settled(watch, waiting)

    async def test_an_answer_of_the_next_incarnation_is_none(
        self, watch: CrashWatch, directory: Directory, clock: VirtualClock
    ) -> None:
        directory.record_answer(replace(ENDPOINT, started_ms=2), time.monotonic())
        assert not directory.has_answered_since(ENDPOINT, 0.0)


class TestSilence:
    @pytest.mark.parametrize("goes_on", [False, True])
    def test_an_end_is_taken_back_if_the_endpoint_goes_on(
        self, goes_on: bool, directory: Directory, clock: VirtualClock
    ) -> None:
        """Guards against a sound content that is refused as slow endpoints, which
        answer no probe for a while, are found silent one after the other."""
        quarantine = make_quarantine(directory)
        watch = CrashWatch(
            directory, Metrics(), time.monotonic, quarantine, lambda ids: None
        )
        endpoints = [replace(ENDPOINT, id=f"e{number}") for number in range(3)]
        for endpoint in endpoints:
            directory.add(endpoint)
            directory.record_heard(endpoint)
            routed = request("a", "own")
            routed.sent_at[endpoint.id] = time.monotonic()
            clock.advance(0.5)
            directory.set_down(endpoint.id, down=True)
            watch.record_attempt(routed, [endpoint], responded=False, closed=False)
            clock.advance(0.2)
        clock.advance(PAUSE_LIMIT_S)
        watch.update()
        assert quarantine.refusal(request("a", "own")) is not None
        clock.advance(0.1)
        if goes_on:
            directory.set_down("e2", down=False)
            directory.record_heard(endpoints[2])
        clock.advance(WITHDRAWAL_INTERVAL_S)
        watch.update()
        refused = quarantine.refusal(request("a", "own")) is not None
        assert refused is not goes_on


class TestLog:
    def test_segments_in_a_line_are_bounded(self) -> None:
        """Guards against log lines that a caller makes as long as its headers."""
        segments = PromptSegments(tuple("x" * 5000 for _ in range(100)), "own")
        assert sum(map(len, segments.logged)) <= 400
