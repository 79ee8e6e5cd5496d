"""Verdicts on prompt segments in the store, for hosts that all restart."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import msgspec
from loguru import logger

from hemlockhall_router.connection.decoding import DecodeError, decoding
from hemlockhall_router.membership.message import SegmentVerdict
from hemlockhall_router.process.store import (
    Store,
    StoreError,
    Table,
    VersionConflictError,
)

if TYPE_CHECKING:
    from hemlockhall_router.process.quarantine import Quarantine
    from hemlockhall_router.process.store import Row

ROW_KEY = "verdicts"
CALL_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 1.0
# Verdicts in the row; the latest are kept.
MAX_VERDICTS = 256


class VerdictRow(msgspec.Struct):
    """The row with the verdicts."""

    verdicts: list[SegmentVerdict] = []


class VerdictArchive:
    """Reads the verdicts once, at the start of the process, and writes new ones.

    Hosts tell each other their verdicts; the row is for when no host is left that has
    them. Without the store the quarantine works on.

    Parameters
    ----------
    store : Store
        Keeps the row.
    quarantine : Quarantine
        Gets the verdicts that are read, and has those to write.
    """

    def __init__(self, store: Store, quarantine: Quarantine) -> None:
        self._store = store
        self._quarantine = quarantine
        self._version = 0
        self._stored: list[SegmentVerdict] = []
        self._pending = anyio.Event()

    def request_write(self) -> None:
        """Let the verdicts be written soon."""
        self._pending.set()

    async def run(self) -> None:
        """Read the row, then write it after each new verdict, until cancelled."""
        await self._retry(self._read)
        while True:
            await self._pending.wait()
            self._pending = anyio.Event()
            await self._retry(self._write)

    async def _retry(self, call) -> None:  # noqa: ANN001
        while True:
            try:
                await call(time.monotonic() + CALL_TIMEOUT_S)
            except StoreError as exc:
                logger.info("access to the verdicts failed", cause=str(exc))
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            return

    async def _read(self, deadline: float) -> None:
        page = await self._store.read(Table.VERDICTS, deadline)
        for row in page.rows:
            if row.key == ROW_KEY:
                self._apply(row)

    async def _write(self, deadline: float) -> None:
        while True:
            verdicts = self._merged()
            if verdicts == self._stored:
                return
            value = msgspec.json.encode(VerdictRow(verdicts))
            try:
                written = await self._store.write(
                    Table.VERDICTS, ROW_KEY, value, self._version, deadline
                )
            except VersionConflictError as exc:
                if exc.row is None:
                    self._version, self._stored = 0, []
                    continue
                if exc.row.version == self._version:
                    raise
                self._apply(exc.row)
                continue
            self._version, self._stored = written.version, verdicts
            return

    def _apply(self, row: Row) -> None:
        self._version = row.version
        try:
            with decoding("row of verdicts"):
                self._stored = msgspec.json.decode(row.value, type=VerdictRow).verdicts
        except DecodeError as exc:
            logger.warning("malformed row of verdicts", key=row.key, cause=str(exc))
            self._stored = []
        self._quarantine.apply([], self._stored)

    def _merged(self) -> list[SegmentVerdict]:
        """Return the latest verdict on each segment, those known here and stored."""
        latest: dict[int, SegmentVerdict] = {}
        for verdict in (*self._stored, *self._quarantine.known()):
            other = latest.get(verdict.segment)
            if other is None or verdict.rank > other.rank:
                latest[verdict.segment] = verdict
        kept = []
        for verdict in latest.values():
            if not self._quarantine.is_over(verdict):
                kept.append(verdict)
        kept.sort(key=lambda verdict: verdict.decided_at_ms)
        return kept[-MAX_VERDICTS:]


__all__ = [
    "VerdictArchive",
]
