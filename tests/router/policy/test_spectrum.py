"""Which segment explains crashes of endpoints."""

from __future__ import annotations

import pytest

from hemlockhall_router.policy.spectrum import Spectrum

# Attempts without the segment, in calm apart from its crashes.
CALM = {"others_crashed": 8, "others_passed": 150}


class TestBlamed:
    def test_one_under_which_endpoints_crash_each_time_is(self) -> None:
        assert Spectrum(5, 0, **CALM).blamed

    def test_one_under_which_endpoints_crash_now_and_then_is(self) -> None:
        found = Spectrum(9, 20, 12, 150, broken=10, covered=9, crashes=9)
        assert found.blamed

    def test_one_that_all_requests_have_is_not(self) -> None:
        found = Spectrum(9, 150, 0, 0, broken=40, covered=9, crashes=9)
        assert not found.blamed

    def test_one_that_is_in_flight_at_each_crash_and_passes_is_not(self) -> None:
        """Guards against sound segments that many requests have, blamed for those that
        are at the same endpoints."""
        found = Spectrum(9, 60, 20, 110, broken=18, covered=9, crashes=9)
        assert not found.blamed

    def test_one_that_met_crashes_as_often_as_others_is_not(self) -> None:
        found = Spectrum(5, 5, 60, 70, broken=5, covered=5, crashes=20)
        assert not found.blamed

    def test_none_is_while_nothing_else_passes(self) -> None:
        """Guards against blame for an outage."""
        assert not Spectrum(9, 0, 9, 0).blamed


class TestChance:
    @pytest.mark.parametrize("crashed", range(3, 8))
    def test_more_crashes_are_less_likely(self, crashed: int) -> None:
        fewer = Spectrum(crashed, 4, **CALM).chance
        assert 0 < Spectrum(crashed + 1, 4, **CALM).chance < fewer <= 1

    def test_broken_attempts_that_fall_on_all_crashes_are_less_likely(self) -> None:
        some = Spectrum(6, 0, **CALM, broken=6, covered=6, crashes=12)
        assert (
            Spectrum(6, 0, **CALM, broken=6, covered=6, crashes=6).chance < some.chance
        )

    def test_large_counts_are_no_error(self) -> None:
        Spectrum(500, 9000, 3000, 90_000, 900, 64, 64).chance  # noqa: B018


class TestRelease:
    def test_one_that_never_passed_is_contradicted_by_one_response(self) -> None:
        assert Spectrum(6, 0).count_to_release() == 1

    def test_one_that_passed_often_needs_more(self) -> None:
        assert Spectrum(3, 7).count_to_release() == 9
