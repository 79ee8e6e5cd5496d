"""Calls of the platform's store, against a scripted server."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from hemlockhall_platform.store import MAX_RESPONSE_BYTES, PlatformStore
from hemlockhall_router.connection.caller import CallerLimits, CallerReader
from hemlockhall_router.process.store import (
    HistoryCompactedError,
    StoreNoAnswerError,
    StoreRefusedError,
    StoreTimeoutError,
    Table,
    VersionConflictError,
)
from hemlockhall_standins.router.endless import (
    BODIES,
    FRAMINGS,
    HEADS,
    SOCKET_BYTES,
    EndlessResponse,
)

pytestmark = pytest.mark.anyio


def row(key: str, value: bytes = b"v", ver: int = 1, **more: object) -> dict:
    text = base64.b64encode(value).decode()
    return {"table": "t", "part": "", "key": key, "value": text, "ver": ver, **more}


def deadline() -> float:
    return time.monotonic() + 10


@dataclass
class ScriptedServer:
    """Answers each call with the next of ``responses``; None closes the connection.

    A ``silent`` server leaves calls without a response.
    """

    responses: list[tuple[int | str, dict] | None]
    calls: list[tuple[str, dict, dict]] = field(default_factory=list)
    silent: bool = False

    async def serve(self, stream: SocketStream) -> None:
        reader = CallerReader(stream, CallerLimits())
        async with stream:
            while (head := await reader.read_head()) is not None:
                body = await reader.read_body(deadline())
                target = urlsplit(head.target.decode())
                query = {key: value[0] for key, value in parse_qs(target.query).items()}
                self.calls.append((target.path, query, json.loads(body or b"{}")))
                if self.silent:
                    await anyio.sleep_forever()
                response = self.responses.pop(0)
                if response is None:
                    return
                status, value = response
                text = json.dumps(value).encode()
                length = f"Content-Length: {len(text)}"
                head_text = f"HTTP/1.1 {status} X\r\n{length}\r\n\r\n"
                await stream.send(head_text.encode() + text)
                reader.finish_request()


@asynccontextmanager
async def scripted_store(
    *responses: tuple[int | str, dict] | None,
) -> AsyncIterator[tuple[PlatformStore, ScriptedServer]]:
    server = ScriptedServer(list(responses))
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.serve)
        store = PlatformStore(f"127.0.0.1:{port}")
        yield store, server
        await store.close()
        group.cancel_scope.cancel()


class TestReading:
    async def test_all_pages_are_read(self) -> None:
        """Guards against a change that is lost for good: a row of the first page
        changes before the second one is read, and only changes after the version of
        the result are asked for."""
        first = {"rows": [row("a"), row("b")], "hasMore": True, "ver": 5, "nowMs": 9}
        second = {"rows": [row("c")], "hasMore": False, "ver": 6, "nowMs": 2500}
        async with scripted_store((200, first), (200, second)) as (store, server):
            result = await store.read(Table.ENDPOINTS, deadline())
            assert [entry.key for entry in result.rows] == ["a", "b", "c"]
            assert (result.version, result.store_time_s) == (5, 2.5)
            assert server.calls[0][1] == {"table": "servers"}
            assert server.calls[1][1]["from"] == "b\0"

    async def test_changes_include_deleted_rows(self) -> None:
        rows = [row("a", b"\x00\xff", 7), row("b", ver=8, deleted=True)]
        async with scripted_store((200, {"rows": rows, "ver": 8})) as (store, server):
            result = await store.changes(Table.ROUTING, 5, 1.5, deadline())
            assert server.calls[0][0] == "/api/rows-feed"
            assert server.calls[0][1] == {"table": "op", "after": "5", "waitMs": "1500"}
            assert result.rows[0].value == b"\x00\xff"
            assert result.rows[1].deleted

    async def test_compacted_history_raises(self) -> None:
        async with scripted_store((410, {})) as (store, _):
            with pytest.raises(HistoryCompactedError):
                await store.changes(Table.ROUTING, 5, 1.0, deadline())

    @pytest.mark.parametrize("status", [429, 503])
    async def test_an_error_status_raises_refused(self, status: int) -> None:
        async with scripted_store((status, {})) as (store, _):
            with pytest.raises(StoreRefusedError):
                await store.read(Table.ROUTING, deadline())

    async def test_no_response_before_the_deadline_is_a_timeout(self) -> None:
        async with scripted_store(None) as (store, server):
            server.silent = True
            with pytest.raises(StoreTimeoutError):
                await store.read(Table.ROUTING, time.monotonic() + 0.05)


class TestWriting:
    async def test_a_write_is_conditional_on_the_version(self) -> None:
        async with scripted_store((200, {"ver": 12, "nowMs": 5})) as (store, server):
            written = await store.write(Table.LEASE, "k", b"me", 7, deadline())
            assert written.version == 12
            path, _, body = server.calls[0]
            assert path == "/api/rows-tx"
            assert body["precondition"][0]["ver"] == 7
            assert base64.b64decode(body["put"][0]["value"]) == b"me"

    async def test_a_version_conflict_returns_the_current_row(self) -> None:
        conflict = {"rows": [row("k", b"you", 9)], "ver": 11, "nowMs": 5}
        async with scripted_store((412, conflict)) as (store, _):
            with pytest.raises(VersionConflictError) as caught:
                await store.write(Table.LEASE, "k", b"me", 7, deadline())
            assert caught.value.row is not None
            assert (caught.value.row.value, caught.value.row.version) == (b"you", 9)

    async def test_a_lost_response_leaves_the_outcome_unknown(self) -> None:
        """The connection ends after the call was sent, so the write may have been
        done or may be done later. The next call uses a new connection."""
        async with scripted_store(None, (200, {"ver": 3})) as (store, _):
            with pytest.raises(StoreNoAnswerError):
                await store.write(Table.LEASE, "k", b"me", 0, deadline())
            assert (await store.write(Table.LEASE, "k", b"me", 0, deadline())).version

    async def test_an_unreachable_store_raises_refused(self) -> None:
        store = PlatformStore("127.0.0.1:1")
        with pytest.raises(StoreRefusedError):
            await store.write(Table.LEASE, "k", b"me", 0, deadline())


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
class TestStatusOfNone:
    async def test_a_read_fails_at_once(self, status: str) -> None:
        """Guards against a read that waits until its deadline for another response."""
        async with scripted_store((status, {})) as (store, _):
            with anyio.fail_after(5), pytest.raises(StoreNoAnswerError):
                await store.read(Table.ROUTING, deadline())

    async def test_a_write_leaves_the_outcome_unknown(self, status: str) -> None:
        """Guards against a write that counts as refused and may have been done."""
        async with scripted_store((status, {}), (200, {"ver": 3})) as (store, _):
            with anyio.fail_after(5), pytest.raises(StoreNoAnswerError):
                await store.write(Table.LEASE, "k", b"me", 0, deadline())
            assert (await store.write(Table.LEASE, "k", b"me", 0, deadline())).version


class TestEndlessResponses:
    @pytest.mark.parametrize(
        "case", ["header fields", "trailers", "body until the end of the connection"]
    )
    async def test_one_is_given_up_at_the_limit(self, case: str) -> None:
        """Guards against a store whose response fills the memory. A write may have
        been applied."""
        server = EndlessResponse(*{**HEADS, **FRAMINGS, **BODIES}[case])
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, server.serve)
            store = PlatformStore(f"127.0.0.1:{port}")
            with pytest.raises(StoreNoAnswerError) as raised:
                await store.write(Table.LEASE, "planner", b"v", 0, deadline())
            assert not isinstance(raised.value, StoreTimeoutError)
            with anyio.fail_after(10):
                while server.open:
                    await anyio.sleep(0.005)
            group.cancel_scope.cancel()
        assert server.sent[0] <= MAX_RESPONSE_BYTES + SOCKET_BYTES

    async def test_the_largest_page_is_read(self) -> None:
        rows = [row(f"k{n}", b"v" * 12_000, n + 1) for n in range(500)]
        response = {"rows": rows, "ver": 500, "nowMs": 1, "hasMore": False}
        async with scripted_store((200, response)) as (store, _):
            result = await store.read(Table.ENDPOINTS, deadline())
            assert len(result.rows) == 500
