"""Refusals as callers see them: problem documents (RFC 9457)."""

from __future__ import annotations

import math

import msgspec

from hemlockhall_core.request.reason import Ran, Refusal

TYPE_PREFIX = "urn:hemlockhall:refusal:"
CONTENT_TYPE = "application/problem+json"

STATUS = {
    Refusal.BAD_DEADLINE: 400,
    Refusal.BODY_TOO_LARGE: 413,
    Refusal.CALL_UNDECLARED: 405,
    Refusal.CONCURRENCY_LIMITED: 429,
    Refusal.DEADLINE_EXCEEDED: 504,
    Refusal.IN_PROGRESS: 409,
    Refusal.KEY_MISSING: 400,
    Refusal.KEY_REUSED: 422,
    Refusal.MALFORMED_BODY: 400,
    Refusal.NO_DOCUMENT: 503,
    Refusal.NO_ENDPOINT: 503,
    Refusal.NOT_FOUND: 404,
    Refusal.OUTCOME_UNKNOWN: 502,
    Refusal.RATE_LIMITED: 429,
    Refusal.REPAIR_EXHAUSTED: 502,
    Refusal.STORE_UNAVAILABLE: 503,
    Refusal.UNAUTHORIZED: 401,
    Refusal.UNKNOWN_MODEL: 404,
    Refusal.UNKNOWN_SERVICE: 404,
}


class ProblemDocument(msgspec.Struct, omit_defaults=True):
    """Body of a refusal; ``retry_after`` is in seconds."""

    type: str
    title: str
    status: int
    detail: str
    reason: str
    ran: str
    retry_after: float | None = None


class Problem(Exception):
    """A refusal, raised where it is decided.

    Parameters
    ----------
    reason : Refusal
        Why; decides the HTTP status.
    detail : str
        What is wrong and what to do.
    ran : Ran
        Whether the request had an effect at a back end.
    retry_after : float, optional
        Seconds after which coming back helps.
    """

    def __init__(
        self,
        reason: Refusal,
        detail: str,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.ran = ran
        self.retry_after = retry_after

    @property
    def status(self) -> int:
        """The HTTP status."""
        return STATUS[self.reason]

    def body(self) -> bytes:
        """Return the problem document as JSON."""
        return msgspec.json.encode(
            ProblemDocument(
                TYPE_PREFIX + self.reason.value,
                self.reason.value.replace("_", " "),
                self.status,
                self.detail,
                self.reason.value,
                self.ran.value,
                self.retry_after or None,
            )
        )

    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return ``Retry-After``, in whole seconds, where coming back helps."""
        if not self.retry_after:
            return ()
        seconds = str(math.ceil(self.retry_after)).encode()
        return ((b"retry-after", seconds),)


__all__ = [
    "CONTENT_TYPE",
    "Problem",
]
