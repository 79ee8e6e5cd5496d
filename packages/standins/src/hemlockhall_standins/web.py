"""Minimal HTTP server with injectable faults, shared by the stand-ins."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


FAULT_EXEMPT_PATHS = ("/faults", "/calls", "/tally")


@dataclass
class Request:
    """A received request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    groups: tuple[str, ...] = ()

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


@dataclass
class Response:
    """Response of a stand-in; ``value`` is sent as text or bytes, else as JSON."""

    value: Any = None
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


class ResponseError(Exception):
    """Raised by a handler to send another response than its result."""

    def __init__(self, response: Response) -> None:
        super().__init__(response.status)
        self.response = response


@dataclass
class Faults:
    """Faults that every stand-in has, set by ``POST /faults``.

    ``delay_s`` delays each request before it is handled, ``answer_delay_s`` after
    it took effect. ``down`` responds 503 to every request. The next ``lose_answers``
    requests other than GET take effect but get 504 for their response, and
    ``down_after_loss`` sets ``down`` with each of these.
    """

    delay_s: float = 0.0
    down: bool = False
    lose_answers: int = 0
    down_after_loss: bool = False
    answer_delay_s: float = 0.0


class App:
    """ASGI application with routes, and with faults that are set over HTTP."""

    def __init__(self, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self._routes: list[tuple[str, re.Pattern[str], Callable[..., Any]]] = []
        self.calls = 0
        self.route("POST", "/faults")(self._set_faults)
        self.route("GET", "/calls")(self._count)

    def route(self, method: str, pattern: str) -> Callable[..., Any]:
        """Register a handler for a method and a path pattern."""

        def register(handler: Callable[..., Any]) -> Callable[..., Any]:
            self._routes.append((method, re.compile(pattern), handler))
            return handler

        return register

    async def _set_faults(self, req: Request) -> Response:
        for name, value in req.json().items():
            if not hasattr(self.faults, name):
                return Response({"error": f"no fault {name}"}, 400)
            setattr(self.faults, name, value)
        return Response({})

    async def _count(self, req: Request) -> Response:
        return Response({"calls": self.calls})

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        body = b""
        while True:
            event = await receive()
            body += event.get("body", b"")
            if not event.get("more_body"):
                break
        query = parse_qs(scope["query_string"].decode())
        req = Request(
            scope["method"],
            scope["path"],
            {name: values[0] for name, values in query.items()},
            {name.decode(): value.decode() for name, value in scope["headers"]},
            body,
        )
        response = await self._respond(req)
        await _send(send, response)

    async def _respond(self, req: Request) -> Response:
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(req.path)
            if method != req.method or not match:
                continue
            req.groups = match.groups()
            if req.path in FAULT_EXEMPT_PATHS:
                return await handler(req)
            self.calls += 1
            if self.faults.down:
                return Response({"error": "down"}, 503)
            if self.faults.delay_s:
                await anyio.sleep(self.faults.delay_s)
            try:
                response = await handler(req)
            except ResponseError as exc:
                return exc.response
            if self.faults.answer_delay_s:
                await anyio.sleep(self.faults.answer_delay_s)
            if self.faults.lose_answers > 0 and req.method != "GET":
                self.faults.lose_answers -= 1
                self.faults.down |= self.faults.down_after_loss
                return Response({"error": "answer lost"}, 504)
            return response
        return Response({"error": "no such path"}, 404)


async def _lifespan(receive: Any, send: Any) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _send(send: Any, response: Response) -> None:
    if isinstance(response.value, (bytes, str)):
        value = response.value
        data = value if isinstance(value, bytes) else value.encode()
        content_type = b"text/plain; charset=utf-8"
    else:
        data = json.dumps(response.value).encode()
        content_type = b"application/json"
    headers = [(b"content-type", content_type)]
    for name, text in response.headers.items():
        headers.append((name.encode(), text.encode()))
    start = {"type": "http.response.start", "status": response.status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": data})


def run(app: App, listen: str, *tasks: Callable[[], Awaitable[None]]) -> None:
    """Serve until the process ends, and run background tasks."""
    cfg = Config()
    cfg.bind = [listen]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = 0.1
    cfg.keep_alive_max_requests = 1_000_000_000

    async def main() -> None:
        async with anyio.create_task_group() as group:
            for task in tasks:
                group.start_soon(task)
            await serve(app, cfg)
            group.cancel_scope.cancel()

    anyio.run(main)


__all__ = [
    "App",
    "ResponseError",
    "Faults",
    "Request",
    "Response",
    "run",
]
