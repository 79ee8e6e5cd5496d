"""Simulated model engine that holds a range of layers.

The model is integer arithmetic: at each position a layer combines its input with
its state after the previous position, which is its KV cache. A skipped, repeated or
swapped layer or token therefore changes the output.
"""

from __future__ import annotations

import base64
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import anyio

from hemlockhall_standins.web import App, Faults, Request, Response, ResponseError

PRIME = (1 << 61) - 1
VOCABULARY = 50_000
STOP_TOKEN = 7
BLOCK_TOKENS = 16


@dataclass
class EngineFaults(Faults):
    """Faults of an engine, and the simulated time of a step.

    A step takes ``step_s``, plus ``token_layer_s`` for each token and layer.
    ``ignores_fencing`` accepts orders with an old fencing number. The reported load
    is ``lag_s`` old. ``event_gap`` is the number of events that a read of the block
    events misses, and ``max_blocks`` the size of the prefix cache.
    """

    step_s: float = 0.002
    token_layer_s: float = 0.0
    ignores_fencing: bool = False
    lag_s: float = 1.0
    event_gap: int = 0
    max_blocks: int = 4096


@dataclass
class KVCache:
    """KV cache of one request: the states of all layers after each position."""

    attempt: int
    states: list[list[int]] = field(default_factory=list)


@dataclass
class StepRecord:
    """One position that the engine ran, for checks by tests."""

    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int


def tokenise(text: str) -> list[int]:
    """Return the token ids of a prompt, one per word and at least one."""
    return [hash_text(word) for word in text.split()] or [1]


def hash_text(text: str) -> int:
    """Return a stable token id for a word."""
    value = 0
    for char in text:
        value = (value * 257 + ord(char)) % PRIME
    return value % VOCABULARY


def token_text(token: int) -> str:
    """Return the text of a token."""
    return f"w{token} "


def run_layers(state: list[int], value: int, first_layer: int, end_layer: int) -> tuple:
    """Run layers on one position; return their new states and the output."""
    new = []
    for layer in range(first_layer, end_layer):
        before = state[layer - first_layer]
        value = (value * 6364136223846793005 + before * 31 + layer + 1) % PRIME
        new.append((before * 1442695040888963407 + value) % PRIME)
    return new, value


