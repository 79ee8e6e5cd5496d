"""Servers whose responses never end."""

from __future__ import annotations

from dataclasses import dataclass, field
from socket import SO_SNDBUF, SOL_SOCKET
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from hemlockhall_standins.router.endpoint import ReceivedRequest

# Bytes that are written at once.
WRITE_BYTES = 32_768
# Buffer of the sending socket, so that hardly a byte counts that nobody reads.
SEND_BUFFER_BYTES = 65_536
# Most bytes in the buffers of the two sockets of a connection, and of what is read and
# written at once: they are sent before the limit of the reader shows.
SOCKET_BYTES = 2 * 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\nsignature: e1\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
EVENTS = OK + b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return bytes as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


# What is sent once, and then again and again.
HEADS = {
    "header fields": (OK, b"name: value\r\n"),
    "empty header fields": (OK, b"a:\r\n"),
    "header value": (OK + b"name: ", b"v"),
    "header name": (OK, b"n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"r"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim responses with fields": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nlink: </style>\r\n\r\n",
    ),
    "fields of an interim response": (b"HTTP/1.1 103 X\r\n", b"name: value\r\n"),
    "empty lines": (b"", b"\r\n"),
}
FRAMINGS = {
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "extensions of small chunks": (CHUNKED, b"1;%b\r\na\r\n" % (b"x" * 1000)),
    "zeros of a chunk size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + chunk(b"body") + b"0\r\n", b"name: value\r\n"),
    "empty trailers": (CHUNKED + chunk(b"body") + b"0\r\n", b"a:\r\n"),
    "value of a trailer": (CHUNKED + b"0\r\nname: ", b"v"),
}
BODIES = {
    "body until the end of the connection": (OK + b"\r\n", b"x"),
    "body of a length": (OK + b"content-length: 99999999999\r\n\r\n", b"x"),
    "body in large chunks": (CHUNKED, chunk(b"x" * 8192)),
    "body in small chunks": (CHUNKED, chunk(b"xy")),
}
STREAMS = {
    "event": (EVENTS + chunk(b"id: 1\ndata: word1\n\n"), chunk(b"data: more\n" * 50)),
    "event in small chunks": (EVENTS, chunk(b"xy")),
    "events with one number": (EVENTS, chunk(b"id: 1\ndata: word1\n\n")),
    "events with falling numbers": (
        EVENTS + chunk(b"id: 9\ndata: word9\n\n"),
        chunk(b"id: 2\ndata: word2\n\nid: 1\ndata: word1\n\n"),
    ),
    "comments": (EVENTS, chunk(b": still here\n\n" * 10)),
}


@dataclass
class EndlessResponse:
    """Sends ``start`` and then ``repeated`` until the connection is closed.

    ``sent`` has the bytes of each connection that were sent until then, and ``open``
    counts the connections that are not closed. Nothing is sent before ``may_begin``.
    """

    start: bytes
    repeated: bytes
    sent: list[int] = field(default_factory=list)
    open: int = 0
    may_begin: anyio.Event | None = None

    async def __call__(self, request: ReceivedRequest) -> None:
        """Respond to a request, as the handler of an endpoint."""
        request.ended = True
        await self.send(request.stream)

    async def serve(self, stream: SocketStream) -> None:
        """Respond to whatever arrives on a connection."""
        async with stream:
            await stream.receive()
            await self.send(stream)

    async def send(self, stream: SocketStream) -> None:
        """Send the response until the connection is closed."""
        sock = stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)
        piece = self.repeated * max(1, WRITE_BYTES // len(self.repeated))
        index = len(self.sent)
        self.sent.append(0)
        self.open += 1
        data = self.start
        try:
            if self.may_begin is not None:
                await self.may_begin.wait()
            while True:
                await stream.send(data)
                self.sent[index] += len(data)
                data = piece
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return
        finally:
            self.open -= 1


__all__ = [
    "BODIES",
    "CHUNKED",
    "EndlessResponse",
    "FRAMINGS",
    "HEADS",
    "OK",
    "SOCKET_BYTES",
    "STREAMS",
]
