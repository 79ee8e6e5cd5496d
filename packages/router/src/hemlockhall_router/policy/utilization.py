"""How full an endpoint is, and what a request there costs for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import EndpointRecord
    from hemlockhall_router.version.routing import Model

# Milliseconds a token that a request is charged for each unit of ``load_penalty``.
PENALTY_MS = 3.0
# Utilization at which the penalty has no bound; beyond it the penalty grows in
# proportion, so that the least overloaded endpoint is the cheapest.
SATURATION = 1.02
SATURATION_MARGIN = 0.02
OVERLOAD_PENALTY = 200.0
# Milliseconds a token that a request is charged for each millisecond until its
# prompt has been read. The first event has an objective of its own, so a delay at
# the start counts more than one spread over all events.
PREFILL_WEIGHT = 0.1


def token_capacity(record: EndpointRecord, model: Model) -> float:
    """Return how many tokens of requests fit beside an endpoint's layers."""
    layers = record.endpoint.layers
    accelerator = model.accelerators.get(record.endpoint.accelerator)
    if layers is None or layers.size == 0 or accelerator is None:
        return 1.0
    free_mb = accelerator.memory_mb - layers.size * model.layer_mb
    token_mb = model.kv_bytes_per_token / model.layers * layers.size / 1e6
    return max(1.0, free_mb / token_mb) if token_mb else 1.0


def utilization(record: EndpointRecord, model: Model, tokens: int) -> float:
    """Return the part of an endpoint's memory taken with one more request.

    ``size`` is the request's tokens.
    """
    return (record.token_load + tokens) / token_capacity(record, model)


def load_penalty(fraction: float) -> float:
    """Return a convex measure of a utilization: 0 when empty, 7 at 0.9.

    Two endpoints at 0.5 are better than one at 0.2 and one at 0.8: an engine
    whose memory runs out preempts requests in the middle of their streams.
    """
    if fraction >= SATURATION - SATURATION_MARGIN:
        return OVERLOAD_PENALTY * fraction
    return fraction * fraction / (SATURATION - fraction)


def prefill_ms(record: EndpointRecord, model: Model, tokens: int, hosts: int) -> float:
    """Return the milliseconds for which one layer reads the prompts sent there.

    Streams of a lost endpoint go on elsewhere all at once, at all hosts, before
    any of them can tell the others. Each counts as if the ``hosts`` of its data
    centre sent what it sends, or by what the others say if that is more;
    otherwise all these prompts queue at the fastest endpoint.
    """
    accelerator = model.accelerators.get(record.endpoint.accelerator)
    if accelerator is None or not model.prefill_tokens_per_s:
        return 0.0
    prompt_tokens = max(record.prefill_tokens * hosts, record.remote_prefill_tokens)
    total_tokens = prompt_tokens + tokens
    all_layers_ms = (
        total_tokens
        * accelerator.prefill_factor
        * record.slowdown
        / model.prefill_tokens_per_s
        * 1000
    )
    return all_layers_ms / model.layers


__all__ = [
    "PENALTY_MS",
    "PREFILL_WEIGHT",
    "load_penalty",
    "utilization",
    "prefill_ms",
    "token_capacity",
]
