"""What the platform's lagging host list says about endpoints."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_core.process.error import PlatformError

if TYPE_CHECKING:
    from hemlockhall_core.process.table import HostList

POLL_INTERVAL_S = 1.0


class HostListPoller:
    """Reads the list again and again; keeps the last one during an outage."""

    def __init__(self, hosts: HostList) -> None:
        self.leaving: frozenset[str] = frozenset()
        self._hosts = hosts

    async def run(self) -> None:
        """Read for ever."""
        while True:
            try:
                listed = await self._hosts.read()
                self.leaving = frozenset(
                    host.endpoint for host in listed if host.state == "leaving"
                )
            except PlatformError as exc:
                logger.debug("host list: {}", exc)
            await anyio.sleep(POLL_INTERVAL_S * random.uniform(0.8, 1.2))


__all__ = [
    "HostListPoller",
]
