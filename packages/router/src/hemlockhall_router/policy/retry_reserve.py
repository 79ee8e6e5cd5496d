"""Which rejected requests may be retried while the endpoints are short of room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import EndpointRecord
    from hemlockhall_router.version.endpoint import EndpointStatement

# Fraction of the retry budget that a retry after a rejection must leave, by the tier of
# the request. Lost endpoints and running streams need the rest.
RESERVE_BY_TIER = (0.3, 0.6)
# Status by which an endpoint on the path declines a request: it is full, draining or
# dead. A probe tells which.
SERVICE_UNAVAILABLE = 503


def retry_reserve(
    tier: int, *, short: bool, may_have_run: bool = False
) -> float | None:
    """Return the fraction of the retry budget that a retry must leave.

    None means that there is no retry. Unless room is ``short``, another endpoint
    probably has room, and nothing is reserved. A request that may have run cannot be
    refused with a promise that it has not, so it counts as the most urgent whatever its
    tier.
    """
    if not short:
        return 0.0
    if may_have_run:
        tier = 0
    return RESERVE_BY_TIER[tier] if tier < len(RESERVE_BY_TIER) else None


def lacks_room(
    status: int,
    statement: EndpointStatement,
    record: EndpointRecord | None,
    now: float,
) -> bool:
    """Return whether an endpoint did not execute a request for want of room.

    ``statement`` is that of the response; ``record`` is of the endpoint that rejected
    the request, None if it is not known. One that rests, leaves or is down rejects
    requests whether or not it has room.
    """
    if status != SERVICE_UNAVAILABLE or statement.rest_s > 0 or statement.leaving:
        return False
    if record is None or record.down or record.replaced:
        return False
    return not record.leaving(now)


__all__ = [
    "RESERVE_BY_TIER",
    "SERVICE_UNAVAILABLE",
    "lacks_room",
    "retry_reserve",
]
