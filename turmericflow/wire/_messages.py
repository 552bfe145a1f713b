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
    -1 asks for the first grant.  ``gone`` says that the runner itself answered
    that it does not run the request.
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
    gone: bool = False


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
    regranted: bool = False
    journal_at: str = ""


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

    ``complete`` says that the answer ends with these tokens; no ``attempts``
    means that they are as they were.
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
    """Acknowledges a batch.

    ``refused`` holds the indexes of entries whose sender was replaced,
    ``unknown`` those whose journal is not here and is to be uploaded.
    """

    rid: int
    refused: list[int]
    unknown: list[int] = []


class End(Message, tag="end"):
    """The runner has ended a request with a failure."""

    rid: int
    customer: str
    key: str
    runner_epoch: int
    failure: WireFailure


class Ended(Message, tag="ended"):
    """Acknowledges `End` with the failure as it is recorded.

    None says that the sender is no longer the request's runner.
    """

    rid: int
    failure: WireFailure | None = None


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


class WireSlot(Message, tag="slot"):
    """Owner and backup of one slot, as `SlotEntry`."""

    slot: int
    owner: str
    backup: str
    epoch: int
    owner_since: int
    backup_since: int


class Moved(Message, tag="moved"):
    """Not decided here and now: ask again, at the entry's owner if newer."""

    rid: int
    entry: WireSlot | None = None


class Record(Message, tag="record"):
    """A whole claim with its journal, as it travels between hosts."""

    customer: str
    key: str
    try_no: int
    fingerprint: str
    generation: str
    profile: str
    idempotent: bool
    runner: str
    runner_epoch: int
    body: bytes
    state: str
    attempts: list[WireAttempt]
    tokens: list[str]
    failure: WireFailure | None
    grant: str
    journal_at: str
    seq: int
    regranted: bool
    refused_before: WireFailure | None


class Store(Message, tag="store"):
    """An owner's change of a claim, for its backup."""

    rid: int
    slot: WireSlot
    record: Record


class Stored(Message, tag="stored"):
    """Answers `Store`.

    ``entry`` is the sender's newer entry when it refuses; ``record`` is what
    it holds when that goes further than the owner's.
    """

    rid: int
    accepted: bool
    entry: WireSlot | None = None
    record: Record | None = None


class Transfer(Message, tag="transfer"):
    """A part of a slot's records, for a new backup of that incarnation."""

    rid: int
    slot: WireSlot
    incarnation: int
    first: bool
    last: bool
    records: list[Record]
    retention_s: float
    alone_s: float


class Upload(Message, tag="upload"):
    """A runner's claim with its whole journal, for the slot's new parties."""

    rid: int
    slot_epoch: int
    record: Record


class Uploaded(Message, tag="uploaded"):
    """Answers `Upload`; ``replaced`` says that another runner has the request."""

    rid: int
    accepted: bool
    replaced: bool = False
    entry: WireSlot | None = None


class Seal(Message, tag="seal"):
    """Ask a slot's owner to see to it that a refused try can never run."""

    rid: int
    customer: str
    key: str
    try_no: int
    fingerprint: str
    profile: str
    idempotent: bool
    slot_epoch: int
    failure: WireFailure


class Sealed(Message, tag="sealed"):
    """Answers `Seal`; the failure is told with the verdict given here."""

    rid: int
    failure: WireFailure


class FlowDemand(msgspec.Struct, array_like=True, frozen=True):
    """What one customer's work within a profile asks for at one router."""

    profile: str
    customer: str
    asked_per_s: float


class PoolDemand(msgspec.Struct, array_like=True, frozen=True):
    """What a router has waiting for a pool, and what is asked of it there.

    ``hold_s`` is the mean time for which a request holds a place there, 0 if it
    is not known.  ``flows`` are the customers that ask most; None if only
    ``waiting`` is told again.
    """

    waiting: int = 0
    asked_per_s: float = 0.0
    hold_s: float = 0.0
    flows: tuple[FlowDemand, ...] | None = None


class InFlight(Message, tag="in_flight"):
    """Tell how many requests a router has running on targets.

    ``waiting`` tells how many it has in the queue of each pool, and which
    customers ask most.  ``full`` says that it has none on targets that are not
    named; otherwise nothing has changed there.
    """

    host: str
    full: bool
    counts: dict[str, int]
    waiting: dict[str, PoolDemand]


class Demands(Message, tag="demands"):
    """Tell the keeper of customers' limits what a router saw, per second."""

    rid: int
    host: str
    rates: dict[str, float]


class Allotments(Message, tag="allotments"):
    """Answers `Demands`: the router's parts of the limits, per second."""

    rid: int
    rates: dict[str, float]


class BurnCounts(Message, tag="burn_counts"):
    """Service-level counts of a host, for the host that saves them.

    ``number`` grows with each new batch of counts; a batch is sent again under
    its number until it is taken.
    """

    rid: int
    host: str
    number: int
    value: bytes


class BurnTaken(Message, tag="burn_taken"):
    """Acknowledges `BurnCounts`."""

    rid: int


class Cancel(Message, tag="cancel"):
    """Ask a runner to end a request that its caller no longer wants."""

    rid: int
    customer: str
    key: str


class Cancelled(Message, tag="cancelled"):
    """Answers `Cancel`; ``found`` says whether the request still ran."""

    rid: int
    found: bool


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
    | Moved
    | Store
    | Stored
    | Transfer
    | Upload
    | Uploaded
    | Seal
    | Sealed
    | Ping
    | Ack
    | ProbeFor
    | Probed
    | Compare
    | Differences
    | Fetch
    | InFlight
    | Demands
    | Allotments
    | BurnCounts
    | BurnTaken
    | Cancel
    | Cancelled
)
