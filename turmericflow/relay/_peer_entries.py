"""Checks of the entries that other hosts pass on.

A host of an earlier version takes entries of other writers for targets. Here an address
to which no connection can be made must not come into the tables.
"""

from __future__ import annotations

from turmericflow.relay._addresses import is_address
from turmericflow.relay._host_tables import HostStatus
from turmericflow.relay._model import TargetEntry
from turmericflow.relay._target_tables import TargetsChange


def usable_entries(entries: list[TargetEntry]) -> list[TargetEntry]:
    """Return the entries of targets to which connections can be made."""
    return [entry for entry in entries if is_address(entry.address)]


def _check_change(change: TargetsChange) -> TargetsChange:
    """Return a change in which entries without a usable address are unreadable."""
    written = usable_entries(change.written)
    if len(written) == len(change.written):
        return change
    odd = [entry.id for entry in change.written if not is_address(entry.address)]
    return TargetsChange(
        change.since,
        change.revision,
        change.complete,
        written,
        change.removed,
        change.unreadable + odd,
    )


def check_status(status: HostStatus) -> bool:
    """Take out of a status what names no target; return whether it names its host."""
    status.target_changes = [_check_change(each) for each in status.target_changes]
    status.adopted = usable_entries(status.adopted)
    return is_address(status.entry.peers)
