"""Steps of the store feature."""

from __future__ import annotations

import time
from typing import Any

import httpx
from behave import then, when
from booking import book, count_bookings

STORES = ("table", "objects")


def count_store_calls(context: Any) -> int:
    """Return the number of calls that both stores have received."""
    total = 0
    for name in STORES:
        total += httpx.get(f"{context.deployment.standin_url(name)}/calls").json()[
            "calls"
        ]
    return total


def set_store_faults(context: Any, **faults: Any) -> None:
    """Set faults of the table service and the object store."""
    for name in STORES:
        context.deployment.set_faults(name, **faults)


@when('the store\'s calls are counted over {seconds:g} seconds as "{name}"')
def count(context: Any, seconds: float, name: str) -> None:
    started, before = time.monotonic(), count_store_calls(context)
    time.sleep(seconds)
    rates = getattr(context, "rates", {})
    rates[name] = (count_store_calls(context) - before) / (time.monotonic() - started)
    context.rates = rates


@when("the store is down")
def down(context: Any) -> None:
    set_store_faults(context, down=True)


@when("the store is up and takes {seconds:g} seconds for a response")
def slow(context: Any, seconds: float) -> None:
    set_store_faults(context, down=False, delay_s=seconds)


@when("the store has recovered")
def store_recovered(context: Any) -> None:
    set_store_faults(context, down=False, delay_s=0.0)


@then('the store\'s calls as "{name}" are no more than as "{other}"')
def no_more(context: Any, name: str, other: str) -> None:
    print(f"calls a second: {context.rates}")
    assert context.rates[name] <= context.rates[other], context.rates


@then('the store\'s calls as "{name}" are no more than twice those as "{other}"')
def at_most_twice(context: Any, name: str, other: str) -> None:
    assert context.rates[name] <= 2 * context.rates[other], context.rates


@then("{count:d} bookings are refused as {reason} and none ran")
def bookings_refused(context: Any, count: int, reason: str) -> None:
    for number in range(count):
        response = book(context.deployment, f"b{number}", f"k-b{number}")
        body = response.json()
        assert (body["reason"], body["ran"]) == (reason, "no"), body
        assert float(response.headers["retry-after"]) > 0
        assert count_bookings(context.deployment, f"b{number}") == 0
