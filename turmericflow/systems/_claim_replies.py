"""Owner's answers to those who ask for a claim."""

from __future__ import annotations

from turmericflow import wire
from turmericflow.systems import _slots as slots_system
from turmericflow.systems._convert import to_wire_attempts, to_wire_failure
from turmericflow.tables import Claim, ClaimState, Tables
from turmericflow.verdict import Failure


def refused(rid: int, failure: Failure) -> wire.Refused:
    """Answer that a request is refused or has failed."""
    return wire.Refused(rid, to_wire_failure(failure))


def granted(rid: int, row: Claim) -> wire.Granted:
    """Answer that the sender is the runner, with what is known of the answer."""
    return wire.Granted(
        rid,
        row.generation,
        row.runner_epoch,
        to_wire_attempts(row.attempts),
        list(row.tokens),
        row.body,
        row.regranted,
        row.journal_host,
    )


def moved(tables: Tables, rid: int, slot: int) -> wire.Moved:
    """Answer that another host owns the slot, as this host knows it."""
    entry = tables.slots.entries[slot]
    return wire.Moved(rid, slots_system.to_wire_slot(slot, entry))


def ended(rid: int, row: Claim) -> wire.Message:
    """Answer with what a request that is over came to."""
    if row.state is ClaimState.FINISHED:
        attempts = to_wire_attempts(row.attempts)
        return wire.Recorded(rid, row.generation, attempts, list(row.tokens))
    return refused(rid, row.failure)
