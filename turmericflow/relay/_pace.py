"""How often hosts tell and ask, by their number, so that a host's work stays flat."""

from __future__ import annotations

from turmericflow.relay._store import Kind
from turmericflow.relay._tables import Tables

SHORTEST_BEAT_S = 0.25
SHORTEST_ALIVE_S = 1.5  # six beats; the status of a far host takes a few hops
ALIVE_BEATS = 4
BEATS_PER_S = 150.0  # of all hosts together, so that a host's work does not grow
CHANGES_PER_S = 150.0  # watches that end with a change, of all hosts together
HOST_CHANGES_PER_S = 30.0  # hosts learn of each other from their peers as well
LONGEST_GATHER_S = 1.0  # half of the time in which a new deployment is to be in force
TOLD_GAPS = 3  # between announcements, in which one of them has come to all
SHORTEST_TOLD_S = 0.1  # a few hops and waits for a processor
LOADS_PER_S = 1000.0  # announcements of new work, of all hosts together
TOLD_BEATS = 2  # in so many statuses losses are told


def beat_s(tables: Tables) -> float:
    """Return the time between two sendings of this host's status, in seconds."""
    return max(SHORTEST_BEAT_S, (1 + len(tables.hosts.rows)) / BEATS_PER_S)


def alive_s(tables: Tables) -> float:
    """Return for how long a host counts as alive after its last status."""
    return max(SHORTEST_ALIVE_S, ALIVE_BEATS * beat_s(tables))


def load_gap_s(tables: Tables) -> float:
    """Return the least time between two announcements of new work."""
    return (1 + len(tables.hosts.rows)) / LOADS_PER_S


def gather_s(tables: Tables, kind: Kind) -> float:
    """Return the time in which the store's changes gather before the next watch.

    It grows with the number of hosts, as a change ends the watches of all.
    """
    per_s = HOST_CHANGES_PER_S if kind is Kind.HOSTS else CHANGES_PER_S
    return min(LONGEST_GATHER_S, (1 + len(tables.hosts.rows)) / per_s)


def told_s(tables: Tables) -> float:
    """Return for how long a host tells of what it learned."""
    return TOLD_BEATS * beat_s(tables)


def announced_s(tables: Tables) -> float:
    """Return the time after which all hosts know of announced work."""
    return max(SHORTEST_TOLD_S, TOLD_GAPS * load_gap_s(tables))
