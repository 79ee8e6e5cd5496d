"""Prompt segments and requests that crash endpoints, and what is refused for them."""

from __future__ import annotations

import random
import zlib
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import nsmallest
from itertools import chain, zip_longest
from math import inf
from typing import TYPE_CHECKING, Protocol

import msgspec
from loguru import logger

from hemlockhall_router.membership.message import (
    CrashEvidence,
    EndedRequests,
    SegmentRuns,
    SegmentVerdict,
    endpoint_key,
    service_key,
)
from hemlockhall_router.policy.crash import (
    MAX_REQUEST_CRASHES,
    MIN_REQUESTS,
    EndedAttempt,
    count_ends_in_turn,
    is_fatal,
    is_fatal_request,
    needs_companion,
)
from hemlockhall_router.policy.spectrum import MIN_CRASHED, MIN_LEAD
from hemlockhall_router.process.dialect import MAX_LOGGED_SEGMENTS
from hemlockhall_router.process.setting import QuarantineSection
from hemlockhall_router.process.spectrum import CrashSpectra
from hemlockhall_router.request.failure import decode_value

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from hemlockhall_router.membership.clock import SharedClock
    from hemlockhall_router.membership.share import Shares
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.request.relay import RoutedRequest
    from hemlockhall_router.version.endpoint import Endpoint

# Crashes are forgotten after this time without a verdict.
EVIDENCE_TTL_MS = 600_000
# Time after a crash in which a segment that was served shortly before is not blamed:
# its other requests are about to be served again.
SERVED_RECENTLY_MS = 10_000
SERVED_WAIT_MS = 1000
# Segments with evidence, evidence of each, segments known to be served, and verdicts
# that are kept. The least recently used go first.
MAX_SUSPECTS = 4096
MAX_EVIDENCE = 24
MAX_SERVED = 4096
MAX_VERDICTS = 256
# Segments cleared by a host that served them, as known here.
MAX_CLEARED = 256
# Pieces of evidence below which no verdict is reached.
MIN_EVIDENCE = min(MIN_REQUESTS, MAX_REQUEST_CRASHES)
# Lines in the log about one crash.
MAX_WEIGHED_LINES = 8
# Segments of one prompt that a crash is evidence against, unproven ones first.
MAX_PROMPT_SUSPECTS = 32
# Time for which evidence and verdicts that are new to this host are passed on, and how
# many go in one message. Older verdicts follow in turns.
NEWS_MS = 3000
MAX_NEWS = 256
MAX_REQUEST_NEWS = 1024
MAX_EVIDENCE_SENT = 4
# Segments in the prompts of the evidence of one message, apart from the first prompt.
MAX_SEGMENTS_SENT = 8
MAX_ENDED_SENT = 8
# How often a request is told for each endpoint that ended under it: some messages are
# lost.
ENDED_TELLINGS = 3
MAX_VERDICTS_SENT = 2
MAX_CLEARED_SENT = 2
# Time until a content is tried that was refused for the first time, and the factor by
# which it grows with each trial under which an endpoint ends.
REQUEST_HOLD_MS = 30_000
REQUEST_HOLD_GROWTH = 4
# A segment whose quarantine has ended gets one request in each such time, at one host,
# until an endpoint served one.
TRIAL_INTERVAL_MS = 10_000
# While a content is tried one request is sent in each such slot; a host that owns none
# sends one after this time, and a further one that it draws.
SUSPECT_SLOT_MS = 500
SUSPECT_IDLE_MS = 500
# Callers that are refused are told to come back within so many seconds of the end.
CALLER_SPREAD_S = 5.0
# Endpoints that may crash under one request: having begun to respond to it, or not. The
# request is proven if each of its segments was served, and suspected if endpoints
# crashed under others with one of its segments.
PROVEN_CRASHES = (3, inf)
UNPROVEN_CRASHES = (2, 3)
SUSPECTED_CRASHES = (1, 1)
# Tells callers what to change.
QUARANTINED_TEXT = (
    "a part of the prompt crashes endpoints; the request has not run: "
    "send it without that part, or come back later"
)
FATAL_REQUEST_TEXT = (
    "endpoints crashed under requests like this one; it has not run: "
    "change it, or come back later"
)


class Peers(Protocol):
    """What the other hosts agree on."""

    @property
    def shared_clock(self) -> SharedClock:
        """The clock on which the hosts agree."""

    @property
    def shares(self) -> Shares:
        """Which slots this host owns."""

    def known_hosts(self) -> int:
        """Return the number of hosts that this one hears of, with itself."""


@dataclass(slots=True)
class _Evidence:
    """Evidence with the shared time from which it counts, and is known here.

    If ``own`` is true, it is against the content of the request, whose key it has in
    place of that of a segment, and the endpoint was last known to be alive at
    ``alive_ms``, when the request was sent to it or before.
    """

    item: CrashEvidence
    counts_from_ms: int
    learned_ms: int
    own: bool = False
    alive_ms: int = 0
    sent: int = 0


@dataclass(slots=True)
class _Verdict:
    """A verdict, when this host learned of it, and the last trial slot it used.

    ``passed`` counts the whole responses to requests that tried it at this host.
    """

    item: SegmentVerdict
    learned_ms: int
    trial_slot: int = -1
    passed: int = 0


@dataclass(slots=True)
class _Cleared:
    """That a host served a segment with evidence, and when this host learned of it."""

    item: SegmentVerdict
    learned_ms: int
    sent: int = 0


