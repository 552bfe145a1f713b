"""Messages that spread facts and compare them."""

from __future__ import annotations

from turmericflow.wire._base import Message


class Rumour(Message, tag="rumour"):
    """One fact that spreads to every router; the newest version wins."""

    kind: str
    name: str
    version: int
    value: bytes
    ttl_s: float


class Rumours(Message, tag="rumours"):
    """A batch of facts."""

    rid: int
    rumours: list[Rumour]
    sender: str = ""


class FactVersion(Message, tag="factversion"):
    """Name and version of one fact."""

    kind: str
    name: str
    version: int


class Compare(Message, tag="compare"):
    """Send the digests of all buckets of facts, to be compared."""

    rid: int
    buckets: list[int]


class Differences(Message, tag="differences"):
    """Answers `Compare` with the versions held in the buckets that differ."""

    rid: int
    buckets: list[int]
    versions: list[FactVersion]


class Fetch(Message, tag="fetch"):
    """Ask for facts by name; the reply is `Rumours`, not all of them at once."""

    rid: int
    names: list[FactVersion]
