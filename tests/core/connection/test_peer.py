"""Tests of a peer: delivery once and in order, and failure detection."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hemlockhall_core.connection.error import QueueFullError
from hemlockhall_core.connection.message import Batch, Close
from hemlockhall_core.connection.peer import (
    MAX_BOOT_INCREMENTS,
    MAX_QUEUED_MESSAGES,
    Peer,
    Timing,
)
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

OWN_BOOT, PEER_BOOT = 7, 5


@dataclass
class FakeLink:
    """Records the calls of a peer."""

    boot: int = OWN_BOOT
    timing: Timing = field(default_factory=Timing)
    kinds: Counter[str] = field(default_factory=Counter)
    lost: list[bool] = field(default_factory=list)

    def count_batch(self, kind: str) -> None:
        """Count a dropped batch."""
        self.kinds[kind] += 1

    def peer_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Record a loss."""
        self.lost.append(restarted)


@pytest.fixture()
def peer() -> Peer:
    return Peer("a", "10.0.0.1:1", FakeLink(), None, OWN_BOOT)  # type: ignore[arg-type]


def batch(
    seq: int, boot: int = PEER_BOOT, receiver_boot: int = OWN_BOOT, ack: int = 0
) -> Batch:
    messages = [Close("r", seq)] if seq else []
    return Batch(
        "a",
        "10.0.0.1:1",
        boot,
        receiver_boot,
        seq,
        ack,
        1,
        "active",
        0,
        False,
        messages,
    )


