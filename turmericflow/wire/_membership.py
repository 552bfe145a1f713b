"""Messages for connections and membership."""

from __future__ import annotations

from turmericflow.wire._base import Message


class Hello(Message, tag="hello"):
    """First message on a connection; names the sender."""

    host: str
    data_centre: str
    incarnation: int


class Ping(Message, tag="ping"):
    """Probe a host.

    ``version`` is the sender's own member version, and ``claimed_version`` the
    version that the sender has of the receiver.
    """

    rid: int
    host: str
    version: int
    claimed_version: int


class Ack(Message, tag="ack"):
    """Reply to `Ping`.

    ``age_s`` is the age of the sender's configuration, ``root`` the digest of
    all its facts, and ``seen_version`` the platform version up to which it
    knows all objects.
    """

    rid: int
    version: int
    age_s: float
    root: int
    seen_version: int = 0


class ProbeFor(Message, tag="probefor"):
    """Ask a third host to probe a host (an indirect probe)."""

    rid: int
    host: str


class Probed(Message, tag="probed"):
    """Reply to `ProbeFor`."""

    rid: int
    reached: bool
