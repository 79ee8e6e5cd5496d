"""Which endpoints are asked whether they live."""

from __future__ import annotations

import time

import pytest

from hemlockhall_router.process.directory import Directory
from hemlockhall_router.process.prober import Prober
from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.timing import Timing
from hemlockhall_router.request.active_stream import ActiveStream
from hemlockhall_router.version.endpoint import Endpoint
from hemlockhall_standins.router.dialect import StandinDialect

QUIET_S = 0.06


@pytest.fixture()
def directory() -> Directory:
    made = Directory(
        StandinDialect().decode_endpoint, lambda: 0.0, Timing(BoundsSection())
    )
    for name in ("p1", "p2", "p3"):
        made.add(Endpoint(name, "pool", "127.0.0.1", 1, "here"))
    return made


def silent(directory: Directory) -> ActiveStream:
    running = ActiveStream(["p1", "p2", "p3"], QUIET_S, movable=True)
    running.record_event(QUIET_S)
    running.last_event_at -= 10 * QUIET_S
    directory.active_streams.add(running)
    return running


class TestDoubt:
    def test_only_endpoints_that_no_stream_hears_are_asked(
        self, directory: Directory
    ) -> None:
        """One of twelve endpoints on a path dies. All were asked, which took so
        many questions under load that they were put off, and the streams there
        went on elsewhere too late. The events of other streams show which of
        the endpoints live."""
        prober = Prober(StandinDialect(), directory, lambda: 1)
        running = silent(directory)
        now = time.monotonic()
        directory.records["p1"].last_event_at = directory.records[
            "p3"
        ].last_event_at = now
        prober._check_silent_streams()
        assert prober._take_due() == ["p2"]
        assert running.probe_requested

    def test_a_stream_that_waits_at_living_endpoints_is_looked_at_again(
        self, directory: Directory
    ) -> None:
        prober = Prober(StandinDialect(), directory, lambda: 1)
        running = silent(directory)
        now = time.monotonic()
        for record in directory.records.values():
            record.last_event_at = now
        prober._check_silent_streams()
        assert prober._take_due() == []
        directory.records["p2"].last_event_at = now - 10 * QUIET_S
        prober._check_silent_streams()
        assert prober._take_due() == ["p2"]
        assert running.probe_requested


class TestOwnDelay:
    def test_a_host_that_did_not_read_blames_no_endpoint(
        self, directory: Directory
    ) -> None:
        """Guards against endpoints found down after this host stood still."""
        prober = Prober(StandinDialect(), directory, lambda: 1)
        running = silent(directory)
        prober._polled_at -= 10 * QUIET_S
        prober._detect_stall()
        prober._check_silent_streams()
        assert prober._take_due() == []
        assert not running.probe_requested
        prober._reading_since -= 10 * QUIET_S
        prober._check_silent_streams()
        assert set(prober._take_due()) == {"p1", "p2", "p3"}
