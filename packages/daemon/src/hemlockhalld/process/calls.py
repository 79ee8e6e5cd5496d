"""Calls of the plain service beside a side process."""

from __future__ import annotations

import base64
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

import anyio
import httpx
from loguru import logger

from hemlockhall_core.connection.message import CallRefused, CallResponse, Header
from hemlockhall_core.process.error import PlatformError, StoreUnavailableError
from hemlockhall_core.request.reason import Ran, RefusalReason
from hemlockhalld.request.claim import call_digest, claim_key

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage, Call, CancelCall
    from hemlockhall_core.connection.peer import Peer
    from hemlockhalld.request.claim import Claim, Claims

POLL_PAUSES = (0.05, 0.15, 0.4)
COME_BACK = 1.0
PATH_SAFE = "/:@!$&'()*+,;=~"
HOP_HEADERS = frozenset(
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
class Running:
    """A call in progress: who asked, until when, and how far it is."""

    call: Call
    peer: Peer
    deadline: float
    withdrawn: bool = False
    started: bool = False


class Calls:
    """Makes calls, those that must not be repeated under a claim.

    Parameters
    ----------
    url : str
        Where the service listens.
    claims : Claims
        Claims of idempotency keys.
    """

    def __init__(self, url: str, claims: Claims) -> None:
        self.running: dict[str, Running] = {}
        self._client = httpx.AsyncClient(base_url=url)
        self._claims = claims

    async def run(self, peer: Peer, call: Call) -> None:
        """Make one call and post what came of it to the entry host."""
        deadline = time.monotonic() + call.expires_in_s
        name = f"{call.request}/{call.attempt}"
        running = self.running[name] = Running(call, peer, deadline)
        try:
            peer.post(await self._outcome(running))
        except Exception:  # noqa: BLE001
            # One call that cannot be handled must not end the process, and
            # with it the calls of others; whether it ran is not known here.
            logger.exception("a call of {} failed", call.service)
            detail = "the side process could not handle the call; see its log"
            ran = Ran.UNKNOWN if running.started else Ran.NO
            peer.post(
                refused(call, RefusalReason.OUTCOME_UNKNOWN, ran, detail, COME_BACK)
            )
        finally:
            del self.running[name]

    def withdraw(self, message: CancelCall) -> None:
        """Keep a call from being started."""
        running = self.running.get(f"{message.request}/{message.attempt}")
        if running is not None:
            running.withdrawn = True

    async def _outcome(self, running: Running) -> AnyMessage:
        if running.call.idempotent:
            return await self._make(running)
        return await self._make_claimed(running)

    async def _make_claimed(self, running: Running) -> AnyMessage:
        call = running.call
        key = claim_key(call)
        try:
            taken = await self._claims.take(key, call_digest(call))
        except StoreUnavailableError as exc:
            return refused(
                call, RefusalReason.STORE_UNAVAILABLE, Ran.NO, str(exc), exc.retry_after
            )
        if not taken.mine:
            return await self._stands(key, call, taken.claim)
        result = await self._make(running)
        if isinstance(result, CallResponse):
            await self._claims.complete(key, taken, result)
        elif not running.started:
            await self._claims.release(key, taken.claim)
        return result

    async def _stands(self, key: str, call: Call, claim: Claim) -> AnyMessage:
        """Answer from another holder's claim, waiting a little for its end."""
        if claim.digest != call_digest(call):
            detail = "the Idempotency-Key was used for another call; take a new one"
            return refused(call, RefusalReason.KEY_REUSED, Ran.NO, detail, 0.0)
        for pause in POLL_PAUSES:
            if claim.done:
                break
            await anyio.sleep(pause)
            try:
                claim = await self._claims.read(key) or claim
            except PlatformError as exc:
                logger.warning("a claim could not be read: {}", exc)
        if not claim.done:
            detail = "a call under this key has begun and its outcome is not known"
            return refused(
                call, RefusalReason.IN_PROGRESS, Ran.UNKNOWN, detail, COME_BACK
            )
        body = base64.b64decode(claim.body)
        return CallResponse(
            call.request, call.attempt, claim.status, claim.headers, body
        )

    async def _make(self, running: Running) -> AnyMessage:
        call = running.call
        left = running.deadline - time.monotonic()
        # A process that was paused after it took the call finds the deadline
        # past; its caller was told long ago that the call is given up.
        if running.withdrawn or left <= 0:
            detail = "the deadline passed, or the caller left, before the call began"
            return refused(
                call, RefusalReason.DEADLINE_EXCEEDED, Ran.NO, detail, COME_BACK
            )
        running.started = True
        try:
            response = await self._request(call, left)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            running.started = False
            detail = f"the service takes no connections: {exc}"
            return refused(call, RefusalReason.NO_ENDPOINT, Ran.NO, detail, COME_BACK)
        except httpx.HTTPError as exc:
            detail = f"the service gave no answer: {exc!r}"
            return refused(
                call, RefusalReason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail, COME_BACK
            )
        headers = [Header(n, v) for n, v in _end_to_end(response.headers.multi_items())]
        status, body = response.status_code, response.content
        return CallResponse(call.request, call.attempt, status, headers, body)

    async def _request(self, call: Call, left: float) -> httpx.Response:
        url = quote(call.path, safe=PATH_SAFE)
        if call.query:
            url += f"?{call.query}"
        headers = _end_to_end([(h.name, h.value) for h in call.headers])
        return await self._client.request(
            call.method, url, headers=headers, content=call.body, timeout=left
        )


def refused(
    call: Call, reason: RefusalReason, ran: Ran, detail: str, retry_after: float
) -> CallRefused:
    """Return the message that refuses a call."""
    return CallRefused(
        call.request, call.attempt, reason.value, ran.value, detail, retry_after
    )


def _end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    kept = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_HEADERS or lower == "authorization":
            continue
        kept.append((lower, value))
    return kept


__all__ = [
    "Calls",
    "refused",
]
