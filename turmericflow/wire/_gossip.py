"""Messages for gossip and anti-entropy of facts."""

from __future__ import annotations

from turmericflow.wire._base import Message


class Rumour(Message, tag="rumour"):
    """A fact that is gossiped to every router; the newest version wins."""

    kind: str
    name: str
    version: int
    value: bytes
    ttl_s: float


class Rumours(Message, tag="rumours"):
    """Gossip a batch of facts."""

    rid: int
    rumours: list[Rumour]
    sender: str = ""


class FactVersion(Message, tag="factversion"):
    """Kind, name and version of one fact."""

    kind: str
    name: str
    version: int


class Compare(Message, tag="compare"):
    """Send the digests of all buckets of facts for comparison."""

    rid: int
    buckets: list[int]


class Differences(Message, tag="differences"):
    """Reply to `Compare` with the versions of facts in the buckets that differ."""

    rid: int
    buckets: list[int]
    versions: list[FactVersion]


class Fetch(Message, tag="fetch"):
    """Request facts by name; the reply is `Rumours` with some or all of them."""

    rid: int
    names: list[FactVersion]
