"""Interface of the store: versioned tables with change history."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum


class Table(Enum):
    """Tables of the store; the dialect maps each to its name there."""

    ROUTING = "routing"
    ENDPOINTS = "endpoints"
    HOSTS = "hosts"
    LEASE = "lease"
    VERDICTS = "verdicts"


class StoreError(Exception):
    """Base class of failed calls to the store."""


class StoreRefusedError(StoreError):
    """The call had no effect: the store refused it or was not reached."""


class StoreNoAnswerError(StoreError):
    """No response came: a write may have been applied, or may be applied later."""


class StoreTimeoutError(StoreNoAnswerError):
    """No response came before the deadline of the call."""


class HistoryCompactedError(StoreError):
    """The store no longer keeps the changes since the given version."""


class VersionConflictError(StoreError):
    """A conditional write found another version of the row.

    ``row`` is the stored row, or None if there is none.
    """

    def __init__(self, row: Row | None, store_time_s: float) -> None:
        super().__init__("the row has another version")
        self.row = row
        self.store_time_s = store_time_s


@dataclass(slots=True, frozen=True)
class Row:
    """A row of a table; ``deleted`` rows appear only in changes."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class ReadResult:
    """Rows as of one version; ``store_time_s`` is the store's monotonic clock.

    Rows of a large table may be newer than ``version``; none is older.
    """

    rows: tuple[Row, ...]
    version: int
    store_time_s: float


@dataclass(slots=True, frozen=True)
class WriteResult:
    """An accepted write; ``version`` is the new version of the row."""

    version: int
    store_time_s: float


class Store(ABC):
    """Client of the store; each call raises a ``StoreError`` if it fails.

    Deadlines are monotonic times.
    """

    @abstractmethod
    async def read(self, table: Table, deadline: float) -> ReadResult:
        """Return all rows of a table, each as of the version or newer."""

    @abstractmethod
    async def changes(
        self, table: Table, after: int, wait_s: float, deadline: float
    ) -> ReadResult:
        """Return the rows changed after a version.

        The store waits up to ``wait_s`` for one; ``deadline`` is that of the call.
        """

    @abstractmethod
    async def write(
        self, table: Table, key: str, value: bytes, expected: int, deadline: float
    ) -> WriteResult:
        """Write a row if its version is ``expected`` (0: it does not exist)."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to the store."""


__all__ = [
    "HistoryCompactedError",
    "ReadResult",
    "Row",
    "Store",
    "StoreError",
    "StoreNoAnswerError",
    "StoreRefusedError",
    "StoreTimeoutError",
    "Table",
    "VersionConflictError",
    "WriteResult",
]
