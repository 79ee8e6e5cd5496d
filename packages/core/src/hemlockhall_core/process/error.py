"""Errors of the settings and of the platform's services."""

from __future__ import annotations


class SettingsError(Exception):
    """The settings file is not valid; the text lists every error in it."""


class PlatformError(Exception):
    """Base of the errors of the platform's table service and object store."""


class StoreUnavailableError(PlatformError):
    """The store did not accept the call: nothing was written.

    ``retry_after`` is the time in seconds until it may be called again.
    """

    def __init__(self, text: str, retry_after: float) -> None:
        super().__init__(text)
        self.retry_after = retry_after


class StoreOutcomeUnknownError(PlatformError):
    """The outcome of a call is not known: the store may have written."""


class RowError(PlatformError):
    """A row holds something else than its readers expect."""


class StoreConflictError(PlatformError):
    """A checked row does not have the expected version; nothing was written."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(f"rows changed by another writer: {', '.join(keys)}")
        self.keys = keys


__all__ = [
    "PlatformError",
    "RowError",
    "SettingsError",
    "StoreConflictError",
    "StoreUnavailableError",
    "StoreOutcomeUnknownError",
]
