"""An endpoint that states a request limit, and callers at simulated hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_router.connection.message import ResponseHead
from hemlockhall_router.version.endpoint import Endpoint
from hemlockhall_standins.router.dialect import StandinDialect
from hemlockhall_standins.router.pool import SERVICE

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.message import Headers
    from hemlockhall_standins.router.network import Host, Network

DIALECT = StandinDialect()
# Seconds from a request to its response.
RESPONSE_S = 0.05


def limited_endpoint(name: str = "limited") -> Endpoint:
    """Return the endpoint of a ``Network`` with limited requests."""
    return Endpoint(name, SERVICE, "10.0.0.1", 1, "place-0", started_ms=1)


@dataclass
class LimitedEndpoint:
    """The endpoint's side: what arrives there, and the limit that it states.

    ``limit`` is None while it states none. ``reachable`` tells whether a host can
    reach it.
    """

    network: Network
    endpoint: Endpoint
    limit: float | None = None
    arrivals: list[float] = field(default_factory=list)
    reachable: Callable[[Host], bool] = lambda host: True

    def request(self, host: Host) -> bool:
        """Send a request of a caller through a host; return whether it was sent."""
        host.limits.record_request()
        if not host.limits.may_send(self.endpoint):
            return False
        if host.limits.try_acquire(self.endpoint) is None:
            return False
        if not self.reachable(host):
            return False
        self.arrivals.append(self.network.now)
        headers: Headers = [(b"signature", b"1")]
        if self.limit is not None:
            headers.append((b"request-limit", str(self.limit).encode()))
        head = ResponseHead(200, b"OK", headers)

        def respond() -> None:
            if host.alive:
                statement = DIALECT.decode_statement(head)
                host.limits.record_statement(self.endpoint, statement)

        self.network.after(RESPONSE_S, respond)
        return True


@dataclass
class Callers:
    """Requests at random moments, ``rate`` a second over all hosts.

    ``weight`` is the relative number of requests at a host.
    """

    endpoint: LimitedEndpoint
    rate: float
    weight: Callable[[Host], float] = lambda host: 1.0
    sent: int = 0
    refused: int = 0

    def start(self) -> None:
        """Send requests from now on."""
        network = self.endpoint.network
        network.after(network.random.expovariate(self.rate), self._arrive)

    def _arrive(self) -> None:
        network = self.endpoint.network
        hosts = network.live()
        weights = [self.weight(host) for host in hosts]
        if sum(weights) > 0:
            host = network.random.choices(hosts, weights)[0]
            if self.endpoint.request(host):
                self.sent += 1
            else:
                self.refused += 1
        self.start()


__all__ = [
    "Callers",
    "LimitedEndpoint",
    "limited_endpoint",
]
