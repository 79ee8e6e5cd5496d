"""Which segment explains crashes of endpoints."""

from __future__ import annotations

import pytest

from hemlockhall_router.policy.spectrum import (
    MIN_CRASHED,
    MIN_EXCESS,
    Spectrum,
    excess_at,
    find_cause,
)

# Segments of sound requests that were in flight at most of the same crashes.
ALL = Spectrum(8, 8, 180, 8, 0)
THIRD = Spectrum(7, 7, 60, 8, 120)


def spectrum(crashes: int, attempts: int, others: int = 150) -> Spectrum:
    """Return that of a segment that was in flight at all crashes."""
    return Spectrum(crashes, crashes, attempts, crashes, others)


class TestCause:
    def test_one_under_which_endpoints_crash_each_time_is_found(self) -> None:
        fatal = spectrum(5, 5)
        assert find_cause([ALL, THIRD, fatal]) == fatal

    def test_one_under_which_endpoints_crash_now_and_then_is_found(self) -> None:
        """Guards against a segment that requests which are served clear."""
        fatal = spectrum(8, 27)
        assert find_cause([ALL, THIRD, fatal]) == fatal

    def test_sound_ones_are_not_the_cause(self) -> None:
        """Guards against blame for crashes that nothing of the prompts caused."""
        assert find_cause([ALL, THIRD, Spectrum(2, 2, 20, 8, 160)]) is None

    def test_one_that_was_at_no_other_crash_needs_more_of_them(self) -> None:
        """Guards against a rare segment whose requests met some of many crashes."""
        assert find_cause([ALL, THIRD, Spectrum(3, 3, 9, 10, 170)]) is None

    def test_one_of_two_that_explain_the_same_is_not_found(self) -> None:
        """Guards against blame for requests that are sent again to the same endpoints
        as the fatal ones."""
        assert find_cause([spectrum(8, 9), spectrum(8, 10)]) is None

    @pytest.mark.parametrize("crashed", range(MIN_CRASHED))
    def test_few_requests_are_not_enough(self, crashed: int) -> None:
        """Guards against one request that met all crashes."""
        found = Spectrum(crashed, 8, 8, 8, 1000)
        assert find_cause([found]) is None

    def test_there_is_none_without_crashes(self) -> None:
        assert find_cause([]) is None

    def test_one_that_is_at_the_crashes_by_chance_is_not(self) -> None:
        """Guards against blame for a popular segment when endpoints crash themselves:
        some request at each of them has it."""
        third = Spectrum(9, 9, 86, 9, 194, excess_at(0.3, [8] * 9, []))
        assert third.support > 6
        assert find_cause([third]) is None


class TestExcess:
    def test_it_is_small_at_endpoints_with_many_attempts(self) -> None:
        assert 0 <= excess_at(0.3, [10] * 10, []) < MIN_EXCESS

    def test_it_grows_with_the_crashes_of_endpoints_with_few(self) -> None:
        values = [excess_at(0.1, [3] * crashes, []) for crashes in range(1, 6)]
        assert values == sorted(values)
        assert values[-1] > MIN_EXCESS

    def test_crashes_without_it_reduce_it(self) -> None:
        at_all = excess_at(0.1, [3] * 8, [])
        assert excess_at(0.1, [3] * 6, [3] * 2) < at_all

    def test_a_segment_that_all_requests_have_gets_none(self) -> None:
        assert excess_at(1.0, [3] * 8, []) == 0


class TestSupport:
    def test_a_segment_that_all_requests_have_gets_none(self) -> None:
        assert ALL.support == 0

    def test_it_grows_with_the_crashes(self) -> None:
        values = [spectrum(crashes, 10).support for crashes in range(3, 9)]
        assert values == sorted(values)

    def test_attempts_that_pass_reduce_it(self) -> None:
        assert spectrum(6, 30).support < spectrum(6, 10).support

    def test_one_with_fewer_crashes_than_others_gets_none(self) -> None:
        assert Spectrum(3, 3, 100, 10, 20).support == 0


class TestRelease:
    def test_one_that_never_passed_is_contradicted_by_one_response(self) -> None:
        assert spectrum(6, 6).count_to_release() == 1

    def test_one_that_passed_often_needs_more(self) -> None:
        assert spectrum(3, 10).count_to_release() == 9
