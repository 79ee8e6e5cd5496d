"""Reasons for refusing or retrying a request.

Each value is a label of a counter; a refusal's is also the ``reason`` of a problem
document and the last part of its ``type``. They are part of the public interface.
"""

from __future__ import annotations

from enum import Enum


class Ran(str, Enum):
    """Whether a refused request was executed by a back end."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class RefusalReason(str, Enum):
    """Why a request was refused instead of answered by a back end."""

    BAD_DEADLINE = "bad_deadline"
    BODY_TOO_LARGE = "body_too_large"
    CALL_UNDECLARED = "call_undeclared"
    CONCURRENCY_LIMITED = "concurrency_limited"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    IN_PROGRESS = "in_progress"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    MALFORMED_BODY = "malformed_body"
    NO_DOCUMENT = "no_document"
    NO_ENDPOINT = "no_endpoint"
    NOT_FOUND = "not_found"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RATE_LIMITED = "rate_limited"
    REPAIR_EXHAUSTED = "repair_exhausted"
    STORE_UNAVAILABLE = "store_unavailable"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"


class RetryReason(str, Enum):
    """Why an attempt of a request ended and another one is made."""

    ENDPOINT_LEAVING = "endpoint_leaving"
    ENGINE_FAILED = "engine_failed"
    HOP_GAP = "hop_gap"
    NOT_STARTED = "not_started"
    PEER_LOST = "peer_lost"
    PEER_RESTARTED = "peer_restarted"
    REQUEST_LOST = "request_lost"
    STALE_VERSION = "stale_version"


__all__ = [
    "Ran",
    "RefusalReason",
    "RetryReason",
]
