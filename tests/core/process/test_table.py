"""Rows and host lists of the platform that another writer has part in."""

from __future__ import annotations

import json
from typing import Any

import httpx
import pytest

from hemlockhall_core.process.error import PlatformError
from hemlockhall_core.process.table import HostList, HttpStore, Row, Table
from hemlockhall_core.version.repository import Revision
from hemlockhall_standins.foreign import DEPTH, NUMBERS, TEXTS

pytestmark = pytest.mark.anyio

HOST = '{"endpoint":"a","state":"leaving"}'
NESTED = "[" * DEPTH + "]" * DEPTH
DEEPER = '{"a":' * 100_000 + "1" + "}" * 100_000
# Entries of a list that are no hosts.
ODD_HOSTS = [
    "1",
    "null",
    '"a"',
    "[]",
    "{}",
    '{"endpoint":"b"}',
    '{"endpoint":"b","state":7}',
    '{"endpoint":"b","state":"\\ud800"}',
    '{"endpoint":"]},{[","state":null}',
    f'{{"endpoint":"b","state":"leaving","port":{NESTED}}}',
    f'{{"endpoint":"b","state":{"9" * 5000}}}',
    DEEPER,
]


def store(kind: type[HttpStore], text: str) -> Any:
    """Return a client of a store that responds with a text."""
    client = kind("http://store")
    client._client = httpx.AsyncClient(
        base_url="http://store",
        transport=httpx.MockTransport(lambda _: httpx.Response(200, text=text)),
    )
    return client


class TestLists:
    @pytest.mark.parametrize("odd", ODD_HOSTS)
    async def test_hosts_beside_an_odd_one_are_read(self, odd: str) -> None:
        """Guards against a host list that is not followed for one odd entry in it."""
        text = f"[{HOST}, {odd},{HOST} , {odd}]"
        hosts = await store(HostList, text).read()
        assert [host.endpoint for host in hosts] == ["a", "a"]

    @pytest.mark.parametrize("text", ["", "{}", "[", f"[{HOST}", f"[{HOST}]]", "null"])
    async def test_what_is_no_list_counts_as_lost(self, text: str) -> None:
        with pytest.raises(PlatformError):
            await store(HostList, text).read()

    async def test_an_empty_list_is_read(self) -> None:
        assert await store(HostList, " [ ] ").read() == []

    @pytest.mark.parametrize(
        "odd", ["{}", f'{{"key":"h","value":{NESTED},"version":1}}']
    )
    async def test_rows_beside_an_odd_one_are_scanned(self, odd: str) -> None:
        row = '{"key":"h","value":1,"version":1}'
        rows = await store(Table, f"[{odd},{row}]").scan("h")
        assert [item.value for item in rows] == [1]


class TestValues:
    @pytest.mark.parametrize(
        "value", [*NUMBERS[:9], *map(json.dumps, TEXTS), "{}", "[]"]
    )
    async def test_one_that_is_no_revision_raises_an_error_of_the_platform(
        self, value: str
    ) -> None:
        """Guards against a row of another writer that ends the process that reads
        it."""
        table = store(Table, f'{{"key":"h","value":{value},"version":1}}')
        with pytest.raises(PlatformError):
            (await table.read("h")).decode(Revision)

    def test_a_digest_that_is_none_is_rejected(self) -> None:
        """Guards against a path in the object store that no request can have."""
        value = {"version": 1, "submit": "", "who": "", "when": ""}
        for digest in ("a\nb", "x" * 100_000, "../rows/a", ""):
            row = Row("h", {**value, "digests": {"models": digest}}, 1)
            with pytest.raises(PlatformError):
                row.decode(Revision)
