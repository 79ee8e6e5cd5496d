"""Sending of one HTTP answer to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loguru import logger

from hemlockhalld.process.admin import respond
from hemlockhalld.request.answer import error_event
from hemlockhalld.request.problem import CONTENT_TYPE

if TYPE_CHECKING:
    from hemlockhalld.process.entry import Entry
    from hemlockhalld.request.problem import Problem


class Sender:
    """Sends one answer; knows whether it has begun."""

    def __init__(self, send: Any, entry: Entry) -> None:
        self._send = send
        self._entry = entry
        self._streaming = False

    def _closing(self) -> tuple[tuple[bytes, bytes], ...]:
        # A client that keeps its connection to a host that is leaving would
        # see its next request cut off.
        return ((b"connection", b"close"),) if self._entry.leaving else ()

    async def raw(
        self, status: int, body: bytes, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        """Send a whole answer with given headers."""
        headers = (*headers, *self._closing())
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await self._send(start)
        await self._send({"type": "http.response.body", "body": body})

    async def whole(self, status: int, body: bytes, content_type: str) -> None:
        """Send a whole answer."""
        await respond(self._send, status, body, content_type, self._closing())

    async def event(self, data: bytes, *, last: bool = False) -> None:
        """Send one server-sent event; the first one begins the answer."""
        if not self._streaming:
            self._streaming = True
            headers = (
                (b"content-type", b"text/event-stream"),
                (b"cache-control", b"no-cache"),
                *self._closing(),
            )
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await self._send(start)
        body = {"type": "http.response.body", "body": data, "more_body": not last}
        await self._send(body)

    async def problem(self, problem: Problem) -> None:
        """Send a refusal; inside a stream it is the last event, without DONE."""
        self._entry.metrics.count_refusal(problem.reason)
        self._entry.metrics.count_request("refused")
        logger.bind(reason=problem.reason.value, ran=problem.ran.value).info(
            "refused: {}", problem.detail
        )
        if self._streaming:
            await self.event(error_event(problem), last=True)
            return
        headers = (*problem.headers(), *self._closing())
        await respond(self._send, problem.status, problem.body(), CONTENT_TYPE, headers)


__all__ = [
    "Sender",
]
