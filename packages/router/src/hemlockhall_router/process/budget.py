"""Retry budget that all hosts share."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from math import ceil, inf
from typing import TYPE_CHECKING, Any

from hemlockhall_router.membership.history import (
    Buckets,
    record_of,
    sum_since,
)
from hemlockhall_router.membership.message import RetryUsage, service_key

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.membership.history import RetryHistory
    from hemlockhall_router.membership.message import RetryRecord
    from hemlockhall_router.version.endpoint import Endpoint

# Fraction of the budget that is spent at most, apart from ``STARTUP_FRACTION``. The
# rest covers what ended processes took and did not report.
SAFETY_FACTOR = 0.72
# Number of buckets in the sliding window of requests, and in half of it.
BUCKETS = 40
HALF = BUCKETS // 2
# Fraction of its share that a host reserves while that much is left. The rest may be
# borrowed by hosts that need more.
RESERVED_FRACTION = 0.5
# Fraction of its share that a process may spend in its first window while it does not
# know what was spent before. It accrues with its time, so that processes which follow
# each other do not have more than one that stays.
STARTUP_FRACTION = 0.3
# Time after which all hosts know what a host spent.
USAGE_LAG_S = 1.5
# Fraction of its share by which a host raises its claim within that time at most: those
# that are out of reach do not know of it.
MAX_RAISE_FRACTION = 0.5
# Fraction of what it may still take that a host takes at most without a report: what
# it has not reported is unknown to all when its process ends.
UNREPORTED_FRACTION = 0.1
# Fraction of its share that a host takes without a report in any case, so that reports
# stay few when little is left.
MIN_REPORTED_FRACTION = 0.02
# A retry that is sent, or read, later than this after it was taken counts again then.
MAX_UNSENT_S = 1.0
# An endpoint that was heard so long after a request was sent to it has read it: what
# arrives before may have been sent earlier.
READ_MARGIN_S = 0.1
# Requests that endpoints have not read yet; more are taken for read.
MAX_UNREAD = 4096


@dataclass(slots=True)
class _UnreadSend:
    """A request that was sent more than once, at an endpoint not heard since.

    It may arrive there at any time. Times are monotonic; it counted as a retry at
    ``counted_at``.
    """

    endpoint: Endpoint
    sent_at: float
    counted_at: float


@dataclass(frozen=True, slots=True)
class _Heard:
    """Live hosts, and the sum of the others' claims, and of retries and requests."""

    hosts: int
    claims: int
    taken: int
    requests: int


@dataclass(frozen=True, slots=True)
class _LostClaim:
    """What hosts that are not heard any more may take without the others knowing.

    It is the rest of their share: what they had reserved, and may raise until they
    notice. It counts until ``deadline``, a monotonic time, or until as many ``hosts``
    live again as before.
    """

    hosts: int
    retries: float
    deadline: float


@dataclass(slots=True)
class _Counts:
    """Requests and retries of one service, by bucket.

    Retries are by buckets of the shared clock, requests by those of the window.
    ``totals`` has the requests of all hosts in the window that ended in each bucket of
    the last half window, as far as they were known, and ``known_requests`` the most
    that allowed retries.
    ``reserved`` are those that the others leave to this host, with those it has taken.
    ``raises`` has by how much its claim, the larger one of both, rose lately.
    ``reported`` is the claim in the last report, and ``unreported`` the number of
    retries taken since. ``unread`` are sends that may arrive later. ``heard`` is what
    was known last, and ``lost`` what hosts have left that were heard before.
    """

    requests: Buckets = field(default_factory=dict)
    totals: Buckets = field(default_factory=dict)
    known_requests: Buckets = field(default_factory=dict)
    retries: Buckets = field(default_factory=dict)
    taken: int = 0
    sent: int = 0
    reserved: float = 0.0
    raises: dict[int, float] = field(default_factory=dict)
    reported: int = 0
    unreported: int = 0
    unread: list[_UnreadSend] = field(default_factory=list)
    heard: _Heard = _Heard(0, 0, 0, 0)
    lost: list[_LostClaim] = field(default_factory=list)

    def spent(self) -> int:
        """Return the retries of the window."""
        return sum(self.retries.values())

    def claim(self) -> float:
        """Return what this host has taken, or reserved if that is more."""
        return max(float(self.spent()), self.reserved)

    def left_to_lost(self) -> float:
        """Return the retries that hosts may take which are not heard any more."""
        return sum(claim.retries for claim in self.lost)


