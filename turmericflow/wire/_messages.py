"""Messages between routers.

Each message is a slotted class that is encoded as a msgpack array: its tag and
its fields in order.  A request carries ``rid``, a number that its reply repeats.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base of all messages between routers."""


class Hello(Message, tag="hello"):
    """First message on a connection: who speaks."""

    host: str
    data_centre: str
    incarnation: int


class Claim(Message, tag="claim"):
    """Ask a slot's owner for the right to run a request.

    ``lost_epoch`` names the runner epoch that the sender found unreachable;
    -1 asks for the first grant.
    """

    rid: int
    customer: str
    key: str
    try_no: int
    fingerprint: str
    generation: str
    profile: str
    idempotent: bool
    runner: str
    slot_epoch: int
    lost_epoch: int
    body: bytes


class WireAttempt(Message, tag="attempt"):
    """An attempt and the index of the first token that it may have added."""

    attempt: int
    index: int
    target: str


class WireFailure(Message, tag="failure"):
    """A `Failure` as it travels between routers."""

    code: str
    verdict: str
    message: str
    retry_after_s: float | None


class Granted(Message, tag="granted"):
    """The sender of a claim is the runner, from the journal's end."""

    rid: int
    generation: str
    runner_epoch: int
    attempts: list[WireAttempt]
    tokens: list[str]
    body: bytes


class Attached(Message, tag="attached"):
    """Another router runs the request; follow it there."""

    rid: int
    generation: str
    runner: str
    runner_epoch: int


class Recorded(Message, tag="recorded"):
    """The request has ended; this is its recorded answer."""

    rid: int
    generation: str
    attempts: list[WireAttempt]
    tokens: list[str]


class Refused(Message, tag="refused"):
    """The claim or operation is refused."""

    rid: int
    failure: WireFailure


class AppendEntry(Message, tag="entry"):
    """Tokens of one request that its runner has taken.

    ``complete`` says that the answer ends with these tokens.
    """

    customer: str
    key: str
    runner_epoch: int
    start: int
    texts: list[str]
    attempts: list[WireAttempt]
    complete: bool


class Append(Message, tag="append"):
    """A batch of journal entries from one runner."""

    rid: int
    entries: list[AppendEntry]


class Appended(Message, tag="appended"):
    """Acknowledges a batch; ``refused`` holds the indexes of stale entries."""

    rid: int
    refused: list[int]


class End(Message, tag="end"):
    """The runner has ended a request with a failure."""

    rid: int
    customer: str
    key: str
    runner_epoch: int
    failure: WireFailure


class Ended(Message, tag="ended"):
    """Acknowledges `End`."""

    rid: int


class Follow(Message, tag="follow"):
    """Ask a runner for a request's committed tokens from ``start`` on."""

    rid: int
    customer: str
    key: str
    start: int


class Followed(Message, tag="followed"):
    """Committed tokens for a follower; sent when there are some or at the end."""

    rid: int
    generation: str
    attempts: list[WireAttempt]
    start: int
    texts: list[str]
    complete: bool
    failure: WireFailure | None


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


class Ping(Message, tag="ping"):
    """Probe a host; says what the sender holds of itself and of the receiver."""

    rid: int
    host: str
    version: int
    believed: int


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
    seen: int = 0


class ProbeFor(Message, tag="probefor"):
    """Ask a third host to probe a host."""

    rid: int
    host: str


class Probed(Message, tag="probed"):
    """Answers `ProbeFor`."""

    rid: int
    reached: bool


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


AnyMessage = (
    Hello
    | Claim
    | Granted
    | Attached
    | Recorded
    | Refused
    | Append
    | Appended
    | End
    | Ended
    | Follow
    | Followed
    | Rumours
    | Ping
    | Ack
    | ProbeFor
    | Probed
    | Compare
    | Differences
    | Fetch
)