class TestReceive:
    # The acknowledgement of a batch is lost with its connection, so the sender sends
    # the batch again on a new one.
    def test_a_repeated_batch_is_dropped(self, peer: Peer) -> None:
        assert peer.receive(batch(1))
        assert not peer.receive(batch(1))
        assert peer.link.kinds == {"repeat": 1}  # type: ignore[attr-defined]

    # Batch 1 is late on an old connection while batch 2 arrives on a new one.
    def test_a_batch_after_a_gap_is_dropped_until_it_is_filled(
        self, peer: Peer
    ) -> None:
        assert not peer.receive(batch(2))
        assert peer.receive(batch(1))
        assert peer.receive(batch(2))

    # The receiver was replaced, and a batch for its former run arrives.
    def test_a_batch_for_an_earlier_run_is_dropped(self, peer: Peer) -> None:
        assert not peer.receive(batch(1, receiver_boot=OWN_BOOT - 1))
        assert peer.last_received_seq == 0

    # The sender was replaced, and a batch of its former run arrives late.
    def test_a_batch_of_an_earlier_run_is_dropped(self, peer: Peer) -> None:
        assert peer.receive(batch(1))
        assert peer.receive(batch(1, boot=PEER_BOOT + 1))
        assert not peer.receive(batch(2, boot=PEER_BOOT))
        assert peer.link.lost == [True]  # type: ignore[attr-defined]

    # The sender removed this process as a peer, contacted it again under a higher
    # boot id, and a batch with the former id arrives late.
    def test_a_batch_with_an_earlier_boot_of_the_same_run_is_dropped(
        self, peer: Peer
    ) -> None:
        assert peer.receive(batch(1, boot=PEER_BOOT + 1))
        assert not peer.receive(batch(1, boot=PEER_BOOT))
        assert peer.receive(batch(2, boot=PEER_BOOT + 1))

    def test_a_replaced_peer_is_alive_before_it_can_be_reached(
        self, peer: Peer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Endpoints get batches of a replaced entry host before their own connections
        to it are back. If the lost connection marks it as dead again until its next
        heartbeat 1.5 s later, tokens for it are discarded meanwhile and the caller
        waits until its deadline of 30 s."""
        monkeypatch.setattr(peer, "_dial", lambda: None)
        peer.receive(batch(0))
        peer._disconnected_at = time.monotonic() - 1.0
        peer._check_liveness()
        assert not peer.alive
        peer.receive(batch(0, boot=PEER_BOOT + MAX_BOOT_INCREMENTS))
        peer._check_liveness()
        assert peer.alive

    def test_acknowledged_batches_are_dropped(self, peer: Peer) -> None:
        peer.receive(batch(0))
        peer.post(Close("r", 1))
        peer._number_queued()
        assert len(peer._unacked) == 1
        peer.receive(batch(0, ack=1))
        assert len(peer._unacked) == 0


class TestCheckLiveness:
    def check_after_silence(self, peer: Peer, silence_s: float) -> None:
        peer.receive(batch(0))
        peer.last_seen_at = time.monotonic() - silence_s
        peer._last_reconnect_at = time.monotonic()
        peer._check_liveness()

    def test_an_idle_peer_may_be_silent_for_longer(self, peer: Peer) -> None:
        timing = peer.link.timing
        self.check_after_silence(peer, timing.dead_s + 0.1)
        assert peer.alive
        self.check_after_silence(peer, timing.dead_s + timing.idle_s)
        assert not peer.alive

    def test_a_busy_peer_may_not_be_silent_for_longer(self, peer: Peer) -> None:
        timing = peer.link.timing
        peer._last_traffic_at = time.monotonic()
        peer._busy_since = time.monotonic() - 60
        self.check_after_silence(peer, timing.dead_s + 0.1)
        assert not peer.alive

    # A request is posted to a peer that was idle and silent for as long as allowed.
    # If that silence counts, the request is moved away from a healthy endpoint
    # before it is sent.
    def test_silence_before_a_peer_becomes_busy_does_not_count(
        self, peer: Peer
    ) -> None:
        timing = peer.link.timing
        peer.receive(batch(0))
        peer.post(Close("r", 1))
        peer._number_queued()
        self.check_after_silence(peer, timing.dead_s + timing.idle_s / 2)
        assert peer.alive


class TestNextWakeup:
    # The peer died before it was sent an acknowledgement. If the deadline of the
    # acknowledgement stays, the sending task spins and uses a whole core.
    def test_a_due_acknowledgement_waits_for_a_connection(self, peer: Peer) -> None:
        peer.receive(batch(1))
        peer._ack_deadline = time.monotonic() - 1
        anyio.run(peer._send_pending)
        assert (
            peer._next_wakeup_at() - time.monotonic() > peer.link.timing.heartbeat_s / 2
        )


class TestPost:
    def test_a_full_queue_raises(self, peer: Peer) -> None:
        for number in range(MAX_QUEUED_MESSAGES):
            peer.post(Close("r", number))
        with pytest.raises(QueueFullError, match="already wait for a"):
            peer.post(Close("r", 0))

    def test_a_queued_message_can_be_cancelled_once(self, peer: Peer) -> None:
        message = Close("r", 1)
        peer.post(message)
        assert peer.cancel(message)
        assert not peer.cancel(message)


class TestHeldUp:
    @pytest.fixture()
    def anyio_backend(self, clock: VirtualClock) -> tuple[str, dict[str, Any]]:
        return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}

    # This process is not scheduled for a while, as on an overloaded machine. Then the
    # checks of all peers are due before the batches that arrived are read, and a
    # response would end for want of any path.
    @pytest.mark.anyio
    async def test_a_peer_is_not_lost_while_this_process_is_held_up(
        self, clock: VirtualClock, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(Peer, "_dial", lambda self: None)
        peer = Peer("a", "10.0.0.1:1", FakeLink(), None, OWN_BOOT)  # type: ignore[arg-type]
        peer.receive(batch(1))
        timing = peer.link.timing
        async with anyio.create_task_group() as group:
            group.start_soon(peer.run)
            await anyio.sleep(0.1)
            clock.advance(2 * timing.dead_s)
            await anyio.sleep(0.01)
            alive_after_hold_up = peer.alive
            await anyio.sleep(timing.dead_s + timing.idle_s)
            alive_after_silence = peer.alive
            group.cancel_scope.cancel()
        assert alive_after_hold_up
        assert not alive_after_silence
