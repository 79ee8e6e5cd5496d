"""Errors of the connections between the system's processes."""

from __future__ import annotations


class LinkError(Exception):
    """A message could not be taken for sending."""


class FrameError(LinkError):
    """Bytes from a peer are not a valid batch."""


class QueueFullError(LinkError):
    """Too many messages wait for one peer."""


__all__ = [
    "FrameError",
    "LinkError",
    "QueueFullError",
]
