"""Data classes of routes, services, customers, targets and hosts."""

from __future__ import annotations

import enum

import msgspec


class WorkKind(enum.StrEnum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class EngineSpec(msgspec.Struct, frozen=True):
    """Capacity and features of the engines of a model service.

    Attributes
    ----------
    slots
        Requests that one batch holds.
    memory_tokens
        Tokens that fit into the KV cache.
    tokens_per_event
        Tokens in one event of a stream.
    keeps_copies
        Whether a run's KV cache can be replicated to another engine as it grows.
    copy_kept_s
        Time for which an unused copy is kept after its last update, in seconds.
    models
        Names of the models that the engines serve.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int = 1
    keeps_copies: bool = False
    copy_kept_s: float = 0.0
    models: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A named group of interchangeable targets."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class Share(msgspec.Struct, frozen=True):
    """Weight of a service among those that serve a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Routing and retry rules for requests of one host name and path prefix.

    Attributes
    ----------
    timeout_s
        Longest time that a caller waits for an answer, in seconds.
    objective_s
        Latency objective of a whole answer, or of a stream's first event, in
        seconds.
    max_attempts
        Largest number of targets that may run one request; sends that a target did
        not run are not counted.
    priority
        Priority of the route; 0 is the most urgent.
    anonymous
        Whether requests are accepted without a customer's key.
    resumable
        Whether a stream may be resumed at another target after its last event.
    gap_s
        Latency objective of the gap between two events of a stream, in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: WorkKind
    timeout_s: float
    objective_s: float
    shares: tuple[Share, ...]
    max_attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False
    gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is WorkKind.IDEMPOTENT or self.resumable


class Limits(msgspec.Struct, frozen=True):
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Customer(msgspec.Struct, frozen=True):
    """A customer, its keys, and its priority if it differs from the routes'."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Deployment(msgspec.Struct, frozen=True):
    """One version of the operator's whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    customers: tuple[Customer, ...] = ()


class TargetEntry(msgspec.Struct, frozen=True):
    """Store entry that a target publishes about itself.

    Attributes
    ----------
    id, born_ms
        Name, and Unix time of the start in milliseconds; a target that restarts
        under its name has lost all state of its earlier incarnation.
    slots
        Requests that the target runs at once.
    leaving
        Whether the target is draining and gets no new requests.
    cold_ms
        Remaining time for which the target is slow after its start, in
        milliseconds.
    version
        Version of its software, or empty if it is not known.
    """

    id: str
    born_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    cold_ms: float = 0.0
    version: str = ""

    @property
    def key(self) -> str:
        """Identifier of this incarnation of the target."""
        return f"{self.id}@{self.born_ms}"


class VersionRecord(msgspec.Struct, frozen=True):
    """What the store holds of the versions that began streams.

    Attributes
    ----------
    services
        Versions that each service has, or had not long ago.
    streams
        Concatenated digests of the ids of requests that began streams, by version.
    era
        Last era of the store in which the records were complete: a store that comes
        back from an older copy, with a later era, may lack some. None if not known.
    in_force
        Versions among which a stream's id chooses if its record cannot be written,
        by service, newest first; those before may still have been used.
    hosts_follow_all
        Whether the hosts are told all of these for as long as the store holds them.
    """

    services: dict[str, list[str]] = {}
    streams: dict[str, bytes] = {}
    era: int | None = None
    in_force: dict[str, list[list[str]]] = {}
    hosts_follow_all: bool = False


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move the traffic of a service to a version.

    Attributes
    ----------
    service, target
        The service and the version.
    duration_s
        Time within which the order is to be completed or rolled back, in seconds.
    answered
        Whether its status names this target, so that hosts have seen it before.
    state
        State in its status, or empty.
    """

    service: str
    target: str
    duration_s: float
    answered: bool = False
    state: str = ""


class RolloutRecord(msgspec.Struct, frozen=True):
    """The step of a roll-out, as the host that decides has written it.

    Attributes
    ----------
    target
        The version.
    order
        Revision at which the order was created.
    term, number
        Number of hosts that have taken over so far, and number of steps so far.
    step
        Name of the step.
    began_ms
        Time at which the order was first seen, in Unix milliseconds.
    """

    target: str
    order: int
    term: int
    number: int
    step: str
    began_ms: int


class EngineReport(msgspec.Struct, frozen=True):
    """Report that an engine returns to a probe by a host.

    Attributes
    ----------
    id
        Name of the engine, empty if not reported.
    born_ms
        Unix time of its start in milliseconds, 0 if not reported.
    memory_tokens
        Tokens that fit into its KV cache.
    models
        Names of the models that it serves.
    """

    id: str
    born_ms: int
    memory_tokens: int
    models: tuple[str, ...]


class HostEntry(msgspec.Struct, frozen=True):
    """Store entry that an entry host publishes about itself.

    Attributes
    ----------
    incarnation
        Unix time of the start of the host's process, in milliseconds.
    callers, peers
        Addresses for callers and for other hosts, as IP:PORT.
    """

    name: str
    incarnation: int
    data_centre: str
    callers: str
    peers: str

    @property
    def key(self) -> str:
        """Identifier of this incarnation of the host."""
        return f"{self.name}@{self.incarnation}"
