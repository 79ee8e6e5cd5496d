"""Exceptions of connections to callers, endpoints, the store and other hosts."""

from __future__ import annotations


class TransportError(Exception):
    """Base class of errors on a connection to an endpoint, the store or a host."""


class NotSentError(TransportError):
    """No byte of the request was sent, so it was not executed."""


class ConnectRefusedError(NotSentError):
    """Nothing listens at the address: the process that did has ended."""


class ConnectionLostError(TransportError):
    """The connection failed after bytes of the request may have been sent.

    The request may have run.
    """


class ReadTimeoutError(ConnectionLostError):
    """Nothing was received in time; the connection is open and can be read again."""


class ProtocolError(TransportError):
    """The other side did not send a valid HTTP response."""


class SizeLimitError(ProtocolError):
    """The other side sent more than is read; ``part`` says of what."""

    part = "body"

    def __init__(self, text: str, part: str | None = None) -> None:
        super().__init__(text)
        if part is not None:
            self.part = part


class MemoryLimitError(SizeLimitError):
    """The bodies of all requests, or of all responses, exceed their memory."""

    part = "memory"


class CallerError(Exception):
    """A caller's request is invalid, too large or too slow.

    The response has the status code ``status`` and the body ``text``, and tells the
    caller to come back after ``retry_after_s`` unless that is None.
    """

    def __init__(
        self, status: int, text: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.retry_after_s = retry_after_s


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class CallerStalledError(CallerDisconnectedError):
    """The caller takes none of a large response, whose memory others need."""


__all__ = [
    "CallerDisconnectedError",
    "CallerError",
    "CallerStalledError",
    "ConnectionLostError",
    "ConnectRefusedError",
    "MemoryLimitError",
    "NotSentError",
    "ProtocolError",
    "ReadTimeoutError",
    "SizeLimitError",
    "TransportError",
]
