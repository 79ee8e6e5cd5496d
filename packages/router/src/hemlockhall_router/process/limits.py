"""Request limits that endpoints state, kept by all hosts together.

A host may send a request to a limited endpoint only with a permit. Each slot of the
endpoint's schedule belongs to at most one host (see ``membership/share.py``), which
gets the permits of the slot when it starts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil
from typing import TYPE_CHECKING, Protocol

import anyio
from loguru import logger

from hemlockhall_router.membership.message import RequestLimit, endpoint_key
from hemlockhall_router.membership.turn import take_turn
from hemlockhall_router.policy.permit import PermitSchedule
from hemlockhall_router.process.setting import LimitsSection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hemlockhall_router.membership.clock import SharedClock
    from hemlockhall_router.membership.share import Shares
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.process.metric import Metrics
    from hemlockhall_router.version.endpoint import Endpoint, EndpointStatement

# Seconds for which the requests sent to a limited endpoint are counted.
SENT_WINDOW_S = 4.0
# Seconds for which the requests of callers count as demand, and the shortest time from
# which the demand is estimated.
DEMAND_WINDOW_S = 4.0
MIN_DEMAND_WINDOW_S = 1.0
# Seconds for which the highest level of demand is kept. Until all hosts know of a
# change, slots are lost, and the requests of a few seconds vary by themselves.
LEVEL_HOLD_S = 10.0
MAX_DEMAND_LEVEL = 16
# Limits in one message. Those beyond it are sent in later messages.
MAX_LIMITS = 8
# Seconds for which hosts tell each other that an endpoint states no limit any more.
ENDED_TTL_S = 10.0
# Seconds after its last statement for which the limit of an endpoint that is not known
# is kept.
UNKNOWN_TTL_S = 30.0
# Seconds of slots ahead in which the time of the next permit is looked for; also the
# time after which a caller is told to come back if this host owns none of these slots.
LOOK_AHEAD_S = 4.0
# Slots that are looked at for it, and the seconds for which the result is kept: a draw
# costs processor time, and many requests may be refused at once.
LOOK_AHEAD_SLOTS = 64
LOOK_AHEAD_TTL_S = 1.0
# Weight of the newest slot in the moving average of the fraction of owned slots.
SHARE_WEIGHT = 0.05


class NoPermitError(Exception):
    """All endpoints that could receive the request have a limit and no permit is left.

    Parameters
    ----------
    endpoints : list of Endpoint
        These endpoints.
    """

    def __init__(self, endpoints: list[Endpoint]) -> None:
        super().__init__(f"no permit for any of {len(endpoints)} endpoints")
        self.endpoints = endpoints


@dataclass(slots=True)
class Permit:
    """A permit that was taken to send one request; ``limited`` is None without a limit.

    It expires at ``expires_at`` of the shared clock.
    """

    limited: _Limited | None = None
    expires_at: float = 0.0


class Peers(Protocol):
    """What the other hosts make known; implemented by ``Membership``."""

    @property
    def shared_clock(self) -> SharedClock:
        """The clock on which the hosts agree."""
        ...

    @property
    def shares(self) -> Shares:
        """Which slots this host owns."""
        ...


@dataclass(slots=True)
class _Limited:
    """An endpoint that states a limit.

    ``permits`` holds the times on the shared clock at which the unused permits expire.
    ``promised_slot`` is the last slot with a permit for which a caller was told to come
    back, ``promised`` the number of such callers. ``upcoming`` are the next slots of
    this host, as found until ``upcoming_deadline``. ``since`` is a time on the shared
    clock, as are that deadline and the times in ``sent_at``.
    """

    label: str
    statement: RequestLimit
    schedule: PermitSchedule
    since: float
    permits: deque[float] = field(default_factory=deque)
    promised_slot: int = -1
    promised: int = 0
    upcoming: list[int] = field(default_factory=list)
    upcoming_deadline: float = 0.0
    share: float = 0.0
    sent_at: deque[float] = field(default_factory=deque)


class EndpointLimits:
    """The limits that endpoints state, and this host's permits for these endpoints.

    Parameters
    ----------
    directory : Directory
        The known endpoints.
    peers : Peers
        Says which slots this host owns.
    metrics : Metrics
        Counts statements and requests without a permit; has gauges of each limited
        endpoint.
    clock : callable
        Returns the monotonic time in seconds.
    cfg : LimitsSection, optional
        The settings; may be replaced, and then holds for limits stated later.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        metrics: Metrics,
        clock: Callable[[], float],
        cfg: LimitsSection | None = None,
    ) -> None:
        self.cfg = cfg or LimitsSection()
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._limited: dict[tuple[int, int], _Limited] = {}
        self._ended: dict[tuple[int, int], RequestLimit] = {}
        self._requested_at: deque[float] = deque()
        self._level = 0
        self._level_deadline = 0.0
        self._turn = 0
        self._waiting: deque[anyio.Event] = deque()
        self._started_at = self._issued_at = clock()
        self._issued_until = 0.0

    @property
    def active(self) -> bool:
        """Whether any endpoint has a limit."""
        return bool(self._limited)

    def record_statement(
        self, endpoint: Endpoint, statement: EndpointStatement
    ) -> None:
        """Record the limit that a response states, if any.

        The response to an executed request that states none ends the limit.
        """
        if "request_limit" in statement.errors:
            self._metrics.count("limit_statements", "unreadable")
            return
        key = _key(endpoint)
        limited = self._limited.get(key)
        rate = statement.request_limit
        if rate is None and (not statement.executed or limited is None):
            return
        stated_at_ms = self._peers.shared_clock.now_ms()
        if limited is not None:
            stated_at_ms = max(stated_at_ms, limited.statement.stated_at_ms + 1)
        self._apply(RequestLimit(*key, rate, stated_at_ms), "response")

    def apply(self, statements: Iterable[RequestLimit]) -> None:
        """Apply the statements that another host knows."""
        for statement in statements:
            self._apply(statement, "host")

    def statements(self) -> list[RequestLimit]:
        """Return the statements to tell the other hosts, at most ``MAX_LIMITS``.

        Those of endpoints that state no limit any more come first. If there are more,
        the next call returns the next ones.
        """
        found = [limited.statement for limited in self._limited.values()]
        found = [*self._ended.values(), *found]
        self._turn += 1
        return take_turn(found, MAX_LIMITS, self._turn)

    def record_request(self) -> None:
        """Count a request of a caller, whether or not an endpoint has a limit now."""
        self._requested_at.append(self._clock())

    def demand_level(self) -> int:
        """Return the level of this host's demand, by which hosts share permits.

        Level 0 means none. Each further level stands for twice as many requests.
        """
        now = self._clock()
        oldest = now - DEMAND_WINDOW_S
        while self._requested_at and self._requested_at[0] < oldest:
            self._requested_at.popleft()
        # A host that has just started estimates the demand from a shorter time.
        counted_s = max(MIN_DEMAND_WINDOW_S, now - max(oldest, self._started_at))
        count = round(len(self._requested_at) * DEMAND_WINDOW_S / counted_s)
        level = min(MAX_DEMAND_LEVEL, count.bit_length())
        if level >= self._level or now >= self._level_deadline:
            self._level, self._level_deadline = level, now + LEVEL_HOLD_S
        return self._level

    def may_send(self, endpoint: Endpoint, *, resumed: bool = False) -> bool:
        """Return whether this host may send a request to an endpoint now.

        Permits are left to streams that wait for one to be ``resumed``: their callers
        would lose the events that they have.
        """
        limited = self._limited.get(_key(endpoint)) if self._limited else None
        if limited is None:
            return True
        return self._usable_permits(limited) > (0 if resumed else len(self._waiting))

    def try_acquire(self, endpoint: Endpoint) -> Permit | None:
        """Take a permit, if the endpoint has a limit; return None if none is left."""
        limited = self._limited.get(_key(endpoint)) if self._limited else None
        if limited is None:
            return Permit()
        if not self._usable_permits(limited):
            return None
        limited.sent_at.append(self._peers.shared_clock.now())
        return Permit(limited, limited.permits.popleft())

    def give_back(self, permit: Permit) -> None:
        """Return a permit with which no request was sent."""
        if permit.limited is None:
            return
        permit.limited.permits.appendleft(permit.expires_at)
        if permit.limited.sent_at:
            permit.limited.sent_at.pop()

    def promise_permit_s(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the seconds after which to tell a caller to come back.

        It is the time until the first permit for any of the endpoints that no other
        caller was told to come back for. Without one in the next ``LOOK_AHEAD_S``, that
        time is returned.
        """
        now = self._peers.shared_clock.now()
        soonest, chosen = LOOK_AHEAD_S, None
        for endpoint in endpoints:
            limited = self._limited.get(_key(endpoint))
            if limited is None:
                continue
            slot = self._next_free_slot(limited, now)
            if slot is None:
                continue
            wait_s = limited.schedule.start_of(slot) - now
            if wait_s < soonest:
                soonest, chosen = wait_s, (limited, slot)
        if chosen is not None:
            limited, slot = chosen
            if slot != limited.promised_slot:
                limited.promised_slot, limited.promised = slot, 0
            limited.promised += 1
        return max(0.0, soonest)

    async def wait_for_permit(self, timeout_s: float) -> None:
        """Wait until a permit is issued that no stream before this one waits for.

        Returns after ``timeout_s`` at the latest. Called by streams that wait to be
        resumed.
        """
        issued = anyio.Event()
        self._waiting.append(issued)
        try:
            with anyio.move_on_after(timeout_s):
                await issued.wait()
        finally:
            if issued in self._waiting:
                self._waiting.remove(issued)

    def issue(self) -> None:
        """Issue the permits of the slots that have started; called periodically."""
        elapsed_s = self._clock() - self._issued_at
        self._issued_at += elapsed_s
        now = self._peers.shared_clock.now()
        # Slots that the clock stepped over are lost. Their owners may have used them.
        after = max(self._issued_until, now - elapsed_s)
        self._issued_until = now
        if self._limited or self._ended:
            self._expire(now)
        for key, limited in self._limited.items():
            schedule = limited.schedule
            for slot in schedule.slots_between(after, now):
                owned = self._peers.shares.owns(_slot_key(key, slot))
                limited.share += SHARE_WEIGHT * (owned - limited.share)
                if not owned:
                    continue
                expires_at = schedule.start_of(slot) + schedule.validity_s
                limited.permits.extend([expires_at] * schedule.permits)
                for _ in range(min(schedule.permits, len(self._waiting))):
                    self._waiting.popleft().set()

    def _apply(self, statement: RequestLimit, source: str) -> None:
        key = (statement.endpoint, statement.started_ms)
        limited = self._limited.get(key)
        known = limited.statement if limited else self._ended.get(key)
        if known is not None and known.stated_at_ms >= statement.stated_at_ms:
            return
        if statement.rate is None:
            self._end(key, statement, source)
            return
        self._ended.pop(key, None)
        if limited is None:
            self._begin(key, statement, source)
            return
        if limited.statement.rate != statement.rate:
            self._change(limited, statement.rate, source)
        limited.statement = statement

    def _begin(
        self, key: tuple[int, int], statement: RequestLimit, source: str
    ) -> None:
        assert statement.rate is not None
        label = f"{key[0]:08x}"
        for record in self._directory.records.values():
            if _key(record.endpoint) == key:
                label = record.endpoint.id
        limited = _Limited(
            label,
            statement,
            PermitSchedule.of(statement.rate, self.cfg),
            self._peers.shared_clock.now(),
        )
        self._limited[key] = limited
        self._add_gauges(limited)
        self._metrics.count("limit_statements", "stated")
        logger.info(
            "endpoint limit", endpoint=label, rate=statement.rate, source=source
        )

    def _change(self, limited: _Limited, rate: float, source: str) -> None:
        old = limited.schedule
        schedule = PermitSchedule.of(rate, self.cfg)
        # A lower limit leaves fewer of the unused permits.
        kept = ceil(len(limited.permits) * min(1.0, schedule.rate / old.rate))
        while len(limited.permits) > kept:
            limited.permits.pop()
        limited.schedule = schedule
        limited.promised_slot, limited.promised = -1, 0
        limited.upcoming_deadline = 0.0
        self._metrics.count("limit_statements", "changed")
        logger.info(
            "endpoint limit",
            endpoint=limited.label,
            rate=rate,
            before=limited.statement.rate,
            source=source,
            sent=self._sent(limited),
            share=round(limited.share, 3),
        )

    def _end(self, key: tuple[int, int], statement: RequestLimit, source: str) -> None:
        self._ended[key] = statement
        limited = self._limited.pop(key, None)
        if limited is None:
            return
        self._metrics.count("limit_statements", "ended")
        self._drop(limited)
        logger.info(
            "endpoint limit ended",
            endpoint=limited.label,
            rate=limited.statement.rate,
            source=source,
            age_s=round(self._peers.shared_clock.now() - limited.since, 1),
            sent=self._sent(limited),
            share=round(limited.share, 3),
        )

    def _expire(self, now: float) -> None:
        """Forget the statements that are too old."""
        for key, ended in list(self._ended.items()):
            if now - ended.stated_at_ms / 1000 > ENDED_TTL_S:
                del self._ended[key]
        old = []
        for key, limited in self._limited.items():
            if now - limited.statement.stated_at_ms / 1000 > UNKNOWN_TTL_S:
                old.append(key)
        if not old:
            return
        present = {_key(record.endpoint) for record in self._directory.records.values()}
        for key in old:
            if key not in present:
                self._drop(self._limited.pop(key))

    def _usable_permits(self, limited: _Limited) -> int:
        now = self._peers.shared_clock.now()
        while limited.permits and limited.permits[0] <= now:
            limited.permits.popleft()
        return len(limited.permits)

    def _next_free_slot(self, limited: _Limited, now: float) -> int | None:
        """Return the next slot of this host with a permit that is not promised."""
        schedule = limited.schedule
        if now >= limited.upcoming_deadline:
            limited.upcoming_deadline = now + LOOK_AHEAD_TTL_S
            limited.upcoming = self._upcoming_slots(limited, now)
        for slot in limited.upcoming:
            if slot < limited.promised_slot or schedule.start_of(slot) <= now:
                continue
            if slot == limited.promised_slot and limited.promised >= schedule.permits:
                continue
            return slot
        return None

    def _upcoming_slots(self, limited: _Limited, now: float) -> list[int]:
        key = (limited.statement.endpoint, limited.statement.started_ms)
        slots = limited.schedule.slots_between(now, now + LOOK_AHEAD_S)
        found = []
        for slot in slots[:LOOK_AHEAD_SLOTS]:
            if self._peers.shares.owns(_slot_key(key, slot)):
                found.append(slot)
        return found

    def _add_gauges(self, limited: _Limited) -> None:
        add, label = self._metrics.add_gauge, limited.label
        clock = self._peers.shared_clock
        add("endpoint_limit", label, lambda: limited.statement.rate or 0.0)
        add("endpoint_limit_age_seconds", label, lambda: clock.now() - limited.since)
        add("endpoint_limit_sent", label, lambda: self._sent(limited))
        add("endpoint_limit_share", label, lambda: limited.share)
        add("endpoint_limit_permits", label, lambda: self._usable_permits(limited))

    def _drop(self, limited: _Limited) -> None:
        self._metrics.remove_gauges(limited.label, "endpoint_limit")

    def _sent(self, limited: _Limited) -> int:
        """Return how many requests this host sent within ``SENT_WINDOW_S``."""
        oldest = self._peers.shared_clock.now() - SENT_WINDOW_S
        while limited.sent_at and limited.sent_at[0] < oldest:
            limited.sent_at.popleft()
        return len(limited.sent_at)


def _key(endpoint: Endpoint) -> tuple[int, int]:
    return (endpoint_key(endpoint.id), endpoint.started_ms)


def _slot_key(key: tuple[int, int], slot: int) -> str:
    return f"{key[0]}/{key[1]}/{slot}"


__all__ = [
    "EndpointLimits",
    "NoPermitError",
    "Permit",
]
