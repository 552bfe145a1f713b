"""Messages that copy claim records between the hosts of a slot."""

from __future__ import annotations

from turmericflow.wire._base import Message, WireAttempt, WireFailure, WireSlot


class Record(Message, tag="record"):
    """Wire form of a `Claim` with its journal."""

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
    """Base class of messages from a slot's owner to its backup."""

    rid: int
    slot: WireSlot


class Store(SlotMessage, tag="store"):
    """Replicate an owner's change of a claim to its backup."""

    record: Record


class Stored(Message, tag="stored"):
    """Reply to `Store` or `Transfer`.

    ``entry`` is set in a refusal if the sender has a newer slot entry, and
    ``record`` if its record of the claim is ahead of the owner's.
    """

    rid: int
    accepted: bool
    entry: WireSlot | None = None
    record: Record | None = None


class Transfer(SlotMessage, tag="transfer"):
    """Copy a part of a slot's records to a new backup.

    ``incarnation`` is that of the backup, or 0 if the sender does not know it.
    ``retention_s`` is the remaining time in which unknown keys may have run because
    records were lost.  ``unseen_grants_s`` is the remaining time in which a former
    owner may have granted idempotent work that the present owner does not know of.
    """

    incarnation: int
    first: bool
    last: bool
    records: list[Record]
    retention_s: float
    unseen_grants_s: float


class Upload(Message, tag="upload"):
    """Copy a runner's claim and whole journal to the slot's new owner or backup."""

    rid: int
    slot_epoch: int
    record: Record


class Uploaded(Message, tag="uploaded"):
    """Reply to `Upload`; ``replaced`` is set if another runner has the request."""

    rid: int
    accepted: bool
    replaced: bool = False
    entry: WireSlot | None = None
