"""A caller of the system, as demos, tests and benches need one."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from hemlockhall_standins.deployment import MODEL

if TYPE_CHECKING:
    from collections.abc import Callable

    import httpx

CHAT = "/v1/chat/completions"
COMPLETIONS = "/v1/completions"


@dataclass
class Streamed:
    """A streamed answer: its text, and whether it ended as it should.

    ``arrivals`` holds the time of each token, ``error`` the refusal that
    ended the stream.
    """

    text: str = ""
    tokens: int = 0
    done: bool = False
    error: dict[str, Any] | None = None
    arrivals: list[float] = field(default_factory=list)


def ask(
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


def complete(prompt: str, tokens: int) -> dict[str, Any]:
    """Return the body of a streamed plain completion."""
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}


def prompt_text(prompt: str) -> str:
    """Return what the model gets of a chat with one message."""
    return f"user: {prompt}\nassistant:"


async def read_stream_async(
    client: httpx.AsyncClient,
    url: str,
    body: dict[str, Any],
    on_event: Callable[[], None] | None = None,
    path: str = CHAT,
) -> Streamed:
    """Return an answer, streamed or whole as the body asks for it.

    ``on_event`` is called for each streamed token as it comes.
    """
    streamed = Streamed()
    async with client.stream("POST", url + path, json=body) as response:
        if response.status_code != 200:
            streamed.error = json.loads(await response.aread())
        elif not body["stream"]:
            answer = json.loads(await response.aread())
            streamed.text = answer["choices"][0]["message"]["content"]
            streamed.tokens = answer["usage"]["completion_tokens"]
            streamed.done = True
        else:
            async for line in response.aiter_lines():
                if line.startswith("data: "):
                    _take(streamed, line.removeprefix("data: "))
                    if on_event is not None and not streamed.done:
                        on_event()
    return streamed


def read_stream(
    client: httpx.Client,
    body: dict[str, Any],
    at: dict[int, Callable[[], None]] | None = None,
) -> Streamed:
    """Stream an answer; call ``at[n]`` when token ``n`` has come."""
    streamed = Streamed()
    with client.stream("POST", CHAT, json=body) as response:
        if response.status_code != 200:
            streamed.error = json.loads(response.read())
            return streamed
        for line in response.iter_lines():
            if not line.startswith("data: "):
                continue
            _take(streamed, line.removeprefix("data: "))
            action = (at or {}).get(streamed.tokens)
            if action is not None and not streamed.done:
                action()
    return streamed


def _take(streamed: Streamed, data: str) -> None:
    if data == "[DONE]":
        streamed.done = True
        return
    event = json.loads(data)
    if "error" in event:
        streamed.error = event["error"]
        return
    choice = event["choices"][0]
    streamed.text += choice["delta"]["content"] if "delta" in choice else choice["text"]
    streamed.tokens += 1
    streamed.arrivals.append(time.monotonic())


__all__ = [
    "CHAT",
    "COMPLETIONS",
    "Streamed",
    "ask",
    "complete",
    "prompt_text",
    "read_stream",
    "read_stream_async",
]
