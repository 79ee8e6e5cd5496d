"""Judges the history of a soak."""

from __future__ import annotations

import bisect
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_standins.soak.history import of_kind

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_standins.soak.history import Entry

RULES: dict[str, Callable[[Run], list[str]]] = {}
# A host counts as disturbed for so long after a disruption of its process.
CONTACT_S = 3.0
# A host that leaves may cut off what was sent to it within this time, if the work goes
# on for longer than this part of the grace period.
SENT_AFTER_TERM_S = 3.0
WORK_FRACTION = 5 / 6
LATE_S = 0.5
# A content counts as refused if it is served less than this, of so many requests in an
# interval.
SERVED_FRACTION = 0.25
INTERVAL_S = 5.0
MIN_REQUESTS = 20
PROMISES = (408, 421, 429, 503)
ENDPOINT_FAULTS = ("crash", "reset", "silent", "awake", "left")


def rule(name: str) -> Callable:
    """Register a rule under a name; it returns what breaks it."""

    def register(function: Callable[[Run], list[str]]) -> Callable:
        RULES[name] = function
        return function

    return register


@dataclass(slots=True)
class Request:
    """A request with all that is known of it."""

    id: str
    at: float
    host: str
    route: str
    content: str
    deadline_s: float
    event_count: int
    fatal: bool
    sent_at: float | None = None
    arrivals: list[Entry] = field(default_factory=list)
    response: Entry | None = None

    @property
    def runs(self) -> list[Entry]:
        """The arrivals at endpoints that began to work on it."""
        return [entry for entry in self.arrivals if entry["what"] in ("run", "broken")]

    @property
    def broken(self) -> bool:
        """Whether an endpoint had it and did not serve it: nothing refused it."""
        return any(entry["what"] == "broken" for entry in self.arrivals)

    @property
    def served(self) -> bool:
        """Whether the caller has the whole response."""
        response = self.response
        if response is None or response["status"] != 200 or not response["whole"]:
            return False
        return response["events"] == self.event_count

    @property
    def ended_at(self) -> float:
        """When the caller stopped waiting."""
        return self.response["t"] if self.response is not None else float("inf")


class Run:
    """A soak that is over.

    Parameters
    ----------
    entries : list of Entry
        Its history, which begins with the settings of the run.
    """

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.settings = of_kind(entries, "settings")[0]
        self.ends_at = entries[-1]["t"]
        self.requests: dict[str, Request] = {}
        self.signals: dict[str, list[Entry]] = defaultdict(list)
        self.endpoint_faults: dict[str, list[float]] = defaultdict(list)
        # Failures and rejections of endpoints, by service.
        self.service_faults: list[tuple[float, str]] = []
        self.lags = [entry["t"] for entry in of_kind(entries, "lag")]
        for entry in entries:
            self._add(entry)

    def _add(self, entry: Entry) -> None:
        kind = entry["kind"]
        if kind == "request":
            self.requests[entry["id"]] = Request(
                entry["id"],
                entry["t"],
                entry["host"],
                entry["route"],
                entry["content"],
                entry["deadline_s"],
                entry["events"],
                entry["fatal"],
            )
        elif kind in ("signal", "started", "ended"):
            self.signals[entry["host"]].append(entry)
        elif kind == "endpoint" and entry["what"] in ENDPOINT_FAULTS:
            self.endpoint_faults[entry["endpoint"]].append(entry["t"])
            self.service_faults.append((entry["t"], entry["service"]))
        request = self.requests.get(entry.get("id", ""))
        if request is None:
            return
        if kind == "sent":
            request.sent_at = entry["t"]
        elif kind == "arrival":
            request.arrivals.append(entry)
            if entry["what"] == "reject":
                service = self.settings["services"][request.route]
                self.service_faults.append((entry["t"], service))
        elif kind == "response":
            request.response = entry

    def endpoint_failed(self, request: Request) -> bool:
        """Return whether an endpoint that had a request failed during it."""
        for entry in request.runs:
            faults = self.endpoint_faults[entry["endpoint"]]
            first = bisect.bisect(faults, entry["t"])
            if any(at <= request.ended_at for at in faults[first : first + 1]):
                return True
        return False

    def disturbed(self, request: Request) -> bool:
        """Return whether the host's process was killed, frozen or started meanwhile."""
        for entry in self.signals[request.host]:
            if entry.get("signal") in ("SIGTERM", "SIGHUP"):
                continue
            if entry["kind"] == "ended":
                continue
            if request.at - CONTACT_S <= entry["t"] <= request.ended_at:
                return True
        return False

    def in_touch(self, request: Request) -> bool:
        """Return whether the host ran, and had for some time, when a request came."""
        state = None
        for entry in self.signals[request.host]:
            if entry["t"] > request.at:
                break
            if entry.get("signal") != "SIGHUP":
                state = entry
        if state is None or state["kind"] == "ended":
            return state is None
        if state.get("signal") in ("SIGTERM", "SIGKILL", "SIGSTOP"):
            return False
        return request.at - state["t"] >= CONTACT_S

    def cut_by_exit(self, request: Request) -> bool:
        """Return whether a host that leaves may cut a request off."""
        allowed_s = WORK_FRACTION * self.settings["grace_s"]
        for entry in self.signals[request.host]:
            if entry.get("signal") != "SIGTERM" or request.sent_at is None:
                continue
            if request.sent_at > entry["t"] + SENT_AFTER_TERM_S:
                continue
            if request.ended_at >= entry["t"] + allowed_s:
                return True
        return False

    def calm(self, service: str, since: float, until: float) -> bool:
        """Return whether the endpoints of a service did not fail and had room."""
        for at, failed in self.service_faults:
            if failed == service and since <= at <= until:
                return False
        return True

    def player_late(self, request: Request) -> bool:
        """Return whether the player was held up during a request."""
        return any(request.at <= at <= request.ended_at for at in self.lags)


