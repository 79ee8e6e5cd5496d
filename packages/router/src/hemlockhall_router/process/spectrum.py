"""Attempts, and crashes of endpoints under them, by segments of prompts."""

from __future__ import annotations

import secrets
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field, replace
from heapq import nsmallest
from itertools import zip_longest

from hemlockhall_router.membership.message import SegmentRuns
from hemlockhall_router.policy.crash import EndedAttempt, select_apart
from hemlockhall_router.policy.spectrum import (
    MIN_LEAD,
    Spectrum,
    excess_at,
    find_cause,
)

# Attempts are counted in buckets of this length on the shared clock.
BUCKET_MS = 10_000
# Windows in which a segment is compared with the others, in buckets with the present
# one. In the short one a segment that has become fatal shows though it was sound.
WINDOWS = (2, 12)
# Attempts that ran in this time before the first crash at a service are counted, too,
# and so many are kept for it.
LEAD_IN_MS = 3000
MAX_RECENT = 4096
# Segments whose attempts are counted: those under which endpoints crashed, and others.
MAX_SUSPECTS = 1024
MAX_SOUND = 4096
# Counts of hosts and buckets that are kept of a segment, and crashes of each.
MAX_COUNTS = 128
MAX_COUNT_CRASHES = 16
# Counts of all attempts of hosts that are kept of a service.
MAX_TOTALS = 8192
MAX_SERVICE_CRASHES = 128
# Longest time before its crash for which it matters that an endpoint was alive.
MAX_WAITED_MS = 60_000
# Requests, and crashes under them, that are known not to be counted again.
MAX_SEEN = 8192
# Counts that are new to this host are passed on for this time, and so many go in one
# message, with so many crashes.
NEWS_MS = 3000
MAX_SENT = 8
MAX_CRASHES_SENT = 48
# A segment under which as many endpoints crashed is told as often as the worst.
TELLING_CRASHES = 8
# Segments that are judged: those under which endpoints crashed within this time.
JUDGED_MS = 5000
# Time for which a segment must be the best explanation: other hosts tell their counts.
CAUSE_WAIT_MS = 400
MAX_JUDGED = 128


@dataclass(frozen=True, slots=True)
class _Run:
    """An attempt that got events for some time, before any crash at its service."""

    at_ms: int
    service: int
    segments: tuple[int, ...]


@dataclass(slots=True)
class _Count:
    """Attempts with one segment that one host sent in one bucket.

    ``attempts`` are those that got events for some time or ended with a crash. Under
    ``crashed`` requests one crashed for the first time. ``crashes`` has all crashes
    under them, by their keys. No figure ever shrinks: the larger one is the newer.

    It was ``learned_ms`` that the figures are worth telling, last with
    ``told_attempts``, and they were ``sent`` so often since.
    """

    attempts: int = 0
    crashed: int = 0
    crashes: dict[int, EndedAttempt] = field(default_factory=dict)
    learned_ms: int = 0
    sent: int = 0
    told_attempts: int = 0


@dataclass(slots=True)
class _Segment:
    """Counts of attempts with a segment, by host and bucket."""

    service: int
    counts: dict[tuple[int, int], _Count] = field(default_factory=dict)
    last_crash_ms: int = 0

    def count(self, host: int, bucket: int) -> _Count:
        """Return the count of a host, which may be empty."""
        found = self.counts.get((host, bucket))
        if found is None:
            found = self.counts[host, bucket] = _Count()
            while len(self.counts) > MAX_COUNTS:
                del self.counts[min(self.counts, key=lambda name: name[1])]
        return found

    def since(self, bucket: int) -> Iterator[_Count]:
        """Yield the counts of all hosts from a bucket on."""
        for (_, at), item in self.counts.items():
            if at >= bucket:
                yield item

    def crashes(self, bucket: int) -> dict[int, EndedAttempt]:
        """Return the crashes of endpoints under its attempts, by their keys."""
        found: dict[int, EndedAttempt] = {}
        for item in self.since(bucket):
            found |= item.crashes
        return found


