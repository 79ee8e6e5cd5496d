"""Steps of the pipeline feature."""

from __future__ import annotations

import signal
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from common import PROMPT, endpoint_in_use, stream_with

from hemlockhall_standins.caller import chat_body, read_stream
from hemlockhall_standins.deployment import Deployment, two_pipelines
from hemlockhall_standins.processes import wait_for


@given("a deployment of two pipelines that retains nothing")
def start_bare(context: Any) -> None:
    deployment = Deployment(two_pipelines(), retain_bytes=0)
    context.deployment = context.stack.enter_context(deployment)


@when(
    "the same response is streamed and at token {at:d} stages {a:d} and {b:d} are "
    "killed"
)
def kill_two(context: Any, at: int, a: int, b: int) -> None:
    deployment: Deployment = context.deployment

    def act() -> None:
        for failed_endpoint in [endpoint_in_use(deployment, stage) for stage in (a, b)]:
            deployment.kill(failed_endpoint)

    stream_with(context, {at: act})


@when(
    "the same response is streamed and at token {at:d} stage {a:d} is killed and stage "
    "{b:d} frozen"
)
def kill_and_freeze(context: Any, at: int, a: int, b: int) -> None:
    deployment: Deployment = context.deployment

    def act() -> None:
        killed, frozen = endpoint_in_use(deployment, a), endpoint_in_use(deployment, b)
        deployment.send_signal(frozen, signal.SIGSTOP)
        deployment.kill(killed)

    stream_with(context, {at: act})


@when("the same response is asked for and stage {stage:d} is killed in prefill")
def kill_in_prefill(context: Any, stage: int) -> None:
    deployment: Deployment = context.deployment
    names = [f"{row}{stage}" for row in "ab"]
    for name in names:
        deployment.set_faults(name, step_s=1.0)

    def at_stage() -> str:
        for name in names:
            if deployment.status(name)["in_flight"]:
                return name
        return ""

    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(stream_with, context, {})
        failed_endpoint = wait_for(at_stage, "the prompt at the stage")
        deployment.kill(failed_endpoint)
        for name in names:
            deployment.set_faults(name, step_s=0.005)
        fut.result()


@then("the surviving engines ran at most {count:d} positions again")
def recomputed(context: Any, count: int) -> None:
    deployment: Deployment = context.deployment
    for name, endpoint in deployment.endpoints.items():
        if endpoint.spec.service or name == context.failed_endpoint:
            continue
        seen: dict[str, list[int]] = {}
        for request, _, position, _, _ in deployment.tally(name)["steps"]:
            seen.setdefault(request, []).append(position)
        for request, positions in seen.items():
            again = len(positions) - len(set(positions))
            assert again <= count, f"{name} ran {again} of {request} again"


@when("the frozen process is resumed")
def resume(context: Any) -> None:
    context.deployment.send_signal(context.failed_endpoint, signal.SIGCONT)


@when("the killed side process is replaced")
def replace(context: Any) -> None:
    context.deployment.start_side(context.failed_endpoint)


@then("a response streamed now is complete and unchanged")
def stream_again(context: Any) -> None:
    with context.deployment.client() as client:
        body = chat_body(PROMPT, context.baseline.tokens, stream=True)
        result = read_stream(client, body)
    assert result.done
    assert result.text == context.baseline.text
