"""A try of a request that failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.request.reason import Retry


class TryFailedError(Exception):
    """One try failed; another may follow.

    ``ran`` tells whether it may have run; ``response`` is the endpoint's own
    answer if it failed with one.
    """

    def __init__(
        self, reason: Retry, cause: str, *, ran: bool, response: Response | None = None
    ) -> None:
        super().__init__(cause)
        self.reason = reason
        self.ran = ran
        self.response = response


def id_text(value: bytes) -> str:
    """Return an id of the wire for a log line."""
    return value.decode("latin-1")


__all__ = [
    "TryFailedError",
    "id_text",
]
