"""Steps of the pipeline feature alone."""

from __future__ import annotations

import signal
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from common import PROMPT, stream_with, used

from hemlockhall_standins.caller import ask, read_stream
from hemlockhall_standins.deployment import Deployment, two_pipelines
from hemlockhall_standins.processes import wait_for


@given("a deployment of two pipelines that retains nothing")
def start_bare(context: Any) -> None:
    deployment = Deployment(two_pipelines(), retain_bytes=0)
    context.deployment = context.stack.enter_context(deployment)


@when(
    "the same answer is streamed and at token {at:d} stages {a:d} and {b:d} are killed"
)
def kill_two(context: Any, at: int, a: int, b: int) -> None:
    deployment: Deployment = context.deployment

    def act() -> None:
        for victim in [used(deployment, stage) for stage in (a, b)]:
            deployment.kill(victim)

    stream_with(context, {at: act})


@when(
    "the same answer is streamed and at token {at:d} stage {a:d} is killed and stage "
    "{b:d} frozen"
)
def kill_and_freeze(context: Any, at: int, a: int, b: int) -> None:
    deployment: Deployment = context.deployment

    def act() -> None:
        killed, frozen = used(deployment, a), used(deployment, b)
        deployment.signal(frozen, signal.SIGSTOP)
        deployment.kill(killed)

    stream_with(context, {at: act})


@when("the same answer is asked for and stage {stage:d} is killed in prefill")
def kill_in_prefill(context: Any, stage: int) -> None:
    deployment: Deployment = context.deployment
    names = [f"{row}{stage}" for row in "ab"]
    for name in names:
        deployment.fault(name, step_s=1.0)

    def at_stage() -> str:
        for name in names:
            if deployment.status(name)["in_flight"]:
                return name
        return ""

    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(stream_with, context, {})
        victim = wait_for(at_stage, "the prompt at the stage")
        deployment.kill(victim)
        for name in names:
            deployment.fault(name, step_s=0.005)
        fut.result()


@then("the surviving engines ran at most {count:d} positions again")
def recomputed(context: Any, count: int) -> None:
    deployment: Deployment = context.deployment
    for name, node in deployment.nodes.items():
        if node.plan.service or name == context.victim:
            continue
        seen: dict[str, list[int]] = {}
        for request, _, position, _, _ in deployment.tally(name)["steps"]:
            seen.setdefault(request, []).append(position)
        for request, positions in seen.items():
            again = len(positions) - len(set(positions))
            assert again <= count, f"{name} ran {again} of {request} again"


@when("the frozen process is resumed")
def resume(context: Any) -> None:
    context.deployment.signal(context.victim, signal.SIGCONT)


@when("the killed side process is replaced")
def replace(context: Any) -> None:
    context.deployment.start_side(context.victim)


@then("an answer streamed now is whole and the same")
def again(context: Any) -> None:
    with context.deployment.client() as client:
        body = ask(PROMPT, context.calm.tokens, stream=True)
        streamed = read_stream(client, body)
    assert streamed.done
    assert streamed.text == context.calm.text
