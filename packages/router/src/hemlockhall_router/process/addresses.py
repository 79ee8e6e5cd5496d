"""The current endpoint at each address."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import EndpointRecord


class AddressTable:
    """The newest incarnation at each address.

    The store entry of a crashed endpoint outlives it by some heartbeats. The endpoint
    may restart meanwhile, at the same address under another id.
    """

    def __init__(self) -> None:
        self._current: dict[tuple[str, int], EndpointRecord] = {}

    def claim(self, record: EndpointRecord) -> EndpointRecord | None:
        """Register an endpoint at its address.

        Returns
        -------
        EndpointRecord or None
            The older one of two endpoints at the address, which has ended; this can
            be ``record`` itself if its entry arrived late.
        """
        address = record.endpoint.address
        other = self._current.get(address)
        if other is None or other is record or other.endpoint.address != address:
            self._current[address] = record
            return None
        if 0 < record.endpoint.started_ms < other.endpoint.started_ms:
            return record
        self._current[address] = record
        return other

    def release(self, record: EndpointRecord) -> None:
        """Remove an endpoint from its address, if it is still registered there."""
        address = record.endpoint.address
        if self._current.get(address) is record:
            del self._current[address]


__all__ = [
    "AddressTable",
]
