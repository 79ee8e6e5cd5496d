"""Settings of a process: a TOML file that is validated at start."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hemlockhall_core.connection.link import is_address
from hemlockhall_core.process.error import SettingsError


def _check_address(text: str) -> str:
    if not is_address(text):
        msg = 'must be an IP address and a port, such as "10.0.0.5:7000"'
        raise ValueError(msg)
    return text


# An IPv4 address and a port.
Address = Annotated[str, AfterValidator(_check_address)]
Url = Annotated[str, Field(pattern=r"^https?://")]
Seconds = Annotated[float, Field(gt=0)]


class Section(BaseModel):
    """Base of the sections; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", strict=True)


class ProcessSection(Section):
    """Identity of this process."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]+$")]
    data_centre: str


class LinkSection(Section):
    """Address and timing of the link to other processes.

    ``advertise`` is the address for the peers if it differs from ``address``. For
    the times, see :class:`hemlockhall_core.connection.peer.Timing`.
    """

    address: Address
    advertise: Address | None = None
    heartbeat_s: Seconds = 0.3
    idle_s: Seconds = 1.5
    renew_s: Seconds = 0.7
    dead_s: Seconds = 1.6
    refused_s: Seconds = 0.25


class PlatformSection(Section):
    """URLs of the platform's services."""

    table: Url
    objects: Url
    hosts: Url | None = None


class LogSection(Section):
    """Level and format of the logs."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    json_lines: bool = False


class Seed(Section):
    """A process to connect to at start, which may provide the document.

    An entry host also counts its live seeds as the other entry hosts with which it
    shares the limits of customers.
    """

    name: str
    address: Address


class EntrySection(Section):
    """Settings of an entry host.

    ``listen`` is the address for callers, ``admin`` that of the administrative
    interface. ``repairs`` is the number of retries of a model request, and
    ``body_limit`` is in bytes. A draining host keeps serving new requests for at
    least ``leave_notice_s``. ``poll_s`` is the mean time between two reads of the
    document in the platform's stores.
    """

    listen: Address
    admin: Address
    chooser: str = "weighted"
    body_limit: Annotated[int, Field(gt=0)] = 1_048_576
    leave_notice_s: Annotated[float, Field(ge=0)] = 1.0
    poll_s: Seconds = 1.0
    repairs: Annotated[int, Field(ge=0)] = 5


class SideSection(Section):
    """Settings of a side process.

    ``back_end`` is the URL of the engine or service, ``admin`` the address of the
    administrative interface. ``step_timeout_s`` is the timeout of each request to
    the engine, and ``retain_bytes`` the limit of the stage outputs that are retained
    for retries.
    """

    back_end: Url
    admin: Address
    kind: Literal["engine", "service"]
    step_timeout_s: Seconds = 5.0
    retain_bytes: Annotated[int, Field(ge=0)] = 8_388_608


class Settings(Section):
    """The whole settings file."""

    process: ProcessSection
    link: LinkSection
    platform: PlatformSection
    log: LogSection = LogSection()
    seeds: list[Seed] = []
    entry: EntrySection | None = None
    side: SideSection | None = None


def load_settings(path: Path, role: str) -> Settings:
    """Load and validate a settings file.

    Parameters
    ----------
    path : Path
        The TOML file.
    role : str
        ``entry`` or ``side``; the section of that name is required.

    Raises
    ------
    SettingsError
        Lists every error with its key and what is accepted.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as exc:
        msg = f"{path}: cannot be read: {exc.strerror}; name a readable file"
        raise SettingsError(msg) from exc
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(f"{path}: not valid TOML: {exc}") from exc
    try:
        settings = Settings.model_validate(raw)
    except ValidationError as exc:
        raise SettingsError(_format_errors(path, exc)) from exc
    if getattr(settings, role) is None:
        msg = f"{path}: section [{role}] is missing; the role {role} needs it"
        raise SettingsError(msg)
    return settings


def _format_errors(path: Path, exc: ValidationError) -> str:
    lines = []
    for error in exc.errors():
        location = ".".join(str(part) for part in error["loc"])
        lines.append(f"{path}: {location}: {error['msg']}; got {error['input']!r}")
    return "\n".join(lines)


__all__ = [
    "EntrySection",
    "Seed",
    "Settings",
    "SideSection",
    "load_settings",
]
