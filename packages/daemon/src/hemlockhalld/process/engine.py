"""HTTP client of a model engine."""

from __future__ import annotations

import httpx
import msgspec

from hemlockhall_core.connection.decoding import DecodeError, decoding
from hemlockhall_core.connection.transport import BoundedTransport


class EngineError(Exception):
    """The engine gave no valid response; its KV cache must be assumed lost.

    An error of one request in a valid response is in ``StepResult.error``.
    """


class StepItem(msgspec.Struct, omit_defaults=True):
    """Input of one request in a step: the positions from ``position`` on.

    The first stage passes ``text`` (the whole prompt) and the known ``tokens``, then
    only ``tokens``; later stages pass ``activations``. ``prompt_length`` in tokens is
    unset with ``text``. With ``sample`` the engine samples a token after the last
    position.
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
    """Body of a step: the batch of requests that it runs."""

    items: list[StepItem]


class SampledToken(msgspec.Struct):
    """A sampled token; ``finish`` is the finish reason of the last, else empty."""

    id: int
    text: str
    finish: str


class StepResult(msgspec.Struct):
    """Result of a step for one request; ``error`` is empty on success."""

    request: str
    attempt: int
    error: str = ""
    position: int = 0
    prompt_length: int = 0
    activations: list[bytes] = []
    token: SampledToken | None = None


class StepResults(msgspec.Struct):
    """Body of the response to a step."""

    results: list[StepResult]


class CancelRequest(msgspec.Struct):
    """Requests whose KV cache can be freed; ``everything`` frees all."""

    requests: list[str]
    everything: bool = False


class EngineClient:
    """Client of the model engine next to this side process.

    A slot is the place of a request in the engine, with its KV cache.

    Parameters
    ----------
    url : str
        Base URL of the engine.
    timeout_s : float
        Timeout of each request in seconds.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._client = httpx.AsyncClient(
            base_url=url, timeout=timeout_s, transport=BoundedTransport()
        )

    async def run_steps(self, items: list[StepItem]) -> list[StepResult]:
        """Run one batch; raise :class:`EngineError` without a valid response."""
        data = await self._post("/v1/steps", msgspec.json.encode(StepBatch(items)))
        try:
            with decoding("response of the engine"):
                return msgspec.json.decode(data, type=StepResults).results
        except DecodeError as exc:
            raise EngineError(f"invalid response from the engine: {exc}") from exc

    async def cancel(self, requests: list[str]) -> None:
        """Free the slots and the KV cache of requests."""
        await self._post("/v1/cancel", msgspec.json.encode(CancelRequest(requests)))

    async def reset(self) -> None:
        """Free all slots; raise :class:`EngineError` without a valid response."""
        cancel = CancelRequest([], everything=True)
        await self._post("/v1/cancel", msgspec.json.encode(cancel))

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _post(self, path: str, content: bytes) -> bytes:
        try:
            response = await self._client.post(path, content=content)
        except httpx.HTTPError as exc:
            raise EngineError(f"no response from the engine: {exc!r}") from exc
        if response.status_code != httpx.codes.OK:
            raise EngineError(f"status {response.status_code} from the engine")
        return response.content


__all__ = [
    "EngineClient",
    "EngineError",
    "SampledToken",
    "StepItem",
    "StepResult",
]
