"""Proxy of a host's address for other hosts, which delays, cuts or silences."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import anyio

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class LinkFaults:
    """What a proxy does with bytes to its host, and with those that come back.

    ``hears`` has the IP addresses of the hosts whose datagrams are forwarded, None for
    all; without all of them no connection is.
    """

    delay_s: float = 0.0
    drop_in: bool = False
    drop_out: bool = False
    hears: frozenset[str] | None = None

    def drops_datagram(self, sender: str) -> bool:
        """Return whether a datagram to the host is dropped."""
        return self.drop_in or (self.hears is not None and sender not in self.hears)

    def drops_bytes(self, *, to_host: bool) -> bool:
        """Return whether the bytes of a connection are dropped."""
        if self.hears is not None:
            return True
        return self.drop_in if to_host else self.drop_out


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, proxy: HostProxy) -> None:
        self._proxy = proxy

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._proxy.forward_datagram(data, addr[0])


class HostProxy:
    """Forwards datagrams and connections to a host, one for each host.

    Parameters
    ----------
    target : str
        The address, ``IP:port``, at which the host listens.
    """

    def __init__(self, target: str) -> None:
        self.faults = LinkFaults()
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listen at ``IP:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=(host, int(port))
        )
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Close all sockets."""
        self._datagrams.close()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def forward_datagram(self, data: bytes, sender: str) -> None:
        """Forward a datagram from the IP address of a host."""
        if self.faults.drops_datagram(sender):
            return
        asyncio.get_running_loop().call_later(self.faults.delay_s, self._send, data)

    def _send(self, data: bytes) -> None:
        if not self._datagrams.is_closing():
            self._datagrams.sendto(data, self._target)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            host_reader, host_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._copy, reader, host_writer, True)
                group.start_soon(self._copy, host_reader, writer, False)
        finally:
            writer.close()
            host_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_host: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.faults.drops_bytes(to_host=to_host):
                    continue
                await asyncio.sleep(self.faults.delay_s)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


__all__ = [
    "HostProxy",
    "LinkFaults",
]
