"""Holds new streams at this host until an engine has room, or refuses them."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, NoReturn

import structlog

from turmericflow.relay import (
    _intervals as intervals,
    _membership as membership,
    _placement as placement,
    _silence as silence,
)
from turmericflow.relay._host_tables import Host, HostState
from turmericflow.relay._model import EngineSpec
from turmericflow.relay._stream_versions import version_of
from turmericflow.relay._tables import Run, Tables
from turmericflow.relay._target_tables import Load
from turmericflow.relay.admission import _forecast as forecast, _room as room
from turmericflow.relay.admission._forecast import (
    Decision,
    FreePlaces,
    Inputs,
    PlaceCredit,
    Refuse,
    Send,
    Wait,
)
from turmericflow.relay.admission._queue import StreamQueue, WaitingStream, rank_of
from turmericflow.relay.fair_shares import FairShares
from turmericflow.verdict import ErrorCode, RequestFailed, not_run

if TYPE_CHECKING:
    from turmericflow.relay._attempts import Attempts
    from turmericflow.relay._context import HostContext

CHECK_INTERVAL_S = 0.05  # a small part of the shortest objective, which is seconds
# Copies are made while this much of the memory is used; above it streams need it.
MAX_BACKUP_OCCUPANCY = 0.6
MAX_HOLDER_FILL = 0.7
# A choice reaches the other hosts some 100 ms later, and they check every 50 ms.
MIN_VIEW_AGE_S = 0.15
RETRY_ELSEWHERE_S = 0.0  # another host is ready
RETRY_LATER_S = 1.0  # a host restarts within this time

log = structlog.get_logger()


class Admission:
    """Decides on the streams of one host from its tables, without waiting.

    Attributes
    ----------
    queues
        Waiting streams by service; the status tells other hosts their numbers.
    shares
        Streams by customer; the status tells them too.
    """

    __slots__ = ("_tables", "_rng", "_places", "_credits", "queues", "shares")

    def __init__(self, tables: Tables, rng: Random) -> None:
        self._tables = tables
        self._rng = rng
        self._places: dict[str, FreePlaces] = {}
        self._credits: dict[str, PlaceCredit] = {}
        self.queues: dict[str, StreamQueue] = {}
        self.shares = FairShares(tables, self.queues)

    def spec(self, service: str) -> EngineSpec | None:
        """Return the engines' capacity, or None if the service's streams never wait."""
        found = self._tables.deployment.services.get(service)
        engine = found and found.engine
        return engine if engine and engine.slots and engine.memory_tokens else None

    def free_places(self, service: str, now: float) -> FreePlaces:
        """Return the record of a service's places that became free or were taken."""
        places = self._places.get(service)
        if places is None:
            places = self._places[service] = FreePlaces(now)
        return places

    def record_status(
        self, previous: dict[str, Load], loads: dict[str, Load], now: float
    ) -> bool:
        """Record what another host's loads say; return whether places became free.

        Runs that ended at an engine in backoff were lost and go on elsewhere.
        """
        nothing, any_freed = Load(), False
        for key in {**previous, **loads}:
            target = self._tables.targets.rows.get(key)
            change = loads.get(key, nothing).runs - previous.get(key, nothing).runs
            if not change or target is None or now < target.backoff_until:
                continue
            if self.spec(target.entry.service) is None:
                continue
            freed = max(0, -change)
            places = self.free_places(target.entry.service, now)
            places.record(freed, max(0, change), now)
            any_freed |= freed > 0
        return any_freed

    def record_end(self, run: Run, now: float) -> None:
        """Record the end of a run of this host."""
        if now >= run.target.backoff_until:
            self.free_places(run.target.entry.service, now).record(1, 0, now)

    def count_places(
        self,
        demand: placement.Demand,
        spec: EngineSpec,
        now: float,
        resumes: bool = False,
    ) -> room.Places | None:
        """Return the places for a stream, or None if no engine is to be waited for.

        If all engines are in backoff, it is rather this host that reaches none, and
        streams are sent through another one. Streams too large for an idle engine, and
        those without an engine, get their answer from the placement.
        """
        table = self._tables.targets
        targets = [
            target
            for target in placement.candidates(table, demand)
            if not placement.is_closed(target, now)
        ]
        targets = placement.without_lost_data_centres(
            table, targets, demand.service, now
        )
        slots, capacity = spec.slots, spec.memory_tokens
        if not resumes:
            slots = room.max_new_runs(demand.tokens, slots, capacity)
        found = room.count_places(targets, demand.tokens, slots, capacity, now)
        return found if found.total else None

    def prefer_room(
        self, demand: placement.Demand, resumes: bool, now: float
    ) -> placement.Demand:
        """Return a demand that prefers the engines with room for the whole stream.

        After a loss of many engines all hosts resume streams before they learn of one
        another's choices. With fewer places than such streams, or than hosts, most of
        them prefer no engine, so that the few with room don't get them all.
        """
        spec = self.spec(demand.service)
        places = spec and self.count_places(demand, spec, now, resumes)
        if not places:
            return demand
        if resumes:
            hosts = membership.count_live_hosts(self._tables, now)
            seekers = max(places.lost_runs, hosts - 1)
            if places.free < self._rng.random() * seekers:
                return demand
        return replace(demand, preferred_targets=places.engines)

    def constrain_backup(self, demand: placement.Demand) -> placement.Demand | None:
        """Return a demand for a copy's holder, or None if there is no memory for it."""
        spec = self.spec(demand.service)
        if spec is None:
            return demand
        rows = self._tables.targets.by_service.get(demand.service, ())
        usable = [target for target in rows if placement.usable(target)]
        capacity = spec.memory_tokens
        if room.occupancy(usable, capacity) >= MAX_BACKUP_OCCUPANCY:
            return None
        full = {
            target.entry.key
            for target in usable
            if room.fill(target, capacity) >= MAX_HOLDER_FILL
        }
        excluded = demand.excluded_targets | full
        no_preference = frozenset()
        return replace(
            demand, excluded_targets=excluded, preferred_targets=no_preference
        )

    def _divide(
        self, places: room.Places, demand: placement.Demand, peers: list[Host]
    ) -> int:
        """Return the free places that this host may count on.

        Without any other host's status the loads of the others are not known, so
        that this host uses only its part of all places.
        """
        tables = self._tables
        if peers:
            return places.free
        silent = sum(row.status is None for row in tables.hosts.rows.values())
        if not silent:
            return places.free
        rows = tables.targets.by_service.get(demand.service, ())
        own = sum(row.own_load.runs for row in rows)
        return max(0, min(places.free, places.total // (1 + silent) - own))

    def inputs(
        self,
        demand: placement.Demand,
        stream: WaitingStream,
        send_by: float,
        deadline: float,
        now: float,
    ) -> Inputs | None:
        """Return what the decision on a stream is based on, or None to send it.

        Parameters
        ----------
        demand
            Constraints on its engine.
        stream
            The stream.
        send_by
            Time until which it must be sent to meet its objective, in seconds.
        deadline
            End of its caller's time-out, in seconds.
        now
            Time in seconds.
        """
        service = demand.service
        spec = self.spec(service)
        places = spec and self.count_places(demand, spec, now)
        if places is None:
            return None
        peers = membership.live_peers(self._tables, now)
        free = self._divide(places, demand, peers)
        queue = self.queues.get(service)
        if stream.customer is not None:
            hosts = len(self._tables.hosts.rows)
            sure = room.exclude_hidden(free, places.total, len(peers), hosts)
            arrives = queue is None or stream not in queue
            arriving = stream.customer if arrives else None
            shares = self.shares.view(service, sure, arriving)
            stream.standing = shares.standing(stream.customer)
            if queue:
                queue.sort_by(shares.standing)
            if stream.over_share:
                free = sure
        own_ahead = queue.ahead_of(stream) if queue else []
        blocked = bool(own_ahead) and self._wants_one(own_ahead, places)
        others = [
            waiting for peer in peers if (waiting := peer.status.waiting.get(service))
        ]
        shared = stream.shared_rank(now)
        better = places.lost_runs  # these streams resume, before all others
        for waiting in others:
            for rank, number in waiting.items():
                if rank < shared:
                    better += number
        turn = False
        if free and not blocked and not forecast.is_ample(free, places.total):
            turn = not peers or self._draw(service, stream, free, better, others, now)
        ahead = len(own_ahead) + better
        rate, standing = self.free_places(service, now).rate(now), stream.standing
        return Inputs(
            free=free,
            total=places.total,
            ahead=ahead,
            rate=rate,
            backlog=0 if standing is None else standing.backlog(ahead),
            own_rate=rate if rate is None or not standing else rate * standing.part,
            left_s=send_by - now,
            remaining_s=deadline - now,
            timeout_s=deadline - stream.arrived_at,
            blocked=blocked,
            turn=turn,
        )

    def _wants_one(self, ahead: list[WaitingStream], places: room.Places) -> bool:
        """Return whether a stream can use one of the free places.

        One that is bound to a version whose engines are full holds up no others.
        """
        rows = self._tables.targets.rows
        versions = {version_of(rows[key].entry) for key in places.engines}
        return any(
            stream.version is None or stream.version in versions for stream in ahead
        )

    def _draw(
        self,
        service: str,
        stream: WaitingStream,
        free: int,
        better: int,
        others: list[dict[int, int]],
        now: float,
    ) -> bool:
        """Return whether this host may take a place now.

        It competes with the hosts at which streams of the same rank wait, and with
        those that send streams before it knows.
        """
        shared = stream.shared_rank(now)
        equal = sum(shared in waiting for waiting in others)
        propagation_s = max(MIN_VIEW_AGE_S, intervals.load_propagation_s(self._tables))
        taken = self.free_places(service, now).taken_rate(now) * propagation_s
        if stream.standing is not None:
            equal = max(equal, stream.standing.rivals)
            if now - stream.arrived_at > propagation_s:
                taken *= 1.0 - stream.deferring_share(others)
        share = forecast.place_share(free, better, equal + taken)
        credit = self._credits.setdefault(service, PlaceCredit())
        return credit.take(share, propagation_s, now, self._rng.random())

    def decide(self, inputs: Inputs | None, arrives: bool) -> Decision:
        """Return what happens to a stream now; see `inputs`."""
        if inputs is None:
            return Send()
        return forecast.decide(inputs, arrives, self._rng.random())


class AdmissionGate:
    """Lets each new stream in once an engine has room for it."""

    __slots__ = ("_ctx", "_admission", "_wakers")

    def __init__(self, ctx: HostContext) -> None:
        self._ctx = ctx
        self._admission = Admission(ctx.tables, ctx.rng)
        self._wakers: dict[WaitingStream, asyncio.Event] = {}
        ctx.tables.waiting = self._admission.queues
        ctx.tables.fair_shares = self._admission.shares
        ctx.tables.on_loads = self._record_status

    def _record_status(
        self, previous: dict[str, Load], loads: dict[str, Load], now: float
    ) -> None:
        if self._admission.record_status(previous, loads, now):
            self._notify()

    def record_end(self, run: Run) -> None:
        """Record the end of a run of this host, whose place may be taken."""
        self._admission.record_end(run, self._ctx.clock.now())
        self._notify()

    def _notify(self) -> None:
        """Have the first streams checked; the others are not served before them."""
        for queue in self._admission.queues.values():
            first = queue.first()
            if first is not None:
                self._wakers[first].set()

    def prefer_room(self, demand: placement.Demand, resumes: bool) -> placement.Demand:
        """Return a demand that prefers the engines with room for the whole stream."""
        return self._admission.prefer_room(demand, resumes, self._ctx.clock.now())

    def constrain_backup(self, demand: placement.Demand) -> placement.Demand | None:
        """Return a demand for a copy's holder, or None if there is no memory for it."""
        return self._admission.constrain_backup(demand)

    async def enter(self, attempts: Attempts) -> None:
        """Wait until a stream may be sent for the first time.

        The caller must send it without waiting for anything else in between.

        Raises
        ------
        RequestFailed
            If the stream is refused, or this host stops.
        """
        service = attempts.match.service
        if self._admission.spec(service) is None:
            return
        call, route = attempts.call, attempts.match.route
        due_s = attempts.deadline - call.arrived_at
        due_s = min(route.objective_s or due_s, due_s)
        stream = WaitingStream(
            rank_of(attempts.priority(), call.last_event_id is not None),
            call.arrived_at + due_s,
            call.arrived_at,
            attempts.version,
            self._admission.shares.key(attempts.customer),
        )
        queue = self._admission.queues.setdefault(service, StreamQueue())
        if not self._may_enter(attempts, stream, True):
            await self._wait(attempts, stream, queue)

    async def _wait(
        self, attempts: Attempts, stream: WaitingStream, queue: StreamQueue
    ) -> None:
        ctx = self._ctx
        changed = self._wakers[stream] = asyncio.Event()
        queue.add(stream)
        waiting = ctx.metrics.waiting_streams.labels(stream.share_label)
        waiting.inc()
        ctx.announce_load()
        try:
            while True:
                changed.clear()
                try:
                    async with asyncio.timeout(CHECK_INTERVAL_S):
                        await changed.wait()
                except TimeoutError:
                    pass  # it is checked at least this often
                if self._may_enter(attempts, stream, False):
                    return
        finally:
            queue.discard(stream)
            del self._wakers[stream]
            waiting.dec()
            waited_s = ctx.clock.now() - attempts.call.arrived_at
            ctx.metrics.waited_seconds.labels(stream.share_label).observe(waited_s)
            self._notify()  # the next stream may be sent at once

    def _may_enter(
        self, attempts: Attempts, stream: WaitingStream, arrives: bool
    ) -> bool:
        """Return whether to send a stream now; log the decision if it is not sent.

        Raises
        ------
        RequestFailed
            If the stream is refused.
        """
        ctx, now = self._ctx, self._ctx.clock.now()
        leaving = ctx.tables.hosts.state is HostState.LEAVING
        demand = attempts.placement_demand()
        prefill_s = silence.prefill_s(ctx.tables, demand.service, attempts.call)
        send_by = stream.objective_at - prefill_s
        queue = self._admission.queues[demand.service]
        if now >= send_by and not stream.late:
            queue.set_late(stream)
        elif not arrives and not leaving and queue.is_behind(stream):
            return False  # a long queue must not be evaluated as a whole
        inputs = self._admission.inputs(demand, stream, send_by, attempts.deadline, now)
        decision = self._admission.decide(inputs, arrives)
        if isinstance(decision, Send) and (arrives or not leaving):
            return True
        if leaving:
            self._refuse(attempts, stream, inputs, "stopping", self._stopping(now))
        match decision:
            case Refuse(retry_after_s, reason):
                message = f"no engine of {demand.service!r} has room in time"
                exc = not_run(ErrorCode.OVERLOADED, message, retry_after_s)
                self._refuse(attempts, stream, inputs, reason, exc)
            case Wait() if arrives:
                self._log("stream_waits", attempts, stream, inputs)
        return False

    def _refuse(
        self,
        attempts: Attempts,
        stream: WaitingStream,
        inputs: Inputs | None,
        reason: str,
        exc: RequestFailed,
    ) -> NoReturn:
        self._log("stream_refused", attempts, stream, inputs, reason=reason)
        refused = self._ctx.metrics.refused_streams
        refused.labels(reason, stream.share_label).inc()
        raise exc

    def _stopping(self, now: float) -> RequestFailed:
        elsewhere = bool(membership.addresses(self._ctx.tables, now))
        retry_after_s = RETRY_ELSEWHERE_S if elsewhere else RETRY_LATER_S
        return not_run(ErrorCode.STOPPING, "this host stops", retry_after_s)

    def _log(
        self,
        event: str,
        attempts: Attempts,
        stream: WaitingStream,
        inputs: Inputs | None,
        **more: str,
    ) -> None:
        """Log a decision with its inputs, and the age of the oldest status in them."""
        tables, now = self._ctx.tables, self._ctx.clock.now()
        peers = membership.live_peers(tables, now)
        ages_s = [now - peer.last_status_at for peer in peers]
        figures: dict[str, object] = {}
        if stream.standing is not None:
            standing = stream.standing
            bounded = math.isfinite(standing.share)
            figures = {
                "customer": attempts.customer,
                "usage": standing.usage,
                "share": round(standing.share, 2) if bounded else None,
                "backlog": standing.waiting,
            }
        if inputs is not None:
            rate = inputs.rate
            figures |= {
                "free": inputs.free,
                "places": inputs.total,
                "ahead": inputs.ahead,
                "freed_per_s": None if rate is None else round(rate, 2),
                "left_s": round(inputs.left_s, 3),
            }
        log.info(
            event,
            request=attempts.call.id,
            service=attempts.match.service,
            rank=stream.rank,
            remaining_s=round(attempts.remaining_s, 3),
            waited_s=round(now - stream.arrived_at, 3),
            hosts=len(peers),
            oldest_status_s=round(max(ages_s, default=0.0), 3),
            view=tables.targets.revision,
            **figures,
            **more,
        )
