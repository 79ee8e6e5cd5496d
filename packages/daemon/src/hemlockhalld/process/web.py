"""HTTP interface for callers, as an ASGI application."""

from __future__ import annotations

import hashlib
import re
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from hemlockhall_core.connection.message import Call, Header
from hemlockhall_core.request.reason import Ran, RefusalReason
from hemlockhalld.process.admin import handle_lifespan
from hemlockhalld.request.body import ChatBody, CompletionBody, ModelBody, parse_body
from hemlockhalld.request.generation import GenerationParams
from hemlockhalld.request.problem import Problem
from hemlockhalld.request.response_format import (
    DONE,
    ChatFormat,
    ModelEntry,
    ModelList,
    ResponseFormat,
    TextFormat,
)
from hemlockhalld.request.response_sender import ResponseSender

if TYPE_CHECKING:
    from hemlockhall_core.version.document import Customer
    from hemlockhalld.process.entry import Entry
    from hemlockhalld.request.generation import Generation

DEADLINE_HEADER = "x-deadline-seconds"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_DEADLINE_S = 3600.0
SERVICE_PATH = re.compile(r"/services/([^/]+)(/.*)")


@dataclass
class Request:
    """A caller's request with its complete body."""

    id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class CallerApp:
    """ASGI application that serves the callers.

    Parameters
    ----------
    entry : Entry
        The process that runs the requests.
    body_limit : int
        Largest accepted body in bytes.
    """

    def __init__(self, entry: Entry, body_limit: int) -> None:
        self._entry = entry
        self._body_limit = body_limit

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one request; a refusal is sent as a problem document."""
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        sender = ResponseSender(send, self._entry)
        self._entry.open_requests += 1
        try:
            await self._handle(scope, receive, sender)
        finally:
            self._entry.open_requests -= 1

    async def _handle(
        self, scope: dict[str, Any], receive: Any, sender: ResponseSender
    ) -> None:
        try:
            if await self._handle_health_check(scope["path"], sender):
                return
            req = await self._read_request(scope, receive)
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
                await self._route(req, sender)
                group.cancel_scope.cancel()
        except BaseExceptionGroup as group_exc:
            problems, rest = group_exc.split(Problem)
            if rest is not None:
                raise rest from None
            assert problems is not None
            await sender.send_problem(_first_problem(problems))
        except Problem as exc:
            await sender.send_problem(exc)

    async def _handle_health_check(self, path: str, sender: ResponseSender) -> bool:
        if path == "/livez":
            await sender.send_whole(200, b"alive\n", "text/plain")
            return True
        if path == "/readyz":
            reason = self._entry.not_ready_reason()
            body = (reason or "ready").encode()
            await sender.send_whole(503 if reason else 200, body, "text/plain")
            return True
        return False

    async def _read_request(self, scope: dict[str, Any], receive: Any) -> Request:
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise Problem(RefusalReason.MALFORMED_BODY, "the body was cut off")
            body += event.get("body", b"")
            if len(body) > self._body_limit:
                detail = f"the body is over {self._body_limit} bytes"
                raise Problem(RefusalReason.BODY_TOO_LARGE, detail)
            if not event.get("more_body"):
                break
        headers = {
            n.decode("latin-1"): v.decode("latin-1") for n, v in scope["headers"]
        }
        query = scope["query_string"].decode("latin-1")
        return Request(
            self._entry.new_id(),
            scope["method"],
            scope["path"],
            query,
            headers,
            bytes(body),
        )

    async def _route(self, req: Request, sender: ResponseSender) -> None:
        customer = self._authenticate(req)
        service = SERVICE_PATH.fullmatch(req.path)
        if req.method == "GET" and req.path == "/v1/models":
            await sender.send_whole(200, self._model_list(), "application/json")
        elif req.method == "POST" and req.path == "/v1/chat/completions":
            await self._handle_model(req, sender, customer, ChatBody, ChatFormat)
        elif req.method == "POST" and req.path == "/v1/completions":
            await self._handle_model(req, sender, customer, CompletionBody, TextFormat)
        elif service:
            await self._handle_service_call(req, sender, customer, *service.groups())
        else:
            detail = f"no {req.method} {req.path}; see /v1/models and /services/"
            raise Problem(RefusalReason.NOT_FOUND, detail)

    def _authenticate(self, req: Request) -> Customer:
        document = self._entry.document_cache.document
        if not document.version:
            detail = "this host has no version of the document yet"
            raise Problem(RefusalReason.NO_DOCUMENT, detail, retry_after=1.0)
        key = req.headers.get("authorization", "").removeprefix("Bearer ").strip()
        key_sha256 = hashlib.sha256(key.encode()).hexdigest()
        customer = document.customers.get(key_sha256)
        if not key or customer is None:
            detail = "send a known API key as 'Authorization: Bearer KEY'"
            raise Problem(RefusalReason.UNAUTHORIZED, detail)
        return customer

    def _model_list(self) -> bytes:
        names = sorted(self._entry.document_cache.document.models)
        entries = [ModelEntry(name) for name in names]
        return msgspec.json.encode(ModelList(entries))

    async def _handle_model(
        self,
        req: Request,
        sender: ResponseSender,
        customer: Customer,
        body_type: type[ModelBody],
        format_type: type[ResponseFormat],
    ) -> None:
        body = parse_body(body_type, req.body)
        model = self._entry.document_cache.document.models.get(body.model)
        if model is None:
            detail = f"no model or adapter {body.model!r}; see GET /v1/models"
            raise Problem(RefusalReason.UNKNOWN_MODEL, detail)
        requested_tokens = (
            body.max_completion_tokens or body.max_tokens or model.max_tokens
        )
        params = GenerationParams(
            req.id,
            model,
            body.prompt_text(),
            min(requested_tokens, model.max_tokens),
            body.seed,
            customer.rank,
            _parse_deadline(req, model.default_timeout_s),
        )
        self._entry.limiter.admit(customer)
        generation = self._entry.start_generation(params)
        response_format = format_type(req.id, body.model)
        try:
            if body.stream:
                await self._stream_response(generation, response_format, sender)
            else:
                await self._send_whole(generation, response_format, sender)
        finally:
            self._entry.limiter.release(customer)
            self._entry.end_request(generation)

    async def _send_whole(
        self,
        generation: Generation,
        response_format: ResponseFormat,
        sender: ResponseSender,
    ) -> None:
        texts: list[str] = []
        finish = ""
        started = time.monotonic()
        async for token in generation.tokens():
            if not texts:
                self._entry.metrics.first_token.record(time.monotonic() - started)
            texts.append(token.text)
            finish = token.finish
        prompt, count = generation.prompt_length, generation.token_count
        body = response_format.encode_response("".join(texts), finish, prompt, count)
        await sender.send_whole(200, body, "application/json")
        self._entry.metrics.count_request("answered")

    async def _stream_response(
        self,
        generation: Generation,
        response_format: ResponseFormat,
        sender: ResponseSender,
    ) -> None:
        previous = time.monotonic()
        first = True
        async for token in generation.tokens():
            now = time.monotonic()
            metrics = self._entry.metrics
            latency = metrics.first_token if first else metrics.token_gap
            latency.record(now - previous)
            previous = now
            event = response_format.encode_event(
                token.text, first, token.finish or None
            )
            first = False
            await sender.send_event(event)
        await sender.send_event(DONE, last=True)
        self._entry.metrics.count_request("answered")

    async def _handle_service_call(
        self,
        req: Request,
        sender: ResponseSender,
        customer: Customer,
        name: str,
        path: str,
    ) -> None:
        service = self._entry.document_cache.document.services.get(name)
        if service is None:
            detail = f"no service {name!r} in the document"
            raise Problem(RefusalReason.UNKNOWN_SERVICE, detail)
        rule = service.find_rule(req.method, path)
        if rule is None:
            detail = f"the document declares no {req.method} {path} of {name}"
            raise Problem(RefusalReason.CALL_UNDECLARED, detail)
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if not rule.idempotent and not key:
            detail = (
                "this call must not be repeated by accident: send an "
                "Idempotency-Key header, the same one when you repeat the call"
            )
            raise Problem(RefusalReason.KEY_MISSING, detail)
        deadline = _parse_deadline(req, service.default_timeout_s)
        headers = [Header(n, v) for n, v in req.headers.items() if n != "authorization"]
        call = Call(
            req.id,
            0,
            0,
            customer.name,
            name,
            req.method,
            path,
            req.query,
            headers,
            req.body,
            key,
            rule.idempotent,
            0.0,
        )
        self._entry.limiter.admit(customer)
        service_call = self._entry.start_call(call, deadline)
        started = time.monotonic()
        try:
            response = await service_call.response()
        finally:
            self._entry.limiter.release(customer)
            self._entry.end_request(service_call)
        self._entry.metrics.call.record(time.monotonic() - started)
        fields = tuple((h.name.encode(), h.value.encode()) for h in response.headers)
        await sender.send_raw(response.status, response.body, fields)
        self._entry.metrics.count_request("answered")


async def _cancel_on_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    """Cancel the request when its caller disconnects."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            scope.cancel()
            return


def _first_problem(group: BaseExceptionGroup) -> Problem:
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    assert isinstance(exc, Problem)
    return exc


def _parse_deadline(req: Request, default_timeout_s: float) -> float:
    text = req.headers.get(DEADLINE_HEADER)
    if text is None:
        return time.monotonic() + default_timeout_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0 < timeout_s <= MAX_DEADLINE_S:
        detail = f"{DEADLINE_HEADER} must be seconds above 0, up to {MAX_DEADLINE_S}"
        raise Problem(RefusalReason.BAD_DEADLINE, detail, Ran.NO)
    return time.monotonic() + timeout_s


__all__ = [
    "CallerApp",
]
