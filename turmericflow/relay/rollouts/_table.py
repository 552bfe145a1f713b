"""Orders to roll out versions as one host knows them, and what they exclude."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

import msgspec
import structlog

from turmericflow.relay import _membership as membership
from turmericflow.relay._host_tables import RolloutStatus
from turmericflow.relay._metrics import Metrics
from turmericflow.relay._placement import Demand, usable
from turmericflow.relay._routing import RouteMatch
from turmericflow.relay._settings import HostSettings
from turmericflow.relay._stream_versions import version_of
from turmericflow.relay._tables import Tables
from turmericflow.relay._target_tables import Target
from turmericflow.relay.rollouts._evidence import Evidence, ReceivedEvidence, Side
from turmericflow.relay.rollouts._news import EVIDENCE, VIEWS, Followers, OrderEvidence
from turmericflow.relay.rollouts._requests import RolloutRequest
from turmericflow.relay.rollouts._share import (
    COMPLETED,
    IN_PROGRESS,
    ROLLED_BACK,
    RolloutView,
    ShareLedger,
    canary_targets,
    concentrated,
    initial_credit,
)

HOLD_S = 2.0  # for a version that appears; its order may arrive slightly later
# A version without targets for so long is gone, and not only between two processes.
FORGET_S = 60.0
# A second decider may have to start the trial again; a third one may not.
MAX_INITIAL_TERM = 2
ANNOUNCED = 0  # order of a view that only tells that an order was read

_STATES = {IN_PROGRESS: 0, COMPLETED: 1, ROLLED_BACK: 2}

log = structlog.get_logger()


class Rollout:
    """One order at this host.

    Attributes
    ----------
    ledger
        Credit for the new version, with the newest view.
    evidence, requests, new_requests, drain_s
        What this host has counted; see `OrderEvidence`.
    losses
        Time at which this host lost targets, by key.
    waiting
        Requests without an answer or first event.
    others
        Counts of the other hosts, by incarnation.
    old_versions
        Versions that were seen while the order was in progress.
    """

    __slots__ = (
        "service",
        "target",
        "order",
        "ledger",
        "seen_at",
        "evidence",
        "requests",
        "new_requests",
        "drain_s",
        "losses",
        "waiting",
        "others",
        "old_versions",
        "_received",
    )

    def __init__(self, view: RolloutView, ledger: ShareLedger, now: float) -> None:
        self.service, self.target, self.order = view.service, view.target, view.order
        self.ledger = ledger
        self.seen_at = now
        self.evidence = Evidence()
        self.requests = self.new_requests = 0
        self.drain_s = 0.0
        self.losses: dict[str, float] = {}
        self.waiting: set[RolloutRequest] = set()
        self.others: dict[str, OrderEvidence] = {}
        self.old_versions: set[str] = set()
        self._received = ReceivedEvidence()

    @property
    def state(self) -> str:
        """State by the newest view."""
        return self.ledger.state

    @property
    def share(self) -> float:
        """Share of the requests by the newest view."""
        return self.ledger.view.share if self.ledger.view is not None else 0.0

    def side_of(self, target: Target) -> Side:
        """Return the side of a target of the service."""
        is_new = version_of(target.entry) == self.target
        return Side.NEW if is_new else Side.OLD

    def own_evidence(self) -> OrderEvidence:
        """Return what this host has counted."""
        return OrderEvidence(
            self.service,
            self.order,
            self.requests,
            self.new_requests,
            self.drain_s,
            self.evidence,
        )

    def apply_evidence(self, incarnation: str, found: OrderEvidence) -> None:
        """Take what another host has counted."""
        self._received.apply(incarnation, found.evidence)
        known = self.others.get(incarnation)
        if known is None or found.requests >= known.requests:
            self.others[incarnation] = found

    def total_evidence(self) -> Evidence:
        """Return the evidence of all hosts, also of those that have ended."""
        return Evidence.merge([self._received.total(), self.evidence])

    def totals(self) -> tuple[int, int, float]:
        """Return requests, sends to the new version and drain time of all hosts."""
        found = [*self.others.values(), self.own_evidence()]
        return (
            sum(each.requests for each in found),
            sum(each.new_requests for each in found),
            max(each.drain_s for each in found),
        )


class RolloutTable:
    """The orders that this host knows, and the versions that it has seen.

    Attributes
    ----------
    own_views
        Views that this host publishes as the decider.
    followers
        Other hosts that follow orders.
    """

    __slots__ = (
        "own_views",
        "followers",
        "_tables",
        "_metrics",
        "_slack",
        "_rollback_s",
        "_current",
        "_barred",
        "_named",
        "_own_orders",
        "_seen",
        "_versions",
        "_started_at",
        "_synced",
    )

    def __init__(
        self, tables: Tables, metrics: Metrics, slack: int, rollback_s: float
    ) -> None:
        self.own_views: list[RolloutView] = []
        self.followers = Followers()
        self._tables = tables
        self._metrics = metrics
        self._slack = slack
        self._rollback_s = rollback_s
        self._current: dict[str, Rollout] = {}
        self._barred: dict[tuple[str, str], int] = {}  # order, by service and version
        self._named: dict[str, tuple[str, float]] = {}  # versions in orders, with time
        self._own_orders: dict[str, str] = {}
        # Time of the first and last sight, by service and version.
        self._seen: dict[str, dict[str, tuple[float, float]]] = {}
        # By service, with the rows of which they were found; these are not changed.
        self._versions: dict[str, tuple[Sequence[Target], set[str]]] = {}
        self._started_at: float | None = None
        self._synced = False

    @classmethod
    def from_settings(
        cls, settings: HostSettings, tables: Tables, metrics: Metrics
    ) -> RolloutTable:
        """Build the table of a host."""
        return cls(tables, metrics, settings.canary_slack, settings.rollback_s)

    def is_synced(self, now: float) -> bool:
        """Return whether this host has heard of the orders, or waited long for them."""
        self._started_at = now if self._started_at is None else self._started_at
        return self._synced or now - self._started_at >= HOLD_S

    def find(self, service: str) -> Rollout | None:
        """Return the newest order of a service."""
        return self._current.get(service)

    def in_progress(self, service: str) -> Rollout | None:
        """Return the order of a service that is in progress, or None."""
        found = self._current.get(service)
        return found if found is not None and found.state == IN_PROGRESS else None

    def open_request(self, match: RouteMatch) -> RolloutRequest:
        """Return what roll-outs mean for a request."""
        return RolloutRequest(self, match)

    def note_orders(self, targets: Mapping[str, str]) -> bool:
        """Record the orders in progress that are read; return whether they changed."""
        earlier, self._own_orders = self._own_orders, dict(targets)
        self._synced = True
        return earlier != self._own_orders

    def bar(self, service: str, target: str, order: int) -> None:
        """Record that an order has ended and its version must not run requests."""
        found = self._current.get(service)
        if found is not None and found.target == target and found.order > order:
            return
        key = service, target
        self._barred[key] = max(order, self._barred.get(key, order))

    def news(self, now: float) -> dict[str, bytes]:
        """Return the fields of this host's status."""
        views = list(self.own_views)
        told = {view.service for view in views}
        for service, target in self._own_orders.items():
            if service not in told:
                views.append(
                    RolloutView(service, target, ANNOUNCED, 0, 0, 0.0, IN_PROGRESS)
                )
        counted = [
            rollout.own_evidence()
            for rollout in self._current.values()
            if rollout.state == IN_PROGRESS
        ]
        encode = msgspec.msgpack.encode
        return {
            # An empty list tells that the host follows orders.
            "rollout_views": encode(views),
            "rollout_evidence": encode(counted) if counted else b"",
        }

    def apply(self, status: RolloutStatus, now: float) -> None:
        """Apply what another host tells of orders."""
        if status.rollout_views or status.rollout_evidence:
            self.followers.add(status.entry)
        try:
            if status.rollout_views:
                views = VIEWS.decode(status.rollout_views)
                self._synced |= bool(views)
                for view in views:
                    self.apply_view(view, now)
            if not status.rollout_evidence:
                return
            for found in EVIDENCE.decode(status.rollout_evidence):
                rollout = self._current.get(found.service)
                if rollout is not None and rollout.order == found.order:
                    rollout.apply_evidence(status.entry.key, found)
        except msgspec.MsgspecError as exc:
            # A later version may tell it in another form.
            log.warning(
                "rollout_status_invalid", peer=status.entry.name, reason=str(exc)
            )

    def apply_view(self, view: RolloutView, now: float) -> None:
        """Take a view, of this host or of another one."""
        service, target = view.service, view.target
        if view.order == ANNOUNCED:
            self._named[service] = target, now
            return
        known = self._current.get(service)
        if known is not None and view.order < known.order:
            if view.state == ROLLED_BACK and target != known.target:
                self.bar(service, target, view.order)
            return
        ended = self._barred.get((service, target), ANNOUNCED) >= view.order
        if ended and view.state != ROLLED_BACK:
            return
        if known is None or known.order < view.order:
            known = self._begin(view, known, now)
        if known.ledger.apply(view, now):
            self._record_view(known, now)

    def _begin(self, view: RolloutView, earlier: Rollout | None, now: float) -> Rollout:
        if earlier is not None and earlier.target != view.target:
            if earlier.state != COMPLETED:
                self.bar(view.service, earlier.target, earlier.order)
        self._barred.pop((view.service, view.target), None)
        credit = 0.0
        if not view.share and view.term <= MAX_INITIAL_TERM:
            own = self._tables.hosts.own.name
            peers = membership.live_peers(self._tables, now)
            names = [row.entry.name for row in peers]
            credit = initial_credit(own, names, view.service, view.order, self._slack)
        ledger = ShareLedger(view.order, credit, self._rollback_s, now)
        found = self._current[view.service] = Rollout(view, ledger, now)
        return found

    def _record_view(self, rollout: Rollout, now: float) -> None:
        view, service = rollout.ledger.view, rollout.service
        versions = self.see(service, now)
        rollout.old_versions |= versions - {rollout.target}
        if view.state == ROLLED_BACK:
            self.bar(service, rollout.target, rollout.order)
        self._metrics.rollout_share.labels(service).set(view.share)
        self._metrics.rollout_state.labels(service).set(_STATES.get(view.state, 0))
        log.info(
            "rollout_view",
            service=service,
            target=rollout.target,
            order=rollout.order,
            term=view.term,
            number=view.number,
            share=view.share,
            state=view.state,
        )

    def count_answer(self, service: str, side: Side, ok: bool) -> None:
        """Count an answer in the metrics."""
        outcome = "ok" if ok else "failed"
        name = side.name.lower()
        self._metrics.rollout_answers.labels(service, name, outcome).inc()

    def tick(self, now: float) -> None:
        """Notice versions that appear, and requests that wait for too long."""
        self.followers.prune(self._tables.hosts.rows)
        for service in self._tables.targets.by_service:
            self.see(service, now)
            self._forget(service, now)
        for rollout in self._current.values():
            if rollout.state == IN_PROGRESS:
                for request in list(rollout.waiting):
                    request.record_overdue(now)

    def see(self, service: str, now: float) -> set[str]:
        """Return the versions of a service's targets, and note when they appeared."""
        rows = self._tables.targets.by_service.get(service, ())
        known = self._versions.get(service)
        if known is not None and known[0] is rows:
            return known[1]
        versions = {version_of(row.entry) for row in rows}
        self._versions[service] = rows, versions
        seen = self._seen.setdefault(service, {})
        # At a host that has just started, all of them are as old.
        appeared_at = now if seen else float("-inf")
        for version in versions:
            first, _ = seen.get(version, (appeared_at, now))
            seen[version] = first, now
        rollout = self._current.get(service)
        if rollout is not None and rollout.state == IN_PROGRESS:
            rollout.old_versions |= versions - {rollout.target}
        return versions

    def _forget(self, service: str, now: float) -> None:
        """Forget the versions that have long had no targets."""
        seen = self._seen[service]
        for version in self.see(service, now):
            seen[version] = seen[version][0], now
        for version in [v for v, (_, at) in seen.items() if now - at > FORGET_S]:
            del seen[version]
            rollout = self._current.get(service)
            if rollout is not None:
                rollout.old_versions.discard(version)

    def _held(self, service: str, versions: set[str], now: float) -> set[str]:
        """Return the versions that appeared lately and whose order may be lacking."""
        seen = self._seen[service]
        held = {each for each in versions if now - seen[each][0] < HOLD_S}
        rollout = self._current.get(service)
        if rollout is not None:
            held.discard(rollout.target)
        return held if versions - held else set()

    def _named_target(self, service: str, now: float) -> str | None:
        """Return the version that an order names of which there is no view yet."""
        target = self._own_orders.get(service)
        if target is None:
            target, at = self._named.get(service, (None, float("-inf")))
            if now - at > FORGET_S:
                return None
        rollout = self._current.get(service)
        known = rollout is not None and rollout.target == target
        return None if known else target

    def _excluded(self, service: str, versions: set[str], now: float) -> set[str]:
        """Return the versions that may run no request, also none that they began."""
        excluded = {each for each in versions if (service, each) in self._barred}
        rollout = self.in_progress(service)
        if rollout is not None and rollout.ledger.is_stale(now):
            excluded.add(rollout.target)
        return excluded

    def constrain(
        self, demand: Demand, now: float, request: RolloutRequest | None = None
    ) -> Demand:
        """Return a demand without the versions that may not run a request now.

        Parameters
        ----------
        demand
            The demand.
        now
            Time in seconds.
        request
            The request, which is counted when an order is in progress; or None for one
            that takes no credit.
        """
        service = demand.service
        versions = self.see(service, now)
        excluded = self._excluded(service, versions, now)
        rollout = self._current.get(service)
        targets: Iterable[str] = ()
        if demand.version is not None:
            if rollout is not None and rollout.state == IN_PROGRESS and request:
                request.admits(rollout, now)  # counted; it goes on where it began
        else:
            excluded |= self._held(service, versions, now)
            named = self._named_target(service, now)
            if named is not None:
                excluded.add(named)
            if rollout is None:
                pass
            elif rollout.state == COMPLETED:
                if rollout.target in versions:
                    excluded |= rollout.old_versions
            elif rollout.state == IN_PROGRESS:
                if request is None or not request.admits(rollout, now):
                    excluded.add(rollout.target)
                elif rollout.target not in excluded:
                    excluded |= versions - {rollout.target}
                    targets = self._spare_targets(rollout, now)
                    request.redirect()
        excluded &= versions
        if not excluded:
            return demand
        return replace(
            demand,
            excluded_versions=frozenset(excluded),
            excluded_targets=demand.excluded_targets.union(targets),
        )

    def _spare_targets(self, rollout: Rollout, now: float) -> set[str]:
        """Return the new targets without canary requests, so that others get load."""
        if not 0 < rollout.share < 1:
            return set()
        new, old = self.live_targets(rollout, now)
        count = canary_targets(rollout.share, len(new), len(old))
        return set(new) - set(concentrated(new, count, rollout.service))

    def live_targets(self, rollout: Rollout, now: float) -> tuple[list[str], list[str]]:
        """Return the keys of the live new and old targets."""
        sides: tuple[list[str], list[str]] = [], []
        for row in self._tables.targets.by_service.get(rollout.service, ()):
            if usable(row) and now >= row.backoff_until:
                sides[rollout.side_of(row) is Side.OLD].append(row.entry.key)
        return sides

    def old_running(self, rollout: Rollout) -> int:
        """Return the number of requests and streams that run on the old version."""
        rows = self._tables.targets.by_service.get(rollout.service, ())
        return sum(row.runs for row in rows if rollout.side_of(row) is Side.OLD)

    def open_versions(self, service: str, names: list[str], now: float) -> list[str]:
        """Return the versions to which new streams go in general, in order."""
        versions = self.see(service, now)
        closed = self._excluded(service, versions, now)
        closed |= self._held(service, versions, now)
        closed.add(self._named_target(service, now) or "")
        rollout = self._current.get(service)
        if rollout is not None and rollout.state != ROLLED_BACK:
            all_new = rollout.state == COMPLETED or rollout.share >= 1
            closed |= rollout.old_versions if all_new else {rollout.target}
        return [name for name in names if name not in closed] or names
