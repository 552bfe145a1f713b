"""Tables of the hosts: what each says of itself, and what is known of them."""

from __future__ import annotations

import enum

import msgspec

from turmericflow.relay._budgets import Spent
from turmericflow.relay._model import HostEntry, TargetEntry
from turmericflow.relay._target_tables import Load, TargetsChange


class HostState(enum.IntEnum):
    """What a host says of itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class HostStatus(msgspec.Struct, array_like=True):
    """What a host says of itself, forwarded by others.

    Attributes
    ----------
    number
        Grows with each sending; the higher one of an incarnation is the newer.
    urgent
        Grows with each change that is forwarded at once.
    reads_store
        Whether its last call to the store was answered.
    loads
        Work at targets, by the name of their life.
    lost
        Targets lost a moment ago, with the age of the loss in seconds.
    gone
        Targets whose address was found a moment ago to be another's.
    adopted
        Targets that it uses since a moment ago though no entry could be read.
    target_changes
        Changes of the targets that it has read from the store a moment ago.
    spent
        Requests and repeats of the budgets' window, by service.
    crashes
        Fingerprints of requests that were running where a target crashed, the
        target's life, and the age in seconds.
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
    spent: dict[str, Spent]
    crashes: list[tuple[str, str, float]]


class Host:
    """Another entry host.

    Attributes
    ----------
    last_status_at
        Time at which a newer status came in.
    revision
        Revision of its entry in the store, or None if it has none there.
    """

    __slots__ = ("entry", "status", "last_status_at", "revision")

    def __init__(self, entry: HostEntry, last_status_at: float) -> None:
        self.entry = entry
        self.status: HostStatus | None = None
        self.last_status_at = last_status_at
        self.revision: int | None = None


class HostTable:
    """The other entry hosts, and this one's own standing.

    Attributes
    ----------
    unanswered_kinds
        Kinds of objects for which the store did not answer this host's last call.
    """

    __slots__ = (
        "own",
        "state",
        "rows",
        "status_number",
        "urgent_changes",
        "unanswered_kinds",
    )

    def __init__(self, own: HostEntry) -> None:
        self.own = own
        self.state = HostState.STARTING
        self.rows: dict[str, Host] = {}
        self.status_number = 0
        self.urgent_changes = 0
        self.unanswered_kinds: set[str] = set()
