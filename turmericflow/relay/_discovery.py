"""Updates the table of targets from store entries and from other hosts."""

from __future__ import annotations

from turmericflow.relay._model import TargetEntry
from turmericflow.relay._target_tables import Target, TargetsChange, TargetTable

LAPSED_GRACE_S = 2.5  # targets re-register about 2 s after the end of an outage
FORGET_AFTER_S = 60.0  # departures of targets without an entry


def _rebuild_service_index(table: TargetTable) -> None:
    table.by_service = {}
    for target in table.rows.values():
        table.by_service.setdefault(target.entry.service, []).append(target)


def record_leaving(table: TargetTable, key: str, now: float) -> bool:
    """Record that a target leaves, whatever its entry says; return whether it is new.

    A process that starts under the same id has another key.
    """
    if key in table.leaving:
        return False
    table.leaving[key] = now
    if key in table.rows:
        table.rows[key].leaving = True
    return True


def _put(table: TargetTable, entry: TargetEntry) -> None:
    table.lapsed.pop(entry.key, None)
    existing = table.rows.get(entry.key)
    if existing is not None:
        existing.entry = entry
        existing.leaving |= entry.leaving
        return
    for key, target in list(table.rows.items()):
        earlier = target.entry
        if earlier.id == entry.id or earlier.address == entry.address:
            del table.rows[key]
    target = table.rows[entry.key] = Target(entry)
    target.leaving |= entry.key in table.leaving


def replace(table: TargetTable, entries: list[TargetEntry], revision: int) -> bool:
    """Replace the table by all entries as of the revision of their last change.

    Returns
    -------
    bool
        False if the table is not older.
    """
    if revision <= table.revision:
        return False
    table.revision = table.changed_revision = revision
    keys = {entry.key for entry in entries}
    for key in [key for key in table.rows if key not in keys]:
        del table.rows[key]
    for entry in entries:
        _put(table, entry)
    _rebuild_service_index(table)
    return True


def difference(
    table: TargetTable,
    entries: list[TargetEntry],
    unreadable: list[str],
    revision: int,
) -> TargetsChange:
    """Return the change that brings a table to the entries at a revision."""
    old = {row.entry.id: row.entry for row in table.rows.values()}
    written = [entry for entry in entries if old.pop(entry.id, None) != entry]
    removed = [id for id in old if id not in unreadable]
    unreadable = [id for id in unreadable if id in old]
    since = table.changed_revision
    return TargetsChange(since, revision, False, written, removed, unreadable)


def confirm(table: TargetTable, since: int, revision: int, now: float) -> None:
    """Record that no target changed in the store between two revisions, until now."""
    if since <= table.revision:
        table.revision = max(table.revision, revision)
        table.verified_at = max(table.verified_at, now)


def put(table: TargetTable, entry: TargetEntry) -> None:
    """Insert or update one entry."""
    _put(table, entry)
    _rebuild_service_index(table)


def _remove(table: TargetTable, ids: list[str], keep_until: float | None) -> None:
    for key, target in list(table.rows.items()):
        if target.entry.id not in ids:
            continue
        if keep_until is None:
            del table.rows[key]
        else:
            table.lapsed.setdefault(key, keep_until)


def apply(table: TargetTable, change: TargetsChange, now: float) -> bool:
    """Apply a change; return False if it is not newer or others before it are lacking.

    For `LAPSED_GRACE_S` after an outage of the store, removed entries stay in use: they
    may have lapsed only because their targets could not renew them.
    """
    if change.revision <= table.revision or change.since > table.revision:
        return False
    if change.since < table.changed_revision and not change.complete:
        return False
    in_grace_period = now < table.outage_grace_until
    _remove(
        table, change.removed, table.outage_grace_until if in_grace_period else None
    )
    _remove(table, change.unreadable, None)
    for entry in change.written:
        _put(table, entry)
    table.revision = change.revision
    if not change.empty:
        table.changed_revision = change.revision
        _rebuild_service_index(table)
    return True


def expire(table: TargetTable, now: float) -> list[str]:
    """Remove lapsed entries whose grace period is over; return their keys.

    Departures are forgotten some time after the entry is removed.
    """
    for key, at in list(table.leaving.items()):
        if key in table.rows:
            table.leaving[key] = now
        elif now - at > FORGET_AFTER_S:
            del table.leaving[key]
    expired = [key for key, until in table.lapsed.items() if now >= until]
    for key in expired:
        del table.lapsed[key]
        table.rows.pop(key, None)
    if expired:
        _rebuild_service_index(table)
    return expired
