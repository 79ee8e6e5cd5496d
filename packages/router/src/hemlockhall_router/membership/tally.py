"""Sums of the loads and the retry usage that hosts report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.membership.message import Load, RetryUsage

if TYPE_CHECKING:
    from collections.abc import Iterable

# Maximum number of loads in one message, one for each endpoint: those with the most
# tokens, as the size of a datagram is limited.
MAX_LOADS = 64
# Upper bound of ``event_age_ms``, in milliseconds, also sent if no event has arrived
# yet.
MAX_EVENT_AGE_MS = 60_000


def sum_loads(loads: Iterable[Load]) -> dict[int, Load]:
    """Return the sum of the loads of each endpoint, by the endpoint's key."""
    sums: dict[int, Load] = {}
    for load in loads:
        old = sums.get(load.endpoint)
        if old is None:
            sums[load.endpoint] = load
            continue
        sums[load.endpoint] = Load(
            load.endpoint,
            old.requests + load.requests,
            old.tokens + load.tokens,
            old.prefill_tokens + load.prefill_tokens,
            min(old.event_age_ms, load.event_age_ms),
        )
    return sums


def age_loads(loads: Iterable[Load], age_s: float) -> list[Load]:
    """Return the loads with ``age_s`` seconds added to the age of their events."""
    age_ms = int(age_s * 1000)
    if age_ms <= 0:
        return list(loads)
    result = []
    for load in loads:
        event_age_ms = min(MAX_EVENT_AGE_MS, load.event_age_ms + age_ms)
        result.append(
            Load(
                load.endpoint,
                load.requests,
                load.tokens,
                load.prefill_tokens,
                event_age_ms,
            )
        )
    return result


def sum_usage(usages: Iterable[RetryUsage]) -> list[RetryUsage]:
    """Return the sum of the retry budget usage of each service."""
    sums: dict[int, RetryUsage] = {}
    for usage in usages:
        old = sums.get(usage.service)
        if old is not None:
            usage = RetryUsage(
                usage.service,
                old.requests + usage.requests,
                old.retries + usage.retries,
            )
        sums[usage.service] = usage
    return list(sums.values())


def busiest(loads: Iterable[Load]) -> list[Load]:
    """Return the ``MAX_LOADS`` loads with the most tokens, highest first."""
    ordered = sorted(loads, key=lambda load: -load.tokens)
    return ordered[:MAX_LOADS]


__all__ = [
    "MAX_LOADS",
    "MAX_EVENT_AGE_MS",
    "sum_loads",
    "sum_usage",
    "age_loads",
    "busiest",
]
