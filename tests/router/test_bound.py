"""Which connections are closed while too many are open at a port."""

from __future__ import annotations

import resource

import anyio
import pytest

from hemlockhall_router.connection.bound import DESCRIPTOR_FRACTION, ConnectionBound

pytestmark = pytest.mark.anyio


class Port:
    """A port with a bound, and what became of its connections."""

    def __init__(self, max_connections: int) -> None:
        self.counted: list[str] = []
        self.ended: list[int] = []
        self.bound = ConnectionBound("test", max_connections, self.counted.append)

    async def wait(self, number: int) -> None:
        """Open a connection that waits for a request."""
        with self.bound.admit() as admitted:
            assert admitted
            with self.bound.waiting():
                await anyio.sleep_forever()
            self.ended.append(number)


class TestWaiting:
    async def test_the_longest_waiting_one_is_closed_for_a_new_one(self) -> None:
        """Guards against connections without requests that shut out callers."""
        port = Port(2)
        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(port.wait, number)
                await anyio.wait_all_tasks_blocked()
            assert port.ended == [0]
            assert port.bound.open == 2
            assert port.counted == ["closed_idle"]
            group.cancel_scope.cancel()

    async def test_all_are_closed_in_a_shutdown(self) -> None:
        port = Port(2)
        async with anyio.create_task_group() as group:
            for number in range(2):
                group.start_soon(port.wait, number)
            await anyio.wait_all_tasks_blocked()
            port.bound.close_waiting()
        assert sorted(port.ended) == [0, 1]
        assert port.bound.open == 0


class TestFull:
    async def test_a_new_one_is_closed_while_all_have_requests(self) -> None:
        """Guards against a connection with a request that is closed for one without."""
        port = Port(1)
        with port.bound.admit() as first, port.bound.admit() as second:
            assert (first, second) == (True, False)
            assert port.bound.open == 1
        assert port.counted == ["closed_full"]
        with port.bound.admit() as admitted:
            assert admitted

    def test_a_part_of_the_descriptors_is_left_to_others(self) -> None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limit = Port(10**9).bound.limit
        assert limit == min(10**9, int(descriptors * DESCRIPTOR_FRACTION))
        assert Port(3).bound.limit == 3
