"""Shared polling of targets, and use of the load reports of other hosts."""

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

# The hosts of a data centre, or of the whole fleet while it is small, form groups.
# Within a group each target has OBSERVERS observers, by rendezvous hashing over the
# hosts that send reports.  They poll the target and send what they saw to the rest
# of the group.  A silent host is left out, so the next in the hash order replaces it
# without any message.
#
# Reports of other hosts update the load of a target but never shut it out: this host
# polls the target itself when they report a failure or contradict its own state.
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
    """Why a host polls a target.

    Attributes
    ----------
    OBSERVER
        The host is an observer of the target.
    CHECK
        To check a failed poll, or another host's report.
    NO_REPORTS
        No other host has reported the target for some time.
    """

    OBSERVER = "observer"
    CHECK = "check"
    NO_REPORTS = "untold"


def _hash(*words: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(words).encode())


def group(tables: Tables) -> list[str]:
    """Return the other hosts of this host's group, silent ones included."""
    table, peers = tables.observation, tables.peers
    if table.group_version != peers.change_count:
        table.group, table.group_version = _group(tables), peers.change_count
    return table.group


def _group(tables: Tables) -> list[str]:
    rows = tables.peers.rows.values()
    live = [row for row in rows if row.state is not PeerState.DEAD]
    if len(live) < MAX_GROUP_HOSTS:
        return [row.host for row in live]
    local = [row.host for row in live if row.data_centre == tables.data_centre]
    local.append(tables.host)
    local.sort(key=lambda host: (_hash("group", host), host))
    groups = math.ceil(len(local) / MAX_GROUP_HOSTS)
    own = local.index(tables.host) * groups // len(local)
    return [
        host
        for rank, host in enumerate(local)
        if rank * groups // len(local) == own and host != tables.host
    ]


