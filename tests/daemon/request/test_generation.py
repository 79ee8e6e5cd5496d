"""Tests of a model request at the entry host, over all its attempts."""

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
    """A link whose only peer responds to each opening with events."""

    respond: Callable[[Open], list[Any]]
    generation: Generation | None = None
    posted: list[Any] = field(default_factory=list)
    name: str = "entry"
    address: str = "10.0.0.9:1"

    def peer(self, name: str, address: str) -> FakeStage:
        """Return this object as the peer."""
        return self

    def post(self, message: Any) -> None:
        """Record a message; post the events that respond to an opening."""
        self.posted.append(message)
        if isinstance(message, Open):
            assert self.generation is not None
            for event in self.respond(message):
                self.generation.post(event)

    def openings(self) -> int:
        """Return the number of opened attempts."""
        return sum(isinstance(message, Open) for message in self.posted)


def output_token(attempt: int, index: int, last: int | None = None) -> OutputToken:
    summary = None
    if last is not None:
        summary = ResponseSummary(last + 1, checksum(range(last + 1)), "length")
    return OutputToken("r", attempt, index, index, f"w{index}", 3, summary)


def run(
    respond: Callable[[Open], list[Any]], version: Callable[[], int] = lambda: 1
) -> tuple[list[str], FakeStage]:
    link = FakeStage(respond)
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
    def test_tokens_are_delivered_in_order(self) -> None:
        texts, link = run(
            lambda m: [output_token(1, 2, 2), output_token(1, 0), output_token(1, 1)]
        )
        assert texts == ["w0", "w1", "w2"]
        assert link.posted[-1] == Close("r", 1)

    def test_tokens_of_an_earlier_attempt_are_dropped(self) -> None:
        """A frozen stage of the first attempt resumes and sends its old tokens."""

        def respond(message: Open) -> list[Any]:
            if message.attempt == 1:
                return [
                    output_token(1, 0),
                    Failed("r", 1, "a", RetryReason.PEER_LOST.value),
                ]
            assert message.known_tokens == [0]
            return [output_token(1, 1), output_token(2, 1, 1)]

        texts, _ = run(respond)
        assert texts == ["w0", "w1"]

    def test_repeated_token_is_delivered_once(self) -> None:
        texts, _ = run(
            lambda m: [output_token(1, 0), output_token(1, 0), output_token(1, 1, 1)]
        )
        assert texts == ["w0", "w1"]

    def test_wrong_checksum_fails_the_request(self) -> None:
        wrong = OutputToken("r", 1, 0, 0, "w0", 3, ResponseSummary(1, 99, "length"))
        with pytest.raises(Problem) as caught:
            run(lambda m: [wrong])
        assert caught.value.reason is RefusalReason.OUTCOME_UNKNOWN
        assert caught.value.ran is Ran.YES

    def test_stale_version_does_not_use_up_the_retries(self) -> None:
        """The side process has a newer document. The request must wait until this
        host has it too, instead of retrying with the old version."""
        newer_at = float("inf")

        def respond(message: Open) -> list[Any]:
            nonlocal newer_at
            if message.version == 1:
                newer_at = min(newer_at, time.monotonic() + 0.3)
                attempt = message.attempt
                return [Failed("r", attempt, "a", RetryReason.STALE_VERSION.value)]
            return [output_token(message.attempt, 0, 0)]

        version = lambda: 2 if time.monotonic() > newer_at else 1  # noqa: E731
        texts, link = run(respond, version)
        assert texts == ["w0"]
        assert link.openings() == 2

    def test_retries_are_limited(self) -> None:
        def respond(message: Open) -> list[Any]:
            attempt = message.attempt
            return [Failed("r", attempt, "a", RetryReason.ENGINE_FAILED.value)]

        with pytest.raises(Problem) as caught:
            run(respond)
        assert caught.value.reason is RefusalReason.REPAIR_EXHAUSTED
        assert caught.value.ran is Ran.UNKNOWN
        assert caught.value.retry_after
