"""Messages that carry whole records between the hosts of a slot."""

from __future__ import annotations

from turmericflow.wire._base import Message, WireAttempt, WireFailure, WireSlot


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
    claim_id: str
    journal_host: str
    seq: int
    regranted: bool
    refused_before: WireFailure | None


class SlotMessage(Message):
    """What the owner of a slot tells its backup."""

    rid: int
    slot: WireSlot


class Store(SlotMessage, tag="store"):
    """An owner's change of a claim, for its backup."""

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


class Transfer(SlotMessage, tag="transfer"):
    """A part of a slot's records, for a new backup of that incarnation."""

    incarnation: int
    first: bool
    last: bool
    records: list[Record]
    retention_s: float
    unseen_grants_s: float


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
