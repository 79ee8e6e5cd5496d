"""Short runs of the soak, with router processes."""

from __future__ import annotations

from random import Random

import pytest

from hemlockhall_standins.soak.checker import judge
from hemlockhall_standins.soak.history import History
from hemlockhall_standins.soak.player import RunOptions, draw_disruptions, play
from hemlockhall_standins.soak.scenario import SCENARIOS

pytestmark = pytest.mark.anyio

SECONDS = 22.0
HOSTS = 3


class TestSoak:
    @pytest.mark.parametrize(
        ("scenario", "seconds"),
        [
            ("planned", SECONDS),
            ("crash all", SECONDS),
            ("blackout", SECONDS),
            ("links", SECONDS),
            ("dark", 26.0),
            ("pressed waves", 36.0),
        ],
    )
    async def test_no_rule_is_broken(self, scenario: str, seconds: float) -> None:
        """Guards against faults that only whole processes show."""
        history = History()
        await play(RunOptions(scenario, 1, seconds, HOSTS), history)
        assert judge(history.entries) == {}


class TestSchedule:
    def test_a_seed_always_draws_the_same_disruptions(self) -> None:
        scenario = SCENARIOS["all"]
        first = draw_disruptions(scenario, Random(7), 60.0)
        assert draw_disruptions(scenario, Random(7), 60.0) == first
        assert draw_disruptions(scenario, Random(8), 60.0) != first
