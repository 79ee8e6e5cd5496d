"""Counts for and against segments, as hosts tell them each other."""

from __future__ import annotations

import pytest

from hemlockhall_router.membership.message import SegmentRuns
from hemlockhall_router.policy.spectrum import Spectrum
from hemlockhall_router.process.spectrum import (
    BUCKET_MS,
    CAUSE_WAIT_MS,
    LEAD_IN_MS,
    MAX_SENT,
    MAX_SOUND,
    MAX_SUSPECTS,
    CrashSpectra,
)

SERVICE = 7
BASE, BAD = 2**40, 2**41


class Host:
    """The counts of one host, with a clock of its own."""

    def __init__(self) -> None:
        self.now_ms = 100 * BUCKET_MS
        self.spectra = CrashSpectra(lambda: self.now_ms)
        self.crashes = 0

    def run(self, *segments: int, count: int = 1) -> None:
        for _ in range(count):
            self.spectra.record_run(SERVICE, segments)

    def crash(
        self, *segments: int, ran_ms: int | None = None, request: int = 0
    ) -> None:
        self.crashes += 1
        self.now_ms += 200
        request = request or id(self) % 1000 + self.crashes * 1000
        crash = id(self) % 997 + self.crashes * 1000
        self.spectra.record_crash(
            SERVICE, segments, request, crash, self.now_ms, ran_ms=ran_ms
        )

    def causes(self) -> list[int]:
        """Return the segments that explain the crashes for long enough."""
        self.spectra.find_causes(())
        self.now_ms += CAUSE_WAIT_MS
        return list(self.spectra.find_causes(()))

    def tell(self, other: Host) -> list[SegmentRuns]:
        counts = self.spectra.counts()
        other.spectra.apply(counts)
        return counts


class TestCounts:
    def test_a_run_under_which_an_endpoint_crashes_later_counts_as_a_crash(
        self,
    ) -> None:
        """Guards against progress of a response that is taken for proof."""
        host = Host()
        host.crash(BASE, BAD)
        host.run(BASE, count=5)
        for _ in range(3):
            host.run(BASE, BAD)
            host.crash(BASE, BAD, ran_ms=host.now_ms)
        assert host.spectra.spectrum(BAD) == Spectrum(4, 4, 4, 4, 5)

    def test_of_one_content_the_first_crash_counts(self) -> None:
        host = Host()
        for _ in range(3):
            host.crash(BAD, request=1)
        found = host.spectra.spectrum(BAD)
        assert (found.crashed, found.covered) == (1, 3)

    def test_of_requests_that_waited_at_one_endpoint_one_is_an_attempt(self) -> None:
        """Guards against fatal requests that count as passed, as another one that was
        at the same endpoint crashed it first."""
        host = Host()
        for request in range(1, 5):
            host.spectra.record_crash(SERVICE, [BAD], request, 1, host.now_ms)
        assert host.spectra.spectrum(BAD).attempts == 1

    def test_attempts_shortly_before_the_first_crash_are_counted(self) -> None:
        """Guards against the first crashes of a fatal segment that look like chance, as
        hardly any sound attempt is known by then."""
        host = Host()
        host.run(BASE, count=5)
        host.crash(BASE)
        assert host.spectra.spectrum(BASE).attempts == 6

    def test_nothing_is_counted_long_before_a_crash(self) -> None:
        """Guards against blame for a segment that is first asked for while endpoints
        crash, and the others long before."""
        host = Host()
        host.run(BASE, count=5)
        host.now_ms += LEAD_IN_MS
        host.crash(BASE)
        assert host.spectra.spectrum(BASE).attempts == 1

    def test_an_attempt_that_ran_before_the_counts_is_counted_as_it_crashes(
        self,
    ) -> None:
        """Guards against long streams that are at crashes and in no count of attempts,
        so that their segments seem to crash endpoints each time."""
        host = Host()
        ran_ms = host.now_ms - LEAD_IN_MS
        for _ in range(3):
            host.crash(BASE, ran_ms=ran_ms)
        assert host.spectra.spectrum(BASE).attempts == 3

    @pytest.mark.parametrize(("answered", "crashes"), [(True, 3), (False, 1)])
    def test_crashes_of_a_request_that_is_sent_on_count_if_it_was_answered(
        self, answered: bool, crashes: int
    ) -> None:
        """Guards against endpoints that crash one after the other under the same
        requests, and that count once, like those of a rack that loses its power."""
        host, other = Host(), Host()
        for crash in range(1, 4):
            sent_ms = host.now_ms
            host.now_ms += 40
            host.spectra.record_crash(
                SERVICE,
                [BAD],
                1,
                crash,
                host.now_ms,
                answered_ms=sent_ms if answered else None,
            )
        other.now_ms = host.now_ms
        host.tell(other)
        assert host.spectra.spectrum(BAD).covered == crashes
        assert other.spectra.spectrum(BAD).covered == crashes

    def test_a_segment_that_was_sound_for_long_is_seen_to_crash(self) -> None:
        """Guards against a part that becomes fatal with a change of data."""
        host = Host()
        host.crash(BAD)
        host.run(BAD, count=400)
        host.now_ms += 3 * BUCKET_MS
        host.run(BASE, count=50)
        for _ in range(6):
            host.crash(BASE, BAD)
        assert host.causes() == [BAD]

    def test_counts_are_forgotten(self) -> None:
        host = Host()
        host.crash(BAD)
        host.now_ms += 20 * BUCKET_MS
        host.spectra.update()
        assert host.spectra.spectrum(BAD) == Spectrum()


