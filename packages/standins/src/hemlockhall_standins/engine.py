"""Stand-in for a model engine that holds a range of layers.

The model is arithmetic: each layer of a position mixes its input with the
state that the layer kept from the position before, its KV cache. A skipped,
repeated or swapped layer or token therefore changes the answer.
"""

from __future__ import annotations

import base64
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import anyio

from hemlockhall_standins.web import App, Fault, Faults, Request, Response

PRIME = (1 << 61) - 1
VOCABULARY = 50_000
STOP_TOKEN = 7
BLOCK = 16


@dataclass
class EngineFaults(Faults):
    """Faults of an engine, and the simulated time of a step.

    A step takes ``step_s`` and ``token_layer_s`` for each token and layer.
    ``dead_after`` ends the process after so many steps.
    """

    step_s: float = 0.002
    token_layer_s: float = 0.0
    ignores_fencing: bool = False
    lag_s: float = 1.0
    event_gap: int = 0
    max_blocks: int = 4096


@dataclass
class Cache:
    """The KV cache of one request: layer states after each position."""

    attempt: int
    states: list[list[int]] = field(default_factory=list)


@dataclass
class Step:
    """One entry of the log that the checker reads."""

    request: str
    attempt: int
    position: int
    first: int
    last: int


def tokenise(text: str) -> list[int]:
    """Return the token ids of a prompt: one for each word."""
    return [hash_text(word) for word in text.split()] or [1]


def hash_text(text: str) -> int:
    """Return a stable token id for a word."""
    value = 0
    for char in text:
        value = (value * 257 + ord(char)) % PRIME
    return value % VOCABULARY


def word(token: int) -> str:
    """Return the text of a token."""
    return f"w{token} "


def run_layers(state: list[int], value: int, first: int, last: int) -> tuple:
    """Run layers on one position; return the new state and the output."""
    new = []
    for layer in range(first, last):
        before = state[layer - first]
        value = (value * 6364136223846793005 + before * 31 + layer + 1) % PRIME
        new.append((before * 1442695040888963407 + value) % PRIME)
    return new, value


