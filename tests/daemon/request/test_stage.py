"""Tests of a request's state at one stage, over repairs."""

from __future__ import annotations

import msgspec
import pytest

from hemlockhall_core.connection.message import Activations, Open, RouteStage
from hemlockhalld.process.engine import SampledToken, StepResult
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
    made.begin_attempt(message)
    return made


def hop(position: int, count: int) -> Activations:
    return Activations("r", 1, 2, position, 3, [b"%d" % n for n in range(count)])


def run(made: Stage, count: int, token: int | None = None) -> None:
    sampled = None if token is None else SampledToken(token, f"w{token}", "")
    outputs = [b"x"] * count
    made.apply_result(
        StepResult("r", 1, "", made.cached_positions, 3, outputs, sampled)
    )


class TestTakeHop:
    def test_a_repeat_is_dropped_and_an_overlap_trimmed(self) -> None:
        middle = stage(1)
        assert middle.add_activations(hop(0, 3))
        assert not middle.add_activations(hop(0, 3))
        assert middle.add_activations(hop(2, 2))
        assert middle.inputs == [b"0", b"1", b"2", b"1"]

    def test_a_gap_is_an_error(self) -> None:
        with pytest.raises(GapError, match="expected position 0, got 1"):
            stage(1).add_activations(hop(1, 1))

    def test_what_runs_now_counts_as_taken(self) -> None:
        middle = stage(1)
        middle.add_activations(hop(0, 3))
        assert middle.next_item() is not None
        assert not middle.add_activations(hop(0, 3))


class TestAdopt:
    def test_outputs_are_kept_for_the_successor_of_a_lost_stage(self) -> None:
        first = stage(0)
        assert first.next_item() is not None
        run(first, 3)
        assert first.take_unsent() == [b"x"] * 3
        first.begin_attempt(
            msgspec.structs.replace(OPEN, attempt=2, known_tokens=[], resume=True)
        )
        assert first.take_unsent() == []
        first.awaiting_request = False
        assert len(first.take_unsent()) == 3
        assert first.next_item() is None

    def test_positions_of_undelivered_tokens_are_taken_back(self) -> None:
        first = stage(0)
        first.next_item()
        run(first, 3)
        for token in (11, 12):
            first.tokens.append(token)
            first.next_item()
            run(first, 1)
        resumed = msgspec.structs.replace(
            OPEN, attempt=2, known_tokens=[11], resume=True
        )
        first.begin_attempt(resumed)
        assert (first.cached_positions, first.tokens) == (4, [11])

    def test_last_stage_keeps_one_token_that_was_not_delivered(self) -> None:
        last = stage(2)
        last.add_activations(hop(0, 3))
        last.next_item()
        run(last, 3, token=11)
        resumed = msgspec.structs.replace(
            OPEN, attempt=2, stage_index=2, known_tokens=[], resume=True
        )
        last.begin_attempt(resumed)
        assert (last.tokens, last.cached_positions) == ([11], 3)

    def test_new_last_stage_samples_only_after_the_known_tokens(self) -> None:
        resumed = msgspec.structs.replace(
            OPEN, attempt=2, stage_index=2, known_tokens=[11, 12], resume=True
        )
        last = Stage(resumed, 0.0)
        last.begin_attempt(resumed)
        last.add_activations(hop(0, 3))
        early = last.next_item()
        assert early is not None
        assert not early.sample
        run(last, 3)
        last.add_activations(hop(3, 2))
        late = last.next_item()
        assert late is not None
        assert late.sample


class TestReleaseOutputs:
    def test_released_outputs_are_not_offered_again(self) -> None:
        first = stage(0)
        first.next_item()
        run(first, 3)
        first.take_unsent()
        assert first.release_outputs() == 3
        assert (first.outputs_start, first.outputs) == (3, [])
