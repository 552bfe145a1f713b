"""Slots of request keys, and who owns them."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash


@dataclass(slots=True, frozen=True)
class RequestId:
    """A request's name: the customer and the key that its caller chose."""

    customer: str
    key: str


@dataclass(slots=True, frozen=True)
class SlotEntry:
    """Owner and backup of one slot.

    Attributes
    ----------
    owner, backup
        Host names; ``backup`` is empty when there is none.
    epoch
        Number that grows with each change of the slot.  The owner map gives
        even numbers; a backup that takes over alone takes the odd one between.
    owner_since, backup_since
        Epoch from which each has been a party to the slot without a break.
    """

    owner: str
    backup: str
    epoch: int
    owner_since: int = 0
    backup_since: int = 0


@dataclass(slots=True)
class SlotTable:
    """The owner map in force on this host, and its own part in it.

    Attributes
    ----------
    version
        Version of the platform's object, 0 before one was learned.
    entries
        One entry for each slot, take-overs that the map lacks included.
    map_entries
        The entries as the map has them.
    incarnations, data_centres
        Incarnation and data centre of each host that the map names.
    change_count
        Number of changes of entries so far.
    held_epochs
        Epoch at which this host last held all records of a slot.
    receiving_epochs
        Epoch of the transfer that is under way to this host.
    synced_epochs
        Epoch at which the backup of a slot that this host owns held all.
    retention_until
        Time until which keys that are not known may have run, since all
        records were lost.
    opened_empty
        Number of slots opened so far without their records.
    unseen_grants_until
        Time until which a former owner may have granted idempotent work
        without the slot's present holders' knowledge.
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
        """Return the entry of a request's slot, or None before a map is known."""
        if not self.entries:
            return None
        return self.entries[self.slot_of(request_id)]
