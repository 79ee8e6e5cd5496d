"""Ports of the router harness."""

from __future__ import annotations

import subprocess
import sys

from hemlockhall_standins.router.harness import free_port

PRINT_PORTS = (
    "from hemlockhall_standins.router.harness import free_port;"
    "print(*(free_port() for _ in range(100)))"
)


class TestPorts:
    def test_none_is_drawn_twice(self) -> None:
        """Guards against a router two of whose listeners draw the same port before
        either of them listens."""
        ports = [free_port() for _ in range(300)]
        assert len(set(ports)) == len(ports)

    def test_two_processes_draw_different_ones(self) -> None:
        """Guards against routers of two test processes that draw the same port."""
        ports = {free_port() for _ in range(100)}
        command = [sys.executable, "-c", PRINT_PORTS]
        printed = subprocess.run(command, capture_output=True, check=True).stdout  # noqa: S603
        assert ports.isdisjoint(map(int, printed.split()))
