"""What this host knows of the endpoints."""

from __future__ import annotations

import time

import msgspec
import pytest

from hemlockhall_router.process.directory import AVOID_S, BUSY_S, Directory
from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.store import Row
from hemlockhall_router.process.timing import Timing
from hemlockhall_standins.router.dialect import EndpointRow, StandinDialect


@pytest.fixture()
def directory() -> Directory:
    made = Directory(StandinDialect().endpoint, lambda: 0.0, Timing(BoundsSection()))
    value = msgspec.json.encode(EndpointRow("pool", 1))
    made.take([Row("p1", value, 1)])
    return made


class TestLeavingOut:
    def test_failures_at_the_same_time_count_once(self, directory: Directory) -> None:
        """All callers come back at once after a loss of power, and an endpoint
        refuses ten of them within milliseconds. Each refusal doubled the time
        for which it was left out, so that no path was left for four seconds
        and everybody was refused."""
        for _ in range(10):
            directory.failed("p1", "refused")
        assert directory.held["p1"].avoid_deadline <= time.monotonic() + AVOID_S

    def test_failures_one_after_another_count_more(self, directory: Directory) -> None:
        held = directory.held["p1"]
        for _ in range(3):
            held.avoid_deadline = 0.0
            directory.failed("p1", "broken")
        assert held.avoid_deadline > time.monotonic() + AVOID_S

    def test_an_endpoint_without_room_is_left_out_briefly(
        self, directory: Directory
    ) -> None:
        held = directory.held["p1"]
        for _ in range(5):
            held.avoid_deadline = 0.0
            directory.busy("p1")
        assert held.avoid_deadline <= time.monotonic() + BUSY_S
        assert held.failures == 0
