"""Steps of the caller feature."""

from __future__ import annotations

from typing import Any

import anyio
import httpx
from behave import given, then, when

from hemlockhall_standins.caller import (
    Streamed,
    ask,
    prompt_text,
    read_stream,
    read_stream_async,
)
from hemlockhall_standins.deployment import API_KEY, LAYERS, Deployment
from hemlockhall_standins.engine import reference_answer

CUT_PAUSE = 0.3
CUTS = 5


def expected(prompt: str, tokens: int) -> str:
    """Return the answer of the model run by one plain loop."""
    return reference_answer(prompt_text(prompt), tokens, LAYERS)


async def disturb(deployment: Deployment, how: str) -> None:
    """Cut or silence the connections behind all paths, several times.

    Each call has a connection of its own: the stand-in may close a kept one just
    as the next call leaves, which is no failure of what is tested.
    """
    limits = httpx.Limits(max_keepalive_connections=0)
    async with httpx.AsyncClient(limits=limits) as client:
        for _ in range(CUTS):
            await anyio.sleep(CUT_PAUSE)
            for name in deployment.proxied:
                await client.post(f"{deployment.platform(f'{name}/link')}/{how}")


async def stream_many(
    deployment: Deployment, count: int, tokens: int, how: str, *, stream: bool
) -> dict[str, Streamed]:
    """Return the answers to many prompts asked for at once."""
    answers: dict[str, Streamed] = {}
    urls = list(deployment.urls.values())
    headers = {"authorization": f"Bearer {API_KEY}"}
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(headers=headers, timeout=90, limits=limits) as client:

        async def one(number: int) -> None:
            prompt = f"Notice {number} for the organ of parish {number * 7}"
            body = ask(prompt, tokens, stream=stream)
            url = urls[number % len(urls)]
            answers[prompt] = await read_stream_async(client, url, body)

        async with anyio.create_task_group() as group:
            group.start_soon(disturb, deployment, how)
            for number in range(count):
                group.start_soon(one, number)
    return answers


@when("{count:d} callers stream answers of {tokens:d} tokens while connections are cut")
def stream_cut(context: Any, count: int, tokens: int) -> None:
    context.tokens = tokens
    context.answers = anyio.run(
        lambda: stream_many(context.deployment, count, tokens, "cut", stream=True)
    )


@when(
    "{count:d} callers ask for whole answers of {tokens:d} tokens while connections "
    "go silent"
)
def whole_silent(context: Any, count: int, tokens: int) -> None:
    context.tokens = tokens
    context.answers = anyio.run(
        lambda: stream_many(context.deployment, count, tokens, "silence", stream=False)
    )


@then("each answer is that of the reference model")
def all_expected(context: Any) -> None:
    for prompt, streamed in context.answers.items():
        assert streamed.done, f"{prompt}: {streamed.error}"
        assert streamed.text == expected(prompt, context.tokens), prompt


@when("a caller leaves after {after:d} tokens of {tokens:d}")
def leave(context: Any, after: int, tokens: int) -> None:
    body = ask("A long notice", tokens, stream=True)
    with context.deployment.client() as client:
        with client.stream("POST", "/v1/chat/completions", json=body) as response:
            lines = 0
            for line in response.iter_lines():
                lines += line.startswith("data: ")
                if lines == after:
                    break


@then("no engine ran all of its {tokens:d} tokens")
def not_all(context: Any, tokens: int) -> None:
    for name, node in context.deployment.nodes.items():
        if not node.plan.service:
            steps = len(context.deployment.tally(name)["steps"])
            assert steps < tokens, f"{name} ran {steps} positions"


def set_step(context: Any, seconds: float) -> None:
    for name, node in context.deployment.nodes.items():
        if not node.plan.service:
            context.deployment.fault(name, step_s=seconds)


@given("the engines take {seconds:g} seconds for a step")
def slow_engines(context: Any, seconds: float) -> None:
    set_step(context, seconds)


@when("the engines are fast again")
def fast_engines(context: Any) -> None:
    set_step(context, 0.005)


@when("an answer of {tokens:d} tokens is asked for within {seconds:g} seconds")
def ask_within(context: Any, tokens: int, seconds: float) -> None:
    context.tokens = tokens
    headers = {"x-deadline-seconds": str(seconds)}
    body = ask("Late notice", tokens, stream=False)
    with context.deployment.client() as client:
        context.answer = client.post("/v1/chat/completions", json=body, headers=headers)


@then('the answer is refused as {reason} with ran "{ran}"')
def refused(context: Any, reason: str, ran: str) -> None:
    body = context.answer.json()
    assert (body["reason"], body["ran"]) == (reason, ran), body
    assert float(context.answer.headers["retry-after"]) > 0


@then("it is that of the reference model")
def one_expected(context: Any) -> None:
    assert context.answer.status_code == 200, context.answer.text
    text = context.answer.json()["choices"][0]["message"]["content"]
    assert text == expected("Late notice", context.tokens)


@when(
    "entry host {number:d} is killed after {after:d} tokens of an answer of {tokens:d}"
)
def kill_entry(context: Any, number: int, after: int, tokens: int) -> None:
    deployment: Deployment = context.deployment
    name = f"entry-{number}"
    context.cut = None
    with deployment.client(name) as client:
        body = ask("A long notice", tokens, stream=True)
        try:
            read_stream(client, body, {after: lambda: deployment.kill(name)})
        except httpx.HTTPError as exc:
            context.cut = exc


@then("the caller's stream has no end")
def stream_cut_off(context: Any) -> None:
    assert context.cut is not None, "the stream ended as if it were whole"
