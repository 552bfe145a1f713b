"""Places for streams at engines that prefill one prompt at a time.

This is the variant that `benchmarks/prefill_apart.py` recommends; no host uses it yet.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

from turmericflow.relay import _placement as placement
from turmericflow.relay._target_tables import Target, TargetTable
from turmericflow.relay.admission import _room as room
from turmericflow.relay.admission._room import Places

# Streams per engine. With 5, an engine of 88,000 tokens has room for 4 copies of 9,110
# tokens as well; the table in docs/design/fair-shares-and-evidence.md compares limits.
MAX_STREAMS = 5
# Shares of the memory, of all engines and of the holder, up to which copies are made.
# From the same table; the rest covers streams that hosts send before they know of one
# another's choices.
MAX_BACKUP_OCCUPANCY = 0.8
MAX_HOLDER_FILL = 0.8


def avoided_engines(table: TargetTable, service: str, now: float) -> frozenset[str]:
    """Return the keys of engines that the placement avoids with their data centre.

    While a data centre counts as lost, streams are not sent to its other engines, so
    that their room is no place.

    Parameters
    ----------
    table
        The targets.
    service
        Service of the engines.
    now
        Time in seconds.
    """
    rows = table.by_service.get(service, ())
    lost = {
        name
        for name in {target.entry.data_centre for target in rows}
        if placement.data_centre_lost(table, name, service, now)
    }
    return frozenset(
        target.entry.key
        for target in rows
        if target.entry.data_centre in lost and now >= target.backoff_until
    )


def count_places(
    targets: Iterable[Target],
    avoided: Set[str],
    tokens: int,
    slots: int,
    capacity: int,
    now: float,
) -> Places:
    """Return the engines that prefill nothing and have room, one place for each.

    Parameters
    ----------
    targets
        The engines that may be used.
    avoided
        Keys of engines that have no place unless all others are in backoff; see
        `avoided_engines`.
    tokens
        KV cache tokens that each stream needs.
    slots, capacity
        Streams, at most `MAX_STREAMS`, and KV cache tokens that an engine is to hold.
    now
        Time in seconds.
    """
    rows = {target.entry.key: target for target in targets}
    reachable = [target for key, target in rows.items() if key not in avoided]
    found = room.count_places(reachable, tokens, slots, capacity, now)
    if not found.total:
        found = room.count_places(rows.values(), tokens, slots, capacity, now)
    idle = frozenset(
        key for key in found.engines if not rows[key].pending_prefill_tokens
    )
    total = sum(now >= target.backoff_until for target in rows.values())
    return Places(len(idle), total, idle, found.lost_runs)


def needs_copy(has_copy: bool, events: int, sent_share: float, most: float) -> bool:
    """Return whether a running stream is to get a copy later than at its start.

    Parameters
    ----------
    has_copy
        Whether it has a copy, or one is being made.
    events
        Events of the run; without any there is nothing to copy.
    sent_share
        Sent share of its output.
    most
        Share from which the run ends too soon for a copy.
    """
    return not has_copy and events > 0 and sent_share < most
