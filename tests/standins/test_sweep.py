"""The judgement of a sweep against the gate of a landing."""

from __future__ import annotations

import msgspec

from hemlockhall_standins.bench.sweep import Day, days, problems


class TestProblems:
    def test_a_clean_sweep_has_none(self) -> None:
        played = [Day("sweep-30", 0.99, {}), Day("sweep-300", 0.7, {})]
        assert problems(played) == []

    def test_a_large_day_that_serves_too_little_is_named(self) -> None:
        played = [Day("sweep-30", 0.99, {}), Day("sweep-300", 0.06, {})]
        assert problems(played) == [
            "sweep-300: served 0.060, the gate asks for 0.693",
        ]

    def test_a_broken_rule_on_any_day_is_named(self) -> None:
        played = [
            Day("sweep-30", 0.99, {}),
            Day("sweep-100", 0.99, {"LOST": 3}),
            Day("sweep-300", 0.99, {}),
        ]
        assert problems(played) == ["sweep-100: rules broken: LOST"]

    def test_a_day_that_was_not_played_is_named(self) -> None:
        played = [Day("sweep-30", 0.99, {})]
        assert problems(played) == ["sweep-300: not played"]


class TestDays:
    def test_the_days_of_an_entry_are_read(self) -> None:
        entry = {
            "cmd": "sweep",
            "days": [{"name": "sweep-30", "served": 0.5, "rules": {}, "fault": "x"}],
        }
        assert days(msgspec.json.encode(entry)) == [Day("sweep-30", 0.5, {}, "x")]

    def test_an_entry_without_days_has_none(self) -> None:
        assert days(b'{"days": null}') == []
