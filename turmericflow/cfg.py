"""A daemon's own settings, read from YAML and checked."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import (
    AfterValidator,
    BeforeValidator,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
)
from pydantic.dataclasses import dataclass

from turmericflow._certificates import load_contexts
from turmericflow._problems import Problem, find_problems
from turmericflow._yaml import Document, YamlError, parse
from turmericflow.profile import Flag, Int, KeyHash, Name, Number

MAX_PORT = 65_535

_CONFIG = ConfigDict(extra="forbid")


class SettingsError(Exception):
    """Raised when a settings file cannot be put in force.

    The message is one line that names the file, the field, the value got and
    the value expected.
    """


def _check_ip(value: str) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError("an IP number, not a host name") from None


def _split_address(value: object) -> object:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError("text of the form IP:PORT")
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        raise ValueError("IP:PORT with an IP number, not a host name") from None
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"IP:PORT with a port from 1 to {MAX_PORT}")
    return {"ip": ip.strip("[]"), "port": int(port)}


@dataclass(slots=True, config=_CONFIG, frozen=True)
class Address:
    """An IP number and a port."""

    ip: Annotated[str, AfterValidator(_check_ip)]
    port: Annotated[Int, Field(ge=1, le=MAX_PORT)]

    def __str__(self) -> str:
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Return the address that ``IP:PORT`` stands for.

        Raises
        ------
        ValueError
            If it is of another form; the message says which was expected.
        """
        return cls(**_split_address(text))

    @property
    def is_loopback(self) -> bool:
        """Whether only processes of the same machine can reach it."""
        return ipaddress.ip_address(self.ip).is_loopback

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

    json: Flag = False
    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


@dataclass(slots=True, config=_CONFIG)
class TlsSettings:
    """Certificate files for callers and for routers.

    Attributes
    ----------
    cert, key
        PEM files of this host's certificate and its key.
    ca
        PEM file of the authority that signs the routers' certificates.
    reload_s
        Time between looks for changed files, in seconds.
    """

    cert: Annotated[str, Field(min_length=1)]
    key: Annotated[str, Field(min_length=1)]
    ca: Annotated[str, Field(min_length=1)]
    reload_s: Annotated[Number, Field(gt=0, le=86_400)] = 10.0


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
    tls
        Certificates for callers and routers, or None for none.
    insecure_bind
        Whether addresses other than loopback are allowed without ``tls``.
    operator_key_hashes
        SHA-256 hex digests of the keys that open the status details; empty
        means that no key is asked for.
    burn_save_s
        Time between saves of the service-level counts, in seconds.
    policy
        Policy that chooses among the targets that may run some work.
    orders_lease_s
        Term of the lease under which a data centre's orders are given.
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
    advertised_peer: AddressField | None = None
    slots: Annotated[Int, Field(ge=1, le=16_384)] = 1024
    max_body_bytes: Annotated[Int, Field(ge=1024)] = 1_000_000
    tls: TlsSettings | None = None
    insecure_bind: Flag = False
    operator_key_hashes: list[KeyHash] = Field(default_factory=list)
    burn_save_s: Annotated[Number, Field(ge=0.1, le=3600)] = 60.0
    policy: Annotated[str, Field(pattern="^(random|sq|lew|mc|fpi|ours)$")] = "ours"
    orders_lease_s: Annotated[Number, Field(ge=0.5, le=600)] = 30.0
    addresses_keep_s: Annotated[Number, Field(ge=0.1, le=300)] = 5.0

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
        document = _read(path)
        try:
            settings = _ADAPTER.validate_python(document.value)
        except ValidationError as exc:
            problem = find_problems(_ADAPTER, exc)[0]
            raise _error(path, document, problem) from None
        checks = (_find_equal, _find_open, _find_unusable)
        for problem in (check(settings) for check in checks):
            if problem is not None:
                raise _error(path, document, problem)
        return settings


_ADAPTER = TypeAdapter(Settings)


def _read(path: Path) -> Document:
    try:
        documents = parse(path.read_bytes())
    except OSError as exc:
        message = f"{path}: (whole file): got {exc.strerror}, expected a YAML file"
        raise SettingsError(message) from None
    except YamlError as exc:
        raise SettingsError(f"{path}:{exc.line}: (whole file): {exc}") from None
    if len(documents) != 1:
        message = f"got {len(documents)} documents, expected one mapping of fields"
        raise SettingsError(f"{path}: (whole file): {message}")
    return documents[0]


def _error(path: Path, document: Document, problem: Problem) -> SettingsError:
    return SettingsError(f"{path}:{document.line_of(problem.path)}: {problem}")


def _named_addresses(settings: Settings) -> list[tuple[tuple, Address]]:
    named = [(("entry",), settings.entry), (("peer",), settings.peer)]
    named.append((("platform",), settings.platform))
    for number, peer in enumerate(settings.peers):
        named.append((("peers", number, "entry"), peer.entry))
        named.append((("peers", number, "peer"), peer.peer))
    return named


def _find_equal(settings: Settings) -> Problem | None:
    seen: dict[Address, Problem] = {}
    for path, address in _named_addresses(settings):
        if address in seen:
            got = f"{address}, the same as {seen[address].field}"
            return Problem(path, got, "an address of its own")
        seen[address] = Problem(path, str(address), "")
    hosts = {settings.host}
    for number, peer in enumerate(settings.peers):
        if peer.host in hosts:
            got = f"{peer.host!r} twice"
            return Problem(("peers", number, "host"), got, "a name of its own")
        hosts.add(peer.host)
    return None


def _find_open(settings: Settings) -> Problem | None:
    if settings.tls is not None or settings.insecure_bind:
        return None
    for field in ("entry", "peer"):
        address = getattr(settings, field)
        if not address.is_loopback:
            expected = "a loopback address, or tls, or insecure_bind: true"
            return Problem((field,), f"{address} without tls", expected)
    return None


def _find_unusable(settings: Settings) -> Problem | None:
    if settings.tls is None:
        return None
    try:
        load_contexts(settings.tls)
    except OSError as exc:
        got = f"{settings.tls.cert!r}, {settings.tls.key!r}, {settings.tls.ca!r}"
        return Problem(("tls",), got, f"usable PEM files: {exc}")
    return None
