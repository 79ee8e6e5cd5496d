"""Starts and stops processes of this project on a loopback address.

Only demos, tests and benchmarks use it; the system itself starts no processes.
"""

from __future__ import annotations

import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import httpx

START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


def new_loopback_host() -> str:
    """Return a random loopback address, so that deployments do not collide.

    Outgoing connections take their ports on 127.0.0.1; a port that was free on
    another loopback address therefore stays free until a process binds it.
    """
    parts = [str(1 + secrets.randbelow(254)) for _ in range(3)]
    return ".".join(["127", *parts])


def free_addresses(host: str, count: int) -> list[str]:
    """Return addresses (IP:port) with distinct free ports on a loopback host."""
    with ExitStack() as stack:
        addresses = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            addresses.append(f"{host}:{sock.getsockname()[1]}")
        return addresses


def wait_for(
    condition: Any, description: str, timeout_s: float = START_TIMEOUT_S
) -> Any:
    """Poll ``condition`` and return its first true value; raise TimeoutError."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout_s} s for {description}")
        time.sleep(POLL_INTERVAL_S)


def responds_ok(url: str) -> bool:
    """Return whether a GET of the URL gets status 200."""
    try:
        return httpx.get(url, timeout=1.0).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


class Processes:
    """Named processes that share a loopback host and are stopped together."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="hemlockhall-"))
        self._bin = Path(sys.executable).parent
        self._host = new_loopback_host()
        self._used: set[str] = set()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def new_addresses(self, count: int) -> list[str]:
        """Return free addresses that were not handed out before."""
        addresses: list[str] = []
        while len(addresses) < count:
            for address in free_addresses(self._host, count - len(addresses)):
                if address not in self._used:
                    self._used.add(address)
                    addresses.append(address)
        return addresses

    def start_process(self, name: str, program: str, *args: str) -> None:
        """Start a program of this environment; its output goes to the log."""
        with self._log_path(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [self.program_path(program), *args], stdout=log, stderr=log
            )

    def run_standin(self, name: str, *args: str) -> None:
        """Start a command of ``hemlockhall_standins.main``."""
        self.start_process(name, "python", "-m", "hemlockhall_standins.main", *args)

    def program_path(self, name: str) -> Path:
        """Return the path of a program of this environment."""
        return self._bin / name

    def wait_listening(self, address: str, description: str) -> None:
        """Wait until something listens on an address."""
        host, port = address.split(":")

        def is_listening() -> bool:
            with socket.socket() as sock:
                return sock.connect_ex((host, int(port))) == 0

        wait_for(is_listening, f"{description} to listen")

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process; the back end of an endpoint is NAME/back-end."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()

    def exit_code(self, name: str, timeout_s: float = 30.0) -> int:
        """Wait for a process to end; return its exit code."""
        return self._processes[name].wait(timeout_s)

    def pid(self, name: str) -> int:
        """Return a process id."""
        return self._processes[name].pid

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return self._log_path(name).read_text()

    def stop(self) -> None:
        """Kill all processes and remove their files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _log_path(self, name: str) -> Path:
        return self.folder / f"{name.replace('/', '-')}.log"


class Platform:
    """Runs the stand-ins of the platform: table service, object store, host list."""

    NAMES = ("table", "objects", "hosts")

    def __init__(self, processes: Processes | None = None) -> None:
        self.processes = processes or Processes()
        self._addresses: dict[str, str] = {}

    def __enter__(self) -> Platform:
        """Start the stand-ins."""
        self.start()
        return self

    def __exit__(self, *args: object) -> None:
        """Kill the stand-ins."""
        self.processes.stop()

    def start(self) -> None:
        """Start the stand-ins and wait until they listen."""
        addresses = self.processes.new_addresses(len(self.NAMES))
        for name, address in zip(self.NAMES, addresses, strict=True):
            self._addresses[name] = address
            self.processes.run_standin(name, name, "--listen", address)
        for name, address in self._addresses.items():
            self.processes.wait_listening(address, name)

    def url(self, name: str) -> str:
        """Return the URL of a stand-in."""
        return f"http://{self._addresses[name]}"

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a stand-in."""
        httpx.post(f"{self.url(name)}/faults", json=faults).raise_for_status()


__all__ = [
    "Platform",
    "Processes",
    "responds_ok",
    "free_addresses",
    "new_loopback_host",
    "wait_for",
]