@dataclass(slots=True)
class _Service:
    """All attempts at a service from ``counted_from_ms`` on, and all crashes.

    ``attempts`` has their number by host and bucket, ``sums`` that of all hosts by
    bucket, and ``crashes`` the crashes by their keys. ``at_crashes`` has how many
    attempts of each host were at the endpoint.
    """

    counted_from_ms: int
    attempts: dict[tuple[int, int], int] = field(default_factory=dict)
    sums: Counter[int] = field(default_factory=Counter)
    crashes: OrderedDict[int, EndedAttempt] = field(default_factory=OrderedDict)
    at_crashes: dict[int, Counter[int]] = field(default_factory=dict)

    def set_attempts(self, host: int, bucket: int, attempts: int) -> None:
        """Set the number of attempts of a host; it never shrinks."""
        known = self.attempts.get((host, bucket), 0)
        self.attempts[host, bucket] = max(attempts, known)
        self.sums[bucket] += max(0, attempts - known)
        if len(self.attempts) > MAX_TOTALS:
            self.forget(min(self.sums) + 1)

    def add_attempt(self, host: int, bucket: int) -> None:
        """Count an attempt of a host."""
        self.set_attempts(host, bucket, self.attempts.get((host, bucket), 0) + 1)

    def add_crash(self, crash: int, end: EndedAttempt) -> None:
        """Add a crash, or what an attempt at the same endpoint shows of it."""
        _add_end(self.crashes, crash, end)
        self.at_crashes.setdefault(crash, Counter())
        while len(self.crashes) > MAX_SERVICE_CRASHES:
            oldest, _ = self.crashes.popitem(last=False)
            del self.at_crashes[oldest]

    def set_at_crash(self, crash: int, host: int, attempts: int) -> None:
        """Set how many attempts of a host a crash broke off; it never shrinks."""
        counts = self.at_crashes.get(crash)
        if counts is not None:
            counts[host] = max(attempts, counts[host])

    def at_crash(self, crash: int) -> int:
        """Return how many attempts were at the endpoint at a crash, 1 at least."""
        return max(1, self.at_crashes[crash].total())

    def attempts_since(self, bucket: int) -> int:
        """Return the number of attempts of all hosts from a bucket on."""
        return sum(count for at, count in self.sums.items() if at >= bucket)

    def forget(self, before_bucket: int) -> None:
        """Forget the attempts before a bucket."""
        for name in list(self.attempts):
            if name[1] < before_bucket:
                del self.attempts[name]
        for bucket in list(self.sums):
            if bucket < before_bucket:
                del self.sums[bucket]


