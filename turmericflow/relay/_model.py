"""What operators and targets declare: routes, services, customers, targets."""

from __future__ import annotations

import enum

import msgspec


class WorkKind(enum.StrEnum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class EngineSpec(msgspec.Struct, frozen=True):
    """What the targets of a model service can do.

    Attributes
    ----------
    slots
        Requests in one batch.
    memory_tokens
        Tokens that fit into the KV cache.
    tokens_per_event
        Tokens in one event of a stream.
    keeps_copies
        Whether a run's memory can be copied to another engine as it grows.
    copy_kept_s
        Time that an unused copy is kept after its last part, in seconds.
    models
        Names of the models that its targets serve.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int = 1
    keeps_copies: bool = False
    copy_kept_s: float = 0.0
    models: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A named group of targets that do the same work."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class Share(msgspec.Struct, frozen=True):
    """A service's share of the requests of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Requests of one host name and path prefix, and how they are served.

    Attributes
    ----------
    timeout_s
        Longest time that a caller is kept waiting, in seconds.
    objective_s
        Time within which an answer, or a stream's first event, is on time.
    max_attempts
        Most targets that one request may be sent to.
    priority
        Rank of the route; 0 is the most urgent.
    anonymous
        Whether requests carry no customer's key.
    resumable
        Whether a stream may go on at another target after its last event.
    gap_s
        Longest pause between two events of a stream that is on time.
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
    """Bounds on what a caller sends; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Customer(msgspec.Struct, frozen=True):
    """A customer, its keys, and its rank if it has one of its own."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Deployment(msgspec.Struct, frozen=True):
    """One version of all that the operator declares."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    customers: tuple[Customer, ...] = ()


class TargetEntry(msgspec.Struct, frozen=True):
    """What a target says of itself.

    Attributes
    ----------
    id, born_ms
        Its name, and the Unix time of its start in milliseconds; a target
        that starts again under its name knows nothing of before.
    slots
        Requests that it works on at once.
    leaving
        Whether it is to get no new work.
    cold_ms
        Time for which it is still slow after its start, in milliseconds.
    """

    id: str
    born_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    cold_ms: float = 0.0

    @property
    def key(self) -> str:
        """The name of this life of the target."""
        return f"{self.id}@{self.born_ms}"


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself when it is asked.

    Attributes
    ----------
    id
        Its name.
    born_ms
        Unix time of its start in milliseconds, 0 if it does not say.
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
    """Where an entry host is and how it is reached.

    Attributes
    ----------
    incarnation
        Unix time of its process's start in milliseconds.
    callers, peers
        Addresses for callers and for other hosts, as IP:PORT.
    """

    name: str
    incarnation: int
    data_centre: str
    callers: str
    peers: str
