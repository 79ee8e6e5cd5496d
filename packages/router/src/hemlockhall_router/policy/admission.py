"""Control law of admission: which fraction of a service's requests hosts admit."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from heapq import nlargest
from math import exp, inf, sqrt
from typing import TYPE_CHECKING

from hemlockhall_router.policy.allocation import allocate, fair_fractions

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hemlockhall_router.process.setting import AdmissionSection

# Time between two updates of the control law.
UPDATE_INTERVAL_S = 0.25
# Fraction of it after which an update counts as a regular one: the fill and the limit
# change by a step with each of these.
REGULAR_FRACTION = 0.8
# Time between two updates at least, and the standard deviations by which arrivals since
# the last one must exceed those expected to bring the next one forward. At five times
# the capacity, hosts admit twice the limit in one interval.
MIN_UPDATE_INTERVAL_S = 0.05
EARLY_DEVIATIONS = 3.0
MIN_EARLY_ARRIVALS = 4
# Time in which the cost in flight is to approach its target. The figures of other hosts
# are up to 0.75 s old; a shorter time would make the control oscillate.
RESPONSE_TIME_S = 1.0
# Time constant of a rate whose mean age is that of a count over the last second.
RATE_TIME_CONSTANT_S = 0.5
# Time constant of the rates of arrivals and completions. With a longer one, hosts admit
# for longer after a jump what does not fit. It is the same for both: their difference
# tells how the cost in flight changes.
FLOW_TIME_CONSTANT_S = 0.25
# Fraction of the limit that may be in flight: at the start, its bounds, and its growth
# with each update. A limit in tokens is an estimate of memory that requests use in
# part, so endpoints that reject nothing are filled beyond it. A limit in requests
# follows from the objective, which is missed beyond it.
INITIAL_FILL = 0.9
MIN_FILL = 0.4
MAX_FILL = 0.95
MAX_TOKEN_FILL = 1.2
FILL_GROWTH = 0.02
# Fraction of rejected requests above which the fill shrinks, and by how much at most.
# Some endpoints are full before the others, as hosts know their loads late, and a
# rejection costs less than room that nobody uses.
TOLERATED_REJECTIONS = 0.08
MAX_FILL_CUT = 0.2
# Time between two cuts. The rejections that led to one are still counted meanwhile.
FILL_CUT_INTERVAL_S = 1.0
# Least capacity, as a fraction of what endpoints complete. What is in flight beyond the
# limit ends soon enough then, and the most urgent requests are not refused for it.
MIN_CAPACITY_FRACTION = 0.7
# Time for which room stays short after the last update that found it short.
SHORT_HOLD_S = 1.0
# Time for which the last limit is used while no endpoint is usable: the busy ones are
# in backoff, and are usable again before it ends.
LIMIT_HOLD_S = 1.0
# Fraction of a fall of the limit that takes effect with each update. Endpoints in
# backoff are left out of it, and those that reject requests would make it jump.
LIMIT_FALL_WEIGHT = 0.5
# Standard deviations by which the rate of arrivals must exceed the capacity before room
# is short, and for it to stay so. With few requests a second, chance alone exceeds it.
PRESSED_DEVIATIONS = 2.0
STAY_DEVIATIONS = 1.0
# Standard deviations by which endpoints must complete more than follows from their
# service times for it to count.
RATE_DEVIATIONS = 2.0
# Factor on the fraction of returning callers.
RETURNING_FACTOR = 2.0
# A caller that states less than this fraction of the longest time that callers of its
# route stated is a returning one.
RETURNING_TIME_FRACTION = 0.95
# Callers that state a shorter time are compared with those of the last two periods.
STATED_TIME_PERIOD_S = 5.0
# Weight of the newest arrival in the share of returning callers.
RETURNING_SHARE_WEIGHT = 1 / 16
# Number of customers that are treated one by one in each priority.
NAMED_CUSTOMERS = 8
# Standard deviations by which what hosts admit must differ from what is completed to
# change what is in flight. With few requests a second, chance alone would change it.
CHANGE_DEVIATIONS = 3.0
# Updates that are remembered. They reach back further than figures are used, also if
# each is brought forward.
MAX_HISTORY = 64
# Time between the averaging of the other hosts' figures and their arrival.
FIGURES_DELAY_S = 0.25
# Standard deviations of the number of arrivals that do not count as growth, the least
# number of arrivals that is expected, and the bound of the growth. With two deviations,
# 28 hosts that see a few requests a second each notice a jump too late.
GROWTH_DEVIATIONS = 1.0
MIN_EXPECTED_ARRIVALS = 0.5
MAX_GROWTH = 50.0


@dataclass(slots=True, frozen=True)
class Decision:
    """Whether a request is admitted, else when the caller should come back."""

    admitted: bool
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Rate:
    """Amount per second, as an exponentially weighted moving average."""

    time_constant_s: float = RATE_TIME_CONSTANT_S
    level: float = 0.0
    at: float = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount that arrived now."""
        self.level = self.read(now) + amount / self.time_constant_s
        self.at = now

    def read(self, now: float) -> float:
        """Return the amount per second."""
        if not self.level:
            return 0.0
        return self.level * exp((self.at - now) / self.time_constant_s)


