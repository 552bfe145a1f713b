"""Updates the table of targets from store entries and from other hosts."""

from __future__ import annotations

import math
from collections.abc import Collection

from turmericflow.relay._model import TargetEntry
from turmericflow.relay._revisions import era_of
from turmericflow.relay._target_tables import Target, TargetsChange, TargetTable

LAPSED_GRACE_S = 2.5  # targets re-register about 2 s after the end of an outage
FORGET_AFTER_S = 60.0  # departures and removals of targets without an entry
# Until the store has removed the entries of a copy whose targets have ended.
OUTDATED_ENTRIES_S = 10.0


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


def begin_era(table: TargetTable, revision: int, now: float) -> bool:
    """Notice that the store came back from an older copy; return whether it did.

    Targets whose entries the copy lacks stay in use until they write them again.
    """
    if not 0 <= era_of(table.revision) < era_of(revision):
        return False
    table.restored_at = now
    table.outage_grace_until = max(table.outage_grace_until, now + LAPSED_GRACE_S)
    return True


class _Index:
    """Rows of a table by id and by address, while entries are put into it."""

    __slots__ = ("_by_id", "_by_address")

    def __init__(self, table: TargetTable) -> None:
        self._by_id: dict[str, list[Target]] = {}
        self._by_address: dict[str, list[Target]] = {}
        for row in table.rows.values():
            self.add(row)

    def add(self, row: Target) -> None:
        """Add a row of the table."""
        self._by_id.setdefault(row.entry.id, []).append(row)
        self._by_address.setdefault(row.entry.address, []).append(row)

    def remove(self, row: Target) -> None:
        """Remove a row, before its entry changes or it leaves the table."""
        self._by_id[row.entry.id].remove(row)
        self._by_address[row.entry.address].remove(row)

    def find_later(self, entry: TargetEntry) -> Target | None:
        """Return the row of a later process of an entry's target, or None."""
        for row in self._by_id.get(entry.id, ()):
            if row.entry.born_ms > entry.born_ms:
                return row
        return None

    def find_replaced(self, entry: TargetEntry) -> list[Target]:
        """Return the rows of the same id, or at the same address."""
        of_id = self._by_id.get(entry.id)
        at_address = self._by_address.get(entry.address)
        if not of_id and not at_address:
            return []
        others = [row for row in at_address or () if row.entry.id != entry.id]
        return [*(of_id or ()), *others]


def _was_removed(table: TargetTable, entry: TargetEntry) -> bool:
    """Return whether an entry was removed before the restore, or a later one ever."""
    born_ms, at = table.removed.get(entry.id, (-1, table.restored_at))
    before = at < table.restored_at
    return born_ms > entry.born_ms or (born_ms == entry.born_ms and before)


def _record_removed(table: TargetTable, entry: TargetEntry, now: float) -> None:
    born_ms, _ = table.removed.get(entry.id, (-1, now))
    table.removed[entry.id] = max(born_ms, entry.born_ms), now


def _put(
    table: TargetTable,
    index: _Index,
    entry: TargetEntry,
    now: float,
    written: bool = False,
) -> None:
    """Insert or update one entry.

    Parameters
    ----------
    table, index
        The table, and the index of its rows.
    entry
        The entry.
    now
        Time in seconds.
    written
        Whether the target is known to have just written it. Else, after a restore, it
        may be one that only an older copy of the store holds.
    """
    in_copy = not written and now < table.restored_at + OUTDATED_ENTRIES_S
    later = index.find_later(entry) if in_copy else None
    if later is not None:
        # The store does not list what is kept.
        expires_at = table.restored_at + OUTDATED_ENTRIES_S
        table.lapsed.setdefault(later.entry.key, expires_at)
        return
    key = entry.key
    unconfirmed = in_copy and _was_removed(table, entry)
    table.lapsed.pop(key, None)
    if not unconfirmed:
        table.removed.pop(entry.id, None)
    if entry.leaving:
        table.leaving.setdefault(key, now)
    existing = table.rows.get(key)
    if existing is not None:
        index.remove(existing)
        existing.entry = entry
        index.add(existing)
        existing.leaving |= entry.leaving
        existing.unconfirmed &= not written
        return
    for target in index.find_replaced(entry):
        index.remove(target)
        del table.rows[target.entry.key]
        _record_removed(table, target.entry, now)
    target = table.rows[key] = Target(entry)
    index.add(target)
    target.leaving |= key in table.leaving
    target.unconfirmed = unconfirmed