class CrashSpectra:
    """Counts for and against each segment, which hosts tell each other.

    Nothing is counted until shortly before the first crash at a service: a segment that
    is first asked for during the crashes would be compared with others that were asked
    for in calm. Counts of all hosts are kept apart, so that one that comes twice, or
    late, changes nothing, and each comes with the number of all attempts of its host.

    Parameters
    ----------
    now_ms : callable
        Returns the shared time in milliseconds.
    """

    def __init__(self, now_ms: Callable[[], int]) -> None:
        self._now_ms = now_ms
        self._host = secrets.randbits(32)
        # Services at which an endpoint has crashed.
        self._services: dict[int, _Service] = {}
        # The latest attempts at services without a crash.
        self._recent: deque[_Run] = deque(maxlen=MAX_RECENT)
        # Crashes under attempts of this host.
        self._own_crashes: OrderedDict[int, None] = OrderedDict()
        self._changed = False
        # Since when segments explain the crashes.
        self._causes: dict[int, tuple[int, Spectrum]] = {}
        self._suspects: OrderedDict[int, _Segment] = OrderedDict()
        self._sound: OrderedDict[int, _Segment] = OrderedDict()
        self._seen: OrderedDict[tuple[int, int], None] = OrderedDict()
        self._seen_requests: OrderedDict[int, None] = OrderedDict()

    def record_run(self, service: int, segments: Iterable[int]) -> None:
        """Record an attempt that got events for some time, or was completed."""
        if service in self._services:
            self._count_run(service, segments)
            return
        self._recent.append(_Run(self._now_ms(), service, tuple(segments)))

    def _count_run(self, service: int, segments: Iterable[int]) -> None:
        bucket = self._now_ms() // BUCKET_MS
        self._services[service].add_attempt(self._host, bucket)
        for key in segments:
            count = self._segment(key, service).count(self._host, bucket)
            count.attempts += 1
            if count.attempts >= 2 * count.told_attempts:
                self._renew(count)

    def record_crash(
        self,
        service: int,
        segments: Collection[int],
        request: int,
        crash: int,
        at_ms: int,
        *,
        answered_ms: int | None = None,
        ran_ms: int | None = None,
    ) -> None:
        """Record an endpoint that crashed under an attempt.

        Parameters
        ----------
        service : int
            The key of the service.
        segments : collection of int
            The segments of the prompt.
        request, crash : int
            The keys of the request's content and of the endpoint's end. Attempts of one
            content are likely to meet several ends, whatever their cause, so only the
            first one is compared with those of others.
        at_ms : int
            The shared time of the crash.
        answered_ms : int, optional
            When the attempt was sent, a shared time, if the endpoint had begun to
            respond to it, so that it was alive then.
        ran_ms : int, optional
            When ``record_run`` was called for the attempt, a shared time.
        """
        if (crash, request) in self._seen:
            return
        _remember(self._seen, (crash, request))
        known = self._begin(service)
        counted = ran_ms is not None and ran_ms >= known.counted_from_ms
        first = request not in self._seen_requests
        _remember(self._seen_requests, request)
        bucket = self._now_ms() // BUCKET_MS
        if not counted and crash not in self._own_crashes:
            known.add_attempt(self._host, bucket)
        _remember(self._own_crashes, crash)
        alive_ms = at_ms - MAX_WAITED_MS if answered_ms is None else answered_ms
        end = EndedAttempt(alive_ms, at_ms)
        known.add_crash(crash, end)
        at_crash = known.at_crashes[crash][self._host] + 1
        known.set_at_crash(crash, self._host, at_crash)
        self._changed = True
        for key in segments:
            item = self._suspect(key, service)
            item.last_crash_ms = max(item.last_crash_ms, at_ms)
            count = item.count(self._host, bucket)
            if not counted and crash not in count.crashes:
                # Of those that waited for the first event only one may be the cause.
                count.attempts += 1
            count.crashed += first
            if crash in count.crashes or len(count.crashes) < MAX_COUNT_CRASHES:
                _add_end(count.crashes, crash, end)
            self._renew(count)

    def _begin(self, service: int) -> _Service:
        """Return the counts of a service; they begin with its first crash."""
        known = self._services.get(service)
        if known is not None:
            return known
        now_ms = self._now_ms()
        known = self._services[service] = _Service(now_ms - LEAD_IN_MS)
        known.set_attempts(self._host, now_ms // BUCKET_MS, 0)
        for run in self._recent:
            if run.service == service and run.at_ms >= known.counted_from_ms:
                self._count_run(service, run.segments)
        return known

    def _renew(self, count: _Count) -> None:
        """Let a count be told anew."""
        count.told_attempts = count.attempts
        count.learned_ms = self._now_ms()
        count.sent = 0

    def _segment(self, key: int, service: int) -> _Segment:
        item = self._suspects.get(key)
        if item is not None:
            self._suspects.move_to_end(key)
            return item
        item = self._sound.setdefault(key, _Segment(service))
        self._sound.move_to_end(key)
        while len(self._sound) > MAX_SOUND:
            self._sound.popitem(last=False)
        return item

    def _suspect(self, key: int, service: int) -> _Segment:
        """Return a segment under which an endpoint crashed."""
        item = self._suspects.get(key)
        if item is None:
            item = self._sound.pop(key, None) or _Segment(service)
            self._suspects[key] = item
        self._suspects.move_to_end(key)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return item

    def spectrum(self, key: int, explained: Collection[int] = ()) -> Spectrum:
        """Return what speaks for and against a segment, in its most telling window.

        Crashes that are ``explained`` by another segment are left out.
        """
        item = self._suspects.get(key)
        if item is None or item.service not in self._services:
            return Spectrum()
        now_bucket = self._now_ms() // BUCKET_MS
        windows = [now_bucket - buckets + 1 for buckets in WINDOWS]
        spectra = [self._spectrum_since(item, at, explained) for at in windows]
        return max(spectra, key=lambda found: found.support)

    def _spectrum_since(
        self, item: _Segment, bucket: int, explained: Collection[int]
    ) -> Spectrum:
        attempts = crashed = 0
        for count in item.since(bucket):
            attempts += count.attempts
            crashed += count.crashed
        service = self._services[item.service]
        started_ms = bucket * BUCKET_MS
        all_crashes = {}
        for crash, end in service.crashes.items():
            if end.ended_ms >= started_ms and crash not in explained:
                all_crashes[crash] = end
        known = item.crashes(0)
        covered = select_apart(
            {crash: end for crash, end in all_crashes.items() if crash in known}
        )
        uncovered = select_apart(
            {crash: end for crash, end in all_crashes.items() if crash not in known}
        )
        all_attempts = max(1, attempts, service.attempts_since(bucket))
        found = Spectrum(
            min(crashed, len(covered)),
            len(covered),
            attempts,
            len(covered) + len(uncovered),
            all_attempts - attempts,
        )
        if found.support < MIN_LEAD:
            return found
        share = max(1, attempts) / all_attempts
        at_covered = map(service.at_crash, covered)
        at_uncovered = map(service.at_crash, uncovered)
        return replace(found, excess=excess_at(share, at_covered, at_uncovered))

    def find_causes(self, known: Collection[int]) -> dict[int, Spectrum]:
        """Return the segments that explain the crashes, of those under which one was.

        Several are returned if they were at the same crashes and in as many attempts.
        Crashes under ``known`` segments are explained by them. What other hosts count
        comes a little later, so a segment must explain the crashes for a while.
        """
        now_ms = self._now_ms()
        if self._changed:
            self._changed = False
            causes = self._best_explanations(known, now_ms)
            for key in self._causes.keys() - causes.keys():
                del self._causes[key]
            for key, found in causes.items():
                since_ms, _ = self._causes.get(key, (now_ms, found))
                self._causes[key] = (since_ms, found)
        causes = {}
        for key, (since_ms, found) in list(self._causes.items()):
            if now_ms - since_ms >= CAUSE_WAIT_MS:
                causes[key] = found
                del self._causes[key]
        return causes

    def _best_explanations(
        self, known: Collection[int], now_ms: int
    ) -> dict[int, Spectrum]:
        explained: set[int] = set()
        for key in known:
            explained |= self.crashes(key).keys()
        spectra: dict[int, dict[tuple[Spectrum, frozenset[int]], list[int]]] = {}
        for key in list(reversed(self._suspects))[:MAX_JUDGED]:
            item = self._suspects[key]
            if key in known or now_ms - item.last_crash_ms > JUDGED_MS:
                continue
            found = self.spectrum(key, explained)
            alike = (found, frozenset(item.crashes(0)))
            groups = spectra.setdefault(item.service, {})
            groups.setdefault(alike, []).append(key)
        causes = {}
        for groups in spectra.values():
            best = find_cause([found for found, _ in groups])
            for (found, _), keys in groups.items():
                if found is best:
                    causes.update(dict.fromkeys(keys, found))
        return causes

    def crashes(self, key: int) -> dict[int, int]:
        """Return the shared times of the crashes under a segment, by their keys."""
        item = self._suspects.get(key)
        if item is None:
            return {}
        return {crash: end.ended_ms for crash, end in item.crashes(0).items()}

    def apply(self, counts: Iterable[SegmentRuns]) -> None:
        """Apply what another host has counted, or heard."""
        now_ms = self._now_ms()
        oldest = now_ms // BUCKET_MS - max(WINDOWS)
        for told in counts:
            if told.host == self._host or told.bucket < oldest:
                continue
            service = self._begin(told.service)
            service.set_attempts(told.host, told.bucket, told.all_attempts)
            item = self._suspect(told.segment, told.service)
            count = item.count(told.host, told.bucket)
            if (
                told.attempts <= count.attempts
                and told.crashed <= count.crashed
                and count.crashes.keys() >= set(told.crashes)
            ):
                continue
            self._changed = True
            count.learned_ms, count.sent = now_ms, 0
            count.attempts = max(count.attempts, told.attempts)
            count.crashed = max(count.crashed, told.crashed)
            started_ms = told.bucket * BUCKET_MS
            for crash, offset_ms, waited_ms, at_crash in zip_longest(
                told.crashes, told.offsets_ms, told.waited_ms, told.at_crashes
            ):
                if crash is None or offset_ms is None:
                    break
                known = crash in count.crashes
                if not known and len(count.crashes) >= MAX_COUNT_CRASHES:
                    continue
                # The clock of the other host may differ.
                at_ms = min(now_ms, started_ms + offset_ms)
                if waited_ms is None:
                    waited_ms = MAX_WAITED_MS
                end = EndedAttempt(at_ms - waited_ms, at_ms)
                _add_end(count.crashes, crash, end)
                service.add_crash(crash, end)
                service.set_at_crash(crash, told.host, at_crash or 1)
                item.last_crash_ms = max(item.last_crash_ms, at_ms)

    def counts(self) -> list[SegmentRuns]:
        """Return the counts to tell other hosts now, ``MAX_SENT`` at most.

        Those of segments with more crashes come first, the least told of them.
        """
        now_ms = self._now_ms()
        oldest = now_ms // BUCKET_MS - max(WINDOWS)
        news = []
        for key, item in self._suspects.items():
            if item.service not in self._services:
                continue
            crashed = None
            for (host, bucket), count in item.counts.items():
                if now_ms - count.learned_ms > NEWS_MS:
                    continue
                if crashed is None:
                    crashed = sum(known.crashed for known in item.since(oldest))
                rank = (count.sent, -min(crashed, TELLING_CRASHES), -count.learned_ms)
                news.append((rank, key, item.service, host, bucket, count))
        found = []
        crashes_sent = 0
        for _, key, service, host, bucket, count in nsmallest(
            MAX_SENT, news, key=lambda entry: entry[0]
        ):
            crashes_sent += len(count.crashes)
            if found and crashes_sent > MAX_CRASHES_SENT:
                break
            count.sent += 1
            found.append(self._encode(key, service, host, bucket, count))
        return found

    def _encode(
        self, key: int, service: int, host: int, bucket: int, count: _Count
    ) -> SegmentRuns:
        started_ms = bucket * BUCKET_MS
        return SegmentRuns(
            key,
            service,
            host,
            bucket,
            count.attempts,
            self._services[service].attempts.get((host, bucket), count.attempts),
            count.crashed,
            list(count.crashes),
            [max(0, end.ended_ms - started_ms) for end in count.crashes.values()],
            [_waited_ms(end) for end in count.crashes.values()],
            [self._at_crash(service, crash, host) for crash in count.crashes],
        )

    def _at_crash(self, service: int, crash: int, host: int) -> int:
        counts = self._services[service].at_crashes.get(crash)
        return counts[host] if counts is not None else 1

    def update(self) -> None:
        """Forget what is older than all windows; called periodically."""
        oldest = self._now_ms() // BUCKET_MS - max(WINDOWS)
        for group in (self._suspects, self._sound):
            for key, item in list(group.items()):
                for name in list(item.counts):
                    if name[1] < oldest:
                        del item.counts[name]
                if not item.counts:
                    del group[key]
        for key, service in list(self._services.items()):
            service.forget(oldest)
            if not service.attempts:
                del self._services[key]


def _add_end(known: dict[int, EndedAttempt], crash: int, end: EndedAttempt) -> None:
    """Add the end of an endpoint; of several attempts the latest one is kept."""
    found = known.get(crash)
    if found is None or found.alive_ms < end.alive_ms:
        known[crash] = end


def _waited_ms(end: EndedAttempt) -> int:
    return max(0, min(MAX_WAITED_MS, end.ended_ms - end.alive_ms))


def _remember(known: OrderedDict, key: object) -> None:
    known[key] = None
    while len(known) > MAX_SEEN:
        known.popitem(last=False)


__all__ = [
    "CrashSpectra",
]
