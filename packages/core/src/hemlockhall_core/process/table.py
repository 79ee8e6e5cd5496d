"""HTTP clients of the platform's table service, object store and host list."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import httpx
import msgspec
from loguru import logger

from hemlockhall_core.connection.decoding import DecodeError, decoding, split_list
from hemlockhall_core.connection.transport import BoundedTransport
from hemlockhall_core.process.error import (
    RowError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from hemlockhall_core.process.metric import Metrics

T = TypeVar("T")

STORE_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.5
# Calls, also reads of the document in force, fail during a backoff. With a timeout and
# the interval of these reads it is shorter than the time in which an accepted document
# must be in force.
MAX_BACKOFF_S = 1.5
# Errors that are raised before a request is sent, so nothing can have been written.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Row(msgspec.Struct):
    """A row: its JSON value and its version, which increases with each write."""

    key: str
    value: Any
    version: int

    def decode(self, value_type: type[T]) -> T:
        """Return the value; raise ``RowError`` if it is something else."""
        try:
            with decoding(f"row {self.key}"):
                return msgspec.convert(self.value, value_type)
        except DecodeError as exc:
            raise RowError(f"{exc}; write the row anew, or remove it") from exc


class Check(msgspec.Struct):
    """Precondition: the row has this version; 0 means that it does not exist."""

    key: str
    version: int


class Put(msgspec.Struct):
    """A row that a transaction writes."""

    key: str
    value: Any


class Transaction(msgspec.Struct):
    """Writes that are applied atomically if all checks hold."""

    checks: list[Check]
    puts: list[Put] = []
    deletes: list[str] = []


class Committed(msgspec.Struct):
    """Response of the table service to an applied transaction."""

    version: int


class Conflict(msgspec.Struct):
    """Response of the table service to a failed check."""

    conflicts: list[str]


@dataclass
class Backoff:
    """Exponential backoff with jitter for the calls of a failing store.

    Without it, every request would wait for its own timeout during an outage and
    all would call the store at once after it. The delay doubles up to
    ``MAX_BACKOFF_S``; the jitter keeps processes from retrying together.
    """

    deadline: float = 0.0
    next_delay_s: float = MIN_BACKOFF_S
    consecutive_lost: int = 0

    def raise_if_active(self) -> None:
        """Raise :class:`StoreUnavailableError` during a backoff."""
        remaining_s = self.deadline - time.monotonic()
        if remaining_s > 0:
            msg = "the store failed a moment ago and is left alone for now"
            raise StoreUnavailableError(msg, remaining_s)

    def record_lost_response(self) -> None:
        """Start a backoff at the second lost response in a row.

        After the first one, the caller has to read back what was written.
        """
        self.consecutive_lost += 1
        if self.consecutive_lost > 1:
            self.record_failure()

    def record_failure(self) -> float:
        """Start a backoff, longer each time; return its delay in seconds."""
        delay_s = self.next_delay_s * random.uniform(0.5, 1.0)
        self.deadline = time.monotonic() + delay_s
        self.next_delay_s = min(MAX_BACKOFF_S, self.next_delay_s * 2)
        return delay_s

    def record_success(self) -> None:
        """End the backoff."""
        self.deadline = 0.0
        self.next_delay_s = MIN_BACKOFF_S
        self.consecutive_lost = 0


class HttpStore:
    """Base of the clients: an HTTP client with backoff."""

    def __init__(self, url: str, metrics: Metrics | None = None) -> None:
        self._client = httpx.AsyncClient(
            base_url=url, timeout=STORE_TIMEOUT_S, transport=BoundedTransport()
        )
        self._metrics = metrics
        self._backoff = Backoff()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _request(self, method: str, path: str, **extra: Any) -> httpx.Response:
        self._backoff.raise_if_active()
        try:
            response = await self._client.request(method, path, **extra)
        except NOT_SENT_ERRORS as exc:
            self._count("unavailable")
            delay_s = self._backoff.record_failure()
            raise StoreUnavailableError(f"no connection: {exc}", delay_s) from exc
        except httpx.HTTPError as exc:
            self._count("unknown")
            self._backoff.record_lost_response()
            raise StoreOutcomeUnknownError(f"no answer: {exc!r}") from exc
        if response.status_code in (429, 503):
            self._count("unavailable")
            delay_s = self._backoff.record_failure()
            msg = f"the store answered {response.status_code}"
            raise StoreUnavailableError(msg, delay_s)
        if response.status_code >= 500:
            self._count("unknown")
            self._backoff.record_lost_response()
            raise StoreOutcomeUnknownError(f"the store answered {response.status_code}")
        # The caller interprets the other statuses, including 4xx.
        self._count("answered")
        self._backoff.record_success()
        return response

    def _count(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.count_store_call(outcome)


def _decode(content: bytes, expected: type[T]) -> T:
    """Return a decoded response; one that cannot be decoded counts as lost."""
    try:
        with decoding("response of the store"):
            return msgspec.json.decode(content, type=expected)
    except DecodeError as exc:
        raise StoreOutcomeUnknownError(str(exc)) from exc


def _decode_list(content: bytes, entry_type: type[T]) -> list[T]:
    """Return the entries of a list, without those that cannot be decoded."""
    try:
        return _decode(content, list[entry_type])
    except StoreOutcomeUnknownError:
        entries = _split(content)
    found = []
    for entry in entries:
        try:
            found.append(_decode(entry, entry_type))
        except StoreOutcomeUnknownError:
            continue
    logger.warning(
        "{} of {} entries left out: they cannot be decoded as {}",
        len(entries) - len(found),
        len(entries),
        entry_type.__name__,
    )
    return found


def _split(content: bytes) -> list[bytes]:
    """Return the entries of a list; one that cannot be split counts as lost."""
    try:
        return split_list(content)
    except DecodeError as exc:
        raise StoreOutcomeUnknownError(str(exc)) from exc


class Table(HttpStore):
    """Client of the transactional table service."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        response = await self._request("GET", f"/rows/{key}")
        if response.status_code == 404:
            return None
        return _decode(response.content, Row)

    async def scan(self, prefix: str, limit: int = 100) -> list[Row]:
        """Return the last ``limit`` rows with a key prefix, highest key first.

        Those that cannot be decoded are left out.
        """
        params = {"prefix": prefix, "limit": str(limit)}
        response = await self._request("GET", "/rows", params=params)
        return _decode_list(response.content, Row)

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction; return the new version of its rows.

        Raises
        ------
        StoreConflictError
            A check failed; nothing was written.
        StoreUnavailableError
            The store is not available; nothing was written.
        StoreOutcomeUnknownError
            The response was lost; the transaction may have been applied.
        """
        body = msgspec.json.encode(transaction)
        response = await self._request("POST", "/transactions", content=body)
        if response.status_code == 409:
            conflict = _decode(response.content, Conflict)
            raise StoreConflictError(conflict.conflicts)
        return _decode(response.content, Committed).version


class Objects(HttpStore):
    """Client of the object store, whose objects are named by digest and immutable."""

    async def read(self, name: str) -> str | None:
        """Return the text of an object, or None if it does not exist."""
        response = await self._request("GET", f"/objects/{name}")
        if response.status_code == 404:
            return None
        return response.text

    async def write(self, name: str, text: str) -> None:
        """Store a text; idempotent."""
        await self._request("PUT", f"/objects/{name}", content=text.encode())


class Host(msgspec.Struct):
    """An entry of the host list; ``state`` is ``leaving`` for a leaving host."""

    endpoint: str
    state: str


class HostList(HttpStore):
    """Client of the platform's host list, which may be out of date."""

    async def read(self) -> list[Host]:
        """Return the current list, without entries that cannot be decoded."""
        response = await self._request("GET", "/hosts")
        return _decode_list(response.content, Host)


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
