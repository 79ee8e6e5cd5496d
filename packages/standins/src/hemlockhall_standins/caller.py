"""Request bodies and response readers of a caller, for demos, tests and benchmarks."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from hemlockhall_standins.deployment import MODEL

if TYPE_CHECKING:
    from collections.abc import Callable

    import httpx

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


@dataclass
class StreamResult:
    """A response as far as it was received.

    ``done`` is set if it is complete. ``error`` is the refusal that came instead of
    a response or ended the stream. ``token_times`` holds the ``time.monotonic()``
    of each streamed token.
    """

    text: str = ""
    tokens: int = 0
    done: bool = False
    error: dict[str, Any] | None = None
    token_times: list[float] = field(default_factory=list)


def chat_body(
    prompt: str, tokens: int, *, stream: bool, model: str = MODEL
) -> dict[str, Any]:
    """Return the body of a chat request."""
    message = {"role": "user", "content": prompt}
    return {
        "model": model,
        "messages": [message],
        "max_tokens": tokens,
        "stream": stream,
    }


def completion_body(prompt: str, tokens: int) -> dict[str, Any]:
    """Return the body of a streamed plain completion."""
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}


def prompt_text(prompt: str) -> str:
    """Return the prompt that the model gets for a chat with one message."""
    return f"user: {prompt}\nassistant:"


async def read_response_async(
    client: httpx.AsyncClient,
    url: str,
    body: dict[str, Any],
    on_event: Callable[[], None] | None = None,
    path: str = CHAT_PATH,
) -> StreamResult:
    """Send a request and return its response, streamed if the body says so.

    ``on_event`` is called for each streamed token when it arrives.
    """
    result = StreamResult()
    async with client.stream("POST", url + path, json=body) as response:
        if response.status_code != 200:
            result.error = json.loads(await response.aread())
        elif not body["stream"]:
            response_body = json.loads(await response.aread())
            result.text = response_body["choices"][0]["message"]["content"]
            result.tokens = response_body["usage"]["completion_tokens"]
            result.done = True
        else:
            async for line in response.aiter_lines():
                if line.startswith("data: "):
                    _add_event(result, line.removeprefix("data: "))
                    if on_event is not None and not result.done:
                        on_event()
    return result


def read_stream(
    client: httpx.Client,
    body: dict[str, Any],
    actions: dict[int, Callable[[], None]] | None = None,
) -> StreamResult:
    """Stream a response; call ``actions[n]`` when token ``n`` has arrived."""
    result = StreamResult()
    with client.stream("POST", CHAT_PATH, json=body) as response:
        if response.status_code != 200:
            result.error = json.loads(response.read())
            return result
        for line in response.iter_lines():
            if not line.startswith("data: "):
                continue
            _add_event(result, line.removeprefix("data: "))
            action = (actions or {}).get(result.tokens)
            if action is not None and not result.done:
                action()
    return result


def _add_event(result: StreamResult, data: str) -> None:
    if data == "[DONE]":
        result.done = True
        return
    event = json.loads(data)
    if "error" in event:
        result.error = event["error"]
        return
    choice = event["choices"][0]
    result.text += choice["delta"]["content"] if "delta" in choice else choice["text"]
    result.tokens += 1
    result.token_times.append(time.monotonic())


__all__ = [
    "CHAT_PATH",
    "COMPLETIONS_PATH",
    "StreamResult",
    "chat_body",
    "completion_body",
    "prompt_text",
    "read_stream",
    "read_response_async",
]
