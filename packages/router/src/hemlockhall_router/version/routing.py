"""A version of the configuration, as the router uses it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hemlockhall_router.connection.caller import CallerLimits

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import RequestHead


class RouteKind(Enum):
    """What may be repeated, which follows from the route alone."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host and path prefix go; times in seconds."""

    name: str
    host: bytes
    prefix: bytes
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    targets: tuple[Target, ...]
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    max_event_gap_s: float = 0.0

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAM and self.resumable


@dataclass(slots=True, frozen=True)
class Accelerator:
    """A kind of accelerator: memory in MB, time factors against the base."""

    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(slots=True, frozen=True)
class Model:
    """What the engines of a service run, split by layers.

    ``kv_bytes_per_token`` is the memory of one token in all layers,
    ``load_all_layers_s`` the time to load all layers, ``activation_bytes_per_token``
    what one token sends over a hop.
    """

    layers: int
    layer_mb: float
    kv_bytes_per_token: float
    activation_bytes_per_token: float
    load_all_layers_s: float
    step_ms: float
    step_ms_per_sequence: float
    prefill_tokens_per_s: float
    data_centre_link_mbps: float
    accelerators: dict[str, Accelerator] = field(default_factory=dict)
    typical_prompt_tokens: float = 0.0
    typical_output_tokens: float = 0.0
    concurrent_loads: int = 1

    def capacity(self, accelerator_name: str) -> int:
        """Return how many layers an accelerator holds at most."""
        accelerator = self.accelerators.get(accelerator_name)
        if accelerator is None or self.layer_mb <= 0:
            return 0
        return min(self.layers, int(accelerator.memory_mb / self.layer_mb))


@dataclass(slots=True, frozen=True)
class Service:
    """A set of interchangeable endpoints."""

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    model: Model | None = None


@dataclass(slots=True, frozen=True)
class Customer:
    """Who holds a key."""

    name: str
    priority: int | None = None


@dataclass(slots=True)
class RoutingConfig:
    """A whole version of the configuration."""

    version: int
    routes: dict[bytes, dict[bytes, Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    customers: dict[bytes, Customer] = field(default_factory=dict)
    keys_required: bool = False

    def add(self, route: Route) -> None:
        """Add a route under its host and prefix."""
        self.routes.setdefault(route.host, {})[route.prefix] = route

    def match(self, head: RequestHead) -> Route | None:
        """Return the route of the request's host with the longest prefix."""
        name = (head.header(b"host") or b"").strip().lower()
        routes = self.routes.get(name) or self.routes.get(name.partition(b":")[0])
        if not routes:
            return None
        path = head.path
        end = path.rfind(b"/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end - 1) + 1
        return None


__all__ = [
    "Accelerator",
    "Customer",
    "RouteKind",
    "Model",
    "Route",
    "RoutingConfig",
    "Service",
    "Target",
]
