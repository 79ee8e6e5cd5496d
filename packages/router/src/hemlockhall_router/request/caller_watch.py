"""Work on a request that ends when its caller leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.connection.error import CallerDisconnectedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hemlockhall_router.connection.caller import CallerReader


class CallerWatch:
    """Watches the caller of one request, and ends the work on it if the caller leaves.

    Parameters
    ----------
    reader : CallerReader
        The caller's connection.

    ``left`` is true once the work ended since the caller left.
    """

    def __init__(self, reader: CallerReader) -> None:
        self._reader = reader
        self._scope = anyio.CancelScope()
        self.left = False

    async def check(self) -> None:
        """End the work if the caller's close has arrived, read or not.

        Otherwise it returns without a turn of the event loop.
        """
        if self._reader.disconnected:
            self._end()
            await anyio.sleep_forever()

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run ``work`` until it is done or the caller leaves."""
        if self._reader.disconnected:
            self.left = True
            return
        async with anyio.create_task_group() as group:
            self._scope = group.cancel_scope
            group.start_soon(self._wait_disconnect)
            try:
                await work()
            except CallerDisconnectedError:
                self.left = True
            group.cancel_scope.cancel()

    async def _wait_disconnect(self) -> None:
        await self._reader.wait_disconnect()
        self._end()

    def _end(self) -> None:
        self.left = True
        self._scope.cancel()


__all__ = [
    "CallerWatch",
]
