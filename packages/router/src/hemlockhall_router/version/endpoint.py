"""What an endpoint said of itself last."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LayerRange:
    """Layers ``first`` up to but not including ``end``."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """The number of layers."""
        return self.end - self.first


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One incarnation of an endpoint.

    ``order_count`` counts the orders that it began; ``started_ms`` is the time of its
    start in Unix milliseconds, which tells a restart under the same id.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int = 0
    draining: bool = False
    warmup_left_ms: float = 0.0
    started_ms: int = 0
    order_count: int = 0
    accelerator: str = ""
    layers: LayerRange | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Where it accepts connections."""
        return (self.host, self.port)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Names this run of the endpoint."""
        return (self.id, self.started_ms)


@dataclass(slots=True, frozen=True)
class EndpointReport:
    """What an endpoint answers when asked for its state."""

    busy: bool
    order_count: int
    queued: int
    active: int
    memory_used: int
    memory_total: int
    layers: LayerRange | None
    started_ms: int
    slowdown: float = 1.0
    stalled: tuple[str, ...] = ()


__all__ = [
    "Endpoint",
    "LayerRange",
    "EndpointReport",
]