class TestCauses:
    def test_a_segment_that_explains_the_crashes_is_found(self) -> None:
        host = Host()
        for _ in range(6):
            host.crash(BASE, BAD)
            host.run(BASE, count=10)
        assert host.causes() == [BAD]

    def test_it_must_explain_them_for_a_while(self) -> None:
        """Guards against a verdict before other hosts have told their attempts."""
        host = Host()
        for _ in range(6):
            host.crash(BASE, BAD)
            host.run(BASE, count=10)
        assert not host.spectra.find_causes(())
        host.run(BASE, BAD, count=200)
        host.crash(BASE)
        assert not host.causes()

    def test_two_that_always_came_together_are_found_together(self) -> None:
        host = Host()
        for _ in range(6):
            host.crash(BASE, BAD, BAD + 1)
            host.run(BASE, count=10)
        assert sorted(host.causes()) == [BAD, BAD + 1]

    def test_crashes_that_a_known_one_explains_do_not_count(self) -> None:
        """Guards against sound segments that are blamed once the fatal one is known."""
        host = Host()
        for _ in range(6):
            host.crash(BASE, BAD, BAD + 1)
            host.run(BASE, count=10)
        assert not host.spectra.find_causes({BAD})


class TestHosts:
    def test_they_add_their_counts(self) -> None:
        hosts = [Host(), Host()]
        # Crashes at one moment count once.
        hosts[1].now_ms += 1000
        for host in hosts:
            host.crash(BASE, BAD)
            host.run(BASE, count=3)
            host.run(BAD)
        for _ in range(3):
            hosts[0].tell(hosts[1])
        found = hosts[1].spectra.spectrum(BAD)
        assert (found.covered, found.attempts, found.other_attempts) == (2, 4, 6)

    def test_one_that_has_seen_no_crash_counts_once_it_hears_of_one(self) -> None:
        """Guards against hosts whose attempts nobody counts until an endpoint crashes
        under one of them."""
        host, other = Host(), Host()
        host.crash(BASE, BAD)
        host.tell(other)
        other.spectra.update()
        other.run(BASE, BAD, count=3)
        assert other.spectra.spectrum(BAD).attempts == 4

    def test_one_without_the_segment_counts_among_the_others(self) -> None:
        """Guards against a rare segment that is compared only with the attempts of the
        few hosts that had it, so that its crashes look like chance."""
        host, other = Host(), Host()
        host.crash(BASE, BAD)
        other.crash(BASE)
        other.run(BASE, count=30)
        other.tell(host)
        assert host.spectra.spectrum(BAD).other_attempts == 31

    def test_counts_that_come_twice_change_nothing(self) -> None:
        """Guards against counts that add up again by way of other hosts."""
        host, other = Host(), Host()
        host.crash(BASE, BAD)
        counts = host.tell(other)
        before = other.spectra.spectrum(BAD)
        other.spectra.apply(counts)
        other.tell(host)
        assert other.spectra.spectrum(BAD) == before
        assert host.spectra.spectrum(BAD) == before

    @pytest.mark.parametrize("segments", [1, 50])
    def test_messages_are_bounded(self, segments: int) -> None:
        host = Host()
        for _ in range(30):
            host.crash(*range(BASE, BASE + segments))
        assert len(host.spectra.counts()) <= MAX_SENT

    def test_state_is_bounded(self) -> None:
        host = Host()
        for number in range(MAX_SUSPECTS + 100):
            host.crash(BASE + number)
        for number in range(MAX_SOUND + 100):
            host.run(BAD + number)
        assert len(host.spectra._suspects) == MAX_SUSPECTS
        assert len(host.spectra._sound) == MAX_SOUND
