"""How callers, endpoints and the store are spoken to."""

from __future__ import annotations

import importlib
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.message import Headers, RequestHead
    from hemlockhall_router.process.store import Store
    from hemlockhall_router.version.endpoint import Endpoint, EndpointReport, LayerRange
    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import RoutingConfig


class DecodeError(Exception):
    """Bytes that do not say what they should; the text tells the place."""


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names of headers, in lower case.

    ``request_id`` names a caller's attempt and is echoed by endpoints.
    ``not_executed`` stands in answers to requests that did not run. ``signature``
    proves that an answer is an endpoint's. ``failed_endpoint`` names the endpoint on
    a path that failed it.
    """

    request_id: bytes
    deadline_ms: bytes
    api_key: bytes
    customer: bytes
    expected_endpoint: bytes
    endpoint_id: bytes
    not_executed: bytes
    signature: bytes
    path: bytes
    failed_endpoint: bytes
    resume_after: bytes
    priority: bytes


@dataclass(slots=True, frozen=True)
class EndpointCall:
    """A call of this host to an endpoint's own interface."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class TokenCounts:
    """Sizes of a generation: prompt tokens and most output tokens."""

    prompt: int
    max_output: int


class Dialect(ABC):
    """Names, formats and calls; nothing here decides anything."""

    headers: HeaderNames
    ready_path: bytes

    @abstractmethod
    def open_store(self, address: str) -> Store:
        """Return the store at an address."""

    @abstractmethod
    def decode_routing(self, key: str, value: bytes) -> RoutingConfig | None:
        """Decode a row of the routing table; None if it holds none."""

    @abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> Endpoint | None:
        """Decode a row of the endpoint table; None if it names no endpoint."""

    @abstractmethod
    def decode_token_counts(self, head: RequestHead) -> TokenCounts | None:
        """Return the sizes that a request for a generation states."""

    @abstractmethod
    def encode_path(self, path: Path) -> bytes:
        """Encode a path for its header."""

    @abstractmethod
    def report_call(self) -> EndpointCall:
        """Return the call that asks an endpoint for its state."""

    @abstractmethod
    def decode_report(self, body: bytes) -> EndpointReport:
        """Decode the answer to ``report_call``; raise ``DecodeError``."""

    @abstractmethod
    def assign_layers_call(
        self, layers: LayerRange, orders: int, fence: int, *, immediate: bool
    ) -> EndpointCall:
        """Return the order to hold layers if ``orders`` were begun so far.

        Layers that are given up serve what runs on them to its end, unless
        they are given up ``immediate``.
        """

    @abstractmethod
    def reroute_call(self, request_id: bytes, path: Path) -> EndpointCall:
        """Return the order to move a running request to another path."""


DIALECTS: dict[str, type[Dialect]] = {}

D = TypeVar("D", bound=type[Dialect])


def dialect(name: str) -> Callable[[D], D]:
    """Register a dialect under the name that settings use."""

    def add(kind: D) -> D:
        DIALECTS[name] = kind
        return kind

    return add


def load_dialect(name: str, module: str) -> Dialect:
    """Return the dialect ``name`` that ``module`` registers."""
    importlib.import_module(module)
    return DIALECTS[name]()


__all__ = [
    "DIALECTS",
    "EndpointCall",
    "DecodeError",
    "Dialect",
    "HeaderNames",
    "TokenCounts",
    "dialect",
    "load_dialect",
]
