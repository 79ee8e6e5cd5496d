"""Tests of a model request at the entry host, over its attempts."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hemlockhall_core.connection.message import (
    Close,
    Failed,
    Open,
    OutputToken,
    ResponseSummary,
)
from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.request.checksum import checksum
from hemlockhall_core.request.reason import Ran, RefusalReason, RetryReason
from hemlockhall_core.version.document import Endpoint, Model
from hemlockhalld.request.generation import Generation, GenerationParams
from hemlockhalld.request.problem import Problem

MODEL = Model("organ", "organ", "", 4, 9.0, 9)
ENDPOINT = Endpoint("a", "10.0.0.1:1", "attica-1", "tall", 1.0, "organ", 0, 4, "")


@dataclass
class FakeStage:
    """A link whose only peer answers an opening with news."""

    answer: Callable[[Open], list[Any]]
    generation: Generation | None = None
    posted: list[Any] = field(default_factory=list)
    name: str = "entry"
    address: str = "10.0.0.9:1"

    def peer(self, name: str, address: str) -> FakeStage:
        """Return the peer, which is this."""
        return self

    def post(self, message: Any) -> None:
        """Answer an opening."""
        self.posted.append(message)
        if isinstance(message, Open):
            assert self.generation is not None
            for news in self.answer(message):
                self.generation.post(news)

    def openings(self) -> int:
        """Return how many attempts were opened."""
        return sum(isinstance(message, Open) for message in self.posted)


def frame(attempt: int, index: int, last: int | None = None) -> OutputToken:
    final = None
    if last is not None:
        final = ResponseSummary(last + 1, checksum(range(last + 1)), "length")
    return OutputToken("r", attempt, index, index, f"w{index}", 3, final)


def run(
    answer: Callable[[Open], list[Any]], version: Callable[[], int] = lambda: 1
) -> tuple[list[str], FakeStage]:
    link = FakeStage(answer)
    params = GenerationParams("r", MODEL, "p", 9, 0, 1, time.monotonic() + 20)
    texts: list[str] = []

    async def main() -> None:
        link.generation = Generation(
            params,
            link,  # type: ignore[arg-type]
            Metrics(),
            version,
            lambda model, avoid: [ENDPOINT],
            5,
        )
        async for token in link.generation.tokens():
            texts.append(token.text)
        link.generation.close()

    anyio.run(main)
    return texts, link


class TestTokens:
    def test_frames_are_put_in_order(self) -> None:
        texts, link = run(lambda m: [frame(1, 2, 2), frame(1, 0), frame(1, 1)])
        assert texts == ["w0", "w1", "w2"]
        assert link.posted[-1] == Close("r", 1)

    # The frozen stage of the first attempt resumes and sends its old frames.
    def test_frames_of_an_earlier_attempt_are_dropped(self) -> None:
        def answer(message: Open) -> list[Any]:
            if message.attempt == 1:
                return [frame(1, 0), Failed("r", 1, "a", RetryReason.PEER_LOST.value)]
            assert message.known_tokens == [0]
            return [frame(1, 1), frame(2, 1, 1)]

        texts, _ = run(answer)
        assert texts == ["w0", "w1"]

    def test_a_repeated_frame_is_delivered_once(self) -> None:
        texts, _ = run(lambda m: [frame(1, 0), frame(1, 0), frame(1, 1, 1)])
        assert texts == ["w0", "w1"]

    def test_a_wrong_checksum_is_not_a_whole_answer(self) -> None:
        wrong = OutputToken("r", 1, 0, 0, "w0", 3, ResponseSummary(1, 99, "length"))
        with pytest.raises(Problem) as caught:
            run(lambda m: [wrong])
        assert caught.value.reason is RefusalReason.OUTCOME_UNKNOWN
        assert caught.value.ran is Ran.YES

    # The side process has adopted a version that this host has not. The host
    # asks for it and adopts it a little later; the request must wait for that
    # and not use up its repairs on the old version.
    def test_a_stale_version_is_waited_out(self) -> None:
        newer_at = time.monotonic() + 0.3

        def answer(message: Open) -> list[Any]:
            if message.version == 1:
                attempt = message.attempt
                return [Failed("r", attempt, "a", RetryReason.STALE_VERSION.value)]
            return [frame(message.attempt, 0, 0)]

        version = lambda: 2 if time.monotonic() > newer_at else 1  # noqa: E731
        texts, link = run(answer, version)
        assert texts == ["w0"]
        assert link.openings() == 2

    def test_repairs_end(self) -> None:
        def answer(message: Open) -> list[Any]:
            attempt = message.attempt
            return [Failed("r", attempt, "a", RetryReason.ENGINE_FAILED.value)]

        with pytest.raises(Problem) as caught:
            run(answer)
        assert caught.value.reason is RefusalReason.REPAIR_EXHAUSTED
        assert caught.value.ran is Ran.UNKNOWN
        assert caught.value.retry_after
