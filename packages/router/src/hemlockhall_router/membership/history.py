"""Retries that all hosts took from the retry budget, also those of ended processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.membership.message import RetryRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.membership.clock import SharedClock

# Width of a bucket, in seconds of the shared clock. All hosts need the same one.
BUCKET_S = 0.25
# Services in one message, those with the most retries.
MAX_RECORDS = 16
# A host that has not run for so long does not know what others took meanwhile.
PAUSE_S = 1.0
# A difference between two hosts' clocks above that of the delay of messages.
CLOCK_STEP_S = 0.25

Buckets = dict[int, int]


class RetryHistory:
    """Numbers of retries of each service, by buckets of the shared clock.

    What was taken in a bucket does not change once all hosts have reported it, whatever
    becomes of them. So of two numbers for a bucket the higher one holds, and a host
    that has just started learns what was taken from any host that knows. Until then,
    or until it has run for a whole window, the history is not ``complete``.

    Parameters
    ----------
    shared_clock : SharedClock
        The clock on which the hosts agree.
    clock : callable
        Returns the monotonic time in seconds.
    window_s : float
        Length of the window of the retry budget in seconds.
    """

    def __init__(
        self, shared_clock: SharedClock, clock: Callable[[], float], window_s: float
    ) -> None:
        self._shared_clock = shared_clock
        self._clock = clock
        self.window_s = window_s
        self._covered_since = self._seen_at = clock()
        self._total: dict[int, Buckets] = {}
        self._runs: dict[tuple[str, str], tuple[list[RetryRecord], float]] = {}
        # Steps of the shared clock, and the longest lag of others' clocks, in seconds,
        # with their deadlines: buckets from before look older than they are.
        self._steps: list[tuple[float, float]] = []
        self._lag_s = 0.0
        self._lag_deadline = float("-inf")

    @property
    def complete(self) -> bool:
        """Whether all retries of the last window are known, as far as reported."""
        now = self._clock()
        if now - self._seen_at > PAUSE_S:
            return False
        return now - self._covered_since >= self.window_s

    @property
    def covered_ms(self) -> int:
        """For how long back all retries are known, in milliseconds; bounded."""
        if self._clock() - self._seen_at > PAUSE_S:
            return 0
        covered_s = min(self._clock() - self._covered_since, 2 * self.window_s)
        return int(covered_s * 1000)

    def bucket(self) -> int:
        """Return the present bucket."""
        return int(self._shared_clock.now() / BUCKET_S)

    def oldest_bucket(self) -> int:
        """Return the first bucket that reaches into the window."""
        now = self._clock()
        span_s = self.window_s
        span_s += sum(step_s for deadline, step_s in self._steps if now < deadline)
        if now < self._lag_deadline:
            span_s += self._lag_s
        return int((self._shared_clock.now() - span_s) / BUCKET_S)

    def assume_known(self) -> None:
        """Take the history for complete: no host ran before."""
        self._covered_since = float("-inf")

    def observe_time(self) -> None:
        """Record that this process runs; call it more often than ``PAUSE_S``."""
        now = self._clock()
        if now - self._seen_at > PAUSE_S:
            self._covered_since = now
        self._seen_at = now
        self._steps = [step for step in self._steps if now < step[0]]
        for key, (_, deadline) in list(self._runs.items()):
            if now >= deadline:
                del self._runs[key]
        oldest = self.oldest_bucket()
        for service, buckets in list(self._total.items()):
            for bucket in [bucket for bucket in buckets if bucket < oldest]:
                del buckets[bucket]
            if not buckets:
                del self._total[service]

    def adopt_time(self, time_ms: int) -> None:
        """Step the shared clock to the time in another host's message, if later."""
        step_s = self._shared_clock.adopt(time_ms)
        lag_s = self._shared_clock.now() - time_ms / 1000
        now = self._clock()
        if step_s > CLOCK_STEP_S:
            self._steps.append((now + self.window_s, step_s))
        elif CLOCK_STEP_S < lag_s < self.window_s:
            if now < self._lag_deadline:
                lag_s = max(lag_s, self._lag_s)
            self._lag_s, self._lag_deadline = lag_s, now + self.window_s

    def record_run(self, name: str, boot: str, records: list[RetryRecord]) -> None:
        """Record what a process took, as it reports itself.

        It is kept for a window, in which its host may start another one.
        """
        key = (name, boot)
        if records or key in self._runs:
            self._runs[key] = (records, self._clock() + self.window_s)

    def data_centre_records(self, own: list[RetryRecord]) -> list[RetryRecord]:
        """Return the sum of this process and of those that reported to it."""
        runs = [records for records, _ in self._runs.values()]
        return _records(_sum([own, *runs]))

    def update(
        self, own: list[RetryRecord], remote: Iterable[list[RetryRecord]]
    ) -> None:
        """Merge the sums of all data centres; ``remote`` are those of the others."""
        runs = [records for records, _ in self._runs.values()]
        self._merge(_sum([own, *runs, *remote]))

    def merge(self, records: list[RetryRecord], covered_ms: int) -> None:
        """Merge another host's history, which reaches back ``covered_ms``."""
        self._merge(_sum([records]))
        if len(records) < MAX_RECORDS:
            since = self._clock() - covered_ms / 1000
            self._covered_since = min(self._covered_since, since)

    def _merge(self, found: dict[int, Buckets]) -> None:
        oldest, newest = self.oldest_bucket(), self.bucket()
        for service, buckets in found.items():
            total = self._total.setdefault(service, {})
            for bucket, retries in buckets.items():
                if oldest <= bucket <= newest and retries > total.get(bucket, 0):
                    total[bucket] = retries

    def records(self) -> list[RetryRecord]:
        """Return the retries of all hosts."""
        return _records(self._total)

    def taken(self, service: int) -> int:
        """Return how many retries all hosts are known to have taken in the window."""
        return sum_since(self._total.get(service, {}), self.oldest_bucket())


def sum_since(buckets: Buckets, oldest: int) -> int:
    """Return the sum over the buckets from ``oldest`` on."""
    total = 0
    for bucket, retries in buckets.items():
        if bucket >= oldest:
            total += retries
    return total


def record_of(service: int, buckets: Buckets) -> RetryRecord:
    """Return the record of a service; ``buckets`` is not empty."""
    first, last = min(buckets), max(buckets)
    counts = [buckets.get(bucket, 0) for bucket in range(first, last + 1)]
    return RetryRecord(service, first, counts)


def _sum(lists: Iterable[list[RetryRecord]]) -> dict[int, Buckets]:
    found: dict[int, Buckets] = {}
    for records in lists:
        for record in records:
            total = found.setdefault(record.service, {})
            for bucket, retries in enumerate(record.counts, record.first):
                if retries > 0:
                    total[bucket] = total.get(bucket, 0) + retries
    return found


def _records(found: dict[int, Buckets]) -> list[RetryRecord]:
    records = [record_of(key, buckets) for key, buckets in found.items() if buckets]
    records.sort(key=lambda record: -sum(record.counts))
    return records[:MAX_RECORDS]


__all__ = [
    "BUCKET_S",
    "Buckets",
    "RetryHistory",
    "record_of",
    "sum_since",
]
