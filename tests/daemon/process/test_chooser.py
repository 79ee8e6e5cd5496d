"""Tests of the choice of a pipeline, also against the round-robin baseline."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_core.version.document import Endpoint
from hemlockhalld.process.chooser import CHOOSERS, Candidate

LAYERS = 6


def candidate(
    name: str,
    first: int,
    last: int,
    in_flight: int = 0,
    speed: float = 1.0,
    data_centre: str = "attica-1",
) -> Candidate:
    endpoint = Endpoint(
        name, "10.0.0.1:1", data_centre, "tall", speed, "organ", first, last, ""
    )
    return Candidate(endpoint, in_flight, 0)


@st.composite
def layouts(draw: st.DrawFn) -> list[Candidate]:
    layer_range = st.tuples(st.integers(0, 5), st.integers(1, 6)).filter(
        lambda s: s[0] < s[1]
    )
    layer_ranges = draw(st.lists(layer_range, max_size=12))
    return [candidate(f"e{n}", a, b) for n, (a, b) in enumerate(layer_ranges)]


class TestChoosePipeline:
    @pytest.mark.parametrize("name", sorted(CHOOSERS))
    @given(candidates=layouts())
    def test_pipeline_covers_each_layer_once_in_order(
        self, name: str, candidates: list[Candidate]
    ) -> None:
        pipeline = CHOOSERS[name]("attica-1").choose_pipeline(LAYERS, candidates)
        if not pipeline:
            return
        assert pipeline[0].first_layer == 0
        assert pipeline[-1].end_layer == LAYERS
        for before, after in zip(pipeline, pipeline[1:], strict=False):
            assert before.end_layer == after.first_layer

    @given(candidates=layouts())
    def test_weighted_finds_a_pipeline_wherever_round_robin_does(
        self, candidates: list[Candidate]
    ) -> None:
        round_robin = CHOOSERS["round_robin"]("attica-1").choose_pipeline(
            LAYERS, candidates
        )
        weighted = CHOOSERS["weighted"]("attica-1").choose_pipeline(LAYERS, candidates)
        assert bool(weighted) or not round_robin

    def test_busy_endpoint_is_avoided(self) -> None:
        candidates = [candidate("a", 0, 6, in_flight=9), candidate("b", 0, 6)]
        pipeline = CHOOSERS["weighted"]("attica-1").choose_pipeline(LAYERS, candidates)
        assert [e.name for e in pipeline] == ["b"]

    def test_pipeline_stays_in_one_data_centre_if_possible(self) -> None:
        candidates = [
            candidate("a", 0, 3),
            candidate("far", 3, 6, data_centre="attica-2"),
            candidate("near", 3, 6),
        ]
        pipeline = CHOOSERS["weighted"]("attica-1").choose_pipeline(LAYERS, candidates)
        assert [e.name for e in pipeline] == ["a", "near"]

    def test_load_is_distributed_by_speed(self) -> None:
        random.seed(7)
        chooser = CHOOSERS["weighted"]("attica-1")
        in_flight: Counter[str] = Counter()
        for _ in range(300):
            candidates = [
                candidate("slow", 0, 6, in_flight["slow"], 1.0),
                candidate("fast", 0, 6, in_flight["fast"], 2.0),
            ]
            in_flight[chooser.choose_pipeline(LAYERS, candidates)[0].name] += 1
        assert 180 <= in_flight["fast"] <= 220
