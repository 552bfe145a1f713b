"""What is believed of the targets, from the store's entries and other hosts."""

from __future__ import annotations

from turmericflow.relay._model import TargetEntry
from turmericflow.relay._tables import Target, TargetTable

LAPSE_S = 2.5  # entries lapsed in an outage are back about 2 s after its end


def _index(table: TargetTable) -> None:
    table.by_service = {}
    for target in table.rows.values():
        table.by_service.setdefault(target.entry.service, []).append(target)


def _put(table: TargetTable, entry: TargetEntry) -> None:
    table.lapsed.pop(entry.key, None)
    known = table.rows.get(entry.key)
    if known is not None:
        known.entry = entry
        return
    for key, target in list(table.rows.items()):
        earlier = target.entry
        if earlier.id == entry.id or earlier.address == entry.address:
            del table.rows[key]
    table.rows[entry.key] = Target(entry)


def replace(table: TargetTable, entries: list[TargetEntry], revision: int) -> bool:
    """Take in all entries as of a revision; return whether they were newer."""
    if revision <= table.revision:
        return False
    table.revision = revision
    keys = {entry.key for entry in entries}
    for key in [key for key in table.rows if key not in keys]:
        del table.rows[key]
    for entry in entries:
        _put(table, entry)
    _index(table)
    return True


def put(table: TargetTable, entry: TargetEntry) -> None:
    """Take in one entry that was written."""
    _put(table, entry)
    _index(table)


def remove(table: TargetTable, name: str, keep_until: float | None) -> None:
    """Take in that an entry was removed.

    Parameters
    ----------
    table
        The targets.
    name
        Id of the target.
    keep_until
        Time until which an entry that may have lapsed in an outage counts on,
        or None.
    """
    for key, target in list(table.rows.items()):
        if target.entry.id != name:
            continue
        if keep_until is None:
            del table.rows[key]
        else:
            table.lapsed.setdefault(key, keep_until)
    _index(table)


def expire(table: TargetTable, now: float) -> list[str]:
    """Drop the lapsed entries whose time is over; return their names."""
    over = [key for key, until in table.lapsed.items() if now >= until]
    for key in over:
        del table.lapsed[key]
        table.rows.pop(key, None)
    if over:
        _index(table)
    return over
