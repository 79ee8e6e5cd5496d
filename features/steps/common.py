"""Steps that several features share."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

from behave import given, step, then, when

from hemlockhall_standins.caller import StreamResult, chat_body, read_stream
from hemlockhall_standins.deployment import Deployment, two_pipelines
from hemlockhall_standins.processes import wait_for

PROMPT = "Recital notice for Sunday at five"


@given("a deployment of two pipelines")
def start_deployment(context: Any) -> None:
    deployment = Deployment(two_pipelines())
    context.deployment = context.stack.enter_context(deployment)


@step("an undisturbed response of {count:d} tokens")
def stream_baseline(context: Any, count: int) -> None:
    with context.deployment.client() as client:
        context.baseline = read_stream(client, chat_body(PROMPT, count, stream=True))
    assert context.baseline.done


@when(
    "the same response is streamed and at token {at:d} {what} of stage {stage:d} {does}"
)
def stream_with_fault(context: Any, at: int, what: str, stage: int, does: str) -> None:
    def act() -> None:
        context.failed_endpoint = inject_fault(context.deployment, what, stage)

    stream_with(context, {at: act})


def stream_with(context: Any, actions: dict[int, Callable[[], None]]) -> None:
    """Stream the baseline request again, with actions at some tokens."""
    with context.deployment.client() as client:
        body = chat_body(PROMPT, context.baseline.tokens, stream=True)
        context.interrupted = read_stream(client, body, actions)


def endpoint_in_use(deployment: Deployment, stage: int) -> str:
    """Return the one of a stage's two endpoints that has the request."""
    for row in "ab":
        if deployment.is_running(f"{row}{stage}"):
            if deployment.status(f"{row}{stage}")["in_flight"]:
                return f"{row}{stage}"
    raise AssertionError(f"no endpoint of stage {stage} has a request")


def inject_fault(deployment: Deployment, what: str, stage: int) -> str:
    """Inject a fault at a stage and return the endpoint that has it."""
    failed_endpoint = endpoint_in_use(deployment, stage)
    if what == "the side process":
        deployment.kill(failed_endpoint)
    elif what == "the engine":
        deployment.kill(f"{failed_endpoint}/back-end")
    elif what == "the frozen side process":
        deployment.send_signal(failed_endpoint, signal.SIGSTOP)
    else:
        raise AssertionError(f"unknown fault: {what}")
    return failed_endpoint


@then("the response is complete and unchanged")
def is_unchanged(context: Any) -> None:
    baseline: StreamResult = context.baseline
    interrupted: StreamResult = context.interrupted
    assert interrupted.done, "the stream ended without [DONE]"
    assert interrupted.text == baseline.text, (
        f"{interrupted.text!r} is not {baseline.text!r}"
    )


@then("the engines' slots are free")
def slots_free(context: Any) -> None:
    deployment: Deployment = context.deployment

    def free() -> bool:
        for name, endpoint in deployment.endpoints.items():
            if endpoint.spec.service or not deployment.is_running(f"{name}/back-end"):
                continue
            if deployment.tally(name)["open"]:
                return False
        return True

    wait_for(free, "the engines' slots to be free")


@then("the counter {name} of {label} increased at an entry host")
def counter_increased(context: Any, name: str, label: str) -> None:
    deployment: Deployment = context.deployment
    total = sum(deployment.counter(e, name, label) for e in deployment.urls)
    assert total > 0, f"{name}{{{label}}} did not increase"


@then("each token ran through every layer once, in order")
def check_chain(context: Any) -> None:
    check_step_records(context.deployment)


def check_step_records(deployment: Deployment) -> None:
    """Check that each engine ran the positions of each attempt in order and once."""
    for name, endpoint in deployment.endpoints.items():
        if endpoint.spec.service or not deployment.is_running(f"{name}/back-end"):
            continue
        seen: dict[tuple[str, int], int] = {}
        for request, attempt, position, _, _ in deployment.tally(name)["steps"]:
            last = seen.get((request, attempt))
            where = f"{name}: {request}/{attempt}"
            assert last is None or position == last + 1, f"{where} at {position}"
            seen[request, attempt] = position
