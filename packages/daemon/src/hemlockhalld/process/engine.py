"""Client of a model engine, over its HTTP interface."""

from __future__ import annotations

import httpx
import msgspec


class EngineError(Exception):
    """The engine did not answer; its KV cache must be taken for lost."""


class StepItem(msgspec.Struct, omit_defaults=True):
    """Work for one request in a step: positions from ``position`` on.

    The first stage gives ``text`` (the whole prompt) or ``tokens``, later
    ones give ``activations``. With ``sample`` the engine samples a token
    after the last position.
    """

    request: str
    attempt: int
    position: int
    rank: int
    seed: int
    max_tokens: int
    adapter: str
    sample: bool
    prompt_length: int | msgspec.UnsetType = msgspec.UNSET
    text: str | None = None
    tokens: list[int] | msgspec.UnsetType = msgspec.UNSET
    activations: list[bytes] | msgspec.UnsetType = msgspec.UNSET


class StepBatch(msgspec.Struct):
    """One batch of work."""

    items: list[StepItem]


class SampledToken(msgspec.Struct):
    """A sampled token; ``finish`` is not empty on the last one."""

    id: int
    text: str
    finish: str


class StepResult(msgspec.Struct):
    """What a step did for one request, or the error that kept it from it."""

    request: str
    attempt: int
    error: str = ""
    position: int = 0
    prompt_length: int = 0
    activations: list[bytes] = []
    token: SampledToken | None = None


class StepResults(msgspec.Struct):
    """Results of one batch."""

    results: list[StepResult]


class CancelRequest(msgspec.Struct):
    """Requests whose KV cache is not needed any more, or all there are."""

    requests: list[str]
    everything: bool = False


class EngineClient:
    """The model engine that a side process runs beside.

    Parameters
    ----------
    url : str
        Where the engine listens.
    timeout : float
        Seconds after which a step is given up.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=timeout_s)

    async def run_steps(self, items: list[StepItem]) -> list[StepResult]:
        """Run a batch; raise :class:`EngineError` without an answer."""
        data = await self._post("/v1/steps", msgspec.json.encode(StepBatch(items)))
        try:
            return msgspec.json.decode(data, type=StepResults).results
        except msgspec.MsgspecError as exc:
            raise EngineError(f"not an answer of an engine: {exc}") from exc

    async def cancel(self, requests: list[str]) -> None:
        """Free the slots of requests."""
        await self._post("/v1/cancel", msgspec.json.encode(CancelRequest(requests)))

    async def reset(self) -> None:
        """Free all slots; raise :class:`EngineError` without an answer."""
        cancel = CancelRequest([], everything=True)
        await self._post("/v1/cancel", msgspec.json.encode(cancel))

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _post(self, path: str, content: bytes) -> bytes:
        try:
            response = await self._client.post(path, content=content)
        except httpx.HTTPError as exc:
            raise EngineError(f"no answer from the engine: {exc!r}") from exc
        if response.status_code != httpx.codes.OK:
            raise EngineError(f"the engine answered {response.status_code}")
        return response.content


__all__ = [
    "EngineClient",
    "EngineError",
    "StepItem",
    "StepResult",
    "SampledToken",
]
