"""The side process: the last point before a model engine or a service."""

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
from hemlockhalld.process.engine import Engine
from hemlockhalld.process.stages import Stages
from hemlockhalld.request.claim import Claims

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage
    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.setting import Settings

LAST_FRAMES = 0.2


class Side(Process):
    """A side process; ``settings.side`` must be set."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, "side", SIDE_SECTIONS)
        assert settings.side is not None
        self._section = settings.side
        engine = Engine(self._section.back_end, self._section.step_timeout_s)
        self._stages = Stages(
            self.link, engine, self.metrics, self._section.retain_bytes
        )
        self._stages.changed = self.link.announce
        table = Table(settings.platform.table, self.metrics)
        self._claims = Claims(table, self.link.boot)
        self._calls = Calls(self._section.back_end, self._claims)

    def admin_address(self) -> str:
        """Return where the administrative interface listens."""
        return self._section.admin

    def in_flight(self) -> int:
        """Return requests in progress, and outcomes still to be recorded."""
        calls = len(self._calls.running) + self._claims.pending()
        return len(self._stages.requests) + calls

    def state(self) -> str:
        """Return what the peers are told."""
        if self._stages.failing and not self.leaving:
            return FAILING
        return super().state()

    def not_ready(self) -> str:
        """Return why no requests are taken; versions come with the first."""
        return "leaving" if self.leaving else ""

    async def work(self) -> None:
        """Start the tasks of this role."""
        assert self.group is not None
        if self._section.kind == "engine":
            self.group.start_soon(self._stages.run)
        else:
            self.group.start_soon(self._claims.run)

    async def finish(self) -> None:
        """Wait for the requests in progress and their last messages."""
        await super().finish()
        await anyio.sleep(LAST_FRAMES)

    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Give up what ran with a peer that is dead or began anew."""
        self._stages.lost(peer.name)

    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Act on one message."""
        if self.take_document(peer, message):
            return
        if isinstance(message, Activations):
            self._stages.hop(message)
        elif isinstance(message, NextToken):
            self._stages.loop(message)
        elif isinstance(message, Open):
            self._open(message)
        elif isinstance(message, ActivationsRequest):
            self._stages.need(message)
        elif isinstance(message, AttemptProbe):
            failed = self._stages.probe(message)
            if failed is not None:
                peer.post(failed)
        elif isinstance(message, Close):
            self._stages.close(message)
        elif isinstance(message, Call):
            self._call(peer, message)
        elif isinstance(message, CancelCall):
            self._calls.withdraw(message)
        elif isinstance(message, Drain) and message.endpoint == self.link.name:
            peer.post(DrainAccepted(self.link.name, self.in_flight()))
            self.leave()

    def _open(self, message: Open) -> None:
        known = message.request in self._stages.requests
        if self._stages.failing:
            self._stages.refuse(message, RetryReason.ENGINE_FAILED)
        elif self.leaving and not known:
            self._stages.refuse(message, RetryReason.ENDPOINT_LEAVING)
        elif message.version < self.version():
            # An entry host that has not heard of the version in force here
            # would run the request under rules that were replaced.
            self._stages.refuse(message, RetryReason.STALE_VERSION)
        else:
            self._stages.open(message)

    def _call(self, peer: Peer, message: Call) -> None:
        assert self.group is not None
        reason = None
        if self.leaving:
            reason = RetryReason.ENDPOINT_LEAVING
        elif message.version < self.version():
            reason = RetryReason.STALE_VERSION
        if reason is None:
            self.group.start_soon(self._calls.run, peer, message)
            return
        peer.post(
            CallRefused(
                message.request, message.attempt, reason.value, Ran.NO.value, "", 0.0
            )
        )


__all__ = [
    "Side",
]
