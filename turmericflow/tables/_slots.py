"""Slots that request keys hash to, with their owners and backups."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash


@dataclass(slots=True, frozen=True)
class RequestId:
    """Identifier of a request: the customer and the key that its caller chose."""

    customer: str
    key: str


@dataclass(slots=True, frozen=True)
class SlotEntry:
    """Owner and backup of one slot.

    Attributes
    ----------
    owner, backup
        Host names; ``backup`` is empty if the slot has none.
    epoch
        Number that grows with each change of the slot.  The owner map assigns
        even numbers; a takeover by the backup uses the odd number in between.
    owner_since, backup_since
        Epoch since which each host has been owner or backup of the slot without
        interruption.
    """

    owner: str
    backup: str
    epoch: int
    owner_since: int = 0
    backup_since: int = 0


@dataclass(slots=True)
class SlotTable:
    """The owner map in force on this host, and the records that it holds.

    Attributes
    ----------
    version
        Version of the map in the platform's store, 0 before a map arrived.
    entries
        Entries by slot, including takeovers that the map does not show yet.
    map_entries
        Entries by slot as in the map.
    incarnations, data_centres
        Incarnation and data centre of each host that the map names.
    change_count
        Number of changes of entries so far.
    held_epochs
        By slot, the last epoch in which this host held all its records.
    receiving_epochs
        By slot, the epoch of a transfer in progress to this host.
    synced_epochs
        By slot that this host owns, the epoch in which its backup received all
        records.
    retention_until
        By slot whose records were lost, the time until which unknown keys may
        have run.
    opened_empty
        Number of slots opened so far without their records.
    unseen_grants_until
        By slot, the time until which a former owner may have granted idempotent
        work that the present owner does not know of.
    """

    version: int = 0
    entries: list[SlotEntry] = field(default_factory=list)
    map_entries: list[SlotEntry] = field(default_factory=list)
    incarnations: dict[str, int] = field(default_factory=dict)
    data_centres: dict[str, str] = field(default_factory=dict)
    change_count: int = 0
    held_epochs: dict[int, int] = field(default_factory=dict)
    receiving_epochs: dict[int, int] = field(default_factory=dict)
    synced_epochs: dict[int, int] = field(default_factory=dict)
    retention_until: dict[int, float] = field(default_factory=dict)
    unseen_grants_until: dict[int, float] = field(default_factory=dict)
    opened_empty: int = 0

    def slot_of(self, request_id: RequestId) -> int:
        """Return the slot that a request hashes to."""
        name = f"{request_id.customer}\0{request_id.key}".encode()
        return xxhash.xxh3_64_intdigest(name) % max(1, len(self.entries))

    def entry_of(self, request_id: RequestId) -> SlotEntry | None:
        """Return the entry of a request's slot, or None before a map arrived."""
        if not self.entries:
            return None
        return self.entries[self.slot_of(request_id)]
