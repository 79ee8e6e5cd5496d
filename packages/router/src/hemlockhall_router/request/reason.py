"""Reasons of failures that callers see and of failed attempts, as counter labels."""

from __future__ import annotations

from enum import Enum


class RefusalReason(Enum):
    """Why this host answered a request itself, or gave a stream up.

    ``UNREADABLE`` means that the request could not be read from the caller,
    ``NO_MEMORY`` that the bodies of all callers exceed their memory, ``LEAVING`` that
    this host shuts down before the request could be complete.

    ``UNCERTAIN`` and ``TIMEOUT`` mean that the request may have run, or that a stream
    ended after its first event. ``DEADLINE`` means that the time of the request was
    over before it ran, ``NO_PERMIT`` that all endpoints that could receive it have a
    request limit and this host had no permit, ``RESTING`` that endpoints asked for rest
    and no other could receive it, ``NO_ROOM`` that endpoints have no room for it by its
    deadline or room is left to others, ``QUARANTINED`` that a segment of its prompt
    crashes endpoints, ``FATAL`` that endpoints crashed under requests with the same
    content, ``CRASHED`` that endpoints crashed under it and it is not sent to
    others, ``ENDPOINTS_FULL`` that no endpoint executed it
    although some were tried. A resumable stream that may have run without
    an event for the caller counts as ``ENDPOINTS_FULL``, or as ``RETRY_BUDGET`` if that
    was exhausted.
    """

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    UNREADABLE = "unreadable"
    NO_MEMORY = "no_memory"
    NO_ENDPOINT = "no_endpoint"
    NO_PATH = "no_path"
    NO_PERMIT = "no_permit"
    RESTING = "resting"
    NO_ROOM = "no_room"
    QUARANTINED = "quarantined"
    FATAL = "fatal_request"
    CRASHED = "crashed"
    ENDPOINTS_FULL = "endpoints_full"
    RETRY_BUDGET = "retry_budget"
    DEADLINE = "deadline"
    UNCERTAIN = "uncertain"
    TIMEOUT = "timeout"
    LEAVING = "leaving"


class RetryReason(Enum):
    """Why an attempt failed, or a stream moved or did not move.

    ``NOT_SENT`` and ``REJECTED`` mean that the request was not executed. ``BROKEN``
    is a lost connection or a stream that ended early, ``SILENT`` a missing response
    or event, ``FAILED`` a response that is an error or cannot be relayed. ``STAYED``
    counts moves that failed: the stream stayed on its path. ``NO_PERMIT`` means that
    the request was not sent, as another one took the last permit for the endpoint, and
    ``RESTING`` and ``LEAVING`` that it was not sent, as the endpoint asked for rest or
    was found to leave meanwhile. ``QUARANTINED`` means that it was not sent, as it or
    part of its prompt was found to crash endpoints meanwhile, ``UNHEARD`` that another
    endpoint is silent under the content, and the one that was chosen gave no sign of
    life since.
    """

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    BROKEN = "broken"
    FAILED = "failed"
    SILENT = "silent"
    MOVED = "moved"
    STAYED = "stayed"
    NO_PERMIT = "no_permit"
    RESTING = "resting"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    UNHEARD = "unheard"


# Reasons of attempts in which this host decided not to send the request.
WITHHELD_REASONS = frozenset(
    (
        RetryReason.NO_PERMIT,
        RetryReason.RESTING,
        RetryReason.LEAVING,
        RetryReason.QUARANTINED,
        RetryReason.UNHEARD,
    )
)
# Reasons of attempts during which an endpoint may have crashed.
CRASH_REASONS = frozenset((RetryReason.BROKEN, RetryReason.SILENT, RetryReason.MOVED))
# Reasons of attempts in which no request was sent.
UNSENT_REASONS = WITHHELD_REASONS | {RetryReason.NOT_SENT}
# Reasons of attempts that this host ended while the endpoint might have gone on.
ENDED_HERE_REASONS = WITHHELD_REASONS | {
    RetryReason.SILENT,
    RetryReason.MOVED,
    RetryReason.STAYED,
}


__all__ = [
    "CRASH_REASONS",
    "ENDED_HERE_REASONS",
    "UNSENT_REASONS",
    "RefusalReason",
    "RetryReason",
    "WITHHELD_REASONS",
]
