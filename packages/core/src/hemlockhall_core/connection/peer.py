"""One peer: numbered batches that survive the loss of TCP connections.

Each process pushes to each of its peers over a connection of its own and
receives on one listening socket. Batches with messages are numbered, kept
until the peer acknowledges them, and sent again on a new connection.
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

MAX_QUEUED = 20_000
MAX_UNACKED = 256
MAX_BATCH = 512
ACK_DELAY = 0.02
SEND_TIMEOUT = 0.25
RECONNECT_MS = 50
MAX_RECONNECT_MS = 500
IDLE_AFTER = 2.0
# Times that a process meets one peer anew at most; far less than the distance
# between the random numbers of two processes.
MEETINGS = 1_000_000


@dataclass
class Timing:
    """How patient a process is with its peers; all in seconds.

    ``renew`` is the silence after which a new connection is opened, ``dead``
    the silence after which the peer is taken for dead, and ``refused`` how
    long a closed connection may stay without a successor. A peer without
    messages either way gets a heartbeat each ``idle`` only.
    """

    heartbeat: float = 0.3
    idle: float = 1.5
    renew: float = 0.7
    dead: float = 1.6
    refused: float = 0.25


@dataclass
class Unacked:
    """A numbered batch that the peer has not acknowledged."""

    seq: int
    messages: list[AnyMessage]
    sent_at: float = 0.0


@dataclass
class Peer:
    """What this process knows of another one, and the task that sends to it.

    ``own_boot`` names this end of the numbering and ``boot`` the other end:
    the numbers of both begin anew when either changes.
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
    heard_at: float = field(default_factory=time.monotonic)
    received: int = 0
    retired: set[int] = field(default_factory=set)
    _seq: int = 0
    _outbox: deque[AnyMessage] = field(default_factory=deque)
    _unacked: deque[Unacked] = field(default_factory=deque)
    _sock: pynng.Push0 | None = None
    _connected: bool = False
    _lost_pipe_at: float | None = None
    _renewed_at: float = 0.0
    _ask_renew: bool = False
    _ack_due_at: float | None = None
    _heartbeat_at: float = 0.0
    _traffic_at: float = 0.0
    _busy_since: float = 0.0
    _wake: anyio.Event = field(default_factory=anyio.Event)
    _closed: bool = False

    @property
    def ready(self) -> bool:
        """Whether the peer was heard and is not taken for dead."""
        return self.alive and self.boot != 0

    def post(self, message: AnyMessage) -> None:
        """Queue a message; raise :class:`QueueFullError` if too many wait."""
        if len(self._outbox) >= MAX_QUEUED:
            msg = f"{MAX_QUEUED} messages already wait for {self.name}"
            raise QueueFullError(msg)
        self._outbox.append(message)
        self._wake.set()

    def cancel(self, message: AnyMessage) -> bool:
        """Take back a message; return False if it may have left already."""
        try:
            self._outbox.remove(message)
        except ValueError:
            return False
        return True

    def announce(self) -> None:
        """Send this process's state and version now."""
        self._heartbeat_at = 0.0
        self._wake.set()

    def move(self, address: str) -> None:
        """Connect to another address: the host was replaced."""
        self.address = address
        self._dial()

    def close(self) -> None:
        """End the sending task and its connection."""
        self._closed = True
        self._wake.set()

    def heard(self, batch: Batch) -> bool:
        """Take in a batch's header; return whether its messages are new."""
        if batch.boot in self.retired or self._outdated(batch.boot):
            return False
        now = time.monotonic()
        self.heard_at = now
        if batch.boot != self.boot:
            self._restarted(batch)
        if batch.address != self.address:
            self.move(batch.address)
        self.state = batch.state
        self.version = batch.version
        self.load = batch.load
        self.alive = True
        if self._lost_pipe_at is not None:
            # It runs, so that its closed connection is no sign of death: a
            # host that was replaced is heard before it can be reached. Taken
            # for dead until its next heartbeat, it would lose what is sent to
            # it meanwhile.
            self._lost_pipe_at = None
            self._dial()
        if batch.renew:
            self._renew(asked=True)
        if batch.to_boot != self.own_boot:
            return False
        self._acknowledged(batch.ack)
        if batch.seq == 0:
            return False
        self._note_traffic(now)
        self._schedule_ack(now)
        # A batch sent again on a new connection, or held up on an old one,
        # must not run its messages twice: only the next number is taken. A
        # gap is filled by the sender, which keeps what is not acknowledged.
        if batch.seq != self.received + 1:
            self.link.count_batch("repeat" if batch.seq <= self.received else "gap")
            return False
        self.received = batch.seq
        return True

    def _outdated(self, boot: int) -> bool:
        """Return whether a number of the other end is one before its present.

        A process counts its own up when it meets a forgotten peer again, and a
        batch from before may come on an older connection.
        """
        return self.boot - MEETINGS < boot < self.boot

    def _restarted(self, batch: Batch) -> None:
        old = self.boot
        self.boot = batch.boot
        self.received = 0
        if old:
            self.retired.add(old)
        # Numbered messages were meant for the run that is gone. A new run
        # knows nothing of their requests, so they are dropped, and the owner
        # of each request is told through ``peer_lost``.
        self._unacked.clear()
        self._seq = 0
        if old:
            self._outbox.clear()
            self.link.peer_lost(self, restarted=True)
        self._wake.set()

    def _acknowledged(self, ack: int) -> None:
        while self._unacked and self._unacked[0].seq <= ack:
            self._unacked.popleft()
            self._wake.set()

    def _schedule_ack(self, now: float) -> None:
        if self._ack_due_at is None:
            self._ack_due_at = now + ACK_DELAY
            self._wake.set()

    async def run(self) -> None:
        """Send until closed: new messages, repeats, acknowledgements."""
        self._dial()
        while not self._closed:
            with anyio.move_on_after(max(0.0, self._due_at() - time.monotonic())):
                await self._wake.wait()
            self._wake = anyio.Event()
            self._judge()
            await self._send_due()
        if self._sock is not None:
            self._sock.close()

    def _note_traffic(self, now: float) -> None:
        """Note a numbered batch, sent or received; both ends see it."""
        if now - self._traffic_at > IDLE_AFTER:
            self._busy_since = now
        self._traffic_at = now

    def _busy(self, now: float) -> bool:
        return bool(self._unacked) or now - self._traffic_at < IDLE_AFTER

    def _interval(self, now: float) -> float:
        """Return the seconds to the next heartbeat.

        Most peers of a process have no request in common with it at any
        moment. Heartbeats at the full rate to all of them would be the
        largest part of what control costs.
        """
        timing = self.link.timing
        return timing.heartbeat if self._busy(now) else timing.idle

    def _due_at(self) -> float:
        now = time.monotonic()
        due = min(self._heartbeat_at, now + self.link.timing.heartbeat)
        if self._ack_due_at is not None:
            due = min(due, self._ack_due_at)
        if self._lost_pipe_at is not None and self.alive:
            due = min(due, self._lost_pipe_at + self.link.timing.refused)
        return max(due, now + 0.001)

    def _dial(self) -> None:
        old = self._sock
        sock = pynng.Push0(
            send_buffer_size=4,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=MAX_RECONNECT_MS,
        )
        self._sock = sock
        self._connected = False
        sock.add_post_pipe_connect_cb(lambda _: self._later(self._pipe_up, sock))
        sock.add_post_pipe_remove_cb(lambda _: self._later(self._pipe_down, sock))
        sock.dial(f"tcp://{self.address}", block=False)
        if old is not None:
            old.close()

    def _later(self, call: object, sock: pynng.Push0) -> None:
        # The library calls back on a thread of its own, also while the event
        # loop is closing; then nobody is left to tell.
        try:
            self.loop.call_soon_threadsafe(call, sock)  # type: ignore[arg-type]
        except RuntimeError:
            return

    def _pipe_up(self, sock: pynng.Push0) -> None:
        if sock is not self._sock:
            return
        self._connected = True
        self._lost_pipe_at = None
        self._heartbeat_at = 0.0
        for unacked in self._unacked:
            unacked.sent_at = 0.0
        self._wake.set()

    def _pipe_down(self, sock: pynng.Push0) -> None:
        if sock is not self._sock:
            return
        self._connected = False
        self._lost_pipe_at = time.monotonic()
        self._wake.set()

    def _renew(self, *, asked: bool) -> None:
        self._renewed_at = time.monotonic()
        self._ask_renew = not asked
        self.link.count_batch("renewed")
        self._dial()
        self._wake.set()

    def _judge(self) -> None:
        """Renew a silent connection; take a silent or closed peer for dead."""
        now = time.monotonic()
        timing = self.link.timing
        lost = self._lost_pipe_at
        if self.alive and lost is not None and now - lost > timing.refused:
            self._dead()
            return
        busy = self._busy(now)
        # An idle peer may be silent for longer. When it becomes busy, the
        # silence before that must not be held against it: it would be taken
        # for dead with the first message.
        slack = 0.0 if busy else timing.idle - timing.heartbeat
        quiet = now - max(self.heard_at, self._busy_since if busy else 0.0) - slack
        silent = quiet
        oldest = self._unacked[0].sent_at if self._unacked else 0.0
        if self.boot and oldest:
            silent = max(silent, now - oldest)
        # A connection can go silent for good while new ones work; symptom:
        # nothing is heard or acknowledged though the peer runs. A new
        # connection each way is enough, as unacknowledged batches are kept.
        if silent > timing.renew and now - self._renewed_at > timing.renew:
            self._renew(asked=False)
        if self.alive and quiet > timing.dead:
            self._dead()

    def _dead(self) -> None:
        self.alive = False
        logger.bind(peer=self.name).warning("peer is taken for dead")
        self.link.peer_lost(self, restarted=False)

    async def _send_due(self) -> None:
        if not self._connected:
            # The first batch on the next connection carries what is owed.
            self._ack_due_at = None
            now = time.monotonic()
            self._heartbeat_at = now + self._interval(now)
            return
        self._cut()
        sent = False
        for unacked in list(self._unacked):
            if unacked.sent_at:
                continue
            if not await self._send(unacked.seq, unacked.messages):
                return
            unacked.sent_at = time.monotonic()
            sent = True
        now = time.monotonic()
        ack_due = self._ack_due_at is not None and now >= self._ack_due_at
        if not sent and (ack_due or now >= self._heartbeat_at):
            await self._send(0, [])

    def _cut(self) -> None:
        """Number what waits; the first contact waits for the peer's boot."""
        if not self.boot:
            return
        while self._outbox and len(self._unacked) < MAX_UNACKED:
            count = min(MAX_BATCH, len(self._outbox))
            messages = [self._outbox.popleft() for _ in range(count)]
            self._seq += 1
            self._note_traffic(time.monotonic())
            self._unacked.append(Unacked(self._seq, messages))

    async def _send(self, seq: int, messages: list[AnyMessage]) -> bool:
        batch = self.link.stamp(self, seq, messages, renew=self._ask_renew)
        data = encode(batch)
        sock = self._sock
        assert sock is not None
        try:
            with anyio.move_on_after(SEND_TIMEOUT) as scope:
                await sock.asend(data)
        except pynng.NNGException:
            self._connected = False
            return False
        if scope.cancelled_caught:
            return False
        self._ask_renew = False
        self._ack_due_at = None
        now = time.monotonic()
        self._heartbeat_at = now + self._interval(now)
        self.link.count_sent(len(data))
        return True


__all__ = [
    "Peer",
    "Timing",
]
