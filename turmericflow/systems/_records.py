"""Conversions between claims and their wire form."""

from __future__ import annotations

from dataclasses import dataclass

from turmericflow import wire
from turmericflow.systems._convert import (
    to_attempts,
    to_failure,
    to_wire_attempts,
    to_wire_failure,
)
from turmericflow.tables import Claim, ClaimState, RequestId, RequestRow, Tables


def to_record(row: Claim) -> wire.Record:
    """Return a claim's wire form; an ended claim is sent without its body."""
    return wire.Record(
        row.request_id.customer,
        row.request_id.key,
        row.try_no,
        row.fingerprint,
        row.generation,
        row.profile,
        row.idempotent,
        row.runner,
        row.runner_epoch,
        b"" if row.ended else row.body,
        row.state,
        to_wire_attempts(row.attempts),
        list(row.tokens),
        None if row.failure is None else to_wire_failure(row.failure),
        row.claim_id,
        row.journal_host,
        row.seq,
        row.regranted,
        None if row.refused_before is None else to_wire_failure(row.refused_before),
    )


def to_claim(tables: Tables, raw: wire.Record, now: float) -> Claim:
    """Return the claim of a wire record.

    Raises
    ------
    ValueError
        If the record's state is not one of `ClaimState`.
    """
    request_id = RequestId(raw.customer, raw.key)
    return Claim(
        request_id,
        raw.try_no,
        raw.fingerprint,
        raw.generation,
        raw.profile,
        raw.idempotent,
        raw.runner,
        raw.runner_epoch,
        raw.body,
        ClaimState(raw.state),
        to_attempts(raw.attempts),
        list(raw.tokens),
        None if raw.failure is None else to_failure(raw.failure),
        now,
        tables.slots.slot_of(request_id),
        raw.claim_id,
        raw.journal_host,
        raw.seq,
        raw.regranted,
        None if raw.refused_before is None else to_failure(raw.refused_before),
    )


@dataclass(slots=True, frozen=True, order=True)
class JournalLength:
    """Length of a journal, ordered by its tokens, then by its newest attempt."""

    tokens: int
    attempt: int


def journal_length(journal: Claim | wire.Record) -> JournalLength:
    """Return the length of a claim's or a record's journal."""
    attempts = journal.attempts
    return JournalLength(len(journal.tokens), attempts[-1].attempt if attempts else 0)


def to_upload_record(row: RequestRow, runner: str, journal_host: str) -> wire.Record:
    """Return the record that uploads a runner's request with its whole journal."""
    return wire.Record(
        row.request_id.customer,
        row.request_id.key,
        row.try_no,
        row.fingerprint,
        row.generation,
        row.profile.name,
        row.profile.idempotent,
        runner,
        row.runner_epoch,
        row.body,
        ClaimState.FINISHED if row.complete else ClaimState.RUNNING,
        to_wire_attempts(row.attempts),
        list(row.tokens),
        None,
        "",
        journal_host,
        0,
        False,
        None,
    )
