"""Transfer of table rows between hosts over TCP.

A message is zlib-compressed MessagePack with a length prefix of 4 bytes, big-endian.
"""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING

import anyio
import msgspec

from hemlockhall_router.connection.decoding import Count, DecodeError, decoding
from hemlockhall_router.connection.error import TransportError

if TYPE_CHECKING:
    from anyio.abc import SocketStream

LENGTH_BYTES = 4
# Larger than any table that is transferred; bounds a message both compressed and
# decompressed.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Of a request for rows, which is all that an accepted connection receives.
MAX_FETCH_BYTES = 4096
# zlib's fastest level. Configurations compress to a tenth; the network connection of
# a host may have 10 Mbit/s.
COMPRESSION_LEVEL = 1


class LinkError(TransportError):
    """The connection to another host failed or carried an invalid message."""


class TableRow(msgspec.Struct, frozen=True, array_like=True):
    """A store row as sent between hosts: an array of its fields, without names."""

    key: str
    value: bytes
    version: Count
    deleted: bool


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Requests the rows of a table that changed after version ``after``."""

    table: str
    after: Count


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """Rows that the receiver lacks; ``whole`` if these are all rows of the table.

    ``version`` is that of the sender's cached table.
    """

    table: str
    version: Count
    whole: bool
    rows: list[TableRow]


Message = Fetch | Delta

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class Link:
    """A connection between two hosts; deadlines are monotonic times.

    It receives messages of ``max_bytes``, both compressed and decompressed.
    """

    def __init__(self, stream: SocketStream, max_bytes: int = MAX_FETCH_BYTES) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    @classmethod
    async def open(cls, host: str, port: int, deadline: float) -> Link:
        """Connect before ``deadline`` or raise ``LinkError``."""
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                stream = await anyio.connect_tcp(host, port)
                return cls(stream, MAX_MESSAGE_BYTES)
        except OSError as exc:
            raise LinkError(f"{host}:{port}: {exc}") from exc

    async def send(self, message: Message, deadline: float) -> None:
        """Send a message before ``deadline`` or raise ``LinkError``."""
        body = zlib.compress(_encoder.encode(message), COMPRESSION_LEVEL)
        data = len(body).to_bytes(LENGTH_BYTES, "big") + body
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                await self._stream.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise LinkError(f"sending the message failed: {exc!r}") from exc

    async def receive(self, deadline: float) -> Message:
        """Return the next message, or raise ``LinkError``."""
        body = await self._read_exactly(LENGTH_BYTES, deadline)
        length = int.from_bytes(body, "big")
        if length > self._max_bytes:
            raise LinkError(
                f"a message of {length} bytes exceeds the limit of {self._max_bytes}"
            )
        data = await self._read_exactly(length, deadline)
        return decode(data, self._max_bytes)

    async def _read_exactly(self, count: int, deadline: float) -> bytes:
        while len(self._buffer) < count:
            try:
                with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                    self._buffer += await self._stream.receive()
            except (
                OSError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as exc:
                raise LinkError(f"receiving a message failed: {exc!r}") from exc
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken

    async def wait_closed(self, deadline: float) -> None:
        """Return when the other side has closed or sent bytes, or at ``deadline``.

        Received bytes are dropped.
        """
        try:
            with anyio.move_on_after(max(0.0, deadline - time.monotonic())):
                await self._stream.receive()
        except (
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return

    async def close(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


def decode(data: bytes, max_bytes: int = MAX_MESSAGE_BYTES) -> Message:
    """Return the message in compressed bytes; raise ``LinkError`` if there is none.

    That is so too if it exceeds ``max_bytes`` decompressed.
    """
    try:
        with decoding("message"):
            return _decoder.decode(_decompress(data, max_bytes))
    except DecodeError as exc:
        raise LinkError(str(exc)) from exc


def _decompress(data: bytes, max_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, max_bytes)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise LinkError(
            f"a message exceeds {max_bytes} bytes decompressed or is truncated"
        )
    return body


__all__ = [
    "Delta",
    "Fetch",
    "Link",
    "LinkError",
    "Message",
    "TableRow",
    "decode",
]