@dataclass(slots=True)
class CrashCount:
    """Endpoints that broke off one request before it was served, by incarnation.

    Those in ``responded`` had begun to respond to it.
    """

    responded: set[tuple[str, int]] = field(default_factory=set)
    waiting: set[tuple[str, int]] = field(default_factory=set)

    def add(self, endpoint: Endpoint, *, responded: bool) -> None:
        """Add an endpoint; one that breaks off several attempts counts once."""
        (self.responded if responded else self.waiting).add(endpoint.incarnation)


@dataclass(slots=True)
class _Suspect:
    """A segment, or a content, of requests under which endpoints crashed.

    While a content is tried, this host sends one request with it in ``tried_slot``, and
    one from ``free_at_ms`` on though it does not own the slot.
    """

    evidence: dict[tuple[int, int], _Evidence] = field(default_factory=dict)
    last_at_ms: int = 0
    tried_slot: int = -1
    free_at_ms: int = 0


class Quarantine:
    """Finds prompt segments and requests that crash endpoints, with the other hosts.

    A crash is evidence against each segment of the prompt that no endpoint has served
    since, and against the content of the request until an endpoint has completed a
    request with it. Segments that came together in all crashed requests are refused
    only together. Hosts send each other evidence and verdicts; any of them may reach
    one.

    Parameters
    ----------
    directory : Directory
        Its active streams with a segment end when that is quarantined.
    peers : Peers
        The clock and the shares of slots on which the hosts agree.
    metrics : Metrics
        Counts evidence and verdicts; has a gauge of the segments in quarantine.
    cfg : QuarantineSection, optional
        The settings; may be replaced.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        metrics: Metrics,
        cfg: QuarantineSection | None = None,
    ) -> None:
        self.cfg = cfg or QuarantineSection()
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        # Called when this host has reached a verdict.
        self.on_verdict: Callable[[], None] = lambda: None
        # Called when the other hosts need to hear at once what this host has found.
        self.on_urgent_news: Callable[[], None] = lambda: None
        self._urgent = False
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        self._served: OrderedDict[int, int] = OrderedDict()
        self._service_served: dict[int, int] = {}
        self._verdicts: OrderedDict[int, _Verdict] = OrderedDict()
        self._cleared: OrderedDict[int, _Cleared] = OrderedDict()
        # Crashes during which an endpoint was responding to a request: those that only
        # waited there did not cause them.
        self._explained: OrderedDict[int, None] = OrderedDict()
        # Evidence to tell other hosts, in the order of its arrival, and the keys of
        # suspects with enough of it for a verdict.
        self._news: deque[_Evidence] = deque(maxlen=MAX_NEWS)
        self._request_news: deque[_Evidence] = deque(maxlen=MAX_REQUEST_NEWS)
        self._judged: set[int] = set()
        self._spectra = CrashSpectra(self._now_ms)
        self._weighed: OrderedDict[int, int] = OrderedDict()
        self._verdict_offset = 0
        metrics.add_gauge(
            "quarantined_segments", "all", lambda: len(self.quarantined())
        )
        metrics.add_gauge(
            "quarantined_requests", "all", lambda: len(self.quarantined_requests())
        )
        metrics.add_gauge("suspected_segments", "all", lambda: len(self._suspects))

    def refusal(self, request: RoutedRequest) -> SegmentVerdict | None:
        """Return the verdict for which a request must not be sent, or None.

        It is on its content or a segment of its prompt. One whose quarantine has ended
        may be tried by the request. A request under which too many endpoints ended has
        one of its own, whatever caused these ends.
        """
        if not self.cfg.enabled:
            return None
        if len(request.crashes) >= MAX_REQUEST_CRASHES:
            at_ms = self._now_ms()
            expires_ms = at_ms + TRIAL_INTERVAL_MS
            return SegmentVerdict(request_key(request), at_ms, at_ms, expires_ms)
        if not self._verdicts:
            return None
        now_ms = self._now_ms()
        keys = suspect_keys(request)
        for key in keys:
            verdict = self._verdicts.get(key)
            if verdict is None or not self._applies(verdict.item, keys):
                continue
            if now_ms < verdict.item.expires_at_ms:
                return verdict.item
            if key in request.tried_segments:
                continue
            if not self._may_try(verdict, now_ms):
                return verdict.item
            request.tried_segments.add(key)
        return None

    def may_send(self, request: RoutedRequest) -> bool:
        """Return whether a request may be sent now, as far as its content is concerned.

        While enough endpoints for a verdict have ended under the content, but not one
        after the other, nothing tells whether it is the cause. Its requests are tried
        one at a time, at the host that owns the slot. As that may have none, each host
        tries one after a while. The first that is completed clears the content, and
        ends of endpoints under those that are tried follow each other.
        """
        suspect = self._suspects.get(request_key(request)) if self._suspects else None
        if suspect is None or not self.cfg.enabled:
            return True
        if len(suspect.evidence) < MAX_REQUEST_CRASHES:
            return True
        now_ms = self._now_ms()
        slot = now_ms // SUSPECT_SLOT_MS
        if now_ms < suspect.free_at_ms:
            if slot == suspect.tried_slot:
                return False
            key = f"suspect/{request_key(request)}/{slot}"
            if not self._peers.shares.owns(key):
                return False
        suspect.tried_slot = slot
        suspect.free_at_ms = self._draw_free_at(now_ms)
        self._metrics.count("suspects", "tried")
        logger.info(
            "content tried",
            request=decode_value(request.id),
            content=f"{request_key(request):016x}",
            crashes=len(suspect.evidence),
        )
        return True

    def _draw_free_at(self, now_ms: int) -> int:
        """Return when this host may try a content though it does not own the slot.

        Hosts draw different times, so that the first one that tries it can tell the
        others what became of that.
        """
        spread_ms = self._peers.known_hosts() * SUSPECT_SLOT_MS / 2
        wait_ms = SUSPECT_IDLE_MS + random.uniform(0, spread_ms)  # noqa: S311
        return now_ms + int(wait_ms)

    def retry_after_s(self, verdict: SegmentVerdict) -> float:
        """Return the seconds after which to tell a refused caller to come back."""
        left_ms = verdict.expires_at_ms - self._now_ms()
        wait_s = max(left_ms, TRIAL_INTERVAL_MS) / 1000
        return wait_s + random.uniform(0.0, CALLER_SPREAD_S)  # noqa: S311

    def is_proven(self, request: RoutedRequest) -> bool:
        """Return whether each segment of a request's prompt was served before."""
        return all(key in self._served for key in segment_keys(request))

    def may_repeat(self, request: RoutedRequest, crashes: CrashCount) -> bool:
        """Return whether a request under which endpoints crashed is sent again."""
        if not self.cfg.enabled:
            return True
        own = request_key(request)
        keys = segment_keys(request)
        limits = PROVEN_CRASHES
        evidence = 0
        quarantined = False
        for key in keys:
            verdict = self._verdicts.get(key)
            applies = verdict is not None and self._applies(verdict.item, keys)
            quarantined = quarantined or applies
            if key not in self._served:
                limits = min(limits, UNPROVEN_CRASHES)
            suspect = self._suspects.get(key)
            for item in self._counting(suspect) if suspect is not None else ():
                if verdict is not None and not applies:
                    if self._applies(verdict.item, item.item.prompt):
                        # It is known to crash for a companion that is not here.
                        continue
                evidence += item.item.request != own
        if evidence:
            limits = SUSPECTED_CRASHES
        responded, waiting = limits
        if not quarantined:
            if len(crashes.responded) < responded and len(crashes.waiting) < waiting:
                return True
        logger.warning(
            "request not repeated",
            request=decode_value(request.id),
            quarantined=quarantined,
            evidence=evidence,
            responded=len(crashes.responded),
            waiting=len(crashes.waiting),
        )
        return False

    def record_run(self, request: RoutedRequest) -> None:
        """Record an attempt that got events for some time, or a whole response.

        An endpoint may still crash under it.
        """
        service = service_key(request.service.name)
        self._spectra.record_run(service, segment_keys(request))

    def weigh_crash(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        at: float,
        *,
        answered_at: float | None = None,
        ran_at: float | None = None,
    ) -> None:
        """Record for each segment that an endpoint crashed under an attempt.

        Parameters
        ----------
        request : RoutedRequest
            The request.
        endpoint : Endpoint
            The incarnation that crashed.
        at : float
            When the attempt broke off, a monotonic time.
        answered_at : float, optional
            When the attempt was sent, a monotonic time, if the endpoint had begun to
            respond to it.
        ran_at : float, optional
            When ``record_run`` was called for the attempt, a monotonic time.
        """
        keys = segment_keys(request)
        shared_clock = self._peers.shared_clock
        self._spectra.record_crash(
            service_key(request.service.name),
            keys,
            request_key(request),
            crash_key(endpoint),
            shared_clock.at_ms(at),
            answered_ms=_shared_ms(shared_clock, answered_at),
            ran_ms=_shared_ms(shared_clock, ran_at),
        )
        for key in request.tried_segments:
            self._begin_again(key)
        # What explains the crashes shows from the counts of all hosts.
        self._urgent |= bool(keys)
        if not keys or not self._may_log_weighed(crash_key(endpoint)):
            return
        logger.info(
            "crash weighed",
            request=decode_value(request.id),
            endpoint=endpoint.id,
            ran=ran_at is not None,
            segments=[self._logged_spectrum(key) for key in keys[:MAX_LOGGED_SEGMENTS]],
        )

    def _begin_again(self, key: int) -> None:
        """Begin a quarantine again that had ended, as an endpoint crashed in a trial.

        The evidence of the trial may not show that: the request may have got events.
        """
        verdict = self._verdicts.get(key)
        now_ms = self._now_ms()
        if verdict is None or not verdict.item.passes:
            return
        if not verdict.item.quarantined or now_ms < verdict.item.expires_at_ms:
            return
        self._metrics.count("verdicts", "quarantined")
        logger.warning("prompt segment quarantined again", segment=f"{key:016x}")
        self._set(
            msgspec.structs.replace(
                verdict.item,
                decided_at_ms=now_ms,
                expires_at_ms=now_ms + self._hold_ms,
            )
        )
        self._urgent = True
        self.on_verdict()

    def _may_log_weighed(self, crash: int) -> bool:
        """Return whether another line about a crash may be written."""
        lines = self._weighed.get(crash, 0)
        self._weighed[crash] = lines + 1
        while len(self._weighed) > MAX_VERDICTS:
            self._weighed.popitem(last=False)
        return lines < MAX_WEIGHED_LINES

    def _logged_spectrum(self, key: int) -> str:
        """Return what speaks for and against a segment, as written in log lines."""
        found = self._spectra.spectrum(key)
        return (
            f"{key:016x}: at {found.covered} of {found.crashes} crashes, "
            f"{found.crashed} requests; {found.attempts} attempts with it, "
            f"{found.other_attempts} without; support {found.support:.1f}"
        )

    def record_served(self, request: RoutedRequest) -> None:
        """Record that an endpoint served a request and did not crash under it."""
        now_ms = self._now_ms()
        self._service_served[service_key(request.service.name)] = now_ms
        for key in segment_keys(request):
            self._record_served(key, now_ms)
        self._forget_served()

    def _record_served(self, key: int, now_ms: int) -> None:
        """End the evidence against a segment or content, and its quarantine."""
        self._served[key] = now_ms
        self._served.move_to_end(key)
        suspect = self._suspects.pop(key, None)
        verdict = self._verdicts.get(key)
        if verdict is not None and verdict.item.quarantined:
            if not verdict.item.passes:
                self._release(key, now_ms, "served here")
        elif suspect is not None:
            self._clear(key, now_ms)

    def _forget_served(self) -> None:
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)

    def record_completed(self, request: RoutedRequest) -> None:
        """Record that an endpoint has finished the response to a request."""
        for segment in request.tried_segments:
            self._count_passed(segment)
        key = request_key(request)
        verdict = self._verdicts.get(key)
        suspected = key in self._suspects or verdict is not None
        if not suspected and request.sends < 2:
            return
        # Also evidence of its earlier attempts that is still to come is void.
        self._record_served(key, self._now_ms())
        self._forget_served()

    def _count_passed(self, key: int) -> None:
        """Count a whole response to a request that tried a segment.

        Endpoints may not crash under each such request, so it can take several.
        """
        verdict = self._verdicts.get(key)
        if verdict is None or not verdict.item.quarantined or not verdict.item.passes:
            return
        verdict.passed += 1
        if verdict.passed >= verdict.item.passes:
            self._release(key, self._now_ms(), "served here often")

    def request_crashes(self, request: RoutedRequest) -> set[int]:
        """Return the keys of the crashes under requests with the same content."""
        suspect = self._suspects.get(request_key(request))
        return {name[0] for name in suspect.evidence} if suspect is not None else set()

    def record_crash(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        at: float,
        *,
        responded: bool,
        alive_at: float | None = None,
        served: bool = False,
        sent_to: bool = True,
    ) -> None:
        """Record that an endpoint crashed under a request at a monotonic time.

        Parameters
        ----------
        request : RoutedRequest
            The request.
        endpoint : Endpoint
            The incarnation that crashed.
        at : float
            When the attempt broke off.
        responded : bool
            Whether the head of a response had arrived, and no event.
        alive_at : float, optional
            When the endpoint was last known to be alive, at the latest when the request
            was sent to it; ``at`` by default.
        served : bool, optional
            Whether an endpoint had served the request, so that no segment is blamed.
        sent_to : bool, optional
            Whether the request was sent to the endpoint, and not only through it, so
            that the content is blamed.
        """
        shared_clock = self._peers.shared_clock
        at_ms = shared_clock.at_ms(at)
        crash = crash_key(endpoint)
        service = service_key(request.service.name)
        own = request_key(request)
        if sent_to:
            request.crashes.add(crash)
            item = CrashEvidence(own, service, crash, own, at_ms, responded)
            alive_ms = at_ms if alive_at is None else shared_clock.at_ms(alive_at)
            self._add(item, alive_ms=alive_ms)
            # With the ends that others know it may be enough for a verdict.
            self._urgent |= len(self.request_crashes(request)) > 1
        if served:
            return
        keys = sorted(segment_keys(request), key=lambda key: key in self._served)
        prompt = tuple(keys[:MAX_PROMPT_SUSPECTS])
        for key in prompt:
            self._add(CrashEvidence(key, service, crash, own, at_ms, responded, prompt))

    def withdraw_crash(self, request: RoutedRequest, endpoint: Endpoint) -> None:
        """Take back that an endpoint ended under a request: it was silent and goes on.

        A quarantine of the content ends if the ends that are left do not suffice.
        """
        key = request_key(request)
        crash = crash_key(endpoint)
        request.crashes.discard(crash)
        suspect = self._suspects.get(key)
        if suspect is None or suspect.evidence.pop((crash, key), None) is None:
            return
        self._metrics.count("crash_evidence", "withdrawn")
        logger.info(
            "silent endpoint goes on",
            request=decode_value(request.id),
            content=f"{key:016x}",
            endpoint=endpoint.id,
            crashes=len(suspect.evidence),
        )
        fatal = is_fatal_request(_attempts(suspect.evidence.values()))
        if not suspect.evidence:
            del self._suspects[key]
        verdict = self._verdicts.get(key)
        if verdict is not None and verdict.item.quarantined and not fatal:
            decided_ms = max(self._now_ms(), verdict.item.decided_at_ms + 1)
            self._release(key, decided_ms, "silent endpoint goes on")

    def apply(
        self,
        evidence: list[CrashEvidence],
        verdicts: list[SegmentVerdict],
        ended: Iterable[EndedRequests] = (),
        runs: Iterable[SegmentRuns] = (),
    ) -> None:
        """Apply what another host knows."""
        self._spectra.apply(runs)
        for crash in ended:
            for key, waited_ms in zip_longest(crash.requests, crash.waited_ms):
                if key is None:
                    break
                item = CrashEvidence(key, 0, crash.crash, key, crash.at_ms, False)
                self._add(item, alive_ms=crash.at_ms - (waited_ms or 0))
        for item in evidence:
            prompt = item.prompt[:MAX_PROMPT_SUSPECTS] or (item.segment,)
            for key in prompt:
                served_ms = self._served.get(key, -1)
                if served_ms >= item.at_ms:
                    # The host that tells it does not know that.
                    self._clear(key, served_ms)
                self._add(msgspec.structs.replace(item, segment=key, prompt=prompt))
        for item in verdicts:
            if item.clears:
                self._clear(item.segment, item.decided_at_ms)
            else:
                self._apply_verdict(item)

    def update(self) -> None:
        """Reach verdicts and forget what is over; called periodically."""
        if self._urgent:
            self._urgent = False
            self.on_urgent_news()
        now_ms = self._now_ms()
        self._spectra.update()
        self._judge_spectra(now_ms)
        while self._suspects:
            key, suspect = next(iter(self._suspects.items()))
            if now_ms - suspect.last_at_ms <= EVIDENCE_TTL_MS:
                break
            del self._suspects[key]
        for news in (self._news, self._request_news):
            while news and now_ms - news[0].learned_ms > NEWS_MS:
                news.popleft()
        for key, cleared in list(self._cleared.items()):
            if now_ms - cleared.item.decided_at_ms > EVIDENCE_TTL_MS:
                del self._cleared[key]
        for key in list(self._judged):
            suspect = self._suspects.get(key)
            if suspect is None:
                self._judged.discard(key)
                continue
            self._judge(key, suspect, now_ms)
        for key, verdict in list(self._verdicts.items()):
            if self.is_over(verdict.item):
                del self._verdicts[key]
                logger.info("verdict forgotten", segment=f"{key:016x}")

    def evidence(self) -> list[CrashEvidence]:
        """Return the evidence to tell other hosts now, ``MAX_EVIDENCE_SENT`` at most.

        Each item is against all suspected segments of a prompt. All that is new gets
        its turn; that with more crashes gets more of them.
        """
        news = []
        for item in self._news:
            suspect = self._suspects.get(item.item.segment)
            counting = self._counting(suspect) if suspect is not None else []
            if item not in counting:
                continue
            weight = len(counting) if item.item.responded else 1
            rank = (item.sent // weight, -weight, -item.item.at_ms)
            news.append((rank, item))
        news.sort(key=lambda entry: entry[0])
        found: dict[tuple[int, int], CrashEvidence] = {}
        segments = 0
        for _, entry in news:
            item = entry.item
            name = (item.crash, item.request)
            if name in found:
                continue
            against = self._suspected(item)
            segments += len(against)
            if found and segments > MAX_SEGMENTS_SENT:
                break
            for known in against:
                known.sent += 1
            prompt = tuple(known.item.segment for known in against)
            found[name] = msgspec.structs.replace(
                item, prompt=prompt if len(prompt) > 1 else ()
            )
            if len(found) == MAX_EVIDENCE_SENT:
                break
        return list(found.values())

    def _suspected(self, item: CrashEvidence) -> list[_Evidence]:
        """Return the evidence of the same crash that is left against the prompt."""
        found = []
        for key in item.prompt:
            suspect = self._suspects.get(key)
            if suspect is None:
                continue
            entry = suspect.evidence.get((item.crash, item.request))
            if entry is not None:
                found.append(entry)
        return found

    def ended_requests(self) -> list[EndedRequests]:
        """Return the requests to tell other hosts now under which endpoints crashed.

        These are ``MAX_ENDED_SENT`` at most, in turns as in ``evidence``.
        """

        def rank(entry: _Evidence) -> tuple[int, int]:
            weight = len(self._suspects[entry.item.segment].evidence)
            return (entry.sent // weight, -weight)

        held = [entry for entry in self._request_news if self._holds(entry.item)]
        crashes: dict[int, EndedRequests] = {}
        for entry in nsmallest(MAX_ENDED_SENT, held, key=rank):
            if rank(entry)[0] >= ENDED_TELLINGS:
                break
            entry.sent += 1
            item = entry.item
            known = crashes.setdefault(
                item.crash, EndedRequests(item.crash, item.at_ms, [], [])
            )
            known.requests.append(item.request)
            known.waited_ms.append(item.at_ms - entry.alive_ms)
        return list(crashes.values())

    def _holds(self, item: CrashEvidence) -> bool:
        """Return whether evidence has not ended since it was learned."""
        suspect = self._suspects.get(item.segment)
        return suspect is not None and (item.crash, item.request) in suspect.evidence

    def runs(self) -> list[SegmentRuns]:
        """Return the counts of attempts with segments to tell other hosts now."""
        return self._spectra.counts()

    def verdicts(self) -> list[SegmentVerdict]:
        """Return the verdicts to tell other hosts now, ``MAX_VERDICTS_SENT`` at most.

        Those that are new come first, the others in turns. The segments that were
        cleared follow, ``MAX_CLEARED_SENT`` at most.
        """
        return self._verdicts_to_tell() + self._cleared_to_tell()

    def _verdicts_to_tell(self) -> list[SegmentVerdict]:
        if not self._verdicts:
            return []
        now_ms = self._now_ms()
        news, others = [], []
        for verdict in self._verdicts.values():
            recent = now_ms - verdict.learned_ms < NEWS_MS
            (news if recent else others).append(verdict.item)
        self._verdict_offset += 1
        found = []
        for group in (news, others):
            offset = self._verdict_offset % len(group) if group else 0
            found += group[offset:] + group[:offset]
        return found[:MAX_VERDICTS_SENT]

    def _cleared_to_tell(self) -> list[SegmentVerdict]:
        """Return cleared segments: first those that are new, the least told first."""
        now_ms = self._now_ms()

        def rank(cleared: _Cleared) -> tuple[bool, int]:
            return (now_ms - cleared.learned_ms >= NEWS_MS, cleared.sent)

        found = []
        for cleared in nsmallest(MAX_CLEARED_SENT, self._cleared.values(), key=rank):
            cleared.sent += 1
            found.append(cleared.item)
        return found

    def quarantined(self) -> list[SegmentVerdict]:
        """Return the verdicts on segments that hold now."""
        return [item for item in self._holding() if not item.on_request]

    def quarantined_requests(self) -> list[SegmentVerdict]:
        """Return the verdicts on requests that hold now."""
        return [item for item in self._holding() if item.on_request]

    def _holding(self) -> list[SegmentVerdict]:
        now_ms = self._now_ms()
        found = []
        for verdict in self._verdicts.values():
            if verdict.item.quarantined and now_ms < verdict.item.expires_at_ms:
                found.append(verdict.item)
        return found

    def known(self) -> list[SegmentVerdict]:
        """Return all verdicts that this host knows."""
        return [verdict.item for verdict in self._verdicts.values()]

    def is_over(self, verdict: SegmentVerdict) -> bool:
        """Return whether a verdict may be forgotten: nobody tried the segment since."""
        return self._now_ms() > verdict.expires_at_ms + self._hold_ms

    @property
    def _hold_ms(self) -> int:
        return int(self.cfg.hold_s * 1000)

    def _request_hold_ms(self, key: int) -> int:
        """Return how long a content is refused, longer than before its last trial."""
        verdict = self._verdicts.get(key)
        if verdict is None or not verdict.item.quarantined:
            return min(self._hold_ms, REQUEST_HOLD_MS)
        before_ms = verdict.item.expires_at_ms - verdict.item.decided_at_ms
        return min(self._hold_ms, before_ms * REQUEST_HOLD_GROWTH)

    def _now_ms(self) -> int:
        return self._peers.shared_clock.now_ms()

    def _counting(self, suspect: _Suspect) -> list[_Evidence]:
        """Return the evidence that counts against a segment now."""
        now_ms = self._now_ms()
        found = []
        for item in suspect.evidence.values():
            if not item.counts_from_ms <= now_ms <= item.item.at_ms + EVIDENCE_TTL_MS:
                continue
            if not item.item.responded and not item.own:
                if item.item.crash in self._explained:
                    continue
            found.append(item)
        return found

    def _served_since(self, key: int, at_ms: int) -> bool:
        """Return whether a host is known to have served a segment at a time or later.

        Other hosts may not have heard of it yet.
        """
        if self._served.get(key, -1) >= at_ms:
            return True
        verdict = self._verdicts.get(key)
        if verdict is not None and not verdict.item.quarantined:
            if verdict.item.decided_at_ms >= at_ms:
                return True
        cleared = self._cleared.get(key)
        return cleared is not None and cleared.item.decided_at_ms >= at_ms

    def _applies(self, verdict: SegmentVerdict, keys: Collection[int]) -> bool:
        """Return whether a quarantine is one of a prompt with these segments."""
        if not verdict.quarantined or verdict.segment not in keys:
            return False
        for companion in verdict.companions:
            if companion in keys:
                continue
            if self._is_tried(companion) and self._verdicts[companion].item.passes:
                # Requests with it are served now and then.
                return False
            if not self._served_since(companion, verdict.since_ms):
                return False
        return True

    def _add(self, item: CrashEvidence, *, alive_ms: int | None = None) -> None:
        """Add evidence, against the content of a request if ``alive_ms`` is given.

        That is when the request was sent to the endpoint.
        """
        now_ms = self._now_ms()
        own = alive_ms is not None
        if self._served_since(item.segment, item.at_ms):
            return
        if now_ms - item.at_ms > EVIDENCE_TTL_MS:
            return
        counts_from_ms = item.at_ms
        if not own:
            served_ms = self._served.get(item.segment)
            if served_ms is not None and item.at_ms - served_ms < SERVED_RECENTLY_MS:
                counts_from_ms += SERVED_WAIT_MS
            elif item.responded:
                self._explain(item.crash)
        suspect = self._suspects.setdefault(item.segment, _Suspect())
        self._suspects.move_to_end(item.segment)
        name = (item.crash, item.request)
        known = suspect.evidence.get(name)
        if known is not None and own:
            # Of several attempts at one endpoint any may have ended it.
            known.alive_ms = max(known.alive_ms, alive_ms)
        if known is not None and (known.item.responded or not item.responded):
            return
        if known is None:
            label = "responded" if item.responded else "waiting"
            self._metrics.count("crash_evidence", label)
        entry = _Evidence(item, counts_from_ms, now_ms, own, alive_ms or 0)
        suspect.evidence[name] = entry
        suspect.last_at_ms = max(suspect.last_at_ms, item.at_ms)
        if own:
            suspect.free_at_ms = self._draw_free_at(now_ms)
        (self._request_news if own else self._news).append(entry)
        if len(suspect.evidence) > MAX_EVIDENCE:
            del suspect.evidence[_least_useful(suspect)]
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if self._is_tried(item.segment) or len(suspect.evidence) >= MIN_EVIDENCE:
            self._judged.add(item.segment)
            self._judge(item.segment, suspect, now_ms)

    def _explain(self, crash: int) -> None:
        self._explained[crash] = None
        while len(self._explained) > MAX_SUSPECTS:
            self._explained.popitem(last=False)

    def _is_tried(self, key: int) -> bool:
        """Return whether a segment was quarantined, and is or will be tried."""
        verdict = self._verdicts.get(key)
        return verdict is not None and verdict.item.quarantined

    def _judge(self, key: int, suspect: _Suspect, now_ms: int) -> None:
        """Quarantine a segment if the evidence suffices."""
        counting = self._counting(suspect)
        evidence = [item.item for item in counting]
        own = any(item.own for item in counting)
        if not evidence or not self.cfg.enabled:
            return
        since_ms = min(item.at_ms for item in evidence)
        if self._is_tried(key):
            verdict = self._verdicts[key].item
            ended_ms = verdict.expires_at_ms
            if now_ms < ended_ms:
                self._narrow(verdict, evidence, now_ms)
                return
            # One crash during a trial is enough.
            if max(item.at_ms for item in evidence) < ended_ms:
                return
        elif own:
            if not is_fatal_request(_attempts(counting)):
                return
        elif not is_fatal(evidence):
            return
        elif self._service_served.get(evidence[0].service, -1) < since_ms:
            # While no request of the service is served, nothing tells the segment from
            # the others. Any that was served since had other segments.
            return
        companions = self._companions(key, evidence, since_ms)
        in_turn = count_ends_in_turn(_attempts(counting))
        hold_ms = self._request_hold_ms(key) if own else self._hold_ms
        self._metrics.count("verdicts", "quarantined")
        logger.warning(
            "request quarantined" if own else "prompt segment quarantined",
            segment=f"{key:016x}",
            companions=_logged_keys(companions),
            crashes=len({item.crash for item in evidence}),
            in_turn=in_turn,
            others=self._count_others(key, evidence),
            requests=len({item.request for item in evidence}),
            since_ms=now_ms - since_ms,
            seconds=hold_ms / 1000,
        )
        expires_ms = now_ms + hold_ms
        self._set(SegmentVerdict(key, since_ms, now_ms, expires_ms, companions))
        self._urgent = True
        self.on_verdict()

    def _judge_spectra(self, now_ms: int) -> None:
        """Quarantine segments that explain crashes, though requests with them pass."""
        if not self.cfg.enabled:
            return
        known = set()
        for key, verdict in self._verdicts.items():
            if verdict.item.quarantined and not verdict.item.on_request:
                known.add(key)
        self._release_unsupported(known, now_ms)
        causes = self._spectra.find_causes(known)
        for key, found in causes.items():
            times_ms = self._spectra.crashes(key).values()
            if not times_ms:
                # It was forgotten while it waited for the counts of other hosts.
                continue
            verdict = self._verdicts.get(key)
            if verdict is not None and max(times_ms) <= verdict.item.decided_at_ms:
                # It was released, and no endpoint has crashed since.
                continue
            companions = tuple(other for other in causes if other != key)
            passes = found.count_to_release()
            self._metrics.count("verdicts", "quarantined")
            logger.warning(
                "prompt segment quarantined",
                segment=f"{key:016x}",
                companions=_logged_keys(companions),
                weighed=self._logged_spectrum(key),
                passes=passes,
                since_ms=now_ms - min(times_ms),
                seconds=self.cfg.hold_s,
            )
            expires_ms = now_ms + self._hold_ms
            companions = companions[:MAX_PROMPT_SUSPECTS]
            self._set(
                SegmentVerdict(
                    key, min(times_ms), now_ms, expires_ms, companions, passes
                )
            )
            self._urgent = True
            self.on_verdict()

    def _release_unsupported(self, keys: Iterable[int], now_ms: int) -> None:
        """Release segments that explain the crashes no better than chance any more."""
        for key in keys:
            verdict = self._verdicts[key]
            if not verdict.item.passes or now_ms >= verdict.item.expires_at_ms:
                continue
            found = self._spectra.spectrum(key)
            if found.crashed < MIN_CRASHED:
                # The crashes for which it was quarantined are forgotten.
                continue
            if found.support < MIN_LEAD:
                self._release(key, now_ms, "does not explain the crashes")

    def _count_others(self, key: int, evidence: Sequence[CrashEvidence]) -> int:
        """Return how many other suspects have evidence of one of the same crashes."""
        crashes = {item.crash for item in evidence}
        count = 0
        for other, suspect in self._suspects.items():
            if other == key:
                continue
            count += any(crash in crashes for crash, _ in suspect.evidence)
        return count

    def _companions(
        self, key: int, evidence: Sequence[CrashEvidence], since_ms: int
    ) -> tuple[int, ...]:
        """Return the segments without which one is not known to crash endpoints."""
        found = []
        for other in dict.fromkeys(chain.from_iterable(i.prompt for i in evidence)):
            if other == key or self._served_since(other, since_ms):
                continue
            if needs_companion(other, evidence):
                found.append(other)
        return tuple(found[:MAX_PROMPT_SUSPECTS])

    def _narrow(
        self, verdict: SegmentVerdict, evidence: Sequence[CrashEvidence], now_ms: int
    ) -> None:
        """Quarantine a segment without the companions that are not needed."""
        companions = []
        for other in verdict.companions:
            if needs_companion(other, evidence):
                companions.append(other)
        if len(companions) == len(verdict.companions):
            return
        self._metrics.count("verdicts", "narrowed")
        logger.warning(
            "quarantine narrowed",
            segment=f"{verdict.segment:016x}",
            companions=_logged_keys(companions),
            crashes=len({item.crash for item in evidence}),
        )
        decided_ms = max(now_ms, verdict.decided_at_ms + 1)
        self._set(
            msgspec.structs.replace(
                verdict, decided_at_ms=decided_ms, companions=tuple(companions)
            )
        )
        self._urgent = True
        self.on_verdict()

    def _apply_verdict(self, item: SegmentVerdict) -> None:
        """Apply another host's verdict unless this host has a later one."""
        known = self._verdicts.get(item.segment)
        if known is not None and known.item.rank >= item.rank:
            return
        now_ms = self._now_ms()
        # The settings or the clock of the other host may differ.
        latest_ms = now_ms + self._hold_ms
        if item.expires_at_ms > latest_ms:
            item = msgspec.structs.replace(item, expires_at_ms=latest_ms)
        if self.is_over(item):
            return
        served_ms = self._served.get(item.segment, 0)
        if item.quarantined and not item.passes and served_ms > item.since_ms:
            decided_ms = max(now_ms, item.decided_at_ms + 1)
            self._release(item.segment, decided_ms, "served here since")
            return
        if item.quarantined != (known is not None and known.item.quarantined):
            self._metrics.count("verdicts", "heard")
            logger.info(
                "prompt segment quarantined elsewhere"
                if item.quarantined
                else "prompt segment released elsewhere",
                segment=f"{item.segment:016x}",
            )
        self._set(item)

    def _release(self, key: int, now_ms: int, cause: str) -> None:
        """End the quarantine of a segment that an endpoint served."""
        self._metrics.count("verdicts", "released")
        logger.info("prompt segment released", segment=f"{key:016x}", cause=cause)
        self._set(SegmentVerdict(key, 0, now_ms, now_ms))
        self.on_verdict()

    def _clear(self, key: int, at_ms: int) -> None:
        """Drop the evidence against a segment that a host served, and pass that on.

        A quarantine is not ended: the host that served the segment releases it.
        """
        now_ms = self._now_ms()
        # The clock of the other host may differ.
        at_ms = min(at_ms, now_ms)
        if now_ms - at_ms > EVIDENCE_TTL_MS:
            return
        known = self._cleared.get(key)
        if known is not None and known.item.decided_at_ms >= at_ms:
            return
        suspect = self._suspects.get(key)
        if suspect is not None:
            for name, entry in list(suspect.evidence.items()):
                if entry.item.at_ms <= at_ms:
                    del suspect.evidence[name]
            if not suspect.evidence:
                del self._suspects[key]
        self._cleared[key] = _Cleared(SegmentVerdict(key, at_ms, at_ms, at_ms), now_ms)
        self._cleared.move_to_end(key)
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def _set(self, item: SegmentVerdict) -> None:
        self._verdicts[item.segment] = _Verdict(item, self._now_ms())
        self._verdicts.move_to_end(item.segment)
        while len(self._verdicts) > MAX_VERDICTS:
            oldest = next(iter(self._verdicts))
            for key, verdict in self._verdicts.items():
                if not verdict.item.quarantined:
                    oldest = key
                    break
            del self._verdicts[oldest]
        if not item.quarantined:
            self._suspects.pop(item.segment, None)
            return
        for stream in list(self._directory.active_streams):
            if stream.first_event_seen or stream.resumed:
                # Its caller has events, so it is not given up.
                continue
            if self._applies(item, stream.segment_keys):
                stream.request_move("a quarantine of its prompt or content")

    def _may_try(self, verdict: _Verdict, now_ms: int) -> bool:
        """Take this host's trial of a segment whose quarantine has ended, if any."""
        slot = now_ms // TRIAL_INTERVAL_MS
        if verdict.trial_slot == slot:
            return False
        key = f"trial/{verdict.item.segment}/{slot}"
        if not self._peers.shares.owns(key):
            return False
        verdict.trial_slot = slot
        logger.info("prompt segment tried", segment=f"{verdict.item.segment:016x}")
        return True


def _shared_ms(shared_clock: SharedClock, at: float | None) -> int | None:
    return None if at is None else shared_clock.at_ms(at)


def _attempts(evidence: Iterable[_Evidence]) -> list[EndedAttempt]:
    """Return the attempts with one content that ended with their endpoints."""
    found = []
    for entry in evidence:
        if entry.own:
            found.append(EndedAttempt(entry.alive_ms, entry.item.at_ms))
    return found


def _least_useful(suspect: _Suspect) -> tuple[int, int]:
    """Return the name of the evidence to drop: of the crash that has most of it.

    Requests that waited go first; what is left has many crashes.
    """
    per_crash = Counter(item.item.crash for item in suspect.evidence.values())

    def rank(name: tuple[int, int]) -> tuple[bool, int]:
        item = suspect.evidence[name].item
        return (item.responded, -per_crash[item.crash])

    return min(suspect.evidence, key=rank)


def segment_keys(request: RoutedRequest) -> tuple[int, ...]:
    """Return the 64-bit keys of the shared segments of a request's prompt.

    They stand for a segment at one service: a prompt that one model cannot process may
    be sound for another.
    """
    if request.segment_keys is None:
        keys = []
        for segment in dict.fromkeys(request.segments.shared):
            text = f"{request.service.name}/{segment}".encode()
            keys.append(int.from_bytes(blake2b(text, digest_size=8).digest()))
        request.segment_keys = tuple(keys)
    return request.segment_keys


def request_key(request: RoutedRequest) -> int:
    """Return a 32-bit key of a request's content, which repeats by its caller have too.

    It stands for the own segment of its prompt at a service, or for the whole content
    if the request states none.
    """
    if request.key is None:
        content = request.segments.own.encode() or _content(request)
        text = b"%b//%b" % (request.service.name.encode(), content)
        request.key = zlib.crc32(text)
    return request.key


def _logged_keys(keys: Sequence[int]) -> list[str]:
    """Return the first keys, as written in log lines."""
    return [f"{key:016x}" for key in keys[:MAX_LOGGED_SEGMENTS]]


def suspect_keys(request: RoutedRequest) -> tuple[int, ...]:
    """Return the keys of the content and the shared segments of a request."""
    return (*segment_keys(request), request_key(request))


def _content(request: RoutedRequest) -> bytes:
    """Return what repeats of a request have in common, and few others have."""
    customer = request.customer.name if request.customer is not None else ""
    head = b"%b %b" % (request.head.method, request.head.target)
    return b"\n".join((customer.encode(), head, request.body))


def crash_key(endpoint: Endpoint) -> int:
    """Return a 32-bit key of the end of an endpoint's incarnation."""
    return zlib.crc32(b"%d" % endpoint.started_ms, endpoint_key(endpoint.id))


__all__ = [
    "FATAL_REQUEST_TEXT",
    "QUARANTINED_TEXT",
    "CrashCount",
    "Quarantine",
    "crash_key",
    "request_key",
    "segment_keys",
    "suspect_keys",
]