class Engine:
    """Engine with the layers from ``first_layer`` up to ``end_layer``, exclusive."""

    def __init__(self, first_layer: int, end_layer: int, faults: EngineFaults) -> None:
        self.first_layer = first_layer
        self.end_layer = end_layer
        self.faults = faults
        self.caches: dict[str, KVCache] = {}
        self.step_records: list[StepRecord] = []
        self.highest_fence = 0
        self.orders: list[dict[str, Any]] = []
        self.refused_orders = 0
        self.prefix_blocks: OrderedDict[int, None] = OrderedDict()
        self.block_events: list[dict[str, Any]] = []
        self.busy_s = 0.0
        self.step_count = 0
        self._accelerator = anyio.Lock()
        self._load_history: list[tuple[float, int]] = [(0.0, 0)]

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
            result = self._run_item(item)
            tokens += len(result.get("activations", ()))
            results.append(result)
        layers = self.end_layer - self.first_layer
        step_time_s = self.faults.step_s + self.faults.token_layer_s * tokens * layers
        async with self._accelerator:
            await anyio.sleep(step_time_s)
        self.busy_s += step_time_s
        self.step_count += 1
        self._load_history.append((time.monotonic(), len(self.caches)))
        return Response({"results": results})

    def _run_item(self, item: dict[str, Any]) -> dict[str, Any]:
        """Append the positions of an item to its cache; refuse a repeat or a gap."""
        request, attempt = item["request"], item["attempt"]
        position = item["position"]
        cache = self.caches.get(request)
        if cache is None:
            cache = self.caches[request] = KVCache(attempt)
        result: dict[str, Any] = {"request": request, "attempt": attempt}
        if attempt < cache.attempt:
            return {**result, "error": "superseded"}
        if attempt > cache.attempt:
            cache.attempt = attempt
            del cache.states[position:]
        if position != len(cache.states):
            return {**result, "error": "repeat or gap"}
        values, prompt_length = self._inputs(item, position)
        outputs = []
        for value in values:
            outputs.append(self._append(cache, request, value))
        result["position"] = position
        result["prompt_length"] = prompt_length
        result["activations"] = [_pack(value) for value in outputs]
        if item["sample"]:
            token_number = position + len(values) - prompt_length + 1
            result["token"] = self._sample(outputs[-1], item, token_number)
        return result

    def _inputs(self, item: dict[str, Any], position: int) -> tuple[list[int], int]:
        if "activations" in item:
            values = [_unpack(text) for text in item["activations"]]
            return values, item["prompt_length"]
        if item.get("text") is None:
            return list(item["tokens"]), item["prompt_length"]
        prompt = tokenise(item["text"])
        self._store_prefix_blocks(prompt)
        adapter = hash_text(item["adapter"])
        tokens = [token + adapter for token in prompt] + item["tokens"]
        return tokens[position:], len(prompt)

    def _append(self, cache: KVCache, request: str, value: int) -> int:
        layers = self.end_layer - self.first_layer
        state = cache.states[-1] if cache.states else [0] * layers
        new, value = run_layers(state, value, self.first_layer, self.end_layer)
        position = len(cache.states)
        self.step_records.append(
            StepRecord(
                request, cache.attempt, position, self.first_layer, self.end_layer
            )
        )
        cache.states.append(new)
        return value

    def _sample(
        self, value: int, item: dict[str, Any], token_number: int
    ) -> dict[str, Any]:
        token = (value + item["seed"]) % VOCABULARY
        end = token_number >= item["max_tokens"]
        finish = "stop" if token == STOP_TOKEN else "length" if end else ""
        return {"id": token, "text": token_text(token), "finish": finish}

    def _store_prefix_blocks(self, prompt: list[int]) -> None:
        """Add the blocks of a prompt to the prefix cache; evict the least recent."""
        value = 0
        for start in range(0, len(prompt) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
            value = hash((value, tuple(prompt[start : start + BLOCK_TOKENS])))
            if value not in self.prefix_blocks:
                self.block_events.append({"kind": "stored", "block": value})
            self.prefix_blocks[value] = None
            self.prefix_blocks.move_to_end(value)
        while len(self.prefix_blocks) > self.faults.max_blocks:
            block, _ = self.prefix_blocks.popitem(last=False)
            self.block_events.append({"kind": "removed", "block": block})

    async def _cancel(self, req: Request) -> Response:
        body = req.json()
        if body["everything"]:
            self.caches.clear()
        for request in body["requests"]:
            self.caches.pop(request, None)
        return Response({})

    async def _export(self, req: Request) -> Response:
        cache = self.caches.get(req.groups[0])
        if cache is None:
            raise ResponseError(Response({"error": "no such request"}, 404))
        return Response({"attempt": cache.attempt, "states": cache.states})

    async def _import(self, req: Request) -> Response:
        body = req.json()
        self.caches[req.groups[0]] = KVCache(body["attempt"], body["states"])
        return Response({"positions": len(body["states"])})

    async def _order(self, req: Request) -> Response:
        order = req.json()
        if order["fencing"] < self.highest_fence and not self.faults.ignores_fencing:
            self.refused_orders += 1
            return Response({"error": "old fencing number"}, 409)
        self.highest_fence = max(self.highest_fence, order["fencing"])
        self.orders.append(order)
        if order["kind"] == "load":
            self.first_layer, self.end_layer = order["layers"]
            self.caches.clear()
        return Response({})

    async def _load(self, req: Request) -> Response:
        shown_until = time.monotonic() - self.faults.lag_s
        visible = [load for at, load in self._load_history if at <= shown_until]
        return Response({"requests": visible[-1] if visible else 0})

    async def _events(self, req: Request) -> Response:
        after = int(req.query.get("after", "0"))
        events = self.block_events[after:]
        if self.faults.event_gap:
            events = events[self.faults.event_gap :]
        return Response({"events": events, "next": len(self.block_events)})

    async def _tally(self, req: Request) -> Response:
        steps = [
            [s.request, s.attempt, s.position, s.first_layer, s.end_layer]
            for s in self.step_records
        ]
        return Response(
            {
                "steps": steps,
                "busy_s": self.busy_s,
                "step_count": self.step_count,
                "open": sorted(self.caches),
                "orders": self.orders,
                "refused": self.refused_orders,
                "layers": [self.first_layer, self.end_layer],
            }
        )


def reference_text(text: str, max_tokens: int, layers: int, seed: int = 0) -> str:
    """Return the output of the model, computed in one loop without stages."""
    adapter = hash_text("")
    inputs = [token + adapter for token in tokenise(text)]
    state = [0] * layers
    output = ""
    for count in range(1, max_tokens + 1):
        for value in inputs:
            state, value = run_layers(state, value, 0, layers)
        token = (value + seed) % VOCABULARY
        output += token_text(token)
        if token == STOP_TOKEN or count == max_tokens:
            break
        inputs = [token]
    return output


def _pack(value: int) -> str:
    return base64.b64encode(value.to_bytes(8, "big")).decode()


def _unpack(text: str) -> int:
    return int.from_bytes(base64.b64decode(text), "big")


__all__ = [
    "Engine",
    "EngineFaults",
    "reference_text",
    "run_layers",
    "tokenise",
    "token_text",
]
