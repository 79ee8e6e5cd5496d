"""Administrative HTTP interface of each process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from hypercorn.asyncio import serve
from hypercorn.config import Config

from hemlockhall_core.connection.decoding import DecodeError, decoding
from hemlockhall_core.connection.message import DocumentText

if TYPE_CHECKING:
    from hemlockhall_core.process.metric import Metrics
    from hemlockhall_core.process.status import Status

Scope = dict[str, Any]


class ManagedProcess(Protocol):
    """Operations of a process that its administrative interface calls."""

    def not_ready_reason(self) -> str:
        """Return why the process takes no requests; empty if it is ready."""

    def status(self) -> Status:
        """Return the state that ``/status`` reports."""

    def drain(self, name: str) -> bool:
        """Drain this process or an endpoint; return False for an unknown name."""

    def offer_document(self, document: DocumentText) -> None:
        """Adopt an accepted document if its version is higher."""


class Admin:
    """ASGI application of the administrative interface.

    It serves ``/livez``, ``/readyz``, ``/metrics`` and ``/status``, and ``POST`` to
    ``/drain/NAME`` and ``/document``.

    Parameters
    ----------
    metrics : Metrics
        Exported by ``/metrics``.
    process : ManagedProcess
        The process to report on and to drain.
    """

    def __init__(self, metrics: Metrics, process: ManagedProcess) -> None:
        self._metrics = metrics
        self._process = process

    async def __call__(self, scope: Scope, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
            return
        method, path = scope["method"], scope["path"]
        if path == "/livez":
            await send_response(send, 200, b"alive\n")
        elif path == "/readyz":
            reason = self._process.not_ready_reason()
            await send_response(
                send, 503 if reason else 200, (reason or "ready").encode()
            )
        elif path == "/metrics":
            await send_response(
                send, 200, self._metrics.render(), "text/plain; version=0.0.4"
            )
        elif path == "/status":
            body = msgspec.json.encode(self._process.status())
            await send_response(send, 200, body, "application/json")
        elif method == "POST" and path.startswith("/drain/"):
            known = self._process.drain(path.removeprefix("/drain/"))
            text = b"draining\n" if known else b"no such endpoint in the document\n"
            await send_response(send, 202 if known else 404, text)
        elif method == "POST" and path == "/document":
            await self._receive_document(receive, send)
        else:
            await send_response(send, 404, b"no such path\n")

    async def _receive_document(self, receive: Any, send: Any) -> None:
        body = b""
        more = True
        while more:
            event = await receive()
            body += event.get("body", b"")
            more = event.get("more_body", False)
        try:
            with decoding("document"):
                document = msgspec.json.decode(body, type=DocumentText)
        except DecodeError as exc:
            await send_response(send, 400, f"not a document: {exc}\n".encode())
            return
        self._process.offer_document(document)
        await send_response(send, 202, b"taken\n")


async def handle_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the startup and shutdown events of the ASGI server."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def send_response(
    send: Any,
    status: int,
    body: bytes,
    content_type: str = "text/plain",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send a complete response."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-type", content_type.encode()), *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def serve_http(
    app: Any, address: str, graceful_timeout_s: float, stop: Any
) -> None:
    """Serve an ASGI application over HTTP until ``stop`` returns.

    Parameters
    ----------
    app : callable
        The ASGI application.
    address : str
        ``IP:port`` to listen on.
    graceful_timeout_s : float
        Seconds that requests in progress may take after the stop.
    stop : callable
        Coroutine function; serving ends when it returns.
    """
    cfg = Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = graceful_timeout_s
    cfg.shutdown_timeout = graceful_timeout_s
    # By default, hypercorn closes a connection after 1000 requests.
    cfg.keep_alive_max_requests = 1_000_000_000
    cfg.include_server_header = False
    await serve(app, cfg, shutdown_trigger=stop)


__all__ = [
    "Admin",
    "handle_lifespan",
    "send_response",
    "serve_http",
]
