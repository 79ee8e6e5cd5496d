"""One caller's call of a plain service at the entry host."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import msgspec
from loguru import logger

from hemlockhall_core.connection.error import QueueFullError
from hemlockhall_core.connection.message import (
    Call,
    CallRefused,
    CallResponse,
    CancelCall,
)
from hemlockhall_core.request.reason import Ran, RefusalReason, RetryReason
from hemlockhalld.request.generation import Lost
from hemlockhalld.request.patience import newer_version
from hemlockhalld.request.problem import Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.connection.link import Link
    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.metric import Metrics
    from hemlockhall_core.version.document import Endpoint

MAX_ATTEMPTS = 4
COME_BACK = 1.0
RETRY_WORDS = frozenset(retry.value for retry in RetryReason)


@dataclass
class Plain:
    """Tries side processes until one answers, as far as that is safe.

    An idempotent call may run twice. Another carries its key, and the claim
    of the key lets one side process make it, whichever were asked.
    """

    call: Call
    deadline: float
    link: Link
    metrics: Metrics
    version: Callable[[], int]
    choose: Callable[[str, set[str]], Endpoint | None]
    at: str = ""
    ran: Ran = Ran.NO
    _avoid: set[str] = field(default_factory=set)
    _sent: Call | None = None

    def __post_init__(self) -> None:
        self._news, self._inbox = anyio.create_memory_object_stream[
            CallResponse | CallRefused | Lost
        ](math.inf)

    def post(self, news: CallResponse | CallRefused | Lost) -> None:
        """Take an answer or the news of a failure."""
        self._news.send_nowait(news)

    def uses(self, name: str) -> bool:
        """Return whether the call is at an endpoint now."""
        return self.at == name

    def close(self) -> None:
        """Keep the call from being started after its caller was answered."""
        if self._sent is not None and self.at in self.link.peers:
            peer = self.link.peers[self.at]
            if not peer.cancel(self._sent):
                peer.post(CancelCall(self._sent.request, self._sent.attempt))
        self._news.close()

    async def answer(self) -> CallResponse:
        """Return the service's answer; raise :class:`Problem` without one."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            peer = self._send(attempt)
            news = await self._wait(attempt)
            sent, self._sent = self._sent, None
            assert sent is not None
            if isinstance(news, CallResponse):
                return news
            retry = self._judge(news, peer, sent)
            self.metrics.count_retry(retry)
            logger.bind(request=self.call.request, attempt=attempt).info(
                "trying again: {}", retry.value
            )
            if retry is RetryReason.STALE_VERSION:
                await newer_version(self.version, sent.version, self.deadline)
        detail = f"{MAX_ATTEMPTS} attempts failed"
        raise Problem(RefusalReason.REPAIR_EXHAUSTED, detail, self.ran, COME_BACK)

    def _send(self, attempt: int) -> Peer:
        endpoint = self.choose(self.call.service, self._avoid)
        if endpoint is None:
            detail = f"no endpoint of {self.call.service} takes calls now"
            raise Problem(RefusalReason.NO_ENDPOINT, detail, self.ran, COME_BACK)
        left = self.deadline - time.monotonic()
        self._sent = msgspec.structs.replace(
            self.call, attempt=attempt, version=self.version(), expires_in_s=left
        )
        self.at = endpoint.name
        peer = self.link.peer(endpoint.name, endpoint.address)
        try:
            peer.post(self._sent)
        except QueueFullError as exc:
            raise Problem(
                RefusalReason.NO_ENDPOINT, str(exc), self.ran, COME_BACK
            ) from exc
        return peer

    async def _wait(self, attempt: int) -> CallResponse | CallRefused | Lost:
        while True:
            left = self.deadline - time.monotonic()
            with anyio.move_on_after(max(0.0, left)) as scope:
                news = await self._inbox.receive()
            if scope.cancelled_caught:
                raise self._expired()
            if isinstance(news, Lost):
                if news.name == self.at:
                    return news
                continue
            if news.attempt == attempt:
                return news
            self.metrics.count_ignored_message("superseded")

    def _expired(self) -> Problem:
        peer = self.link.peers.get(self.at)
        # What still waits in this process was never sent, so it did not run.
        if peer is not None and self._sent and peer.cancel(self._sent):
            self._sent = None
        elif self.ran is Ran.NO:
            self.ran = Ran.UNKNOWN
        detail = "the deadline passed before the service answered"
        return Problem(RefusalReason.DEADLINE_EXCEEDED, detail, self.ran, COME_BACK)

    def _judge(self, news: CallRefused | Lost, peer: Peer, sent: Call) -> RetryReason:
        """Return why the call is tried again; raise if it must not be."""
        self._avoid.add(self.at)
        if isinstance(news, Lost):
            # What waits for a peer that is gone would run when it is back.
            if not peer.cancel(sent):
                self.ran = Ran.UNKNOWN
            return (
                RetryReason.PEER_RESTARTED if news.restarted else RetryReason.PEER_LOST
            )
        if news.reason not in RETRY_WORDS:
            refusal, ran = RefusalReason(news.reason), Ran(news.ran)
            # An earlier attempt at another endpoint may have run all the same.
            if ran is Ran.NO and self.ran is Ran.UNKNOWN:
                ran = Ran.UNKNOWN
            if refusal is RefusalReason.NO_ENDPOINT and ran is Ran.NO:
                return RetryReason.NOT_STARTED
            raise Problem(refusal, news.detail, ran, news.retry_after)
        retry = RetryReason(news.reason)
        if retry is RetryReason.STALE_VERSION:
            self._avoid.discard(self.at)
        return retry


__all__ = [
    "Plain",
]
