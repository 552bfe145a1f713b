"""How often hosts tell and ask, by their number, so that a host's work stays flat."""

from __future__ import annotations

from turmericflow.relay._directory import Kind
from turmericflow.relay._tables import Tables

MIN_HEARTBEAT_INTERVAL_S = 0.25
MIN_HEARTBEAT_TIMEOUT_S = 1.5  # six beats; the status of a far host takes a few hops
HEARTBEATS_PER_TIMEOUT = 4
MAX_HEARTBEATS_PER_S = (
    150.0  # of all hosts together, so that a host's work does not grow
)
MAX_WATCH_WAKEUPS_PER_S = 150.0  # watches that end with a change, of all hosts together
MAX_HOST_WATCH_WAKEUPS_PER_S = (
    30.0  # hosts learn of each other from their peers as well
)
MAX_WATCH_BATCH_S = 1.0  # half of the time in which a new deployment is to be in force
ANNOUNCEMENTS_TO_PROPAGATE = (
    3  # between announcements, in which one of them has come to all
)
MIN_LOAD_PROPAGATION_S = 0.1  # a few hops and waits for a processor
MAX_LOAD_ANNOUNCEMENTS_PER_S = (
    1000.0  # announcements of new work, of all hosts together
)
HEARTBEATS_PER_GOSSIP_WINDOW = 2  # in so many statuses losses are told


def heartbeat_interval_s(tables: Tables) -> float:
    """Return the time between two sendings of this host's status, in seconds."""
    return max(
        MIN_HEARTBEAT_INTERVAL_S, (1 + len(tables.hosts.rows)) / MAX_HEARTBEATS_PER_S
    )


def heartbeat_timeout_s(tables: Tables) -> float:
    """Return for how long a host counts as alive after its last status."""
    return max(
        MIN_HEARTBEAT_TIMEOUT_S, HEARTBEATS_PER_TIMEOUT * heartbeat_interval_s(tables)
    )


def load_announcement_interval_s(tables: Tables) -> float:
    """Return the least time between two announcements of new work."""
    return (1 + len(tables.hosts.rows)) / MAX_LOAD_ANNOUNCEMENTS_PER_S


def watch_batch_s(tables: Tables, kind: Kind) -> float:
    """Return the time in which the store's changes gather before the next watch.

    It grows with the number of hosts, as a change ends the watches of all.
    """
    per_s = (
        MAX_HOST_WATCH_WAKEUPS_PER_S if kind is Kind.HOSTS else MAX_WATCH_WAKEUPS_PER_S
    )
    return min(MAX_WATCH_BATCH_S, (1 + len(tables.hosts.rows)) / per_s)


def gossip_window_s(tables: Tables) -> float:
    """Return for how long a host tells of what it learned."""
    return HEARTBEATS_PER_GOSSIP_WINDOW * heartbeat_interval_s(tables)


def load_propagation_s(tables: Tables) -> float:
    """Return the time after which all hosts know of announced work."""
    return max(
        MIN_LOAD_PROPAGATION_S,
        ANNOUNCEMENTS_TO_PROPAGATE * load_announcement_interval_s(tables),
    )
