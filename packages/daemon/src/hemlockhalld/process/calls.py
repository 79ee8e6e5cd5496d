"""Calls to the plain service next to a side process."""

from __future__ import annotations

import base64
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

import anyio
import httpx
from loguru import logger

from hemlockhall_core.connection.decoding import DecodeError, decoding
from hemlockhall_core.connection.message import CallRefused, CallResponse, Header
from hemlockhall_core.connection.transport import BoundedTransport
from hemlockhall_core.process.error import PlatformError, StoreUnavailableError
from hemlockhall_core.request.reason import Ran, RefusalReason
from hemlockhalld.request.claim import call_digest, claim_key

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage, Call, CancelCall
    from hemlockhall_core.connection.peer import Peer
    from hemlockhalld.request.claim import Claim, Claims

# Delays before the reads of a claim whose holder has not written the outcome.
CLAIM_POLL_DELAYS_S = (0.05, 0.15, 0.4)
# Sent to the caller with a refusal.
RETRY_AFTER_S = 1.0
# Characters of a path that are not percent-encoded, besides the unreserved ones.
SAFE_PATH_CHARS = "/:@!$&'()*+,;=~"
# Headers that apply to one connection only, and those that the HTTP client sets.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass
class ActiveCall:
    """A call in progress.

    ``peer`` is the entry host that sent it, ``deadline`` a monotonic time, and
    ``started`` whether the service may have received the call.
    """

    call: Call
    peer: Peer
    deadline: float
    cancelled: bool = False
    started: bool = False


class Calls:
    """Calls the service; a non-idempotent call needs a claim of its key.

    Parameters
    ----------
    url : str
        Base URL of the service.
    claims : Claims
        Claims of idempotency keys.
    """

    def __init__(self, url: str, claims: Claims) -> None:
        self.active: dict[str, ActiveCall] = {}
        self._client = httpx.AsyncClient(base_url=url, transport=BoundedTransport())
        self._claims = claims

    async def run(self, peer: Peer, call: Call) -> None:
        """Make one call and post its result to the entry host."""
        deadline = time.monotonic() + call.expires_in_s
        name = f"{call.request}/{call.attempt}"
        active_call = self.active[name] = ActiveCall(call, peer, deadline)
        try:
            peer.post(await self._execute(active_call))
        except Exception:  # noqa: BLE001
            # An unexpected error in one call must not end the process and the
            # other calls with it. A started call may have run.
            logger.exception("call of service {} raised an error", call.service)
            detail = "the side process could not handle the call; see its log"
            ran = Ran.UNKNOWN if active_call.started else Ran.NO
            peer.post(
                make_refused(
                    call, RefusalReason.OUTCOME_UNKNOWN, ran, detail, RETRY_AFTER_S
                )
            )
        finally:
            del self.active[name]

    def cancel(self, message: CancelCall) -> None:
        """Cancel a call that has not started yet."""
        active_call = self.active.get(f"{message.request}/{message.attempt}")
        if active_call is not None:
            active_call.cancelled = True

    async def _execute(self, active_call: ActiveCall) -> AnyMessage:
        if active_call.call.idempotent:
            return await self._call_service(active_call)
        return await self._call_with_claim(active_call)

    async def _call_with_claim(self, active_call: ActiveCall) -> AnyMessage:
        call = active_call.call
        key = claim_key(call)
        try:
            acquired = await self._claims.acquire(key, call_digest(call))
        except StoreUnavailableError as exc:
            return make_refused(
                call, RefusalReason.STORE_UNAVAILABLE, Ran.NO, str(exc), exc.retry_after
            )
        if not acquired.owned:
            return await self._result_of_claim(key, call, acquired.claim)
        result = await self._call_service(active_call)
        if isinstance(result, CallResponse):
            await self._claims.complete(key, acquired, result)
        elif not active_call.started:
            await self._claims.release(key, acquired.claim)
        return result

    async def _result_of_claim(self, key: str, call: Call, claim: Claim) -> AnyMessage:
        """Return the result of another holder's claim, waiting briefly for it."""
        if claim.digest != call_digest(call):
            detail = "the Idempotency-Key was used for another call; take a new one"
            return make_refused(call, RefusalReason.KEY_REUSED, Ran.NO, detail, 0.0)
        for delay_s in CLAIM_POLL_DELAYS_S:
            if claim.done:
                break
            await anyio.sleep(delay_s)
            try:
                claim = await self._claims.read(key) or claim
            except PlatformError as exc:
                logger.warning("claim not read: {}", exc)
        if not claim.done:
            detail = "a call under this key has begun and its outcome is not known"
            return make_refused(
                call, RefusalReason.IN_PROGRESS, Ran.UNKNOWN, detail, RETRY_AFTER_S
            )
        try:
            with decoding("response of a claim"):
                body = base64.b64decode(claim.body, validate=True)
        except DecodeError as exc:
            return make_refused(
                call, RefusalReason.IN_PROGRESS, Ran.UNKNOWN, str(exc), RETRY_AFTER_S
            )
        return CallResponse(
            call.request, call.attempt, claim.status, claim.headers, body
        )

    async def _call_service(self, active_call: ActiveCall) -> AnyMessage:
        call = active_call.call
        remaining_s = active_call.deadline - time.monotonic()
        # If the process was paused after it received the call, the caller has
        # already been told that the deadline passed: the call must not start.
        if active_call.cancelled or remaining_s <= 0:
            detail = "the deadline passed, or the caller left, before the call began"
            return make_refused(
                call, RefusalReason.DEADLINE_EXCEEDED, Ran.NO, detail, RETRY_AFTER_S
            )
        active_call.started = True
        try:
            response = await self._send_request(call, remaining_s)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            active_call.started = False
            detail = f"the service takes no connections: {exc}"
            return make_refused(
                call, RefusalReason.NO_ENDPOINT, Ran.NO, detail, RETRY_AFTER_S
            )
        except httpx.HTTPError as exc:
            detail = f"the service gave no answer: {exc!r}"
            return make_refused(
                call, RefusalReason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail, RETRY_AFTER_S
            )
        headers = [
            Header(n, v) for n, v in _end_to_end_headers(response.headers.multi_items())
        ]
        status, body = response.status_code, response.content
        return CallResponse(call.request, call.attempt, status, headers, body)

    async def _send_request(self, call: Call, remaining_s: float) -> httpx.Response:
        url = quote(call.path, safe=SAFE_PATH_CHARS)
        if call.query:
            url += f"?{call.query}"
        headers = _end_to_end_headers([(h.name, h.value) for h in call.headers])
        return await self._client.request(
            call.method, url, headers=headers, content=call.body, timeout=remaining_s
        )


def make_refused(
    call: Call, reason: RefusalReason, ran: Ran, detail: str, retry_after: float
) -> CallRefused:
    """Return the message that refuses a call; ``retry_after`` in seconds."""
    return CallRefused(
        call.request, call.attempt, reason.value, ran.value, detail, retry_after
    )


def _end_to_end_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to forward, without the caller's API key."""
    forwarded = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS or lower == "authorization":
            continue
        forwarded.append((lower, value))
    return forwarded


__all__ = [
    "Calls",
    "make_refused",
]
