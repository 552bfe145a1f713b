"""Conversion between objects of the platform's store and types of the relay."""

from __future__ import annotations

from typing import Annotated

import msgspec

from turmericflow.relay import (
    Customer,
    Deployment,
    EngineSpec,
    HostEntry,
    Limits,
    RolloutOrder,
    RolloutRecord,
    Route,
    Service,
    Share,
    TargetEntry,
    VersionRecord,
    WorkKind,
    parse_address,
)

_KIND_BY_ROUTE_TYPE = {
    "idempotent": WorkKind.IDEMPOTENT,
    "non_idempotent": WorkKind.NON_IDEMPOTENT,
    "streaming": WorkKind.STREAM,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
MAX_NAME_LENGTH = 256  # of a name in an entry; hosts tell each other all entries
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000
MAX_ROLLOUT_S = 604_800.0  # a week; longer orders are taken for errors of units

# Other hosts are told of these numbers in 64 bits.
Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class _Weighted(msgspec.Struct):
    backend: str  # a service
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    pathPrefix: str
    routeType: str
    timeoutMs: float
    targetLatencyMs: float = 0.0
    priority: int = 0
    backend: str = ""  # a service
    weightedBackends: list[_Weighted] = []
    maxAttempts: int = 1
    anonymous: bool = False
    streamResume: bool = False
    gapTargetMs: float = 0.0


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int
    kvCapacity: int
    stride: int = 1  # tokens per event
    backups: bool = False
    handleS: float = 0.0  # seconds for which an unused KV cache copy is kept
    models: list[_Model] = []


class _Backend(msgspec.Struct):
    name: str
    healthPath: str = "/healthz"
    maxConnections: int = 1_000_000
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 16_384
    maxBodyBytes: int = 4_194_304
    headerTimeoutMs: float = 3_000.0
    idleTimeoutMs: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    backends: list[_Backend]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct):
    backend: _Name
    address: _Name
    zone: _Name
    state: _Name
    version: _Name  # of its software
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    coldRemainingMs: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    sequence: Integer  # of the orders that it accepted
    born: Integer = 0  # start of the target's process, in Unix milliseconds


class _Rollout(msgspec.Struct):
    backend: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    target: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    durationS: Annotated[float, msgspec.Meta(gt=0, le=MAX_ROLLOUT_S)]


class _RolloutStatus(msgspec.Struct):
    state: str = ""
    target: str = ""


class _Host(msgspec.Struct):
    incarnation: Integer
    data_centre: _Name
    callers: _Name
    peers: _Name


# Deep nesting exhausts the stack of the decoder, long numbers that of the interpreter.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
    ValueError,
)


def _decode_shares(route: _Route) -> tuple[Share, ...]:
    if route.weightedBackends:
        return tuple(
            Share(item.backend, item.weight) for item in route.weightedBackends
        )
    return (Share(route.backend, 1.0),)


def _decode_route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.pathPrefix,
        kind=_KIND_BY_ROUTE_TYPE[route.routeType],
        timeout_s=route.timeoutMs / 1000,
        objective_s=route.targetLatencyMs / 1000,
        shares=_decode_shares(route),
        max_attempts=max(1, route.maxAttempts),
        priority=route.priority,
        anonymous=route.anonymous,
        resumable=route.streamResume,
        gap_s=route.gapTargetMs / 1000,
    )


def _decode_service(backend: _Backend) -> Service:
    engine = backend.engine
    spec = engine and EngineSpec(
        slots=engine.slots,
        memory_tokens=engine.kvCapacity,
        tokens_per_event=max(1, engine.stride),
        keeps_copies=engine.backups,
        copy_kept_s=engine.handleS,
        models=tuple(model.name for model in engine.models),
    )
    return Service(backend.name, backend.healthPath, backend.maxConnections, spec)


def decode_deployment(spec: bytes) -> Deployment:
    """Build a deployment from the operator's configuration, which is JSON.

    Raises
    ------
    ValueError
        If a field is missing or invalid.
    """
    try:
        config = msgspec.json.decode(spec, type=_Config, strict=False)
        limits = config.limits
        return Deployment(
            version=config.version,
            routes=tuple(map(_decode_route, config.routes)),
            services=tuple(map(_decode_service, config.backends)),
            limits=Limits(
                limits.maxHeaderBytes,
                limits.maxBodyBytes,
                limits.headerTimeoutMs / 1000,
                limits.idleTimeoutMs / 1000,
            ),
            customers=tuple(
                Customer(tenant.name, tuple(tenant.apiKeys), tenant.priority)
                for tenant in config.tenants
            ),
        )
    except (*DECODE_ERRORS, KeyError) as exc:
        raise ValueError(f"got an unusable configuration: {exc}") from exc