@rule("lost")
def find_lost(run: Run) -> list[str]:
    """Requests that an endpoint has, and whose connection ends without an answer."""
    found = []
    for request in run.requests.values():
        response = request.response
        if response is None or response["gave_up"] or not request.runs:
            continue
        if response["whole"] or run.disturbed(request) or run.endpoint_failed(request):
            continue
        if run.cut_by_exit(request):
            continue
        found.append(
            f"{request.id} at {request.host}: {request.route}, {response['events']} of "
            f"{request.event_count} events, sent at {request.at:.2f}, "
            f"ended at {request.ended_at:.2f}"
        )
    return found


@rule("twice")
def find_twice(run: Run) -> list[str]:
    """Bookings that ran more than once."""
    bookings = [r for r in run.requests.values() if r.route == "book"]
    return [request.id for request in bookings if len(request.runs) > 1]


@rule("refused")
def find_refused(run: Run) -> list[str]:
    """Bookings that have run, though their refusal says that they have not."""
    found = []
    for request in run.requests.values():
        if request.route != "book" or request.response is None or not request.runs:
            continue
        if request.response["status"] in PROMISES:
            found.append(f"{request.id}: {request.response['status']}")
    return found


@rule("order")
def find_disorder(run: Run) -> list[str]:
    """Streams with events that are missing or come twice."""
    found = []
    for request in run.requests.values():
        response = request.response
        if response is None or response["status"] != 200:
            continue
        short = response["whole"] and response["events"] != request.event_count
        if short or not response["in_order"]:
            found.append(f"{request.id}: {response['events']} events")
    return found


@rule("late")
def find_late(run: Run) -> list[str]:
    """Requests without an answer after their deadline."""
    found = []
    for request in run.requests.values():
        response = request.response
        if response is None or request.event_count or request.sent_at is None:
            continue
        if response["t"] - request.sent_at <= request.deadline_s + LATE_S:
            continue
        if not run.disturbed(request) and not run.player_late(request):
            found.append(f"{request.id}: {response['t'] - request.sent_at:.2f} s")
    return found


@rule("budget")
def find_excess_retries(run: Run) -> list[str]:
    """Windows with more repeated arrivals at a service than its requests allow."""
    found = []
    for service, used in most_of_budget(run).items():
        if used > 1.0:
            found.append(f"{service}: {used:.2f} of the retry budget")
    return found


