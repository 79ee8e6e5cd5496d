"""Reads of the document after an outage of the stores, in virtual time."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import httpx
import pytest

from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.process.setting import EntrySection
from hemlockhall_core.process.table import Objects, Table
from hemlockhall_core.version.document_cache import DocumentCache
from hemlockhall_core.version.repository import HEAD_KEY, Repository
from hemlockhall_core.version.text import digest
from hemlockhall_standins.foreign import VALUES
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop
from hemlockhalld.process.document_poller import DocumentPoller

pytestmark = pytest.mark.anyio

TEXT = "[priorities.normal]\nrank = 1"
# An accepted document is in force everywhere within this time.
IN_FORCE_S = 4.0
POLL_S = EntrySection.model_fields["poll_s"].default


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


def make_poller(
    respond: Callable[[httpx.Request], httpx.Response],
) -> tuple[DocumentPoller, DocumentCache]:
    """Return a poller whose stores are ``respond``, and the cache that it fills."""
    table, objects = Table("http://store"), Objects("http://store")
    for store in (table, objects):
        store._client = httpx.AsyncClient(
            base_url="http://store", transport=httpx.MockTransport(respond)
        )
    cache = DocumentCache(("priorities",), Metrics(), lambda: None)
    return DocumentPoller(Repository(table, objects), cache, POLL_S), cache


class TestOutage:
    @pytest.mark.parametrize("outage_s", [30.0, 30.7, 31.4, 32.1, 32.8, 33.5, 34.2])
    async def test_a_document_is_in_force_in_time_after_an_outage(
        self, outage_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an old document that stays in force: a process that could
        not reach the stores for long waits for its backoff to end, longer than a
        document may take to be in force."""
        # The longest backoff and interval, in place of random ones.
        monkeypatch.setattr(random, "uniform", lambda low, high: high)
        away = True
        revision = {
            "version": 1,
            "digests": {"priorities": digest(TEXT)},
            "submit": "s",
            "who": "w",
            "when": "now",
        }

        def respond(request: httpx.Request) -> httpx.Response:
            if away:
                raise httpx.ConnectError("no route to the store", request=request)
            if request.url.path == f"/rows/{HEAD_KEY}":
                row = {"key": HEAD_KEY, "value": revision, "version": 1}
                return httpx.Response(200, json=row)
            return httpx.Response(200, text=TEXT)

        poller, cache = make_poller(respond)
        async with anyio.create_task_group() as group:
            group.start_soon(poller.run)
            await anyio.sleep(outage_s)
            away = False
            returned_at = time.monotonic()
            while cache.version == 0:
                await anyio.sleep(0.01)
            elapsed_s = time.monotonic() - returned_at
            group.cancel_scope.cancel()
        assert elapsed_s <= IN_FORCE_S


class TestForeignRows:
    async def test_a_sound_document_is_adopted_after_odd_ones(self) -> None:
        """Guards against an entry host that ends, again and again, as another writer
        left something else in the row of the document or in its sections."""
        sound = f'{{"priorities":"{digest(TEXT)}"}}'
        foreign = [f'{{"key":"{HEAD_KEY}","value":{v},"version":1}}' for v in VALUES]
        for value in ("1", "{}", '{"version":7}'):
            foreign.append(f'{{"key":"{HEAD_KEY}","value":{value},"version":1}}')
        fields = '"submit":"s","who":"w","when":"now"'
        row = '{"key":"%s","value":{"version":%s,"digests":%s,%s},"version":1}'
        for odd in ('{"priorities":"\\n"}', '{"priorities":1}', "[]", '{"x":"../y"}'):
            foreign.append(row % (HEAD_KEY, 7, odd, fields))
        foreign.append(row % (HEAD_KEY, "9" * 30, sound, fields))
        sections = ["[", "priorities = 1", "[priorities.a]\nrank = []", "x" * 10_000]
        sections.append("[priorities.a]\nrank = " + "[" * 3000)
        for text in sections:
            digests = f'{{"priorities":"{digest(text)}"}}'
            foreign.append(row % (HEAD_KEY, 7, digests, fields))
        texts = {digest(text): text for text in [*sections, TEXT]}
        current = ""

        def respond(request: httpx.Request) -> httpx.Response:
            if request.url.path == f"/rows/{HEAD_KEY}":
                return httpx.Response(200, text=current)
            return httpx.Response(200, text=texts[request.url.path.split("/")[-1]])

        poller, cache = make_poller(respond)
        async with anyio.create_task_group() as group:
            group.start_soon(poller.run)
            for current in foreign:  # noqa: B007
                await anyio.sleep(2 * POLL_S)
                assert cache.version == 0
            current = row % (HEAD_KEY, 1, sound, fields)
            with anyio.fail_after(60.0):
                while cache.version != 1:
                    await anyio.sleep(0.1)
            group.cancel_scope.cancel()
