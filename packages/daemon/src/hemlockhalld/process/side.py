"""Side process: runs next to a model engine or a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hemlockhall_core.connection.message import (
    Activations,
    ActivationsRequest,
    AttemptProbe,
    Call,
    CallRefused,
    CancelCall,
    Close,
    Drain,
    DrainAccepted,
    NextToken,
    Open,
)
from hemlockhall_core.process.table import Table
from hemlockhall_core.request.reason import Ran, RetryReason
from hemlockhall_core.version.document import SIDE_SECTIONS
from hemlockhalld.process.base import FAILING, Process
from hemlockhalld.process.calls import Calls
from hemlockhalld.process.engine import EngineClient
from hemlockhalld.process.stages import Stages
from hemlockhalld.request.claim import Claims

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage
    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.setting import Settings

# Time for the last messages to be sent before the process stops.
FLUSH_WAIT_S = 0.2


class Side(Process):
    """A side process; ``settings.side`` must be set."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, "side", SIDE_SECTIONS)
        assert settings.side is not None
        self._cfg = settings.side
        # Not used for a plain service, as ``Stages.run`` is not started then.
        engine = EngineClient(self._cfg.back_end, self._cfg.step_timeout_s)
        self._stages = Stages(self.link, engine, self.metrics, self._cfg.retain_bytes)
        self._stages.on_change = self.link.announce
        table = Table(settings.platform.table, self.metrics)
        self._claims = Claims(table, self.link.boot)
        self._calls = Calls(self._cfg.back_end, self._claims)

    def admin_address(self) -> str:
        """Return the listen address of the administrative interface, ``IP:port``."""
        return self._cfg.admin

    def in_flight(self) -> int:
        """Return the number of requests in progress and of unwritten outcomes."""
        calls = len(self._calls.active) + self._claims.pending_outcomes()
        return len(self._stages.requests) + calls

    def state(self) -> str:
        """Return the state that is announced to the peers."""
        if self._stages.failing and not self.leaving:
            return FAILING
        return super().state()

    def not_ready_reason(self) -> str:
        """Return why the process takes no requests; empty if it is ready.

        It is ready without a document, which it requests from the first peer whose
        batches announce a version.
        """
        return "leaving" if self.leaving else ""

    async def start_tasks(self) -> None:
        """Start the tasks of this role."""
        assert self.task_group is not None
        if self._cfg.kind == "engine":
            self.task_group.start_soon(self._stages.run)
        else:
            self.task_group.start_soon(self._claims.run)

    async def wait_finished(self) -> None:
        """Wait until the requests have ended, then for ``FLUSH_WAIT_S``."""
        await super().wait_finished()
        await anyio.sleep(FLUSH_WAIT_S)

    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Fail or drop the requests that run with a lost or restarted peer."""
        self._stages.on_peer_lost(peer.name)

    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Dispatch one message by its type."""
        if self.handle_document_message(peer, message):
            return
        if isinstance(message, Activations):
            self._stages.on_activations(message)
        elif isinstance(message, NextToken):
            self._stages.on_next_token(message)
        elif isinstance(message, Open):
            self._handle_open(message)
        elif isinstance(message, ActivationsRequest):
            self._stages.on_activations_request(message)
        elif isinstance(message, AttemptProbe):
            failed = self._stages.on_probe(message)
            if failed is not None:
                peer.post(failed)
        elif isinstance(message, Close):
            self._stages.on_close(message)
        elif isinstance(message, Call):
            self._handle_call(peer, message)
        elif isinstance(message, CancelCall):
            self._calls.cancel(message)
        elif isinstance(message, Drain) and message.endpoint == self.link.name:
            peer.post(DrainAccepted(self.link.name, self.in_flight()))
            self.leave()

    def _handle_open(self, message: Open) -> None:
        known = message.request in self._stages.requests
        if self._stages.failing:
            self._stages.refuse(message, RetryReason.ENGINE_FAILED)
        elif self.leaving and not known:
            self._stages.refuse(message, RetryReason.ENDPOINT_LEAVING)
        elif message.version < self.version():
            # The entry host does not have the version in force here yet and
            # would run the request by an older document.
            self._stages.refuse(message, RetryReason.STALE_VERSION)
        else:
            self._stages.on_open(message)

    def _handle_call(self, peer: Peer, message: Call) -> None:
        assert self.task_group is not None
        reason = None
        if self.leaving:
            reason = RetryReason.ENDPOINT_LEAVING
        elif message.version < self.version():
            reason = RetryReason.STALE_VERSION
        if reason is None:
            self.task_group.start_soon(self._calls.run, peer, message)
            return
        peer.post(
            CallRefused(
                message.request, message.attempt, reason.value, Ran.NO.value, "", 0.0
            )
        )


__all__ = [
    "Side",
]