class Engine:
    """Holds layers ``first`` up to ``last`` of a model."""

    def __init__(self, first: int, last: int, faults: EngineFaults) -> None:
        self.first = first
        self.last = last
        self.faults = faults
        self.caches: dict[str, Cache] = {}
        self.log: list[Step] = []
        self.fencing = 0
        self.orders: list[dict[str, Any]] = []
        self.refused = 0
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[dict[str, Any]] = []
        self.busy_s = 0.0
        self.step_count = 0
        self._accelerator = anyio.Lock()
        self._reports: list[tuple[float, int]] = [(0.0, 0)]

    def app(self) -> App:
        """Return the HTTP interface."""
        app = App(self.faults)
        app.route("POST", "/v1/steps")(self._steps)
        app.route("POST", "/v1/cancel")(self._cancel)
        app.route("GET", "/v1/kv/(.+)")(self._export)
        app.route("PUT", "/v1/kv/(.+)")(self._import)
        app.route("POST", "/v1/orders")(self._order)
        app.route("GET", "/v1/load")(self._load)
        app.route("GET", "/v1/events")(self._events)
        app.route("GET", "/tally")(self._tally)
        return app

    async def _steps(self, req: Request) -> Response:
        items = sorted(req.json()["items"], key=lambda item: item["rank"])
        results = []
        tokens = 0
        for item in items:
            result = self._run(item)
            tokens += len(result.get("activations", ()))
            results.append(result)
        layers = self.last - self.first
        cost = self.faults.step_s + self.faults.token_layer_s * tokens * layers
        async with self._accelerator:
            await anyio.sleep(cost)
        self.busy_s += cost
        self.step_count += 1
        self._reports.append((time.monotonic(), len(self.caches)))
        return Response({"results": results})

    def _run(self, item: dict[str, Any]) -> dict[str, Any]:
        """Append the item's positions to its cache; refuse a repeat or gap."""
        request, attempt = item["request"], item["attempt"]
        position = item["position"]
        cache = self.caches.get(request)
        if cache is None:
            cache = self.caches[request] = Cache(attempt)
        answer: dict[str, Any] = {"request": request, "attempt": attempt}
        if attempt < cache.attempt:
            return {**answer, "error": "superseded"}
        if attempt > cache.attempt:
            cache.attempt = attempt
            del cache.states[position:]
        if position != len(cache.states):
            return {**answer, "error": "repeat or gap"}
        values, prompt_length = self._inputs(item, position)
        outputs = []
        for value in values:
            outputs.append(self._append(cache, request, value))
        answer["position"] = position
        answer["prompt_length"] = prompt_length
        answer["activations"] = [_pack(value) for value in outputs]
        if item["sample"]:
            known = position + len(values) - prompt_length + 1
            answer["token"] = self._sample(outputs[-1], item, known)
        return answer

    def _inputs(self, item: dict[str, Any], position: int) -> tuple[list[int], int]:
        if "activations" in item:
            values = [_unpack(text) for text in item["activations"]]
            return values, item["prompt_length"]
        if item.get("text") is None:
            return list(item["tokens"]), item["prompt_length"]
        prompt = tokenise(item["text"])
        self._note_blocks(prompt)
        adapter = hash_text(item["adapter"])
        whole = [token + adapter for token in prompt] + item["tokens"]
        return whole[position:], len(prompt)

    def _append(self, cache: Cache, request: str, value: int) -> int:
        layers = self.last - self.first
        state = cache.states[-1] if cache.states else [0] * layers
        new, value = run_layers(state, value, self.first, self.last)
        position = len(cache.states)
        self.log.append(Step(request, cache.attempt, position, self.first, self.last))
        cache.states.append(new)
        return value

    def _sample(self, value: int, item: dict[str, Any], known: int) -> dict[str, Any]:
        token = (value + item["seed"]) % VOCABULARY
        end = known >= item["max_tokens"]
        finish = "stop" if token == STOP_TOKEN else "length" if end else ""
        return {"id": token, "text": word(token), "finish": finish}

    def _note_blocks(self, prompt: list[int]) -> None:
        """Keep the prompt's blocks in the prefix cache, the oldest leave."""
        value = 0
        for start in range(0, len(prompt) - BLOCK + 1, BLOCK):
            value = hash((value, tuple(prompt[start : start + BLOCK])))
            if value not in self.blocks:
                self.events.append({"kind": "stored", "block": value})
            self.blocks[value] = None
            self.blocks.move_to_end(value)
        while len(self.blocks) > self.faults.max_blocks:
            old, _ = self.blocks.popitem(last=False)
            self.events.append({"kind": "removed", "block": old})

    async def _cancel(self, req: Request) -> Response:
        asked = req.json()
        if asked["everything"]:
            self.caches.clear()
        for request in asked["requests"]:
            self.caches.pop(request, None)
        return Response({})

    async def _export(self, req: Request) -> Response:
        cache = self.caches.get(req.groups[0])
        if cache is None:
            raise Fault(Response({"error": "no such request"}, 404))
        return Response({"attempt": cache.attempt, "states": cache.states})

    async def _import(self, req: Request) -> Response:
        asked = req.json()
        self.caches[req.groups[0]] = Cache(asked["attempt"], asked["states"])
        return Response({"positions": len(asked["states"])})

    async def _order(self, req: Request) -> Response:
        order = req.json()
        if order["fencing"] < self.fencing and not self.faults.ignores_fencing:
            self.refused += 1
            return Response({"error": "old fencing number"}, 409)
        self.fencing = max(self.fencing, order["fencing"])
        self.orders.append(order)
        if order["kind"] == "load":
            self.first, self.last = order["layers"]
            self.caches.clear()
        return Response({})

    async def _load(self, req: Request) -> Response:
        limit = time.monotonic() - self.faults.lag_s
        shown = [load for at, load in self._reports if at <= limit]
        return Response({"requests": shown[-1] if shown else 0})

    async def _events(self, req: Request) -> Response:
        after = int(req.query.get("after", "0"))
        events = self.events[after:]
        if self.faults.event_gap:
            events = events[self.faults.event_gap :]
        return Response({"events": events, "next": len(self.events)})

    async def _tally(self, req: Request) -> Response:
        steps = [[s.request, s.attempt, s.position, s.first, s.last] for s in self.log]
        return Response(
            {
                "steps": steps,
                "busy_s": self.busy_s,
                "step_count": self.step_count,
                "open": sorted(self.caches),
                "orders": self.orders,
                "refused": self.refused,
                "layers": [self.first, self.last],
            }
        )


def reference_answer(text: str, max_tokens: int, layers: int, seed: int = 0) -> str:
    """Return the model's answer, computed by one loop without any stages."""
    adapter = hash_text("")
    inputs = [token + adapter for token in tokenise(text)]
    state = [0] * layers
    answer = ""
    for count in range(1, max_tokens + 1):
        for value in inputs:
            state, value = run_layers(state, value, 0, layers)
        token = (value + seed) % VOCABULARY
        answer += word(token)
        if token == STOP_TOKEN or count == max_tokens:
            break
        inputs = [token]
    return answer


def _pack(value: int) -> str:
    return base64.b64encode(value.to_bytes(8, "big")).decode()


def _unpack(text: str) -> int:
    return int.from_bytes(base64.b64decode(text), "big")


__all__ = [
    "Engine",
    "EngineFaults",
    "reference_answer",
    "run_layers",
    "tokenise",
    "word",
]
