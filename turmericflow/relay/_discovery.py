"""What is believed of the targets, from the store's entries and other hosts."""

from __future__ import annotations

from turmericflow.relay._model import TargetEntry
from turmericflow.relay._target_tables import Target, TargetsChange, TargetTable

LAPSED_GRACE_S = 2.5  # entries lapsed in an outage are back about 2 s after its end


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
    table: TargetTable,
    entries: list[TargetEntry],
    unreadable: list[str],
    revision: int,
) -> TargetsChange:
    """Return what brings a table to the entries as of a revision."""
    known = {row.entry.id: row.entry for row in table.rows.values()}
    written = [entry for entry in entries if known.pop(entry.id, None) != entry]
    removed = [id for id in known if id not in unreadable]
    since = table.revision
    return TargetsChange(since, revision, False, written, removed, unreadable)


def put(table: TargetTable, entry: TargetEntry) -> None:
    """Take in one entry that was written."""
    _put(table, entry)
    _index(table)


def _remove(table: TargetTable, ids: list[str], keep_until: float | None) -> None:
    for key, target in list(table.rows.items()):
        if target.entry.id not in ids:
            continue
        if keep_until is None:
            del table.rows[key]
        else:
            table.lapsed.setdefault(key, keep_until)


def apply(table: TargetTable, change: TargetsChange, now: float) -> bool:
    """Take in what changed; return whether it follows on what is known.

    Entries that may have lapsed in an outage count on for a while.
    """
    if change.revision <= table.revision or change.since > table.revision:
        return False
    if change.since < table.revision and not change.complete:
        return False
    lenient = now < table.lenient_until
    _remove(table, change.removed, table.lenient_until if lenient else None)
    _remove(table, change.unreadable, None)
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
