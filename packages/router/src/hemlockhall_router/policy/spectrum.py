"""Which segment of prompts explains crashes of endpoints, from all attempts.

Spectrum-based fault localization: of each attempt it is known which segments its prompt
had, and whether its endpoint crashed under it. An attempt that broke off beside others
says little, as a crash ends all that are at the endpoint.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from functools import cached_property

# Requests with crashes at different moments below which no segment is blamed.
MIN_CRASHED = 3
# How much better than chance a segment must explain the crashes, for each segment that
# is compared, and how much better than any other segment, as a logarithm.
MIN_FACTOR = 100
MIN_LEAD = math.log(10)
# Probability below which whole responses in a row contradict a blamed segment.
MAX_RELEASE_CHANCE = 0.05


@dataclass(frozen=True)
class Spectrum:
    """What speaks for and against one segment, in a window.

    It was in flight at ``covered`` of all ``crashes`` of the service, and endpoints
    crashed under ``crashed`` different requests with it. ``attempts`` counts those with
    it, ``other_attempts`` those without.
    """

    crashed: int = 0
    covered: int = 0
    attempts: int = 0
    crashes: int = 0
    other_attempts: int = 0

    @cached_property
    def support(self) -> float:
        """The logarithm of the Bayes factor for the segment as the cause.

        One attempt causes each crash, and all others that are at the endpoint take no
        part. Either those with the segment cause crashes at a rate of their own, and
        those without it at another, or all do at one rate. Each rate is unknown, so it
        is integrated over. A segment that all requests have gets 0.
        """
        uncovered = self.crashes - self.covered
        if self.covered * self.other_attempts <= uncovered * self.attempts:
            # It causes crashes less often than the others do.
            return 0.0
        apart = _log_likelihood(self.covered, self.attempts)
        apart += _log_likelihood(uncovered, self.other_attempts)
        attempts = self.attempts + self.other_attempts
        return apart - _log_likelihood(self.crashes, attempts)

    def count_to_release(self) -> int:
        """Return how many whole responses in a row contradict that it is fatal."""
        passed = max(0, self.attempts - self.covered)
        if passed <= MAX_RELEASE_CHANCE * self.attempts:
            return 1
        rate = passed / self.attempts
        return math.ceil(math.log(MAX_RELEASE_CHANCE) / math.log(rate))


def find_cause(spectra: Collection[Spectrum]) -> Spectrum | None:
    """Return the one of the segments that explains the crashes, or None.

    The best explanation counts only if it is much better than any other: requests that
    are sent again together meet the same crashes.

    Parameters
    ----------
    spectra : collection of Spectrum
        Those of all segments; such that were in the same requests have one together.
    """
    ranked = sorted(spectra, key=lambda item: item.support, reverse=True)
    if not ranked or ranked[0].crashed < MIN_CRASHED:
        return None
    runner_up = ranked[1].support if len(ranked) > 1 else 0.0
    best = ranked[0].support
    if best < math.log(MIN_FACTOR * len(ranked)) or best - runner_up < MIN_LEAD:
        return None
    return ranked[0]


def _log_likelihood(crashed: int, attempts: int) -> float:
    """Return the logarithm of the probability of crashes, for a rate unknown."""
    passed = max(0, attempts - crashed)
    return (
        math.lgamma(crashed + 1)
        + math.lgamma(passed + 1)
        - math.lgamma(crashed + passed + 2)
    )


__all__ = [
    "MIN_CRASHED",
    "MIN_LEAD",
    "Spectrum",
    "find_cause",
]
