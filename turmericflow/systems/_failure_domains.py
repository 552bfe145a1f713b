"""Placement of resumes away from data centres that are losing targets."""

from __future__ import annotations

from turmericflow.systems import _estimates as estimates
from turmericflow.tables import TargetTable


def targets_near_losses(
    targets: TargetTable, lost: frozenset[str], names: list[str], now: float
) -> frozenset[str]:
    """Return the targets in data centres that lost another target recently.

    The targets of a failing data centre are lost one after the other.  A
    generation that is resumed in the same data centre may be lost again at once,
    and would be suspected of having crashed both targets.

    Parameters
    ----------
    targets
        All targets.
    lost
        Names of the targets that were lost recently.
    names
        Names of the targets that could run the work.
    now
        Time in seconds of the host's clock.

    Returns
    -------
    frozenset of str
        Those of ``names`` to avoid; empty if no target elsewhere has a free slot.
    """
    rows = targets.rows
    centres = {rows[name].data_centre for name in lost if name in rows}
    near = frozenset(name for name in names if rows[name].data_centre in centres)
    for name in names:
        row = rows[name]
        if name not in near and estimates.estimated_in_flight(
            row, now
        ) < estimates.slots_of(row):
            return near
    return frozenset()
