"""Bound on the number of connections that are open at a port."""

from __future__ import annotations

import resource
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Of the descriptors of the process, the part that connections of one port may take:
# the others are for those to endpoints, to hosts and to the store.
DESCRIPTOR_FRACTION = 0.5


class ConnectionBound:
    """Bounds the connections that are open at a port.

    Once there are too many, the one that has waited longest for a request is closed for
    a new one: that gets no answer, and has asked for none. While none waits, new ones
    are closed unread.

    Parameters
    ----------
    port : str
        What the port is for, as written in the log.
    max_connections : int
        How many may be open; fewer if the process may have few descriptors.
    count : callable
        Called with ``closed_idle`` or ``closed_full`` for a connection that is closed.
    """

    def __init__(
        self, port: str, max_connections: int, count: Callable[[str], None]
    ) -> None:
        self._port = port
        self._max_connections = max_connections
        self._count = count
        self._full = False
        # Those that wait for a request, the longest first.
        self._waiting: dict[anyio.CancelScope, None] = {}
        self.open = 0

    @property
    def limit(self) -> int:
        """How many connections may be open now."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            return self._max_connections
        return min(self._max_connections, int(descriptors * DESCRIPTOR_FRACTION))

    @contextmanager
    def admit(self) -> Iterator[bool]:
        """Count a new connection within the context; yield whether to serve it."""
        admitted = self._make_room()
        self.open += admitted
        try:
            yield admitted
        finally:
            self.open -= admitted

    def _make_room(self) -> bool:
        limit = self.limit
        full = self.open >= limit
        if full != self._full:
            self._full = full
            logger.warning(
                "connections full" if full else "connections free",
                port=self._port,
                open=self.open,
                limit=limit,
            )
        if not full:
            return True
        if not self._waiting:
            self._count("closed_full")
            return False
        oldest = next(iter(self._waiting))
        del self._waiting[oldest]
        oldest.cancel()
        self._count("closed_idle")
        return True

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for a request within the context, which may be cancelled for others."""
        with anyio.CancelScope() as scope:
            self._waiting[scope] = None
            try:
                yield
            finally:
                self._waiting.pop(scope, None)

    def close_waiting(self) -> None:
        """Close the connections that wait for a request."""
        for scope in list(self._waiting):
            scope.cancel()


__all__ = [
    "ConnectionBound",
]
