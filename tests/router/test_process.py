"""The router as a process of its own."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from hemlockhall_standins.router.harness import free_port

SETTINGS = """
[host]
name = "host-1"
data_centre = "here"
dialect = "standin"
dialect_module = "hemlockhall_standins.router.dialect"
[listen]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
hosts = "127.0.0.1:{hosts}"
[store]
address = "127.0.0.1:1"
[leave]
grace_s = 4.0
"""
RUN = [sys.executable, "-m", "hemlockhalld.main", "router", "--settings"]


class Started:
    """A router process and its ports."""

    def __init__(self, folder: Path) -> None:
        self.callers, self.ready = free_port(), free_port()
        path = folder / "settings.toml"
        path.write_text(
            SETTINGS.format(callers=self.callers, ready=self.ready, hosts=free_port())
        )
        self.process = subprocess.Popen(
            [*RUN, str(path)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                socket.create_connection(("127.0.0.1", self.callers)).close()
                return
            except OSError:
                time.sleep(0.05)
        pytest.fail(f"it does not listen: {self.process.communicate()[0]!r}")


@pytest.fixture()
def started(tmp_path: Path) -> Iterator[Started]:
    made = Started(tmp_path)
    yield made
    made.process.kill()
    made.process.communicate()


class TestProcess:
    def test_without_a_configuration_it_is_not_ready(self, started: Started) -> None:
        ready = httpx.get(f"http://127.0.0.1:{started.ready}/ready")
        assert ready.status_code == 503
        response = httpx.get(f"http://127.0.0.1:{started.callers}/x")
        assert response.status_code == 503
        assert float(response.headers["retry-after"]) > 0

    def test_counters_are_served(self, started: Started) -> None:
        httpx.get(f"http://127.0.0.1:{started.callers}/x")
        text = httpx.get(f"http://127.0.0.1:{started.ready}/metrics").text
        assert 'hemlockhall_refusals_total{label="no_configuration"} 1' in text
        assert "hemlockhall_first_event_seconds_count 0" in text
        assert 'hemlockhall_retries_total{label="moved"} 0' in text

    def test_sigterm_ends_it_in_order(self, started: Started) -> None:
        started.process.send_signal(signal.SIGTERM)
        output, _ = started.process.communicate(timeout=20)
        assert started.process.returncode == 0
        assert b'"event":"leaving"' in output
        assert b'"event":"end"' in output

    def test_wrong_settings_are_named(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS.format(callers="x", ready=1, hosts=1))
        result = subprocess.run(
            [*RUN, str(path), "--check-settings"], capture_output=True, check=False
        )
        assert result.returncode == 1
        assert b"listen.callers" in result.stderr
