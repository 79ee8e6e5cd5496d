"""Utilization of endpoints, and the penalties on path costs that follow from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import EndpointRecord
    from hemlockhall_router.version.routing import Model

# Cost per token, in milliseconds, for each unit of ``load_penalty``.
PENALTY_MS = 3.0
# Utilization at which the penalty would become infinite. From SATURATION -
# SATURATION_MARGIN on it is proportional to the utilization instead, so that the least
# overloaded endpoint is the cheapest.
SATURATION = 1.02
SATURATION_MARGIN = 0.02
# Penalty for each unit of utilization from there on. It exceeds the penalty just below,
# which is 50.
OVERLOAD_PENALTY = 200.0
# Cost per token, in milliseconds, for each millisecond of prefill. The first event has
# an objective of its own, so a delay before it weighs more than the same delay spread
# over all events.
PREFILL_WEIGHT = 0.1


def token_capacity(record: EndpointRecord, model: Model) -> float:
    """Return the tokens of requests that fit into memory beside the layers.

    1 at least, also if the layers, the accelerator or the memory for a token are
    unknown.
    """
    layers = record.endpoint.layers
    accelerator = model.accelerators.get(record.endpoint.accelerator)
    if layers is None or layers.size == 0 or accelerator is None:
        return 1.0
    free_mb = accelerator.memory_mb - layers.size * model.layer_mb
    token_mb = model.kv_bytes_per_token / model.layers * layers.size / 1e6
    return max(1.0, free_mb / token_mb) if token_mb else 1.0


def utilization(record: EndpointRecord, model: Model, tokens: int) -> float:
    """Return the fraction of an endpoint's request memory in use with one more request.

    ``tokens`` is the size of that request. The requests of all hosts count, those of
    other hosts as last reported.
    """
    return (record.token_load + tokens) / token_capacity(record, model)


def load_penalty(fraction: float) -> float:
    """Return a convex penalty for a utilization: 0 when empty, 7 at 0.9.

    Two endpoints at 0.5 cost less than one at 0.2 and one at 0.8, because an endpoint
    that runs out of memory preempts requests in the middle of their streams.
    """
    if fraction >= SATURATION - SATURATION_MARGIN:
        return OVERLOAD_PENALTY * fraction
    return fraction * fraction / (SATURATION - fraction)


def prefill_ms(record: EndpointRecord, model: Model, tokens: int, hosts: int) -> float:
    """Return the milliseconds per layer for the prefill of all requests at an endpoint.

    ``tokens`` is the size of one more request. All sizes are estimates that include the
    output.

    When an endpoint is lost, all hosts move its streams at once, before they know of
    each other's choices. So the estimate assumes that each of the ``hosts`` of this
    data centre sends as much as this one, or takes the prefill tokens that they
    reported if these are more. Otherwise all prompts would queue at the fastest
    endpoint.
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
