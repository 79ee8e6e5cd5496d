"""Processes of this project on a loopback host of their own.

Only demos, tests and benches use them; the system itself starts no process.
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

START_TIMEOUT = 60.0
POLL = 0.05


def new_host() -> str:
    """Return a loopback address that no other deployment is likely to use.

    Outgoing connections take their ports on 127.0.0.1, so a port that was
    free on another loopback address is still free when a process binds it.
    """
    parts = [str(1 + secrets.randbelow(254)) for _ in range(3)]
    return ".".join(["127", *parts])


def free_addresses(host: str, count: int) -> list[str]:
    """Return addresses on a loopback host whose ports the kernel chose."""
    with ExitStack() as stack:
        addresses = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            addresses.append(f"{host}:{sock.getsockname()[1]}")
        return addresses


def wait_for(check: Any, what: str, timeout: float = START_TIMEOUT) -> Any:
    """Return the first true value of ``check``; raise when none comes."""
    give_up_at = time.monotonic() + timeout
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"waited {timeout} s for {what}")
        time.sleep(POLL)


def answers(url: str) -> bool:
    """Return whether something answers 200 there."""
    try:
        return httpx.get(url, timeout=1.0).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


class Processes:
    """Processes on a loopback host of their own, ended together."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="hemlockhall-"))
        self._bin = Path(sys.executable).parent
        self._host = new_host()
        self._used: set[str] = set()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def addresses(self, count: int) -> list[str]:
        """Return addresses that these processes have not used yet."""
        found: list[str] = []
        while len(found) < count:
            for address in free_addresses(self._host, count - len(found)):
                if address not in self._used:
                    self._used.add(address)
                    found.append(address)
        return found

    def run(self, name: str, program: str, *args: str) -> None:
        """Start a program of this project."""
        with self._log_path(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [self.program(program), *args], stdout=log, stderr=log
            )

    def run_standin(self, name: str, *args: str) -> None:
        """Start a stand-in."""
        self.run(name, "python", "-m", "hemlockhall_standins.main", *args)

    def program(self, name: str) -> Path:
        """Return the path of a program of this project."""
        return self._bin / name

    def wait_listening(self, address: str, what: str) -> None:
        """Wait until something listens there."""
        host, port = address.split(":")

        def listening() -> bool:
            with socket.socket() as sock:
                return sock.connect_ex((host, int(port))) == 0

        wait_for(listening, f"{what} to listen")

    def running(self, name: str) -> bool:
        """Return whether a process is there."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process; an endpoint's engine is NAME/back-end."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()

    def exit_code(self, name: str, timeout: float = 30.0) -> int:
        """Wait for a process to end; return its exit code."""
        return self._processes[name].wait(timeout)

    def pid(self, name: str) -> int:
        """Return a process id."""
        return self._processes[name].pid

    def log(self, name: str) -> str:
        """Return what a process logged."""
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
    """The stand-ins of the platform alone."""

    NAMES = ("table", "objects", "hosts")

    def __init__(self, processes: Processes | None = None) -> None:
        self.processes = processes or Processes()
        self._at: dict[str, str] = {}

    def __enter__(self) -> Platform:
        """Start the stand-ins."""
        self.start()
        return self

    def __exit__(self, *args: object) -> None:
        """Kill them."""
        self.processes.stop()

    def start(self) -> None:
        """Start the stand-ins and wait until they listen."""
        addresses = self.processes.addresses(len(self.NAMES))
        for name, address in zip(self.NAMES, addresses, strict=True):
            self._at[name] = address
            self.processes.run_standin(name, name, "--listen", address)
        for name, address in self._at.items():
            self.processes.wait_listening(address, name)

    def url(self, name: str) -> str:
        """Return the URL of a stand-in."""
        return f"http://{self._at[name]}"

    def fault(self, name: str, **faults: Any) -> None:
        """Switch faults of a stand-in."""
        httpx.post(f"{self.url(name)}/faults", json=faults).raise_for_status()


__all__ = [
    "Platform",
    "Processes",
    "answers",
    "free_addresses",
    "new_host",
    "wait_for",
]