@dataclass(slots=True)
class ServiceFigures:
    """Sums for one service over ``hosts`` hosts.

    ``completed`` and ``offered``, which is keyed by priority, are cost per second,
    ``sent`` and ``rejected`` requests per second.
    """

    hosts: int = 1
    in_flight: float = 0.0
    completed: float = 0.0
    sent: float = 0.0
    rejected: float = 0.0
    offered: dict[int, float] = field(default_factory=dict)


def combine(own: ServiceFigures, peers: ServiceFigures) -> ServiceFigures:
    """Return the sums over this host and the other hosts; ``peers`` omits this one."""
    offered = dict(own.offered)
    for priority, amount in peers.offered.items():
        offered[priority] = offered.get(priority, 0.0) + amount
    return ServiceFigures(
        own.hosts + peers.hosts,
        own.in_flight + peers.in_flight,
        own.completed + peers.completed,
        own.sent + peers.sent,
        own.rejected + peers.rejected,
        offered,
    )


class ArrivalGrowth:
    """Growth of the arrivals at this host since the time of the other hosts' figures.

    This host knows its own arrivals at once and the others' late, and callers reach
    all hosts alike: what has certainly grown here has grown elsewhere. Arrivals up to
    the mean of the others are no growth: this host may just have started.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, dict[int, float]]] = deque(maxlen=MAX_HISTORY)

    def update(
        self,
        now: float,
        arrivals: dict[int, float],
        peers_mean: Mapping[int, float],
        elapsed_s: float,
    ) -> dict[int, float]:
        """Return the factors on the arrivals of each priority, 1 at least.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        arrivals : dict
            This host's arrivals per second by priority, averaged with
            ``FLOW_TIME_CONSTANT_S``.
        peers_mean : Mapping
            Mean of the other hosts' arrivals per second, by priority.
        elapsed_s : float
            Time since that of the other hosts' figures.
        """
        self._samples.append((now, arrivals))
        figures_at = now - elapsed_s
        while len(self._samples) > 1 and self._samples[1][0] <= figures_at:
            self._samples.popleft()
        earlier = self._samples[0][1]
        growth = {}
        for priority, rate in arrivals.items():
            count = rate * FLOW_TIME_CONSTANT_S
            certain = count - GROWTH_DEVIATIONS * sqrt(count)
            before = max(earlier.get(priority, 0.0), peers_mean.get(priority, 0.0))
            expected = before * FLOW_TIME_CONSTANT_S
            factor = certain / max(MIN_EXPECTED_ARRIVALS, expected)
            growth[priority] = min(MAX_GROWTH, max(1.0, factor))
        return growth


class EarlyUpdate:
    """Tells when arrivals since the last update are far more than expected."""

    def __init__(self) -> None:
        self._arrivals = 0
        self._threshold = inf
        self._not_before = -inf

    def updated(self, now: float, rate: float) -> None:
        """Record an update, with the arrivals per second that it assumed."""
        expected = rate * UPDATE_INTERVAL_S
        deviations = EARLY_DEVIATIONS * sqrt(expected)
        self._threshold = expected + deviations + MIN_EARLY_ARRIVALS
        self._arrivals = 0
        self._not_before = now + MIN_UPDATE_INTERVAL_S

    def is_due(self, now: float) -> bool:
        """Count an arrival; return whether to update now."""
        self._arrivals += 1
        return self._arrivals >= self._threshold and now >= self._not_before


def extrapolate(
    peers: ServiceFigures,
    growth: Mapping[int, float],
    fractions: Mapping[int, float],
    elapsed_s: float,
    local_fraction: float = 1.0,
    rate: float | None = None,
) -> ServiceFigures:
    """Return the other hosts' figures as they may be now, ``elapsed_s`` later.

    What they are offered has grown by ``growth`` at the ``local_fraction`` of them that
    is in this data centre: callers reach the hosts of theirs. In that time they have
    admitted ``fractions`` of it on average, by priority, and endpoints have completed
    as much as before, or up to ``rate`` of what was admitted, if that is known.
    """
    offered = {}
    admitted = 0.0
    for priority, amount in peers.offered.items():
        factor = 1.0 + local_fraction * (growth.get(priority, 1.0) - 1.0)
        offered[priority] = amount * factor
        admitted += offered[priority] * fractions.get(priority, 1.0)
    if peers.sent > 0:
        admitted *= max(0.0, 1.0 - peers.rejected / peers.sent)
    completed = peers.completed
    if rate is not None:
        completed = max(completed, min(admitted, rate))
    elif completed > 0:
        # Requests that have been completed meanwhile are not in flight any more.
        elapsed_s = min(elapsed_s, peers.in_flight / completed)
    # The two rates differ by chance as well, which is no change.
    chance = CHANGE_DEVIATIONS * sqrt(2) * _noise(peers.sent) * peers.completed
    change = (admitted - completed) * elapsed_s
    if abs(change) <= chance * elapsed_s:
        change = 0.0
    return replace(peers, in_flight=max(0.0, peers.in_flight + change), offered=offered)


def name_customers(
    own: Mapping[int, float], listed: Mapping[int, float], factor: float
) -> dict[int, float]:
    """Return the demands of the largest customers of a priority over all hosts.

    Parameters
    ----------
    own : Mapping
        Demand of each customer at this host.
    listed : Mapping
        Demand at the other hosts of the customers that they name. If there are none,
        those of this host stand for all.
    factor : float
        What all hosts are offered in this priority, divided by what this one is.
    """
    if listed:
        return {key: own.get(key, 0.0) + amount for key, amount in listed.items()}
    largest = nlargest(NAMED_CUSTOMERS, own.items(), key=lambda item: item[1])
    return {key: amount * factor for key, amount in largest}


class ServiceAdmission:
    """Admitted fractions of the requests to one service, the same at all hosts.

    ``limit`` is the cost that may be in flight from the known hosts, ``capacity`` the
    cost that may be admitted per second. ``short`` tells whether more is asked for than
    there is room; otherwise every request is admitted. ``fractions`` are by priority.
    """

    def __init__(self) -> None:
        self.limit = self.in_flight = self.capacity = 0.0
        self.fill = INITIAL_FILL
        self.short = False
        self.fractions: dict[int, float] = {}
        self._history: deque[tuple[float, dict[int, float]]] = deque(maxlen=MAX_HISTORY)
        self._total_limit = 0.0
        self._next_update_at = -inf
        self._next_cut_at = -inf
        self._limit_deadline = -inf
        self._short_deadline = -inf
        self._customers: dict[int, dict[int, float]] = {}
        self._others: dict[int, float] = {}

    def update(
        self,
        now: float,
        limit: float,
        figures: ServiceFigures,
        max_hosts: int,
        cfg: AdmissionSection,
        rate: float | None = None,
    ) -> None:
        """Compute the fractions from the figures of all known hosts.

        Called every ``UPDATE_INTERVAL_S``, and before that when arrivals jump.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        limit : float
            Cost that may be in flight at all endpoints together.
        figures : ServiceFigures
            Sums over this host and those of which it has figures.
        max_hosts : int
            Largest number of hosts that may be running. Hosts without figures may use
            the endpoints as well, so their part of the limit is left to them.
        cfg : AdmissionSection
            The settings.
        rate : float, optional
            Cost per second that all endpoints together complete while they are busy.
            Without it, what they do complete counts.
        """
        if now >= self._next_update_at:
            self._next_update_at = now + UPDATE_INTERVAL_S * REGULAR_FRACTION
            self._update_limit(now, limit)
            most = MAX_TOKEN_FILL if rate is None else MAX_FILL
            self._update_fill(now, figures, most)
        known_fraction = min(1.0, figures.hosts / max(1, max_hosts))
        self.limit = self._total_limit * known_fraction
        self.in_flight = figures.in_flight
        free = self.fill * self.limit - self.in_flight
        completed = figures.completed
        if rate is not None:
            # What is completed follows a jump late, and is low while few are admitted.
            least = min(1.0, self.fill) * rate * known_fraction
            if completed * (1 - RATE_DEVIATIONS * _noise(figures.sent)) < least:
                completed = least
        self.capacity = max(
            completed + free / RESPONSE_TIME_S, completed * MIN_CAPACITY_FRACTION
        )
        if self._is_pressed(figures, completed, cfg):
            self._short_deadline = now + SHORT_HOLD_S
        # Without a usable endpoint there is no room to divide, and relays wait for one.
        self.short = self.limit > 0 and now < self._short_deadline
        self._customers, self._others = {}, {}
        self.fractions = {}
        if self.short:
            self.fractions = allocate(self.capacity, figures.offered, cfg.floor)
        self._history.append((now, self.fractions))

    def divide(
        self, priority: int, demand: float, named: Mapping[int, float], other_count: int
    ) -> None:
        """Divide what a priority may use among its customers; called while short.

        ``demand`` is that of the priority, ``named`` those of its largest customers,
        and ``other_count`` the number of the others.
        """
        fraction = self.fraction_of(priority)
        if not named or fraction >= 1:
            return
        total = sum(named.values())
        # Both are estimates, and the named customers may seem to ask for more than all.
        capacity = fraction * max(demand, total)
        others = max(0.0, demand - total)
        self._customers[priority], self._others[priority] = fair_fractions(
            capacity, named, others, other_count
        )

    def mean_fractions(self, now: float, elapsed_s: float) -> dict[int, float]:
        """Return the mean fractions of the last ``elapsed_s`` seconds by priority."""
        start = now - elapsed_s
        while len(self._history) > 1 and self._history[1][0] <= start:
            self._history.popleft()
        sums: dict[int, float] = {}
        if not self._history:
            return sums
        ends = [at for at, _ in self._history][1:] + [now]
        for (at, fractions), end in zip(self._history, ends, strict=True):
            weight = (end - max(at, start)) / elapsed_s
            for priority, fraction in fractions.items():
                sums[priority] = sums.get(priority, 0.0) + weight * (1.0 - fraction)
        return {priority: 1.0 - refused for priority, refused in sums.items()}

    def fraction(self, priority: int, customer: int) -> float:
        """Return the admitted fraction of a customer's requests of a priority."""
        if not self.short:
            return 1.0
        customers = self._customers.get(priority)
        if customers is None:
            return self.fraction_of(priority)
        return customers.get(customer, self._others[priority])

    def fraction_of(self, priority: int) -> float:
        """Return the fraction of a priority, or of the next one that has demand.

        Less urgent ones are preferred, so that the order is never inverted.
        """
        fraction = self.fractions.get(priority)
        if fraction is not None:
            return fraction
        less_urgent = [known for known in self.fractions if known > priority]
        if less_urgent:
            return self.fractions[min(less_urgent)]
        return self.fractions[max(self.fractions)] if self.fractions else 1.0

    def _update_limit(self, now: float, limit: float) -> None:
        if limit > 0:
            self._limit_deadline = now + LIMIT_HOLD_S
            fall = self._total_limit - limit
            self._total_limit = limit + max(0.0, fall * (1 - LIMIT_FALL_WEIGHT))
        elif now >= self._limit_deadline:
            self._total_limit = 0.0

    def _is_pressed(
        self, figures: ServiceFigures, completed: float, cfg: AdmissionSection
    ) -> bool:
        """Return whether room is short by the figures of this update.

        Once it is, what is in flight does not matter: it falls because requests are
        refused, and admitting all would begin the next burst. ``pressure`` is relative
        to the fill, which may be below it while endpoints reject requests.
        """
        deviations = STAY_DEVIATIONS if self.short else PRESSED_DEVIATIONS
        offered = sum(figures.offered.values())
        offered *= max(0.0, 1 - deviations * _noise(figures.sent))
        if self.short or offered <= self.capacity:
            return offered > self.capacity
        threshold = cfg.pressure * min(1.0, self.fill / INITIAL_FILL) * self.limit
        if figures.sent > 0:
            # The number in flight varies by chance as well.
            threshold += sqrt(figures.completed / figures.sent * self.limit)
        # What will be in flight at the next update.
        in_flight = self.in_flight + (offered - completed) * UPDATE_INTERVAL_S
        return in_flight >= min(threshold, self.fill * self.limit)

    def _update_fill(self, now: float, figures: ServiceFigures, most: float) -> None:
        rejected = figures.rejected / figures.sent if figures.sent > 0 else 0.0
        if rejected <= TOLERATED_REJECTIONS:
            self.fill = min(most, self.fill + FILL_GROWTH)
            return
        if now < self._next_cut_at:
            return
        self._next_cut_at = now + FILL_CUT_INTERVAL_S
        cut = min(MAX_FILL_CUT, rejected)
        self.fill = max(MIN_FILL, self.fill * (1 - cut))


