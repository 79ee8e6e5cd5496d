"""Steps of the caller feature."""

from __future__ import annotations

from typing import Any

import anyio
import httpx
from behave import given, then, when

from hemlockhall_standins.caller import (
    StreamResult,
    chat_body,
    prompt_text,
    read_response_async,
    read_stream,
)
from hemlockhall_standins.deployment import API_KEY, LAYERS, Deployment
from hemlockhall_standins.engine import reference_text

CUT_INTERVAL_S = 0.3
CUT_COUNT = 5


def expected(prompt: str, tokens: int) -> str:
    """Return the reference output for a prompt."""
    return reference_text(prompt_text(prompt), tokens, LAYERS)


async def disrupt_connections(deployment: Deployment, how: str) -> None:
    """Close or black-hole the connections of all proxies, several times.

    ``how`` is ``cut`` or ``silence``. No connection to a proxy's admin address is
    reused: the proxy may close an idle one just as the next call is sent, which
    would fail the scenario for no fault of the system.
    """
    limits = httpx.Limits(max_keepalive_connections=0)
    async with httpx.AsyncClient(limits=limits) as client:
        for _ in range(CUT_COUNT):
            await anyio.sleep(CUT_INTERVAL_S)
            for name in deployment.proxied:
                await client.post(f"{deployment.standin_url(f'{name}/link')}/{how}")


async def stream_many(
    deployment: Deployment, count: int, tokens: int, how: str, *, stream: bool
) -> dict[str, StreamResult]:
    """Return the responses to many concurrent requests, by prompt."""
    responses: dict[str, StreamResult] = {}
    urls = list(deployment.urls.values())
    headers = {"authorization": f"Bearer {API_KEY}"}
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(headers=headers, timeout=90, limits=limits) as client:

        async def send_request(number: int) -> None:
            prompt = f"Notice {number} for the organ of parish {number * 7}"
            body = chat_body(prompt, tokens, stream=stream)
            url = urls[number % len(urls)]
            responses[prompt] = await read_response_async(client, url, body)

        async with anyio.create_task_group() as group:
            group.start_soon(disrupt_connections, deployment, how)
            for number in range(count):
                group.start_soon(send_request, number)
    return responses


@when(
    "{count:d} callers stream responses of {tokens:d} tokens while connections are cut"
)
def stream_cut(context: Any, count: int, tokens: int) -> None:
    context.tokens = tokens
    context.responses = anyio.run(
        lambda: stream_many(context.deployment, count, tokens, "cut", stream=True)
    )


@when(
    "{count:d} callers ask for complete responses of {tokens:d} tokens while "
    "connections go silent"
)
def complete_silent(context: Any, count: int, tokens: int) -> None:
    context.tokens = tokens
    context.responses = anyio.run(
        lambda: stream_many(context.deployment, count, tokens, "silence", stream=False)
    )


@then("each response is that of the reference model")
def all_expected(context: Any) -> None:
    for prompt, result in context.responses.items():
        assert result.done, f"{prompt}: {result.error}"
        assert result.text == expected(prompt, context.tokens), prompt


@when("a caller disconnects after {after:d} tokens of {tokens:d}")
def disconnect(context: Any, after: int, tokens: int) -> None:
    body = chat_body("A long notice", tokens, stream=True)
    with context.deployment.client() as client:
        with client.stream("POST", "/v1/chat/completions", json=body) as response:
            lines = 0
            for line in response.iter_lines():
                lines += line.startswith("data: ")
                if lines == after:
                    break


@then("no engine ran all of its {tokens:d} tokens")
def not_all(context: Any, tokens: int) -> None:
    for name, endpoint in context.deployment.endpoints.items():
        if not endpoint.spec.service:
            steps = len(context.deployment.tally(name)["steps"])
            assert steps < tokens, f"{name} ran {steps} positions"


def set_step(context: Any, seconds: float) -> None:
    for name, endpoint in context.deployment.endpoints.items():
        if not endpoint.spec.service:
            context.deployment.set_faults(name, step_s=seconds)


@given("the engines take {seconds:g} seconds for a step")
def slow_engines(context: Any, seconds: float) -> None:
    set_step(context, seconds)


@when("the engines are fast again")
def fast_engines(context: Any) -> None:
    set_step(context, 0.005)


@when("a response of {tokens:d} tokens is asked for within {seconds:g} seconds")
def ask_within(context: Any, tokens: int, seconds: float) -> None:
    context.tokens = tokens
    headers = {"x-deadline-seconds": str(seconds)}
    body = chat_body("Late notice", tokens, stream=False)
    with context.deployment.client() as client:
        context.response = client.post(
            "/v1/chat/completions", json=body, headers=headers
        )


@then('the response is refused as {reason} with ran "{ran}"')
def refused(context: Any, reason: str, ran: str) -> None:
    body = context.response.json()
    assert (body["reason"], body["ran"]) == (reason, ran), body
    assert float(context.response.headers["retry-after"]) > 0


@then("it is that of the reference model")
def one_expected(context: Any) -> None:
    assert context.response.status_code == 200, context.response.text
    text = context.response.json()["choices"][0]["message"]["content"]
    assert text == expected("Late notice", context.tokens)


@when(
    "entry host {number:d} is killed after {after:d} tokens of a response of {tokens:d}"
)
def kill_entry(context: Any, number: int, after: int, tokens: int) -> None:
    deployment: Deployment = context.deployment
    name = f"entry-{number}"
    context.stream_error = None
    with deployment.client(name) as client:
        body = chat_body("A long notice", tokens, stream=True)
        try:
            read_stream(client, body, {after: lambda: deployment.kill(name)})
        except httpx.HTTPError as exc:
            context.stream_error = exc


@then("the caller's stream breaks off")
def stream_broke_off(context: Any) -> None:
    assert context.stream_error is not None, "the stream ended as if it were complete"
