"""Which segment of prompts explains crashes of endpoints, from all attempts.

Spectrum-based fault localization: of each attempt it is known which segments its prompt
had, and whether its endpoint crashed under it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Requests with crashes at different moments below which no segment is blamed.
MIN_CRASHED = 3
# Highest probability of the crashes under a segment, if it were not their cause, with
# which it is blamed. Dozens of segments are compared.
MAX_CHANCE = 3e-4
# Probability below which completed attempts in a row contradict a blamed segment.
MAX_RELEASE_CHANCE = 0.05
# Terms of a sum that are smaller than the largest one by this factor are left out.
NEGLIGIBLE = 1e-12
# Crashes that are compared.
MAX_CRASHES = 64


@dataclass(frozen=True, slots=True)
class Spectrum:
    """Attempts with one segment, those without it, and the crashes of a window.

    Under ``crashed`` requests with it an endpoint crashed, and ``passed`` attempts ran;
    ``others_crashed`` and ``others_passed`` are those without it. Of ``crashes``,
    ``covered`` ones ended ``broken`` attempts with it.
    """

    crashed: int = 0
    passed: int = 0
    others_crashed: int = 0
    others_passed: int = 0
    broken: int = 0
    covered: int = 0
    crashes: int = 0

    @property
    def chance(self) -> float:
        """The probability of the like, or more, if the segment is sound.

        Two independent observations: endpoints crash under attempts with it as under
        the others, and its broken attempts fall on crashes as they come.
        """
        product = self._crash_chance() * self._cover_chance()
        if product <= 0.0:
            return 0.0
        # The distribution of the product of two probabilities.
        return min(1.0, product * (1.0 - math.log(product)))

    @property
    def blamed(self) -> bool:
        """Whether the segment crashes endpoints, also if not each time."""
        if self.crashed < MIN_CRASHED or not self.others_passed:
            return False
        return self.chance <= MAX_CHANCE

    def count_to_release(self) -> int:
        """Return how many completed attempts in a row contradict that it is fatal."""
        rate = self.crashed / (self.crashed + self.passed)
        if rate >= 1.0 - MAX_RELEASE_CHANCE:
            return 1
        return math.ceil(math.log(MAX_RELEASE_CHANCE) / math.log(1.0 - rate))

    def _crash_chance(self) -> float:
        """Return the probability of as many crashed attempts as these, or more.

        The fraction of the others under which endpoints crash is not known exactly, so
        this is the upper tail of a beta-binomial distribution, with Jeffreys prior.
        """
        alpha, beta = self.others_crashed + 0.5, self.others_passed + 0.5
        total = self.crashed + self.passed
        if self.crashed * (alpha + beta) <= total * alpha:
            return 1.0
        term = largest = math.exp(
            _log_beta(self.crashed + alpha, self.passed + beta)
            - _log_beta(alpha, beta)
            + math.lgamma(total + 1)
            - math.lgamma(self.crashed + 1)
            - math.lgamma(self.passed + 1)
        )
        found = 0.0
        for crashed in range(self.crashed, total + 1):
            found += term
            largest = max(largest, term)
            left = total - crashed
            if term < largest * NEGLIGIBLE or left == 0:
                break
            term *= left * (crashed + alpha) / ((crashed + 1) * (left - 1 + beta))
        return min(1.0, found)

    def _cover_chance(self) -> float:
        """Return the probability that broken attempts fall on as many crashes.

        A segment that most requests have is in flight at each crash, with many
        attempts; the cause of the crashes is too, with few.
        """
        crashes = min(self.crashes, MAX_CRASHES)
        broken = max(self.broken, self.covered)
        if crashes < 2 or self.covered > crashes or broken > 2 * crashes:
            return 1.0
        # By how many crashes are covered.
        chances = [1.0] + [0.0] * crashes
        for _ in range(broken):
            for covered in range(crashes, -1, -1):
                stays = chances[covered] * covered / crashes
                before = chances[covered - 1] if covered else 0.0
                chances[covered] = stays + before * (crashes - covered + 1) / crashes
        return min(1.0, sum(chances[self.covered :]))


def _log_beta(alpha: float, beta: float) -> float:
    return math.lgamma(alpha) + math.lgamma(beta) - math.lgamma(alpha + beta)


__all__ = [
    "MIN_CRASHED",
    "Spectrum",
]
