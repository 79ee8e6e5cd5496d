"""Errors of a process: its settings and the platform's services."""

from __future__ import annotations


class SettingsError(Exception):
    """The settings file cannot be used; the text lists every fault."""


class PlatformError(Exception):
    """The platform's table service or object store gave no result."""


class StoreUnavailableError(PlatformError):
    """The store did not take the call: nothing was written.

    ``retry_after`` is the time in seconds until it is asked again.
    """

    def __init__(self, text: str, retry_after: float) -> None:
        super().__init__(text)
        self.retry_after = retry_after


class StoreOutcomeUnknownError(PlatformError):
    """The answer of the store was lost: it may have written."""


class StoreConflictError(PlatformError):
    """A checked row has another version than expected; nothing was written."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(f"rows changed by somebody else: {', '.join(keys)}")
        self.keys = keys


__all__ = [
    "PlatformError",
    "SettingsError",
    "StoreConflictError",
    "StoreUnavailableError",
    "StoreOutcomeUnknownError",
]
