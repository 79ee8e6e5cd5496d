"""Settings of all tests.

Every run draws the same examples and knows no time limit for one. Tests listed in
``KNOWN-RED.txt`` run like the others; those that fail are printed and pass CI.
"""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from loguru import logger

from hemlockhall_standins.virtual_time import VirtualClock

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


@pytest.fixture()
def clock(monkeypatch: pytest.MonkeyPatch) -> VirtualClock:
    """Virtual time, for tests whose event loop is a ``VirtualTimeLoop``."""
    clock = VirtualClock()
    monkeypatch.setattr(time, "monotonic", clock.monotonic)
    return clock


@pytest.fixture(autouse=True, scope="session")
def quiet_log() -> None:
    logger.remove()


def _known_red(root: Path) -> dict[str, str]:
    """Return the entries of ``KNOWN-RED.txt`` by the node id of their test."""
    path = root / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.partition(" | ")[0]: line for line in lines}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    entries = _known_red(config.rootpath)
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    entries = _known_red(terminalreporter.config.rootpath)
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            if report.nodeid in entries:
                terminalreporter.write_line(
                    f"known red, {outcome}: {entries[report.nodeid]}"
                )
