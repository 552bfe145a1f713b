"""Encoding of the owner map as an object of the platform."""

from __future__ import annotations

from typing import Any

import msgspec

from turmericflow.tables import SlotEntry

NO_HOST = -1


class _OwnerMap(msgspec.Struct, forbid_unknown_fields=True):
    """Owner map with hosts as name, incarnation and data centre.

    A slot is owner, backup, epoch, owner_since and backup_since, with both
    hosts as indexes into ``hosts``.
    """

    hosts: list[tuple[str, int, str]]
    slots: list[tuple[int, int, int, int, int]]


def decode(value: Any) -> tuple[list[SlotEntry], dict[str, tuple[int, str]]]:
    """Return the slot entries, and each host's incarnation and data centre.

    Raises
    ------
    ValueError
        If the value is not a valid owner map.
    """
    raw = msgspec.convert(value, _OwnerMap)
    names = [name for name, _, _ in raw.hosts]
    # NO_HOST, as an index, is the last item.
    names.append("")
    for row in raw.slots:
        if not all(NO_HOST <= number < len(names) - 1 for number in row[:2]):
            raise ValueError(f"slots: got {row!r}, expected indexes into hosts")
    entries = [
        SlotEntry(names[owner], names[backup], epoch, owner_since, backup_since)
        for owner, backup, epoch, owner_since, backup_since in raw.slots
    ]
    return entries, {name: (number, centre) for name, number, centre in raw.hosts}


def encode(
    entries: list[SlotEntry], hosts: dict[str, tuple[int, str]]
) -> dict[str, list]:
    """Return the value of an owner map, to be stored in the platform."""
    names = list(hosts)
    index = {name: number for number, name in enumerate(names)}
    rows = [
        [
            index.get(entry.owner, NO_HOST),
            index.get(entry.backup, NO_HOST),
            entry.epoch,
            entry.owner_since,
            entry.backup_since,
        ]
        for entry in entries
    ]
    return {"hosts": [[name, *hosts[name]] for name in names], "slots": rows}