def most_of_budget(run: Run) -> dict[str, float]:
    """Return the most of the retry budget that was used in a window, by service."""
    settings = run.settings
    window_s = settings["window_s"]
    sent: dict[str, list[float]] = defaultdict(list)
    repeats: dict[str, list[float]] = defaultdict(list)
    for request in run.requests.values():
        service = settings["services"][request.route]
        if request.sent_at is not None:
            sent[service].append(request.sent_at)
        arrivals = sorted(e["t"] for e in request.arrivals if e["what"] != "served")
        repeats[service] += arrivals[1:]
    most = {}
    for service, times in repeats.items():
        starts = sorted(sent[service])
        times.sort()
        most[service] = 0.0
        # Fewer requests may be in a window that begins with a repeat than in the one
        # that ends with it.
        for begins in [*times, *(at - window_s for at in times)]:
            count = _count(times, begins, window_s)
            requests = 0
            for shift_s in (0.0, window_s / 2, window_s):
                requests = max(requests, _count(starts, begins - shift_s, window_s))
            allowed = settings["ratio"] * requests + settings["constant"]
            most[service] = max(most[service], count / allowed)
    return most


def _count(times: list[float], begins: float, window_s: float) -> int:
    """Return how many of the sorted times are in a window."""
    ends = bisect.bisect_right(times, begins + window_s)
    return ends - bisect.bisect_left(times, begins)


@rule("ended")
def find_ended(run: Run) -> list[str]:
    """Hosts whose process ended without a signal."""
    ended = [entry for entry in of_kind(run.entries, "ended") if entry["by_itself"]]
    return [f"{entry['host']}: exit code {entry['code']}" for entry in ended]


@rule("content")
def find_refused_contents(run: Run) -> list[str]:
    """Sound contents that are refused though their service can be used.

    It can be if others of it are served, or nothing happened to its endpoints lately.
    """
    asked_in: dict[int, Counter[tuple[str, str]]] = defaultdict(Counter)
    served_in: dict[int, Counter[tuple[str, str]]] = defaultdict(Counter)
    for request in run.requests.values():
        if request.fatal or request.broken or not run.in_touch(request):
            continue
        interval = int(request.at / INTERVAL_S)
        key = (run.settings["services"][request.route], request.content)
        asked_in[interval][key] += 1
        served_in[interval][key] += request.served
    found = []
    for interval in range(int(run.ends_at / INTERVAL_S)):
        asked, served = asked_in[interval], served_in[interval]
        for (service, content), count in asked.items():
            if count < MIN_REQUESTS:
                continue
            fraction = served[service, content] / count
            others = [key for key in asked if key[0] == service and key[1] != content]
            total = sum(asked[key] for key in others)
            share = sum(served[key] for key in others) / total if total else 0.0
            begins = interval * INTERVAL_S
            usable = share > 2 * SERVED_FRACTION or run.calm(
                service, begins - INTERVAL_S, begins + INTERVAL_S
            )
            if fraction < SERVED_FRACTION and usable:
                found.append(
                    f"{content}: {fraction:.2f} of {count} served from "
                    f"{begins:.0f} s on, others {share:.2f}"
                )
    return found


@rule("fatal")
def find_fatal_sends(run: Run) -> list[str]:
    """Fatal contents that go on to end endpoints after the third end under them."""
    arrivals: dict[str, list[float]] = defaultdict(list)
    for request in run.requests.values():
        if request.fatal:
            arrivals[request.content] += [entry["t"] for entry in request.runs]
    found = []
    for content, times in arrivals.items():
        times.sort()
        # Each send ends an endpoint.
        late = [at for at in times[3:] if at > times[2] + CONTACT_S]
        if len(late) > 3:
            found.append(f"{content}: {len(late)} sends after the third end")
    return found


def judge(entries: list[Entry]) -> dict[str, list[str]]:
    """Return what breaks each rule that is broken."""
    run = Run(entries)
    found = {name: function(run) for name, function in RULES.items()}
    return {name: broken for name, broken in found.items() if broken}


__all__ = [
    "RULES",
    "Run",
    "judge",
    "most_of_budget",
]
