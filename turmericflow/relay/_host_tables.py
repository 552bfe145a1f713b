"""Tables of the hosts: what each says of itself, and what is known of them."""

from __future__ import annotations

import enum

import msgspec

from turmericflow.relay._budgets import RetryUsage
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
    news
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
    news: list[TargetsChange]
    spent: dict[str, RetryUsage]
    crashes: list[tuple[str, str, float]]


class Host:
    """Another entry host.

    Attributes
    ----------
    heard_at
        Time at which a newer status came in.
    revision
        Revision of its entry in the store, or None if it has none there.
    """

    __slots__ = ("entry", "status", "heard_at", "revision")

    def __init__(self, entry: HostEntry, heard_at: float) -> None:
        self.entry = entry
        self.status: HostStatus | None = None
        self.heard_at = heard_at
        self.revision: int | None = None


class HostTable:
    """The other entry hosts, and this one's own standing.

    Attributes
    ----------
    unanswered
        Kinds of objects for which the store did not answer this host's last call.
    """

    __slots__ = ("own", "state", "rows", "number", "urgent", "unanswered")

    def __init__(self, own: HostEntry) -> None:
        self.own = own
        self.state = HostState.STARTING
        self.rows: dict[str, Host] = {}
        self.number = 0
        self.urgent = 0
        self.unanswered: set[str] = set()
