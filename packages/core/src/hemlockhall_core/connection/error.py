"""Errors of the links between processes."""

from __future__ import annotations


class LinkError(Exception):
    """Base of the errors of a link."""


class BatchDecodeError(LinkError):
    """Received bytes are not a valid batch."""


class QueueFullError(LinkError):
    """The send queue of a peer is full."""


__all__ = [
    "BatchDecodeError",
    "LinkError",
    "QueueFullError",
]
