"""Tests of the state of a request at one stage, over retries."""

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
    request_stage = Stage(message, 0.0)
    request_stage.begin_attempt(message)
    return request_stage


def activations(position: int, count: int) -> Activations:
    return Activations("r", 1, 2, position, 3, [b"%d" % n for n in range(count)])


def run_step(request_stage: Stage, count: int, token: int | None = None) -> None:
    token_result = None if token is None else SampledToken(token, f"w{token}", "")
    outputs = [b"x"] * count
    request_stage.apply_result(
        StepResult("r", 1, "", request_stage.cached_positions, 3, outputs, token_result)
    )


class TestAddActivations:
    def test_duplicate_is_dropped_and_overlap_trimmed(self) -> None:
        middle = stage(1)
        assert middle.add_activations(activations(0, 3))
        assert not middle.add_activations(activations(0, 3))
        assert middle.add_activations(activations(2, 2))
        assert middle.inputs == [b"0", b"1", b"2", b"1"]

    def test_gap_raises(self) -> None:
        with pytest.raises(GapError, match="expected position 0, got 1"):
            stage(1).add_activations(activations(1, 1))

    def test_positions_in_the_running_step_are_duplicates(self) -> None:
        middle = stage(1)
        middle.add_activations(activations(0, 3))
        assert middle.next_item() is not None
        assert not middle.add_activations(activations(0, 3))


class TestBeginAttempt:
    def test_outputs_are_retained_for_the_replacement_of_a_lost_stage(self) -> None:
        first = stage(0)
        assert first.next_item() is not None
        run_step(first, 3)
        assert first.take_unsent() == [b"x"] * 3
        first.begin_attempt(
            msgspec.structs.replace(OPEN, attempt=2, known_tokens=[], resume=True)
        )
        assert first.take_unsent() == []
        first.awaiting_request = False
        assert len(first.take_unsent()) == 3
        assert first.next_item() is None

    def test_positions_of_undelivered_tokens_are_discarded(self) -> None:
        first = stage(0)
        first.next_item()
        run_step(first, 3)
        for token in (11, 12):
            first.tokens.append(token)
            first.next_item()
            run_step(first, 1)
        resumed = msgspec.structs.replace(
            OPEN, attempt=2, known_tokens=[11], resume=True
        )
        first.begin_attempt(resumed)
        assert (first.cached_positions, first.tokens) == (4, [11])

    def test_last_stage_keeps_one_undelivered_token(self) -> None:
        last = stage(2)
        last.add_activations(activations(0, 3))
        last.next_item()
        run_step(last, 3, token=11)
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
        last.add_activations(activations(0, 3))
        early = last.next_item()
        assert early is not None
        assert not early.sample
        run_step(last, 3)
        last.add_activations(activations(3, 2))
        late = last.next_item()
        assert late is not None
        assert late.sample


class TestReleaseOutputs:
    def test_released_outputs_are_not_sent_again(self) -> None:
        first = stage(0)
        first.next_item()
        run_step(first, 3)
        first.take_unsent()
        assert first.release_outputs() == 3
        assert (first.outputs_start, first.outputs) == (3, [])
