"""Which endpoint runs at each address."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import EndpointRecord


class AddressTable:
    """The newest run at each address.

    A crashed endpoint keeps its entry for some heartbeats, and starts again at the
    same address under another id meanwhile.
    """

    def __init__(self) -> None:
        self._owners: dict[tuple[str, int], EndpointRecord] = {}

    def claim(self, record: EndpointRecord) -> EndpointRecord | None:
        """Enter an endpoint; return the run at its address that has ended, if any."""
        address = record.endpoint.address
        other = self._owners.get(address)
        if other is None or other is record or other.endpoint.address != address:
            self._owners[address] = record
            return None
        if 0 < record.endpoint.started_ms < other.endpoint.started_ms:
            return record
        self._owners[address] = record
        return other

    def release(self, record: EndpointRecord) -> None:
        """Remove an endpoint whose entry is gone."""
        address = record.endpoint.address
        if self._owners.get(address) is record:
            del self._owners[address]


__all__ = [
    "AddressTable",
]
