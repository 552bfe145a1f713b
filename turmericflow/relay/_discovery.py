"""What is believed of the targets, from the store's entries and other hosts."""

from __future__ import annotations

from turmericflow.relay._model import TargetEntry
from turmericflow.relay._tables import Target, TargetsChange, TargetTable

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


def difference(
    table: TargetTable, entries: list[TargetEntry], revision: int
) -> TargetsChange:
    """Return what brings a table to the entries as of a revision."""
    known = {row.entry.id: row.entry for row in table.rows.values()}
    written = [entry for entry in entries if known.pop(entry.id, None) != entry]
    return TargetsChange(table.revision, revision, False, written, list(known))


def put(table: TargetTable, entry: TargetEntry) -> None:
    """Take in one entry that was written."""
    _put(table, entry)
    _index(table)


def _remove(table: TargetTable, name: str, now: float) -> None:
    for key, target in list(table.rows.items()):
        if target.entry.id != name:
            continue
        if now < table.lenient_until:
            table.lapsed.setdefault(key, table.lenient_until)
        else:
            del table.rows[key]


def apply(table: TargetTable, change: TargetsChange, now: float) -> bool:
    """Take in what changed; return whether it follows on what is known.

    Entries that may have lapsed in an outage count on for a while.
    """
    halfway = change.complete and change.since < table.revision < change.revision
    if change.since != table.revision and not halfway:
        return False
    for name in change.removed:
        _remove(table, name, now)
    for entry in change.written:
        _put(table, entry)
    table.revision = change.revision
    _index(table)
    return True


def expire(table: TargetTable, now: float) -> list[str]:
    """Drop the lapsed entries whose time is over; return their names."""
    over = [key for key, until in table.lapsed.items() if now >= until]
    for key in over:
        del table.lapsed[key]
        table.rows.pop(key, None)
    if over:
        _index(table)
    return over