def replace(
    table: TargetTable, entries: list[TargetEntry], revision: int, now: float
) -> bool:
    """Replace the table by all entries as of the revision of their last change.

    Returns
    -------
    bool
        False if the table is not older.
    """
    if revision <= table.revision:
        return False
    begin_era(table, revision, now)
    table.revision = table.changed_revision = revision
    keys = {entry.key for entry in entries}
    missing = {row.entry.id for key, row in table.rows.items() if key not in keys}
    in_grace_period = now < table.outage_grace_until
    keep_until = table.outage_grace_until if in_grace_period else None
    _remove(table, missing, keep_until, now)
    index = _Index(table)
    for entry in entries:
        _put(table, index, entry, now)
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
    written = [
        entry
        for entry in entries
        if old.pop(entry.id, None) != entry or entry.key in table.lapsed
    ]
    odd = frozenset(unreadable)
    removed = [id for id in old if id not in odd]
    unreadable = [id for id in unreadable if id in old]
    since = table.changed_revision
    return TargetsChange(since, revision, False, written, removed, unreadable)


def listed_entries(table: TargetTable) -> list[TargetEntry]:
    """Return the entries in the store, and those of adopted targets.

    Targets that are kept for a while after their entry was removed are left out.
    """
    return [
        row.entry
        for key, row in table.rows.items()
        if table.lapsed.get(key, math.inf) == math.inf
    ]


def confirm(table: TargetTable, since: int, revision: int, now: float) -> None:
    """Record that no target changed in the store between two revisions, until now."""
    if since <= table.revision and era_of(since) == era_of(table.revision):
        table.revision = max(table.revision, revision)
        table.verified_at = max(table.verified_at, now)


def put(table: TargetTable, entry: TargetEntry, now: float) -> None:
    """Insert or update one entry."""
    _put(table, _Index(table), entry, now)
    _rebuild_service_index(table)


def _remove(
    table: TargetTable, ids: Collection[str], keep_until: float | None, now: float
) -> None:
    ids = frozenset(ids)
    if not ids:
        return
    for key, target in list(table.rows.items()):
        if target.entry.id not in ids:
            continue
        if keep_until is None:
            del table.rows[key]
            _record_removed(table, target.entry, now)
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
    restored = begin_era(table, change.revision, now)
    in_grace_period = now < table.outage_grace_until
    keep_until = table.outage_grace_until if in_grace_period else None
    _remove(table, change.removed, keep_until, now)
    _remove(table, change.unreadable, None, now)
    index = _Index(table) if change.written else None
    for entry in change.written:
        _put(table, index, entry, now, change.complete)
    table.revision = change.revision
    # Others must not take the targets of two eras for the same.
    if not change.empty or restored:
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
    if now >= table.restored_at + OUTDATED_ENTRIES_S:
        for row in table.rows.values():
            row.unconfirmed = False
    for id, (_, at) in list(table.removed.items()):
        if now - at > FORGET_AFTER_S:
            del table.removed[id]
    expired = [key for key, until in table.lapsed.items() if now >= until]
    for key in expired:
        del table.lapsed[key]
        target = table.rows.pop(key, None)
        if target is not None:
            _record_removed(table, target.entry, now)
    if expired:
        _rebuild_service_index(table)
    return expired
