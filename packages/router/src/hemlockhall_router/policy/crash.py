"""Whether crashes of endpoints show what causes them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from hemlockhall_router.membership.message import CrashEvidence

# Different requests with a segment, under each of which an endpoint crashed at another
# time, from which the segment is found to cause it: if endpoints had begun to respond
# to them, and if they had not. Requests that wait are many more than those.
MIN_REQUESTS = 3
MIN_WAITING_REQUESTS = 5
# Endpoints that crash within this time count as one crash: a rack, or a data centre,
# may have lost its power.
CRASH_SPACING_MS = 100
# Requests without a segment, under each of which an endpoint crashed at another time,
# that show that it takes no part in the crashes: one may have met another's crash.
MIN_REQUESTS_WITHOUT = 2
# Endpoints that may end under one request, and one after the other under all requests
# with the same content.
MAX_REQUEST_CRASHES = 3


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that ended with its endpoint, with shared times in milliseconds.

    The endpoint was known to be alive at ``alive_ms``: when the request was sent, or
    before if it fell silent.
    """

    alive_ms: int
    ended_ms: int


def is_fatal(evidence: Iterable[CrashEvidence]) -> bool:
    """Return whether a segment crashes endpoints.

    Only the first crash under each request counts. A request that waits at an endpoint
    which crashes for another reason is repeated, and may meet further crashes.

    Parameters
    ----------
    evidence : iterable of CrashEvidence
        Crashes under requests with the segment, none of which an endpoint served since
        the first of them.
    """
    first = _first_crashes(evidence)
    responded = [item.at_ms for item in first if item.responded]
    if count_spaced(responded) >= MIN_REQUESTS:
        return True
    return count_spaced([item.at_ms for item in first]) >= MIN_WAITING_REQUESTS


def needs_companion(companion: int, evidence: Collection[CrashEvidence]) -> bool:
    """Return whether a segment may only crash endpoints together with another one.

    That is so until endpoints crashed under enough requests that have the segment and
    not the companion. Crashes under requests with both explain themselves.

    Parameters
    ----------
    companion : int
        The key of the other segment.
    evidence : collection of CrashEvidence
        Crashes under requests with the segment.
    """
    explained = {item.crash for item in evidence if companion in item.prompt}
    others = [item for item in evidence if item.crash not in explained]
    times_ms = [item.at_ms for item in _first_crashes(others)]
    return count_spaced(times_ms) < MIN_REQUESTS_WITHOUT


def is_fatal_request(attempts: Iterable[EndedAttempt]) -> bool:
    """Return whether one content ends endpoints, from all attempts that ended so."""
    return count_ends_in_turn(attempts) >= MAX_REQUEST_CRASHES


def count_ends_in_turn(attempts: Iterable[EndedAttempt]) -> int:
    """Return how many endpoints ended under attempts that followed each other.

    Attempts that were in flight at the same time count once, whatever ended, as do
    endpoints that may have fallen silent at the same time, and ends
    within ``CRASH_SPACING_MS`` too: connections break a little later than endpoints
    end, and an attempt may be sent in between.
    """
    count, last_ms = 0, float("-inf")
    for attempt in sorted(attempts, key=lambda item: item.ended_ms):
        if attempt.alive_ms < last_ms or attempt.ended_ms - last_ms < CRASH_SPACING_MS:
            continue
        count, last_ms = count + 1, attempt.ended_ms
    return count


def select_apart(ends: Mapping[int, EndedAttempt]) -> list[int]:
    """Return the keys of ends, one of those that may have ended together.

    Two within ``CRASH_SPACING_MS`` may have, unless the later one is known to have been
    alive when the earlier one had ended.
    """
    found, last_ms = [], float("-inf")
    for key, end in sorted(ends.items(), key=lambda item: item[1].ended_ms):
        if end.alive_ms < last_ms and end.ended_ms - last_ms < CRASH_SPACING_MS:
            continue
        found.append(key)
        last_ms = end.ended_ms
    return found


def _first_crashes(evidence: Iterable[CrashEvidence]) -> list[CrashEvidence]:
    """Return the first crash under each request."""
    first: dict[int, CrashEvidence] = {}
    for item in evidence:
        known = first.get(item.request)
        if known is None or item.at_ms < known.at_ms:
            first[item.request] = item
    return list(first.values())


def count_spaced(times_ms: list[int]) -> int:
    """Return how many of the times are ``CRASH_SPACING_MS`` apart."""
    count, last_ms = 0, float("-inf")
    for time_ms in sorted(times_ms):
        if time_ms - last_ms < CRASH_SPACING_MS:
            continue
        count, last_ms = count + 1, time_ms
    return count


__all__ = [
    "CRASH_SPACING_MS",
    "MAX_REQUEST_CRASHES",
    "MIN_REQUESTS",
    "MIN_REQUESTS_WITHOUT",
    "MIN_WAITING_REQUESTS",
    "EndedAttempt",
    "count_ends_in_turn",
    "count_spaced",
    "is_fatal",
    "is_fatal_request",
    "needs_companion",
    "select_apart",
]
