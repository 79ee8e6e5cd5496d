"""Silence limits when an endpoint with many streams is lost and sends no error."""

from __future__ import annotations

import random

import pytest

from hemlockhall_router.policy.silence import EventIntervalEstimator

# Maximum silence limit of a stream: a quarter of a maximum event gap of 250 ms.
MAX_LIMIT_S = 0.0625


def limit_after(intervals: list[float]) -> float:
    """Return the silence limit after some intervals between events."""
    estimator = EventIntervalEstimator()
    for interval_s in intervals:
        estimator.add(interval_s)
    return estimator.silence_limit_s(MAX_LIMIT_S)


class TestLostEndpoint:
    @pytest.mark.parametrize("seed", range(5))
    def test_the_silence_of_steady_streams_is_noticed_early(self, seed: int) -> None:
        """Guards against streams that are late because they are moved too late."""
        rng = random.Random(seed)
        intervals = [rng.gauss(0.034, 0.001) for _ in range(30)]
        assert limit_after(intervals) < 0.8 * MAX_LIMIT_S

    @pytest.mark.parametrize("seed", range(5))
    def test_uneven_streams_are_not_probed_early(self, seed: int) -> None:
        """Guards against probes of live endpoints, which add to their load."""
        rng = random.Random(seed)
        intervals = [rng.choice((0.01, 0.06)) for _ in range(30)]
        assert limit_after(intervals) == MAX_LIMIT_S

    def test_slow_streams_are_not_probed_between_two_events(self) -> None:
        """Guards against a limit shorter than the usual time between events."""
        assert limit_after([0.08] * 30) == MAX_LIMIT_S

    def test_a_new_stream_is_not_probed_early(self) -> None:
        """Guards against an estimate from too few events."""
        assert limit_after([]) == MAX_LIMIT_S
        assert limit_after([0.01, 0.01]) == MAX_LIMIT_S

    def test_the_limit_of_quick_streams_has_a_lower_bound(self) -> None:
        """Guards against probes for a delay of the host itself."""
        assert limit_after([0.001] * 30) == pytest.approx(0.6 * MAX_LIMIT_S)
