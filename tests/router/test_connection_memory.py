"""What connections of callers that always have more to send hold in memory."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketStream

from hemlockhall_router.connection.body import (
    STALLED_SEND_S,
    BodyBudget,
    BodyBuffer,
    receive,
)
from hemlockhall_router.connection.caller import (
    MAX_PIPELINED_BYTES,
    PARSE_BYTES,
    READ_BYTES,
    CallerLimits,
    CallerReader,
)
from hemlockhall_router.connection.error import CallerStalledError, MemoryLimitError
from hemlockhall_standins.virtual_time import VirtualClock

pytestmark = pytest.mark.anyio

LOOKUP = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
# Turns of the event loop in which a transport that reads receives something.
TURNS = 50


@asynccontextmanager
async def connection(data: bytes) -> AsyncIterator[SocketStream]:
    """Yield the end of a connection whose other end sends the data without end."""
    ours, theirs = socket.socketpair()
    theirs.setblocking(False)
    stream = await SocketStream.from_socket(ours)
    peer = await SocketStream.from_socket(theirs)

    async def send() -> None:
        while True:
            await peer.send(data)

    async with anyio.create_task_group() as group, stream, peer:
        group.start_soon(send)
        yield stream
        group.cancel_scope.cancel()


async def let_run() -> None:
    for _ in range(TURNS):
        await anyio.sleep(0)


class TestTransport:
    async def test_it_does_not_read_between_two_calls(self) -> None:
        """Guards against a queue that grows while a request is served, as its caller
        had sent more before the first call."""
        async with connection(b"x" * READ_BYTES) as stream:
            await let_run()
            await receive(stream, READ_BYTES)
            before = len(stream._protocol.read_queue)
            await let_run()
            assert len(stream._protocol.read_queue) == before


def whole_body(budget: BodyBudget) -> BodyBuffer:
    """Return the buffer of a complete body that takes half of a budget."""
    buffer = budget.open(READ_BYTES)
    buffer.append(b"x" * READ_BYTES)
    buffer.complete()
    return buffer


class TestSending:
    async def test_a_body_that_its_caller_does_not_read_gives_way(
        self, clock: VirtualClock
    ) -> None:
        """Guards against answers that callers leave in their sockets, until there is no
        memory for those of the others."""
        budget = BodyBudget(READ_BYTES * 2)
        with pytest.raises(CallerStalledError):
            with whole_body(budget).sending(), whole_body(budget).sending() as other:
                clock.advance(STALLED_SEND_S)
                other.record_progress()
                late = budget.open(READ_BYTES)
                late.append(b"x" * READ_BYTES)
                await anyio.sleep_forever()
        assert len(late.complete()) == READ_BYTES

    async def test_one_that_its_caller_reads_is_kept(self, clock: VirtualClock) -> None:
        budget = BodyBudget(READ_BYTES * 2)
        with whole_body(budget).sending() as sending, whole_body(budget).sending():
            late = budget.open(READ_BYTES)
            with pytest.raises(MemoryLimitError):
                late.append(b"x" * READ_BYTES)
            await anyio.sleep(0)
            assert not sending.scope.cancel_called


class TestCaller:
    async def test_few_of_the_requests_that_have_arrived_are_parsed(self) -> None:
        """Guards against thousands of parsed requests of callers that do not wait for
        responses: each takes many times its bytes."""
        async with connection(LOOKUP * 1000) as stream:
            reader = CallerReader(stream, CallerLimits())
            for _ in range(3):
                assert await reader.read_head() is not None
                with anyio.move_on_after(0.05):
                    await reader.wait_disconnect()
                assert len(reader._collector.requests) <= PARSE_BYTES // len(LOOKUP) + 1
                reader.finish_request()

    async def test_what_waits_counts_for_all_connections(self) -> None:
        """Guards against bytes of many connections that no bound includes."""
        async with connection(LOOKUP * 1000) as stream:
            reader = CallerReader(stream, CallerLimits())
            reader.body_budget = budget = BodyBudget()
            await reader.read_head()
            with anyio.move_on_after(0.05):
                await reader.wait_disconnect()
            assert 0 < budget.read_ahead <= MAX_PIPELINED_BYTES + 2 * READ_BYTES
            reader.close()
            assert budget.read_ahead == 0

    async def test_nothing_is_read_ahead_once_the_memory_is_spent(self) -> None:
        """Guards against a crowd that takes the memory of other callers' bodies."""
        async with connection(LOOKUP * 1000) as stream:
            reader = CallerReader(stream, CallerLimits())
            reader.body_budget = budget = BodyBudget(READ_BYTES)
            await reader.read_head()
            before = budget.read_ahead
            with anyio.move_on_after(0.05):
                await reader.wait_disconnect()
            assert budget.read_ahead <= max(before, READ_BYTES)
