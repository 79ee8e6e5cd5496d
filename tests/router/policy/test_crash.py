"""When crashes of endpoints show that a prompt segment causes them."""

from __future__ import annotations

import pytest

from hemlockhall_router.membership.message import CrashEvidence
from hemlockhall_router.policy.crash import (
    CRASH_SPACING_MS,
    MIN_REQUESTS,
    MIN_WAITING_REQUESTS,
    is_fatal,
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
