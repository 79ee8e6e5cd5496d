"""A version of the configuration, as the router uses it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hemlockhall_router.connection.caller import CallerLimits

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import RequestHead


class Kind(Enum):
    """What may be repeated, which follows from the route alone."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
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
    kind: Kind
    timeout_s: float
    objective_s: float
    targets: tuple[Target, ...]
    max_endpoints: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    pause_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is Kind.IDEMPOTENT:
            return True
        return self.kind is Kind.STREAM and self.resumable


@dataclass(slots=True, frozen=True)
class Accelerator:
    """A kind of accelerator: memory in MB, time factors against the base."""

    memory_mb: float
    step_factor: float
    read_factor: float


@dataclass(slots=True, frozen=True)
class Model:
    """What the engines of a service run, split by layers.

    ``kv_bytes`` is the memory of one token in all layers, ``load_s`` the time
    to load all layers, ``activation_bytes`` what one token sends over a hop.
    """

    layers: int
    layer_mb: float
    kv_bytes: float
    activation_bytes: float
    load_s: float
    step_ms: float
    sequence_ms: float
    read_per_s: float
    pipe_mbps: float
    accelerators: dict[str, Accelerator] = field(default_factory=dict)
    usual_prompt: float = 0.0
    usual_answer: float = 0.0
    loads_at_once: int = 1

    def capacity(self, kind: str) -> int:
        """Return how many layers an accelerator holds at most."""
        accelerator = self.accelerators.get(kind)
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
class Routing:
    """A whole version of the configuration."""

    version: int
    routes: dict[bytes, dict[bytes, Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    customers: dict[bytes, Customer] = field(default_factory=dict)
    keys_wanted: bool = False

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
    "Kind",
    "Model",
    "Route",
    "Routing",
    "Service",
    "Target",
]
