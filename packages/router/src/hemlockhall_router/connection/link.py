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
    """A connection between two hosts; deadlines are monotonic times."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    @classmethod
    async def open(cls, host: str, port: int, deadline: float) -> Link:
        """Connect before ``deadline`` or raise ``LinkError``."""
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                return cls(await anyio.connect_tcp(host, port))
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
        if length > MAX_MESSAGE_BYTES:
            raise LinkError(
                f"a message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
            )
        data = await self._read_exactly(length, deadline)
        return decode(data)

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


def decode(data: bytes) -> Message:
    """Return the message in compressed bytes; raise ``LinkError`` if there is none."""
    try:
        with decoding("message"):
            return _decoder.decode(_decompress(data))
    except DecodeError as exc:
        raise LinkError(str(exc)) from exc


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise LinkError(
            f"a message exceeds {MAX_MESSAGE_BYTES} bytes decompressed or is truncated"
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
