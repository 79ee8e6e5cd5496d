"""A call of a plain service at the entry host, over all its attempts."""

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
from hemlockhalld.process.rest import ServiceRests
from hemlockhalld.request.generation import PeerLost
from hemlockhalld.request.problem import Problem
from hemlockhalld.request.version_wait import wait_for_newer_version

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.connection.link import Link
    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.metric import Metrics
    from hemlockhall_core.version.document import Endpoint

# The setting ``repairs`` applies to model requests only.
MAX_ATTEMPTS = 4
# Sent to the caller with a refusal.
RETRY_AFTER_S = 1.0
RETRY_REASONS = frozenset(retry.value for retry in RetryReason)


@dataclass
class ServiceCall:
    """Sends a call to one side process after another until one responds.

    An idempotent call may run twice. A non-idempotent call carries a key, and
    only the side process that claims the key makes the call. Endpoints whose
    service asked for rest, by this call or an earlier one, get no call until then.
    """

    call: Call
    deadline: float
    link: Link
    metrics: Metrics
    version: Callable[[], int]
    choose_endpoint: Callable[[str, set[str]], Endpoint | None]
    endpoint_name: str = ""
    ran: Ran = Ran.NO
    rests: ServiceRests = field(default_factory=ServiceRests)
    _excluded: set[str] = field(default_factory=set)
    _sent_call: Call | None = None

    def __post_init__(self) -> None:
        self._inbox_writer, self._inbox = anyio.create_memory_object_stream[
            CallResponse | CallRefused | PeerLost
        ](math.inf)

    def post(self, event: CallResponse | CallRefused | PeerLost) -> None:
        """Queue a response or a failure for the current attempt."""
        self._inbox_writer.send_nowait(event)

    def uses(self, name: str) -> bool:
        """Return whether the call was last sent to an endpoint."""
        return self.endpoint_name == name

    def close(self) -> None:
        """Cancel the call if it has not started."""
        if self._sent_call is not None and self.endpoint_name in self.link.peers:
            peer = self.link.peers[self.endpoint_name]
            if not peer.cancel(self._sent_call):
                peer.post(CancelCall(self._sent_call.request, self._sent_call.attempt))
        self._inbox_writer.close()

    async def response(self) -> CallResponse:
        """Return the response of the service; raise :class:`Problem` without one."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            peer = self._send(attempt)
            event = await self._next_event(attempt)
            sent, self._sent_call = self._sent_call, None
            assert sent is not None
            if isinstance(event, CallResponse):
                self._record_rest(event)
                return event
            retry = self._retry_reason(event, peer, sent)
            self.metrics.count_retry(retry)
            logger.bind(request=self.call.request, attempt=attempt).info(
                "retrying the call: {}", retry.value
            )
            if retry is RetryReason.STALE_VERSION:
                await wait_for_newer_version(self.version, sent.version, self.deadline)
        detail = f"{MAX_ATTEMPTS} attempts failed"
        raise Problem(RefusalReason.REPAIR_EXHAUSTED, detail, self.ran, RETRY_AFTER_S)

    def _send(self, attempt: int) -> Peer:
        resting = self.rests.resting()
        endpoint = self.choose_endpoint(self.call.service, self._excluded | resting)
        if endpoint is None and resting:
            self._raise_if_resting()
        if endpoint is None:
            detail = f"no endpoint of {self.call.service} takes calls now"
            raise Problem(RefusalReason.NO_ENDPOINT, detail, self.ran, RETRY_AFTER_S)
        remaining_s = self.deadline - time.monotonic()
        self._sent_call = msgspec.structs.replace(
            self.call, attempt=attempt, version=self.version(), expires_in_s=remaining_s
        )
        self.endpoint_name = endpoint.name
        peer = self.link.peer(endpoint.name, endpoint.address)
        try:
            peer.post(self._sent_call)
        except QueueFullError as exc:
            raise Problem(
                RefusalReason.NO_ENDPOINT, str(exc), self.ran, RETRY_AFTER_S
            ) from exc
        return peer

    def _record_rest(self, response: CallResponse) -> None:
        # The response to a call with a key may be that to an earlier call.
        if not self.call.idempotent:
            return
        if self.rests.record(self.endpoint_name, response):
            logger.bind(request=self.call.request).info(
                "{} asks for rest", self.endpoint_name
            )

    def _raise_if_resting(self) -> None:
        """Raise :class:`Problem` if only the rest of an endpoint is in the way."""
        endpoint = self.choose_endpoint(self.call.service, self._excluded)
        if endpoint is None:
            return
        detail = f"the endpoints of {self.call.service} asked for rest"
        retry_after = self.rests.remaining_s(endpoint.name)
        raise Problem(RefusalReason.NO_ENDPOINT, detail, self.ran, retry_after)

    async def _next_event(self, attempt: int) -> CallResponse | CallRefused | PeerLost:
        while True:
            remaining_s = self.deadline - time.monotonic()
            with anyio.move_on_after(max(0.0, remaining_s)) as scope:
                event = await self._inbox.receive()
            if scope.cancelled_caught:
                raise self._deadline_problem()
            if isinstance(event, PeerLost):
                if event.name == self.endpoint_name:
                    return event
                continue
            if event.attempt == attempt:
                return event
            self.metrics.count_ignored_message("superseded")

    def _deadline_problem(self) -> Problem:
        peer = self.link.peers.get(self.endpoint_name)
        # A call that is still queued here was never sent, so it did not run.
        if peer is not None and self._sent_call and peer.cancel(self._sent_call):
            self._sent_call = None
        elif self.ran is Ran.NO:
            self.ran = Ran.UNKNOWN
        detail = "the deadline passed before the service answered"
        return Problem(RefusalReason.DEADLINE_EXCEEDED, detail, self.ran, RETRY_AFTER_S)

    def _retry_reason(
        self, event: CallRefused | PeerLost, peer: Peer, sent: Call
    ) -> RetryReason:
        """Return why the call is retried; raise :class:`Problem` if it is not."""
        self._excluded.add(self.endpoint_name)
        if isinstance(event, PeerLost):
            # A queued call would still run when the peer comes back.
            if not peer.cancel(sent):
                self.ran = Ran.UNKNOWN
            return (
                RetryReason.PEER_RESTARTED if event.restarted else RetryReason.PEER_LOST
            )
        if event.reason not in RETRY_REASONS:
            refusal, ran = RefusalReason(event.reason), Ran(event.ran)
            # An earlier attempt at another endpoint may have run.
            if ran is Ran.NO and self.ran is Ran.UNKNOWN:
                ran = Ran.UNKNOWN
            if refusal is RefusalReason.NO_ENDPOINT and ran is Ran.NO:
                return RetryReason.NOT_STARTED
            raise Problem(refusal, event.detail, ran, event.retry_after)
        retry = RetryReason(event.reason)
        if retry is RetryReason.STALE_VERSION:
            self._excluded.discard(self.endpoint_name)
        return retry


__all__ = [
    "ServiceCall",
]
