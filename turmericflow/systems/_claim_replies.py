"""Slot owner's replies to claims."""

from __future__ import annotations

from turmericflow import wire
from turmericflow.systems import _slots as slots_system
from turmericflow.systems._convert import to_wire_attempts, to_wire_failure
from turmericflow.tables import Claim, ClaimState, Tables
from turmericflow.verdict import Failure


def refused(rid: int, failure: Failure) -> wire.Refused:
    """Return the reply that a request is refused or has failed."""
    return wire.Refused(rid, to_wire_failure(failure))


def granted(rid: int, row: Claim) -> wire.Granted:
    """Return the reply that the sender is the runner, with the journal so far."""
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
    """Return the reply that names the slot's owner as this host knows it."""
    entry = tables.slots.entries[slot]
    return wire.Moved(rid, slots_system.to_wire_slot(slot, entry))


def ended(rid: int, row: Claim) -> wire.Message:
    """Return the reply with the outcome of an ended request."""
    if row.state is ClaimState.FINISHED:
        attempts = to_wire_attempts(row.attempts)
        return wire.Recorded(rid, row.generation, attempts, list(row.tokens))
    return refused(rid, row.failure)
