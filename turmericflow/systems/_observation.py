"""Who polls which target, and what is believed of what others saw.

The hosts of a data centre, or of the whole fleet while it is small, form groups.
Within a group each target has two observers, by rendezvous hash over the hosts
that still report.  They poll it and tell the others.  A host that falls silent is
left out, so the next in order takes its place without any message.

What others tell improves this host's knowledge and never takes a target out of
use: bad news, and news that does not fit, is checked by a poll from here.
"""

from __future__ import annotations

import enum
import math

import xxhash

from turmericflow import wire
from turmericflow.systems import _breakers as breakers, _estimates as estimates
from turmericflow.tables import (
    LoadReport,
    ObservationTable,
    PeerState,
    PollState,
    Tables,
    Target,
)

OBSERVERS = 2
MAX_GROUP_HOSTS = 8
PUBLISH_INTERVAL_S = 0.3
MIN_BATCH_DELAY_S = 0.1
REPORT_TIMEOUT_S = 0.9
MIN_POLL_INTERVAL_S = 0.25
GROUP_POLLS_PER_S = 80.0
HOST_POLLS_PER_S = 40.0
STALE_INTERVALS = 3.0
LOST_POLL_INTERVAL_S = 0.5
MIN_FALLBACK_INTERVAL_S = 2.0
FAILURES_TO_OPEN = 2
MAX_POLLS_PER_S = 100.0
POLL_BURST = 50.0
BUSY_CACHE_POLL_S = 1.0
IDLE_CACHE_POLL_S = 10.0
CACHE_POLLS_PER_S = 10.0
MODELS_MODULUS = 1 << 32
MAX_STEP_MS = 1e6
MAX_PREFILL_TOKENS_S = 1e9


class PollReason(enum.StrEnum):
    """Why a host polls a target."""

    OBSERVER = "observer"
    CHECK = "check"
    NO_REPORTS = "untold"


def _hash(*words: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(words).encode())


def group(tables: Tables) -> list[str]:
    """Return the other hosts that share in this host's polling, heard or not."""
    table, peers = tables.observation, tables.peers
    if table.group_version != peers.changes:
        table.group, table.group_version = _group(tables), peers.changes
    return table.group


def _group(tables: Tables) -> list[str]:
    rows = tables.peers.rows.values()
    live = [row for row in rows if row.state is not PeerState.DEAD]
    if len(live) < MAX_GROUP_HOSTS:
        return [row.host for row in live]
    near = [row.host for row in live if row.data_centre == tables.data_centre]
    near.append(tables.host)
    near.sort(key=lambda host: (_hash("group", host), host))
    parts = math.ceil(len(near) / MAX_GROUP_HOSTS)
    own = near.index(tables.host) * parts // len(near)
    return [
        host
        for rank, host in enumerate(near)
        if rank * parts // len(near) == own and host != tables.host
    ]


def reporting_hosts(tables: Tables, now: float) -> list[str]:
    """Return the hosts of the group whose word is recent."""
    last_report_at = tables.observation.last_report_at
    found = []
    for host in group(tables):
        if now - last_report_at.get(host, float("-inf")) <= REPORT_TIMEOUT_S:
            found.append(host)
    return found


def is_observer(host: str, others: list[str], target: str) -> bool:
    """Return whether a host is one of a target's observers.

    Parameters
    ----------
    host
        The host.
    others
        The other hosts that may observe it.
    target
        Name of the target.
    """
    own = _hash(target, host)
    before = sum(1 for other in others if _hash(target, other) > own)
    return before < OBSERVERS


def poll_interval_s(targets: int, hosts: int) -> float:
    """Return the time between one observer's polls of one target.

    Polls are bounded for each host and reports for each group, so that those of
    more targets come less often rather than cost more.
    """
    rate = min(GROUP_POLLS_PER_S, hosts * HOST_POLLS_PER_S)
    return min(OBSERVERS, hosts) * max(MIN_POLL_INTERVAL_S, targets / rate)


def batch_delay_s(wait_s: float) -> float:
    """Return the time for which sightings are gathered before they are told."""
    return min(PUBLISH_INTERVAL_S, max(MIN_BATCH_DELAY_S, wait_s / 10))


def may_poll(table: ObservationTable, now: float) -> bool:
    """Return whether this host may poll once more, of whatever target and reason.

    Polls that fail are made again, by all hosts that are told; without a bound
    engines that are slow to answer would be asked more the slower they are.
    """
    gained = (now - table.poll_tokens_at) * MAX_POLLS_PER_S
    table.poll_tokens = min(POLL_BURST, table.poll_tokens + gained)
    table.poll_tokens_at = now
    return table.poll_tokens >= 1.0


def fallback_interval_s(wait_s: float) -> float:
    """Return the time between own polls of a target that nobody tells of."""
    return max(MIN_FALLBACK_INTERVAL_S, STALE_INTERVALS * wait_s)


def reason_to_poll(
    tables: Tables, target: Target, others: list[str], wait_s: float, now: float
) -> PollReason | None:
    """Return why this host is to poll a target now, or None if it need not."""
    row = tables.observation.rows.setdefault(target.name, PollState())
    if row.needs_check or 0 < row.failures < FAILURES_TO_OPEN:
        return PollReason.CHECK
    if is_observer(tables.host, others, target.name):
        return PollReason.OBSERVER
    stale = now - target.load.reported_at > STALE_INTERVALS * wait_s
    if stale and now - row.polled_at >= fallback_interval_s(wait_s):
        return PollReason.NO_REPORTS
    return None