@dataclass(frozen=True, slots=True)
class ServiceUsage:
    """What is known of the retries of a service, for logs.

    ``taken`` and ``sent`` count those that this process took from the budget and sent
    since it started. ``spent`` is what it took in the window, ``known`` what all hosts
    are known to have taken or reserved in it, and ``ended`` what processes took in it
    that are not heard any more. ``allowed`` is what all hosts may take in it, for
    ``requests``. ``hosts`` are the live ones, ``share`` is what this one may take of
    ``allowed`` by its share of the requests, ``reserved`` the part of it that the
    others leave to it, and ``unreported`` what it took since its last report. ``lost``
    is what is left to hosts that are not heard any more.
    """

    taken: int
    sent: int
    spent: int
    known: int
    ended: int
    requests: int
    allowed: int
    hosts: int
    share: int
    reserved: int
    unreported: int
    lost: int


class RetryBudget:
    """This host's share of the retry budget, for each service.

    In each window all hosts together may send ``ratio`` retries for each request, and
    ``constant`` more. The requests are those of that window, of the one before it, or
    of the one half a window before it, whichever has most. A retry lies in all windows
    that begin within the last window, and must be allowed in each of them.

    A host's share of ``constant`` is proportional to its share of the requests, which
    changes within a window. What it took, or reserved if that is more, is its claim,
    and a claim rises only by what no host has claimed: ``RESERVED_FRACTION`` of the
    share is reserved as far as that much is left, and the rest may be borrowed by all
    hosts, in proportion to their shares. Other hosts may not know yet of claims that
    rose within the last ``USAGE_LAG_S`` seconds, so these together stay within what is
    known to be left. A host that is the only one knows all.

    What ended processes took counts until it is out of the window. So a process that
    has just started has nothing reserved: its host may have spent its share before. It
    borrows once its history of the window is complete; before that it has what accrues
    of ``STARTUP_FRACTION``.

    Unreachable hosts are left their whole shares, so the total stays within the budget
    during a partition: by their number, and for a window by the requests that they had
    if that is more. What they, or ended processes, took beyond these shares is not
    spent again by the others.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    constant : float
        Retries allowed in addition, for all hosts together.
    window_s : float
        Length of the window in seconds.
    max_hosts : callable
        Returns the largest number of hosts that may exist.
    usage_of_all_hosts : callable
        Returns the number of live hosts, with this one, and the sum of their
        ``usage`` for each service; ``retries`` includes the latest of this host.
    history : RetryHistory
        What all processes took, also those that ended.
    report : callable
        Reports the ``usage`` and the ``records`` of this host at once.
    clock : callable
        Returns the time in seconds.
    heard_at : callable
        Returns when an endpoint last gave a sign of life, infinity once it has ended.
    """

    def __init__(
        self,
        ratio: float,
        constant: float,
        window_s: float,
        max_hosts: Callable[[], int],
        usage_of_all_hosts: Callable[[], tuple[int, list[RetryUsage]]],
        history: RetryHistory,
        report: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
        heard_at: Callable[[Endpoint], float] = lambda endpoint: inf,
    ) -> None:
        self.ratio = ratio
        self.constant = constant
        self._max_hosts = max_hosts
        self._usage_of_all_hosts = usage_of_all_hosts
        self._history = history
        self._report = report
        self._clock = clock
        self._heard_at = heard_at
        self._started_at = clock()
        self._services: dict[str, _Counts] = {}
        self.window_s = window_s

    @property
    def window_s(self) -> float:
        """Length of the window in seconds."""
        return self._history.window_s

    @window_s.setter
    def window_s(self, window_s: float) -> None:
        self._history.window_s = window_s

    def assume_first(self) -> None:
        """Take this process for one that no other went before."""
        self._started_at = float("-inf")
        self._history.assume_known()

    def record_request(self, service: str) -> None:
        """Count a request of a caller to a service."""
        _add(self._counts(service).requests, self._bucket(), 1)

    def try_acquire(self, service: str, reserve: float = 0.0) -> bool:
        """Take one retry from the budget; return False if none is left.

        Parameters
        ----------
        service : str
            The service of the request.
        reserve : float
            Fraction of this host's share of which more must stay unspent. 0 leaves
            nothing, and allows to borrow beyond the share.
        """
        counts = self._counts(service)
        self._update_lost(service)
        share = self._share(service)
        self._update_reserved(service, share)
        spent = counts.spent()
        if reserve and share - (spent + 1) <= reserve * share:
            return False
        rise = max(0.0, spent + 1 - counts.claim())
        headroom = self._left(service, share) - self._recent_raises(counts)
        if rise:
            if rise > headroom or not self._history.complete:
                return False
            self._record_raise(counts, rise)
        _add(counts.retries, self._history.bucket(), 1)
        counts.taken += 1
        counts.unreported += 1
        may_take = counts.claim() - counts.spent() + max(0.0, headroom - rise)
        bound = max(UNREPORTED_FRACTION * may_take, MIN_REPORTED_FRACTION * share)
        if counts.unreported > bound:
            self._report()
        return True

    def record_sent(
        self,
        service: str,
        taken_at: float,
        sends: Iterable[tuple[Endpoint, float]] = (),
    ) -> ServiceUsage:
        """Count a retry that is sent to an endpoint; return what is known of them.

        Parameters
        ----------
        service : str
            The service of the request.
        taken_at : float
            Monotonic time in seconds at which the retry was taken.
        sends : iterable of tuple
            The endpoints that the request was sent to and when, so far as they were not
            passed before. Each but the first to read it counts as a retry.
        """
        counts = self._counts(service)
        counts.sent += 1
        if self._clock() - taken_at > MAX_UNSENT_S:
            _add(counts.retries, self._history.bucket(), 1)
        for endpoint, sent_at in sends:
            if len(counts.unread) < MAX_UNREAD:
                counts.unread.append(_UnreadSend(endpoint, sent_at, taken_at))
        hosts, total = self._usage_of_all(service)
        spent = sum(counts.retries.values())
        requests = self._allowed_requests(service)
        share = self._share(service)
        return ServiceUsage(
            counts.taken,
            counts.sent,
            spent,
            total.retries,
            self._ended(total),
            requests,
            int(SAFETY_FACTOR * (self.ratio * requests + self.constant)),
            hosts,
            int(share),
            int(counts.reserved),
            counts.unreported,
            int(counts.left_to_lost()),
        )

    def usage(self) -> list[RetryUsage]:
        """Return the usage that this host reports to the others, for each service.

        ``retries`` is the number spent in the window, or reserved if that is more.
        """
        found = []
        for service in self._services:
            counts = self._counts(service)
            self._count_unread(counts)
            self._update_lost(service)
            self._update_reserved(service, self._share(service))
            counts.reported, counts.unreported = round(counts.claim()), 0
            requests = sum(counts.requests.values())
            known, bucket = counts.known_requests, self._bucket()
            counts.totals[bucket] = self._total_requests(service)
            allowed = self._allowed_requests(service)
            known[bucket] = max(known.get(bucket, 0), allowed)
            found.append(
                RetryUsage(
                    service_key(service),
                    requests,
                    counts.reported,
                    counts.spent(),
                    self._recent(counts),
                )
            )
        return found

    def records(self) -> list[RetryRecord]:
        """Return the retries that this process took in the window, by time."""
        found = []
        for service in self._services:
            retries = self._counts(service).retries
            if retries:
                found.append(record_of(service_key(service), retries))
        return found

    def _count_unread(self, counts: _Counts) -> None:
        """Count requests again that endpoints have read late, or may read still."""
        if not counts.unread:
            return
        now, bucket = self._clock(), self._history.bucket()
        waiting = []
        for send in counts.unread:
            read = self._heard_at(send.endpoint) > send.sent_at + READ_MARGIN_S
            counts_for_s = MAX_UNSENT_S if read else self.window_s
            if now - send.counted_at > counts_for_s:
                _add(counts.retries, bucket, 1)
                send.counted_at = now
            if not read:
                waiting.append(send)
        counts.unread = waiting

    def _update_lost(self, service: str) -> None:
        """Leave hosts that are not heard any more the rest of their share."""
        counts, now = self._counts(service), self._clock()
        hosts, total = self._usage_of_all(service)
        claims = max(0, total.retries - counts.reported)
        before = counts.heard
        counts.heard = _Heard(hosts, claims, total.taken, total.requests)
        kept = []
        for lost in counts.lost:
            if now < lost.deadline and hosts < lost.hosts:
                kept.append(lost)
        counts.lost = kept
        if hosts >= before.hosts:
            return
        # What they took and reported is known from the history.
        taken = max(0, before.taken - total.taken)
        reserved = max(0, before.claims - claims - taken)
        requests = max(0, before.requests - total.requests)
        part = requests / max(1, before.requests)
        share = SAFETY_FACTOR * (self.ratio * requests + self.constant * part)
        retries = reserved + MAX_RAISE_FRACTION * share
        kept.append(_LostClaim(before.hosts, retries, now + self.window_s))

    def _update_reserved(self, service: str, share: float) -> None:
        """Reserve a part of this host's share, as far as that much is left."""
        counts = self._counts(service)
        wanted = self._wanted(share)
        claim, left = counts.claim(), self._left(service, share)
        if left < 0.0:
            # More is claimed than all hosts may take.
            counts.reserved = max(0.0, min(wanted, claim + left))
            return
        rise = min(wanted - claim, left - self._recent_raises(counts))
        if rise <= 0.0:
            counts.reserved = min(wanted, claim)
            return
        counts.reserved = claim + rise
        self._record_raise(counts, rise)

    def _wanted(self, share: float) -> float:
        """Return the retries that this host reserves if they are left."""
        age_s = min(self._clock() - self._started_at, self.window_s)
        if not self._history.complete and (age_s < self.window_s or not self._alone()):
            known_s = min(self._history.covered_ms / 1000, age_s)
            return share * STARTUP_FRACTION * known_s / self.window_s
        if age_s < self.window_s:
            return 0.0
        return share * RESERVED_FRACTION

    def _alone(self) -> bool:
        """Return whether no other host can have taken retries."""
        return self._max_hosts() == 1

    def _record_raise(self, counts: _Counts, amount: float) -> None:
        bucket = self._bucket()
        counts.raises[bucket] = counts.raises.get(bucket, 0.0) + amount

    def _share(self, service: str) -> float:
        """Return this host's share of the budget, by its share of the requests."""
        requests = sum(self._counts(service).requests.values())
        total = self._total_requests(service)
        live_hosts, _ = self._usage_of_all(service)
        fraction = (requests + 1) / (total + live_hosts)
        fraction *= live_hosts / max(live_hosts, self._max_hosts())
        allowed = 0.0
        if total:
            allowed = self._allowed_requests(service) * requests / total
        return SAFETY_FACTOR * (self.ratio * allowed + self.constant * fraction)

    def _left(self, service: str, share: float) -> float:
        """Return this host's share of what no host has claimed, without recent raises.

        It is negative if the hosts have claimed more than they may take.
        """
        live_hosts, total = self._usage_of_all(service)
        counts = self._counts(service)
        requests = self._allowed_requests(service)
        fraction = live_hosts / max(live_hosts, self._max_hosts())
        budget = SAFETY_FACTOR * (self.ratio * requests + self.constant * fraction)
        if not budget:
            return 0.0
        raised = self._recent_raises(counts)
        others = max(0, total.retries - counts.reported)
        missing = max(counts.known_requests.values(), default=0) - requests
        left_out = self.ratio * max(0, missing) + self.constant * (1 - fraction)
        lost = self._ended(total) + counts.left_to_lost()
        overdraft = lost - SAFETY_FACTOR * left_out
        left = budget - others - (counts.claim() - raised) - max(0.0, overdraft)
        left *= share / budget
        return left if self._alone() else min(left, MAX_RAISE_FRACTION * share)

    def _recent_raises(self, counts: _Counts) -> float:
        """Return by how much this host raised its claim without all others knowing."""
        return 0.0 if self._alone() else sum(counts.raises.values())

    def _total_requests(self, service: str) -> int:
        """Return the requests of all hosts in the last window."""
        _, total = self._usage_of_all(service)
        # The total may not include this host's latest counts yet.
        return max(total.requests, sum(self._counts(service).requests.values()))

    def _allowed_requests(self, service: str) -> int:
        """Return requests of which each window with this moment has as many.

        If such a window began up to half a window ago, the one before it ended within
        that time, and the one half a window before it has all requests of the last
        half. If it began earlier, the one half a window before it ended within that
        time, and it has all requests of the last half itself.
        """
        total = self._total_requests(service)
        counts = self._counts(service)
        _, usage = self._usage_of_all(service)
        recent = max(usage.recent, self._recent(counts))
        return max(min([total, *counts.totals.values()]), min(total, recent))

    def _recent(self, counts: _Counts) -> int:
        """Return this host's requests of the last half of a window."""
        return sum_since(counts.requests, self._bucket() - HALF + 1)

    def _ended(self, total: RetryUsage) -> int:
        """Return the retries in the window of processes that are not heard any more."""
        return max(0, self._history.taken(total.service) - total.taken)

    def _usage_of_all(self, service: str) -> tuple[int, RetryUsage]:
        """Return the number of live hosts and the sum of their usage."""
        live_hosts, usages = self._usage_of_all_hosts()
        key = service_key(service)
        for usage in usages:
            if usage.service == key:
                return max(1, live_hosts), usage
        return max(1, live_hosts), RetryUsage(key, 0, 0)

    def _counts(self, service: str) -> _Counts:
        bucket = self._bucket()
        counts = self._services.get(service)
        if counts is None:
            # Nothing is known of the time before.
            counts = self._services[service] = _Counts(totals={bucket: 0})
        _drop_before(counts.requests, bucket - BUCKETS)
        _drop_before(counts.totals, bucket - HALF)
        _drop_before(counts.known_requests, bucket - HALF)
        _drop_before(counts.retries, self._history.oldest_bucket())
        lag = ceil(USAGE_LAG_S * BUCKETS / self.window_s)
        _drop_before(counts.raises, bucket - lag)
        return counts

    def _bucket(self) -> int:
        return int(self._clock() / self.window_s * BUCKETS)


def _add(buckets: Buckets, bucket: int, count: int) -> None:
    buckets[bucket] = buckets.get(bucket, 0) + count


def _drop_before(buckets: dict[int, Any], oldest: int) -> None:
    for bucket in list(buckets):
        if bucket < oldest:
            del buckets[bucket]


__all__ = [
    "RetryBudget",
    "ServiceUsage",
]
