"""The link of a process: its listening socket and its peers."""

from __future__ import annotations

import asyncio
import secrets
import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio
import pynng
from loguru import logger

from hemlockhall_core.connection.error import BatchDecodeError, LinkError
from hemlockhall_core.connection.message import MAX_BATCH_BYTES, Batch, decode
from hemlockhall_core.connection.peer import Peer, Timing

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage
    from hemlockhall_core.process.metric import Metrics


class Handler(ABC):
    """Callbacks of a link, and the state that it reports to the peers."""

    @abstractmethod
    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Handle a message; each is delivered at most once and in order."""

    @abstractmethod
    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Handle the loss of a peer that is dead or has restarted."""

    @abstractmethod
    def on_version(self, peer: Peer, version: int) -> None:
        """Handle the version of the document that a peer has in force."""

    def version(self) -> int:
        """Return the version of the document in force here."""
        return 0

    def state(self) -> str:
        """Return the state of this process: ``active``, ``leaving`` or ``failing``."""
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
        ``IP:port`` at which the peers reach this process.
    handler : Handler
        Receives messages and changes of peers.
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
        self._removed_boots: dict[str, int] = {}
        self._handler = handler
        self._metrics = metrics
        self._group: anyio.abc.TaskGroup | None = None
        self._sock: pynng.Pull0 | None = None

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Receive until cancelled; raise :class:`LinkError` if listening fails."""
        try:
            self._sock = pynng.Pull0(recv_max_size=MAX_BATCH_BYTES)
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
            self._metrics.count_received(len(data))
            try:
                batch = decode(data)
            except BatchDecodeError as exc:
                # A malformed or truncated batch must not end the process. The
                # sender sends it again, as it is not acknowledged.
                self._metrics.count_batch("malformed")
                logger.warning("dropped a malformed batch: {}", exc)
                continue
            self._handle_batch(batch)

    def _handle_batch(self, batch: Batch) -> None:
        if not batch.sender or not is_address(batch.address):
            self._metrics.count_batch("malformed")
            return
        peer = self.peer(batch.sender, batch.address)
        fresh = peer.receive(batch)
        self._handler.on_version(peer, batch.version)
        if not fresh:
            return
        for message in batch.messages:
            try:
                self._handler.on_message(peer, message)
            except Exception:  # noqa: BLE001 - an error in a handler must not end the process
                self._metrics.count_batch("rejected")
                logger.exception("handling a message of peer {} failed", peer.name)

    def peer(self, name: str, address: str) -> Peer:
        """Return the peer ``name``, connecting to it if it is new."""
        peer = self.peers.get(name)
        if peer is not None:
            if not peer.alive and peer.address != address:
                peer.change_address(address)
            return peer
        peer = Peer(
            name, address, self, asyncio.get_running_loop(), self._own_boot_for(name)
        )
        self.peers[name] = peer
        assert self._group is not None
        self._group.start_soon(peer.run)
        return peer

    def _own_boot_for(self, name: str) -> int:
        """Return the boot id under which this process addresses a peer.

        A removed peer keeps its sequence numbers. If it were contacted again
        under the same boot id, it would drop new batches as repeats, and its own
        batches would be behind a gap. A higher boot id makes it reset the
        numbers, as after a restart.
        """
        if name in self._removed_boots:
            return self._removed_boots[name] + 1
        return self.boot

    def remove_peer(self, name: str) -> None:
        """Close the connection to a peer and drop it."""
        peer = self.peers.pop(name, None)
        if peer is not None:
            self._removed_boots[name] = peer.own_boot
            peer.close()

    def announce(self) -> None:
        """Send a changed state or version to all peers at once."""
        for peer in self.peers.values():
            peer.announce()

    def make_batch(
        self, peer: Peer, seq: int, messages: list[AnyMessage], *, reconnect: bool
    ) -> Batch:
        """Return a batch for a peer with the current header of this process."""
        return Batch(
            self.name,
            self.address,
            peer.own_boot,
            peer.boot,
            seq,
            peer.last_received_seq,
            self._handler.version(),
            self._handler.state(),
            self._handler.load(),
            reconnect,
            messages,
        )

    def peer_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Tell the handler that a peer is dead or has restarted."""
        self._handler.on_lost(peer, restarted=restarted)

    def count_batch(self, kind: str) -> None:
        """Count an event by its kind; see :meth:`Metrics.count_batch`."""
        self._metrics.count_batch(kind)

    def count_sent(self, size: int) -> None:
        """Count a sent batch of ``size`` bytes."""
        self._metrics.count_sent(size)


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
