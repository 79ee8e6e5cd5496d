"""Runs a deployment on this machine: stand-ins and the system as processes.

Only demos, tests and benchmarks use it; the system itself starts no processes.
"""

from __future__ import annotations

import hashlib
import os
import subprocess
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from hemlockhall_standins.processes import Platform, Processes, responds_ok, wait_for

API_KEY = "organ-loft"
MODEL = "organ-12b"
LAYERS = 12


@dataclass
class EndpointSpec:
    """An endpoint to start: an engine with layers, or a plain service.

    An engine holds the layers from ``first_layer`` up to ``end_layer``, exclusive;
    ``speed`` divides its simulated time per token and layer. A plain service has a
    name in ``service``.
    """

    name: str
    kind: str
    data_centre: str
    first_layer: int = 0
    end_layer: int = 0
    service: str = ""
    speed: float = 1.0


@dataclass
class EndpointSetup:
    """Addresses (IP:port) of an endpoint, and the settings file of its side process.

    ``link`` is the advertised address of the side process, ``admin`` that of its
    administration, ``back_end`` that of the engine or service.
    """

    spec: EndpointSpec
    link: str
    back_end: str
    admin: str
    settings: Path


@dataclass
class Deployment(Processes):
    """Starts, kills and stops the processes of one deployment.

    Parameters
    ----------
    specs : list of EndpointSpec
        The endpoints.
    entry_count : int
        Number of entry hosts, named ``entry-1`` and so on.
    step_s, token_layer_s : float
        Simulated time of an engine's step, and for each token and layer in it.
    extra_model_lines : str
        Further TOML lines of the model in the document.
    call_timeout_s : float
        Timeout of calls to the booking service.
    rate_per_s : int
        Rate limit of the customer.
    proxied : tuple of str
        Endpoints and entry hosts that others reach through a ``TcpProxy``.
    retain_bytes, leave_notice_s, refused_s, chooser, step_timeout_s
        Settings of the processes under these names.
    """

    specs: list[EndpointSpec]
    entry_count: int = 2
    step_s: float = 0.005
    token_layer_s: float = 0.0
    extra_model_lines: str = ""
    call_timeout_s: float = 10.0
    retain_bytes: int = 8_388_608
    leave_notice_s: float = 0.3
    rate_per_s: int = 10_000
    proxied: tuple[str, ...] = ()
    refused_s: float = 0.25
    chooser: str = "weighted"
    step_timeout_s: float = 2.0
    endpoints: dict[str, EndpointSetup] = field(default_factory=dict)
    urls: dict[str, str] = field(default_factory=dict)
    admin_urls: dict[str, str] = field(default_factory=dict)
    _link_addresses: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__init__()
        self._platform = Platform(self)

    def __enter__(self) -> Deployment:
        """Start everything and wait until requests can be served."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *args: object) -> None:
        """Kill the processes that still run."""
        self.stop()

    def start(self) -> None:
        """Start the stand-ins, submit the document, start the system."""
        self._platform.start()
        for spec in self.specs:
            self._configure_endpoint(spec)
        names = [f"entry-{n + 1}" for n in range(self.entry_count)]
        for name, address in zip(names, self.new_addresses(len(names)), strict=True):
            self._link_addresses[name] = address
        for name in names:
            self._configure_entry(name, [other for other in names if other != name])
        for endpoint in self.endpoints.values():
            self.start_back_end(endpoint.spec.name)
            self.start_side(endpoint.spec.name)
        self.submit(self.document())
        for name in self.urls:
            self.start_entry(name)
        for name in self.urls:
            self.wait_ready(name)

    def _configure_endpoint(self, spec: EndpointSpec) -> None:
        link, back_end, admin, listen = self.new_addresses(4)
        path = self.folder / f"{spec.name}.toml"
        self.endpoints[spec.name] = EndpointSetup(spec, link, back_end, admin, path)
        if spec.name in self.proxied:
            self._start_proxy(spec.name, link, listen)
        else:
            listen = link
        kind = "service" if spec.service else "engine"
        path.write_text(
            self._common_settings(spec.name, spec.data_centre, listen, link)
            + f'[side]\nback_end = "http://{back_end}"\nadmin = "{admin}"\n'
            + f'kind = "{kind}"\nstep_timeout_s = {self.step_timeout_s}\n'
            + f"retain_bytes = {self.retain_bytes}\n"
        )

    def _configure_entry(self, name: str, others: list[str]) -> None:
        listen, admin, bind_address = self.new_addresses(3)
        link = self._link_addresses[name]
        if name in self.proxied:
            self._start_proxy(name, link, bind_address)
        else:
            bind_address = link
        seeds = ""
        for other in others:
            seeds += (
                f'[[seeds]]\nname = "{other}"\n'
                f'address = "{self._link_addresses[other]}"\n'
            )
        self.urls[name] = f"http://{listen}"
        self.admin_urls[name] = f"http://{admin}"
        (self.folder / f"{name}.toml").write_text(
            self._common_settings(name, "attica-1", bind_address, link)
            + f'[entry]\nlisten = "{listen}"\nadmin = "{admin}"\n'
            + f"leave_notice_s = {self.leave_notice_s}\npoll_s = 0.5\n"
            + f'chooser = "{self.chooser}"\n'
            + seeds
        )

    def _start_proxy(self, name: str, listen: str, target: str) -> None:
        (admin,) = self.new_addresses(1)
        args = ("--listen", listen, "--target", target, "--admin", admin)
        self._link_addresses[f"{name}/link"] = admin
        self.run_standin(f"{name}/link", "link", *args)
        self.wait_listening(admin, f"link of {name}")

    def _common_settings(
        self, name: str, data_centre: str, listen: str, link: str
    ) -> str:
        return (
            f'[process]\nname = "{name}"\ndata_centre = "{data_centre}"\n'
            f'[link]\naddress = "{listen}"\nadvertise = "{link}"\n'
            f"refused_s = {self.refused_s}\n"
            f'[platform]\ntable = "{self.standin_url("table")}"\n'
            f'objects = "{self.standin_url("objects")}"\n'
            f'hosts = "{self.standin_url("hosts")}"\n'
        )

    def standin_url(self, name: str) -> str:
        """Return the URL of a platform stand-in, or of the faults of ``NAME/link``."""
        if name in Platform.NAMES:
            return self._platform.url(name)
        return f"http://{self._link_addresses[name]}"

    def document(self, exclude: tuple[str, ...] = ()) -> str:
        """Return the document of this deployment without the excluded endpoints."""
        hashed = hashlib.sha256(API_KEY.encode()).hexdigest()
        lines = [
            f"[models.{MODEL}]",
            'version = "1"',
            f"layers = {LAYERS}",
            self.extra_model_lines,
            "[adapters.organ-notices]",
            f'model = "{MODEL}"',
            "[priorities.normal]",
            "rank = 1",
            "[customers.parish]",
            f'key_sha256 = "{hashed}"',
            'priority = "normal"',
            f"rate_per_s = {self.rate_per_s}",
            "concurrency = 1000",
            "[services.booking]",
            f"deadline_s = {self.call_timeout_s}",
            "calls = [",
            '  {method = "POST", path = "/bookings", idempotent = false},',
            '  {method = "GET", path = "/calendar", idempotent = true},',
            '  {method = "GET", path = "/venues/*", idempotent = true},',
            "]",
        ]
        for endpoint in self.endpoints.values():
            if endpoint.spec.name in exclude:
                continue
            lines += self._endpoint_lines(endpoint)
        return "\n".join(lines) + "\n"

    def _endpoint_lines(self, endpoint: EndpointSetup) -> list[str]:
        spec = endpoint.spec
        lines = [
            f"[endpoints.{spec.name}]",
            f'address = "{endpoint.link}"',
            f'data_centre = "{spec.data_centre}"',
        ]
        if spec.service:
            return [*lines, f'service = "{spec.service}"']
        lines.append(f'kind = "{spec.kind}"\nspeed = {spec.speed}')
        lines.append(f'model = "{MODEL}"')
        return [*lines, f"layers = [{spec.first_layer}, {spec.end_layer}]"]

    def submit(self, text: str, *options: str) -> subprocess.CompletedProcess[str]:
        """Submit a document with the command line tool."""
        path = self.folder / "document.toml"
        path.write_text(text)
        return self.cli("submit", str(path), *options)

    def cli(self, *args: str) -> subprocess.CompletedProcess[str]:
        """Run the command line tool; the caller checks its exit code."""
        env = {
            **os.environ,
            "HEMLOCKHALL_TABLE": self.standin_url("table"),
            "HEMLOCKHALL_OBJECTS": self.standin_url("objects"),
            "HEMLOCKHALL_ENTRIES": " ".join(self.admin_urls.values()),
        }
        return subprocess.run(
            [self.program_path("hemlockhall"), *args],
            env=env,
            capture_output=True,
            text=True,
            check=False,
        )

    def start_back_end(self, name: str) -> None:
        """Start the back end of an endpoint."""
        endpoint = self.endpoints[name]
        spec = endpoint.spec
        listen = ("--listen", endpoint.back_end)
        if spec.service:
            args: tuple[str, ...] = ("service", *listen, "--name", spec.service)
        else:
            layers = ("--first", str(spec.first_layer), "--last", str(spec.end_layer))
            speed: tuple[str, ...] = ("--step-s", str(self.step_s))
            token_layer_s = self.token_layer_s / spec.speed
            speed += ("--token-layer-s", str(token_layer_s))
            args = ("engine", *listen, *layers, *speed)
        self.run_standin(f"{name}/back-end", *args)
        self.wait_listening(endpoint.back_end, name)

    def start_side(self, name: str) -> None:
        """Start the side process of an endpoint."""
        path = str(self.endpoints[name].settings)
        self.start_process(name, "hemlockhalld", "side", "--settings", path)

    def start_entry(self, name: str) -> None:
        """Start an entry host."""
        path = str(self.folder / f"{name}.toml")
        self.start_process(name, "hemlockhalld", "entry", "--settings", path)

    def wait_ready(self, name: str) -> None:
        """Wait until an entry host is ready and sees all running endpoints active."""

        def ready() -> bool:
            if not self.is_running(name):
                raise RuntimeError(f"{name} ended:\n{self.read_log(name)}")
            return responds_ok(f"{self.urls[name]}/readyz")

        wait_for(ready, f"{name} ready")
        running = {n for n in self.endpoints if self.is_running(n)}

        def sees_all() -> bool:
            peers = self.status(name)["peers"]
            alive = {p["name"] for p in peers if p["alive"] and p["state"] == "active"}
            return running <= alive

        wait_for(sees_all, f"{name} sees {sorted(running)}")

    def status(self, name: str) -> dict[str, Any]:
        """Return ``/status`` of an entry host or of a side process."""
        url = self.admin_urls.get(name) or f"http://{self.endpoints[name].admin}"
        return httpx.get(f"{url}/status").json()

    def counter(self, process: str, name: str, label: str) -> float:
        """Return a counter of a process, 0 if it was never incremented."""
        key = f"hemlockhall_{name}_total{{{label}}}"
        return self.status(process)["counters"].get(key, 0.0)

    def tally(self, name: str) -> dict[str, Any]:
        """Return what the back end of an endpoint recorded."""
        return httpx.get(f"http://{self.endpoints[name].back_end}/tally").json()

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a back end, of a platform stand-in, or of ``NAME/link``."""
        if name in self.endpoints:
            url = f"http://{self.endpoints[name].back_end}"
        else:
            url = self.standin_url(name)
        httpx.post(f"{url}/faults", json=faults).raise_for_status()

    def silence(self, name: str) -> int:
        """Black-hole the open connections to a proxied process; return their number."""
        url = self.standin_url(f"{name}/link")
        return httpx.post(f"{url}/silence").json()["silent"]

    def client(self, entry: str = "entry-1", key: str = API_KEY) -> httpx.Client:
        """Return an HTTP client for an entry host."""
        headers = {"authorization": f"Bearer {key}"}
        return httpx.Client(base_url=self.urls[entry], headers=headers, timeout=60.0)


def two_pipelines() -> list[EndpointSpec]:
    """Return two pipelines of three stages, each of one kind, and a booking service."""
    specs = []
    kinds = ("tall", "wide")
    for row, kind in zip("ab", kinds, strict=True):
        for stage in range(3):
            first_layer = stage * LAYERS // 3
            data_centre = f"attica-{stage + 1}"
            end_layer = first_layer + LAYERS // 3
            name = f"{row}{stage + 1}"
            specs.append(EndpointSpec(name, kind, data_centre, first_layer, end_layer))
    specs.append(EndpointSpec("loft-1", "plain", "attica-1", service="booking"))
    return specs


__all__ = [
    "API_KEY",
    "LAYERS",
    "MODEL",
    "Deployment",
    "EndpointSpec",
    "two_pipelines",
]
