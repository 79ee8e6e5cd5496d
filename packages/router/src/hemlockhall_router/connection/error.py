"""Errors of connections."""

from __future__ import annotations


class TransportError(Exception):
    """Base of what can go wrong on a connection to an endpoint or the store."""


class NotSentError(TransportError):
    """No byte of the request left this host, so it cannot have run."""


class ConnectionLostError(TransportError):
    """The connection broke or fell silent after bytes of the request left."""


class ReadTimeoutError(ConnectionLostError):
    """Nothing came in time; the connection still stands and may be read on."""


class ProtocolError(TransportError):
    """The other side sent bytes that are not an HTTP response."""


class CallerError(Exception):
    """A caller sent what cannot be served; the answer is ``status``."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


__all__ = [
    "ConnectionLostError",
    "CallerError",
    "CallerDisconnectedError",
    "ProtocolError",
    "NotSentError",
    "ReadTimeoutError",
    "TransportError",
]
