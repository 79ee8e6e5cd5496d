"""The router as a separate process."""

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


def handles_hangup(pid: int) -> bool:
    """Return whether a process ignores or catches SIGHUP."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, mask = line.partition(":")
        if name in ("SigIgn", "SigCgt") and int(mask, 16) & 1 << signal.SIGHUP - 1:
            return True
    return False


class RouterProcess:
    """A running router process and its ports.

    With ``hang_up`` it gets SIGHUP again and again while it starts.
    """

    def __init__(self, folder: Path, *, hang_up: bool = False) -> None:
        self.callers, self.ready = free_port(), free_port()
        path = folder / "settings.toml"
        path.write_text(
            SETTINGS.format(callers=self.callers, ready=self.ready, hosts=free_port())
        )
        self.process = subprocess.Popen(
            [*RUN, str(path)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        deadline = time.monotonic() + 20
        while hang_up and not handles_hangup(self.process.pid):
            assert self.process.poll() is None
            assert not self._listens(), "it listens before it handles SIGHUP"
        while time.monotonic() < deadline and self.process.poll() is None:
            if hang_up:
                self.process.send_signal(signal.SIGHUP)
            if self._listens():
                return
            time.sleep(0.05)
        pytest.fail(f"the router does not listen: {self.process.communicate()[0]!r}")

    def _listens(self) -> bool:
        try:
            socket.create_connection(("127.0.0.1", self.callers)).close()
        except OSError:
            return False
        return True


@pytest.fixture()
def router(tmp_path: Path) -> Iterator[RouterProcess]:
    router = RouterProcess(tmp_path)
    yield router
    router.process.kill()
    router.process.communicate()


class TestProcess:
    def test_not_ready_without_a_configuration(self, router: RouterProcess) -> None:
        ready = httpx.get(f"http://127.0.0.1:{router.ready}/ready")
        assert ready.status_code == 503
        response = httpx.get(f"http://127.0.0.1:{router.callers}/x")
        assert response.status_code == 503
        assert float(response.headers["retry-after"]) > 0

    def test_metrics_are_served(self, router: RouterProcess) -> None:
        httpx.get(f"http://127.0.0.1:{router.callers}/x")
        text = httpx.get(f"http://127.0.0.1:{router.ready}/metrics").text
        assert 'hemlockhall_refusals_total{label="no_configuration"} 1' in text
        assert "hemlockhall_first_event_seconds_count 0" in text
        assert 'hemlockhall_retries_total{label="moved"} 0' in text

    def test_sigterm_shuts_down_cleanly(self, router: RouterProcess) -> None:
        router.process.send_signal(signal.SIGTERM)
        output, _ = router.process.communicate(timeout=20)
        assert router.process.returncode == 0
        assert b'"event":"leaving"' in output
        assert b'"event":"router stops"' in output

    def test_sighup_during_the_start_does_not_end_it(self, tmp_path: Path) -> None:
        """Guards against a process that ends as its settings change while it starts."""
        router = RouterProcess(tmp_path, hang_up=True)
        router.process.send_signal(signal.SIGTERM)
        output, _ = router.process.communicate(timeout=20)
        assert router.process.returncode == 0
        assert b'"event":"router stops"' in output

    def test_sighup_is_ignored_before_a_role_is_imported(self) -> None:
        """Guards against the same, at the moment of the first imports."""
        code = (
            "import signal, sys, hemlockhalld.main;"
            "assert 'hemlockhall_router' not in sys.modules;"
            "assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN"
        )
        subprocess.run([sys.executable, "-c", code], check=True)

    def test_check_settings_names_the_invalid_field(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS.format(callers="x", ready=1, hosts=1))
        result = subprocess.run(
            [*RUN, str(path), "--check-settings"], capture_output=True, check=False
        )
        assert result.returncode == 1
        assert b"listen.callers" in result.stderr

    def test_check_settings_names_an_invalid_advertised_address(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "settings.toml"
        text = SETTINGS.format(callers=1, ready=1, hosts=1)
        path.write_text(text.replace("[store]", 'advertised_hosts = "x"\n[store]'))
        result = subprocess.run(
            [*RUN, str(path), "--check-settings"], capture_output=True, check=False
        )
        assert result.returncode == 1
        assert b"listen.advertised_hosts" in result.stderr
