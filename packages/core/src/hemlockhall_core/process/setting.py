"""Settings of a process: a TOML file, checked whole when it starts."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hemlockhall_core.connection.link import is_address
from hemlockhall_core.process.error import SettingsError


def _address(text: str) -> str:
    if not is_address(text):
        msg = 'must be an IP number and a port, such as "10.0.0.5:7000"'
        raise ValueError(msg)
    return text


Address = Annotated[str, AfterValidator(_address)]
Url = Annotated[str, Field(pattern=r"^https?://")]
Seconds = Annotated[float, Field(gt=0)]


class Section(BaseModel):
    """Base of the sections: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", strict=True)


class ProcessSection(Section):
    """Who this process is."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]+$")]
    data_centre: str


class LinkSection(Section):
    """Where this process listens, and how patient it is with others.

    ``advertise`` is where the others reach it, if that is another address.
    """

    address: Address
    advertise: Address | None = None
    heartbeat_s: Seconds = 0.3
    idle_s: Seconds = 1.5
    renew_s: Seconds = 0.7
    dead_s: Seconds = 1.6
    refused_s: Seconds = 0.25


class PlatformSection(Section):
    """The platform's services."""

    table: Url
    objects: Url
    hosts: Url | None = None


class LogSection(Section):
    """How logs are written."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    json_lines: bool = False


class Seed(Section):
    """A process that is asked for the document at the start."""

    name: str
    address: Address


class EntrySection(Section):
    """What only an entry host has."""

    listen: Address
    admin: Address
    chooser: str = "weighted"
    body_limit: Annotated[int, Field(gt=0)] = 1_048_576
    leave_notice_s: Annotated[float, Field(ge=0)] = 1.0
    poll_s: Seconds = 1.0
    repairs: Annotated[int, Field(ge=0)] = 5


class SideSection(Section):
    """What only a side process has; ``back_end`` is the endpoint's URL."""

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
    """Return the settings in a file.

    Parameters
    ----------
    path : Path
        The TOML file.
    role : str
        ``entry`` or ``side``; the section of that name must be there.

    Raises
    ------
    SettingsError
        With every fault, its place and what to write instead.
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
        raise SettingsError(_report(path, exc)) from exc
    if getattr(settings, role) is None:
        msg = f"{path}: section [{role}] is missing; the role {role} needs it"
        raise SettingsError(msg)
    return settings


def _report(path: Path, exc: ValidationError) -> str:
    lines = []
    for error in exc.errors():
        place = ".".join(str(part) for part in error["loc"])
        lines.append(f"{path}: {place}: {error['msg']}; got {error['input']!r}")
    return "\n".join(lines)


__all__ = [
    "EntrySection",
    "Seed",
    "Settings",
    "SideSection",
    "load_settings",
]
