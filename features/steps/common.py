"""Steps that many features use: a deployment, callers, faults."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

from behave import given, step, then, when

from hemlockhall_standins.caller import Streamed, ask, read_stream
from hemlockhall_standins.deployment import Deployment, two_pipelines
from hemlockhall_standins.processes import wait_for

PROMPT = "Recital notice for Sunday at five"


@given("a deployment of two pipelines")
def start_deployment(context: Any) -> None:
    deployment = Deployment(two_pipelines())
    context.deployment = context.stack.enter_context(deployment)


@step("an undisturbed answer of {count:d} tokens")
def calm_answer(context: Any, count: int) -> None:
    with context.deployment.client() as client:
        context.calm = read_stream(client, ask(PROMPT, count, stream=True))
    assert context.calm.done


@when(
    "the same answer is streamed and at token {at:d} {what} of stage {stage:d} {does}"
)
def hurt_answer(context: Any, at: int, what: str, stage: int, does: str) -> None:
    def act() -> None:
        context.victim = fault(context.deployment, what, stage)

    stream_with(context, {at: act})


def stream_with(context: Any, at: dict[int, Callable[[], None]]) -> None:
    """Stream the answer again, with something done at some tokens."""
    with context.deployment.client() as client:
        body = ask(PROMPT, context.calm.tokens, stream=True)
        context.hurt = read_stream(client, body, at)


def used(deployment: Deployment, stage: int) -> str:
    """Return which of the two endpoints of a stage has the request."""
    for row in "ab":
        if deployment.running(f"{row}{stage}"):
            if deployment.status(f"{row}{stage}")["in_flight"]:
                return f"{row}{stage}"
    raise AssertionError(f"no endpoint of stage {stage} has a request")


def fault(deployment: Deployment, what: str, stage: int) -> str:
    """Bring a failure about, named as the features name it."""
    victim = used(deployment, stage)
    if what == "the side process":
        deployment.kill(victim)
    elif what == "the engine":
        deployment.kill(f"{victim}/back-end")
    elif what == "the frozen side process":
        deployment.signal(victim, signal.SIGSTOP)
    else:
        raise AssertionError(f"unknown fault: {what}")
    return victim


@then("the answer is whole and the same")
def same_answer(context: Any) -> None:
    calm: Streamed = context.calm
    hurt: Streamed = context.hurt
    assert hurt.done, "the stream ended without [DONE]"
    assert hurt.text == calm.text, f"{hurt.text!r} is not {calm.text!r}"


@then("the engines' slots are free")
def slots_free(context: Any) -> None:
    deployment: Deployment = context.deployment

    def free() -> bool:
        for name, node in deployment.nodes.items():
            if node.plan.service or not deployment.running(f"{name}/back-end"):
                continue
            if deployment.tally(name)["open"]:
                return False
        return True

    wait_for(free, "the engines' slots to be free")


@then("the counter {name} of {label} moved at an entry host")
def counter_moved(context: Any, name: str, label: str) -> None:
    deployment: Deployment = context.deployment
    moved = sum(deployment.counter(e, name, label) for e in deployment.urls)
    assert moved > 0, f"{name}{{{label}}} did not move"


@then("each token ran through every layer once, in order")
def check_chain(context: Any) -> None:
    check_logs(context.deployment)


def check_logs(deployment: Deployment) -> None:
    """Check the engines' logs: no attempt appended a position twice."""
    for name, node in deployment.nodes.items():
        if node.plan.service or not deployment.running(f"{name}/back-end"):
            continue
        seen: dict[tuple[str, int], int] = {}
        for request, attempt, position, _, _ in deployment.tally(name)["steps"]:
            last = seen.get((request, attempt))
            where = f"{name}: {request}/{attempt}"
            assert last is None or position == last + 1, f"{where} at {position}"
            seen[request, attempt] = position
