"""Intervals that grow with the number of hosts, to bound the work of each host."""

from __future__ import annotations

from turmericflow.relay._store import Kind
from turmericflow.relay._tables import Tables

MIN_HEARTBEAT_INTERVAL_S = 0.25
MIN_HEARTBEAT_TIMEOUT_S = 1.5  # six heartbeats; a status may take a few hops
HEARTBEATS_PER_TIMEOUT = 4
# All hosts together may send this many, so that the work of each host is bounded.
MAX_HEARTBEATS_PER_S = 150.0
MAX_WATCH_WAKEUPS_PER_S = 150.0  # watches of all hosts that return with changes
MAX_HOST_WATCH_WAKEUPS_PER_S = 30.0  # hosts also learn of each other by gossip
MAX_WATCH_BATCH_S = 1.0  # half of the time allowed for applying a deployment
# Less than half of the time in which all hosts should know of a leaving target.
MAX_TARGETS_BATCH_S = 0.2
RESYNC_INTERVAL_S = 1.0  # half of the time in which a deployment must be in force
PROPAGATION_INTERVALS = 3  # between announcements, until one has reached all hosts
MIN_LOAD_PROPAGATION_S = 0.1  # a few hops, each with a scheduling delay
MAX_LOAD_ANNOUNCEMENTS_PER_S = 1000.0  # of all hosts together
RECORD_INTERVAL_S = 0.3  # between two writes of what hosts must find after a loss
RECORD_MARGIN_S = 0.05  # a write usually takes milliseconds
MIN_RECORDS_AGE_S = 1.5  # a few times what a write and its announcement take
HEARTBEATS_PER_GOSSIP_WINDOW = 2  # a loss is repeated in this many statuses


def heartbeat_interval_s(tables: Tables) -> float:
    """Return the time between two heartbeats of this host, in seconds."""
    return max(
        MIN_HEARTBEAT_INTERVAL_S, (1 + len(tables.hosts.rows)) / MAX_HEARTBEATS_PER_S
    )


def heartbeat_timeout_s(tables: Tables) -> float:
    """Return how long a host counts as live after its last status, in seconds."""
    return max(
        MIN_HEARTBEAT_TIMEOUT_S, HEARTBEATS_PER_TIMEOUT * heartbeat_interval_s(tables)
    )


def max_unverified_s(tables: Tables) -> float:
    """Return how old the confirmation of the targets by other hosts may usually get.

    Two hosts read the targets each second, and their heartbeats tell the others. The
    time is in seconds.
    """
    return RESYNC_INTERVAL_S + 2 * heartbeat_interval_s(tables)


def load_announcement_interval_s(tables: Tables) -> float:
    """Return the minimum time between two announcements of new work, in seconds."""
    return (1 + len(tables.hosts.rows)) / MAX_LOAD_ANNOUNCEMENTS_PER_S


def watch_batch_s(tables: Tables, kind: Kind) -> float:
    """Return how long to collect changes in the store before the next watch.

    The time in seconds grows with the number of hosts, since each change wakes up
    the watches of all hosts. Few hosts watch the targets.
    """
    per_s = (
        MAX_HOST_WATCH_WAKEUPS_PER_S if kind is Kind.HOSTS else MAX_WATCH_WAKEUPS_PER_S
    )
    max_batch_s = MAX_TARGETS_BATCH_S if kind is Kind.TARGETS else MAX_WATCH_BATCH_S
    return min(max_batch_s, (1 + len(tables.hosts.rows)) / per_s)


def gossip_window_s(tables: Tables) -> float:
    """Return how long a host repeats new information in its status, in seconds."""
    return HEARTBEATS_PER_GOSSIP_WINDOW * heartbeat_interval_s(tables)


def load_propagation_s(tables: Tables) -> float:
    """Return the time until all hosts know of announced work, in seconds."""
    return max(
        MIN_LOAD_PROPAGATION_S,
        PROPAGATION_INTERVALS * load_announcement_interval_s(tables),
    )


def max_records_age_s(tables: Tables) -> float:
    """Return the age above which the records count as not written, in seconds."""
    return max(MIN_RECORDS_AGE_S, RECORD_INTERVAL_S + 3 * heartbeat_interval_s(tables))


def record_time_s(tables: Tables) -> float:
    """Return the time until the store holds what a host announced, in seconds.

    This is the usual time; while the store is away it is longer.
    """
    return load_propagation_s(tables) + RECORD_INTERVAL_S + RECORD_MARGIN_S
