"""New connections at a host that gets most of them, without a network."""

from __future__ import annotations

import time

import pytest

from hemlockhall_router.process.intake import (
    MAX_LAG_S,
    MAX_PAUSE_S,
    MIN_FRACTION,
    MIN_RELATIVE_DEMAND,
    Intake,
)
from hemlockhall_router.process.metric import Metrics
from hemlockhall_standins.virtual_time import VirtualClock

LATE_S = 4 * MAX_LAG_S
SECONDS = 3.0


class Host:
    """A host whose event loop runs late, and which has ``demand`` times the mean."""

    def __init__(self, clock: VirtualClock, demand: float) -> None:
        self.clock = clock
        self.demand = demand
        self.intake = Intake(lambda: self.demand, Metrics(), time.monotonic)

    def run(self, seconds: float, lag_s: float) -> float:
        """Return the fraction of new connections that it serves meanwhile."""
        served = total = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.clock.advance(0.05 + lag_s)
            self.intake.record_lag(lag_s)
            for _ in range(10):
                total += 1
                served += self.intake.accepts()
        return served / total


class TestOverload:
    def test_connections_are_closed_unread(self, clock: VirtualClock) -> None:
        """Guards against a host that reads the requests of all callers, and serves
        hardly any of them in time, while the other hosts are idle."""
        host = Host(clock, demand=4.0)
        host.run(SECONDS, LATE_S)
        assert host.run(SECONDS, LATE_S) < 2 * MIN_FRACTION

    def test_some_are_served_all_the_same(self, clock: VirtualClock) -> None:
        """Guards against a host that says that it is ready and takes no connection."""
        host = Host(clock, demand=4.0)
        host.run(10.0, 10 * LATE_S)
        for _ in range(10):
            clock.advance(MAX_PAUSE_S + 0.01)
            assert host.intake.accepts()

    def test_then_all_are_served_again(self, clock: VirtualClock) -> None:
        host = Host(clock, demand=4.0)
        host.run(SECONDS, LATE_S)
        host.run(SECONDS, 0.0)
        assert host.run(SECONDS, 0.0) == 1.0

    @pytest.mark.parametrize("demand", [0.5, 1.0, MIN_RELATIVE_DEMAND])
    def test_none_is_closed_if_the_other_hosts_have_as_many(
        self, clock: VirtualClock, demand: float
    ) -> None:
        """Guards against callers that are sent from one overloaded host to the next."""
        host = Host(clock, demand)
        assert host.run(SECONDS, LATE_S) == 1.0

    def test_none_is_closed_for_a_single_stall(self, clock: VirtualClock) -> None:
        """Guards against callers who lose their retry as a host applied a large
        configuration."""
        host = Host(clock, demand=4.0)
        host.run(SECONDS, 0.0)
        host.intake.record_lag(0.15)
        assert host.run(SECONDS, 0.0) == 1.0
