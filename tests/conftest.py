"""Every run draws the same examples and knows no time limit for one."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest
from hypothesis import settings
from loguru import logger

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


class AcceptSafeEventLoop(asyncio.SelectorEventLoop):
    """Accepts no connection for an accept that has ended already.

    CPython 3.11 does, if the accept is cancelled in the turn of the loop in which the
    connection arrives: its set_result raises InvalidStateError in a callback, and
    anyio's pytest plugin fails the test that ends next. Here the connection stays in
    the backlog.
    """

    def _sock_accept(self, fut: asyncio.Future[Any], sock: socket.socket) -> None:
        if not fut.done():
            super()._sock_accept(fut, sock)  # type: ignore[misc]


@pytest.fixture()
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": AcceptSafeEventLoop}


@pytest.fixture(autouse=True, scope="session")
def quiet_log() -> None:
    logger.remove()
