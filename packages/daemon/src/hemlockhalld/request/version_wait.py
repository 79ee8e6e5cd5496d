"""Wait for a newer document version than a request was sent with."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_INTERVAL_S = 0.02
MAX_WAIT_S = 5.0


async def wait_for_newer_version(
    version: Callable[[], int], sent_version: int, deadline: float
) -> None:
    """Return when a newer version is in force, or at the time limit.

    A side process refuses a request with an older version than its own. The
    entry host then fetches the newer version. Without this wait, a request
    would use up its retries before that version arrives.
    """
    give_up_deadline = min(deadline, time.monotonic() + MAX_WAIT_S)
    while version() <= sent_version and time.monotonic() < give_up_deadline:
        await anyio.sleep(POLL_INTERVAL_S)


__all__ = [
    "wait_for_newer_version",
]
