"""Tables of hosts: their gossiped statuses and this host's own state."""

from __future__ import annotations

import enum

import msgspec

from turmericflow.relay._budgets import RetryUsage
from turmericflow.relay._crashing_parts import PartCrash, PartTimes
from turmericflow.relay._model import HostEntry, TargetEntry
from turmericflow.relay._rate_limits import LimitNews
from turmericflow.relay._stream_versions import VersionNews, VersionSets
from turmericflow.relay._target_tables import Load, TargetsChange

# Of the time to leave; callers' lists of addresses expire in it.
DRAIN_ACCEPT_SHARE = 3 / 8
DRAIN_ACCEPT_MARGIN_S = 0.2  # the order may be handled late, requests are read late
# To end responses and close connections before the process is killed.
DRAIN_END_MARGIN_S = 0.4
# From 1 on connections to targets through a host carry frames, and a host shows events
# only if the version of their target is known after the loss of all hosts.
PROTOCOL = 1
# Announced by hosts that forward on the rings by data centre (see `_broadcast`).
CENTRE_RINGS = 1


class HostState(enum.IntEnum):
    """Lifecycle state of a host."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class HostStatus(msgspec.Struct, array_like=True):
    """Heartbeat of a host with its state, forwarded by the other hosts.

    Attributes
    ----------
    entry
        Store entry of the host.
    number
        Sequence number within an incarnation; the higher number is newer.
    urgent
        Number of changes so far that are forwarded at once.
    state
        A `HostState`.
    deployment_revision, targets_revision
        Store revisions of the host's deployment, and of the last change of a target
        that it has.
    reads_store
        Whether the store answered the host's last calls.
    loads
        The host's work at targets, by target key.
    lost
        Targets that the host recently lost, with the age of the loss in seconds.
    gone
        Targets whose address the host recently found to be reassigned.
    adopted
        Targets that the host recently adopted without reading a store entry.
    target_changes
        Changes to targets that the host recently read from the store.
    retry_usage
        Requests and retries in the window of the retry budgets, by service.
    crashes
        Recent crashes that the host saw: fingerprint of a request that ran on the
        target, key of the target, and age in seconds.
    targets_age_s
        Time since the host's targets were last confirmed to be current, in seconds,
        without the time that the status is on its way.
    part_crashes, part_times
        Recent crashes, outputs and convictions of parts of prompts.
    limits
        Limits that targets recently named to the host.
    stream_versions
        Versions to which the host recently sent streams.
    leaving
        Targets that recently said in an answer to the host that they leave.
    deployment_version
        Version of the deployment that the host has in force, or -1.
    cut_off
        Services whose targets the host cannot reach.
    full
        Brittle targets that recently had no room for a request of the host.
    protocol
        `PROTOCOL` of the host's version.
    versions_in_force, recorded, records_age_s
        From the host that records the versions of streams: see `StreamVersions`.
    knows_streams
        Whether the host knows all streams that clients may take up.
    rings
        `CENTRE_RINGS` if the host forwards on the rings by data centre, or 0.
    waiting
        Number of streams that wait at the host for room at an engine, by service and
        by rank; the lowest is served first.
    """

    entry: HostEntry
    number: int
    urgent: int
    state: int
    deployment_revision: int
    targets_revision: int
    reads_store: bool
    loads: dict[str, Load]
    lost: dict[str, float]
    gone: list[str]
    adopted: list[TargetEntry]
    target_changes: list[TargetsChange]
    retry_usage: dict[str, RetryUsage]
    crashes: list[tuple[str, str, float]]
    # Without them, statuses of hosts of an earlier version are still read.
    targets_age_s: float = float("inf")
    part_crashes: list[PartCrash] = []
    part_times: PartTimes = msgspec.field(default_factory=PartTimes)
    limits: list[LimitNews] = []
    stream_versions: VersionNews = {}
    leaving: list[str] = []
    deployment_version: int = -1
    cut_off: list[str] = []
    full: list[str] = []
    protocol: int = 0
    versions_in_force: VersionSets = {}
    recorded: VersionNews = {}
    records_age_s: float = float("inf")
    knows_streams: bool = False
    rings: int = 0
    waiting: dict[str, dict[int, int]] = {}


class RolloutStatus(HostStatus, array_like=True):
    """Status of a host that follows orders to roll out versions.

    Other hosts ignore the fields at its end.

    Attributes
    ----------
    rollout_views
        What the host that decides has decided, encoded by `relay.rollouts`.
    rollout_evidence
        Answers that the host has counted by version, encoded by `relay.rollouts`.
    """

    rollout_views: bytes = b""
    rollout_evidence: bytes = b""


class CustomerStatus(RolloutStatus, array_like=True):
    """Status of a host that shares the places at engines between customers.

    The field follows those of roll-outs, as hosts of an earlier version read these by
    their position.

    Attributes
    ----------
    customers
        Streams at the host by service and customer, encoded by `relay.fair_shares`.
    """

    customers: bytes = b""


class Host:
    """Another entry host.

    Attributes
    ----------
    entry
        Store entry of the host's newest known incarnation.
    status
        Latest status, or None before the first one and after the host fell silent.
    last_status_at
        Time at which the latest status arrived, or at which the entry was first
        seen.
    revision
        Revision of the host's entry in the store, or None without an entry.
    """

    __slots__ = ("entry", "status", "last_status_at", "revision")

    def __init__(self, entry: HostEntry, last_status_at: float) -> None:
        self.entry = entry
        self.status: HostStatus | None = None
        self.last_status_at = last_status_at
        self.revision: int | None = None


class Drain:
    """Times of a host's drain, on the event loop's clock.

    Attributes
    ----------
    since
        Earliest time at which the order to leave can have come.
    accept_until
        Time until which requests of any length and connections are accepted.
    serve_until
        Time at which responses that are not complete are ended.
    """

    __slots__ = ("since", "accept_until", "serve_until")

    def __init__(self, since: float, leave_s: float, accepts: bool = True) -> None:
        self.since = since
        accept_s = DRAIN_ACCEPT_SHARE * leave_s - DRAIN_ACCEPT_MARGIN_S
        self.accept_until = since + (max(0.0, accept_s) if accepts else 0.0)
        self.serve_until = since + leave_s - DRAIN_END_MARGIN_S


class HostTable:
    """The other entry hosts, and this host's own state.

    Attributes
    ----------
    own
        Entry of this host.
    state
        Lifecycle state of this host.
    drain
        Times of this host's drain, or None before the order to leave.
    rows
        The other hosts by name.
    status_number, urgent_changes
        Counters of this host's status messages and of its urgent changes.
    unanswered_kinds
        Kinds of objects for which the store did not answer this host's last call.
    rings
        Kind of rings that this host can serve; see `HostStatus`.
    """

    __slots__ = (
        "own",
        "state",
        "drain",
        "rows",
        "status_number",
        "urgent_changes",
        "unanswered_kinds",
        "rings",
    )

    def __init__(self, own: HostEntry) -> None:
        self.own = own
        self.state = HostState.STARTING
        self.drain: Drain | None = None
        self.rows: dict[str, Host] = {}
        self.status_number = 0
        self.urgent_changes = 0
        self.unanswered_kinds: set[str] = set()
        self.rings = CENTRE_RINGS
