"""Reasons of refusals and retries; each value is the label of a counter."""

from __future__ import annotations

from enum import Enum


class RefusalReason(Enum):
    """Why this host answered a request itself, or gave a stream up.

    ``UNCERTAIN`` and ``TIMEOUT`` mean that the request may have run, ``DEADLINE``
    that its time was over before it ran.
    """

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    UNREADABLE = "unreadable"
    NO_ENDPOINT = "no_endpoint"
    NO_PATH = "no_path"
    ENDPOINTS_FULL = "endpoints_full"
    RETRY_BUDGET = "retry_budget"
    DEADLINE = "deadline"
    UNCERTAIN = "uncertain"
    TIMEOUT = "timeout"
    LEAVING = "leaving"


class RetryReason(Enum):
    """Why an attempt failed, or a stream moved or did not move.

    ``NOT_SENT`` and ``REJECTED`` mean that the request was not executed.
    ``STAYED`` counts moves that failed: the stream stayed on its path.
    """

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    BROKEN = "broken"
    FAILED = "failed"
    SILENT = "silent"
    MOVED = "moved"
    STAYED = "stayed"


__all__ = [
    "RefusalReason",
    "RetryReason",
]
