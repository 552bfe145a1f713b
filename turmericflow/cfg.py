"""A daemon's own settings, read from YAML and checked."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated

import yaml
from pydantic import (
    AfterValidator,
    BeforeValidator,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
)
from pydantic.dataclasses import dataclass

from turmericflow.profile import Name

_CONFIG = ConfigDict(extra="forbid")


class SettingsError(Exception):
    """Raised when a settings file cannot be put in force.

    The message is one line that names the file, the field, the value got and
    the value expected.
    """


def _check_ip(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("expected an IP number, not a host name") from None
    return value


def _split_address(value: object) -> object:
    if not isinstance(value, str):
        return value
    ip, _, port = value.rpartition(":")
    return {"ip": ip.strip("[]"), "port": int(port) if port.isdigit() else port}


@dataclass(slots=True, config=_CONFIG, frozen=True)
class Address:
    """An IP number and a port."""

    ip: Annotated[str, AfterValidator(_check_ip)]
    port: Annotated[int, Field(ge=1, le=65_535)]

    def __str__(self) -> str:
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )

    @property
    def url(self) -> str:
        """The address as the base of an HTTP URL."""
        return f"http://{self}"


AddressField = Annotated[Address, BeforeValidator(_split_address)]


@dataclass(slots=True, config=_CONFIG)
class PeerSettings:
    """Another entry host, known from the start."""

    host: Name
    data_centre: Name
    entry: AddressField
    peer: AddressField


@dataclass(slots=True, config=_CONFIG)
class LogSettings:
    """Form and level of the log."""

    json: bool = False
    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


@dataclass(slots=True, config=_CONFIG)
class Settings:
    """Settings of one daemon.

    Attributes
    ----------
    host
        Name of this host.
    data_centre
        Name of this host's data centre.
    entry
        Address on which callers connect.
    peer
        Address on which other daemons connect.
    platform
        Address of the platform's object API.
    peers
        Other entry hosts known from the start.
    fencing_services
        Services whose targets check fencing numbers.
    statsd
        Address of the statsd server, or None.
    slots
        Number of slots when this daemon creates the owner map.
    max_body_bytes
        Largest request body taken from a caller, in bytes.
    advertised_peer
        Address that other daemons are told to connect to, or None for ``peer``.
    addresses_keep_s
        How long callers may keep the addresses that they are told, in seconds;
        a daemon that is to stop serves new requests for as long.
    """

    host: Name
    data_centre: Name
    entry: AddressField
    peer: AddressField
    platform: AddressField
    peers: list[PeerSettings] = Field(default_factory=list)
    fencing_services: list[Name] = Field(default_factory=list)
    statsd: AddressField | None = None
    log: LogSettings = Field(default_factory=LogSettings)
    slots: Annotated[int, Field(ge=1, le=16_384)] = 1024
    max_body_bytes: Annotated[int, Field(ge=1024)] = 1_000_000
    advertised_peer: AddressField | None = None
    addresses_keep_s: Annotated[float, Field(ge=0.1, le=300)] = 5.0

    @classmethod
    def from_file(cls, path: Path) -> Settings:
        """Read and check a settings file.

        Parameters
        ----------
        path
            The YAML file.

        Returns
        -------
        Settings
            The checked settings.

        Raises
        ------
        SettingsError
            If the file cannot be read, is not YAML, or a field is wrong.
        """
        try:
            raw = yaml.safe_load(path.read_text("utf-8"))
        except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
            reason = " ".join(str(exc).split())
            raise SettingsError(f"{path}: cannot be read as YAML: {reason}") from None
        try:
            settings = _ADAPTER.validate_python(raw)
        except ValidationError as exc:
            raise SettingsError(_describe(path, exc)) from None
        _check_distinct(path, settings)
        return settings


_ADAPTER = TypeAdapter(Settings)


def _describe(path: Path, exc: ValidationError) -> str:
    first = exc.errors()[0]
    field = ".".join(str(part) for part in first["loc"]) or "(top level)"
    return f"{path}: {field}: got {first['input']!r}: {first['msg']}"


def _check_distinct(path: Path, settings: Settings) -> None:
    seen: dict[Address, str] = {}
    named = [("entry", settings.entry), ("peer", settings.peer)]
    named.append(("platform", settings.platform))
    for number, peer in enumerate(settings.peers):
        named.append((f"peers.{number}.entry", peer.entry))
        named.append((f"peers.{number}.peer", peer.peer))
    for field, address in named:
        if address in seen:
            raise SettingsError(
                f"{path}: {field}: got {address}, the same as {seen[address]}: "
                "expected an address of its own"
            )
        seen[address] = field
