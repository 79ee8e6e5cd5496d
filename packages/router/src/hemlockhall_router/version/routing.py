"""Routing configuration: routes, services, models and customers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hemlockhall_router.connection.caller import CallerLimits

if TYPE_CHECKING:
    from hemlockhall_router.connection.message import RequestHead


class RouteKind(Enum):
    """Kind of a route's requests: whether they may run twice, or are streams.

    ``NON_IDEMPOTENT`` is named ``once`` in the configuration.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Target:
    """A service that gets a route's requests in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Targets and limits for requests with a host name and a path prefix.

    ``timeout_s`` limits the whole request. ``latency_objective_s`` is the objective
    for the first event, ``max_event_gap_s`` the longest gap between two events of a
    stream; either is 0 if the route states none. ``resumable`` streams can continue on
    another path. ``max_attempts`` counts endpoints: a plain request that may have run
    is not retried once it was tried at so many, and a stream may run at no more first
    endpoints at a time. ``public`` routes need no API key. ``priority`` is that of the
    requests, from 0, the most urgent, to 9; while room is short, more of the urgent
    ones are admitted. The configuration may state anything else there: see
    ``usable_priority``.
    """

    name: str
    host: bytes
    prefix: bytes
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    targets: tuple[Target, ...]
    max_attempts: int = 1
    priority: object = 0
    public: bool = False
    resumable: bool = False
    max_event_gap_s: float = 0.0

    @property
    def retryable(self) -> bool:
        """Whether a request may be executed more than once.

        Others are retried too, but only after attempts that were not executed.
        """
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAM and self.resumable


@dataclass(slots=True, frozen=True)
class Accelerator:
    """A kind of accelerator.

    Layers and requests share ``memory_mb``. ``step_factor`` and ``prefill_factor``
    multiply the model's times for a decode step and for prefill.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(slots=True, frozen=True)
class Model:
    """A model that is split by layers, and its costs.

    Times are those of an accelerator whose factors are 1. ``kv_bytes_per_token``,
    ``load_all_layers_s``, ``step_ms`` and ``prefill_tokens_per_s`` are for all layers
    together. Each hop of a token sends ``activation_bytes_per_token``.
    ``data_centre_link_mbps`` is the bandwidth between two data centres in megabits per
    second. The weight store, from which endpoints load the weights of layers, serves
    ``concurrent_loads`` loads at full speed. ``step_ms_per_sequence`` is not used by
    the router.
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

    @property
    def slowest_step_s(self) -> float:
        """Time of a decode step on the slowest kind of accelerator, in seconds."""
        factors = [kind.step_factor for kind in self.accelerators.values()]
        return self.step_ms / 1000 * max(factors, default=1.0)

    def capacity(self, accelerator_name: str) -> int:
        """Return the number of layers that fill an accelerator, 0 if it is unknown."""
        accelerator = self.accelerators.get(accelerator_name)
        if accelerator is None or self.layer_mb <= 0:
            return 0
        return min(self.layers, int(accelerator.memory_mb / self.layer_mb))


@dataclass(slots=True, frozen=True)
class Service:
    """Endpoints that serve the same requests.

    ``slots`` is the number of requests that each endpoint of a model takes at once;
    with 0, path costs ignore it. The router does not use ``health_path`` and
    ``max_connections``.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    model: Model | None = None


@dataclass(slots=True, frozen=True)
class Customer:
    """A customer, who is identified by an API key.

    ``priority`` takes precedence over that of the route; None leaves the route's. The
    configuration may state anything there, as for a route.
    """

    name: str
    priority: object = None


@dataclass(slots=True)
class RoutingConfig:
    """One version of the configuration.

    ``routes`` is keyed by host name, then by path prefix; ``customers`` by API key.
    ``limits`` bound what callers may send. With ``keys_required``, requests need a
    known API key, except on public routes.
    """

    version: int
    routes: dict[bytes, dict[bytes, Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    customers: dict[bytes, Customer] = field(default_factory=dict)
    keys_required: bool = False

    def add(self, route: Route) -> None:
        """Add a route, replacing one with the same host name and prefix."""
        self.routes.setdefault(route.host, {})[route.prefix] = route

    def match(self, head: RequestHead) -> Route | None:
        """Return the route with the longest prefix that matches the request.

        The host name is that of the Host header; one with a port matches a route
        without one. Prefixes end in a slash.
        """
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
