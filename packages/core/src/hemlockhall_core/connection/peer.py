"""A peer: reliable delivery of batches across reconnects, and failure detection.

A process pushes to each peer over a separate connection and receives from all
of them on one listening socket. Batches with messages are numbered, kept until
the peer acknowledges them, and sent again on a new connection.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import pynng
from loguru import logger

from hemlockhall_core.connection.error import QueueFullError
from hemlockhall_core.connection.message import Batch, encode

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

    from hemlockhall_core.connection.link import Link
    from hemlockhall_core.connection.message import AnyMessage

# Limits for each peer.
MAX_QUEUED_MESSAGES = 20_000
MAX_UNACKED_BATCHES = 256
MAX_BATCH_MESSAGES = 512
# Time that an acknowledgement waits for a batch that can carry it.
ACK_DELAY_S = 0.02
# A batch that is not sent in this time is tried again at the next wakeup.
SEND_TIMEOUT_S = 0.25
MIN_RECONNECT_MS = 50
MAX_RECONNECT_MS = 500
# Time without numbered batches after which a peer counts as idle, unless a batch is
# not acknowledged.
IDLE_AFTER_S = 2.0
# Upper bound assumed for how often a process adds 1 to its boot id for one peer.
# Random boot ids of two runs are much further apart, so a lower id within this
# distance is an earlier id of the same run.
MAX_BOOT_INCREMENTS = 1_000_000


@dataclass
class Timing:
    """Heartbeat intervals and timeouts of a link, in seconds.

    Attributes
    ----------
    heartbeat_s : float
        Interval of heartbeats to a peer that exchanges messages.
    idle_s : float
        Interval of heartbeats to an idle peer.
    renew_s : float
        Silence after which a new connection is opened. For an idle peer,
        ``idle_s - heartbeat_s`` is added to this time and to ``dead_s``.
    dead_s : float
        Silence after which the peer is considered dead.
    refused_s : float
        Time after the loss of the connection, without a new one, after which the
        peer is considered dead.
    """

    heartbeat_s: float = 0.3
    idle_s: float = 1.5
    renew_s: float = 0.7
    dead_s: float = 1.6
    refused_s: float = 0.25


@dataclass
class Unacked:
    """A numbered batch that is not acknowledged.

    ``sent_at`` is 0 if it was not sent on the current connection.
    """

    seq: int
    messages: list[AnyMessage]
    sent_at: float = 0.0


@dataclass
class Peer:
    """State of another process and the task that sends to it.

    ``own_boot`` is the boot id of this process towards the peer and ``boot`` that
    of the peer, 0 before its first batch. Sequence numbers in both directions
    restart when either changes.
    """

    name: str
    address: str
    link: Link
    loop: AbstractEventLoop
    own_boot: int = 0
    boot: int = 0
    state: str = "active"
    version: int = 0
    load: int = 0
    alive: bool = True
    last_seen_at: float = field(default_factory=time.monotonic)
    last_received_seq: int = 0
    previous_boots: set[int] = field(default_factory=set)
    _seq: int = 0
    _outbox: deque[AnyMessage] = field(default_factory=deque)
    _unacked: deque[Unacked] = field(default_factory=deque)
    _sock: pynng.Push0 | None = None
    _connected: bool = False
    _disconnected_at: float | None = None
    _last_reconnect_at: float = 0.0
    _request_reconnect: bool = False
    _ack_deadline: float | None = None
    _next_heartbeat_at: float = 0.0
    _last_traffic_at: float = 0.0
    _busy_since: float = 0.0
    _wake: anyio.Event = field(default_factory=anyio.Event)
    _closed: bool = False

    @property
    def ready(self) -> bool:
        """Whether a batch of the peer has arrived and it is not considered dead."""
        return self.alive and self.boot != 0

    def post(self, message: AnyMessage) -> None:
        """Queue a message; raise :class:`QueueFullError` if the queue is full."""
        if len(self._outbox) >= MAX_QUEUED_MESSAGES:
            msg = f"{MAX_QUEUED_MESSAGES} messages already wait for {self.name}"
            raise QueueFullError(msg)
        self._outbox.append(message)
        self._wake.set()

    def cancel(self, message: AnyMessage) -> bool:
        """Remove a message from the queue; False if it may have been sent."""
        try:
            self._outbox.remove(message)
        except ValueError:
            return False
        return True

    def announce(self) -> None:
        """Send the state and version of this process without delay."""
        self._next_heartbeat_at = 0.0
        self._wake.set()

    def change_address(self, address: str) -> None:
        """Connect to another address, as after a host was replaced."""
        self.address = address
        self._dial()

    def close(self) -> None:
        """Stop the sending task and close its connection."""
        self._closed = True
        self._wake.set()

    def receive(self, batch: Batch) -> bool:
        """Apply the header of a batch; return whether to handle its messages."""
        if batch.boot in self.previous_boots or self._is_outdated(batch.boot):
            return False
        now = time.monotonic()
        self.last_seen_at = now
        if batch.boot != self.boot:
            self._handle_restart(batch)
        if batch.address != self.address:
            self.change_address(batch.address)
        self.state = batch.state
        self.version = batch.version
        self.load = batch.load
        self.alive = True
        if self._disconnected_at is not None:
            # The peer runs, so its closed connection does not mean that it is
            # dead: batches of a replaced host arrive before it can be reached.
            # If it were considered dead until its next heartbeat, messages for
            # it would be lost in between.
            self._disconnected_at = None
            self._dial()
        if batch.reconnect:
            self._reconnect(requested=True)
        if batch.receiver_boot != self.own_boot:
            return False
        self._handle_ack(batch.ack)
        if batch.seq == 0:
            return False
        self._record_traffic(now)
        self._schedule_ack(now)
        # A batch may arrive again on a new connection, or late on an old one. Its
        # messages must not be handled twice, so only the next number is accepted.
        # The sender fills a gap, as it keeps unacknowledged batches.
        if batch.seq != self.last_received_seq + 1:
            self.link.count_batch(
                "repeat" if batch.seq <= self.last_received_seq else "gap"
            )
            return False
        self.last_received_seq = batch.seq
        return True

    def _is_outdated(self, boot: int) -> bool:
        """Return whether ``boot`` is an earlier boot id of the peer's current run.

        A process adds 1 to its boot id when it contacts a removed peer again, and
        a batch with the former id may still arrive on an older connection.
        """
        return self.boot - MAX_BOOT_INCREMENTS < boot < self.boot

    def _handle_restart(self, batch: Batch) -> None:
        old = self.boot
        self.boot = batch.boot
        self.last_received_seq = 0
        if old:
            self.previous_boots.add(old)
        # Unacknowledged and queued messages were meant for the former run. The
        # new run does not know their requests, so they are dropped, and the
        # handler is told through ``peer_lost``.
        self._unacked.clear()
        self._seq = 0
        if old:
            self._outbox.clear()
            self.link.peer_lost(self, restarted=True)
        self._wake.set()

    def _handle_ack(self, ack: int) -> None:
        while self._unacked and self._unacked[0].seq <= ack:
            self._unacked.popleft()
            self._wake.set()

    def _schedule_ack(self, now: float) -> None:
        if self._ack_deadline is None:
            self._ack_deadline = now + ACK_DELAY_S
            self._wake.set()

    async def run(self) -> None:
        """Send new and unacknowledged batches, acknowledgements and heartbeats."""
        self._dial()
        while not self._closed:
            with anyio.move_on_after(
                max(0.0, self._next_wakeup_at() - time.monotonic())
            ):
                await self._wake.wait()
            self._wake = anyio.Event()
            self._check_liveness()
            await self._send_pending()
        if self._sock is not None:
            self._sock.close()

    def _record_traffic(self, now: float) -> None:
        """Record a numbered batch, which makes the link busy at both ends."""
        if now - self._last_traffic_at > IDLE_AFTER_S:
            self._busy_since = now
        self._last_traffic_at = now

    def _is_busy(self, now: float) -> bool:
        return bool(self._unacked) or now - self._last_traffic_at < IDLE_AFTER_S

    def _heartbeat_interval_s(self, now: float) -> float:
        """Return the time to the next heartbeat.

        A process shares no request with most of its peers at any moment.
        Heartbeats at the full rate to all of them would be the largest part of
        the control traffic.
        """
        timing = self.link.timing
        return timing.heartbeat_s if self._is_busy(now) else timing.idle_s

    def _next_wakeup_at(self) -> float:
        now = time.monotonic()
        due = min(self._next_heartbeat_at, now + self.link.timing.heartbeat_s)
        if self._ack_deadline is not None:
            due = min(due, self._ack_deadline)
        if self._disconnected_at is not None and self.alive:
            due = min(due, self._disconnected_at + self.link.timing.refused_s)
        return max(due, now + 0.001)

    def _dial(self) -> None:
        old = self._sock
        sock = pynng.Push0(
            send_buffer_size=4,  # in batches
            reconnect_time_min=MIN_RECONNECT_MS,
            reconnect_time_max=MAX_RECONNECT_MS,
        )
        self._sock = sock
        self._connected = False
        sock.add_post_pipe_connect_cb(
            lambda _: self._call_in_loop(self._handle_connect, sock)
        )
        sock.add_post_pipe_remove_cb(
            lambda _: self._call_in_loop(self._handle_disconnect, sock)
        )
        sock.dial(f"tcp://{self.address}", block=False)
        if old is not None:
            old.close()

    def _call_in_loop(self, call: object, sock: pynng.Push0) -> None:
        # pynng calls back on its own thread, also while the event loop is closing.
        # Then there is nothing left to notify.
        try:
            self.loop.call_soon_threadsafe(call, sock)  # type: ignore[arg-type]
        except RuntimeError:
            return

    def _handle_connect(self, sock: pynng.Push0) -> None:
        if sock is not self._sock:
            return
        self._connected = True
        self._disconnected_at = None
        self._next_heartbeat_at = 0.0
        for unacked in self._unacked:
            unacked.sent_at = 0.0
        self._wake.set()

    def _handle_disconnect(self, sock: pynng.Push0) -> None:
        if sock is not self._sock:
            return
        self._connected = False
        self._disconnected_at = time.monotonic()
        self._wake.set()

    def _reconnect(self, *, requested: bool) -> None:
        self._last_reconnect_at = time.monotonic()
        self._request_reconnect = not requested
        self.link.count_batch("renewed")
        self._dial()
        self._wake.set()

    def _check_liveness(self) -> None:
        """Reconnect to a silent peer; mark a silent or unreachable one as dead."""
        now = time.monotonic()
        timing = self.link.timing
        since = self._disconnected_at
        if self.alive and since is not None and now - since > timing.refused_s:
            self._mark_dead()
            return
        busy = self._is_busy(now)
        # An idle peer may be silent for longer. When it becomes busy, the silence
        # before that must not count: the peer would be considered dead with the
        # first message.
        slack_s = 0.0 if busy else timing.idle_s - timing.heartbeat_s
        silence = (
            now - max(self.last_seen_at, self._busy_since if busy else 0.0) - slack_s
        )
        stalled = silence
        oldest = self._unacked[0].sent_at if self._unacked else 0.0
        if self.boot and oldest:
            stalled = max(stalled, now - oldest)
        # A connection can stop delivering permanently while new ones work: no batch or
        # acknowledgement arrives though the peer runs. A new connection in each
        # direction is enough, as unacknowledged batches are kept.
        if stalled > timing.renew_s and now - self._last_reconnect_at > timing.renew_s:
            self._reconnect(requested=False)
        if self.alive and silence > timing.dead_s:
            self._mark_dead()

    def _mark_dead(self) -> None:
        self.alive = False
        logger.bind(peer=self.name).warning("peer considered dead")
        self.link.peer_lost(self, restarted=False)

    async def _send_pending(self) -> None:
        if not self._connected:
            # The first batch on the next connection carries the acknowledgement.
            self._ack_deadline = None
            now = time.monotonic()
            self._next_heartbeat_at = now + self._heartbeat_interval_s(now)
            return
        self._number_queued()
        sent = False
        for unacked in list(self._unacked):
            if unacked.sent_at:
                continue
            if not await self._send(unacked.seq, unacked.messages):
                return
            unacked.sent_at = time.monotonic()
            sent = True
        now = time.monotonic()
        ack_due = self._ack_deadline is not None and now >= self._ack_deadline
        if not sent and (ack_due or now >= self._next_heartbeat_at):
            await self._send(0, [])

    def _number_queued(self) -> None:
        """Move queued messages into numbered batches, once the peer's boot is known."""
        if not self.boot:
            return
        while self._outbox and len(self._unacked) < MAX_UNACKED_BATCHES:
            count = min(MAX_BATCH_MESSAGES, len(self._outbox))
            messages = [self._outbox.popleft() for _ in range(count)]
            self._seq += 1
            self._record_traffic(time.monotonic())
            self._unacked.append(Unacked(self._seq, messages))

    async def _send(self, seq: int, messages: list[AnyMessage]) -> bool:
        batch = self.link.make_batch(
            self, seq, messages, reconnect=self._request_reconnect
        )
        data = encode(batch)
        sock = self._sock
        assert sock is not None
        try:
            with anyio.move_on_after(SEND_TIMEOUT_S) as scope:
                await sock.asend(data)
        except pynng.NNGException:
            self._connected = False
            return False
        if scope.cancelled_caught:
            return False
        self._request_reconnect = False
        self._ack_deadline = None
        now = time.monotonic()
        self._next_heartbeat_at = now + self._heartbeat_interval_s(now)
        self.link.count_sent(len(data))
        return True


__all__ = [
    "Peer",
    "Timing",
]
