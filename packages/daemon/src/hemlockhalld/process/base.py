"""Base class of entry hosts and side processes."""

from __future__ import annotations

import signal
import sys
from abc import abstractmethod
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_core.connection.link import Handler, Link
from hemlockhall_core.connection.message import DocumentRequest, DocumentText
from hemlockhall_core.connection.peer import Timing
from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.process.status import PeerStatus, Status
from hemlockhall_core.version.document_cache import DocumentCache
from hemlockhalld.process.admin import Admin, serve_http

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage
    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.setting import Settings

ACTIVE = "active"
LEAVING = "leaving"
FAILING = "failing"
ADMIN_SHUTDOWN_TIMEOUT_S = 0.5
FINISH_POLL_INTERVAL_S = 0.05


class Process(Handler):
    """A process with a link to its peers, a document and an admin interface.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    role : str
        ``entry`` or ``side``.
    section_names : tuple of str
        Sections of the document that this role needs.
    """

    def __init__(
        self, settings: Settings, role: str, section_names: tuple[str, ...]
    ) -> None:
        self.settings = settings
        self.role = role
        self.metrics = Metrics()
        self.leaving = False
        self.document_cache = DocumentCache(
            section_names, self.metrics, self.on_document_adopted
        )
        cfg = settings.link
        timing = Timing(
            cfg.heartbeat_s,
            cfg.idle_s,
            cfg.renew_s,
            cfg.dead_s,
            cfg.refused_s,
        )
        address = cfg.advertise or cfg.address
        name = settings.process.name
        self.link = Link(name, cfg.address, address, self, self.metrics, timing)
        # Tasks in ``task_group`` are cancelled after the drain. Those in
        # ``server_group`` end by themselves once ``stopped`` is set.
        self.task_group: anyio.abc.TaskGroup | None = None
        self.server_group: anyio.abc.TaskGroup | None = None
        self.stopped = anyio.Event()
        self._leave_event = anyio.Event()

    @abstractmethod
    def in_flight(self) -> int:
        """Return the number of requests in progress."""

    @abstractmethod
    async def start_tasks(self) -> None:
        """Start the tasks of the role in ``task_group``."""

    @abstractmethod
    def admin_address(self) -> str:
        """Return the listen address of the administrative interface, ``IP:port``."""

    def on_document_adopted(self) -> None:
        """Handle a newly adopted version of the document."""

    def not_ready_reason(self) -> str:
        """Return why the process takes no requests; empty if it is ready."""
        if self.leaving:
            return "leaving"
        return "" if self.document_cache.version else "no version of the document yet"

    async def wait_finished(self) -> None:
        """Wait until the requests in progress have ended."""
        while self.in_flight():
            await anyio.sleep(FINISH_POLL_INTERVAL_S)

    def offer_document(self, document: DocumentText) -> None:
        """Adopt a document that was posted to the admin interface, if it is newer."""
        self.document_cache.apply_response(document)

    def drain(self, name: str) -> bool:
        """Drain this process if ``name`` is its own; return whether it is known."""
        if name != self.link.name:
            return False
        self.leave()
        return True

    def leave(self) -> None:
        """Take no new requests, and stop when those in progress have ended."""
        self.leaving = True
        self._leave_event.set()
        self.link.announce()

    def version(self) -> int:
        """Return the version of the document in force here."""
        return self.document_cache.version

    def state(self) -> str:
        """Return the state that is announced to the peers."""
        return LEAVING if self.leaving else ACTIVE

    def load(self) -> int:
        """Return the number of requests in flight here."""
        return self.in_flight()

    def on_version(self, peer: Peer, version: int) -> None:
        """Request the document from a peer that has a higher version."""
        self.document_cache.request_if_newer(peer, version)

    def handle_document_message(self, peer: Peer, message: AnyMessage) -> bool:
        """Handle a message about the document; return False for any other."""
        if isinstance(message, DocumentRequest):
            if self.document_cache.version:
                peer.post(self.document_cache.make_response(message))
            return True
        if isinstance(message, DocumentText):
            self.document_cache.apply_response(message)
            return True
        return False

    def status(self) -> Status:
        """Return the state that ``/status`` reports."""
        peers = []
        for peer in self.link.peers.values():
            peers.append(
                PeerStatus(peer.name, peer.version, peer.state, peer.ready, peer.load)
            )
        return Status(
            self.link.name,
            self.role,
            self.settings.process.data_centre,
            self.version(),
            self.state(),
            self.in_flight(),
            peers,
            self.metrics.nonzero_counters(),
        )

    async def run(self) -> None:
        """Run until drained; SIGTERM or SIGINT during the drain stops at once."""
        async with anyio.create_task_group() as group:
            self.task_group = group
            group.start_soon(self._handle_signals)
            await group.start(self.link.run)
            for seed in self.settings.seeds:
                self.link.peer(seed.name, seed.address)
            async with anyio.create_task_group() as servers:
                await self._serve(servers)
            logger.info("{} is drained", self.link.name)
            group.cancel_scope.cancel()

    async def _serve(self, servers: anyio.abc.TaskGroup) -> None:
        """Run the servers until drained; they shut down when ``stopped`` is set."""
        self.server_group = servers
        app = Admin(self.metrics, self)
        address = self.admin_address()
        servers.start_soon(
            serve_http, app, address, ADMIN_SHUTDOWN_TIMEOUT_S, self.stopped.wait
        )
        await self.start_tasks()
        logger.info("{} is up", self.link.name)
        await self._leave_event.wait()
        await self.wait_finished()
        self.stopped.set()

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for _ in received:
                if self.leaving:
                    logger.warning("stopped before the requests ended")
                    sys.exit(1)
                logger.info("leaving")
                self.leave()


__all__ = [
    "FAILING",
    "Process",
]
