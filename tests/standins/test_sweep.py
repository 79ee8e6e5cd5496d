"""Tests of the checks of a sweep against the merge gate."""

from __future__ import annotations

import msgspec

from hemlockhall_standins.bench.sweep import SweepDay, gate_violations, parse_days


class TestGateViolations:
    def test_a_clean_sweep_has_no_violations(self) -> None:
        sweep_days = [SweepDay("sweep-30", 0.99, {}), SweepDay("sweep-300", 0.7, {})]
        assert gate_violations(sweep_days) == []

    def test_a_large_day_that_serves_too_little_is_reported(self) -> None:
        sweep_days = [SweepDay("sweep-30", 0.99, {}), SweepDay("sweep-300", 0.06, {})]
        assert gate_violations(sweep_days) == [
            "sweep-300: served 0.060, the gate asks for 0.693",
        ]

    def test_a_broken_rule_on_any_day_is_reported(self) -> None:
        sweep_days = [
            SweepDay("sweep-30", 0.99, {}),
            SweepDay("sweep-100", 0.99, {"LOST": 3}),
            SweepDay("sweep-300", 0.99, {}),
        ]
        assert gate_violations(sweep_days) == ["sweep-100: rules broken: LOST"]

    def test_a_missing_day_is_reported(self) -> None:
        sweep_days = [SweepDay("sweep-30", 0.99, {})]
        assert gate_violations(sweep_days) == ["sweep-300: not played"]


class TestParseDays:
    def test_the_days_of_an_entry_are_parsed(self) -> None:
        entry = {
            "cmd": "sweep",
            "days": [{"name": "sweep-30", "served": 0.5, "rules": {}, "fault": "x"}],
        }
        assert parse_days(msgspec.json.encode(entry)) == [
            SweepDay("sweep-30", 0.5, {}, "x")
        ]

    def test_an_entry_without_days_has_none(self) -> None:
        assert parse_days(b'{"days": null}') == []
