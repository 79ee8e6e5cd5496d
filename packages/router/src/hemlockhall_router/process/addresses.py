"""Which endpoint runs at each address."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import Held


class Addresses:
    """The newest run at each address.

    A crashed endpoint keeps its entry for some heartbeats, and starts again at the
    same address under another id meanwhile.
    """

    def __init__(self) -> None:
        self._newest: dict[tuple[str, int], Held] = {}

    def occupy(self, held: Held) -> Held | None:
        """Enter an endpoint; return the run at its address that has ended, if any."""
        address = held.endpoint.address
        other = self._newest.get(address)
        if other is None or other is held or other.endpoint.address != address:
            self._newest[address] = held
            return None
        if 0 < held.endpoint.started_ms < other.endpoint.started_ms:
            return held
        self._newest[address] = held
        return other

    def leave(self, held: Held) -> None:
        """Remove an endpoint whose entry is gone."""
        address = held.endpoint.address
        if self._newest.get(address) is held:
            del self._newest[address]


__all__ = [
    "Addresses",
]
