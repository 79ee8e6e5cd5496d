"""Rows between hosts: packed MessagePack with a length in front, over TCP."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING

import anyio
import msgspec

from hemlockhall_router.connection.error import TransportError

if TYPE_CHECKING:
    from anyio.abc import SocketStream

LENGTH_BYTES = 4
# Larger than any table of the store that is passed on; a message must stay below
# it before and after it is unpacked.
MESSAGE_BYTES = 16 * 1024 * 1024
# Configurations shrink to a tenth; hosts may have links of 10 Mbit/s.
COMPRESSION = 1


class LinkError(TransportError):
    """A link to another host failed."""


class TableRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the store as another host has it."""

    key: str
    value: bytes
    version: int
    deleted: bool


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Asks for the rows of a table that changed after a version."""

    table: str
    after: int


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """Rows that the receiver lacks; ``whole`` if these are all of them."""

    table: str
    version: int
    whole: bool
    rows: list[TableRow]


Message = Fetch | Delta

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class Link:
    """One connection between two hosts."""

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
        """Send a message."""
        body = zlib.compress(_encoder.encode(message), COMPRESSION)
        data = len(body).to_bytes(LENGTH_BYTES, "big") + body
        try:
            with anyio.fail_after(max(0.0, deadline - time.monotonic())):
                await self._stream.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise LinkError(f"not sent: {exc!r}") from exc

    async def receive(self, deadline: float) -> Message:
        """Return the next message."""
        body = await self._take(LENGTH_BYTES, deadline)
        length = int.from_bytes(body, "big")
        if length > MESSAGE_BYTES:
            raise LinkError("a message is too large")
        data = await self._take(length, deadline)
        try:
            return _decoder.decode(_unpacked(data))
        except (msgspec.DecodeError, UnicodeDecodeError, zlib.error) as exc:
            raise LinkError(f"a message cannot be read: {exc}") from exc

    async def _take(self, count: int, deadline: float) -> bytes:
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
                raise LinkError(f"not received: {exc!r}") from exc
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken

    async def wait_closed(self, deadline: float) -> None:
        """Return when the other side has closed the connection."""
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


def _unpacked(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(data, MESSAGE_BYTES)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise LinkError("a message is too large or not whole")
    return body


__all__ = [
    "Delta",
    "Fetch",
    "Link",
    "LinkError",
    "Message",
    "TableRow",
]
