"""Interface of the object store that holds deployments, targets and hosts."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from turmericflow.relay._model import HostEntry, RolloutRecord, VersionRecord


class Kind(enum.StrEnum):
    """Kind of objects that hosts read."""

    DEPLOYMENT = "deployment"
    TARGETS = "targets"
    HOSTS = "hosts"
    VERSIONS = "versions"
    ROLLOUTS = "rollouts"
    ROLLOUT_STEPS = "rollout-steps"


class StoreFailed(Exception):
    """Raised when a call gets no usable reply; the store may have executed it."""


class Conflict(StoreFailed):
    """Raised when a write's precondition fails; the store changed nothing."""


class HistoryGone(StoreFailed):
    """Raised when the changes since a revision are gone, so a full read is needed."""


@dataclass(slots=True, frozen=True)
class Row:
    """One object; if it cannot be decoded, its value is None and problem says why."""

    name: str
    revision: int
    value: object | None
    problem: str = ""


@dataclass(slots=True, frozen=True)
class Listing:
    """All objects of a kind at a store revision.

    Attributes
    ----------
    costly
        Whether it should not be read again each second: it is long, or holds objects
        that cannot be decoded.
    """

    revision: int
    rows: tuple[Row, ...]
    costly: bool = False


@dataclass(slots=True, frozen=True)
class Change:
    """One object after a write, or its last state if it was removed."""

    row: Row
    removed: bool


@dataclass(slots=True, frozen=True)
class Changes:
    """Changes to objects of a kind, in order, up to a store revision."""

    revision: int
    changes: tuple[Change, ...]


class ObjectStore(Protocol):
    """An object store; all methods raise `StoreFailed` on failure.

    Revisions contain the era of the store (see `_revisions`). A write at a revision of
    an earlier era raises `Conflict`, and changes since one raise `HistoryGone`.

    Attributes
    ----------
    era
        Number that rises when the store comes back from an older copy.
    """

    era: int

    async def read(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        ...

    async def changes(self, kind: Kind, revision: int, wait_s: float) -> Changes:
        """Return changes of a kind since a revision, waiting for up to ``wait_s``."""
        ...

    async def publish(self, entry: HostEntry, revision: int | None) -> int:
        """Write this host's entry and return its new revision.

        Create the entry if ``revision`` is None, else replace it at that revision;
        raise `Conflict` if that is not possible.
        """
        ...

    async def record_versions(
        self, name: str, record: VersionRecord, revision: int | None
    ) -> int:
        """Create or replace a record of versions, as `publish` does an entry."""
        ...

    async def record_rollout(
        self, service: str, record: RolloutRecord, revision: int | None
    ) -> int:
        """Create or replace the step of a roll-out, as `publish` does an entry."""
        ...

    async def answer_rollout(
        self, name: str, state: str, target: str, revision: int
    ) -> int:
        """Write the status of an order and return the order's new revision.

        Raise `Conflict` if the order is not stored at `revision`.
        """
        ...

    async def remove_host(self, name: str, revision: int) -> None:
        """Remove a host's entry; raise `Conflict` if its revision has changed."""
        ...
