"""Clients of the platform's table service and object store, over HTTP."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import msgspec

from hemlockhall_core.process.error import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from hemlockhall_core.process.metric import Metrics

STORE_TIMEOUT = 1.0
MIN_PAUSE = 0.5
MAX_PAUSE = 4.0
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Row(msgspec.Struct):
    """One row: its JSON value and its version, which each write raises."""

    key: str
    value: Any
    version: int


class Check(msgspec.Struct):
    """A condition of a transaction; version 0 means that the row is absent."""

    key: str
    version: int


class Put(msgspec.Struct):
    """A row to be written by a transaction."""

    key: str
    value: Any


class Transaction(msgspec.Struct):
    """Writes that take effect together, if all checks hold."""

    checks: list[Check]
    puts: list[Put] = []
    deletes: list[str] = []


class Committed(msgspec.Struct):
    """The table service's answer to a transaction that took effect."""

    version: int


class Conflict(msgspec.Struct):
    """The table service's answer to a failed check."""

    conflicts: list[str]


@dataclass
class Pause:
    """Keeps callers off a store that fails, until a deadline.

    Without it every request would wait for its own time-out during an
    outage, and all would return at once after it. The pause doubles up to
    ``MAX_PAUSE`` and is jittered, so that processes do not return together.
    """

    until: float = 0.0
    length: float = MIN_PAUSE
    lost: int = 0

    def check(self) -> None:
        """Raise :class:`StoreUnavailableError` before the deadline."""
        left = self.until - time.monotonic()
        if left > 0:
            msg = "the store failed a moment ago and is left alone for now"
            raise StoreUnavailableError(msg, left)

    def answer_lost(self) -> None:
        """Begin a pause with the second lost answer in a row.

        After the first one the caller has to read back what was written.
        """
        self.lost += 1
        if self.lost > 1:
            self.failed()

    def failed(self) -> float:
        """Start or lengthen the pause; return its seconds."""
        length = self.length * random.uniform(0.5, 1.0)
        self.until = time.monotonic() + length
        self.length = min(MAX_PAUSE, self.length * 2)
        return length

    def worked(self) -> None:
        """End the pause."""
        self.until = 0.0
        self.length = MIN_PAUSE
        self.lost = 0


class Store:
    """What the clients of both stores share: one HTTP client and a pause."""

    def __init__(self, url: str, metrics: Metrics | None = None) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=STORE_TIMEOUT)
        self._metrics = metrics
        self._pause = Pause()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _ask(self, method: str, path: str, **extra: Any) -> httpx.Response:
        self._pause.check()
        try:
            response = await self._client.request(method, path, **extra)
        except NOT_SENT as exc:
            self._count("unavailable")
            pause = self._pause.failed()
            raise StoreUnavailableError(f"no connection: {exc}", pause) from exc
        except httpx.HTTPError as exc:
            self._count("unknown")
            self._pause.answer_lost()
            raise StoreOutcomeUnknownError(f"no answer: {exc!r}") from exc
        if response.status_code in (429, 503):
            self._count("unavailable")
            pause = self._pause.failed()
            msg = f"the store answered {response.status_code}"
            raise StoreUnavailableError(msg, pause)
        if response.status_code >= 500:
            self._count("unknown")
            self._pause.answer_lost()
            raise StoreOutcomeUnknownError(f"the store answered {response.status_code}")
        self._count("answered")
        self._pause.worked()
        return response

    def _count(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.store_call(outcome)


class Table(Store):
    """The transactional table service."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none."""
        response = await self._ask("GET", f"/rows/{key}")
        if response.status_code == 404:
            return None
        return msgspec.json.decode(response.content, type=Row)

    async def scan(self, prefix: str, limit: int = 100) -> list[Row]:
        """Return the last ``limit`` rows below a prefix, highest key first."""
        params = {"prefix": prefix, "limit": str(limit)}
        response = await self._ask("GET", "/rows", params=params)
        return msgspec.json.decode(response.content, type=list[Row])

    async def commit(self, transaction: Transaction) -> int:
        """Write all or nothing; return the version that the rows now have.

        Raises one of the store's errors when nothing was written, or when
        that is not known.
        """
        body = msgspec.json.encode(transaction)
        response = await self._ask("POST", "/transactions", content=body)
        if response.status_code == 409:
            conflict = msgspec.json.decode(response.content, type=Conflict)
            raise StoreConflictError(conflict.conflicts)
        return msgspec.json.decode(response.content, type=Committed).version


class Objects(Store):
    """The object store; objects are named by their digest, never changed."""

    async def read(self, name: str) -> str | None:
        """Return an object's text, or None if there is none."""
        response = await self._ask("GET", f"/objects/{name}")
        if response.status_code == 404:
            return None
        return response.text

    async def write(self, name: str, text: str) -> None:
        """Store a text; writing the same again changes nothing."""
        await self._ask("PUT", f"/objects/{name}", content=text.encode())


class Host(msgspec.Struct):
    """A host in the platform's list."""

    endpoint: str
    state: str


class HostList(Store):
    """The platform's lagging list of live and leaving hosts."""

    async def read(self) -> list[Host]:
        """Return the list as the platform shows it now."""
        response = await self._ask("GET", "/hosts")
        return msgspec.json.decode(response.content, type=list[Host])


__all__ = [
    "Check",
    "Host",
    "HostList",
    "Objects",
    "Put",
    "Row",
    "Table",
    "Transaction",
]
