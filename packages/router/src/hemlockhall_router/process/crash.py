"""Attempts that ended together with an endpoint."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.message import RequestHead
from hemlockhall_router.policy.crash import MAX_REQUEST_CRASHES
from hemlockhall_router.process.directory import PAUSE_LIMIT_S
from hemlockhall_router.process.quarantine import crash_key, request_key
from hemlockhall_router.request.failure import AttemptFailedError, decode_value
from hemlockhall_router.request.reason import RetryReason

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.process.quarantine import Quarantine
    from hemlockhall_router.request.relay import RoutedRequest
    from hemlockhall_router.version.endpoint import Endpoint

# Time after a broken attempt in which its endpoint must be found down, or restarted, to
# count as crashed: its next start may first show in the store.
CONFIRMATION_S = 3.0
# Interval of looking whether it is, before a request may be sent again.
SETTLE_INTERVAL_S = 0.02
# Attempts that wait for it.
MAX_PENDING = 2048
# Time for which a silent endpoint that goes on takes back that it counts as ended.
WITHDRAWAL_S = 600.0
# Interval of looking whether one does: there may be thousands of attempts.
WITHDRAWAL_INTERVAL_S = 0.2
# Longest time that an endpoint is known not to have been heard.
MAX_UNHEARD_S = 600.0
# Time to wait for the answer to a probe before a request is sent.
HEARD_TIMEOUT_S = 0.6


@dataclass(slots=True)
class _BrokenAttempt:
    """An attempt that broke off, or fell silent, at ``at``, a monotonic time.

    ``endpoints`` may have crashed. The request was sent to ``first`` at ``sent_at``,
    which closed the connection if ``closed`` is true, and ``found_at`` is when this
    host found that. ``served`` is true if an endpoint had served the request before,
    and at ``ran_at``, if at all, it had sent events for some time in this attempt. If
    ``answered`` is true, ``first`` had begun to respond to it. From ``lost_at`` on the
    endpoint counts as ended for its silence, which is taken back if it goes on. The
    attempt is dropped at ``deadline``.
    """

    request: RoutedRequest
    first: Endpoint
    endpoints: Sequence[Endpoint]
    responded: bool
    answered: bool
    served: bool
    ran_at: float | None
    closed: bool
    sent_at: float
    at: float
    found_at: float
    deadline: float
    lost_at: float | None = None


class CrashWatch:
    """Finds which endpoints crashed under requests.

    Parameters
    ----------
    directory : Directory
        Says which endpoints have ended.
    metrics : Metrics
        Counts the attempts.
    clock : callable
        Returns the monotonic time in seconds.
    quarantine : Quarantine
        Gets the crashes as evidence.
    request_probes : callable
        Queues endpoints, by id, for a probe.
    """

    def __init__(
        self,
        directory: Directory,
        metrics: Metrics,
        clock: Callable[[], float],
        quarantine: Quarantine,
        request_probes: Callable[[list[str]], None],
    ) -> None:
        self._directory = directory
        self._metrics = metrics
        self._quarantine = quarantine
        self._request_probes = request_probes
        self._clock = clock
        self._updated_at = float("-inf")
        self._pending: list[_BrokenAttempt] = []
        self._lost: deque[_BrokenAttempt] = deque(maxlen=MAX_PENDING)
        self._withdrawals_due_at = float("-inf")
        # By the keys of their requests.
        self._pending_by_request: dict[int, list[_BrokenAttempt]] = {}

    def record_attempt(
        self,
        request: RoutedRequest,
        endpoints: Sequence[Endpoint],
        *,
        responded: bool,
        answered: bool = False,
        served: bool = False,
        ran_at: float | None = None,
        closed: bool = True,
        at: float | None = None,
    ) -> None:
        """Record an attempt that broke off or fell silent.

        Parameters
        ----------
        request : RoutedRequest
            The request.
        endpoints : sequence of Endpoint
            Those of which one may have crashed, as they were when it was sent to the
            first of them.
        responded : bool
            Whether the head of a response had arrived, and no event.
        answered : bool
            Whether the first endpoint had begun to respond, with or without events.
        served : bool
            Whether an endpoint had served the request before, or had sent events for
            some time.
        ran_at : float, optional
            When it had sent events for some time in this attempt, a monotonic time.
        closed : bool
            Whether the connection to the first endpoint broke.
        at : float, optional
            The monotonic time of the last sign of life; now by default.
        """
        if len(self._pending) >= MAX_PENDING:
            self._metrics.count("crash_attempts", "left_out")
            return
        now = self._clock()
        staying = []
        for endpoint in endpoints:
            if not self._directory.is_leaving(endpoint):
                staying.append(endpoint)
        if at is None:
            at = now
        key = request_key(request)
        # Without what may be large.
        head = RequestHead(request.head.method, request.head.target, [])
        request = replace(request, head=head, body=b"", caller=None)
        attempt = _BrokenAttempt(
            request,
            endpoints[0],
            staying,
            responded,
            answered,
            served,
            ran_at,
            closed,
            min(at, request.sent_at.get(endpoints[0].id, at)),
            at,
            now,
            now + CONFIRMATION_S,
        )
        self._pending.append(attempt)
        self._pending_by_request.setdefault(key, []).append(attempt)

    async def settle(self, request: RoutedRequest, endpoint: Endpoint) -> None:
        """Wait until a request may be sent to an endpoint, as far as ends matter.

        While an endpoint is silent under the content, another one gets it only if it
        gave a sign of life since: all may be silent, for a cause of their own.

        Then it must be known whether too many endpoints ended under the request.
        Connections that broke count as ends until the endpoint answers a probe, and for
        ``CONFIRMATION_S`` at most. A content that may be the cause is tried by one
        request after the other. Returns at once if too few endpoints ended.

        Raises
        ------
        AttemptFailedError
            If the endpoint gives no sign of life, or the request's deadline passed or
            it was quarantined meanwhile.
        """
        await self._wait_until_heard(request, endpoint)
        while self._undecided(request) or not self._quarantine.may_send(request):
            if self._quarantine.refusal(request) is not None:
                raise AttemptFailedError(
                    RetryReason.QUARANTINED,
                    "the request or a segment of its prompt crashes endpoints",
                    may_have_run=False,
                )
            if request.remaining_s <= 0:
                raise AttemptFailedError(
                    RetryReason.QUARANTINED,
                    "endpoints ended under the content, which is being tried",
                    may_have_run=False,
                )
            await anyio.sleep(SETTLE_INTERVAL_S)
            if self._clock() - self._updated_at >= SETTLE_INTERVAL_S:
                self.update()

    async def _wait_until_heard(
        self, request: RoutedRequest, endpoint: Endpoint
    ) -> None:
        deadline = min(request.deadline, self._clock() + HEARD_TIMEOUT_S)
        while not self._heard_since_silence(request, endpoint):
            if self._clock() >= deadline or self._directory.is_silent(endpoint):
                raise AttemptFailedError(
                    RetryReason.UNHEARD,
                    "no sign of life since another endpoint fell silent under it",
                    may_have_run=False,
                )
            self._request_probes([endpoint.id])
            await anyio.sleep(SETTLE_INTERVAL_S)

    def _heard_since_silence(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        """Return whether an endpoint was heard since others are silent under a content.

        It was if none of them is, or if it has the request already.
        """
        if not self._pending_by_request:
            return True
        found_at = float("-inf")
        for attempt in self._pending_by_request.get(request_key(request), ()):
            if attempt.closed or attempt.first.incarnation == endpoint.incarnation:
                continue
            if self._may_have_ended(attempt):
                found_at = max(found_at, attempt.found_at)
        return self._directory.heard_at(endpoint) >= found_at

    def _alive_at(self, attempt: _BrokenAttempt) -> float:
        """Return when the first endpoint was known to be alive, for the last time.

        A broken connection was alive when the request was sent. An endpoint that is
        silent may have been so before.
        """
        if attempt.closed:
            return attempt.sent_at
        heard_at = self._directory.heard_at(attempt.first)
        return max(attempt.at - MAX_UNHEARD_S, min(attempt.sent_at, heard_at))

    def _undecided(self, request: RoutedRequest) -> bool:
        """Return whether attempts may have ended the endpoints that are still allowed.

        That is so for attempts of all requests with the same content.
        """
        if not self._pending_by_request:
            return False
        open_crashes = set()
        for attempt in self._pending_by_request.get(request_key(request), ()):
            if self._may_have_ended(attempt):
                open_crashes.add(crash_key(attempt.first))
        if not open_crashes:
            return False
        known = self._quarantine.request_crashes(request)
        if open_crashes <= known:
            return False
        return len(known | open_crashes) >= MAX_REQUEST_CRASHES

    def _may_have_ended(self, attempt: _BrokenAttempt) -> bool:
        """Return whether the first endpoint broke off or is silent, and not heard."""
        if attempt.first not in attempt.endpoints:
            return False
        if not attempt.closed and not self._directory.is_silent(attempt.first):
            return False
        return not self._directory.has_answered_since(attempt.first, attempt.at)

    def _is_lost(self, attempt: _BrokenAttempt, now: float) -> bool:
        """Return whether the first endpoint is silent for longer than a pause."""
        if now - attempt.at < PAUSE_LIMIT_S or not self._may_have_ended(attempt):
            return False
        return self._directory.is_silent(attempt.first)

    def update(self) -> None:
        """Look for the endpoints of broken attempts; called periodically."""
        now = self._updated_at = self._clock()
        self._withdraw_ends(now)
        waiting = []
        for attempt in self._pending:
            endpoint = self._crashed_endpoint(attempt)
            if endpoint is not None:
                self._record_crash(attempt, endpoint)
                continue
            if attempt.lost_at is None and self._is_lost(attempt, now):
                attempt.lost_at = now
                self._lost.append(attempt)
                self._record_lost(attempt)
            if now < attempt.deadline:
                waiting.append(attempt)
                self._probe(attempt)
                continue
            if attempt.lost_at is None:
                self._metrics.count("crash_attempts", "endpoint_lives")
        self._pending = waiting
        self._pending_by_request = {}
        for attempt in waiting:
            key = request_key(attempt.request)
            self._pending_by_request.setdefault(key, []).append(attempt)

    def _withdraw_ends(self, now: float) -> None:
        """Take back ends of endpoints that were silent and go on."""
        if now < self._withdrawals_due_at:
            return
        self._withdrawals_due_at = now + WITHDRAWAL_INTERVAL_S
        for _ in range(len(self._lost)):
            attempt = self._lost.popleft()
            assert attempt.lost_at is not None
            if self._directory.heard_at(attempt.first) > attempt.lost_at:
                self._quarantine.withdraw_crash(attempt.request, attempt.first)
                continue
            if self._directory.has_crashed(attempt.first):
                continue
            if now - attempt.lost_at < WITHDRAWAL_S:
                self._lost.append(attempt)

    def _probe(self, attempt: _BrokenAttempt) -> None:
        """Let an endpoint that broke off an attempt be probed again.

        The probe at the end of the attempt may have been left out, as it followed
        another too soon. One answer is enough if the prompt was served before. The
        endpoints of a silent path are probed anyway.
        """
        if not attempt.closed:
            return
        proven = attempt.served or self._quarantine.is_proven(attempt.request)
        if proven and self._directory.has_answered_since(attempt.first, attempt.at):
            return
        self._request_probes([endpoint.id for endpoint in attempt.endpoints])

    def _crashed_endpoint(self, attempt: _BrokenAttempt) -> Endpoint | None:
        for endpoint in attempt.endpoints:
            if self._directory.has_crashed(endpoint):
                return endpoint
        return None

    def _record_lost(self, attempt: _BrokenAttempt) -> None:
        """Count an endpoint without a sign of life as ended under the request.

        It may go on, so no segment is blamed.
        """
        request = attempt.request
        self._metrics.count("crash_attempts", "silent")
        alive_at = self._alive_at(attempt)
        logger.warning(
            "endpoint silent under request",
            request=decode_value(request.id),
            content=f"{request_key(request):016x}",
            route=request.route.name,
            endpoint=attempt.first.id,
            waited_ms=round((attempt.at - attempt.sent_at) * 1000),
            unheard_ms=round((attempt.sent_at - alive_at) * 1000),
        )
        self._quarantine.record_crash(
            request,
            attempt.first,
            attempt.at,
            alive_at=alive_at,
            responded=False,
            served=True,
        )

    def _record_crash(self, attempt: _BrokenAttempt, endpoint: Endpoint) -> None:
        label = "responded" if attempt.responded else "waiting"
        if attempt.served:
            label = "served"
        self._metrics.count("crash_attempts", label)
        request = attempt.request
        logger.warning(
            "endpoint crashed under request",
            request=decode_value(request.id),
            content=f"{request_key(request):016x}",
            route=request.route.name,
            endpoint=endpoint.id,
            started_ms=endpoint.started_ms,
            responded=attempt.responded,
            served=attempt.served,
            waited_ms=round((attempt.at - attempt.sent_at) * 1000),
            after_ms=round((self._clock() - attempt.at) * 1000),
            segments=request.segments.logged,
        )
        sent_to = endpoint.incarnation == attempt.first.incarnation
        self._quarantine.record_crash(
            request,
            endpoint,
            attempt.at,
            alive_at=self._alive_at(attempt),
            responded=attempt.responded,
            served=attempt.served,
            sent_to=sent_to,
        )
        self._quarantine.weigh_crash(
            request,
            endpoint,
            attempt.at,
            answered_at=attempt.sent_at if sent_to and attempt.answered else None,
            ran_at=attempt.ran_at,
        )


__all__ = [
    "CrashWatch",
]
