"""Directory with endpoints of a large model, for tests without a network."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhall_router.membership.clock import SharedClock
from hemlockhall_router.membership.share import Shares
from hemlockhall_router.process.chooser import Chooser
from hemlockhall_router.process.directory import Directory
from hemlockhall_router.process.limits import EndpointLimits
from hemlockhall_router.process.metric import Metrics
from hemlockhall_router.process.quarantine import Quarantine
from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.statement import EndpointStatements
from hemlockhall_router.process.timing import Timing
from hemlockhall_router.version.endpoint import Endpoint
from hemlockhall_router.version.routing import Accelerator, Model, Service
from hemlockhall_standins.router.dialect import StandinDialect

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.policy.data_centre_link import DataCentreLinks
    from hemlockhall_router.process.directory import EndpointRecord
    from hemlockhall_router.version.endpoint import LayerRange

SERVICE = "pool"


def large_model(accelerators: dict[str, Accelerator]) -> Model:
    """Return a model of 80 layers, too large for one accelerator."""
    return Model(
        layers=80,
        layer_mb=1750.0,
        kv_bytes_per_token=1_180_000.0,
        activation_bytes_per_token=59_000.0,
        load_all_layers_s=14.0,
        step_ms=1.0,
        step_ms_per_sequence=0.01,
        prefill_tokens_per_s=164_000.0,
        data_centre_link_mbps=13_000.0,
        accelerators=accelerators,
        typical_prompt_tokens=775.0,
        typical_output_tokens=216.0,
        concurrent_loads=6,
    )


def service(model: Model) -> Service:
    """Return a service for a model, with enough slots for every test."""
    return Service(SERVICE, "/", 100, slots=500, model=model)


@dataclass
class NoPeers:
    """A host that has just started, without peers."""

    shared_clock: SharedClock = field(
        default_factory=lambda: SharedClock(time.monotonic, 0.0)
    )
    shares: Shares = field(default_factory=lambda: Shares("host", "here"))

    def known_hosts(self) -> int:
        """Return the number of hosts."""
        return 1


def make_limits(directory: Directory) -> EndpointLimits:
    """Return the limits of a host without peers, none at first."""
    return EndpointLimits(directory, NoPeers(), Metrics(), time.monotonic)


def make_statements(directory: Directory) -> EndpointStatements:
    """Return the statements of endpoints that a host knows, none at first."""
    limits = make_limits(directory)
    return EndpointStatements(
        StandinDialect(), directory, limits, Metrics(), time.monotonic
    )


def make_quarantine(directory: Directory) -> Quarantine:
    """Return the quarantine of a host without peers, empty at first."""
    return Quarantine(directory, NoPeers(), Metrics())


def make_chooser(
    directory: Directory,
    data_centre: str,
    links: DataCentreLinks,
    host_count: Callable[[], int],
) -> Chooser:
    """Return the chooser of a host to which no endpoint has stated anything."""
    limits = make_limits(directory)
    statements = make_statements(directory)
    return Chooser(directory, data_centre, links, host_count, limits, statements)


def make_directory() -> Directory:
    """Return an empty directory that is connected to no store."""
    return Directory(lambda key, value: None, lambda: 0.0, Timing(BoundsSection()))


def add_endpoint(
    directory: Directory,
    name: str,
    data_centre: str,
    accelerator: str,
    layers: LayerRange,
) -> EndpointRecord:
    """Add an endpoint that holds ``layers`` and return its record."""
    endpoint = Endpoint(
        name,
        SERVICE,
        "10.0.0.1",
        1,
        data_centre,
        accelerator=accelerator,
        layers=layers,
    )
    return directory.add(endpoint)


__all__ = [
    "NoPeers",
    "make_chooser",
    "make_directory",
    "make_limits",
    "make_quarantine",
    "make_statements",
    "add_endpoint",
    "large_model",
    "service",
]
