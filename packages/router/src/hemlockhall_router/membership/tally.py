"""Loads of the other hosts, summed up without counting one twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hemlockhall_router.membership.message import Load, Usage

if TYPE_CHECKING:
    from collections.abc import Iterable

# Endpoints in one message; the busiest, as a datagram has a limit.
LOADS = 64
# Milliseconds that stand for an endpoint through which nothing was heard.
UNHEARD_MS = 60_000


def add_up(loads: Iterable[Load]) -> dict[int, Load]:
    """Return the sum of loads for each endpoint."""
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
            old.unread + load.unread,
            min(old.heard_ms, load.heard_ms),
        )
    return sums


def aged(loads: Iterable[Load], age_s: float) -> list[Load]:
    """Return loads as of a later time: what was heard is older by then."""
    age_ms = int(age_s * 1000)
    if age_ms <= 0:
        return list(loads)
    found = []
    for load in loads:
        heard_ms = min(UNHEARD_MS, load.heard_ms + age_ms)
        found.append(
            Load(load.endpoint, load.requests, load.tokens, load.unread, heard_ms)
        )
    return found


def add_usage(usages: Iterable[Usage]) -> list[Usage]:
    """Return the sum of the use of the retry budget for each service."""
    sums: dict[int, Usage] = {}
    for usage in usages:
        old = sums.get(usage.service)
        if old is not None:
            usage = Usage(
                usage.service,
                old.requests + usage.requests,
                old.repeats + usage.repeats,
            )
        sums[usage.service] = usage
    return list(sums.values())


def busiest(loads: Iterable[Load]) -> list[Load]:
    """Return the loads that are worth a place in a message."""
    ordered = sorted(loads, key=lambda load: -load.tokens)
    return ordered[:LOADS]


__all__ = [
    "LOADS",
    "UNHEARD_MS",
    "add_up",
    "add_usage",
    "aged",
    "busiest",
]