def reporting_hosts(tables: Tables, now: float) -> list[str]:
    """Return the other hosts of the group that sent a report recently."""
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
        The other hosts that could be observers.
    target
        Name of the target.
    """
    own = _hash(target, host)
    higher = sum(1 for other in others if _hash(target, other) > own)
    return higher < OBSERVERS


def poll_interval_s(targets: int, hosts: int) -> float:
    """Return the time in seconds between an observer's polls of one target.

    The rates of polls of a host and of reports in a group are bounded, so with more
    targets each is polled less often.

    Parameters
    ----------
    targets
        Number of targets.
    hosts
        Number of hosts that send reports, this host included.
    """
    rate = min(GROUP_POLLS_PER_S, hosts * HOST_POLLS_PER_S)
    return min(OBSERVERS, hosts) * max(MIN_POLL_INTERVAL_S, targets / rate)


def batch_delay_s(interval_s: float) -> float:
    """Return the time in seconds for which reports are batched before they are sent."""
    return min(PUBLISH_INTERVAL_S, max(MIN_BATCH_DELAY_S, interval_s / 10))


def may_poll(table: ObservationTable, now: float) -> bool:
    """Refill the token bucket of this host's polls; return whether it allows one.

    Failed polls are repeated by every host that learns of them.  Without this limit
    engines would be polled more often the slower they answer.
    """
    refill = (now - table.poll_tokens_at) * MAX_POLLS_PER_S
    table.poll_tokens = min(POLL_BURST, table.poll_tokens + refill)
    table.poll_tokens_at = now
    return table.poll_tokens >= 1.0


def fallback_interval_s(interval_s: float) -> float:
    """Return the time in seconds between polls of a target that no host reports."""
    return max(MIN_FALLBACK_INTERVAL_S, STALE_INTERVALS * interval_s)


def reason_to_poll(
    tables: Tables, target: Target, others: list[str], interval_s: float, now: float
) -> PollReason | None:
    """Return why this host must poll a target now, or None."""
    row = tables.observation.rows.setdefault(target.name, PollState())
    if row.needs_check or 0 < row.failures < FAILURES_TO_OPEN:
        return PollReason.CHECK
    if is_observer(tables.host, others, target.name):
        return PollReason.OBSERVER
    stale = now - target.load.reported_at > STALE_INTERVALS * interval_s
    if stale and now - row.polled_at >= fallback_interval_s(interval_s):
        return PollReason.NO_REPORTS
    return None


def must_poll_cache(
    tables: Tables, target: Target, engines: int, share: float, now: float
) -> bool:
    """Return whether to fetch an engine's prefix cache events now.

    There are too many events to share between hosts, so each router fetches them
    itself, and less often from an engine that has been idle since the last fetch.

    Parameters
    ----------
    tables, target
        The tables of this host, and the engine.
    engines
        Number of engines.
    share
        Random number from 0 to 1 that spreads the first fetches over time.
    now
        Time in seconds of the host's clock.
    """
    row, load = tables.observation.rows[target.name], target.load
    cycle_s = engines / CACHE_POLLS_PER_S
    if row.cache_polled_at == float("-inf"):
        row.cache_polled_at = now - max(IDLE_CACHE_POLL_S, cycle_s) + share * cycle_s
        return False
    busy = load.running + load.queued + target.known_in_flight > 0
    if target.in_flight_history:
        busy = busy or target.in_flight_history[-1][0] >= row.cache_polled_at
    interval_s = max(BUSY_CACHE_POLL_S if busy else IDLE_CACHE_POLL_S, cycle_s)
    return now - row.cache_polled_at >= interval_s


def all_polled(tables: Tables) -> bool:
    """Return whether the host list was received and every target reported or failed.

    A target without a report counts as having a single slot, so work would be
    refused although there is room for it.
    """
    table = tables.targets
    return table.host_list_received and all(
        row.load.reported_at > float("-inf")
        or tables.observation.rows.get(name, PollState()).failures
        for name, row in table.rows.items()
    )


def on_report(
    tables: Tables, target: Target, report: LoadReport, models: list[str]
) -> bool:
    """Apply a report that this host polled; return whether the target recovered."""
    row = tables.observation.rows.setdefault(target.name, PollState())
    recovered = row.failures >= FAILURES_TO_OPEN
    row.failures = 0
    row.needs_check = False
    if recovered:
        breakers.on_recovery(target, report.reported_at)
    estimates.learn_report(target, report)
    target.models = set(models)
    return recovered


def on_failure(tables: Tables, target: Target, interval_s: float, now: float) -> bool:
    """Record that this host's poll failed; return whether the target just became lost.

    Each further failure extends the open period of the breaker to the next poll.
    """
    row = tables.observation.rows.setdefault(target.name, PollState())
    row.failures += 1
    row.needs_check = False
    if row.failures < FAILURES_TO_OPEN:
        return False
    _open_breaker(target, interval_s, now)
    return row.failures == FAILURES_TO_OPEN


def _open_breaker(target: Target, interval_s: float, now: float) -> None:
    breakers.on_lost(target, now)
    breakers.extend_open(target, now, STALE_INTERVALS * interval_s)


def next_poll_s(row: PollState, interval_s: float) -> float:
    """Return the time in seconds to the next poll, shorter for a failing target."""
    return min(interval_s, LOST_POLL_INTERVAL_S) if row.failures else interval_s


def to_wire(target: Target, now: float) -> wire.TargetReport:
    """Return a target's last report as sent to other hosts, with its age."""
    report = target.load
    step_ms = min(max(0.0, report.step_ms), MAX_STEP_MS)
    prefill = min(max(0.0, report.prefill_tokens_s), MAX_PREFILL_TOKENS_S)
    return wire.TargetReport(
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
    """Return a hash of a set of loaded models."""
    return _hash(*sorted(models)) % MODELS_MODULUS


def learn_peer_reports(
    tables: Tables, msg: wire.TargetReports, interval_s: float, now: float
) -> list[str]:
    """Apply another host's reports of its polls.

    Returns
    -------
    list of str
        Targets that this host must poll at once, to check the reports.
    """
    tables.observation.last_report_at[msg.host] = now
    targets = tables.targets.rows
    to_check = []
    for peer_report in msg.reports:
        target = targets.get(peer_report.target)
        if target is not None and not _learn_report(tables, target, peer_report, now):
            to_check.append(target.name)
    for name in msg.failed:
        target = targets.get(name)
        if target is not None and not _learn_failure(tables, target, interval_s, now):
            to_check.append(name)
    for name in to_check:
        tables.observation.rows[name].needs_check = True
    return to_check


def _learn_report(
    tables: Tables, target: Target, peer_report: wire.TargetReport, now: float
) -> bool:
    """Apply another host's report; return False if this host must check it.

    It is not applied, and to be checked, if this host's own polls failed or if the
    loaded models differ.  No check follows if this host has only just polled.
    """
    row = tables.observation.rows.setdefault(target.name, PollState())
    if row.failures or models_digest(target.models) != peer_report.models:
        return now - row.polled_at < MIN_POLL_INTERVAL_S
    reported_at = now - peer_report.age_ms / 1000
    if reported_at > target.load.reported_at:
        report = LoadReport(
            peer_report.running,
            peer_report.queued,
            peer_report.slots,
            peer_report.step_us / 1000,
            float(peer_report.prefill_tokens_s),
            reported_at,
        )
        estimates.learn_report(target, report)
    return True


def _learn_failure(
    tables: Tables, target: Target, interval_s: float, now: float
) -> bool:
    """Apply another host's failed poll; return False if this host must check it.

    If this host's own polls fail too, the open period of the breaker is extended.
    """
    row = tables.observation.rows.setdefault(target.name, PollState())
    if row.failures >= FAILURES_TO_OPEN:
        _open_breaker(target, interval_s, now)
        return True
    return now - row.polled_at < MIN_POLL_INTERVAL_S
