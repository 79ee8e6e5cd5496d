"""Division of slots among hosts by their demand.

A slot is a unit that one host alone may use, for instance a permit to send a request.
Each host works out by itself which slots are its own, from what the hosts tell each
other anyway, so no message names a slot and no host hands them out.

Slots are drawn by weighted rendezvous hashing, first among data centres and then among
the hosts of one. The weight is the demand. Of two hosts that know each other at most
one owns a slot: each counts itself with the least demand that it reported within the
time in which the others hear of a change, so none counts more than the others know of.

Hosts that do not hear each other each count the other's demand as it was or not at
all. So a slot also has a home, drawn in the same way with a weight that does not depend
on demand, and a slot whose home does not answer is used by nobody: hosts on the two
sides of a network partition have different homes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b
from math import log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Weight of a host without requests. Small, as its slots are rarely used, and above 0,
# so that slots have owners before any demand is known.
IDLE_WEIGHT = 1
# Weight of demand level 1; doubled with each further level.
DEMAND_WEIGHT = 32
# Seconds after which a host that does not answer is no home of slots any more, unless
# its whole data centre does not answer, which may be beyond a network partition.
HOST_TTL_S = 60.0
# Names that no host or data centre has, for hosts that this one does not know.
UNKNOWN = ""


def demand_weight(level: int) -> int:
    """Return the weight of a host with a demand level."""
    return DEMAND_WEIGHT << (level - 1) if level > 0 else IDLE_WEIGHT


@dataclass(slots=True)
class Competitor:
    """A host, or a data centre, among which slots are drawn.

    ``weight`` is that of its demand, ``home_weight`` does not depend on it.
    """

    name: str
    weight: int
    home_weight: int = 1


@dataclass(slots=True)
class _Member:
    """A competitor that was ``seen_at`` a time; ``live`` if it was just now."""

    competitor: Competitor
    seen_at: float
    live: bool = True


@dataclass(slots=True)
class _LeastWeight:
    """Least weight of this host, or of its data centre, within the last seconds."""

    samples: deque[tuple[float, int]] = field(default_factory=deque)

    def add(self, now: float, weight: int, window_s: float) -> int:
        """Add a sample; return the least one that is not older than the window.

        The last sample before the window counts as well: its weight held until the
        next one.
        """
        self.samples.append((now, weight))
        while len(self.samples) > 1 and self.samples[1][0] <= now - window_s:
            self.samples.popleft()
        return min(weight for _, weight in self.samples)


class _Group:
    """Competitors by name, with this host or its data centre as ``own``."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._members: dict[str, _Member] = {}
        self._least = _LeastWeight()
        self._unknown = 0
        self._drawn: list[Competitor] = []

    def update(
        self,
        now: float,
        competitors: Iterable[Competitor],
        unknown: int,
        lag_s: float,
        ttl_s: float,
    ) -> None:
        """Set the competitors that are live, with this one.

        ``unknown`` is the home weight of hosts that are not known by name. Changes are
        known to all hosts after ``lag_s``.
        """
        for member in self._members.values():
            member.live = False
        for competitor in competitors:
            self._members[competitor.name] = _Member(competitor, now)
        self._unknown = unknown
        self._drawn = []
        for name, member in list(self._members.items()):
            silent_s = now - member.seen_at
            if silent_s > ttl_s:
                del self._members[name]
                continue
            # It may not know yet that this host does not hear it.
            if silent_s > lag_s:
                continue
            competitor = member.competitor
            if name == self._own:
                weight = self._least.add(now, competitor.weight, lag_s)
                competitor = Competitor(name, weight)
            self._drawn.append(competitor)

    def owns(self, key: str) -> bool:
        """Return whether a slot is drawn for this one, and its home is live."""
        draws = {}
        best, best_home = float("inf"), float("inf")
        winner, home = None, None
        for name, member in self._members.items():
            draws[name] = draw = _draw(key, name)
            score = draw / member.competitor.home_weight
            if score < best_home:
                best_home, home = score, member
        if self._unknown and _draw(key, UNKNOWN) / self._unknown < best_home:
            return False
        if home is None or not home.live:
            return False
        for competitor in self._drawn:
            score = draws[competitor.name] / competitor.weight
            if score < best:
                best, winner = score, competitor.name
        return winner == self._own


class Shares:
    """Which slots this host owns.

    Parameters
    ----------
    name, data_centre : str
        Names of this host and of its data centre.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self._data_centres = _Group(data_centre)
        self._hosts = _Group(name)
        self._updated_at = float("-inf")
        self._settled_at = float("inf")

    def update(
        self,
        now: float,
        hosts: list[Competitor],
        data_centres: list[Competitor],
        unknown_hosts: int,
        unknown_local_hosts: int,
        lag_s: float,
    ) -> None:
        """Set what this host knows, in each round of messages.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        hosts : list of Competitor
            Live hosts of this data centre, with this host.
        data_centres : list of Competitor
            Data centres that are heard, with this one. Their home weight is the number
            of their hosts.
        unknown_hosts, unknown_local_hosts : int
            Hosts that may run and are not among the known ones, in all data centres
            and in this one.
        lag_s : float
            Seconds after which all hosts know of a change.
        """
        # After a start, and when the process was held up, others may know of changes
        # that this host does not know yet, and use its slots.
        if now - self._updated_at > lag_s:
            self._settled_at = now + lag_s
        self._updated_at = now
        self._hosts.update(now, hosts, unknown_local_hosts, lag_s, HOST_TTL_S)
        # A data centre that is not heard may run on the other side of a partition,
        # for however long.
        self._data_centres.update(now, data_centres, unknown_hosts, lag_s, float("inf"))

    def owns(self, key: str) -> bool:
        """Return whether this host owns a slot; ``key`` is the same at all hosts."""
        if self._updated_at < self._settled_at:
            return False
        return self._data_centres.owns(key) and self._hosts.owns(key)


def _draw(key: str, name: str) -> float:
    """Return a number from an exponential distribution for a slot and a competitor.

    Divided by weights, the least of several numbers belongs to each competitor with a
    probability that is proportional to its weight.
    """
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return -log((int.from_bytes(digest) + 1) / 2**64)


__all__ = [
    "Competitor",
    "Shares",
    "demand_weight",
]
