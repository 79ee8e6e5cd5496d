"""Tests of late, repeated and superseded messages at one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from hemlockhall_core.connection.message import (
    Activations,
    ActivationsRequest,
    Close,
    Failed,
    NextToken,
    Open,
    RouteStage,
)
from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.request.reason import RetryReason
from hemlockhalld.process.stages import Stages

ROUTE = [RouteStage("a", "10.0.0.1:1", 0, 2), RouteStage("b", "10.0.0.2:1", 2, 4)]
OPEN = Open(
    "r", 1, 1, "m", "", ROUTE, 1, "e", "10.0.0.9:1", "", [], False, 9, 0, 1, 9.0
)


@dataclass
class FakePeer:
    """Records the messages to one peer."""

    alive: bool = True
    posted: list[Any] = field(default_factory=list)

    def post(self, message: Any) -> None:
        """Record a message."""
        self.posted.append(message)


@dataclass
class FakeLink:
    """Holds one fake peer for each name."""

    name: str = "b"
    peers: dict[str, FakePeer] = field(default_factory=dict)

    def peer(self, name: str, address: str) -> FakePeer:
        """Return the peer, created at the first use."""
        return self.peers.setdefault(name, FakePeer())


@pytest.fixture()
def link() -> FakeLink:
    return FakeLink()


@pytest.fixture()
def stages(link: FakeLink) -> Stages:
    return Stages(link, None, Metrics(), 1000)  # type: ignore[arg-type]


def opened(attempt: int, index: int = 1, resume: bool = False) -> Open:
    return msgspec.structs.replace(
        OPEN, attempt=attempt, stage_index=index, resume=resume
    )


class TestOpen:
    def test_open_after_its_own_close_is_dropped(self, stages: Stages) -> None:
        """The entry host closes each stage directly, but the opening comes along
        the pipeline and can arrive later."""
        stages.on_close(Close("r", 1))
        stages.on_open(opened(1))
        assert stages.requests == {}

    def test_later_attempt_after_a_close_is_opened(self, stages: Stages) -> None:
        stages.on_close(Close("r", 1))
        stages.on_open(opened(2))
        assert stages.requests["r"].open.attempt == 2

    def test_earlier_attempt_does_not_replace_a_later_one(self, stages: Stages) -> None:
        stages.on_open(opened(2))
        stages.on_open(opened(1))
        assert stages.requests["r"].open.attempt == 2

    def test_retry_requests_missing_activations_from_the_previous_stage(
        self, stages: Stages, link: FakeLink
    ) -> None:
        stages.on_open(opened(2, resume=True))
        assert link.peers["a"].posted == [ActivationsRequest("r", 2, 0)]


class TestActivations:
    def test_superseded_activations_are_dropped(self, stages: Stages) -> None:
        """A frozen stage resumes after a retry and sends activations of the old
        attempt, which must not be appended to the KV cache of the new one."""
        stages.on_open(opened(2))
        stages.on_activations(Activations("r", 1, 2, 0, 3, [b"x"]))
        assert stages.requests["r"].inputs == []

    def test_activations_for_other_layers_fail_the_attempt(
        self, stages: Stages, link: FakeLink
    ) -> None:
        stages.on_open(opened(1))
        stages.on_activations(Activations("r", 1, 0, 0, 3, [b"x"]))
        failed = Failed("r", 1, "b", RetryReason.HOP_GAP.value)
        assert link.peers["e"].posted == [failed]

    def test_gap_in_activations_fails_the_attempt(
        self, stages: Stages, link: FakeLink
    ) -> None:
        stages.on_open(opened(1))
        stages.on_activations(Activations("r", 1, 2, 1, 3, [b"x"]))
        failed = Failed("r", 1, "b", RetryReason.HOP_GAP.value)
        assert link.peers["e"].posted == [failed]


class TestNextToken:
    def test_repeated_token_is_dropped(self, stages: Stages) -> None:
        stages.on_open(opened(1, index=0))
        stages.on_next_token(NextToken("r", 1, 0, 77))
        stages.on_next_token(NextToken("r", 1, 0, 78))
        assert stages.requests["r"].tokens == [77]


class TestPeerLost:
    def test_requests_of_a_lost_entry_host_are_dropped(self, stages: Stages) -> None:
        stages.on_open(opened(1))
        stages.on_peer_lost("e")
        assert stages.requests == {}

    def test_lost_stage_is_reported(self, stages: Stages, link: FakeLink) -> None:
        stages.on_open(opened(1))
        stages.on_peer_lost("a")
        failed = Failed("r", 1, "a", RetryReason.PEER_LOST.value)
        assert link.peers["e"].posted == [failed]
