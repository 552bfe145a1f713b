"""Binds one request's stream to the version that begins it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from turmericflow.relay import _adoption as adoption, _intervals as intervals
from turmericflow.relay._stream_versions import version_of
from turmericflow.relay._target_tables import Target
from turmericflow.relay.version_binding._decisions import (
    Anywhere,
    At,
    Records,
    Refused,
    ShowAtOnce,
    ShowEvents,
    ShowFrom,
    ShowOnceRecorded,
    View,
    choose_show,
    choose_start,
)

if TYPE_CHECKING:
    from turmericflow.relay._attempts import Attempts

# Until a host that starts writes the first record: it waits for others, and reads.
FIRST_RECORD_S = 5.0

log = structlog.get_logger()


class VersionBinding:
    """Bind a stream to a version, before it is sent and when it is taken up."""

    __slots__ = ("_attempts", "_sent_to")

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts
        self._sent_to: set[str] = set()  # versions to which a new stream was sent

    async def bind_resumed(self) -> None:
        """Bind a stream that its client takes up to the version that began it.

        Raises
        ------
        RequestFailed
            If that version is not known, and the service has several, had several or
            may have had several.
        """
        attempts = self._attempts
        if attempts.call.last_event_id is None:
            return
        attempts.version = self._find_begun()
        outcome = "known"
        if attempts.version is None:
            # This host may have missed what the others told.
            was_read = await attempts.ctx.read_versions()
            attempts.version = self._find_begun()
            outcome = "read"
            if attempts.version is None and was_read:
                attempts.version = self._find_chosen()
                outcome = "chosen"
        if attempts.version is None:
            attempts.version = self._find_only(was_read)
            outcome = "only"
        attempts.ctx.metrics.taken_up.labels(outcome).inc()

    def _find_only(self, was_read: bool) -> str | None:
        """Return the only version that a service has had lately, None if it has none.

        Raises
        ------
        RequestFailed
            If it has had several, or may have had others.
        """
        ctx, service = self._attempts.ctx, self._attempts.match.service
        now = ctx.clock.now()
        found = self._seen(now)
        # Without the records, a host that is out of step would not notice it.
        complete = was_read and ctx.tables.stream_versions.is_complete(service, now)
        if len(found) > 1 or not complete:
            ctx.metrics.taken_up.labels("refused").inc()
            raise self._attempts.build_failure(
                f"the version that began the stream {self._attempts.call.resumes!r} is"
                f" not known; versions of the service: {sorted(found)}, all of them"
                f" known: {complete}"
            )
        return next(iter(found), None)

    def _find_begun(self) -> str | None:
        """Return the version known to have begun the stream that is taken up."""
        call, ctx = self._attempts.call, self._attempts.ctx
        if call.resumes is None:
            return None
        return ctx.tables.stream_versions.find(call.resumes)

    def _find_chosen(self) -> str | None:
        """Return the version that must have begun a stream without a record."""
        call, ctx = self._attempts.call, self._attempts.ctx
        if call.resumes is None:
            return None
        versions, service = ctx.tables.stream_versions, self._attempts.match.service
        if not versions.is_complete(service, ctx.clock.now()):
            return None
        return versions.begun_by_id(service, call.resumes)

    def bind_new(self) -> None:
        """Bind a new stream to the version that its id chooses while none is recorded.

        Raises
        ------
        RequestFailed
            If that version has no targets, so that nothing would tell after the loss
            of all hosts which version began the stream.
        """
        attempts = self._attempts
        if attempts.call.last_event_id is not None:
            return
        now = attempts.ctx.clock.now()
        records, chosen = self._records(now), self._chosen()
        if records is Records.CURRENT:
            return
        if chosen is not None and attempts.rollout is not None:
            attempts.rollout.decline(now)  # its id tells another version
        view = self._view(records, chosen, now)
        match choose_start(view):
            case Anywhere():
                return
            case At(version):
                attempts.version = version
            case Refused():
                self._refuse(view)

    def _refuse(self, view: View) -> None:
        attempts = self._attempts
        attempts.ctx.metrics.unrecorded_refusals.inc()
        log.info(
            "stream_not_begun",
            request=attempts.call.id,
            service=attempts.match.service,
            chosen=view.chosen,
            open=sorted(view.open),
            records_age_s=round(
                attempts.ctx.tables.stream_versions.records_age_s(
                    attempts.ctx.clock.now()
                ),
                3,
            ),
        )
        if view.chosen is None:
            reason = "it is not known which version the id chooses"
        else:
            reason = f"the id chooses the version {view.chosen!r}, which has no targets"
        raise attempts.build_failure(
            f"{reason}, and the store records no other; versions with targets:"
            f" {sorted(view.open)}"
        )

    def announce(self, target: Target) -> ShowEvents:
        """Tell all hosts the version to which a stream is sent.

        Returns
        -------
        ShowEvents
            When the stream's first event may be shown.
        """
        attempts = self._attempts
        ctx, call = attempts.ctx, attempts.call
        now = ctx.clock.now()
        begun_by = call.id if call.last_event_id is None else call.resumes
        version = version_of(target.entry)
        if begun_by is not None:
            ctx.tables.stream_versions.record(begun_by, version, now)
        ctx.announce_load()
        if call.last_event_id is not None:
            return ShowAtOnce()
        self._sent_to.add(version)
        chosen = self._chosen()
        if self._sent_to == {chosen}:
            return ShowAtOnce()  # without a look at all targets
        return choose_show(
            self._view(self._records(now), chosen, now),
            self._sent_to,
            ShowOnceRecorded(call.id, version),
            now + intervals.record_time_s(ctx.tables),
        )

    def may_show(self, show: ShowEvents) -> bool:
        """Return whether the first event may be shown now.

        A version may also come into force that the stream's id chooses.
        """
        ctx = self._attempts.ctx
        match show:
            case ShowAtOnce():
                return True
            case ShowFrom(at):
                return ctx.clock.now() >= at
            case ShowOnceRecorded(id, version):
                if self._sent_to == {version} == {self._chosen()}:
                    return True
                return ctx.tables.stream_versions.is_recorded(id, version)

    def _chosen(self) -> str | None:
        attempts = self._attempts
        versions = attempts.ctx.tables.stream_versions
        return versions.chosen_by_id(attempts.match.service, attempts.call.id)

    def _records(self, now: float) -> Records:
        tables, service = self._attempts.ctx.tables, self._attempts.match.service
        versions = tables.stream_versions
        age_s = versions.records_age_s(now)
        if age_s <= intervals.max_records_age_s(tables):
            if not tables.hosts.unanswered_kinds:
                return Records.CURRENT
            if not adoption.store_unreachable(tables, now):
                return Records.EXPECTED
        if age_s == float("inf") and versions.seen_for_s(service, now) < FIRST_RECORD_S:
            if not adoption.store_unreachable(tables, now):
                return Records.EXPECTED
        return Records.AWAY

    def _view(self, records: Records, chosen: str | None, now: float) -> View:
        attempts = self._attempts
        tables, service = attempts.ctx.tables, attempts.match.service
        closed = attempts.placement_demand().excluded_versions
        rows = tables.targets.by_service.get(service, ())
        found = {
            version_of(row.entry)
            for row in rows
            if not row.leaving and row.entry.key not in tables.targets.adopted
        }
        in_force = service in tables.stream_versions.in_force
        return View(records, chosen, in_force, found - closed, self._seen(now))

    def _seen(self, now: float) -> set[str]:
        """Return the versions of the service's targets, also recent ones."""
        attempts = self._attempts
        tables, service = attempts.ctx.tables, attempts.match.service
        rows = tables.targets.by_service.get(service, ())
        entries = [row.entry for row in rows]
        return tables.stream_versions.see(service, entries, now)
