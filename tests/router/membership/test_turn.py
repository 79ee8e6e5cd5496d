"""Which items a message has if it cannot hold all."""

from __future__ import annotations

import pytest

from hemlockhall_router.membership.turn import take_turn

LIMIT = 16
# Cycles of turns within which any regular part of the turns has all items.
CYCLES = 5


class TestTurns:
    @pytest.mark.parametrize("stride", [1, 2])
    @pytest.mark.parametrize("first", [0, 1])
    def test_each_second_turn_has_all_items_in_time(
        self, first: int, stride: int
    ) -> None:
        """Guards against a host that gets each second message and is told the same
        items each time."""
        for count in range(1, 200):
            items = list(range(count))
            turns = -(-count // LIMIT)
            told = set()
            for turn in range(first, first + stride * CYCLES * turns, stride):
                part = take_turn(items, LIMIT, turn)
                assert len(part) <= LIMIT
                told.update(part)
            assert told == set(items)

    def test_turns_in_a_row_have_all_items(self) -> None:
        for count in range(1, 100):
            items = list(range(count))
            told: set[int] = set()
            for turn in range(-(-count // LIMIT)):
                told.update(take_turn(items, LIMIT, turn))
            assert told == set(items)
