"""Router processes before clients that do not behave, on many connections at once."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from hemlockhall_platform_standins.call import Call, Outcome, read_outcome
from hemlockhall_platform_standins.crowd import CLIENTS, SLOW_READER, Crowd
from hemlockhall_platform_standins.document import (
    PREFIXES,
    RETRY_CONSTANT,
    encode_document,
)
from hemlockhall_platform_standins.endpoint import PlainEndpoint
from hemlockhall_platform_standins.process import RouterProcess
from hemlockhall_platform_standins.review import free_port, loopback_host
from hemlockhall_platform_standins.store import SoakStore

pytestmark = pytest.mark.anyio

CONNECTIONS = 150
SECONDS = 6.0
READY_LIMIT_S = 30.0
ANSWER_LIMIT_S = 60.0
# A machine has 300 MB, and a router before many endpoints uses 75 MB in calm.
GROWTH_BYTES = 100_000_000
# Descriptors besides those of the crowd: of endpoints, hosts and lingering closes.
MORE_FILES = 150
FILES_AFTERWARDS = 30
# That a process may have, fewer than a crowd has connections.
MAX_FILES = 140
# Larger than what sockets hold.
LARGE_ANSWER = b"y" * 6_000_000
# All that one request may have.
LARGEST_BODY_BYTES = 4 * 1024 * 1024


class Machine:
    """A router process, with its memory and its descriptors."""

    def __init__(self, process: RouterProcess) -> None:
        self.process = process
        self.files_before = self.files()
        self._bytes_before = self._status("VmRSS")

    def growth(self) -> int:
        """Return how many bytes the process has used at most beyond those in calm."""
        return self._status("VmHWM") - self._bytes_before

    def files(self) -> int:
        """Return the number of its open descriptors."""
        return len(list(Path(f"/proc/{self._pid}/fd").iterdir()))

    def allow_files(self, count: int) -> None:
        """Let the process have so many descriptors."""
        resource.prlimit(self._pid, resource.RLIMIT_NOFILE, (count, count))

    @property
    def _pid(self) -> int:
        assert self.process.process is not None
        return self.process.process.pid

    def _status(self, name: str) -> int:
        for line in Path(f"/proc/{self._pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * 1024
        raise AssertionError(f"no {name}")

    async def ask(self, route: str, body: bytes = b"") -> Outcome:
        """Ask once."""
        call = Call(
            "00c0ffee",
            "POST" if route == "book" else "GET",
            f"{PREFIXES[route]}{route}-1-1",
            "1",
            20_000,
            body=body,
        )
        reader, writer = await asyncio.open_connection(*self.process.front)
        try:
            writer.write(b"".join(call.encode()))
            return await read_outcome(reader)
        finally:
            writer.transport.abort()

    async def answers(self, route: str, body: bytes = b"") -> bool:
        """Return whether a request is served, asked again and again if it is not."""
        with anyio.move_on_after(ANSWER_LIMIT_S):
            while True:
                try:
                    if (await self.ask(route, body)).status == 200:
                        return True
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await anyio.sleep(0.2)
        return False

    async def bear(self, address: tuple[str, int], kinds: list[str]) -> Crowd:
        """Let a crowd use an address for a while; return it."""
        crowd = Crowd(address, kinds, CONNECTIONS)
        with anyio.move_on_after(SECONDS):
            await crowd.run()
        return crowd

    async def is_calm(self) -> bool:
        """Return whether the descriptors of the crowd are closed."""
        with anyio.move_on_after(ANSWER_LIMIT_S):
            while self.files() > self.files_before + FILES_AFTERWARDS:
                await anyio.sleep(0.2)
            return True
        return False


def small_answer(target: str) -> bytes:
    """Return what an endpoint answers."""
    return b"y" * 800


def large_answer(target: str) -> bytes:
    """Return what an endpoint with large answers does."""
    return LARGE_ANSWER


@asynccontextmanager
async def machine(
    answer: Callable[[str], bytes] = small_answer,
) -> AsyncIterator[Machine]:
    """Run a router with one endpoint."""
    address = loopback_host()
    store = SoakStore(encode_document)
    await store.start(address)
    await store.configure()
    process = RouterProcess("host-0", "z-0", store.address, [], RETRY_CONSTANT)
    endpoint = PlainEndpoint(
        "desk-1", "desk", store, 50, lambda _: 0.01, lambda *_: 0, answer=answer
    )
    try:
        await endpoint.start(address)
        process.advertised = f"{address}:{free_port(address)}"
        process.start()
        with anyio.fail_after(READY_LIMIT_S):
            while not await process.is_ready():
                await anyio.sleep(0.1)
        found = Machine(process)
        assert await found.answers("read")
        yield found
    finally:
        process.end()
        endpoint.crash()
        store.stop()


async def check(found: Machine, crowd: Crowd, files: int) -> None:
    """Check that the process lived within its memory, and that it serves requests."""
    assert found.process.running
    assert crowd.opened >= CONNECTIONS
    assert found.growth() <= GROWTH_BYTES
    assert files <= found.files_before + CONNECTIONS + MORE_FILES
    assert await found.answers("read")
    assert await found.is_calm()
    assert await found.answers("book", b"x" * LARGEST_BODY_BYTES)


class TestCallers:
    @pytest.mark.parametrize("kind", CLIENTS)
    async def test_a_crowd_is_borne(self, kind: str) -> None:
        """Guards against a process that is ended for its memory, or hangs, and all
        requests with it."""
        async with machine() as found:
            crowd = await found.bear(found.process.front, [kind])
            await check(found, crowd, found.files())

    async def test_all_kinds_at_once_are_borne(self) -> None:
        """Guards against bounds of their own that are together too large."""
        async with machine() as found:
            crowd = await found.bear(found.process.front, list(CLIENTS))
            await check(found, crowd, found.files())


class TestDescriptors:
    @pytest.mark.parametrize("port", ["front", "ready"])
    async def test_a_crowd_leaves_some_for_the_others(self, port: str) -> None:
        """Guards against connections that take all descriptors: the host then reaches
        neither endpoints nor the store, and accepts no caller."""
        async with machine() as found:
            found.allow_files(MAX_FILES)
            host, _, number = found.process.listen[port].rpartition(":")
            crowd = Crowd((host, int(number)), ["nothing"], CONNECTIONS)
            async with anyio.create_task_group() as group:
                group.start_soon(crowd.run)
                await anyio.sleep(SECONDS)
                files = found.files()
                answered = await found.answers("read")
                group.cancel_scope.cancel()
            assert found.process.running
            assert answered
            assert files < MAX_FILES
            assert "Too many open files" not in found.process.log()
            assert await found.is_calm()


class TestSlowReaders:
    async def test_others_are_answered_meanwhile(self) -> None:
        """Guards against answers that are held for callers who do not read them, until
        there is no memory for those of the others."""
        async with machine(large_answer) as found:
            crowd = Crowd(found.process.front, [SLOW_READER], CONNECTIONS)
            async with anyio.create_task_group() as group:
                group.start_soon(crowd.run)
                await anyio.sleep(SECONDS)
                answered = await found.answers("read")
                files = found.files()
                group.cancel_scope.cancel()
            assert answered
            await check(found, crowd, files)


class TestOtherPorts:
    @pytest.mark.parametrize("port", ["ready", "control"])
    async def test_a_crowd_is_borne(self, port: str) -> None:
        """Guards against the same at the ports for readiness and for other hosts."""
        async with machine() as found:
            host, _, number = found.process.listen[port].rpartition(":")
            crowd = await found.bear((host, int(number)), list(CLIENTS))
            await check(found, crowd, found.files())
