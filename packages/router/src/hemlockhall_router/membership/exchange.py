"""Who is told what: reports to hubs, digests back, summaries between hubs."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

from loguru import logger

from hemlockhall_router.membership.message import (
    Contact,
    DataCentre,
    Digest,
    LayerUpdate,
    Load,
    Message,
    Report,
    RetryUsage,
    Summary,
    TableVersion,
)
from hemlockhall_router.membership.roster import HUBS, Roster
from hemlockhall_router.membership.tally import add_up, aged, busiest, sum_usage

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.timing import Timing

M = TypeVar("M", bound=Message)

# Seconds between two messages to hosts that are not heard: hubs of parted hosts
# find each other again.
HEAL_S = 2.0
# Hosts that follow the store at least, if there are as many: with fewer all of
# them may be turned away by it together.
FOLLOWERS = 3
# Rounds between two summaries to another data centre.
SUMMARY_ROUNDS = 2
# Contacts, and endpoints that are down or leave, in one message. Contacts take turns.
CONTACTS = 10
DOWN = 16
FACTS = 16


@dataclass(slots=True)
class LocalState:
    """What this host says of itself."""

    fence: int = 0
    store_stable: bool = False
    leaving: bool = False
    store_unreachable: bool = False
    loads: list[Load] = field(default_factory=list)
    down: list[int] = field(default_factory=list)
    presumed_draining: list[int] = field(default_factory=list)
    layer_updates: list[LayerUpdate] = field(default_factory=list)
    usage: list[RetryUsage] = field(default_factory=list)


@dataclass(slots=True)
class _Heard(Generic[M]):
    """A message, when it came, and until when it counts."""

    message: M
    at: float
    deadline: float

    def loads(self, now: float) -> list[Load]:
        return aged(self.message.loads, now - self.at)


class Exchange:
    """This host's part in what hosts tell each other.

    Parameters
    ----------
    own : Contact
        This host.
    seeds : list of str
        Addresses to begin with; they may be out of date.
    timing : Timing
        Interval of rounds, and silence from which a host counts as dead.
    describe : callable
        Returns this host's ``LocalState``; asked in each round.
    copies : callable
        Returns how far its copies of tables are.
    send : callable
        Sends a message to an address; it may be lost.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        own: Contact,
        seeds: list[str],
        timing: Timing,
        describe: Callable[[], LocalState],
        copies: Callable[[], list[TableVersion]],
        send: Callable[[str, Message], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.roster = Roster(own, timing)
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._timing = timing
        self._describe = describe
        self._copies = copies
        self._send = send
        self._said = LocalState()
        self._clock = clock
        self._reports: dict[str, _Heard[Report]] = {}
        self._digests: dict[str, _Heard[Digest]] = {}
        self._summaries: dict[tuple[str, str], _Heard[Summary]] = {}
        self._rounds = 0
        self._news = False
        self._turn = 0
        self._heal_at = 0.0

    @property
    def own(self) -> Contact:
        """This host."""
        return self.roster.own

    def meet(self, address: str) -> None:
        """Try a host of which only the address is known."""
        if address != self.own.address and address not in self._seeds:
            self._seeds.append(address)

    def run_round(self) -> None:
        """Tell others what is due."""
        now = self._clock()
        own = self._said = self._describe()
        self.roster.tell(leaving=own.leaving, cut=own.store_unreachable)
        self._expire(now)
        report = self._report()
        hubs = self.roster.hubs(self.own.data_centre, now)
        for contact in hubs:
            if contact.name != self.own.name:
                self.roster.asked(contact.name, now)
                self._send(contact.address, report)
        self._heal(report, now)
        self._rounds += 1
        if self.own not in hubs:
            return
        if self._news:
            self._news = False
            self.push()
        elif self._rounds % SUMMARY_ROUNDS == 0:
            self._summarise(now)

    def push(self) -> None:
        """Tell all hosts at once what is new, if this one is a hub."""
        now = self._clock()
        if not self.roster.is_hub(now):
            return
        for heard in list(self._reports.values()):
            report = heard.message
            self._send(report.sender.address, self._digest(report, now))
        self._summarise(now)

    def receive(self, message: Message) -> None:
        """Take a message, and answer it if it is a report."""
        now = self._clock()
        sender = message.sender
        if sender.name == self.own.name:
            return
        new = self.roster.direct(sender, now)
        if new:
            logger.info("host heard", host=sender.name, address=sender.address)
        for contact in message.contacts:
            self.roster.relayed(contact, now)
        deadline = now + self._timing.host_timeout_s
        if isinstance(message, Report):
            if sender.data_centre == self.own.data_centre:
                self._reports[sender.name] = _Heard(message, now, deadline)
            self._answer(message, now, whole=new)
        elif isinstance(message, Digest) and sender.data_centre == self.own.data_centre:
            self._digests[sender.name] = _Heard(message, now, deadline)
        elif isinstance(message, Summary):
            key = (message.place.name, sender.name)
            known = self._summaries.get(key)
            if known is None or known.message.place != message.place:
                self._news = True
            # The other data centre may have lost its hubs, and not its hosts.
            deadline += self._timing.host_timeout_s
            self._summaries[key] = _Heard(message, now, deadline)

    def data_centres(self) -> list[DataCentre]:
        """Return all data centres that are heard of, with this host's own.

        A hub that has just started hears of other data centres, and of some
        hosts of its own, from its fellow first.
        """
        now = self._clock()
        found = {place.name: place for place in self._places(now)}
        for heard in self._digests.values():
            if now >= heard.deadline:
                continue
            for place in heard.message.places:
                known = found.get(place.name)
                own = place.name == self.own.data_centre
                if known is None or (own and place.hosts > known.hosts):
                    found[place.name] = place
        return list(found.values())

    def loads(self) -> dict[int, Load]:
        """Return the other hosts' loads by the endpoint's key."""
        now = self._clock()
        if self.roster.is_hub(now):
            return add_up(self._loads(None, now))
        latest = self._latest(now)
        return {load.endpoint: load for load in latest.loads(now)} if latest else {}

    def peer_store_stable(self) -> bool:
        """Return whether another host says that it had the store all the while."""
        now = self._clock()
        if any(heard.message.steady for heard in self._reports.values()):
            return True
        if any(heard.message.place.steady for heard in self._foreign(now)):
            return True
        latest = self._latest(now)
        if latest is None or self.roster.is_hub(now):
            return False
        return any(place.steady for place in latest.message.places)

    def is_store_watcher(self) -> bool:
        """Return whether this host is one of those that follow the store.

        The first host of each data centre is; the second one too while there
        are few data centres.
        """
        names = self.roster.followers(self._followers_each(), self._clock())
        return self.own.name in names

    def followers(self) -> int:
        """Return how many hosts follow the store."""
        each = self._followers_each()
        return sum(min(each, place.hosts) for place in self.data_centres())

    def _followers_each(self) -> int:
        return 1 if len(self.data_centres()) >= FOLLOWERS else HUBS

    def _answer(self, report: Report, now: float, *, whole: bool) -> None:
        """Answer a report; a host that is new here gets all contacts at once."""
        count = (
            len(self.roster.contacts(report.sender.data_centre, now)) if whole else 0
        )
        for _ in range(1 + count // CONTACTS):
            self._send(report.sender.address, self._digest(report, now))

    def _report(self) -> Report:
        own = self._said
        return Report(
            sender=self.own,
            table_versions=self._copies(),
            loads=busiest(own.loads),
            down=own.down[:DOWN],
            presumed_draining=own.presumed_draining[:DOWN],
            layer_updates=own.layer_updates[:FACTS],
            contacts=[],
            fence=own.fence,
            steady=own.store_stable,
            usage=own.usage,
        )

    def _digest(self, report: Report, now: float) -> Digest:
        own, receiver = self._said, report.sender
        if self.roster.is_hub(now):
            loads = [*own.loads, *self._loads(receiver.name, now)]
            down = [*own.down, *self._down(now)]
            shut = [*own.presumed_draining, *self._shut(now)]
        else:
            latest = self._latest(now)
            loads = [*own.loads, *(latest.loads(now) if latest else ())]
            down, shut = own.down, own.presumed_draining
        return Digest(
            sender=self.own,
            table_versions=self._copies(),
            loads=busiest(add_up(loads).values()),
            down=_first(down),
            presumed_draining=_first(shut),
            layer_updates=own.layer_updates[:FACTS],
            contacts=self._some(receiver.data_centre, receiver.name, now),
            places=self._places(now),
        )

    def _summarise(self, now: float) -> None:
        """Tell the hubs of the other data centres about this one."""
        place = self._own_place()
        loads = [*self._said.loads]
        down, shut = [*self._said.down], [*self._said.presumed_draining]
        for heard in self._reports.values():
            loads += heard.loads(now)
            down += heard.message.down
            shut += heard.message.presumed_draining
        loads = busiest(add_up(loads).values())
        for name in self.roster.places(now):
            if name == self.own.data_centre:
                continue
            for contact in self.roster.hubs(name, now):
                message = Summary(
                    sender=self.own,
                    table_versions=self._copies(),
                    loads=loads,
                    down=_first(down),
                    presumed_draining=_first(shut),
                    layer_updates=self._said.layer_updates[:FACTS],
                    contacts=self._some(name, contact.name, now),
                    place=place,
                )
                self._send(contact.address, message)

    def _some(self, place: str, receiver: str, now: float) -> list[Contact]:
        """Return the hubs of a data centre, and the contacts whose turn it is."""
        hubs = {contact.name for contact in self.roster.hubs(place, now)}
        first, others = [], []
        for contact in self.roster.contacts(place, now):
            if contact.name == receiver:
                continue
            (first if contact.name in hubs else others).append(contact)
        if len(others) > CONTACTS:
            self._turn = (self._turn + CONTACTS) % len(others)
            others = (others[self._turn :] + others[: self._turn])[:CONTACTS]
        return first + others

    def _places(self, now: float) -> list[DataCentre]:
        """Return what this host passes on; never what a fellow hub had from it."""
        if not self.roster.is_hub(now):
            latest = self._latest(now)
            if latest is not None:
                return latest.message.places
        return [self._own_place(), *(s.message.place for s in self._foreign(now))]

    def _own_place(self) -> DataCentre:
        own = self._said
        hosts, staying = 1, 0 if own.leaving else 1
        first = "" if own.leaving else self.own.name
        fence, steady = own.fence, own.store_stable
        usage = [*own.usage]
        for heard in self._reports.values():
            report = heard.message
            hosts += 1
            fence = max(fence, report.fence)
            steady = steady or report.steady
            usage += report.usage
            if report.sender.leaving:
                continue
            staying += 1
            first = min(first or report.sender.name, report.sender.name)
        return DataCentre(
            self.own.data_centre, hosts, staying, first, fence, steady, sum_usage(usage)
        )

    def _foreign(self, now: float) -> list[_Heard[Summary]]:
        """Return one summary for each other data centre.

        The fullest, as a hub that has just started knows few hosts, unless its
        hub is silent.
        """

        def rank(heard: _Heard[Summary]) -> tuple[bool, int]:
            fresh = now - heard.at < self._timing.host_timeout_s
            return (fresh, heard.message.place.hosts)

        found: dict[str, _Heard[Summary]] = {}
        for heard in self._summaries.values():
            place = heard.message.place
            if place.name == self.own.data_centre:
                continue
            known = found.get(place.name)
            if known is None or rank(heard) > rank(known):
                found[place.name] = heard
        return list(found.values())

    def _loads(self, without: str | None, now: float) -> list[Load]:
        loads: list[Load] = []
        for name, heard in self._reports.items():
            if name != without:
                loads += heard.loads(now)
        for summary in self._foreign(now):
            loads += summary.loads(now)
        return loads

    def _down(self, now: float) -> list[int]:
        down: list[int] = []
        for heard in self._reports.values():
            down += heard.message.down
        for summary in self._foreign(now):
            down += summary.message.down
        return down

    def _shut(self, now: float) -> list[int]:
        shut: list[int] = []
        for report in self._reports.values():
            shut += report.message.presumed_draining
        for summary in self._foreign(now):
            shut += summary.message.presumed_draining
        return shut

    def _latest(self, now: float) -> _Heard[Digest] | None:
        """Return the digest of the best hub that answers, or None."""
        for contact in self.roster.hubs(self.own.data_centre, now):
            heard = self._digests.get(contact.name)
            if heard is not None and now < heard.deadline:
                return heard
        return None

    def _heal(self, report: Report, now: float) -> None:
        """Try hosts that are not heard: all seeds while nobody is, else one."""
        live = {m.contact.address for m in self.roster.live(now)}
        silent = [seed for seed in self._seeds if seed not in live]
        if not live:
            for address in silent:
                self._send(address, report)
        if now < self._heal_at or not self.roster.is_hub(now):
            return
        self._heal_at = now + HEAL_S
        silent += [m.contact.address for m in self.roster.lost(now)]
        if silent:
            self._send(random.choice(silent), report)  # noqa: S311

    def _expire(self, now: float) -> None:
        for table in (self._reports, self._digests, self._summaries):
            for key in [k for k, heard in table.items() if now >= heard.deadline]:
                heard = table.pop(key)
                if table is self._reports:
                    self._news = True
                    logger.info("host silent", host=heard.message.sender.name)
        for contact in self.roster.forget(now):
            logger.info("host forgotten", host=contact.name, address=contact.address)


def _first(keys: list[int]) -> list[int]:
    """Return as many different keys as a message takes."""
    return list(dict.fromkeys(keys))[:DOWN]


__all__ = [
    "Exchange",
    "LocalState",
]
