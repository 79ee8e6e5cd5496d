"""The store that keeps what must last, as the router sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum


class Table(Enum):
    """What is kept; the adapter gives each its name in the store."""

    ROUTING = "routing"
    ENDPOINTS = "endpoints"
    HOSTS = "hosts"
    LEASE = "lease"


class StoreError(Exception):
    """The store did not do what was asked."""


class StoreRefusedError(StoreError):
    """The store answered that it did nothing."""


class StoreNoAnswerError(StoreError):
    """No answer came: a write may have been done, or may be done later."""


class HistoryCompactedError(StoreError):
    """The changes since the given version are no longer kept."""


class VersionConflictError(StoreError):
    """A row had another version than the write expected."""

    def __init__(self, row: Row | None, store_time_s: float) -> None:
        super().__init__("the row has another version")
        self.row = row
        self.store_time_s = store_time_s


@dataclass(slots=True, frozen=True)
class Row:
    """A row; ``deleted`` rows stand only in changes."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class ReadResult:
    """Rows as of one version; ``store_time_s`` is the store's steady clock."""

    rows: tuple[Row, ...]
    version: int
    store_time_s: float


@dataclass(slots=True, frozen=True)
class WriteResult:
    """An accepted write."""

    version: int
    store_time_s: float


class Store(ABC):
    """Calls of the store; each raises a ``StoreError`` if it fails."""

    @abstractmethod
    async def read(self, table: Table, deadline: float) -> ReadResult:
        """Return all rows of a table as of one version."""

    @abstractmethod
    async def changes(self, table: Table, after: int, wait_s: float) -> ReadResult:
        """Return the rows changed since a version, waiting for the first."""

    @abstractmethod
    async def write(
        self, table: Table, key: str, value: bytes, expected: int, deadline: float
    ) -> WriteResult:
        """Write a row if it has the expected version (0: it does not exist)."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


__all__ = [
    "VersionConflictError",
    "HistoryCompactedError",
    "ReadResult",
    "Row",
    "Store",
    "StoreError",
    "StoreRefusedError",
    "StoreNoAnswerError",
    "Table",
    "WriteResult",
]
