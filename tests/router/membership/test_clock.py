"""The clock on which hosts agree."""

from __future__ import annotations

from hemlockhall_router.membership.clock import SharedClock


class TestSharedClock:
    def test_a_host_that_is_behind_adopts_the_time(self) -> None:
        clock = SharedClock(lambda: 5.0, 100.0)
        clock.adopt(130_500)
        assert clock.now() == 130.5

    def test_a_time_in_the_past_changes_nothing(self) -> None:
        """Guards against a clock that steps back, so that slots begin a second time."""
        clock = SharedClock(lambda: 5.0, 100.0)
        clock.adopt(99_000)
        assert clock.now_ms() == 100_000

    def test_it_advances_with_the_monotonic_clock(self) -> None:
        times = iter((5.0, 6.5))
        clock = SharedClock(lambda: next(times), 100.0)
        assert clock.now() == 101.5