def must_poll_cache(
    tables: Tables, target: Target, engines: int, share: float, now: float
) -> bool:
    """Return whether an engine's cache events are to be asked for.

    The events are many, so each router asks for its own, and seldom for those of
    an engine that has run nothing since.

    Parameters
    ----------
    tables, target
        The tables, and the engine.
    engines
        Number of engines.
    share
        Random number from 0 to 1, by which the first polls are spread.
    now
        Time in seconds of the host's clock.
    """
    row, load = tables.observation.rows[target.name], target.load
    turn_s = engines / CACHE_POLLS_PER_S
    if row.cache_polled_at == float("-inf"):
        row.cache_polled_at = now - max(IDLE_CACHE_POLL_S, turn_s) + share * turn_s
        return False
    busy = load.running + load.queued + target.known > 0
    if target.history:
        busy = busy or target.history[-1][0] >= row.cache_polled_at
    wait_s = max(BUSY_CACHE_POLL_S if busy else IDLE_CACHE_POLL_S, turn_s)
    return now - row.cache_polled_at >= wait_s


def all_polled(tables: Tables) -> bool:
    """Return whether the host list is known and each target reported or failed.

    A target that was never looked at is thought to have a single place, so that
    work would be refused that there is room for.
    """
    table = tables.targets
    return table.listed and all(
        row.load.reported_at > float("-inf")
        or tables.observation.rows.get(name, PollState()).failures
        for name, row in table.rows.items()
    )


def on_report(
    tables: Tables, target: Target, report: LoadReport, models: list[str]
) -> bool:
    """Take in a report that this host polled; return whether the target is back."""
    row = tables.observation.rows.setdefault(target.name, PollState())
    back = row.failures >= FAILURES_TO_OPEN
    row.failures = 0
    row.needs_check = False
    if back:
        breakers.on_recovery(target, report.reported_at)
    estimates.learn_report(target, report)
    target.models = set(models)
    return back


def on_failure(tables: Tables, target: Target, wait_s: float, now: float) -> bool:
    """Take in a failed poll of this host's; return whether it is held lost now.

    While polls fail, the breaker stays open from one to the next.
    """
    row = tables.observation.rows.setdefault(target.name, PollState())
    row.failures += 1
    row.needs_check = False
    if row.failures < FAILURES_TO_OPEN:
        return False
    _hold_lost(target, wait_s, now)
    return row.failures == FAILURES_TO_OPEN


def _hold_lost(target: Target, wait_s: float, now: float) -> None:
    breakers.on_lost(target, now)
    breakers.extend_open(target, now, STALE_INTERVALS * wait_s)


def next_poll_s(row: PollState, wait_s: float) -> float:
    """Return the time to a target's next look, shorter for one that is lost."""
    return min(wait_s, LOST_POLL_INTERVAL_S) if row.failures else wait_s


def to_wire(target: Target, now: float) -> wire.Sighted:
    """Return what is to be told of a target, with the age of its report."""
    report = target.load
    step_ms = min(max(0.0, report.step_ms), MAX_STEP_MS)
    prefill = min(max(0.0, report.prefill_tokens_s), MAX_PREFILL_TOKENS_S)
    return wire.Sighted(
        target.name,
        max(0, round((now - report.reported_at) * 1000)),
        max(0, report.running),
        max(0, report.queued),
        max(0, report.slots),
        round(step_ms * 1000),
        round(prefill),
        models_digest(target.models),
    )


def models_digest(models: set[str]) -> int:
    """Return a number that stands for a set of loaded models."""
    return _hash(*sorted(models)) % MODELS_MODULUS


def learn_peer_reports(
    tables: Tables, msg: wire.Observed, wait_s: float, now: float
) -> list[str]:
    """Take in what another host saw.

    Returns
    -------
    list of str
        Targets that this host is to poll at once, to check what was told.
    """
    tables.observation.last_report_at[msg.host] = now
    targets = tables.targets.rows
    doubted = []
    for sighted in msg.reports:
        target = targets.get(sighted.target)
        if target is not None and not _learn_report(tables, target, sighted, now):
            doubted.append(target.name)
    for name in msg.failed:
        target = targets.get(name)
        if target is not None and not _learn_failure(tables, target, wait_s, now):
            doubted.append(name)
    for name in doubted:
        tables.observation.rows[name].needs_check = True
    return doubted


def _learn_report(
    tables: Tables, target: Target, sighted: wire.Sighted, now: float
) -> bool:
    """Take in another host's report; return whether it needs no check."""
    row = tables.observation.rows.setdefault(target.name, PollState())
    if row.failures or models_digest(target.models) != sighted.models:
        return now - row.polled_at < MIN_POLL_INTERVAL_S
    reported_at = now - sighted.age_ms / 1000
    if reported_at > target.load.reported_at:
        report = LoadReport(
            sighted.running,
            sighted.queued,
            sighted.slots,
            sighted.step_us / 1000,
            float(sighted.prefill_tokens_s),
            reported_at,
        )
        estimates.learn_report(target, report)
    return True


def _learn_failure(tables: Tables, target: Target, wait_s: float, now: float) -> bool:
    """Take in another host's failed poll; return whether it needs no check.

    One that agrees with this host's own finding keeps the breaker open.
    """
    row = tables.observation.rows.setdefault(target.name, PollState())
    if row.failures >= FAILURES_TO_OPEN:
        _hold_lost(target, wait_s, now)
        return True
    return now - row.polled_at < MIN_POLL_INTERVAL_S
