"""Poller of the platform's host list, which may be out of date."""

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
    """Polls the host list; keeps the last one during an outage.

    ``leaving`` holds the names of the endpoints that are about to leave.
    """

    def __init__(self, hosts: HostList) -> None:
        self.leaving: frozenset[str] = frozenset()
        self._hosts = hosts

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                hosts = await self._hosts.read()
                self.leaving = frozenset(
                    host.endpoint for host in hosts if host.state == "leaving"
                )
            except PlatformError as exc:
                logger.debug("host list not read: {}", exc)
            await anyio.sleep(POLL_INTERVAL_S * random.uniform(0.8, 1.2))


__all__ = [
    "HostListPoller",
]
