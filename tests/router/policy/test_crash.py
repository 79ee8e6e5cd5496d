"""When crashes of endpoints show that a prompt segment causes them."""

from __future__ import annotations

import pytest

from hemlockhall_router.membership.message import CrashEvidence
from hemlockhall_router.policy.crash import (
    CRASH_SPACING_MS,
    MIN_REQUESTS,
    MIN_WAITING_REQUESTS,
    EndedAttempt,
    count_ends_in_turn,
    is_fatal,
    select_apart,
)


def evidence(
    count: int, spacing_ms: int, requests: int, *, responded: bool = True
) -> list[CrashEvidence]:
    """Crashes at different endpoints, under so many requests in turns."""
    items = []
    for crash in range(count):
        at_ms = crash * spacing_ms
        items.append(CrashEvidence(1, 2, crash, crash % requests, at_ms, responded))
    return items


class TestFatal:
    def test_crashes_under_different_requests_are(self) -> None:
        assert is_fatal(evidence(MIN_REQUESTS, CRASH_SPACING_MS, MIN_REQUESTS))
        count = MIN_REQUESTS - 1
        assert not is_fatal(evidence(count, CRASH_SPACING_MS, MIN_REQUESTS))

    def test_more_are_needed_of_requests_that_waited(self) -> None:
        for count in (MIN_WAITING_REQUESTS - 1, MIN_WAITING_REQUESTS):
            items = evidence(count, CRASH_SPACING_MS, count, responded=False)
            assert is_fatal(items) == (count == MIN_WAITING_REQUESTS)

    @pytest.mark.parametrize("requests", range(1, MIN_REQUESTS))
    def test_crashes_under_one_repeated_request_are_not(self, requests: int) -> None:
        """Guards against a segment that is blamed as its request is repeated at each
        endpoint that another prompt crashes."""
        assert not is_fatal(evidence(20, CRASH_SPACING_MS, requests))

    def test_crashes_at_one_moment_are_not(self) -> None:
        """Guards against a segment that is blamed as a rack lost its power."""
        assert not is_fatal(evidence(20, 1, 20))

    def test_repeats_of_requests_that_met_one_crash_are_not(self) -> None:
        """Guards against a segment whose requests are sent together, and are repeated
        together at endpoints that crash one after the other."""
        items = []
        for crash in range(10):
            for request in range(5):
                at_ms = crash * 2 * CRASH_SPACING_MS + request
                items.append(CrashEvidence(1, 2, crash, request, at_ms, responded=True))
        assert not is_fatal(items)


class TestEndsInTurn:
    def test_attempts_that_follow_each_other_count_each(self) -> None:
        attempts = [EndedAttempt(at, at + 150) for at in (0, 150, 500)]
        assert count_ends_in_turn(reversed(attempts)) == 3

    def test_attempts_in_flight_together_count_once(self) -> None:
        """Guards against endpoints that end within some seconds, for one cause."""
        attempts = [EndedAttempt(0, at) for at in (1000, 2000, 3000)]
        assert count_ends_in_turn(attempts) == 1

    def test_ends_within_a_moment_count_once(self) -> None:
        """Guards against an attempt that is sent between two ends with one cause."""
        attempts = [EndedAttempt(0, 10), EndedAttempt(11, 12), EndedAttempt(13, 20)]
        assert count_ends_in_turn(attempts) == 1

    def test_one_that_was_in_flight_before_does_not_hide_a_later_end(self) -> None:
        attempts = [EndedAttempt(0, 100), EndedAttempt(0, 300), EndedAttempt(300, 400)]
        assert count_ends_in_turn(attempts) == 2


class TestApart:
    def test_ends_within_a_moment_count_once(self) -> None:
        """Guards against a rack that loses its power and counts as many crashes."""
        assert select_apart({at: EndedAttempt(0, at) for at in (10, 12, 20)}) == [10]

    def test_one_that_was_alive_after_the_other_had_ended_counts(self) -> None:
        """Guards against endpoints that crash at once under a request that is sent on,
        and that count as one."""
        ends = {at: EndedAttempt(at - 50, at) for at in (110, 60, 10)}
        assert select_apart(ends) == [10, 60, 110]

    def test_ends_that_are_apart_count_each(self) -> None:
        ends = {at: EndedAttempt(0, at * CRASH_SPACING_MS) for at in range(4)}
        assert select_apart(ends) == [0, 1, 2, 3]
