"""Whether this host reaches the targets itself, or only through other hosts."""

from __future__ import annotations

import math
from collections.abc import Collection
from random import Random

from turmericflow.relay import _membership as membership
from turmericflow.relay._host_tables import PROTOCOL, Host, HostState
from turmericflow.relay._model import HostEntry
from turmericflow.relay._tables import Tables
from turmericflow.relay._target_tables import Target

MAX_FAILED_TARGETS = 4  # that are needed to tell a lost path, in a large service


def _is_cut_off(tables: Tables, service: str) -> bool:
    """Return whether so many targets cannot be reached that the path must be lost."""
    rows = tables.targets.by_service.get(service, ())
    failed = tables.paths.failed(service)
    if tables.paths.cut_off:
        return bool(failed)
    data_centres = {row.entry.data_centre for row in rows}
    failed_in = {row.entry.data_centre for row in rows if row.entry.key in failed}
    number = min(len(rows), MAX_FAILED_TARGETS, max(2, math.ceil(len(rows) / 2)))
    # A data centre whose targets are lost is not a lost path.
    return len(failed) >= number and len(failed_in) >= min(2, len(data_centres))


def record_failure(tables: Tables, target: Target, now: float) -> bool:
    """Record that a new connection to a target could not be made.

    Returns
    -------
    bool
        Whether this host has just been found to be cut off from the target's service.
    """
    service = target.entry.service
    paths = tables.paths
    if service in paths.cut_off:
        return False
    paths.record_failure(service, target.entry.key, now)
    # Without a host that may have a path, the targets may as well be lost.
    if not _is_cut_off(tables, service) or not _find_hosts(tables, service, now):
        return False
    paths.cut_off.add(service)
    _forget_losses(tables, service)
    return True


def _forget_losses(tables: Tables, service: str) -> None:
    """Forget the losses of a service's targets, which may be reachable for others."""
    for target in tables.targets.by_service.get(service, ()):
        target.failures = 0
        target.backoff_until = 0.0
        target.lost_at = float("-inf")
    for domain in list(tables.targets.loss_times):
        if domain[1] == service:
            del tables.targets.loss_times[domain]


def _find_hosts(tables: Tables, service: str, now: float) -> list[Host]:
    """Return the ready hosts that do not say that they are cut off from a service."""
    return [
        row
        for row in membership.live_peers(tables, now)
        if row.status.state == HostState.READY and service not in row.status.cut_off
    ]


def choose_host(
    tables: Tables, service: str, excluded: Collection[str], now: float, rng: Random
) -> HostEntry | None:
    """Return a host that has a path to a service's targets, or None.

    Hosts whose connections carry frames go first, as through others a body without a
    length cannot be told to be complete.

    Parameters
    ----------
    tables
        Tables of this host.
    service
        Name of the service.
    excluded
        Names of hosts that are not asked.
    now
        Time in seconds.
    rng
        Source of randomness.
    """
    hosts = _find_hosts(tables, service, now)
    found = [row for row in hosts if row.entry.name not in excluded]
    found = [row for row in found if row.status.protocol >= PROTOCOL] or found
    return rng.choice(found).entry if found else None
