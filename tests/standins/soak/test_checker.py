"""The checker of the soak finds each fault that is planted in a history."""

from __future__ import annotations

from typing import Any

import pytest

from hemlockhall_standins.soak.checker import RULES, judge

SETTINGS = {
    "t": 0.0,
    "kind": "settings",
    "ratio": 0.2,
    "constant": 15,
    "window_s": 10.0,
    "grace_s": 8.0,
    "services": {"read": "desk", "book": "desk", "draft": "pool"},
}


def request(
    number: int, at: float, route: str = "read", events: int = 0, **fields: Any
) -> list[dict[str, Any]]:
    """Return the entries of a request that is sent."""
    entry = {
        "t": at,
        "kind": "request",
        "id": str(number),
        "route": route,
        "content": f"{route}-20-0",
        "host": "host-0",
        "deadline_s": 4.0,
        "events": events,
        "fatal": False,
        **fields,
    }
    return [entry, {"t": at, "kind": "sent", "id": str(number)}]


def run(number: int, at: float, what: str = "run", endpoint: str = "e-1") -> dict:
    """Return the entry of an arrival at an endpoint."""
    return {
        "t": at,
        "kind": "arrival",
        "id": str(number),
        "endpoint": endpoint,
        "what": what,
    }


def response(number: int, at: float, status: int = 200, **fields: Any) -> dict:
    """Return the entry of a response."""
    return {
        "t": at,
        "kind": "response",
        "id": str(number),
        "status": status,
        "whole": status != 0,
        "events": 0,
        "in_order": True,
        "gave_up": False,
        **fields,
    }


def signal(at: float, name: str) -> dict[str, Any]:
    return {"t": at, "kind": "signal", "host": "host-0", "signal": name}


def fault(at: float, what: str) -> dict[str, Any]:
    return {
        "t": at,
        "kind": "endpoint",
        "endpoint": "e-1",
        "service": "desk",
        "what": what,
    }


def broken(*entries: Any) -> list[str]:
    """Return the names of the rules that a history breaks."""
    flat = [SETTINGS]
    for entry in entries:
        flat += entry if isinstance(entry, list) else [entry]
    return list(judge(sorted(flat, key=lambda entry: entry["t"])))


LOST = [request(1, 1.0), run(1, 1.1), response(1, 2.0, 0)]


class TestLost:
    def test_a_connection_that_ends_without_an_answer_is_found(self) -> None:
        assert broken(*LOST) == ["lost"]

    def test_a_stream_that_is_cut_long_after_sigterm_is_found(self) -> None:
        stream = [
            signal(1.0, "SIGTERM"),
            request(1, 5.0, "draft", events=84),
            run(1, 5.1),
            response(1, 8.5, 200, whole=False, events=60),
        ]
        assert broken(*stream) == ["lost"]

    @pytest.mark.parametrize(
        "excuse",
        [
            signal(1.5, "SIGKILL"),
            signal(0.5, "SIGSTOP"),
            fault(1.5, "crash"),
            fault(1.5, "reset"),
        ],
    )
    def test_an_end_by_another_cause_is_excused(self, excuse: dict[str, Any]) -> None:
        assert broken(*LOST, excuse) == []

    def test_long_work_that_was_sent_soon_after_sigterm_is_excused(self) -> None:
        work = [signal(0.5, "SIGTERM"), request(1, 1.0), run(1, 1.1)]
        assert broken(*work, response(1, 8.3, 0)) == ["late"]
        assert broken(*work, response(1, 3.0, 0)) == ["lost"]


class TestBookings:
    def test_one_that_runs_twice_is_found(self) -> None:
        found = broken(
            request(1, 1.0, "book"), run(1, 1.1), run(1, 1.2), response(1, 1.3)
        )
        assert found == ["twice"]

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_one_that_has_run_and_is_refused_is_found(self, status: int) -> None:
        found = broken(request(1, 1.0, "book"), run(1, 1.1), response(1, 1.3, status))
        assert found == ["refused"]


class TestStreams:
    @pytest.mark.parametrize(
        "fields", [{"events": 83}, {"events": 84, "in_order": False}]
    )
    def test_one_with_a_wrong_event_is_found(self, fields: dict[str, Any]) -> None:
        found = broken(
            request(1, 1.0, "draft", events=84), run(1, 1.1), response(1, 5.0, **fields)
        )
        assert found == ["order"]


