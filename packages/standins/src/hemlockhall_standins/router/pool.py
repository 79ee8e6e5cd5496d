"""Directory with endpoints of a large model, for tests without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.process.directory import Directory
from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.timing import Timing
from hemlockhall_router.version.endpoint import Endpoint
from hemlockhall_router.version.routing import Accelerator, Model, Service

if TYPE_CHECKING:
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
    "make_directory",
    "add_endpoint",
    "large_model",
    "service",
]
