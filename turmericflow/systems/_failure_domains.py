"""Placement of resumes while more targets of a data centre may be lost.

A data centre goes down target by target.  A generation that is resumed beside
the target that it was lost with may be lost again at once, and would come under
the suspicion of having crashed both.
"""

from __future__ import annotations

from turmericflow.systems import _estimates as estimates
from turmericflow.tables import TargetTable


def targets_near_losses(
    targets: TargetTable, lost: frozenset[str], names: list[str], now: float
) -> frozenset[str]:
    """Return the targets that stand where another one was lost a moment ago.

    Parameters
    ----------
    targets
        All targets.
    lost
        Names of the targets that were lost.
    names
        Names of the targets that could run the work.
    now
        Time in seconds of the host's clock.

    Returns
    -------
    frozenset of str
        Some of ``names``; empty if no target elsewhere has room.
    """
    rows = targets.rows
    centres = {rows[name].data_centre for name in lost if name in rows}
    near = frozenset(name for name in names if rows[name].data_centre in centres)
    for name in names:
        row = rows[name]
        if name not in near and estimates.occupied(row, now) < estimates.slots_of(row):
            return near
    return frozenset()
