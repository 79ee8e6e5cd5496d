"""Asking of endpoints whether they still answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.error import TransportError
from hemlockhall_router.connection.message import encode_request
from hemlockhall_router.process.dialect import DecodeError, EndpointCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.process.dialect import Dialect
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.request.active_stream import ActiveStream
    from hemlockhall_router.version.endpoint import Endpoint, EndpointReport

# Seconds in which an endpoint answers for its state unless it is dead or cut off:
# a stream there has to go on elsewhere within its route's longest pause.
ANSWER_S = 0.035
# Seconds allowed where nobody waits: after an order, or for one already down.
PATIENT_S = 0.4
# Seconds between two questions to one endpoint, for each four hosts: all of them
# ask, each question is priced, and an endpoint answers some hundred a second.
AGAIN_S = 0.5
HOSTS = 4
# Factor on the silence that puts a path in doubt after questions that found
# nothing: under load streams pause although all endpoints live. It falls back
# by itself, and at once when an endpoint is found dead or slow.
CALM = 1.6
CALM_MAX = 2.5
CALM_FALL = 0.9975
# Seconds between two questions to an endpoint that is down or slow.
SUSPECT_AGAIN_S = 1.0
# Seconds after the end of a wait from which this host itself was slow: what it
# missed then says nothing about the endpoints.
OWN_DELAY_S = 0.03
# Seconds between two looks at the streams under way.
POLL_S = 0.01
# Questions of one round from which it counts how many failed. If most do, it
# is this host that is slow or cut off, and taking all endpoints out would turn
# its own trouble into an outage.
ROUND_MIN = 4


async def call_endpoint(
    endpoint: Endpoint, call: EndpointCall, deadline: float
) -> Response:
    """Call an endpoint's own interface on a new connection."""
    host, port = endpoint.address
    conn = await ClientConnection.open(host, port, deadline)
    try:
        headers = [(b"Host", f"{host}:{port}".encode()), *call.headers]
        text = encode_request(call.method, call.target, headers, call.body)
        await conn.send(text, deadline)
        return await conn.read_response(deadline)
    finally:
        await conn.close()


class Prober:
    """Asks endpoints in doubt for their state, all at once."""

    def __init__(
        self, dialect: Dialect, directory: Directory, hosts: Callable[[], int]
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._hosts = hosts
        self._doubted: set[str] = set()
        self._calm = 1.0
        self._looked_at = time.monotonic()
        self._awake_at = 0.0

    def request_probes(self, ids: list[str]) -> None:
        """Ask these endpoints soon, unless they were asked just now."""
        now = time.monotonic()
        again_s = AGAIN_S * max(1.0, self._hosts() / HOSTS)
        for key in ids:
            record = self._directory.records.get(key)
            if record is None or record.replaced:
                continue
            if now - record.checked_at < again_s:
                continue
            record.checked_at = now
            self._doubted.add(key)

    async def run(self) -> None:
        """Look for silent streams, and ask, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(POLL_S)
                self._note_delay()
                self._find_silent()
                due = self._due()
                if due:
                    group.start_soon(self._round, due)

    def _note_delay(self) -> None:
        """Note whether this host was kept from reading what came.

        While it takes a large configuration it reads nothing; all streams look
        silent then, and all questions unanswered.
        """
        now = time.monotonic()
        if now - self._looked_at > POLL_S + OWN_DELAY_S:
            self._awake_at = now
        self._looked_at = now

    def _find_silent(self) -> None:
        now = time.monotonic()
        self._calm = max(1.0, self._calm * CALM_FALL)
        for running in self._directory.active_streams:
            if not running.silence_exceeded(now, self._calm, self._awake_at):
                continue
            unheard = self._unheard(running, now)
            if unheard:
                running.probe_requested = True
                self.request_probes(unheard)

    def _unheard(self, running: ActiveStream, now: float) -> list[str]:
        """Return the endpoints of a silent stream through which no other is heard.

        A stream also pauses where all of its endpoints live: one reads long
        prompts, or has no memory left. The events of other streams show which
        ones live; asking those would only add to their load.
        """
        found = []
        for key in running.endpoint_ids:
            record = self._directory.records.get(key)
            if record is None:
                continue
            if (
                now - max(record.last_event_at, self._awake_at)
                > running.silence_limit_s
            ):
                found.append(key)
        return found

    def _due(self) -> list[str]:
        due = list(self._doubted)
        self._doubted.clear()
        now = time.monotonic()
        again_s = SUSPECT_AGAIN_S * max(1.0, self._hosts() / HOSTS)
        for key, record in self._directory.records.items():
            if record.suspect and now - record.checked_at >= again_s:
                record.checked_at = now
                due.append(key)
        return due

    async def _round(self, ids: list[str]) -> None:
        failed: list[str] = []
        async with anyio.create_task_group() as group:
            for key in ids:
                group.start_soon(self._ask, key, failed)
        if len(ids) >= ROUND_MIN and len(failed) > len(ids) / 2:
            logger.warning("most questions failed", asked=len(ids), failed=len(failed))
            return
        for key in failed:
            self._directory.set_down(key, down=True)
        slow = any(self._directory.suspect(key) for key in ids)
        self._calm = 1.0 if failed or slow else min(CALM_MAX, self._calm * CALM)

    async def _ask(self, key: str, failed: list[str]) -> None:
        record = self._directory.records.get(key)
        if record is None:
            return
        patience_s = PATIENT_S if record.down else ANSWER_S
        began = time.monotonic()
        deadline = began + patience_s
        try:
            report = await self.report(record.endpoint, patience_s)
        except TransportError:
            late = time.monotonic() - deadline >= OWN_DELAY_S
            if not late and self._awake_at < began:
                failed.append(key)
            return
        except DecodeError as exc:
            # It answers; a plain service has no such call.
            logger.debug("no report", endpoint=key, cause=str(exc))
            return
        self._directory.set_down(key, down=False)
        self._directory.reported(key, report)

    async def report(
        self, endpoint: Endpoint, patience_s: float = PATIENT_S
    ) -> EndpointReport:
        """Return an endpoint's state; raise ``TransportError`` or ``DecodeError``."""
        deadline = time.monotonic() + patience_s
        response = await call_endpoint(endpoint, self._dialect.report_call(), deadline)
        if response.head.status != 200:
            raise DecodeError(f"status {response.head.status}")
        return self._dialect.decode_report(response.body)


__all__ = [
    "Prober",
    "call_endpoint",
]
