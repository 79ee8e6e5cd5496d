"""Tests of the choice of a pipeline, against the naive version too."""

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
    busy: int = 0,
    speed: float = 1.0,
    data_centre: str = "attica-1",
) -> Candidate:
    endpoint = Endpoint(
        name, "10.0.0.1:1", data_centre, "tall", speed, "organ", first, last, ""
    )
    return Candidate(endpoint, busy, 0)


@st.composite
def layouts(draw: st.DrawFn) -> list[Candidate]:
    spans = st.tuples(st.integers(0, 5), st.integers(1, 6)).filter(
        lambda s: s[0] < s[1]
    )
    chosen = draw(st.lists(spans, max_size=12))
    return [candidate(f"e{n}", a, b) for n, (a, b) in enumerate(chosen)]


class TestChoosePipeline:
    @pytest.mark.parametrize("name", sorted(CHOOSERS))
    @given(candidates=layouts())
    def test_chain_covers_the_model_once_in_order(
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
    def test_weighted_finds_a_chain_wherever_the_naive_one_does(
        self, candidates: list[Candidate]
    ) -> None:
        naive = CHOOSERS["round_robin"]("attica-1").choose_pipeline(LAYERS, candidates)
        ours = CHOOSERS["weighted"]("attica-1").choose_pipeline(LAYERS, candidates)
        assert bool(ours) or not naive

    def test_busy_endpoints_are_passed_by(self) -> None:
        candidates = [candidate("a", 0, 6, busy=9), candidate("b", 0, 6)]
        pipeline = CHOOSERS["weighted"]("attica-1").choose_pipeline(LAYERS, candidates)
        assert [e.name for e in pipeline] == ["b"]

    def test_a_chain_stays_in_one_data_centre_when_it_can(self) -> None:
        candidates = [
            candidate("a", 0, 3),
            candidate("far", 3, 6, data_centre="attica-2"),
            candidate("near", 3, 6),
        ]
        pipeline = CHOOSERS["weighted"]("attica-1").choose_pipeline(LAYERS, candidates)
        assert [e.name for e in pipeline] == ["a", "near"]

    def test_work_is_spread_by_speed(self) -> None:
        random.seed(7)
        chooser = CHOOSERS["weighted"]("attica-1")
        busy: Counter[str] = Counter()
        for _ in range(300):
            candidates = [
                candidate("slow", 0, 6, busy["slow"], 1.0),
                candidate("fast", 0, 6, busy["fast"], 2.0),
            ]
            busy[chooser.choose_pipeline(LAYERS, candidates)[0].name] += 1
        assert 180 <= busy["fast"] <= 220
