"""How long requests took lately."""

from __future__ import annotations

from hemlockhall_router.process.duration import PERIOD_S, Durations


class TestDurations:
    def test_the_longest_of_late_is_known(self) -> None:
        now = 0.0
        durations = Durations(lambda: now)
        assert durations.longest("read") is None
        durations.record("read", 2.0, 0.5)
        durations.record("read", 1.0, 0.5)
        durations.record("book", 0.1, 0.5)
        assert durations.longest("read") == 4.0
        assert durations.mean("read") == 3.0
        assert durations.mean("draft") is None
        now = PERIOD_S + 1
        assert durations.longest("read") == 4.0
        durations.record("read", 0.5, 0.5)
        assert durations.longest("read") == 4.0

    def test_one_is_forgotten(self) -> None:
        """Guards against a route that is refused for ever for one slow request."""
        now = 0.0
        durations = Durations(lambda: now)
        durations.record("read", 2.0, 0.5)
        now = 2 * PERIOD_S + 1
        assert durations.longest("read") is None
        durations.record("read", 0.5, 0.5)
        assert durations.longest("read") == 1.0
