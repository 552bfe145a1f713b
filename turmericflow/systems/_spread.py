"""Spread of configuration: what is put in force, and who asks the platform."""

from __future__ import annotations

from random import Random

from turmericflow.tables import Tables

FLEET_POLLS_S = 2.0
MIN_POLL_S = 0.5
POLL_JITTER = 0.2
POLL_BYTES_S = 4_000.0
LOST_SHARE = 0.5


def is_newer(tables: Tables, path: str, version: int) -> bool:
    """Return whether an object's version may be put in force."""
    return version > tables.config.versions.get(path, 0)


def seen_by_platform(tables: Tables, version: int, now: float) -> bool:
    """Take in that the platform has told all objects up to a version.

    Returns
    -------
    bool
        False if the platform answers with an older state than it did before;
        such an answer says nothing of the view's age.
    """
    if version < tables.config.seen_version:
        return False
    tables.config.seen_version = version
    tables.config.confirmed_at = max(tables.config.confirmed_at, now)
    return True


def poll_wait_s(tables: Tables, rng: Random, answer_bytes: int = 0) -> float:
    """Return the time until this host's next turn to poll the platform.

    The hosts take turns, so that the platform is polled at one rate whatever
    the fleet's size.  Large answers are asked for less often, so that they take
    no more than a set rate of bytes.
    """
    hosts = len(tables.peers.rows) + 1
    spread = rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
    by_bytes = answer_bytes / POLL_BYTES_S
    return max(MIN_POLL_S, hosts / FLEET_POLLS_S, by_bytes) * spread


def is_plausible(known: int, missing: int) -> bool:
    """Return whether a host list can be believed that lacks known targets."""
    return missing <= max(1, known * LOST_SHARE)
