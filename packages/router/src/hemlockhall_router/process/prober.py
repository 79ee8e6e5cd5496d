"""Asking of endpoints whether they still answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.error import WireError
from hemlockhall_router.connection.message import request_text
from hemlockhall_router.process.dialect import Call, DecodeError

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.process.dialect import Dialect
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.version.endpoint import Endpoint, Report

# Seconds in which an endpoint answers for its state unless it is dead or cut
# off: the delay inside a region is a few milliseconds.
ANSWER_S = 0.3
# Seconds between two questions to one endpoint; each is priced.
AGAIN_S = 0.5
# Seconds between two questions to an endpoint that does not answer.
DOWN_AGAIN_S = 1.0
POLL_S = 0.1


async def call_endpoint(endpoint: Endpoint, call: Call, deadline: float) -> Response:
    """Call an endpoint's own interface on a new connection."""
    host, port = endpoint.address
    conn = await ClientConnection.open(host, port, deadline)
    try:
        headers = [(b"Host", f"{host}:{port}".encode()), *call.headers]
        text = request_text(call.method, call.target, headers, call.body)
        await conn.send(text, deadline)
        return await conn.whole(deadline)
    finally:
        await conn.close()


class Prober:
    """Asks endpoints in doubt for their state, all at once."""

    def __init__(self, dialect: Dialect, directory: Directory) -> None:
        self._dialect = dialect
        self._directory = directory
        self._doubted: set[str] = set()
        self._wake = anyio.Event()

    def doubt(self, ids: list[str]) -> None:
        """Ask these endpoints soon, unless they were asked just now."""
        now = time.monotonic()
        for key in ids:
            held = self._directory.held.get(key)
            if held is None or now - held.checked_at < AGAIN_S:
                continue
            held.checked_at = now
            self._doubted.add(key)
        if self._doubted:
            self._wake.set()

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                with anyio.move_on_after(POLL_S):
                    await self._wake.wait()
                self._wake = anyio.Event()
                for key in self._due():
                    group.start_soon(self._ask, key)

    def _due(self) -> list[str]:
        due = list(self._doubted)
        self._doubted.clear()
        now = time.monotonic()
        for key, held in self._directory.held.items():
            if held.down and now - held.checked_at >= DOWN_AGAIN_S:
                held.checked_at = now
                due.append(key)
        return due

    async def _ask(self, key: str) -> None:
        held = self._directory.held.get(key)
        if held is None:
            return
        try:
            report = await self.report(held.endpoint)
        except WireError:
            self._directory.set_down(key, down=True)
            return
        except DecodeError:
            return
        self._directory.set_down(key, down=False)
        self._directory.reported(key, report)

    async def report(self, endpoint: Endpoint) -> Report:
        """Return an endpoint's state; raise ``WireError`` or ``DecodeError``."""
        deadline = time.monotonic() + ANSWER_S
        response = await call_endpoint(endpoint, self._dialect.report_call(), deadline)
        if response.head.status != 200:
            raise DecodeError(f"status {response.head.status}")
        return self._dialect.report(response.body)


__all__ = [
    "Prober",
    "call_endpoint",
]
