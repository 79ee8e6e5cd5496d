"""Poller of the host list while another writer leaves odd entries in it."""

from __future__ import annotations

from typing import Any

import anyio
import httpx
import pytest

from hemlockhall_core.process.table import HostList
from hemlockhall_standins.foreign import VALUES
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop
from hemlockhalld.process.host_list import HostListPoller

pytestmark = pytest.mark.anyio


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


class TestOddEntries:
    async def test_endpoints_that_leave_are_known_beside_one(self) -> None:
        """Guards against endpoints that leave and still get requests, as one odd entry
        keeps the whole list from being read."""
        texts: list[str] = []
        for value in VALUES:
            texts.append(f'[{value}, {{"endpoint":{value},"state":{value}}}]')
        current = ""

        def respond(request: httpx.Request) -> httpx.Response:
            return httpx.Response(200, text=current)

        hosts = HostList("http://store")
        hosts._client = httpx.AsyncClient(
            base_url="http://store", transport=httpx.MockTransport(respond)
        )
        poller = HostListPoller(hosts)
        async with anyio.create_task_group() as group:
            group.start_soon(poller.run)
            for number, text in enumerate(texts):
                leaving = f'{{"endpoint":"e{number}","state":"leaving"}}'
                current = f"{text[:-1]}, {leaving}]"
                await anyio.sleep(3.0)
                assert f"e{number}" in poller.leaving
            group.cancel_scope.cancel()
