"""Detection of contents that crash their targets ("poison" requests)."""

from __future__ import annotations

import xxhash

from turmericflow.profile import Profile
from turmericflow.tables import CrashSuspect, CrashSuspectTable, Loss

# Every content that ran on a lost target becomes a suspect.  Suspects are resumed
# on different targets, so that a crashing content runs with other contents each
# time; a content is convicted, and then refused, at its third loss.
LOSSES_TO_CONVICT = 3
DUPLICATE_LOSS_S = 2.0
RECENTLY_LOST_S = 2.0
MAX_SEPARATED_SUSPECTS = 100
SUSPICION_S = 60.0
CONVICTION_S = 600.0
HOLD_ONCE_LOST_S = 1.0
HOLD_TWICE_LOST_S = 10.0


def fingerprint(profile: Profile, prompt: str) -> str:
    """Return the hash of a prompt and its model, the same for every request key."""
    loaded = f"{profile.model}\0{profile.adapter}\0{profile.version}\0{prompt}"
    return xxhash.xxh3_128_hexdigest(loaded.encode())


def _recent_losses(row: CrashSuspect, now: float) -> list[Loss]:
    first = max(row.cleared_at, now - SUSPICION_S)
    return [loss for loss in row.losses if loss.at > first]


def loss_count(table: CrashSuspectTable, content: str, now: float) -> int:
    """Return how many recent losses of targets a content was running at."""
    row = table.rows.get(content)
    return 0 if row is None else len(_recent_losses(row, now))


def record_loss(
    table: CrashSuspectTable, loss: Loss, contents: list[str], now: float
) -> None:
    """Record the loss of a target for all contents that ran there.

    Reports of the same loss by several routers count once.
    """
    table.lost_at[loss.target] = max(loss.at, table.lost_at.get(loss.target, loss.at))
    for content in contents:
        row = table.rows.setdefault(content, CrashSuspect())
        duplicates = [
            each
            for each in row.losses
            if each.target == loss.target and abs(each.at - loss.at) < DUPLICATE_LOSS_S
        ]
        if duplicates:
            continue
        row.losses.append(loss)
        if (
            len(_recent_losses(row, now)) >= LOSSES_TO_CONVICT
            and row.convicted_at is None
        ):
            row.convicted_at = now


def clear(table: CrashSuspectTable, content: str, now: float) -> None:
    """Clear a content of suspicion after a complete answer."""
    row = table.rows.get(content)
    if row is not None:
        row.cleared_at = max(row.cleared_at, now)
        row.convicted_at = None


def is_convicted(table: CrashSuspectTable, content: str, now: float) -> bool:
    """Return whether a content is convicted, so that requests for it are refused."""
    row = table.rows.get(content)
    if row is None or row.convicted_at is None:
        return False
    return now - row.convicted_at < CONVICTION_S


def held_until(table: CrashSuspectTable, content: str, now: float) -> float:
    """Return the time until which further requests for a suspect are held back.

    They wait for the outcome of the request that already runs.
    """
    row = table.rows.get(content)
    losses = [] if row is None else _recent_losses(row, now)
    if not losses:
        return now
    hold = HOLD_ONCE_LOST_S if len(losses) == 1 else HOLD_TWICE_LOST_S
    return max(now, losses[-1].at + hold)


def targets_to_avoid(
    table: CrashSuspectTable,
    running: dict[str, list[str]],
    targets: list[str],
    content: str,
    now: float,
) -> frozenset[str]:
    """Return the targets that a suspect must not be sent to.

    Parameters
    ----------
    table
        The suspects.
    running
        Contents that this router has running, by target.
    targets
        Names of the targets that could run the content.
    content
        Fingerprint of the suspect.
    now
        Time in seconds of the wall clock, shared by all hosts.

    Returns
    -------
    frozenset of str
        Targets that run more suspects than the target with the fewest.  Empty if
        there are more than ``MAX_SEPARATED_SUSPECTS``: during mass losses most of
        the running contents are suspects.
    """
    if (
        not targets
        or len(table.rows) > MAX_SEPARATED_SUSPECTS
        or not loss_count(table, content, now)
    ):
        return frozenset()
    suspects = {
        target: sum(
            1
            for other in running.get(target, [])
            if other != content and loss_count(table, other, now)
        )
        for target in targets
    }
    fewest = min(suspects.values())
    return frozenset(name for name, number in suspects.items() if number > fewest)


def recently_lost(table: CrashSuspectTable, now: float) -> frozenset[str]:
    """Return the targets that were lost recently."""
    return frozenset(
        target for target, at in table.lost_at.items() if now - at < RECENTLY_LOST_S
    )


def reserved_target(
    table: CrashSuspectTable, content: str, targets: list[str], now: float
) -> str | None:
    """Return the target reserved for a content with two or more losses.

    Routers that know the same suspects reserve the same targets, so that no two
    such suspects share one.  None if there are more suspects than targets; the
    content must then wait.
    """
    suspects = sorted(
        name
        for name, row in table.rows.items()
        if row.convicted_at is None and len(_recent_losses(row, now)) > 1
    )
    rank = suspects.index(content)
    return sorted(targets)[rank] if rank < len(targets) else None


def expire(table: CrashSuspectTable, now: float) -> None:
    """Remove losses, convictions and suspects that have expired."""
    for target, at in list(table.lost_at.items()):
        if now - at >= SUSPICION_S:
            del table.lost_at[target]
    for name, row in list(table.rows.items()):
        row.losses = _recent_losses(row, now)
        if row.convicted_at is not None and now - row.convicted_at >= CONVICTION_S:
            row.convicted_at = None
        if not row.losses and row.convicted_at is None:
            del table.rows[name]
