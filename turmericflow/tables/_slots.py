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
        Number that grows with each change of the slot.
    """

    owner: str
    backup: str
    epoch: int


@dataclass(slots=True)
class SlotTable:
    """The owner map in force on this host.

    Attributes
    ----------
    version
        Version of the platform's object, 0 before one was learned.
    entries
        One entry for each slot.
    """

    version: int = 0
    entries: list[SlotEntry] = field(default_factory=list)

    def slot_of(self, request_id: RequestId) -> int:
        """Return the slot that a request hashes to."""
        name = f"{request_id.customer}\0{request_id.key}".encode()
        return xxhash.xxh3_64_intdigest(name) % max(1, len(self.entries))

    def entry_of(self, request_id: RequestId) -> SlotEntry | None:
        """Return the entry of a request's slot, or None before a map is known."""
        if not self.entries:
            return None
        return self.entries[self.slot_of(request_id)]