def decode_target(name: str, spec: bytes) -> TargetEntry:
    """Build a target entry from the JSON that the target wrote into the store.

    Raises
    ------
    ValueError
        If a field is missing or invalid, or the state is unknown.
    """
    if len(name) > MAX_NAME_LENGTH:
        raise ValueError(f"got a name of {len(name)} characters")
    try:
        server = msgspec.json.decode(spec, type=_Server)
    except DECODE_ERRORS as exc:
        raise ValueError(f"got an unusable target entry: {exc}") from exc
    if server.state not in _LEAVING_BY_STATE:
        raise ValueError(f"got state {server.state[:40]!r}, expected ready or draining")
    parse_address(server.address)
    return TargetEntry(
        id=name,
        born_ms=server.born,
        service=server.backend,
        address=server.address,
        data_centre=server.zone,
        slots=max(1, server.slots),
        leaving=_LEAVING_BY_STATE[server.state],
        cold_ms=server.coldRemainingMs,
        version=server.version,
    )


def decode_host(name: str, spec: bytes) -> HostEntry:
    """Build a host entry from the JSON that the host wrote into the store.

    Raises
    ------
    ValueError
        If a field is missing or invalid.
    """
    try:
        host = msgspec.json.decode(spec, type=_Host)
    except DECODE_ERRORS as exc:
        raise ValueError(f"got an unusable host entry: {exc}") from exc
    parse_address(host.callers)
    parse_address(host.peers)
    return HostEntry(name, host.incarnation, host.data_centre, host.callers, host.peers)


def encode_host(entry: HostEntry) -> dict[str, object]:
    """Return the object that represents a host's entry in the store."""
    host = _Host(entry.incarnation, entry.data_centre, entry.callers, entry.peers)
    return msgspec.to_builtins(host)


def decode_versions(spec: bytes) -> VersionRecord:
    """Build a record of versions from the JSON that a host wrote into the store.

    Raises
    ------
    ValueError
        If a field is invalid.
    """
    try:
        return msgspec.json.decode(spec, type=VersionRecord)
    except DECODE_ERRORS as exc:
        raise ValueError(f"got an unusable record of versions: {exc}") from exc


def encode_versions(record: VersionRecord) -> dict[str, object]:
    """Return the object that represents a record of versions in the store."""
    return msgspec.to_builtins(record)


def decode_rollout(name: str, spec: bytes, status: bytes) -> RolloutOrder:
    """Build an order from the JSON that the operator wrote into the store.

    Raises
    ------
    ValueError
        If a field is missing or invalid, or the object is not named for the service.
    """
    try:
        order = msgspec.json.decode(spec, type=_Rollout)
    except DECODE_ERRORS as exc:
        raise ValueError(f"got an unusable order: {exc}") from exc
    if order.backend != name:
        raise ValueError(f"got the order {name!r} for {order.backend!r}")
    try:
        found = msgspec.json.decode(status, type=_RolloutStatus | None)
    except DECODE_ERRORS:
        found = None  # of another writer; a host replaces it
    found = found or _RolloutStatus()
    answered = found.target == order.target
    state = found.state if answered else ""
    return RolloutOrder(name, order.target, order.durationS, answered, state)


def encode_rollout_status(state: str, target: str) -> dict[str, object]:
    """Return the status of an order."""
    return msgspec.to_builtins(_RolloutStatus(state, target))


def decode_rollout_record(spec: bytes) -> RolloutRecord:
    """Build the record of a roll-out's step from the JSON that a host wrote.

    Raises
    ------
    ValueError
        If a field is missing or invalid.
    """
    try:
        return msgspec.json.decode(spec, type=RolloutRecord)
    except DECODE_ERRORS as exc:
        raise ValueError(f"got an unusable step of a roll-out: {exc}") from exc


def encode_rollout_record(record: RolloutRecord) -> dict[str, object]:
    """Return the object that represents a roll-out's step in the store."""
    return msgspec.to_builtins(record)
