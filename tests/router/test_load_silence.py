"""Load pattern: an endpoint is lost without a word under many streams."""

from __future__ import annotations

import random

import pytest

from hemlockhall_router.policy.silence import EventIntervalEstimator

# Longest silence allowed of a stream, in seconds: a quarter of a pause of 250 ms.
LONGEST_S = 0.0625


def after(intervals: list[float]) -> float:
    """Return the silence that is a surprise after some intervals."""
    interval = EventIntervalEstimator()
    for interval_s in intervals:
        interval.add(interval_s)
    return interval.silence_limit_s(LONGEST_S)


class TestLostEndpoint:
    @pytest.mark.parametrize("seed", range(5))
    def test_steady_streams_are_missed_before_the_longest_silence(
        self, seed: int
    ) -> None:
        """Guards against streams that are late for what is left after the check."""
        rng = random.Random(seed)
        steady = [rng.gauss(0.034, 0.001) for _ in range(30)]
        assert after(steady) < 0.8 * LONGEST_S

    @pytest.mark.parametrize("seed", range(5))
    def test_streams_that_pause_often_are_not_checked_sooner(self, seed: int) -> None:
        """Guards against checks of endpoints that live, which load them more."""
        rng = random.Random(seed)
        uneven = [rng.choice((0.01, 0.06)) for _ in range(30)]
        assert after(uneven) == LONGEST_S

    def test_slow_streams_are_not_missed_between_two_events(self) -> None:
        """Guards against a silence shorter than the usual time between events."""
        assert after([0.08] * 30) == LONGEST_S

    def test_a_new_stream_is_given_the_longest_silence(self) -> None:
        """Guards against a judgement by too few events."""
        assert after([]) == LONGEST_S
        assert after([0.01, 0.01]) == LONGEST_S

    def test_quick_streams_are_given_a_least_silence(self) -> None:
        """Guards against checks for a delay of the host itself."""
        assert after([0.001] * 30) == pytest.approx(0.6 * LONGEST_S)
