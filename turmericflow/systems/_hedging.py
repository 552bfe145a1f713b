"""How many second attempts may be under way before it is known that they help.

A router that lacks processor time hears late and takes targets for silent.  Its
second attempts give it more to read, so that it hears later still.
"""

from __future__ import annotations

from turmericflow.tables import Budget, StreamRow, StreamTable, TargetStreams

GROWTH = 2


def _view(table: StreamTable, stream: StreamRow) -> TargetStreams:
    return table.targets.setdefault(stream.target, TargetStreams())


def try_acquire(table: StreamTable, needless: Budget, stream: StreamRow) -> bool:
    """Allow a second attempt for a silent stream, if not too many are in doubt.

    At first as many are allowed for a target as may turn out to be needless.
    Each that gives output before the silent stream does allows more, so that
    the streams of a target that is lost are soon all resumed.

    Parameters
    ----------
    table
        The streams.
    needless
        Budget of second attempts that turn out to be needless.
    stream
        The silent stream.

    Returns
    -------
    bool
        Whether it is allowed; `release` has to follow.
    """
    if stream.hedged:
        return True
    view = _view(table, stream)
    if view.open_hedges + 1 > needless.tokens + GROWTH * view.hedge_wins:
        return False
    view.open_hedges += 1
    stream.hedged = True
    return True


def release(table: StreamTable, stream: StreamRow) -> None:
    """Take in that a stream was given up or has ended, whatever its hedge did."""
    if stream.hedged:
        stream.hedged = False
        _view(table, stream).open_hedges -= 1


def on_won(table: StreamTable, stream: StreamRow) -> None:
    """Take in that the second attempt gave output before the silent stream."""
    if stream.hedged:
        release(table, stream)
        _view(table, stream).hedge_wins += 1


def on_wasted(table: StreamTable, needless: Budget, stream: StreamRow) -> None:
    """Take in that the silent stream spoke again before its second attempt."""
    if stream.hedged:
        release(table, stream)
        _view(table, stream).hedge_wins = 0
        needless.tokens = max(0.0, needless.tokens - 1.0)
