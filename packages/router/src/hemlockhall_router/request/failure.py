"""A try of a request that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.request.reason import RetryReason


class AttemptFailedError(Exception):
    """One try failed; another may follow.

    ``ran`` tells whether it may have run; ``response`` is the endpoint's own
    answer if it failed with one; ``suspects`` are the ids of the endpoints
    that this request had better not use again.
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


def decode_id(value: bytes) -> str:
    """Return an id of the wire for a log line."""
    return value.decode("latin-1")


__all__ = [
    "AttemptFailedError",
    "decode_id",
]
