"""Tests of what a peer takes: each numbered batch once, in order."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

import anyio
import pytest

from hemlockhall_core.connection.error import QueueFullError
from hemlockhall_core.connection.message import Batch, Close
from hemlockhall_core.connection.peer import MAX_QUEUED, MEETINGS, Peer, Timing

ME, THEM = 7, 5


@dataclass
class FakeLink:
    """Counts what a link would be told."""

    boot: int = ME
    timing: Timing = field(default_factory=Timing)
    kinds: Counter[str] = field(default_factory=Counter)
    lost: list[bool] = field(default_factory=list)

    def count_batch(self, kind: str) -> None:
        """Count a batch set aside."""
        self.kinds[kind] += 1

    def peer_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Keep the news."""
        self.lost.append(restarted)


@pytest.fixture()
def peer() -> Peer:
    return Peer("a", "10.0.0.1:1", FakeLink(), None, ME)  # type: ignore[arg-type]


def batch(seq: int, boot: int = THEM, to_boot: int = ME, ack: int = 0) -> Batch:
    messages = [Close("r", seq)] if seq else []
    return Batch(
        "a", "10.0.0.1:1", boot, to_boot, seq, ack, 1, "active", 0, False, messages
    )


class TestHeard:
    # The connection falls silent after a batch has arrived, so that its
    # acknowledgement is lost; the sender sends it again on a new connection.
    def test_a_repeated_batch_is_dropped(self, peer: Peer) -> None:
        assert peer.heard(batch(1))
        assert not peer.heard(batch(1))
        assert peer.link.kinds == {"repeat": 1}  # type: ignore[attr-defined]

    # An old connection holds batch 1 up while batch 2 comes on a new one.
    def test_a_gap_is_dropped_until_it_is_filled(self, peer: Peer) -> None:
        assert not peer.heard(batch(2))
        assert peer.heard(batch(1))
        assert peer.heard(batch(2))

    # The receiver was replaced; what was meant for the run before it must not
    # run in this one.
    def test_a_batch_for_an_earlier_run_is_dropped(self, peer: Peer) -> None:
        assert not peer.heard(batch(1, to_boot=ME - 1))
        assert peer.received == 0

    # The sender was replaced, and a batch of its earlier run comes late.
    def test_a_batch_of_an_earlier_run_is_dropped(self, peer: Peer) -> None:
        assert peer.heard(batch(1))
        assert peer.heard(batch(1, boot=THEM + 1))
        assert not peer.heard(batch(2, boot=THEM))
        assert peer.link.lost == [True]  # type: ignore[attr-defined]

    def test_a_batch_from_before_the_peer_met_us_anew_is_dropped(
        self, peer: Peer
    ) -> None:
        assert peer.heard(batch(1, boot=THEM + 1))
        assert not peer.heard(batch(1, boot=THEM))
        assert peer.heard(batch(2, boot=THEM + 1))

    def test_a_peer_that_is_heard_again_is_not_dead(
        self, peer: Peer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An entry host is killed and replaced. The endpoints hear the new run
        before their own connections to it are back, and took it for dead again
        at once, until its next heartbeat 1.5 s later. A request that came
        between was run, and its tokens were thrown away: the caller waited for
        30 s."""
        monkeypatch.setattr(peer, "_dial", lambda: None)
        peer.heard(batch(0))
        peer._lost_pipe_at = time.monotonic() - 1.0
        peer._judge()
        assert not peer.alive
        peer.heard(batch(0, boot=THEM + MEETINGS))
        peer._judge()
        assert peer.alive

    def test_acknowledged_batches_are_forgotten(self, peer: Peer) -> None:
        peer.heard(batch(0))
        peer.post(Close("r", 1))
        peer._cut()
        assert len(peer._unacked) == 1
        peer.heard(batch(0, ack=1))
        assert len(peer._unacked) == 0


class TestJudge:
    def silent_for(self, peer: Peer, seconds: float) -> None:
        peer.heard(batch(0))
        peer.heard_at = time.monotonic() - seconds
        peer._renewed_at = time.monotonic()
        peer._judge()

    def test_an_idle_peer_may_be_silent_for_longer(self, peer: Peer) -> None:
        timing = peer.link.timing
        self.silent_for(peer, timing.dead + 0.1)
        assert peer.alive
        self.silent_for(peer, timing.dead + timing.idle)
        assert not peer.alive

    def test_a_busy_peer_must_not(self, peer: Peer) -> None:
        timing = peer.link.timing
        peer._traffic_at = time.monotonic()
        peer._busy_since = time.monotonic() - 60
        self.silent_for(peer, timing.dead + 0.1)
        assert not peer.alive

    # The peer was idle and silent for as long as it may be; now a request is
    # posted. It must get the time to answer, or the request would be moved
    # from a healthy endpoint before it was sent.
    def test_a_peer_that_becomes_busy_is_given_time(self, peer: Peer) -> None:
        timing = peer.link.timing
        peer.heard(batch(0))
        peer.post(Close("r", 1))
        peer._cut()
        self.silent_for(peer, timing.dead + timing.idle / 2)
        assert peer.alive


class TestDue:
    # The peer died with an acknowledgement owed to it. The sending task must
    # not spin until the peer is back: it would take a whole core.
    def test_an_owed_acknowledgement_waits_for_a_connection(self, peer: Peer) -> None:
        peer.heard(batch(1))
        peer._ack_due_at = time.monotonic() - 1
        anyio.run(peer._send_due)
        assert peer._due_at() - time.monotonic() > peer.link.timing.heartbeat / 2


class TestPost:
    def test_a_full_queue_is_an_error(self, peer: Peer) -> None:
        for number in range(MAX_QUEUED):
            peer.post(Close("r", number))
        with pytest.raises(QueueFullError, match="already wait for a"):
            peer.post(Close("r", 0))

    def test_what_was_not_numbered_can_be_withdrawn(self, peer: Peer) -> None:
        message = Close("r", 1)
        peer.post(message)
        assert peer.cancel(message)
        assert not peer.cancel(message)
