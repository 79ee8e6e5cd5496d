"""Why requests are refused, fail, or are sent again."""

from __future__ import annotations

from enum import Enum


class RefusalReason(Enum):
    """Answers of this host's own; the value is the counter's label."""

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
    """Why a request went to another endpoint."""

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
