"""Schedules of permits."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_router.policy.permit import MAX_RATE, PermitSchedule
from hemlockhall_router.process.setting import LimitsSection

CFG = LimitsSection()
# In any window of 4 s an endpoint may get one and a half times what its limit allows,
# and 5 requests more.
WINDOW_S = 4.0


class TestSchedule:
    @given(st.floats(0.0, 5000.0))
    def test_permits_of_all_slots_are_those_of_the_limit(self, limit: float) -> None:
        schedule = PermitSchedule.of(limit, CFG)
        assert schedule.rate == pytest.approx(max(limit, CFG.min_rate))

    @given(st.floats(0.0, 5000.0), st.floats(0.0, 1e6))
    def test_a_burst_of_unused_permits_stays_within_the_bound(
        self, limit: float, at: float
    ) -> None:
        """Guards against permits that hosts collect while there are no callers, and
        then use together."""
        schedule = PermitSchedule.of(limit, CFG)
        slots = schedule.slots_between(at - schedule.validity_s, at + WINDOW_S)
        bound = 1.5 * WINDOW_S * limit + 5
        assert len(slots) * schedule.permits <= bound + 1e-6

    @given(st.floats(0.0, 100.0), st.lists(st.floats(0.0, 3.0), max_size=20))
    def test_each_slot_starts_in_one_of_several_spans(
        self, limit: float, steps_s: list[float]
    ) -> None:
        schedule = PermitSchedule.of(limit, CFG)
        time_s = 1_700_000_000.0
        found: list[int] = []
        for step_s in steps_s:
            found += schedule.slots_between(time_s, time_s + step_s)
            time_s += step_s
        assert found == list(schedule.slots_between(1_700_000_000.0, time_s))

    def test_a_limit_beyond_all_need_has_few_permits(self) -> None:
        """Guards against an endpoint that fills the memory of a host with permits."""
        schedule = PermitSchedule.of(1e12, CFG)
        assert schedule.rate == MAX_RATE
        assert schedule.rate * schedule.validity_s < 20_000
