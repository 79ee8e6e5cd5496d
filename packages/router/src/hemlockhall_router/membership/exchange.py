"""Exchange of host state: reports to hubs, digests back, summaries between hubs."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass, field
from math import ceil
from typing import TYPE_CHECKING, Generic, TypeVar

import msgspec
from loguru import logger

from hemlockhall_router.membership.clock import SharedClock
from hemlockhall_router.membership.count import HostCount
from hemlockhall_router.membership.figures import Figures, KnownFigures, sum_sources
from hemlockhall_router.membership.history import RetryHistory
from hemlockhall_router.membership.message import (
    Contact,
    CrashEvidence,
    CustomerDemand,
    DataCentre,
    Digest,
    EndedRequests,
    LayerUpdate,
    LeavingNotice,
    Load,
    Message,
    Report,
    RequestLimit,
    RetryRecord,
    RetryUsage,
    SegmentRuns,
    SegmentVerdict,
    ServiceDemand,
    Summary,
    TableVersion,
)
from hemlockhall_router.membership.outlier import Source, bound_reports
from hemlockhall_router.membership.roster import HUBS_PER_DATA_CENTRE, Roster
from hemlockhall_router.membership.share import Competitor, Shares, demand_weight
from hemlockhall_router.membership.tally import (
    age_loads,
    busiest,
    plausible_customers,
    plausible_demands,
    replace_retries,
    sum_customers,
    sum_demands,
    sum_loads,
    sum_usage,
)
from hemlockhall_router.membership.turn import take_turn
from hemlockhall_router.process.setting import RetrySection

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.process.timing import Timing

M = TypeVar("M", bound=Message)

# Interval of messages from a hub to a host that is not live, so that the hubs find
# each other again after a network partition.
RECONNECT_INTERVAL_S = 2.0
# Number of data centres from which on each has one store watcher; with fewer, each has
# ``HUBS_PER_DATA_CENTRE``, as few watchers could all lose the store at the same time.
MIN_STORE_WATCHERS = 3
# A hub sends its summary to the other data centres once in this many rounds.
SUMMARY_ROUNDS = 2
# Limits of one message. ``MAX_ENDPOINT_KEYS`` holds for each list of endpoints, those
# that are down and those presumed draining. Keys and layer updates beyond the limits
# are sent in later rounds, contacts in later messages; the hubs of the receiver's data
# centre are sent besides ``MAX_CONTACTS``.
MAX_CONTACTS = 10
MAX_ENDPOINT_KEYS = 16
MAX_LAYER_UPDATES = 16
# Seconds for which the sums of all known figures are kept, for each demand in them: a
# sum takes 6 to 8 microseconds a demand, so that it takes about 1 % of a core. Older
# figures cost more than that: in a simulation of a jump to four times the capacity,
# 0.1 s instead of 0.02 s lowered the most urgent requests on time from 0.85 to 0.76.
FIGURES_TTL_S = 0.0008
MIN_FIGURES_TTL_S = 0.02
MAX_FIGURES_TTL_S = 0.1
# Rounds after which all hosts know what one of them reported, apart from the time that
# it takes to pass on the contacts of a data centre, ``MAX_CONTACTS`` a round. Reports,
# digests and summaries each take up to a round or two, and one of them may be lost.
LAG_ROUNDS = 6
# Reports whose usage is kept until a digest includes it.
MAX_REPORTED_USAGES = 32


@dataclass(slots=True)
class LocalState:
    """State of this host, and what it knows about endpoints, as sent to other hosts."""

    fence: int = 0
    store_stable: bool = False
    leaving: bool = False
    store_unreachable: bool = False
    loads: list[Load] = field(default_factory=list)
    down: list[int] = field(default_factory=list)
    presumed_draining: list[int] = field(default_factory=list)
    layer_updates: list[LayerUpdate] = field(default_factory=list)
    usage: list[RetryUsage] = field(default_factory=list)
    demand: int = 0
    limits: list[RequestLimit] = field(default_factory=list)
    leaving_endpoints: list[LeavingNotice] = field(default_factory=list)
    demands: list[ServiceDemand] = field(default_factory=list)
    customers: list[CustomerDemand] = field(default_factory=list)
    crashes: list[CrashEvidence] = field(default_factory=list)
    verdicts: list[SegmentVerdict] = field(default_factory=list)
    retries: list[RetryRecord] = field(default_factory=list)
    ended: list[EndedRequests] = field(default_factory=list)
    runs: list[SegmentRuns] = field(default_factory=list)


@dataclass(slots=True)
class _Received(Generic[M]):
    """A message, the time of its arrival, and the deadline of its validity."""

    message: M
    received_at: float
    deadline: float

    def loads(self, now: float) -> list[Load]:
        return age_loads(self.message.loads, now - self.received_at)


class Exchange:
    """Sends this host's state to the others and keeps what they send.

    Parameters
    ----------
    own : Contact
        This host.
    seeds : list of str
        Addresses of hosts, to contact while no live host has them; they may be out of
        date.
    timing : Timing
        Interval of rounds, and time without a message after which a host counts as
        dead.
    get_local_state : callable
        Returns this host's ``LocalState``; called in each round.
    get_table_versions : callable
        Returns the versions of its cached tables.
    send : callable
        Sends a message to an address; the message may be lost.
    clock : callable
        Returns the monotonic time in seconds.
    on_false_figures : callable
        Called for each received message with demands out of range.
    """

    def __init__(
        self,
        own: Contact,
        seeds: list[str],
        timing: Timing,
        get_local_state: Callable[[], LocalState],
        get_table_versions: Callable[[], list[TableVersion]],
        send: Callable[[str, Message], None],
        clock: Callable[[], float],
        on_false_figures: Callable[[], None] = lambda: None,
    ) -> None:
        self.roster = Roster(own, timing)
        self.host_count = HostCount()
        # The Unix time lets hosts that start alone begin close to each other.
        self.shared_clock = SharedClock(clock, time.time())
        self.shares = Shares(own.name, own.data_centre)
        self.retry_history = RetryHistory(
            self.shared_clock, clock, RetrySection().window_s
        )
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._timing = timing
        self._get_local_state = get_local_state
        self._get_table_versions = get_table_versions
        self._send = send
        self._local_state = LocalState()
        self._clock = clock
        self._on_false_figures = on_false_figures
        self._false_figures_of: set[str] = set()
        self._figures = KnownFigures([])
        self._figures_deadline = float("-inf")
        self._reports: dict[str, _Received[Report]] = {}
        self._digests: dict[str, _Received[Digest]] = {}
        # By the ``clock_ms`` of the report.
        self._reported_usage: dict[int, list[RetryUsage]] = {}
        self._summaries: dict[tuple[str, str], _Received[Summary]] = {}
        self._round_number = 0
        self._push_pending = False
        # By the names of their receivers.
        self._contact_turns: Counter[str] = Counter()
        self._next_reconnect_at = 0.0

    @property
    def own(self) -> Contact:
        """This host."""
        return self.roster.own

    def add_seed(self, address: str) -> None:
        """Add a seed: the address of a host whose name need not be known."""
        if address != self.own.address and address not in self._seeds:
            self._seeds.append(address)

    def run_round(self) -> None:
        """Run one round: expire old messages, then send what is due."""
        now = self._clock()
        self._update_local_state(now)
        self._expire(now)
        self._update_shares(now)
        report = self._send_report(now)
        self._reconnect(report, now)
        self._round_number += 1
        if not self.roster.is_hub(now):
            return
        if self._push_pending:
            self._push_pending = False
            self.push()
        elif self._round_number % SUMMARY_ROUNDS == 0:
            self._send_summaries(now)

    def report(self) -> None:
        """Send this host's state at once, beside the periodic rounds."""
        now = self._clock()
        self._update_local_state(now)
        self._send_report(now)
        if self.roster.is_hub(now):
            self._send_summaries(now)

    def _update_local_state(self, now: float) -> None:
        state = self._local_state = self._get_local_state()
        state.demands = sum_demands(plausible_demands(state.demands))
        state.customers = sum_customers(plausible_customers(state.customers))
        self.roster.update_own(
            leaving=state.leaving,
            store_unreachable=state.store_unreachable,
            demand=state.demand,
        )
        self.retry_history.observe_time()
        self._update_retry_history(now)

    def _send_report(self, now: float) -> Report:
        """Send a report to the hubs of this data centre, and return it."""
        report = self._build_report()
        for contact in self.roster.hubs(self.own.data_centre, now):
            if contact.name != self.own.name:
                self.roster.record_request(contact.name, now)
                self._send(contact.address, report)
        return report

    def push(self) -> None:
        """Send digests and summaries at once, if this host is a hub.

        Otherwise they follow the next reports and a later round.
        """
        now = self._clock()
        if not self.roster.is_hub(now):
            return
        for received in list(self._reports.values()):
            report = received.message
            self._send(report.sender.address, self._build_digest(report, now))
        self._send_summaries(now)

    def receive(self, message: Message) -> None:
        """Store a received message; answer it with a digest if it is a report."""
        now = self._clock()
        sender = message.sender
        if sender.name == self.own.name:
            return
        self.retry_history.adopt_time(message.clock_ms)
        new = self.roster.record_message(sender, now)
        if new:
            logger.info("host heard", host=sender.name, address=sender.address)
        for contact in message.contacts:
            self.roster.record_contact(contact, now)
        message = self._without_false_figures(message)
        deadline = now + self._timing.host_timeout_s
        if isinstance(message, Report):
            if sender.data_centre == self.own.data_centre:
                self.retry_history.record_run(sender.name, sender.boot, message.retries)
                self._reports[sender.name] = _Received(message, now, deadline)
            self._reply(message, now, all_contacts=new)
        elif isinstance(message, Digest) and sender.data_centre == self.own.data_centre:
            self._digests[sender.name] = _Received(message, now, deadline)
        elif isinstance(message, Summary):
            key = (message.data_centre.name, sender.name)
            known = self._summaries.get(key)
            if known is None or known.message.data_centre != message.data_centre:
                self._push_pending = True
            # If the hubs of the other data centre fail, its hosts are still there:
            # keep the summary for one more timeout, in which its next hub sends one.
            deadline += self._timing.host_timeout_s
            self._summaries[key] = _Received(message, now, deadline)
        if not isinstance(message, Report):
            self.retry_history.merge(message.history, message.covered_ms)

    def data_centres(self) -> list[DataCentre]:
        """Return all known data centres, including this host's own.

        Digests count for a hub too: one that has just started learns of other data
        centres, and of some hosts of its own, from the other hub first.
        """
        now = self._clock()
        found = {
            data_centre.name: data_centre
            for data_centre in self._known_data_centres(now)
        }
        for received in self._digests.values():
            if now >= received.deadline:
                continue
            for data_centre in received.message.data_centres:
                known = found.get(data_centre.name)
                is_own = data_centre.name == self.own.data_centre
                if known is None or (is_own and data_centre.hosts > known.hosts):
                    found[data_centre.name] = data_centre
        return list(found.values())

    def _update_retry_history(self, now: float) -> None:
        """Add up what the hosts report, as a hub.

        Other hosts get the sums in digests. Their own retries are in them when they are
        in the usage that the same digest has, and no sooner.
        """
        if not self.roster.is_hub(now):
            return
        remote = [s.message.retries for s in self._remote_summaries(now)]
        self.retry_history.update(self._local_state.retries, remote)

    def retry_usage(self) -> tuple[int, list[RetryUsage]]:
        """Return the number of known hosts, and the sum of their retry budget usage.

        ``retries`` includes this host's latest usage.
        """
        data_centres = self.data_centres()
        usage = [item for data_centre in data_centres for item in data_centre.usage]
        usage = replace_retries(
            sum_usage(usage),
            self._included_usage(data_centres),
            self._local_state.usage,
        )
        return sum(data_centre.hosts for data_centre in data_centres), usage

    def _included_usage(self, data_centres: list[DataCentre]) -> list[RetryUsage]:
        """Return the usage of this host that is in the sums of its data centre."""
        for received in self._digests.values():
            digest = received.message
            for data_centre in digest.data_centres:
                if data_centre.name != self.own.data_centre or not digest.report_ms:
                    continue
                if any(data_centre is used for used in data_centres):
                    return self._reported_usage.get(digest.report_ms, [])
        return self._local_state.usage

    def loads(self) -> dict[int, Load]:
        """Return the sum of the other hosts' loads by the endpoint's key."""
        now = self._clock()
        if self.roster.is_hub(now):
            return sum_loads(self._known_loads(None, now))
        digest = self._current_digest(now)
        return {load.endpoint: load for load in digest.loads(now)} if digest else {}

    def figures(self) -> Figures:
        """Return the figures of the other hosts, those that include the most hosts.

        A hub that has just started hears few hosts at first; its own sums, and its
        digests to others, include less than the digests of the other hub.
        """
        now = self._clock()
        found = self._known_figures(now).without(self.own.name, now)
        for received in self._digests.values():
            digest = received.message
            if now >= received.deadline or not digest.demand_hosts:
                continue
            age_s = now - received.received_at
            # The later one of two with the same hosts.
            if (digest.demand_hosts, -age_s) > (found.hosts, -found.age_s):
                found = Figures(
                    digest.demands, digest.customers, digest.demand_hosts, age_s
                )
        return found

    def known_hosts(self) -> int:
        """Return the number of hosts that the figures include, with this one."""
        upper_bound = self.host_count.upper_bound(self.data_centres(), self._clock())
        return min(upper_bound, 1 + self.figures().hosts)

    def relative_demand(self) -> float:
        """Return this host's demand in multiples of the mean of all hosts.

        It is 1.0 if no other host of its data centre is known.
        """
        hosts = local_hosts = weight = 0
        for data_centre in self.data_centres():
            hosts += data_centre.hosts
            # A host of an older version sends no weight.
            weight += data_centre.demand_weight or data_centre.hosts
            if data_centre.name == self.own.data_centre:
                local_hosts = data_centre.hosts
        if local_hosts <= 1:
            return 1.0
        return demand_weight(self.own.demand) * hosts / weight

    def peer_store_stable(self) -> bool:
        """Return whether another host reports that its ``store_stable`` is true."""
        now = self._clock()
        if any(received.message.store_stable for received in self._reports.values()):
            return True
        if any(
            received.message.data_centre.store_stable
            for received in self._remote_summaries(now)
        ):
            return True
        digest = self._current_digest(now)
        if digest is None or self.roster.is_hub(now):
            return False
        return any(
            data_centre.store_stable for data_centre in digest.message.data_centres
        )

    def is_store_watcher(self) -> bool:
        """Return whether this host is one of the store watchers.

        The highest-ranked host of each data centre is, among those that reach the
        store; so is the second one while there are fewer than ``MIN_STORE_WATCHERS``
        data centres.
        """
        names = self.roster.store_watchers(
            self._watchers_per_data_centre(), self._clock()
        )
        return self.own.name in names

    def store_watcher_count(self) -> int:
        """Return the number of store watchers in all data centres."""
        per_data_centre = self._watchers_per_data_centre()
        return sum(
            min(per_data_centre, data_centre.hosts)
            for data_centre in self.data_centres()
        )

    def _watchers_per_data_centre(self) -> int:
        return (
            1
            if len(self.data_centres()) >= MIN_STORE_WATCHERS
            else HUBS_PER_DATA_CENTRE
        )

    def _reply(self, report: Report, now: float, *, all_contacts: bool) -> None:
        """Answer a report; a host that is new here gets all contacts at once.

        They may take several digests of ``MAX_CONTACTS`` each.
        """
        count = (
            len(self.roster.contacts(report.sender.data_centre, now))
            if all_contacts
            else 0
        )
        for _ in range(1 + count // MAX_CONTACTS):
            self._send(report.sender.address, self._build_digest(report, now))

    def _build_report(self) -> Report:
        state = self._local_state
        clock_ms = self.shared_clock.now_ms()
        self._reported_usage[clock_ms] = state.usage
        if len(self._reported_usage) > MAX_REPORTED_USAGES:
            del self._reported_usage[next(iter(self._reported_usage))]
        return Report(
            sender=self.own,
            table_versions=self._get_table_versions(),
            loads=busiest(state.loads),
            down=self._select_keys(state.down),
            presumed_draining=self._select_keys(state.presumed_draining),
            layer_updates=self._select_layer_updates(),
            contacts=[],
            fence=state.fence,
            store_stable=state.store_stable,
            usage=state.usage,
            clock_ms=clock_ms,
            limits=state.limits,
            leaving=state.leaving_endpoints,
            demands=state.demands,
            customers=state.customers,
            demand_hosts=1,
            crashes=state.crashes,
            verdicts=state.verdicts,
            retries=state.retries,
            ended=state.ended,
            runs=state.runs,
        )

    def _build_digest(self, report: Report, now: float) -> Digest:
        state, receiver = self._local_state, report.sender
        # Other data centres get the figures in summaries. What a host that is no hub
        # has from digests may include the receiver's figures, so it is not passed on.
        figures = Figures()
        if receiver.data_centre == self.own.data_centre:
            figures = self._known_figures(now).without(receiver.name, now)
        if self.roster.is_hub(now):
            loads = [*state.loads, *self._known_loads(receiver.name, now)]
            down = [*state.down, *self._known_down(now)]
            presumed_draining = [
                *state.presumed_draining,
                *self._known_presumed_draining(now),
            ]
        else:
            digest = self._current_digest(now)
            loads = [*state.loads, *(digest.loads(now) if digest else ())]
            down, presumed_draining = state.down, state.presumed_draining
        return Digest(
            sender=self.own,
            table_versions=self._get_table_versions(),
            loads=busiest(sum_loads(loads).values()),
            down=self._select_keys(down),
            presumed_draining=self._select_keys(presumed_draining),
            layer_updates=self._select_layer_updates(),
            contacts=self._select_contacts(receiver.data_centre, receiver.name, now),
            data_centres=self._known_data_centres(now),
            clock_ms=self.shared_clock.now_ms(),
            limits=state.limits,
            leaving=state.leaving_endpoints,
            demands=figures.demands,
            customers=figures.customers,
            demand_hosts=figures.hosts,
            crashes=state.crashes,
            verdicts=state.verdicts,
            history=self.retry_history.records(),
            covered_ms=self.retry_history.covered_ms,
            ended=state.ended,
            report_ms=report.clock_ms,
            runs=state.runs,
        )

    def _send_summaries(self, now: float) -> None:
        """Send the state of this data centre to the hubs of the other ones."""
        data_centre = self._own_data_centre()
        loads = [*self._local_state.loads]
        down, presumed_draining = (
            [*self._local_state.down],
            [*self._local_state.presumed_draining],
        )
        for received in self._reports.values():
            loads += received.loads(now)
            down += received.message.down
            presumed_draining += received.message.presumed_draining
        loads = busiest(sum_loads(loads).values())
        layer_updates = self._select_layer_updates()
        figures = sum_sources(self._own_sources(now), now)
        retries = self.retry_history.data_centre_records(self._local_state.retries)
        for name in self.roster.data_centres(now):
            if name == self.own.data_centre:
                continue
            for contact in self.roster.hubs(name, now):
                message = Summary(
                    sender=self.own,
                    table_versions=self._get_table_versions(),
                    loads=loads,
                    down=self._select_keys(down),
                    presumed_draining=self._select_keys(presumed_draining),
                    layer_updates=layer_updates,
                    contacts=self._select_contacts(name, contact.name, now),
                    data_centre=data_centre,
                    clock_ms=self.shared_clock.now_ms(),
                    limits=self._local_state.limits,
                    leaving=self._local_state.leaving_endpoints,
                    demands=figures.demands,
                    customers=figures.customers,
                    demand_hosts=figures.hosts,
                    crashes=self._local_state.crashes,
                    verdicts=self._local_state.verdicts,
                    retries=retries,
                    history=self.retry_history.records(),
                    covered_ms=self.retry_history.covered_ms,
                    ended=self._local_state.ended,
                    runs=self._local_state.runs,
                )
                self._send(contact.address, message)

    def _select_keys(self, keys: list[int]) -> list[int]:
        """Return the distinct keys to send in this round."""
        unique = list(dict.fromkeys(keys))
        return take_turn(unique, MAX_ENDPOINT_KEYS, self._round_number)

    def _select_layer_updates(self) -> list[LayerUpdate]:
        """Return the changes of layers to send in this round."""
        updates = self._local_state.layer_updates
        return take_turn(updates, MAX_LAYER_UPDATES, self._round_number)

    def _select_contacts(
        self, data_centre: str, receiver: str, now: float
    ) -> list[Contact]:
        """Return the hubs of a data centre and the next ``MAX_CONTACTS`` contacts.

        ``receiver`` is left out.
        """
        hubs = {contact.name for contact in self.roster.hubs(data_centre, now)}
        hub_contacts, others = [], []
        for contact in self.roster.contacts(data_centre, now):
            if contact.name == receiver:
                continue
            (hub_contacts if contact.name in hubs else others).append(contact)
        turn = self._contact_turns[receiver]
        self._contact_turns[receiver] += 1
        return hub_contacts + take_turn(others, MAX_CONTACTS, turn)

    def _known_data_centres(self, now: float) -> list[DataCentre]:
        """Return the data centres to pass on.

        A hub takes them from reports and summaries only, so that it does not
        receive its own data back from the other hub.
        """
        if not self.roster.is_hub(now):
            digest = self._current_digest(now)
            if digest is not None:
                return digest.message.data_centres
        return [
            self._own_data_centre(),
            *(s.message.data_centre for s in self._remote_summaries(now)),
        ]

    def _own_data_centre(self) -> DataCentre:
        state = self._local_state
        hosts, active_hosts = 1, 0 if state.leaving else 1
        lowest_name = "" if state.leaving else self.own.name
        fence, store_stable = state.fence, state.store_stable
        usage = [*state.usage]
        weight = demand_weight(state.demand)
        for received in self._reports.values():
            report = received.message
            hosts += 1
            weight += demand_weight(report.sender.demand)
            fence = max(fence, report.fence)
            store_stable = store_stable or report.store_stable
            usage += report.usage
            if report.sender.leaving:
                continue
            active_hosts += 1
            lowest_name = min(lowest_name or report.sender.name, report.sender.name)
        return DataCentre(
            self.own.data_centre,
            hosts,
            active_hosts,
            lowest_name,
            fence,
            store_stable,
            sum_usage(usage),
            weight,
        )

    def _update_shares(self, now: float) -> None:
        """Tell ``shares`` which hosts and data centres are heard, with their demand."""
        data_centres = self.data_centres()
        unknown_hosts = self.host_count.unknown(data_centres, now)
        members = self.roster.members.values()
        local = [m for m in members if m.contact.data_centre == self.own.data_centre]
        rotation_s = ceil(len(local) / MAX_CONTACTS) * self._timing.gossip_interval_s
        # Hosts of a large data centre hear of each other once in a rotation.
        timeout_s = self._timing.host_timeout_s + 2 * rotation_s
        hosts = [Competitor(self.own.name, demand_weight(self.own.demand))]
        for member in local:
            if now - member.last_seen_at < timeout_s:
                weight = demand_weight(member.contact.demand)
                hosts.append(Competitor(member.contact.name, weight))
        competitors = []
        local_hosts = 1
        for data_centre in data_centres:
            if data_centre.name == self.own.data_centre:
                local_hosts = data_centre.hosts
            # A host of an older version sends no weight.
            weight = data_centre.demand_weight or data_centre.hosts
            count = self.host_count.peak(data_centre.name)
            competitors.append(Competitor(data_centre.name, weight, count))
        self.shares.update(
            now,
            hosts,
            competitors,
            unknown_hosts,
            max(0, local_hosts - 1 - len(local)),
            self.knowledge_lag_s(len(local)),
        )

    def knowledge_lag_s(self, local_hosts: int) -> float:
        """Return the time after which all hosts know what one of them reported."""
        rounds = LAG_ROUNDS + ceil(local_hosts / MAX_CONTACTS)
        return rounds * self._timing.gossip_interval_s

    def _remote_summaries(self, now: float) -> list[_Received[Summary]]:
        """Return one summary for each other data centre.

        The one with the most hosts is used, as a hub that has just started knows
        few of them; summaries older than the host timeout come last.
        """

        fresh_after = now - self._timing.host_timeout_s

        def rank(received: _Received[Summary]) -> tuple[bool, int]:
            fresh = received.received_at > fresh_after
            return (fresh, received.message.data_centre.hosts)

        found: dict[str, _Received[Summary]] = {}
        for received in self._summaries.values():
            data_centre = received.message.data_centre
            if data_centre.name == self.own.data_centre:
                continue
            known = found.get(data_centre.name)
            if known is None or rank(received) > rank(known):
                found[data_centre.name] = received
        return list(found.values())

    def _known_loads(self, excluded: str | None, now: float) -> list[Load]:
        loads: list[Load] = []
        for name, received in self._reports.items():
            if name != excluded:
                loads += received.loads(now)
        for summary in self._remote_summaries(now):
            loads += summary.loads(now)
        return loads

    def _known_figures(self, now: float) -> KnownFigures:
        """Return the figures of all known hosts, at most ``MAX_FIGURES_TTL_S`` old.

        A hub needs them for each digest, without those of its receiver.
        """
        if now >= self._figures_deadline:
            sources = [*self._own_sources(now), *self._remote_sources(now)]
            ttl_s = FIGURES_TTL_S * sum(len(source.demands) for source in sources)
            ttl_s = max(MIN_FIGURES_TTL_S, min(MAX_FIGURES_TTL_S, ttl_s))
            self._figures_deadline = now + ttl_s
            self._figures = KnownFigures(sources)
        return self._figures

    def _own_sources(self, now: float) -> list[Source]:
        """Return the figures of this host and of those that report to it."""
        state = self._local_state
        sources = [Source(self.own.name, state.demands, state.customers, 1, now)]
        for name, received in self._reports.items():
            report, at = received.message, received.received_at
            if report.demand_hosts and now < received.deadline:
                sources.append(Source(name, report.demands, report.customers, 1, at))
        return bound_reports(sources)

    def _remote_sources(self, now: float) -> list[Source]:
        """Return the figures of each other data centre, those of the most hosts.

        A summary that is kept beyond the host timeout has no current figures.
        """
        fresh_after = now - self._timing.host_timeout_s
        found: dict[str, Source] = {}
        for received in self._summaries.values():
            summary, at = received.message, received.received_at
            name, hosts = summary.data_centre.name, summary.demand_hosts
            if name == self.own.data_centre or not hosts or at <= fresh_after:
                continue
            if name not in found or hosts > found[name].hosts:
                found[name] = Source("", summary.demands, summary.customers, hosts, at)
        return list(found.values())

    def _known_down(self, now: float) -> list[int]:
        down: list[int] = []
        for received in self._reports.values():
            down += received.message.down
        for summary in self._remote_summaries(now):
            down += summary.message.down
        return down

    def _known_presumed_draining(self, now: float) -> list[int]:
        presumed_draining: list[int] = []
        for report in self._reports.values():
            presumed_draining += report.message.presumed_draining
        for summary in self._remote_summaries(now):
            presumed_draining += summary.message.presumed_draining
        return presumed_draining

    def _current_digest(self, now: float) -> _Received[Digest] | None:
        """Return the digest of the highest-ranked hub that answers, or None."""
        for contact in self.roster.hubs(self.own.data_centre, now):
            received = self._digests.get(contact.name)
            if received is not None and now < received.deadline:
                return received
        return None

    def _reconnect(self, report: Report, now: float) -> None:
        """Contact hosts that are not live, or do not answer this one.

        While no host is live, these are all seeds. A hub, as is a host without live
        hosts, also contacts one seed or dead host at random each
        ``RECONNECT_INTERVAL_S``. Every host contacts the highest-ranked live hosts that
        did not answer it: after a network partition, these may be the hubs that the
        other hosts use, which send nothing to a host that does not report to them.
        """
        live = {m.contact.address for m in self.roster.live(now)}
        not_live = [seed for seed in self._seeds if seed not in live]
        if not live:
            for address in not_live:
                self._send(address, report)
        if now < self._next_reconnect_at:
            return
        unanswering = self.roster.unanswering(now)[:HUBS_PER_DATA_CENTRE]
        if not unanswering and not self.roster.is_hub(now):
            return
        self._next_reconnect_at = now + RECONNECT_INTERVAL_S
        for contact in unanswering:
            self._send(contact.address, report)
        if not self.roster.is_hub(now):
            return
        not_live += [m.contact.address for m in self.roster.silent(now)]
        if not_live:
            self._send(random.choice(not_live), report)  # noqa: S311

    def _without_false_figures(self, message: M) -> M:
        """Return a message without demands that are out of range.

        Sums with such demands count as those of no host, so that the ones of the other
        hub are used. They are logged once for each host: it may send them in every
        round.
        """
        demands = plausible_demands(message.demands)
        customers = plausible_customers(message.customers)
        hosts = message.demand_hosts
        if not 0 <= hosts <= _hosts_of(message):
            hosts = 0
        if demands != message.demands or customers != message.customers:
            self._report_false_figures(message.sender.name)
            if not isinstance(message, Report):
                hosts = 0
        elif hosts == message.demand_hosts:
            return message
        return msgspec.structs.replace(
            message, demands=demands, customers=customers, demand_hosts=hosts
        )

    def _report_false_figures(self, name: str) -> None:
        self._on_false_figures()
        if name not in self._false_figures_of:
            self._false_figures_of.add(name)
            logger.warning("demands of a host are out of range", host=name)

    def _expire(self, now: float) -> None:
        for table in (self._reports, self._digests, self._summaries):
            for key in [k for k, received in table.items() if now >= received.deadline]:
                received = table.pop(key)
                if table is self._reports:
                    self._push_pending = True
                    logger.info("host silent", host=received.message.sender.name)
        for contact in self.roster.forget(now):
            self._false_figures_of.discard(contact.name)
            del self._contact_turns[contact.name]
            logger.info("host forgotten", host=contact.name, address=contact.address)


def _hosts_of(message: Report | Digest | Summary) -> int:
    """Return how many hosts' figures a message can include."""
    if isinstance(message, Report):
        return 1
    if isinstance(message, Summary):
        return message.data_centre.hosts
    return sum(data_centre.hosts for data_centre in message.data_centres)


__all__ = [
    "Exchange",
    "LocalState",
]
