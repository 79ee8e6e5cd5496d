"""Failure of one attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.request.reason import RetryReason


class AttemptFailedError(Exception):
    """One attempt failed; a retry may follow.

    Parameters
    ----------
    reason : RetryReason
        Label of the retry counter.
    cause : str
        Description for the log.
    may_have_run : bool
        Whether the endpoint may have executed the request.
    response : Response, optional
        The endpoint's own response, if the attempt failed with a complete one.
    suspects : iterable of str
        Ids of the endpoints that retries of this request should avoid.
    """

    def __init__(
        self,
        reason: RetryReason,
        cause: str,
        *,
        may_have_run: bool,
        response: Response | None = None,
        suspects: Iterable[str] = (),
    ) -> None:
        super().__init__(cause)
        self.reason = reason
        self.may_have_run = may_have_run
        self.response = response
        self.suspects = frozenset(suspects)


def decode_value(value: bytes) -> str:
    """Decode an id or address as sent in a header or event."""
    return value.decode("latin-1")


__all__ = [
    "AttemptFailedError",
    "decode_value",
]
