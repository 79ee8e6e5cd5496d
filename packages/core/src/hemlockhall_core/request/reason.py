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
    # No rule of the document permits the method and path.
    CALL_UNDECLARED = "call_undeclared"
    CONCURRENCY_LIMITED = "concurrency_limited"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    # A call under the same idempotency key has begun and its outcome is not known.
    IN_PROGRESS = "in_progress"
    # A non-idempotent call needs an idempotency key.
    KEY_MISSING = "key_missing"
    # The idempotency key was used for another call.
    KEY_REUSED = "key_reused"
    MALFORMED_BODY = "malformed_body"
    NO_DOCUMENT = "no_document"
    NO_ENDPOINT = "no_endpoint"
    NOT_FOUND = "not_found"
    # The service did not respond, the checksum of the tokens is wrong, or the side
    # process failed to handle the call.
    OUTCOME_UNKNOWN = "outcome_unknown"
    RATE_LIMITED = "rate_limited"
    # All attempts failed.
    REPAIR_EXHAUSTED = "repair_exhausted"
    STORE_UNAVAILABLE = "store_unavailable"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"


class RetryReason(str, Enum):
    """Why an attempt ended that may be followed by another one."""

    ENDPOINT_LEAVING = "endpoint_leaving"
    ENGINE_FAILED = "engine_failed"
    # Activations or tokens are missing before the received ones, or the
    # activations are for another layer.
    HOP_GAP = "hop_gap"
    # The side process cannot connect to the service.
    NOT_STARTED = "not_started"
    # A peer is considered dead or its send queue is full. A stage also reports the
    # restart of another process on the route by this reason.
    PEER_LOST = "peer_lost"
    PEER_RESTARTED = "peer_restarted"
    # A stage does not have the attempt.
    REQUEST_LOST = "request_lost"
    # The request was sent with an older document version than the side process has.
    STALE_VERSION = "stale_version"


__all__ = [
    "Ran",
    "RefusalReason",
    "RetryReason",
]