class TestBudget:
    def test_retries_above_it_are_found(self) -> None:
        """A window of 10 requests allows 17 retries."""
        entries: list[Any] = []
        for number in range(10):
            entries += [request(number, 1.0), response(number, 2.0)]
            entries += [run(number, 1.1 + n / 100, "reject") for n in range(3)]
        assert broken(*entries) == ["budget"]
        assert broken(*entries[:-15]) == []

    def test_requests_of_the_window_before_are_counted(self) -> None:
        """20 retries at 15.2 s need 25 requests in the window up to then."""
        entries: list[Any] = []
        for number in range(50, 70):
            entries += [request(number, 15.0), run(number, 15.1), run(number, 15.2)]
        early, late = [], []
        for number in range(50):
            early += [request(number, 5.0), response(number, 5.1)]
            late += [request(number, 6.0), response(number, 6.1)]
        assert broken(*entries, *late) == []
        assert broken(*entries, *early) == ["budget"]

    def test_requests_that_left_the_window_before_its_last_retry_are_not_counted(
        self,
    ) -> None:
        """Guards against windows that are judged only by their end: 50 requests, and 50
        others 8 s later, allow 25 retries between the first and 10 s after them."""
        entries: list[Any] = []
        for number in range(50):
            entries += [request(number, 20.0, deadline_s=9.0), response(number, 28.5)]
        for number in range(50, 100):
            entries += [request(number, 28.0), response(number, 30.0)]
        for number in [*range(15), *range(50, 65)]:
            at = 21.0 if number < 50 else 29.0
            entries += [run(number, at), run(number, at + 0.5)]
        assert broken(*entries) == ["budget"]


class TestContents:
    @staticmethod
    def refused(*, others: int, calm_from: float) -> list[Any]:
        """Return 30 refusals of one content, and bookings that are served."""
        entries: list[Any] = [fault(calm_from, "crash")]
        for number in range(30):
            at = 10.0 + number / 10
            entries += [request(number, at), response(number, at + 0.01, 503)]
        for number in range(100, 100 + others):
            entries += [request(number, 11.0, "book"), run(number, 11.1)]
            entries += [run(number, 11.1, "served"), response(number, 11.2)]
        return entries + [response(999, 16.0)]

    def test_one_that_is_refused_while_others_are_served_is_found(self) -> None:
        assert broken(*self.refused(others=30, calm_from=9.0)) == ["content"]

    def test_one_that_is_refused_with_all_others_in_calm_is_found(self) -> None:
        assert broken(*self.refused(others=0, calm_from=1.0)) == ["content"]

    def test_one_that_endpoints_fail_is_not_found(self) -> None:
        entries = self.refused(others=30, calm_from=9.0)
        for number in range(30):
            entries.append(run(number, 10.0 + number / 10, "broken"))
            entries.append(response(number, 10.01 + number / 10, 502))
        assert broken(*entries) == []

    def test_one_that_is_refused_in_an_outage_is_not_found(self) -> None:
        assert broken(*self.refused(others=0, calm_from=9.0)) == []


class TestFatal:
    def test_one_that_is_sent_on_is_found(self) -> None:
        entries: list[Any] = []
        for number in range(8):
            at = 1.0 + 2 * number
            entries += [request(number, at, fatal=True), run(number, at)]
            entries.append(response(number, at + 0.1, 502))
        assert broken(*entries) == ["fatal"]


class TestHosts:
    def test_one_that_ends_by_itself_is_found(self) -> None:
        end = {"t": 1.0, "kind": "ended", "host": "host-0", "code": 1}
        assert broken({**end, "by_itself": True}) == ["ended"]
        assert broken({**end, "by_itself": False}) == []


class TestRules:
    def test_a_sound_history_breaks_none(self) -> None:
        served = [request(1, 1.0), run(1, 1.1), run(1, 1.2, "served"), response(1, 1.3)]
        assert broken(*served) == []

    def test_each_is_shown_to_fail_here(self) -> None:
        names = "lost twice refused order late budget ended content fatal"
        assert list(RULES) == names.split()
