"""Periodic checks: ends silent attempts, probes suspects, removes stale state."""

from __future__ import annotations

from collections.abc import Coroutine, Set

import structlog
from mode import Service

from turmericflow.relay import (
    _adoption as adoption,
    _copies as copies,
    _discovery as discovery,
    _membership as membership,
    _paths as paths,
    _placement as placement,
    _silence as silence,
    _stream as stream,
)
from turmericflow.relay._attempts import (
    SILENCE,
    record_path_failure,
    record_target_loss,
)
from turmericflow.relay._context import HostContext
from turmericflow.relay._crashing_parts import PartCrash
from turmericflow.relay._model import TargetEntry
from turmericflow.relay._store import Conflict, StoreFailed
from turmericflow.relay._tables import AbortReason, CrashSuspect, Run
from turmericflow.relay._tasks import contain
from turmericflow.verdict import TargetFailed

TICK_S = 0.05
SLOW_TICK_S = 1.0
PATH_PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.2  # targets report at once; connecting takes milliseconds

log = structlog.get_logger()


class Watchdog(Service):
    """Runs the periodic checks over all tables of this host."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._ctx = ctx

    @Service.task
    async def _tick(self) -> None:
        clock = self._ctx.clock
        while not self.should_stop:
            await self.sleep(TICK_S)
            late_s = clock.tick(TICK_S)
            if late_s > silence.MIN_SILENCE_S:
                log.info("process_stalled", late_s=round(late_s, 3))
            self._check_silent_streams()
            self._check_crash_suspects()
            self._apply_convictions()
            self._probe_misdirected()
            self._copy_runs()

    def _copy_runs(self) -> None:
        ctx = self._ctx
        found = copies.find_lost_copies(ctx.tables)
        if ctx.admission is not None:
            found += copies.find_uncopied(ctx.tables, ctx.clock.now())
        for run in found:
            run.copying = True
            self._start("copy_kv_cache", self._copy_kv_cache(run))

    def _start(self, task: str, work: Coroutine[None, None, object]) -> None:
        self.add_future(contain(self._ctx, task, work))

    def _check_silent_streams(self) -> None:
        tables, now = self._ctx.tables, self._ctx.clock.unstalled_now()
        found = silence.find_silent_streams(tables, now)
        silent_targets = silence.find_silent_targets(tables, now) if found else set()
        for silent in found:
            run = silent.run
            match silent.action:
                case silence.Action.END:
                    self._resume_elsewhere(run, AbortReason.SILENT, silent_targets)
                case silence.Action.PROBE:
                    run.probed_at = now
                    self._start("probe", self._probe(run))

    def _resume_elsewhere(
        self, run: Run, reason: AbortReason, silent_targets: Set[str]
    ) -> None:
        """End a silent attempt if its stream can resume elsewhere; else keep it."""
        if self._may_resume_elsewhere(run, silent_targets):
            self._abort_run(run, reason, silent_targets)
        else:
            self._hold_run(run)

    def _may_resume_elsewhere(self, run: Run, silent_targets: Set[str]) -> bool:
        """Charge the retry budget if a stream can resume; return whether it can."""
        if run.attempts_left <= 0:
            return False
        ctx, tables, now = self._ctx, self._ctx.tables, self._ctx.clock.now()
        copy = run.kv_copy if run.events else None
        destination = silence.find_destination(
            tables, run.demand, copy, silent_targets, now, ctx.rng
        )
        if destination is None:
            return False
        service = run.target.entry.service
        return membership.try_spend_retry(tables, service, True, now)

    def _hold_run(self, run: Run) -> None:
        """Keep a silent attempt, and avoid its target for new work."""
        clock, target = self._ctx.clock, run.target
        now = clock.unstalled_now()
        silent_s = round(now - run.last_event_at, 3)
        if not run.held:
            run.held = True
            log.info(
                "stream_held",
                request=run.call.id,
                target=target.entry.key,
                silent_s=silent_s,
                events=run.events,
                attempts_left=run.attempts_left,
            )
        if now - target.last_event_at < silence.MIN_SILENCE_S:
            return
        if target.silent:
            placement.prolong_backoff(target, clock.now())
        else:
            reason = f"silent: no event for {silent_s:.3f} s"
            record_target_loss(self._ctx, target, SILENCE, reason)

    def _abort_run(
        self, run: Run, reason: AbortReason, silent_targets: Set[str]
    ) -> None:
        clock = self._ctx.clock
        log.info(
            "stream_silent",
            request=run.call.id,
            target=run.target.entry.key,
            silent_s=round(clock.unstalled_now() - run.last_event_at, 3),
            events=run.events,
            event_gap_s=round(run.target.event_gap_s, 4),
            due_s=round(run.first_event_due_s, 3),
            fault=reason.value,
        )
        stream.interrupt(run, reason, silent_targets, clock.now())

    async def _probe(self, run: Run) -> None:
        if run.relayed:
            return  # this host does not reach its target
        address = run.target.entry.address
        alive = await self._ctx.target_client.probe(address, PROBE_TIMEOUT_S)
        if run.events or run not in self._ctx.tables.runs:
            return
        if not alive and run.abort_reason is None:
            tables, now = self._ctx.tables, self._ctx.clock.unstalled_now()
            silent_targets = silence.find_silent_targets(tables, now)
            self._resume_elsewhere(run, AbortReason.LOST, silent_targets)

    def _probe_misdirected(self) -> None:
        misdirected, self._ctx.misdirected = self._ctx.misdirected, []
        if adoption.store_unreachable(self._ctx.tables, self._ctx.clock.now()):
            for entry in {target.address: target for target in misdirected}.values():
                self._start("adopt", self._adopt(entry))

    async def _adopt(self, earlier: TargetEntry) -> None:
        """Adopt an engine that restarted while no host can read the store."""
        tables = self._ctx.tables
        service = tables.deployment.services.get(earlier.service)
        if service is None:
            return
        target_client = self._ctx.target_client
        report = await target_client.fetch_report(earlier.address, service.health_path)
        if report is None:
            return
        entry = adoption.entry_from_report(tables, earlier, report)
        if entry is None or entry.key in tables.targets.rows:
            return
        adoption.adopt(tables, entry, self._ctx.clock.now())
        log.info(
            "target_adopted",
            target=entry.key,
            address=entry.address,
            earlier=earlier.key,
            view=tables.targets.revision,
        )
        self._ctx.announce()

    async def _copy_kv_cache(self, run: Run) -> None:
        """Copy a run's KV cache if its copy was lost or it has none.

        If this fails, the run continues without a copy.
        """
        ctx = self._ctx
        if run not in ctx.tables.runs:
            return
        lost_holder = run.backup and run.backup.entry.key
        constrain = ctx.admission and ctx.admission.constrain_backup
        now = ctx.clock.now()
        holder = copies.choose_holder(ctx.tables, run, now, ctx.rng, constrain)
        run.drop_copy()
        run.copy_due_at = now + copies.COPY_RETRY_S
        if holder is None:
            run.copying = False
            return
        source = run.target.entry.address
        try:
            copy = await ctx.target_client.copy_kv_cache(
                run.call, source, holder.entry.address
            )
        except TargetFailed as exc:
            log.info("copy_not_made", request=run.call.id, reason=str(exc))
            run.copying = False
            return
        if run not in ctx.tables.runs:
            return
        run.set_copy(holder, copy)
        run.copying = False
        log.info(
            "copy_made_again" if lost_holder else "copy_made_late",
            request=run.call.id,
            target=run.target.entry.key,
            holder=holder.entry.key,
            lost=lost_holder,
            events=run.events,
        )

    def _check_crash_suspects(self) -> None:
        """Check which suspects' targets crashed; a broken answer alone is no proof."""
        suspects, self._ctx.crash_suspects = self._ctx.crash_suspects, []
        by_target: dict[str, list[CrashSuspect]] = {}
        for suspect in suspects:
            by_target.setdefault(suspect.target.entry.key, []).append(suspect)
        for group in by_target.values():
            self._start("confirm_crash", self._confirm_crash(group))

    async def _confirm_crash(self, suspects: list[CrashSuspect]) -> None:
        entry = suspects[0].target.entry
        if await self._ctx.target_client.accepts_connections(entry.address):
            return
        tables, now = self._ctx.tables, self._ctx.clock.now()
        target = suspects[0].target
        via = paths.choose_host(tables, entry.service, (), now, self._ctx.rng)
        if via is not None and await self._ctx.target_client.reaches(
            entry.address, via
        ):
            record_path_failure(self._ctx, target, now)
            return
        placement.record_crash(target, now)
        for suspect in suspects:
            tables.crashes.record_own(suspect.fingerprint, entry.key, suspect.at)
            if suspect.writing and suspect.parts:
                crash = PartCrash(
                    entry.key, suspect.fingerprint, suspect.parts, suspect.at
                )
                tables.crashing_parts.record_own_crash(crash, now)
        log.info(
            "target_crashed",
            target=entry.key,
            address=entry.address,
            contents=[suspect.fingerprint for suspect in suspects],
            parts=[suspect.parts for suspect in suspects if suspect.writing],
        )
        self._ctx.announce()

    def _apply_convictions(self) -> None:
        """End the attempts without output whose prompts have a convicted part."""
        tables, now = self._ctx.tables, self._ctx.clock.now()
        convicted = tables.crashing_parts.take_new_convictions()
        for part in convicted:
            log.warning("part_convicted", part=part)
        self._ctx.metrics.refused_parts.set(len(tables.crashing_parts))
        for run in list(tables.runs) if convicted else ():
            if not run.events and run.abort_reason is None and run.has_part(convicted):
                log.info(
                    "stream_refused",
                    request=run.call.id,
                    target=run.target.entry.key,
                )
                stream.interrupt(run, AbortReason.CRASHING_PART, frozenset(), now)

    @Service.task
    async def _probe_paths(self) -> None:
        """Notice that this host reaches a service's targets again."""
        tables, rng = self._ctx.tables, self._ctx.rng
        while not self.should_stop:
            await self.sleep(PATH_PROBE_INTERVAL_S)
            for service in list(tables.paths.cut_off):
                rows = tables.targets.by_service.get(service, ())
                found = [row.entry.address for row in rows if placement.usable(row)]
                if not found or await self._ctx.target_client.reaches(
                    rng.choice(found), None
                ):
                    tables.paths.end(service)
                    self._ctx.announce()
                    log.info("path_regained", service=service)

    @Service.task
    async def _slow_tick(self) -> None:
        tables, clock = self._ctx.tables, self._ctx.clock
        while not self.should_stop:
            await self.sleep(SLOW_TICK_S)
            now = clock.now()
            for entry in adoption.engines_to_probe(tables, now):
                self._start("adopt", self._adopt(entry))
            for key in discovery.expire(tables.targets, now):
                log.info("target_gone", target=key, evidence="lapsed entry")
            for name in membership.expire(tables, now):
                log.info("host_silent", host_name=name)
            tables.crashes.expire(now)
            for part in tables.crashing_parts.expire(now):
                log.info("part_allowed", part=part)
            tables.rate_limits.expire(tables.targets.rows.keys(), now)
            self._ctx.metrics.limited_targets.set(tables.rate_limits.count_in_force())
            self._ctx.metrics.hosts.set(membership.count_live_hosts(tables, now))
            self._ctx.metrics.running.set(len(tables.runs))
            await self._remove_stale_entries()

    async def _remove_stale_entries(self) -> None:
        tables = self._ctx.tables
        for host in membership.expired_hosts(tables, self._ctx.clock.now()):
            revision, host.revision = host.revision, None
            try:
                await self._ctx.store.remove_host(host.entry.name, revision)
            except Conflict:
                continue
            except StoreFailed as exc:
                host.revision = revision
                log.info(
                    "stale_entry_not_removed",
                    host_name=host.entry.name,
                    reason=str(exc),
                )
                return
            log.info("host_removed", host_name=host.entry.name, revision=revision)
            del tables.hosts.rows[host.entry.name]
