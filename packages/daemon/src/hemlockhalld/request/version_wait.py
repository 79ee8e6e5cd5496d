"""Waiting for a newer version of the document than a request was sent with."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_INTERVAL = 0.02
MAX_WAIT = 5.0


async def newer_version(version: Callable[[], int], than: int, deadline: float) -> None:
    """Return when a newer version is in force, or when waiting is over.

    A side process refuses a request of an older version than its own. The
    entry host hears of the newer one with that refusal, and fetches it; a
    request tried again at once would use up its tries before it is there.
    """
    give_up_at = min(deadline, time.monotonic() + MAX_WAIT)
    while version() <= than and time.monotonic() < give_up_at:
        await anyio.sleep(CHECK_INTERVAL)


__all__ = [
    "newer_version",
]
