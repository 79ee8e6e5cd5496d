"""Selection of the endpoints to probe."""

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
from hemlockhall_standins.router.pool import make_statements

SILENCE_LIMIT_S = 0.06


@pytest.fixture()
def directory() -> Directory:
    result = Directory(
        StandinDialect().decode_endpoint, lambda: 0.0, Timing(BoundsSection())
    )
    for name in ("p1", "p2", "p3"):
        result.add(Endpoint(name, "pool", "127.0.0.1", 1, "here"))
    return result


def add_silent_stream(directory: Directory) -> ActiveStream:
    stream = ActiveStream(["p1", "p2", "p3"], SILENCE_LIMIT_S, movable=True)
    stream.record_event(SILENCE_LIMIT_S)
    stream.last_event_at -= 10 * SILENCE_LIMIT_S
    directory.active_streams.add(stream)
    return stream


class TestSilentStreams:
    def test_only_endpoints_without_recent_events_are_probed(
        self, directory: Directory
    ) -> None:
        """Guards against streams that are moved too late because all endpoints of a
        path were probed and the probes queued under load. Events of other streams show
        which endpoints are up."""
        prober = Prober(
            StandinDialect(), directory, lambda: 1, make_statements(directory)
        )
        stream = add_silent_stream(directory)
        now = time.monotonic()
        directory.records["p1"].last_event_at = directory.records[
            "p3"
        ].last_event_at = now
        prober._check_silent_streams()
        assert prober._take_due() == ["p2"]
        assert stream.probe_requested

    def test_stream_paused_at_live_endpoints_is_checked_again(
        self, directory: Directory
    ) -> None:
        prober = Prober(
            StandinDialect(), directory, lambda: 1, make_statements(directory)
        )
        stream = add_silent_stream(directory)
        now = time.monotonic()
        for record in directory.records.values():
            record.last_event_at = now
        prober._check_silent_streams()
        assert prober._take_due() == []
        directory.records["p2"].last_event_at = now - 10 * SILENCE_LIMIT_S
        prober._check_silent_streams()
        assert prober._take_due() == ["p2"]
        assert stream.probe_requested


class TestLocalStall:
    def test_local_stall_triggers_no_probes(self, directory: Directory) -> None:
        """Guards against endpoints marked as down after this host stalled."""
        prober = Prober(
            StandinDialect(), directory, lambda: 1, make_statements(directory)
        )
        stream = add_silent_stream(directory)
        prober._polled_at -= 10 * SILENCE_LIMIT_S
        prober._detect_stall()
        prober._check_silent_streams()
        assert prober._take_due() == []
        assert not stream.probe_requested
        prober._reading_since -= 10 * SILENCE_LIMIT_S
        prober._check_silent_streams()
        assert set(prober._take_due()) == {"p1", "p2", "p3"}
