"""Which segment of prompts explains crashes of endpoints, from all attempts.

Spectrum-based fault localization: of each attempt it is known which segments its prompt
had, and whether its endpoint crashed under it. An attempt that broke off beside others
says little, as a crash ends all that are at the endpoint.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from functools import cached_property

# Requests with crashes at different moments below which no segment is blamed.
MIN_CRASHED = 3
# How much better than chance a segment must explain the crashes, for each segment that
# is compared, and how much better than any other segment, as a logarithm.
MIN_FACTOR = 100
MIN_LEAD = math.log(10)
# How much better than chance a segment must be at the crashes, as a logarithm: of many
# attempts at an endpoint that crashes, one is likely to have a segment that is popular.
MIN_EXCESS = math.log(1)
# Steps of the integral over the fraction of crashes that a segment causes.
STEPS = 32
# Probability below which whole responses in a row contradict a blamed segment.
MAX_RELEASE_CHANCE = 0.05


@dataclass(frozen=True)
class Spectrum:
    """What speaks for and against one segment, in a window.

    It was in flight at ``covered`` of all ``crashes`` of the service, and endpoints
    crashed under ``crashed`` different requests with it. ``attempts`` counts those with
    it, ``other_attempts`` those without. ``excess`` is how much better than chance it
    is at the crashes, as in ``excess_at``.
    """

    crashed: int = 0
    covered: int = 0
    attempts: int = 0
    crashes: int = 0
    other_attempts: int = 0
    excess: float = field(default=math.inf, compare=False)

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


def excess_at(
    share: float, at_covered: Iterable[int], at_uncovered: Iterable[int]
) -> float:
    """Return how much better than chance a segment is at crashes, as a logarithm.

    It is that of the Bayes factor for a segment that causes some of the crashes, at any
    fraction, against one that is at an endpoint by chance.

    Parameters
    ----------
    share : float
        The fraction of all attempts that have the segment.
    at_covered, at_uncovered : iterable of int
        How many attempts were at the endpoint at each crash at which the segment was,
        and was not.
    """
    covered = [1 - (1 - share) ** count for count in at_covered]
    uncovered = sum(1 for _ in at_uncovered)
    total = 0.0
    for step in range(STEPS):
        caused = (step + 0.5) / STEPS
        factor = (1 - caused) ** uncovered
        for chance in covered:
            factor *= caused / chance + 1 - caused
        total += factor
    return math.log(total / STEPS)


def find_cause(spectra: Collection[Spectrum]) -> Spectrum | None:
    """Return the one of the segments that explains the crashes, or None.

    The best explanation counts only if it is much better than any other: requests that
    are sent again together meet the same crashes.

    Parameters
    ----------
    spectra : collection of Spectrum
        Those of all segments; such that were in the same requests have one together.
    """
    compared = [item for item in spectra if item.excess >= MIN_EXCESS]
    ranked = sorted(compared, key=lambda item: item.support, reverse=True)
    if not ranked or ranked[0].crashed < MIN_CRASHED:
        return None
    runner_up = ranked[1].support if len(ranked) > 1 else 0.0
    best = ranked[0].support
    if best < math.log(MIN_FACTOR * len(spectra)) or best - runner_up < MIN_LEAD:
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
    "excess_at",
    "find_cause",
]
