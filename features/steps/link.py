"""Steps of the link feature."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from booking import act_during_booking, started
from common import stream_with

from hemlockhall_standins.deployment import Deployment, two_pipelines
from hemlockhall_standins.processes import wait_for


@given("a deployment of two pipelines with a path before {names}")
def start(context: Any, names: str) -> None:
    deployment = Deployment(two_pipelines(), proxied=tuple(names.split()))
    context.deployment = context.stack.enter_context(deployment)


def silence_all(deployment: Deployment) -> None:
    """Black-hole all open connections of the proxied processes."""
    for name in deployment.proxied:
        silent = deployment.silence(name)
        assert silent > 0, f"no connection to {name} was open"


@when(
    "the same response is streamed and at token {at:d} connections to {names} go silent"
)
def silence_at(context: Any, at: int, names: str) -> None:
    stream_with(context, {at: lambda: silence_all(context.deployment)})


@when(
    "the same response is streamed and at tokens {a:d} and {b:d} all connections "
    "go silent"
)
def silence_twice(context: Any, a: int, b: int) -> None:
    def act() -> None:
        silence_all(context.deployment)

    stream_with(context, {a: act, b: act})


@when(
    "the same response is streamed and at token {at:d} each chunk to {names} takes "
    "{seconds:g} seconds"
)
def slow_at(context: Any, at: int, names: str, seconds: float) -> None:
    def act() -> None:
        for name in names.split():
            context.deployment.set_faults(f"{name}/link", chunk_delay_s=seconds)

    stream_with(context, {at: act})


@given("the booking service takes {seconds:g} seconds for a response")
def slow_service(context: Any, seconds: float) -> None:
    context.deployment.set_faults("loft-1", answer_delay_s=seconds)


@when('"{what}" is sent with key "{key}" and all connections go silent')
def silence_booking(context: Any, what: str, key: str) -> None:
    def act() -> None:
        wait_for(lambda: started(context.deployment, what), "the booking to begin")
        silence_all(context.deployment)

    act_during_booking(context, what, key, act)


@then("there was no second attempt")
def no_second_attempt(context: Any) -> None:
    deployment: Deployment = context.deployment
    for name, endpoint in deployment.endpoints.items():
        if endpoint.spec.service:
            continue
        attempts = {step[1] for step in deployment.tally(name)["steps"]}
        assert attempts <= {1}, f"{name} ran attempts {sorted(attempts)}"
    renewed = 0.0
    for name in (*deployment.urls, *deployment.endpoints):
        renewed += deployment.counter(name, "batches", "renewed")
    assert renewed > 0, "no connection was renewed"
