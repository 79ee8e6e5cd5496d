"""All connections of one process to the system's other processes."""

from __future__ import annotations

import asyncio
import secrets
import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio
import pynng
from loguru import logger

from hemlockhall_core.connection.error import FrameError, LinkError
from hemlockhall_core.connection.message import MAX_FRAME_BYTES, Batch, decode
from hemlockhall_core.connection.peer import Peer, Timing

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage
    from hemlockhall_core.process.metric import Metrics


class Handler(ABC):
    """What a process does with what its link tells it."""

    @abstractmethod
    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Act on a message, which comes once and in the order of sending."""

    @abstractmethod
    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Give up what runs at a peer that is dead or began anew."""

    @abstractmethod
    def on_version(self, peer: Peer, version: int) -> None:
        """Note the version of the document that a peer has in force."""

    def version(self) -> int:
        """Return the version of the document in force here."""
        return 0

    def state(self) -> str:
        """Return ``active``, ``leaving`` or ``failing``."""
        return "active"

    def load(self) -> int:
        """Return the number of requests in flight here."""
        return 0


class Link:
    """The listening socket of a process and its peers.

    Parameters
    ----------
    name : str
        Name of this process, unique in the deployment.
    listen : str
        ``IP:port`` to listen on.
    address : str
        ``IP:port`` that others reach this process at.
    handler : Handler
        Receives messages and the news of peers.
    metrics : Metrics
        Counters of this process.
    timing : Timing
        Heartbeat interval and time limits.
    """

    def __init__(
        self,
        name: str,
        listen: str,
        address: str,
        handler: Handler,
        metrics: Metrics,
        timing: Timing,
    ) -> None:
        self.name = name
        self.address = address
        self._listen = listen
        self.boot = secrets.randbits(62) + 1
        self.timing = timing
        self.peers: dict[str, Peer] = {}
        self._forgotten: dict[str, int] = {}
        self._handler = handler
        self._metrics = metrics
        self._group: anyio.abc.TaskGroup | None = None
        self._sock: pynng.Pull0 | None = None

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Receive until cancelled; raise :class:`LinkError` on a taken address."""
        try:
            self._sock = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
            self._sock.listen(f"tcp://{self._listen}")
        except pynng.NNGException as exc:
            msg = (
                f"cannot listen on {self._listen}: {exc}; set link.address to a "
                "free address of this host"
            )
            raise LinkError(msg) from exc
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                task_status.started()
                await self._receive(self._sock)
        finally:
            self._sock.close()

    async def _receive(self, sock: pynng.Pull0) -> None:
        while True:
            data = await sock.arecv()
            self._metrics.received(len(data))
            try:
                batch = decode(data)
            except FrameError as exc:
                # A hostile or truncated frame must not end the process: it
                # is counted and dropped, and numbering shows the sender.
                self._metrics.batch("malformed")
                logger.warning("dropped a frame: {}", exc)
                continue
            self._take(batch)

    def _take(self, batch: Batch) -> None:
        if not batch.sender or not is_address(batch.address):
            self._metrics.batch("malformed")
            return
        peer = self.peer(batch.sender, batch.address)
        fresh = peer.heard(batch)
        self._handler.on_version(peer, batch.version)
        if not fresh:
            return
        for message in batch.messages:
            try:
                self._handler.on_message(peer, message)
            except Exception:  # noqa: BLE001 - one bad message, not the process
                self._metrics.batch("rejected")
                logger.exception("a message of {} could not be used", peer.name)

    def peer(self, name: str, address: str) -> Peer:
        """Return the peer of that name, connecting to it if it is new."""
        peer = self.peers.get(name)
        if peer is not None:
            if not peer.alive and peer.address != address:
                peer.move(address)
            return peer
        peer = Peer(
            name, address, self, asyncio.get_running_loop(), self._boot_for(name)
        )
        self.peers[name] = peer
        assert self._group is not None
        self._group.start_soon(peer.run)
        return peer

    def _boot_for(self, name: str) -> int:
        """Return what names this end towards a peer.

        A peer that was forgotten here still counts on from the numbers of
        before. Under the same name of this end it would drop what is sent to
        it as repeats, and its own messages would be behind a gap. With another
        name it begins anew, as it does after a restart.
        """
        if name in self._forgotten:
            return self._forgotten[name] + 1
        return self.boot

    def remove_peer(self, name: str) -> None:
        """Close the connection to a peer that is not needed any more."""
        peer = self.peers.pop(name, None)
        if peer is not None:
            self._forgotten[name] = peer.own_boot
            peer.close()

    def announce(self) -> None:
        """Let each peer hear a changed state or version at once."""
        for peer in self.peers.values():
            peer.announce()

    def stamp(
        self, peer: Peer, seq: int, messages: list[AnyMessage], *, renew: bool
    ) -> Batch:
        """Return a batch for a peer with this process's present header."""
        return Batch(
            self.name,
            self.address,
            peer.own_boot,
            peer.boot,
            seq,
            peer.received,
            self._handler.version(),
            self._handler.state(),
            self._handler.load(),
            renew,
            messages,
        )

    def peer_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Pass on that a peer is dead or began anew."""
        self._handler.on_lost(peer, restarted=restarted)

    def count_batch(self, kind: str) -> None:
        """Count a batch that was not taken as usual."""
        self._metrics.batch(kind)

    def count_sent(self, size: int) -> None:
        """Count a sent batch of ``size`` bytes."""
        self._metrics.sent(size)


def is_address(text: str) -> bool:
    """Return whether ``text`` is ``IPv4:port``."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return port.isdigit() and 0 < int(port) < 65536


__all__ = [
    "Handler",
    "Link",
    "is_address",
]
