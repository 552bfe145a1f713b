"""Decides where a new stream begins, and when its first event may be shown."""

from __future__ import annotations

import enum
from collections.abc import Set
from dataclasses import dataclass


class Records(enum.Enum):
    """Whether the store takes records of the versions that begin streams."""

    CURRENT = "current"  # they are written, and this host reads the store itself
    EXPECTED = "expected"  # they are written, or a host is about to begin
    AWAY = "away"  # they are not written for now


@dataclass(slots=True, frozen=True)
class Anywhere:
    """The stream may begin at any version."""


@dataclass(slots=True, frozen=True)
class At:
    """The stream begins at a version."""

    version: str


@dataclass(slots=True, frozen=True)
class Refused:
    """Nothing that outlives all hosts would tell the version of the stream."""


Start = Anywhere | At | Refused


@dataclass(slots=True, frozen=True)
class ShowAtOnce:
    """The first event may be shown at once."""


@dataclass(slots=True, frozen=True)
class ShowFrom:
    """The first event may be shown from a time of the event loop on, in seconds."""

    at: float


@dataclass(slots=True, frozen=True)
class ShowOnceRecorded:
    """The first event may be shown once the store holds the stream's version."""

    id: str
    version: str


ShowEvents = ShowAtOnce | ShowFrom | ShowOnceRecorded


@dataclass(slots=True, frozen=True)
class View:
    """What a host knows of a service's versions when it begins a stream.

    Attributes
    ----------
    records
        Whether the store takes records.
    chosen
        Version that the stream's id chooses, or None if that is not clear.
    in_force
        Whether ids choose among the versions of the service.
    open
        Versions of listed targets that take new streams.
    seen
        Versions of all targets, also of those that left lately.
    """

    records: Records
    chosen: str | None
    in_force: bool
    open: Set[str]
    seen: Set[str]

    @property
    def alone(self) -> bool:
        """Whether the service has one version, among which no id needs to choose."""
        return not self.in_force and len(self.seen) <= 1


def choose_start(view: View) -> Start:
    """Return where a new stream begins.

    A stream that is refused comes back under another id, which may choose a version
    that has targets. If all listed targets are gone, those that were found without
    the store are used: no id chooses one of them, and callers would be refused for as
    long as the store is away.
    """
    if view.records is Records.CURRENT:
        return Anywhere()
    if view.chosen in view.open:
        return At(view.chosen)
    if view.records is Records.EXPECTED or view.alone or not view.open:
        return Anywhere()
    return Refused()


def choose_show(
    view: View, sent_to: Set[str], show: ShowOnceRecorded, adopted_from: float
) -> ShowEvents:
    """Return when the first event of a new stream may be shown.

    Parameters
    ----------
    view
        What the host knows.
    sent_to
        All versions to which the stream was sent.
    show
        What to return if only a record tells the version.
    adopted_from
        Time from which all hosts know the version.
    """
    if sent_to == {view.chosen} or view.alone:
        return ShowAtOnce()
    if view.records is Records.AWAY and not view.open:
        return ShowFrom(adopted_from)
    return show
