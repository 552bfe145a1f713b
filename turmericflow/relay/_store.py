"""What the product asks of an object store."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from turmericflow.relay._model import HostEntry


class Kind(enum.StrEnum):
    """Kinds of objects that are read and watched."""

    DEPLOYMENT = "deployment"
    TARGETS = "targets"
    HOSTS = "hosts"


class StoreFailed(Exception):
    """Raised when a call got no usable answer; it may have been executed."""


class Conflict(StoreFailed):
    """Raised when a condition no longer held; nothing was done."""


class HistoryGone(StoreFailed):
    """Raised when changes can only be learned by reading everything again."""


@dataclass(slots=True, frozen=True)
class Row:
    """One object; its value is None if it cannot be read, for the reason given."""

    name: str
    revision: int
    value: object | None
    problem: str = ""


@dataclass(slots=True, frozen=True)
class Listing:
    """All objects of a kind at a revision of the store."""

    revision: int
    rows: tuple[Row, ...]


@dataclass(slots=True, frozen=True)
class Change:
    """An object as it is now, or as it was when it was removed."""

    row: Row
    removed: bool


@dataclass(slots=True, frozen=True)
class Changes:
    """Changes of a kind, in order, up to a revision of the store."""

    revision: int
    changes: tuple[Change, ...]


class ObjectStore(Protocol):
    """An object store; all calls raise `StoreFailed`."""

    async def read(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        ...

    async def changes(self, kind: Kind, revision: int, wait_s: float) -> Changes:
        """Wait for the changes of a kind since a revision."""
        ...

    async def publish(self, entry: HostEntry, revision: int | None) -> int:
        """Create or replace this host's entry; return its new revision."""
        ...

    async def remove_host(self, name: str, revision: int) -> None:
        """Remove a host's entry if it still is as it was at a revision."""
        ...
