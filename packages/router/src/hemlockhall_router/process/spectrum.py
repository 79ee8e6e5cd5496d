"""Attempts that passed, and endpoints that crashed, by segments of prompts."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field
from heapq import nsmallest

from hemlockhall_router.membership.message import SegmentRuns
from hemlockhall_router.policy.crash import count_spaced
from hemlockhall_router.policy.spectrum import Spectrum

# Attempts are counted in buckets of this length on the shared clock.
BUCKET_MS = 10_000
# Windows in which a segment is compared with the others, in buckets with the present
# one. In the short one a segment that has become fatal shows though it was sound.
WINDOWS = (2, 12)
# Segments whose attempts are counted: those under which endpoints crashed, and others.
MAX_SUSPECTS = 1024
MAX_SOUND = 4096
# Counts of hosts and buckets that are kept of a segment, and crashes of each.
MAX_COUNTS = 128
MAX_COUNT_CRASHES = 16
# Requests, and crashes under them, that are known not to be counted again.
MAX_SEEN = 8192
# Counts that are new to this host are passed on for this time, and so many go in one
# message, with so many crashes.
NEWS_MS = 3000
MAX_SENT = 4
MAX_CRASHES_SENT = 32
# A segment under which as many endpoints crashed is told as often as the worst.
TELLING_CRASHES = 8
# Time after its last crash in which a segment is judged again as counts come in.
JUDGED_MS = 5000


@dataclass(slots=True)
class _Count:
    """Attempts that one host sent in one bucket: with one segment, or all.

    ``runs`` of them got events for some time; under ``failed`` of these the endpoint
    crashed afterwards. Under ``crashed`` requests one crashed for the first time.
    ``broken`` attempts ended with one of ``crashes``, which has shared times by keys.
    ``total`` has all attempts of another host in the bucket. No figure ever shrinks:
    the larger one is the newer.
    """

    runs: int = 0
    failed: int = 0
    crashed: int = 0
    broken: int = 0
    crashes: dict[int, int] = field(default_factory=dict)
    total: _Count | None = None
    learned_ms: int = 0
    sent: int = 0
    told_runs: int = 0


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

    def crashes(self, bucket: int) -> dict[int, int]:
        """Return when endpoints crashed under its attempts, by the keys of crashes."""
        found: dict[int, int] = {}
        for item in self.since(bucket):
            found |= item.crashes
        return found


class CrashSpectra:
    """Counts for and against each segment, which hosts tell each other.

    Nothing is counted before the first crash at a service. Counts of all hosts are kept
    apart, so that one that comes twice, or late, changes nothing, and each comes with
    those of all attempts of its host, so that they can be compared.

    Parameters
    ----------
    now_ms : callable
        Returns the shared time in milliseconds.
    """

    def __init__(self, now_ms: Callable[[], int]) -> None:
        self._now_ms = now_ms
        self._host = random.getrandbits(32)
        self._totals: dict[int, dict[int, _Count]] = {}
        self._suspects: OrderedDict[int, _Segment] = OrderedDict()
        self._sound: OrderedDict[int, _Segment] = OrderedDict()
        self._seen: OrderedDict[tuple[int, int], None] = OrderedDict()
        self._seen_requests: OrderedDict[int, None] = OrderedDict()

    def record_run(self, service: int, segments: Iterable[int]) -> None:
        """Record an attempt that got events for some time, or was completed."""
        if service not in self._totals:
            return
        bucket = self._now_ms() // BUCKET_MS
        self._total(service, bucket).runs += 1
        for key in segments:
            count = self._segment(key, service).count(self._host, bucket)
            count.runs += 1
            if count.runs >= 2 * count.told_runs:
                self._renew(count)

    def record_crash(
        self,
        service: int,
        segments: Collection[int],
        request: int,
        crash: int,
        at_ms: int,
        *,
        ran: bool,
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
        ran : bool
            Whether ``record_run`` was called for the attempt.
        """
        if (crash, request) in self._seen:
            return
        _remember(self._seen, (crash, request))
        first = request not in self._seen_requests
        _remember(self._seen_requests, request)
        bucket = self._now_ms() // BUCKET_MS
        total = self._total(service, bucket)
        total.failed += ran
        total.crashed += first
        for key in segments:
            item = self._suspect(key, service)
            item.last_crash_ms = max(item.last_crash_ms, at_ms)
            count = item.count(self._host, bucket)
            count.failed += ran
            count.crashed += first
            if crash in count.crashes or len(count.crashes) < MAX_COUNT_CRASHES:
                count.broken += 1
                count.crashes.setdefault(crash, at_ms)
            self._renew(count)

    def _total(self, service: int, bucket: int) -> _Count:
        return self._totals.setdefault(service, {}).setdefault(bucket, _Count())

    def _renew(self, count: _Count) -> None:
        """Let a count be told anew."""
        count.told_runs = count.runs
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

    def spectrum(self, key: int) -> Spectrum:
        """Return what speaks for and against a segment, in its most telling window."""
        item = self._suspects.get(key)
        if item is None:
            return Spectrum()
        now_bucket = self._now_ms() // BUCKET_MS
        windows = [now_bucket - buckets + 1 for buckets in WINDOWS]
        spectra = [self._spectrum_since(item, bucket) for bucket in windows]
        return min(spectra, key=lambda found: found.chance)

    def _spectrum_since(self, item: _Segment, bucket: int) -> Spectrum:
        runs = failed = crashed = broken = 0
        all_runs = all_failed = all_crashed = 0
        for (host, at), count in item.counts.items():
            if at < bucket:
                continue
            total = count.total
            if host == self._host:
                total = self._total(item.service, at)
            runs, failed = runs + count.runs, failed + count.failed
            crashed, broken = crashed + count.crashed, broken + count.broken
            if total is not None:
                all_runs += total.runs
                all_failed += total.failed
                all_crashed += total.crashed
        times_ms = item.crashes(bucket)
        passed = max(0, runs - failed)
        return Spectrum(
            min(crashed, count_spaced(list(times_ms.values()))),
            passed,
            max(0, all_crashed - crashed),
            max(0, all_runs - all_failed - passed),
            broken,
            len(times_ms),
            self._count_crashes(item.service, bucket),
        )

    def _count_crashes(self, service: int, bucket: int) -> int:
        found: set[int] = set()
        for item in self._suspects.values():
            if item.service == service:
                found.update(item.crashes(bucket))
        return len(found)

    def recent_suspects(self) -> list[int]:
        """Return the segments under which an endpoint crashed lately."""
        now_ms = self._now_ms()
        found = []
        for key, item in self._suspects.items():
            if now_ms - item.last_crash_ms <= JUDGED_MS:
                found.append(key)
        return found

    def apply(self, counts: Iterable[SegmentRuns]) -> None:
        """Apply what another host has counted, or heard."""
        now_ms = self._now_ms()
        oldest = now_ms // BUCKET_MS - max(WINDOWS)
        for told in counts:
            if told.host == self._host or told.bucket < oldest:
                continue
            # From now on attempts at the service are counted here, too.
            self._totals.setdefault(told.service, {})
            item = self._suspect(told.segment, told.service)
            count = item.count(told.host, told.bucket)
            size = (count.runs, count.failed, count.broken)
            if (told.runs, told.failed, told.broken) <= size:
                continue
            count.learned_ms, count.sent = now_ms, 0
            count.runs = max(count.runs, told.runs)
            count.failed = max(count.failed, told.failed)
            count.crashed = max(count.crashed, told.crashed)
            count.broken = max(count.broken, told.broken)
            count.total = _Count(told.all_runs, told.all_failed, told.all_crashed)
            started_ms = told.bucket * BUCKET_MS
            for crash, offset_ms in zip(told.crashes, told.offsets_ms, strict=False):
                if crash in count.crashes or len(count.crashes) >= MAX_COUNT_CRASHES:
                    continue
                # The clock of the other host may differ.
                at_ms = min(now_ms, started_ms + offset_ms)
                count.crashes[crash] = at_ms
                item.last_crash_ms = max(item.last_crash_ms, at_ms)

    def counts(self) -> list[SegmentRuns]:
        """Return the counts to tell other hosts now, ``MAX_SENT`` at most.

        Those of segments with more crashes come first, the least told of them.
        """
        now_ms = self._now_ms()
        oldest = now_ms // BUCKET_MS - max(WINDOWS)
        news = []
        for key, item in self._suspects.items():
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
        total = count.total or self._total(service, bucket)
        started_ms = bucket * BUCKET_MS
        return SegmentRuns(
            key,
            service,
            host,
            bucket,
            count.runs,
            count.failed,
            count.crashed,
            total.runs,
            total.failed,
            total.crashed,
            count.broken,
            list(count.crashes),
            [max(0, at_ms - started_ms) for at_ms in count.crashes.values()],
        )

    def update(self) -> None:
        """Forget what is older than all windows; called periodically."""
        oldest = self._now_ms() // BUCKET_MS - max(WINDOWS)
        for service, totals in list(self._totals.items()):
            for bucket in list(totals):
                if bucket < oldest:
                    del totals[bucket]
            if not totals:
                del self._totals[service]
        for group in (self._suspects, self._sound):
            for key, item in list(group.items()):
                for name in list(item.counts):
                    if name[1] < oldest:
                        del item.counts[name]
                if not item.counts:
                    del group[key]


def _remember(known: OrderedDict, key: object) -> None:
    known[key] = None
    while len(known) > MAX_SEEN:
        known.popitem(last=False)


__all__ = [
    "CrashSpectra",
]
