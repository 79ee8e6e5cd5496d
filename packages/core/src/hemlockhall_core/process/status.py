"""State that a process reports to operators."""

from __future__ import annotations

import msgspec


class PeerStatus(msgspec.Struct):
    """State of a peer, as known to this process; ``load`` in requests.

    ``alive`` is set if the peer has sent a batch and is not considered dead.
    """

    name: str
    version: int
    state: str
    alive: bool
    load: int


class Status(msgspec.Struct):
    """Body of the response to ``/status``."""

    name: str
    role: str
    data_centre: str
    version: int
    state: str
    in_flight: int
    peers: list[PeerStatus]
    counters: dict[str, float]


__all__ = [
    "PeerStatus",
    "Status",
]
