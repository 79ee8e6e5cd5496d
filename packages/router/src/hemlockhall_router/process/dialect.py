"""Interface to a platform: header names, formats and control API calls.

A dialect is the adapter of the router to one platform.
"""

from __future__ import annotations

import importlib
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from hemlockhall_router.connection.decoding import DecodeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.message import (
        Headers,
        RequestHead,
        ResponseHead,
    )
    from hemlockhall_router.process.store import Store
    from hemlockhall_router.version.endpoint import (
        Endpoint,
        EndpointReport,
        EndpointStatement,
        LayerRange,
    )
    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import RoutingConfig


# Segments of a prompt in one log line, and characters of each: callers choose both.
MAX_LOGGED_SEGMENTS = 8
MAX_LOGGED_SEGMENT_CHARS = 40


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names of HTTP headers, in lower case.

    In requests, ``request_id`` identifies a request and is echoed by endpoints.
    ``deadline_ms`` is the time that is left for the request, in milliseconds.
    ``api_key`` is the caller's, and ``customer`` the name of the customer it belongs
    to. ``expected_endpoint`` is the id of the endpoint that the request is sent to, and
    ``path`` the encoded path. ``resume_after`` is the id of the last event that the
    caller has. ``priority`` is the priority of the request, from 0, the most urgent, to
    9; it is sent where overload control applies and priorities differ, and a caller's
    own is removed. An endpoint treats a request without it as priority 5.
    ``endpoint_id`` is not used by the router.

    In responses, ``not_executed`` marks those to requests that were not executed.
    ``signature`` only marks a response as sent by an endpoint, and is not verified.
    ``failed_endpoint`` names the endpoint on the path that refused or failed the
    request.
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
    """An HTTP request of this host to an endpoint's control API."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class TokenCounts:
    """Number of prompt tokens and maximum number of output tokens."""

    prompt: int
    max_output: int


@dataclass(slots=True, frozen=True)
class PromptSegments:
    """The segments that a request states its prompt to consist of, by id.

    Prompts of other requests may have ``shared`` segments too; ``own`` belongs to the
    request or its session, and is empty if the request states none.
    """

    shared: tuple[str, ...] = ()
    own: str = ""

    @property
    def logged(self) -> list[str]:
        """The first shared segments, shortened for a log line."""
        return [
            segment[:MAX_LOGGED_SEGMENT_CHARS]
            for segment in self.shared[:MAX_LOGGED_SEGMENTS]
        ]


class Dialect(ABC):
    """Names and formats of one platform; holds no routing logic.

    ``ready_path`` is the URL path of this host's readiness check.
    """

    headers: HeaderNames
    ready_path: bytes

    @abstractmethod
    def open_store(self, address: str) -> Store:
        """Return a client of the store at ``address``, an IP address and a port."""

    @abstractmethod
    def decode_routing(self, key: str, value: bytes) -> RoutingConfig | None:
        """Decode a row of the routing table; None if it holds no configuration.

        Raises
        ------
        DecodeError
            If the row is invalid. The configuration in force then stays.
        """

    @abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> Endpoint | None:
        """Decode a row of the endpoint table; None, to ignore it, if it is invalid."""

    @abstractmethod
    def decode_token_counts(self, head: RequestHead) -> TokenCounts | None:
        """Return the token counts that a request states, or None."""

    @abstractmethod
    def decode_prompt_segments(self, head: RequestHead) -> PromptSegments:
        """Return the segments of the prompt that a request states.

        Entries that cannot be decoded are left out.
        """

    @abstractmethod
    def decode_statement(self, head: ResponseHead) -> EndpointStatement:
        """Return what a response says about the endpoint that sent it.

        A value that cannot be decoded counts as not stated, and ``errors`` tells which
        value the endpoint should send.
        """

    @abstractmethod
    def encode_path(self, path: Path) -> bytes:
        """Encode a path as a header value."""

    @abstractmethod
    def report_call(self) -> EndpointCall:
        """Return the call that requests an endpoint's report."""

    @abstractmethod
    def decode_report(self, body: bytes) -> EndpointReport:
        """Decode the response to ``report_call``, or raise ``DecodeError``."""

    @abstractmethod
    def assign_layers_call(
        self, layers: LayerRange, order_count: int, fence: int, *, immediate: bool
    ) -> EndpointCall:
        """Return the order that assigns layers to an endpoint.

        ``fence`` is the fencing token of the planning lease, or 0 without the lease.
        The endpoint refuses the order unless it has begun ``order_count`` orders so
        far. Requests that run on layers which it no longer has finish first, unless
        ``immediate`` is true.
        """

    @abstractmethod
    def reroute_call(self, request_id: bytes, path: Path) -> EndpointCall:
        """Return the call that moves a running request to another path."""


DIALECTS: dict[str, type[Dialect]] = {}

D = TypeVar("D", bound=type[Dialect])


def dialect(name: str) -> Callable[[D], D]:
    """Register a dialect under the name used in the settings file."""

    def register(cls: D) -> D:
        DIALECTS[name] = cls
        return cls

    return register


def load_dialect(name: str, module: str) -> Dialect:
    """Import ``module`` and return the dialect that it registers as ``name``."""
    importlib.import_module(module)
    return DIALECTS[name]()


__all__ = [
    "DIALECTS",
    "DecodeError",
    "Dialect",
    "EndpointCall",
    "HeaderNames",
    "PromptSegments",
    "TokenCounts",
    "dialect",
    "load_dialect",
]
