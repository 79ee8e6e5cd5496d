"""Another entry host, as this one knows it."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.connection.link import Status


@dataclass(slots=True)
class Peer:
    """Another host, as heard last."""

    address: str
    status: Status | None = None
    heard_at: float = 0.0
    added_at: float = field(default_factory=time.monotonic)
    versions: dict[str, int] = field(default_factory=dict)
    behind_since: dict[str, float] = field(default_factory=dict)

    def live(self, now: float, dead_s: float) -> bool:
        """Return whether it was heard lately."""
        return self.status is not None and now - self.heard_at < dead_s


__all__ = [
    "Peer",
]
