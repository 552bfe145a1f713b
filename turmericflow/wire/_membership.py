"""Messages of connections and of membership."""

from __future__ import annotations

from turmericflow.wire._base import Message


class Hello(Message, tag="hello"):
    """First message on a connection: who speaks."""

    host: str
    data_centre: str
    incarnation: int


class Ping(Message, tag="ping"):
    """Probe a host; says what the sender holds of itself and of the receiver."""

    rid: int
    host: str
    version: int
    claimed_version: int


class Ack(Message, tag="ack"):
    """Answers `Ping`.

    ``age_s`` is the age of the sender's configuration, ``root`` the digest of
    all that it knows, and ``seen`` the platform version up to which it knows
    all objects.
    """

    rid: int
    version: int
    age_s: float
    root: int
    seen_version: int = 0


class ProbeFor(Message, tag="probefor"):
    """Ask a third host to probe a host."""

    rid: int
    host: str


class Probed(Message, tag="probed"):
    """Answers `ProbeFor`."""

    rid: int
    reached: bool