def _noise(rate: float) -> float:
    """Return the relative standard deviation of an observed rate of events."""
    return sqrt(1 / (2 * FLOW_TIME_CONSTANT_S * rate)) if rate > 0 else 0.0


def arrival_fraction(
    fraction: float, returning_share: float, *, returning: bool
) -> float:
    """Return the fraction for one arrival.

    That of returning callers is ``RETURNING_FACTOR`` times the others', up to 1, and
    the others' is so much lower that ``fraction`` of all are admitted.
    """
    if fraction >= 1:
        return 1.0
    others = fraction / (1 + (RETURNING_FACTOR - 1) * returning_share)
    if others * RETURNING_FACTOR > 1:
        others = (fraction - returning_share) / (1 - returning_share)
    return min(1.0, others * RETURNING_FACTOR) if returning else others


@dataclass(slots=True)
class Credit:
    """Credit of a customer's requests of one priority at this host.

    Its initial value should be random between 0 and 1: of a customer that sends each
    host few requests, all hosts would otherwise refuse the first ones.
    """

    value: float
    returning_share: float = 0.0

    def admit(self, fraction: float, *, returning: bool) -> bool:
        """Return whether an arrival is admitted, given the fraction that is."""
        share = self.returning_share
        self.returning_share += RETURNING_SHARE_WEIGHT * (returning - share)
        if fraction >= 1:
            return True
        self.value += arrival_fraction(fraction, share, returning=returning)
        if self.value < 1:
            return False
        self.value -= 1
        return True


@dataclass(slots=True)
class StatedTime:
    """Longest time that callers of a route stated within the last two periods."""

    longest_s: float = 0.0
    previous_s: float = 0.0
    deadline: float = -inf

    def is_returning(self, now: float, stated_s: float) -> bool:
        """Record the time that a caller states; return whether it is returning."""
        if now >= self.deadline:
            recent = now < self.deadline + STATED_TIME_PERIOD_S
            self.previous_s = self.longest_s if recent else 0.0
            self.longest_s = 0.0
            self.deadline = now + STATED_TIME_PERIOD_S
        self.longest_s = max(self.longest_s, stated_s)
        longest_s = max(self.longest_s, self.previous_s)
        return stated_s < RETURNING_TIME_FRACTION * longest_s


__all__ = [
    "FLOW_TIME_CONSTANT_S",
    "FIGURES_DELAY_S",
    "NAMED_CUSTOMERS",
    "UPDATE_INTERVAL_S",
    "ArrivalGrowth",
    "EarlyUpdate",
    "Credit",
    "Decision",
    "Rate",
    "ServiceAdmission",
    "ServiceFigures",
    "StatedTime",
    "arrival_fraction",
    "combine",
    "extrapolate",
    "name_customers",
]
