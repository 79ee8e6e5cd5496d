"""The HTTP interface for callers, as an ASGI application."""

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
from hemlockhalld.process.admin import lifespan
from hemlockhalld.request.answer import (
    DONE,
    ChatFormat,
    Format,
    ModelEntry,
    ModelList,
    TextFormat,
)
from hemlockhalld.request.body import ChatBody, CompletionBody, ModelBody, read_body
from hemlockhalld.request.generation import Work
from hemlockhalld.request.problem import Problem
from hemlockhalld.request.sender import Sender

if TYPE_CHECKING:
    from hemlockhall_core.version.document import Customer
    from hemlockhalld.process.entry import Entry
    from hemlockhalld.request.generation import Generation

DEADLINE_HEADER = "x-deadline-seconds"
KEY_HEADER = "idempotency-key"
MAX_DEADLINE = 3600.0
SERVICE_PATH = re.compile(r"/services/([^/]+)(/.*)")


@dataclass
class Request:
    """A caller's request, read whole."""

    id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class Web:
    """Answers callers.

    Parameters
    ----------
    entry : Entry
        The process that this is the interface of.
    body_limit : int
        Largest body in bytes.
    """

    def __init__(self, entry: Entry, body_limit: int) -> None:
        self._entry = entry
        self._body_limit = body_limit

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Answer one request; a refusal is a problem document."""
        if scope["type"] == "lifespan":
            await lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        sender = Sender(send, self._entry)
        self._entry.open_requests += 1
        try:
            await self._refusable(scope, receive, sender)
        finally:
            self._entry.open_requests -= 1

    async def _refusable(
        self, scope: dict[str, Any], receive: Any, sender: Sender
    ) -> None:
        try:
            if await self._probe(scope["path"], sender):
                return
            req = await self._read(scope, receive)
            async with anyio.create_task_group() as group:
                group.start_soon(_watch, receive, group.cancel_scope)
                await self._route(req, sender)
                group.cancel_scope.cancel()
        except BaseExceptionGroup as group_exc:
            problems, rest = group_exc.split(Problem)
            if rest is not None:
                raise rest from None
            assert problems is not None
            await sender.problem(_first(problems))
        except Problem as exc:
            await sender.problem(exc)

    async def _probe(self, path: str, sender: Sender) -> bool:
        if path == "/livez":
            await sender.whole(200, b"alive\n", "text/plain")
            return True
        if path == "/readyz":
            why = self._entry.not_ready()
            body = (why or "ready").encode()
            await sender.whole(503 if why else 200, body, "text/plain")
            return True
        return False

    async def _read(self, scope: dict[str, Any], receive: Any) -> Request:
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

    async def _route(self, req: Request, sender: Sender) -> None:
        customer = self._customer(req)
        service = SERVICE_PATH.fullmatch(req.path)
        if req.method == "GET" and req.path == "/v1/models":
            await sender.whole(200, self._models(), "application/json")
        elif req.method == "POST" and req.path == "/v1/chat/completions":
            await self._model(req, sender, customer, ChatBody, ChatFormat)
        elif req.method == "POST" and req.path == "/v1/completions":
            await self._model(req, sender, customer, CompletionBody, TextFormat)
        elif service:
            await self._service(req, sender, customer, *service.groups())
        else:
            detail = f"no {req.method} {req.path}; see /v1/models and /services/"
            raise Problem(RefusalReason.NOT_FOUND, detail)

    def _customer(self, req: Request) -> Customer:
        document = self._entry.document_cache.document
        if not document.version:
            detail = "this host has no version of the document yet"
            raise Problem(RefusalReason.NO_DOCUMENT, detail, retry_after=1.0)
        key = req.headers.get("authorization", "").removeprefix("Bearer ").strip()
        hashed = hashlib.sha256(key.encode()).hexdigest()
        customer = document.customers.get(hashed)
        if not key or customer is None:
            detail = "send a known API key as 'Authorization: Bearer KEY'"
            raise Problem(RefusalReason.UNAUTHORIZED, detail)
        return customer

    def _models(self) -> bytes:
        names = sorted(self._entry.document_cache.document.models)
        listed = [ModelEntry(name) for name in names]
        return msgspec.json.encode(ModelList(listed))

    async def _model(
        self,
        req: Request,
        sender: Sender,
        customer: Customer,
        kind: type[ModelBody],
        form: type[Format],
    ) -> None:
        body = read_body(kind, req.body)
        model = self._entry.document_cache.document.models.get(body.model)
        if model is None:
            detail = f"no model or adapter {body.model!r}; see GET /v1/models"
            raise Problem(RefusalReason.UNKNOWN_MODEL, detail)
        asked = body.max_completion_tokens or body.max_tokens or model.max_tokens
        work = Work(
            req.id,
            model,
            body.prompt_text(),
            min(asked, model.max_tokens),
            body.seed,
            customer.rank,
            _deadline(req, model.default_timeout_s),
        )
        self._entry.limiter.enter(customer)
        generation = self._entry.generate(work)
        writer = form(req.id, body.model)
        try:
            if body.stream:
                await self._stream(generation, writer, sender)
            else:
                await self._whole(generation, writer, sender)
        finally:
            self._entry.limiter.leave(customer)
            self._entry.end(generation)

    async def _whole(
        self, generation: Generation, writer: Format, sender: Sender
    ) -> None:
        texts: list[str] = []
        finish = ""
        started = time.monotonic()
        async for token in generation.tokens():
            if not texts:
                self._entry.metrics.first_token.record(time.monotonic() - started)
            texts.append(token.text)
            finish = token.finish
        prompt, count = generation.prompt_length, generation.count
        body = writer.whole("".join(texts), finish, prompt, count)
        await sender.whole(200, body, "application/json")
        self._entry.metrics.count_request("answered")

    async def _stream(
        self, generation: Generation, writer: Format, sender: Sender
    ) -> None:
        previous = time.monotonic()
        first = True
        async for token in generation.tokens():
            now = time.monotonic()
            metrics = self._entry.metrics
            latency = metrics.first_token if first else metrics.token_gap
            latency.record(now - previous)
            previous = now
            event = writer.event(token.text, first, token.finish or None)
            first = False
            await sender.event(event)
        await sender.event(DONE, last=True)
        self._entry.metrics.count_request("answered")

    async def _service(
        self, req: Request, sender: Sender, customer: Customer, name: str, path: str
    ) -> None:
        service = self._entry.document_cache.document.services.get(name)
        if service is None:
            detail = f"no service {name!r} in the document"
            raise Problem(RefusalReason.UNKNOWN_SERVICE, detail)
        rule = service.find_rule(req.method, path)
        if rule is None:
            detail = f"the document declares no {req.method} {path} of {name}"
            raise Problem(RefusalReason.CALL_UNDECLARED, detail)
        key = req.headers.get(KEY_HEADER, "")
        if not rule.idempotent and not key:
            detail = (
                "this call must not be repeated by accident: send an "
                "Idempotency-Key header, the same one when you repeat the call"
            )
            raise Problem(RefusalReason.KEY_MISSING, detail)
        deadline = _deadline(req, service.default_timeout_s)
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
        self._entry.limiter.enter(customer)
        plain = self._entry.call(call, deadline)
        started = time.monotonic()
        try:
            answer = await plain.answer()
        finally:
            self._entry.limiter.leave(customer)
            self._entry.end(plain)
        self._entry.metrics.call.record(time.monotonic() - started)
        fields = tuple((h.name.encode(), h.value.encode()) for h in answer.headers)
        await sender.raw(answer.status, answer.body, fields)
        self._entry.metrics.count_request("answered")


async def _watch(receive: Any, scope: anyio.CancelScope) -> None:
    """Cancel the request when its caller leaves."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            scope.cancel()
            return


def _first(group: BaseExceptionGroup) -> Problem:
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    assert isinstance(found, Problem)
    return found


def _deadline(req: Request, default: float) -> float:
    text = req.headers.get(DEADLINE_HEADER)
    if text is None:
        return time.monotonic() + default
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE:
        detail = f"{DEADLINE_HEADER} must be seconds above 0, up to {MAX_DEADLINE}"
        raise Problem(RefusalReason.BAD_DEADLINE, detail, Ran.NO)
    return time.monotonic() + seconds


__all__ = [
    "Web",
]
