"""Endpoints, the layers they hold, and the state they report."""

from __future__ import annotations

from dataclasses import dataclass, field


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
    """One run of an endpoint's process.

    ``started_ms`` is the start of the process in Unix milliseconds, which identifies a
    restart under the same id; ``order_count`` is the number of orders that it began,
    ``slots`` the number of requests that it takes at once. A ``draining`` endpoint
    takes no new requests, and its streams move to other paths. ``warmup_left_ms`` is
    the rest of its warm-up as stated in its store entry.
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
        """Host and port that it listens on."""
        return (self.host, self.port)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time, which identify this run of the endpoint."""
        return (self.id, self.started_ms)


@dataclass(slots=True, frozen=True)
class EndpointReport:
    """State that an endpoint reports when it is probed.

    ``busy`` tells that it is carrying out an order. ``queued`` and ``active`` count
    requests. ``memory_used`` and ``memory_total`` describe the memory for requests, in
    tokens times layers; the former leaves out requests that may be preempted.
    ``slowdown`` is a factor on the usual time of a token, 1.0 when normal. ``stalled``
    lists the ids of attempts that wait for a dead endpoint.
    """

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


@dataclass(slots=True, frozen=True)
class EndpointStatement:
    """What a response says about the endpoint that sent it.

    ``executed`` tells whether the endpoint executed the request, and ``rejected``
    whether it turned it away. ``request_limit`` is the number of requests per second
    that it takes from all hosts together, or None. It wants nothing from this host for
    ``rest_s`` seconds, 0.0 if it asks for no rest. ``leaving`` tells that it shuts down
    and takes no new requests. ``errors`` has a message for each of ``request_limit``,
    ``rest`` and ``leaving`` that could not be decoded; these count as not stated.
    """

    executed: bool = False
    rejected: bool = False
    request_limit: float | None = None
    rest_s: float = 0.0
    leaving: bool = False
    errors: dict[str, str] = field(default_factory=dict)


__all__ = [
    "Endpoint",
    "EndpointReport",
    "EndpointStatement",
    "LayerRange",
]
