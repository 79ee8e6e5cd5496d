"""What endpoints state of themselves in their responses, as known to this host."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_router.policy.rest import Rest
from hemlockhall_router.process.directory import STATED_LEAVING_TTL_S
from hemlockhall_router.process.setting import RestSection
from hemlockhall_router.request.failure import AttemptFailedError
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_router.version.endpoint import EndpointStatement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.connection.message import ResponseHead
    from hemlockhall_router.process.dialect import Dialect
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.process.limits import EndpointLimits
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.version.endpoint import Endpoint

# Time after the end of a rest in which the endpoint gets more requests step by step.
# After it the endpoint gets requests like any other.
RETURN_TTL_S = 30.0
# Callers that are refused while endpoints rest are told to come back at different times
# within as many seconds of the end.
CALLER_SPREAD_S = 0.5


class EndpointsRestingError(Exception):
    """A request cannot be sent as endpoints asked for rest.

    Parameters
    ----------
    endpoint_ids : iterable of str
        The endpoints that rest.
    deadline : float
        Monotonic time from which a request can be sent.
    """

    def __init__(self, endpoint_ids: Iterable[str], deadline: float) -> None:
        self.endpoint_ids = frozenset(endpoint_ids)
        super().__init__(f"{len(self.endpoint_ids)} endpoints asked for rest")
        self.deadline = deadline


@dataclass(slots=True)
class _Resting:
    """An endpoint that asked this host for rest.

    ``sent`` counts the requests that this host sent to it since.
    """

    label: str
    rest: Rest
    sent: int = 0


@dataclass(slots=True)
class _Leaving:
    """An endpoint that stated that it leaves; it is remembered until ``deadline``.

    ``sent`` counts the requests that this host sent to it since.
    """

    label: str
    since: float
    deadline: float
    sent: int = 0


class EndpointStatements:
    """The statements of endpoints, by incarnation.

    Parameters
    ----------
    dialect : Dialect
        Decodes the statement in a response.
    directory : Directory
        Keeps which endpoints leave.
    limits : EndpointLimits
        Keeps the request limits that endpoints state.
    metrics : Metrics
        Counts statements; has gauges of each endpoint that rests or leaves.
    clock : callable
        Returns the monotonic time in seconds.
    cfg : RestSection, optional
        The settings; may be replaced, and then holds for later statements.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        limits: EndpointLimits,
        metrics: Metrics,
        clock: Callable[[], float],
        cfg: RestSection | None = None,
    ) -> None:
        self.cfg = cfg or RestSection()
        self._dialect = dialect
        self._directory = directory
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self._resting: dict[tuple[str, int], _Resting] = {}
        self._leaving: dict[tuple[str, int], _Leaving] = {}

    @property
    def any_resting(self) -> bool:
        """Whether an endpoint asked this host for rest."""
        return bool(self._resting)

    def send_at(self, endpoint: Endpoint) -> float:
        """Return the monotonic time from which a request may be sent, 0.0 if now."""
        resting = self._resting.get(endpoint.incarnation) if self._resting else None
        now = self._clock()
        if resting is None or resting.rest.may_send(now):
            return 0.0
        return resting.rest.next_at(now)

    def may_call(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's control API may be called now."""
        resting = self._resting.get(endpoint.incarnation) if self._resting else None
        return resting is None or self._clock() >= resting.rest.deadline

    def check_send(self, endpoints: Iterable[Endpoint]) -> None:
        """Raise ``AttemptFailedError`` if a request must not be sent to one of them."""
        for endpoint in endpoints:
            if not self._directory.may_send(endpoint):
                raise AttemptFailedError(
                    RetryReason.LEAVING,
                    "the endpoint leaves",
                    may_have_run=False,
                    suspects=[endpoint.id],
                )
            if self.send_at(endpoint):
                raise AttemptFailedError(
                    RetryReason.RESTING,
                    "the endpoint asked for rest",
                    may_have_run=False,
                    suspects=[endpoint.id],
                )

    def retry_after_s(self, deadline: float) -> float:
        """Return the seconds after which to tell a caller to come back.

        ``deadline`` is the monotonic time from which a request can be sent.
        """
        spread_s = random.uniform(0.0, CALLER_SPREAD_S)  # noqa: S311
        return max(0.0, deadline - self._clock()) + spread_s

    def record_response(
        self, endpoint: Endpoint, head: ResponseHead
    ) -> EndpointStatement:
        """Record and return what a response says about the endpoint that sent it."""
        # 421 (Misdirected Request): another endpoint has the address.
        if head.status == 421:
            return EndpointStatement(rejected=True)
        self._directory.record_heard(endpoint)
        statement = self._dialect.decode_statement(head)
        for label, cause in statement.errors.items():
            self._metrics.count("statements_unreadable", label)
            logger.warning(
                "statement not readable", endpoint=endpoint.id, about=label, cause=cause
            )
        self._limits.record_statement(endpoint, statement)
        if statement.rest_s > 0:
            self.record_rest(endpoint, statement)
        if statement.leaving:
            self._record_leaving(endpoint)
        return statement

    def record_sent(self, endpoints: Iterable[Endpoint]) -> None:
        """Record a request that is sent to an endpoint, or through several."""
        now = self._clock()
        for endpoint in endpoints:
            self._count_sent(endpoint)
            resting = self._resting.get(endpoint.incarnation)
            if resting is not None:
                resting.rest.record_sent(now)

    def record_call(self, endpoint: Endpoint) -> None:
        """Record a call of an endpoint's control API.

        Unlike a request it does not show whether the endpoint accepts requests again.
        """
        self._count_sent(endpoint)

    def record_accepted(self, endpoints: Iterable[Endpoint]) -> None:
        """Record that an endpoint, or each of several, accepted a request."""
        if not self._resting:
            return
        now = self._clock()
        for endpoint in endpoints:
            resting = self._resting.get(endpoint.incarnation)
            if resting is not None:
                resting.rest.record_accepted(now)

    def expire(self) -> None:
        """Forget the statements whose time is over; called periodically."""
        now = self._clock()
        for key, resting in list(self._resting.items()):
            rest = resting.rest
            if now < rest.deadline + RETURN_TTL_S and not rest.over:
                continue
            del self._resting[key]
            self._metrics.remove_gauges(resting.label, "endpoint_rest")
            logger.info("endpoint rest ended", endpoint=key[0], sent=resting.sent)
        for key, leaving in list(self._leaving.items()):
            if now < leaving.deadline:
                continue
            del self._leaving[key]
            self._metrics.remove_gauges(leaving.label, "endpoint_leaving")

    def record_rest(self, endpoint: Endpoint, statement: EndpointStatement) -> None:
        """Record that an endpoint, or one that it names, asks for rest."""
        rest_s = min(self.cfg.max_s, statement.rest_s)
        now = self._clock()
        resting = self._resting.get(endpoint.incarnation)
        self._metrics.count("statements", "rest")
        logger.info(
            "endpoint asks for rest",
            endpoint=endpoint.id,
            stated_s=round(statement.rest_s, 3),
            seconds=round(rest_s, 3),
            sent=resting.sent if resting else 0,
        )
        if resting is not None:
            resting.rest.extend(now, rest_s)
            return
        resting = _Resting(endpoint.id, Rest())
        resting.rest.extend(now, rest_s)
        self._resting[endpoint.incarnation] = resting
        add, label = self._metrics.add_gauge, resting.label
        add(
            "endpoint_rest_seconds",
            label,
            lambda: max(0.0, resting.rest.deadline - self._clock()),
        )
        add("endpoint_rest_sent", label, lambda: resting.sent)

    def _count_sent(self, endpoint: Endpoint) -> None:
        for stated in (
            self._resting.get(endpoint.incarnation),
            self._leaving.get(endpoint.incarnation),
        ):
            if stated is not None:
                stated.sent += 1

    def _record_leaving(self, endpoint: Endpoint) -> None:
        now = self._clock()
        self._directory.record_leaving(endpoint)
        leaving = self._leaving.get(endpoint.incarnation)
        if leaving is not None:
            leaving.deadline = now + STATED_LEAVING_TTL_S
            return
        leaving = _Leaving(endpoint.id, now, now + STATED_LEAVING_TTL_S)
        self._leaving[endpoint.incarnation] = leaving
        self._metrics.count("statements", "leaving")
        add, label = self._metrics.add_gauge, leaving.label
        add("endpoint_leaving_seconds", label, lambda: self._clock() - leaving.since)
        add("endpoint_leaving_sent", label, lambda: leaving.sent)


__all__ = [
    "EndpointStatements",
    "EndpointsRestingError",
]
