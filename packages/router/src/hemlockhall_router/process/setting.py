"""Settings of the router: a TOML file, validated when loaded."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Annotated

import msgspec

if TYPE_CHECKING:
    from pathlib import Path


# Longest quarantine of a prompt segment, in seconds.
MAX_HOLD_S = 86_400.0


class SettingsError(Exception):
    """The settings are invalid; the text names the file and, if known, the field."""


class HostSection(msgspec.Struct, frozen=True, kw_only=True):
    """Name, data centre, dialect and capacity of this host.

    ``cores`` and ``cpu_share`` state its processor capacity, and ``link_mbps`` that of
    its network connection in Mbit/s.
    """

    name: str
    data_centre: str
    dialect: str
    dialect_module: str
    cores: float = 1.0
    cpu_share: float = 1.0
    link_mbps: float = 100.0

    @property
    def capacity(self) -> int:
        """Processor times link capacity; the hubs are the hosts with the most."""
        return round(self.cores * self.cpu_share * self.link_mbps)


class ListenSection(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses for callers, for readiness checks and metrics, and for other hosts.

    Other hosts are told ``advertised_hosts``, if there is one, in place of ``hosts``.
    Callers may have ``max_connections`` open, and fewer if that is more than half of
    the descriptors that the process may have.
    """

    callers: str
    ready: str
    hosts: str
    advertised_hosts: str = ""
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 2000


class StoreSection(msgspec.Struct, frozen=True, kw_only=True):
    """The store of the routing table, endpoints, hosts and the lease."""

    address: str


class RetrySection(msgspec.Struct, frozen=True, kw_only=True):
    """The retry budget of all hosts together.

    In a window of ``window_s`` seconds, ``ratio`` retries per request and ``constant``
    further retries are permitted.
    """

    ratio: float = 0.2
    constant: float = 100.0
    window_s: float = 10.0


class LeaveSection(msgspec.Struct, frozen=True, kw_only=True):
    """Time in seconds that this host has to exit after SIGTERM."""

    grace_s: float = 8.0


class BoundsSection(msgspec.Struct, frozen=True, kw_only=True):
    """Time bounds of the deployment, in milliseconds.

    A configuration is in force within ``config_ms`` of being accepted, a draining
    endpoint gets no requests after ``drain_ms``, and endpoints renew their entries
    every ``heartbeat_ms``.
    """

    config_ms: float = 2000.0
    drain_ms: float = 2000.0
    heartbeat_ms: float = 1200.0


class LimitsSection(msgspec.Struct, frozen=True, kw_only=True):
    """How hosts keep the request limits that endpoints state.

    A permit to send a request may be used for ``validity_s`` seconds, and for as long
    as ``validity_permits`` further ones take to become available: callers arrive at
    random. In a burst an endpoint gets as many requests more than its limit allows. A
    limit below ``min_rate`` requests per second counts as that: hosts learn from
    responses that a limit has ended.
    """

    validity_s: float = 1.5
    validity_permits: float = 3.0
    min_rate: float = 0.2


class RestSection(msgspec.Struct, frozen=True, kw_only=True):
    """How hosts obey endpoints that ask for rest.

    An endpoint that asks for more than ``max_s`` seconds gets that time.
    """

    max_s: float = 300.0


class AdmissionSection(msgspec.Struct, frozen=True, kw_only=True):
    """How hosts refuse requests that endpoints have no room for.

    Each priority is admitted at least ``floor`` times as often as all requests
    together. Room may be short while more than ``pressure`` of it is taken. State is
    kept for at most ``max_customers`` customers.
    """

    enabled: bool = True
    floor: float = 0.3
    pressure: float = 0.7
    max_customers: int = 4100


class QuarantineSection(msgspec.Struct, frozen=True, kw_only=True):
    """How hosts refuse prompts that crash endpoints.

    Requests with a prompt segment under which endpoints crashed are refused for
    ``hold_s`` seconds. Then one request at a time is tried.
    """

    enabled: bool = True
    hold_s: float = 600.0


class LogSection(msgspec.Struct, frozen=True, kw_only=True):
    """Minimum level of log lines."""

    level: str = "INFO"


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All sections; unknown fields are ignored.

    ``seeds`` are the addresses of other hosts to contact first.
    """

    host: HostSection
    listen: ListenSection
    store: StoreSection
    seeds: list[str] = []
    retry: RetrySection = RetrySection()
    leave: LeaveSection = LeaveSection()
    bounds: BoundsSection = BoundsSection()
    limits: LimitsSection = LimitsSection()
    rest: RestSection = RestSection()
    admission: AdmissionSection = AdmissionSection()
    quarantine: QuarantineSection = QuarantineSection()
    log: LogSection = LogSection()


def load_settings(path: Path) -> RouterSettings:
    """Return the settings in a file, or raise ``SettingsError``."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as exc:
        msg = f"{path}: cannot be read: {exc.strerror}; name a readable file"
        raise SettingsError(msg) from exc
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(f"{path}: not valid TOML: {exc}") from exc
    try:
        settings = msgspec.convert(raw, RouterSettings)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    addresses = {
        "listen.callers": settings.listen.callers,
        "listen.ready": settings.listen.ready,
        "listen.hosts": settings.listen.hosts,
        "store.address": settings.store.address,
    }
    if settings.listen.advertised_hosts:
        addresses["listen.advertised_hosts"] = settings.listen.advertised_hosts
    for field, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            msg = f'{path}: {field}: must be an IP address and a port, got "{address}"'
            raise SettingsError(msg)
    _validate_positive(path, settings)
    _validate_admission(path, settings.admission)
    hold_s = settings.quarantine.hold_s
    if not 0 < hold_s <= MAX_HOLD_S:
        msg = (
            f"{path}: quarantine.hold_s: must be above 0 and at most "
            f"{MAX_HOLD_S:.0f}, got {hold_s}; set quarantine.enabled to false "
            "to refuse no prompts"
        )
        raise SettingsError(msg)
    return settings


def _validate_positive(path: Path, settings: RouterSettings) -> None:
    for section in ("bounds", "leave", "limits", "rest"):
        fields = msgspec.structs.asdict(getattr(settings, section))
        for name, value in fields.items():
            if value > 0:
                continue
            msg = f"{path}: {section}.{name}: must be above 0, got {value}"
            raise SettingsError(msg)


def _validate_admission(path: Path, cfg: AdmissionSection) -> None:
    # Written so that NaN, which TOML allows, is out of range as well.
    faults = {
        "floor": None if 0.25 <= cfg.floor <= 1 else "from 0.25 to 1",
        "pressure": None if 0 < cfg.pressure <= 1 else "above 0 and at most 1",
        "max_customers": None if cfg.max_customers >= 1 else "1 or more",
    }
    for name, fault in faults.items():
        if fault is None:
            continue
        value = getattr(cfg, name)
        msg = f"{path}: admission.{name}: must be {fault}, got {value}"
        raise SettingsError(msg)


__all__ = [
    "AdmissionSection",
    "BoundsSection",
    "QuarantineSection",
    "RouterSettings",
    "SettingsError",
    "load_settings",
]
