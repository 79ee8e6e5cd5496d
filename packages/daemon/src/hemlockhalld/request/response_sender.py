"""HTTP response to one caller, over ASGI."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loguru import logger

from hemlockhalld.process.admin import send_response
from hemlockhalld.request.problem import CONTENT_TYPE
from hemlockhalld.request.response_format import error_event

if TYPE_CHECKING:
    from hemlockhalld.process.entry import Entry
    from hemlockhalld.request.problem import Problem


class ResponseSender:
    """Sends one response, complete or as a stream of events."""

    def __init__(self, send: Any, entry: Entry) -> None:
        self._send = send
        self._entry = entry
        self._streaming = False

    def _close_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        # A leaving host closes its connections: a client that reused one would
        # lose its next request.
        return ((b"connection", b"close"),) if self._entry.leaving else ()

    async def send_raw(
        self, status: int, body: bytes, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        """Send a complete response with the given headers; adds no content type."""
        headers = (*headers, *self._close_headers())
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await self._send(start)
        await self._send({"type": "http.response.body", "body": body})

    async def send_whole(self, status: int, body: bytes, content_type: str) -> None:
        """Send a complete response."""
        await send_response(
            self._send, status, body, content_type, self._close_headers()
        )

    async def send_event(self, data: bytes, *, last: bool = False) -> None:
        """Send one server-sent event; the first one starts the response."""
        if not self._streaming:
            self._streaming = True
            headers = (
                (b"content-type", b"text/event-stream"),
                (b"cache-control", b"no-cache"),
                *self._close_headers(),
            )
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await self._send(start)
        body = {"type": "http.response.body", "body": data, "more_body": not last}
        await self._send(body)

    async def send_problem(self, problem: Problem) -> None:
        """Send a refusal; in a started stream it is the last event, without DONE."""
        self._entry.metrics.count_refusal(problem.reason)
        self._entry.metrics.count_request("refused")
        logger.bind(reason=problem.reason.value, ran=problem.ran.value).info(
            "refused: {}", problem.detail
        )
        if self._streaming:
            await self.send_event(error_event(problem), last=True)
            return
        headers = (*problem.headers(), *self._close_headers())
        await send_response(
            self._send, problem.status, problem.body(), CONTENT_TYPE, headers
        )


__all__ = [
    "ResponseSender",
]
