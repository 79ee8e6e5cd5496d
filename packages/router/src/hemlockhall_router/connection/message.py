"""HTTP request and response heads, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.connection.body import BodyBuffer

Headers = list[tuple[bytes, bytes]]

# Not forwarded: those of RFC 9110, section 7.6.1, and others that concern only one
# connection.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers except hop-by-hop ones and those named by ``Connection``."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for key, value in headers:
        if key.lower() != b"connection":
            continue
        for name in value.split(b","):
            dropped.add(name.strip().lower())
    # A ``Connection`` header must not remove the headers that frame or route a request.
    dropped -= {b"host", b"content-length"}
    return [(key, value) for key, value in headers if key.lower() not in dropped]


@dataclass(slots=True)
class RequestHead:
    """The head of a caller's request; ``target`` is as received."""

    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool = True

    @property
    def path(self) -> bytes:
        """The URL path: the target without its query string."""
        return self.target.partition(b"?")[0]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class ResponseHead:
    """The head of a server's response."""

    status: int
    reason: bytes
    headers: Headers
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Response:
    """A response with its complete body.

    ``buffer`` holds the body's part of a memory budget as long as the response exists.
    """

    head: ResponseHead
    body: bytes = field(default=b"", repr=False)
    buffer: BodyBuffer | None = field(default=None, repr=False, compare=False)


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return a request as bytes, with ``Content-Length`` if it may have a body."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    for key, value in headers:
        lines.append(key + b": " + value)
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Return the head of a response as bytes; ``reason`` defaults by status."""
    reason = reason or REASON_PHRASES.get(status, b"")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    for key, value in headers:
        lines.append(key + b": " + value)
    return b"\r\n".join(lines) + b"\r\n\r\n"


__all__ = [
    "HOP_BY_HOP_HEADERS",
    "Headers",
    "RequestHead",
    "Response",
    "ResponseHead",
    "encode_request",
    "encode_response_head",
    "end_to_end_headers",
    "find_header",
]
