"""Tests of a request's state at one stage, over repairs."""

from __future__ import annotations

import msgspec
import pytest

from hemlockhall_core.connection.message import Activations, Open, RouteStage
from hemlockhalld.process.engine import Result, Sampled
from hemlockhalld.request.stage import GapError, Stage

ROUTE = [
    RouteStage("a", "10.0.0.1:1", 0, 2),
    RouteStage("b", "10.0.0.2:1", 2, 4),
    RouteStage("c", "10.0.0.3:1", 4, 6),
]
OPEN = Open(
    "r",
    1,
    1,
    "organ",
    "",
    ROUTE,
    0,
    "e",
    "10.0.0.9:1",
    "p q r",
    [],
    False,
    9,
    0,
    1,
    9.0,
)


def stage(index: int) -> Stage:
    message = msgspec.structs.replace(OPEN, stage_index=index)
    made = Stage(message, 0.0)
    made.adopt(message)
    return made


def hop(position: int, count: int) -> Activations:
    return Activations("r", 1, 2, position, 3, [b"%d" % n for n in range(count)])


def run(made: Stage, count: int, token: int | None = None) -> None:
    sampled = None if token is None else Sampled(token, f"w{token}", "")
    outputs = [b"x"] * count
    made.done(Result("r", 1, "", made.length, 3, outputs, sampled))


class TestTakeHop:
    def test_a_repeat_is_dropped_and_an_overlap_trimmed(self) -> None:
        middle = stage(1)
        assert middle.take_hop(hop(0, 3))
        assert not middle.take_hop(hop(0, 3))
        assert middle.take_hop(hop(2, 2))
        assert middle.inputs == [b"0", b"1", b"2", b"1"]

    def test_a_gap_is_an_error(self) -> None:
        with pytest.raises(GapError, match="expected position 0, got 1"):
            stage(1).take_hop(hop(1, 1))

    def test_what_runs_now_counts_as_taken(self) -> None:
        middle = stage(1)
        middle.take_hop(hop(0, 3))
        assert middle.item() is not None
        assert not middle.take_hop(hop(0, 3))


class TestAdopt:
    def test_outputs_are_kept_for_the_successor_of_a_lost_stage(self) -> None:
        first = stage(0)
        assert first.item() is not None
        run(first, 3)
        assert first.unsent() == [b"x"] * 3
        first.adopt(
            msgspec.structs.replace(OPEN, attempt=2, known_tokens=[], resume=True)
        )
        assert first.unsent() == []
        first.need_awaited = False
        assert len(first.unsent()) == 3
        assert first.item() is None

    def test_positions_of_undelivered_tokens_are_taken_back(self) -> None:
        first = stage(0)
        first.item()
        run(first, 3)
        for token in (11, 12):
            first.tokens.append(token)
            first.item()
            run(first, 1)
        resumed = msgspec.structs.replace(
            OPEN, attempt=2, known_tokens=[11], resume=True
        )
        first.adopt(resumed)
        assert (first.length, first.tokens) == (4, [11])

    def test_last_stage_keeps_one_token_that_was_not_delivered(self) -> None:
        last = stage(2)
        last.take_hop(hop(0, 3))
        last.item()
        run(last, 3, token=11)
        resumed = msgspec.structs.replace(
            OPEN, attempt=2, stage_index=2, known_tokens=[], resume=True
        )
        last.adopt(resumed)
        assert (last.tokens, last.length) == ([11], 3)

    def test_new_last_stage_samples_only_after_the_known_tokens(self) -> None:
        resumed = msgspec.structs.replace(
            OPEN, attempt=2, stage_index=2, known_tokens=[11, 12], resume=True
        )
        last = Stage(resumed, 0.0)
        last.adopt(resumed)
        last.take_hop(hop(0, 3))
        early = last.item()
        assert early is not None
        assert not early.sample
        run(last, 3)
        last.take_hop(hop(3, 2))
        late = last.item()
        assert late is not None
        assert late.sample


class TestReleaseOutputs:
    def test_released_outputs_are_not_offered_again(self) -> None:
        first = stage(0)
        first.item()
        run(first, 3)
        first.unsent()
        assert first.release_outputs() == 3
        assert (first.base, first.outputs) == (3, [])
