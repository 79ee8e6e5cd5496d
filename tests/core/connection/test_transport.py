"""Responses without an end at clients of services, engines and stores."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
import pytest
from anyio.abc import SocketAttribute, SocketStream

from hemlockhall_core.connection.message import Call, CallRefused
from hemlockhall_core.connection.transport import MAX_BODY_BYTES, BoundedTransport
from hemlockhall_core.process.error import PlatformError
from hemlockhall_core.process.table import HostList
from hemlockhall_core.request.reason import Ran
from hemlockhalld.process.calls import ActiveCall, Calls
from hemlockhalld.process.engine import EngineClient, EngineError

pytestmark = pytest.mark.anyio

LIMIT_S = 20.0
# Of the sockets of a connection, and what is read and written at once.
SLACK_BYTES = 16 * 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
PIECE = b"[" * 65_536
RESPONSES = {
    "until the end of the connection": (HEAD + b"\r\n", PIECE),
    "chunks": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (len(PIECE), PIECE),
    ),
    "a length": (HEAD + b"content-length: 99999999999\r\n\r\n", PIECE),
    "a header": (HEAD + b"name: ", PIECE),
}


class EndlessServer:
    """Sends ``start``, and ``repeated`` until the connection is closed."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.start, self.repeated = start, repeated
        self.sent = 0
        self.url = ""

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            data = self.start
            try:
                while True:
                    await stream.send(data)
                    self.sent += len(data)
                    data = self.repeated
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                return


@asynccontextmanager
async def endless_server(name: str) -> AsyncIterator[EndlessServer]:
    server = EndlessServer(*RESPONSES[name])
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    server.url = f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.serve)
        with anyio.fail_after(LIMIT_S):
            yield server
        group.cancel_scope.cancel()


@pytest.mark.parametrize("name", RESPONSES)
class TestEndlessResponses:
    async def test_one_of_a_service_ends_the_call(self, name: str) -> None:
        """Guards against a side process that keeps all bytes of a faulty service."""
        call = Call("r", 1, 0, "c", "s", "POST", "/b", "", [], b"", "k", False, 9.0)
        async with endless_server(name) as server:
            claims: Any = None
            peer: Any = None
            calls = Calls(server.url, claims)
            active = ActiveCall(call, peer, time.monotonic() + LIMIT_S)
            result = await calls._call_service(active)
        assert isinstance(result, CallRefused)
        assert result.ran == Ran.UNKNOWN.value
        assert server.sent <= MAX_BODY_BYTES + SLACK_BYTES

    async def test_one_of_an_engine_is_an_error(self, name: str) -> None:
        async with endless_server(name) as server:
            engine = EngineClient(server.url, LIMIT_S)
            with pytest.raises(EngineError):
                await engine.reset()
            await engine.aclose()
        assert server.sent <= MAX_BODY_BYTES + SLACK_BYTES

    async def test_one_of_a_store_is_an_error(self, name: str) -> None:
        async with endless_server(name) as server:
            hosts = HostList(server.url)
            with pytest.raises(PlatformError):
                await hosts.read()
            await hosts.aclose()
        assert server.sent <= MAX_BODY_BYTES + SLACK_BYTES


class TestBoundedTransport:
    async def test_the_largest_gives_way(self) -> None:
        """Guards against many responses that are small enough each."""
        async with endless_server("chunks") as server:
            transport = BoundedTransport(max_total_bytes=1_000_000)
            async with httpx.AsyncClient(transport=transport) as client:
                failed = 0

                async def get() -> None:
                    nonlocal failed
                    with pytest.raises(httpx.ReadError):
                        await client.get(server.url)
                    failed += 1

                async with anyio.create_task_group() as group:
                    for _ in range(8):
                        group.start_soon(get)
        assert failed == 8
        assert server.sent <= 8 * 4_000_000
