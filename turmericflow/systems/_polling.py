"""Polling of the platform: when to poll, and which answers to accept."""

from __future__ import annotations

from random import Random

from turmericflow.tables import Tables

FLEET_POLLS_PER_S = 2.0
MIN_POLL_INTERVAL_S = 0.5
POLL_JITTER = 0.2
POLL_BYTES_PER_S = 4_000.0
MAX_MISSING_SHARE = 0.5


def is_newer(tables: Tables, path: str, version: int) -> bool:
    """Return whether a version of an object is newer than the stored version."""
    return version > tables.config.versions.get(path, 0)


def confirm_version(tables: Tables, version: int, now: float) -> bool:
    """Record that the platform has sent all objects up to a version.

    Returns
    -------
    bool
        False if the answer shows an older state than an earlier answer; such an
        answer does not confirm that this host's configuration is current.
    """
    if version < tables.config.seen_version:
        return False
    tables.config.seen_version = version
    tables.config.confirmed_at = max(tables.config.confirmed_at, now)
    return True


def poll_wait_s(tables: Tables, rng: Random, answer_bytes: int = 0) -> float:
    """Return the time until this host's next poll of the platform, in seconds.

    The hosts take turns, so that the platform's rate of polls does not depend on
    the fleet's size.  Large answers are requested less often, so that they stay
    below ``POLL_BYTES_PER_S``.
    """
    hosts = len(tables.peers.rows) + 1
    jitter = rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
    by_bytes = answer_bytes / POLL_BYTES_PER_S
    return max(MIN_POLL_INTERVAL_S, hosts / FLEET_POLLS_PER_S, by_bytes) * jitter


def is_plausible(known: int, missing: int) -> bool:
    """Return whether a host list without some known targets is plausible."""
    return missing <= max(1, known * MAX_MISSING_SHARE)
