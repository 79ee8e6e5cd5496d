"""Poller of the accepted document in the platform's stores."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_core.process.error import PlatformError
from hemlockhall_core.version.error import SubmitError

if TYPE_CHECKING:
    from hemlockhall_core.version.document_cache import DocumentCache
    from hemlockhall_core.version.repository import Repository

# Bounds of the random factor of the interval.
MIN_INTERVAL_FACTOR = 0.8
MAX_INTERVAL_FACTOR = 1.2


class DocumentPoller:
    """Reads the head of the document at jittered intervals.

    Parameters
    ----------
    repository : Repository
        Holds the accepted versions.
    document_cache : DocumentCache
        Adopts them.
    interval_s : float
        Mean time between two reads in seconds.
    """

    def __init__(
        self, repository: Repository, document_cache: DocumentCache, interval_s: float
    ) -> None:
        self._repository = repository
        self._document_cache = document_cache
        self._interval_s = interval_s

    async def run(self) -> None:
        """Poll until cancelled; the last version stays in force in an outage."""
        while True:
            try:
                await self.poll()
            except (PlatformError, SubmitError) as exc:
                logger.debug("document not read: {}", exc)
            factor = random.uniform(MIN_INTERVAL_FACTOR, MAX_INTERVAL_FACTOR)
            await anyio.sleep(self._interval_s * factor)

    async def poll(self) -> None:
        """Read the head and adopt it if its version is higher."""
        head = await self._repository.head()
        if head.version <= self._document_cache.version:
            return
        missing = self._document_cache.missing_sections(head.digests)
        texts = await self._repository.sections(missing)
        by_digest = {missing[name]: text for name, text in texts.items()}
        self._document_cache.adopt(head.version, head.digests, by_digest)


__all__ = [
    "DocumentPoller",
]
