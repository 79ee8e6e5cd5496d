"""A deployment on this machine: stand-ins and the system as processes.

Only demos, tests and benches use it; the system itself starts no process.
"""

from __future__ import annotations

import hashlib
import os
import subprocess
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from hemlockhall_standins.processes import Platform, Processes, answers, wait_for

API_KEY = "organ-loft"
MODEL = "organ-12b"
LAYERS = 12


@dataclass
class EndpointPlan:
    """An endpoint to be started: an engine with layers, or a service."""

    name: str
    kind: str
    data_centre: str
    first: int = 0
    last: int = 0
    service: str = ""
    speed: float = 1.0


@dataclass
class Node:
    """An endpoint's addresses and its two processes."""

    plan: EndpointPlan
    link: str
    back_end: str
    admin: str
    settings: Path


@dataclass
class Deployment(Processes):
    """Starts, kills and stops the processes of one deployment.

    Parameters
    ----------
    plans : list of EndpointPlan
        The endpoints.
    entries : int
        Number of entry hosts.
    """

    plans: list[EndpointPlan]
    entries: int = 2
    step_s: float = 0.005
    token_layer_s: float = 0.0
    model_lines: str = ""
    call_deadline_s: float = 10.0
    retain_bytes: int = 8_388_608
    leave_notice_s: float = 0.3
    rate: int = 10_000
    proxied: tuple[str, ...] = ()
    refused_s: float = 0.25
    chooser: str = "weighted"
    step_timeout_s: float = 2.0
    nodes: dict[str, Node] = field(default_factory=dict)
    urls: dict[str, str] = field(default_factory=dict)
    admin_urls: dict[str, str] = field(default_factory=dict)
    _links: dict[str, str] = field(default_factory=dict)

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
        """Kill what still runs."""
        self.stop()

    def start(self) -> None:
        """Start the stand-ins, submit the document, start the system."""
        self._platform.start()
        for plan in self.plans:
            self._plan_node(plan)
        names = [f"entry-{n + 1}" for n in range(self.entries)]
        for name, address in zip(names, self.addresses(len(names)), strict=True):
            self._links[name] = address
        for name in names:
            self._plan_entry(name, [other for other in names if other != name])
        for node in self.nodes.values():
            self.start_back_end(node.plan.name)
            self.start_side(node.plan.name)
        self.submit(self.document())
        for name in self.urls:
            self.start_entry(name)
        for name in self.urls:
            self.wait_ready(name)

    def _plan_node(self, plan: EndpointPlan) -> None:
        link, back_end, admin, listen = self.addresses(4)
        path = self.folder / f"{plan.name}.toml"
        self.nodes[plan.name] = Node(plan, link, back_end, admin, path)
        if plan.name in self.proxied:
            self._start_proxy(plan.name, link, listen)
        else:
            listen = link
        kind = "service" if plan.service else "engine"
        path.write_text(
            self._common(plan.name, plan.data_centre, listen, link)
            + f'[side]\nback_end = "http://{back_end}"\nadmin = "{admin}"\n'
            + f'kind = "{kind}"\nstep_timeout_s = {self.step_timeout_s}\n'
            + f"retain_bytes = {self.retain_bytes}\n"
        )

    def _plan_entry(self, name: str, others: list[str]) -> None:
        listen, admin, behind = self.addresses(3)
        link = self._links[name]
        if name in self.proxied:
            self._start_proxy(name, link, behind)
        else:
            behind = link
        seeds = ""
        for other in others:
            seeds += f'[[seeds]]\nname = "{other}"\naddress = "{self._links[other]}"\n'
        self.urls[name] = f"http://{listen}"
        self.admin_urls[name] = f"http://{admin}"
        (self.folder / f"{name}.toml").write_text(
            self._common(name, "attica-1", behind, link)
            + f'[entry]\nlisten = "{listen}"\nadmin = "{admin}"\n'
            + f"leave_notice_s = {self.leave_notice_s}\npoll_s = 0.5\n"
            + f'chooser = "{self.chooser}"\n'
            + seeds
        )

    def _start_proxy(self, name: str, listen: str, target: str) -> None:
        (admin,) = self.addresses(1)
        args = ("--listen", listen, "--target", target, "--admin", admin)
        self._links[f"{name}/link"] = admin
        self.run_standin(f"{name}/link", "link", *args)
        self.wait_listening(admin, f"link of {name}")

    def _common(self, name: str, data_centre: str, listen: str, link: str) -> str:
        return (
            f'[process]\nname = "{name}"\ndata_centre = "{data_centre}"\n'
            f'[link]\naddress = "{listen}"\nadvertise = "{link}"\n'
            f"refused_s = {self.refused_s}\n"
            f'[platform]\ntable = "{self.platform("table")}"\n'
            f'objects = "{self.platform("objects")}"\n'
            f'hosts = "{self.platform("hosts")}"\n'
        )

    def platform(self, name: str) -> str:
        """Return the URL of a stand-in of the platform, or of a path's faults."""
        if name in Platform.NAMES:
            return self._platform.url(name)
        return f"http://{self._links[name]}"

    def document(self, leave_out: tuple[str, ...] = ()) -> str:
        """Return the text of a document for this deployment."""
        hashed = hashlib.sha256(API_KEY.encode()).hexdigest()
        lines = [
            f"[models.{MODEL}]",
            'version = "1"',
            f"layers = {LAYERS}",
            self.model_lines,
            "[adapters.organ-notices]",
            f'model = "{MODEL}"',
            "[priorities.normal]",
            "rank = 1",
            "[customers.parish]",
            f'key_sha256 = "{hashed}"',
            'priority = "normal"',
            f"rate_per_s = {self.rate}",
            "concurrency = 1000",
            "[services.booking]",
            f"deadline_s = {self.call_deadline_s}",
            "calls = [",
            '  {method = "POST", path = "/bookings", idempotent = false},',
            '  {method = "GET", path = "/calendar", idempotent = true},',
            '  {method = "GET", path = "/venues/*", idempotent = true},',
            "]",
        ]
        for node in self.nodes.values():
            if node.plan.name in leave_out:
                continue
            lines += self._endpoint_lines(node)
        return "\n".join(lines) + "\n"

    def _endpoint_lines(self, node: Node) -> list[str]:
        plan = node.plan
        lines = [
            f"[endpoints.{plan.name}]",
            f'address = "{node.link}"',
            f'data_centre = "{plan.data_centre}"',
        ]
        if plan.service:
            return [*lines, f'service = "{plan.service}"']
        lines.append(f'kind = "{plan.kind}"\nspeed = {plan.speed}')
        lines.append(f'model = "{MODEL}"')
        return [*lines, f"layers = [{plan.first}, {plan.last}]"]

    def submit(self, text: str, *options: str) -> subprocess.CompletedProcess[str]:
        """Submit a document with the operators' command line."""
        path = self.folder / "document.toml"
        path.write_text(text)
        return self.cli("submit", str(path), *options)

    def cli(self, *args: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line; its exit code is the caller's."""
        env = {
            **os.environ,
            "HEMLOCKHALL_TABLE": self.platform("table"),
            "HEMLOCKHALL_OBJECTS": self.platform("objects"),
            "HEMLOCKHALL_ENTRIES": " ".join(self.admin_urls.values()),
        }
        return subprocess.run(
            [self.program("hemlockhall"), *args],
            env=env,
            capture_output=True,
            text=True,
            check=False,
        )

    def start_back_end(self, name: str) -> None:
        """Start the stand-in of an endpoint."""
        node = self.nodes[name]
        plan = node.plan
        listen = ("--listen", node.back_end)
        if plan.service:
            args: tuple[str, ...] = ("service", *listen, "--name", plan.service)
        else:
            layers = ("--first", str(plan.first), "--last", str(plan.last))
            speed: tuple[str, ...] = ("--step-s", str(self.step_s))
            cost = self.token_layer_s / plan.speed
            speed += ("--token-layer-s", str(cost))
            args = ("engine", *listen, *layers, *speed)
        self.run_standin(f"{name}/back-end", *args)
        self.wait_listening(node.back_end, name)

    def start_side(self, name: str) -> None:
        """Start the side process of an endpoint."""
        path = str(self.nodes[name].settings)
        self.run(name, "hemlockhalld", "side", "--settings", path)

    def start_entry(self, name: str) -> None:
        """Start an entry host."""
        path = str(self.folder / f"{name}.toml")
        self.run(name, "hemlockhalld", "entry", "--settings", path)

    def wait_ready(self, name: str) -> None:
        """Wait until an entry host sees every started endpoint as active."""

        def ready() -> bool:
            if not self.running(name):
                raise RuntimeError(f"{name} ended:\n{self.log(name)}")
            return answers(f"{self.urls[name]}/readyz")

        wait_for(ready, f"{name} ready")
        running = {n for n in self.nodes if self.running(n)}

        def sees_all() -> bool:
            peers = self.status(name)["peers"]
            alive = {p["name"] for p in peers if p["alive"] and p["state"] == "active"}
            return running <= alive

        wait_for(sees_all, f"{name} sees {sorted(running)}")

    def status(self, name: str) -> dict[str, Any]:
        """Return what ``/status`` of an entry host or endpoint shows."""
        url = self.admin_urls.get(name) or f"http://{self.nodes[name].admin}"
        return httpx.get(f"{url}/status").json()

    def counter(self, process: str, name: str, label: str) -> float:
        """Return a counter of a process, 0 if it never moved."""
        key = f"hemlockhall_{name}_total{{{label}}}"
        return self.status(process)["counters"].get(key, 0.0)

    def tally(self, name: str) -> dict[str, Any]:
        """Return what the stand-in of an endpoint counted."""
        return httpx.get(f"http://{self.nodes[name].back_end}/tally").json()

    def fault(self, name: str, **faults: Any) -> None:
        """Switch faults of a stand-in of an endpoint or the platform."""
        if name in self.nodes:
            url = f"http://{self.nodes[name].back_end}"
        else:
            url = self.platform(name)
        httpx.post(f"{url}/faults", json=faults).raise_for_status()

    def silence(self, name: str) -> int:
        """Make the present connections to an endpoint silent for good."""
        url = self.platform(f"{name}/link")
        return httpx.post(f"{url}/silence").json()["silent"]

    def client(self, entry: str = "entry-1", key: str = API_KEY) -> httpx.Client:
        """Return a caller's client of one entry host."""
        headers = {"authorization": f"Bearer {key}"}
        return httpx.Client(base_url=self.urls[entry], headers=headers, timeout=60.0)


def two_pipelines() -> list[EndpointPlan]:
    """Return two pipelines of three stages, of two kinds, and a service."""
    plans = []
    kinds = ("tall", "wide")
    for row, kind in zip("ab", kinds, strict=True):
        for stage in range(3):
            first = stage * LAYERS // 3
            centre = f"attica-{stage + 1}"
            last = first + LAYERS // 3
            name = f"{row}{stage + 1}"
            plans.append(EndpointPlan(name, kind, centre, first, last))
    plans.append(EndpointPlan("loft-1", "plain", "attica-1", service="booking"))
    return plans


__all__ = [
    "API_KEY",
    "LAYERS",
    "MODEL",
    "Deployment",
    "EndpointPlan",
    "two_pipelines",
]
