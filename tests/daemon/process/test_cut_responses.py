"""Services, engines and stores that stop inside a response and close."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from hemlockhall_core.connection.message import Call, CallRefused
from hemlockhall_core.process.error import PlatformError
from hemlockhall_core.process.table import HostList
from hemlockhall_core.request.reason import Ran
from hemlockhalld.process.calls import ActiveCall, Calls
from hemlockhalld.process.engine import EngineClient, EngineError

pytestmark = pytest.mark.anyio

BODY = b"[]"
LENGTH = b"HTTP/1.1 200 OK\r\nx-a: 1\r\ncontent-length: 2\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n\r\n"
RESPONSES = {
    "length": LENGTH + BODY,
    "chunks": CHUNKED,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH + BODY,
    "no-empty-line": LENGTH[:-2] + BODY + b"\r",
}


@dataclass
class CuttingServer:
    """Sends the first ``sent`` bytes of a response and closes."""

    response: bytes
    sent: int = 0
    url: str = ""
    arrived: int = 0

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            self.arrived += 1
            await stream.send(self.response[: self.sent])

    @property
    def cuts(self) -> list[int]:
        """Numbers of bytes that leave the response incomplete."""
        count = len(self.response)
        return [*range(1, count - 3, 4), *range(count - 3, count)]


@asynccontextmanager
async def cutting_server(response: bytes) -> AsyncIterator[CuttingServer]:
    server = CuttingServer(response)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    server.url = f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.serve)
        yield server
        group.cancel_scope.cancel()


@pytest.mark.parametrize("name", RESPONSES)
class TestCutResponses:
    async def test_one_of_a_service_is_no_response(self, name: str) -> None:
        """Guards against a 200 with an empty or short body for a call whose outcome is
        not known."""
        call = Call("r", 1, 0, "c", "s", "POST", "/b", "", [], b"", "k", False, 9.0)
        async with cutting_server(RESPONSES[name]) as server:
            claims: Any = None
            peer: Any = None
            calls = Calls(server.url, claims)
            for cut in server.cuts:
                server.sent = cut
                active = ActiveCall(call, peer, time.monotonic() + 9.0)
                result = await calls._call_service(active)
                assert isinstance(result, CallRefused)
                assert result.ran == Ran.UNKNOWN
            assert server.arrived == len(server.cuts)

    async def test_one_of_an_engine_is_an_error(self, name: str) -> None:
        async with cutting_server(RESPONSES[name]) as server:
            engine = EngineClient(server.url, 9.0)
            for cut in server.cuts:
                server.sent = cut
                with pytest.raises(EngineError):
                    await engine.run_steps([])

    async def test_one_of_the_platform_counts_as_lost(self, name: str) -> None:
        """Guards against a short list that is taken for the whole one."""
        async with cutting_server(RESPONSES[name]) as server:
            for cut in server.cuts:
                server.sent = cut
                with pytest.raises(PlatformError):
                    await HostList(server.url).read()
