"""Settings of a daemon, read from a YAML file and validated."""

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
    """Raised if a settings file is invalid.

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
    """An IP address and a port."""

    ip: Annotated[str, AfterValidator(_check_ip)]
    port: Annotated[Int, Field(ge=1, le=MAX_PORT)]

    def __str__(self) -> str:
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse an address of the form ``IP:PORT``.

        Raises
        ------
        ValueError
            If the text has another form; the message is the expected form.
        """
        return cls(**_split_address(text))

    @property
    def is_loopback(self) -> bool:
        """Whether only processes on the same machine can connect."""
        return ipaddress.ip_address(self.ip).is_loopback

    @property
    def url(self) -> str:
        """HTTP URL of the address, without a path."""
        return f"http://{self}"


AddressField = Annotated[Address, BeforeValidator(_split_address)]


@dataclass(slots=True, config=_CONFIG)
class PeerSettings:
    """Another entry host to contact at startup."""

    host: Name
    data_centre: Name
    entry: AddressField
    peer: AddressField


@dataclass(slots=True, config=_CONFIG)
class LogSettings:
    """Format and level of the log."""

    json: Flag = False
    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


@dataclass(slots=True, config=_CONFIG)
class TlsSettings:
    """Certificate files for callers and for routers.

    Attributes
    ----------
    cert, key
        Paths of the PEM files of this host's certificate and its key.
    ca
        Path of the PEM file of the CA that signs the routers' certificates.
    reload_s
        Interval between checks for changed files, in seconds.
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
        Address to which callers connect.
    peer
        Address to which other daemons connect.
    platform
        Address of the platform's object API.
    peers
        Other entry hosts to contact at startup.
    fencing_services
        Services whose targets check fencing tokens.
    statsd
        Address of the statsd server, or None.
    slots
        Number of slots when this daemon creates the owner map.
    max_body_bytes
        Maximum size of a caller's request body, in bytes.
    advertised_peer
        Address announced to other daemons instead of ``peer``, or None.
    tls
        Certificates for connections with callers and routers, or None for no TLS.
    insecure_bind
        Whether addresses other than loopback are allowed without ``tls``.
    operator_key_hashes
        SHA-256 hex digests of the keys for the status details; if empty, no key is
        required.
    burn_save_s
        Interval between saves of the service-level counts, in seconds.
    policy
        Policy that chooses among the targets that may run a request.
    orders_lease_s
        Term of the lease for sending orders in a data centre, in seconds.
    addresses_keep_s
        Time for which callers may cache the routers' addresses, in seconds; a daemon
        that is stopping accepts new requests for the same time.
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
        """Read and validate a settings file.

        Parameters
        ----------
        path
            Path of the YAML file.

        Returns
        -------
        Settings
            The validated settings.

        Raises
        ------
        SettingsError
            If the file cannot be read, is not YAML, or has an invalid field.
        """
        document = _read_document(path)
        try:
            settings = _ADAPTER.validate_python(document.value)
        except ValidationError as exc:
            problem = find_problems(_ADAPTER, exc)[0]
            raise _settings_error(path, document, problem) from None
        checks = (_find_duplicate, _find_insecure_bind, _find_invalid_tls)
        for problem in (check(settings) for check in checks):
            if problem is not None:
                raise _settings_error(path, document, problem)
        return settings


_ADAPTER = TypeAdapter(Settings)


def _read_document(path: Path) -> Document:
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


def _settings_error(path: Path, document: Document, problem: Problem) -> SettingsError:
    return SettingsError(f"{path}:{document.line_of(problem.path)}: {problem}")


def _addresses_by_field(settings: Settings) -> list[tuple[tuple, Address]]:
    named = [(("entry",), settings.entry), (("peer",), settings.peer)]
    named.append((("platform",), settings.platform))
    for number, peer in enumerate(settings.peers):
        named.append((("peers", number, "entry"), peer.entry))
        named.append((("peers", number, "peer"), peer.peer))
    return named


def _find_duplicate(settings: Settings) -> Problem | None:
    seen: dict[Address, Problem] = {}
    for path, address in _addresses_by_field(settings):
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


def _find_insecure_bind(settings: Settings) -> Problem | None:
    if settings.tls is not None or settings.insecure_bind:
        return None
    for field in ("entry", "peer"):
        address = getattr(settings, field)
        if not address.is_loopback:
            expected = "a loopback address, or tls, or insecure_bind: true"
            return Problem((field,), f"{address} without tls", expected)
    return None


def _find_invalid_tls(settings: Settings) -> Problem | None:
    if settings.tls is None:
        return None
    try:
        load_contexts(settings.tls)
    except OSError as exc:
        got = f"{settings.tls.cert!r}, {settings.tls.key!r}, {settings.tls.ca!r}"
        return Problem(("tls",), got, f"usable PEM files: {exc}")
    return None
