"""Messages between entry hosts: MessagePack with a length in front."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import msgspec

from hemlockhall_router.connection.error import WireError

if TYPE_CHECKING:
    from anyio.abc import SocketStream

LENGTH_BYTES = 4
# Larger than any table of the store that is passed on.
MESSAGE_BYTES = 16 * 1024 * 1024


class LinkError(WireError):
    """A link to another host failed."""


class PassedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the store as another host has it."""

    key: str
    value: bytes
    version: int
    deleted: bool


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """Rows that the receiver lacks; ``whole`` if these are all of them."""

    table: str
    version: int
    whole: bool
    rows: list[PassedRow]


class Status(msgspec.Struct, frozen=True, tag="status"):
    """What a host tells the others of itself.

    ``versions`` are of its copies of the store's tables, ``loads`` its
    requests at each endpoint and ``tokens`` the tokens of these, ``fence`` the
    planning lease that it holds or 0, ``peers`` the addresses of the hosts that
    it hears, ``down`` the endpoints that do not answer it, ``steady`` whether
    it has the store and has not lost it lately.
    """

    name: str
    address: str
    boot: str
    versions: dict[str, int]
    loads: dict[str, int]
    tokens: dict[str, int]
    fence: int
    leaving: bool
    peers: list[str]
    down: list[str]
    steady: bool


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """A message has arrived at a host with these versions of the tables."""

    versions: dict[str, int]


Message = Delta | Status | Ack

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
        body = _encoder.encode(message)
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
        try:
            return _decoder.decode(await self._take(length, deadline))
        except msgspec.DecodeError as exc:
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

    async def close(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


__all__ = [
    "Ack",
    "Delta",
    "Link",
    "LinkError",
    "Message",
    "PassedRow",
    "Status",
]
