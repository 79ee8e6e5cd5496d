"""Refusals of requests as problem documents (RFC 9457)."""

from __future__ import annotations

import math

import msgspec

from hemlockhall_core.request.reason import Ran, RefusalReason

TYPE_PREFIX = "urn:hemlockhall:refusal:"
CONTENT_TYPE = "application/problem+json"

HTTP_STATUS = {
    RefusalReason.BAD_DEADLINE: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CALL_UNDECLARED: 405,
    RefusalReason.CONCURRENCY_LIMITED: 429,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.KEY_MISSING: 400,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.MALFORMED_BODY: 400,
    RefusalReason.NO_DOCUMENT: 503,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.REPAIR_EXHAUSTED: 502,
    RefusalReason.STORE_UNAVAILABLE: 503,
    RefusalReason.UNAUTHORIZED: 401,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
}


class ProblemDocument(msgspec.Struct, omit_defaults=True):
    """Body of a refusal; ``retry_after`` in seconds."""

    type: str
    title: str
    status: int
    detail: str
    reason: str
    ran: str
    retry_after: float | None = None


class Problem(Exception):
    """A refused or failed request.

    Parameters
    ----------
    reason : RefusalReason
        Reason, which determines the HTTP status.
    detail : str
        What is wrong, and the fix if there is one.
    ran : Ran
        Whether the request ran at a back end.
    retry_after : float, optional
        Seconds after which a retry may succeed.
    """

    def __init__(
        self,
        reason: RefusalReason,
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
        return HTTP_STATUS[self.reason]

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
        """Return ``Retry-After`` in whole seconds, if a retry may succeed."""
        if not self.retry_after:
            return ()
        seconds = str(math.ceil(self.retry_after)).encode()
        return ((b"retry-after", seconds),)


__all__ = [
    "CONTENT_TYPE",
    "Problem",
]
