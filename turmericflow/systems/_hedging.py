"""Limit on hedged requests that have neither won nor been wasted yet."""

from __future__ import annotations

from turmericflow.tables import Budget, StreamRow, StreamTable, TargetStreams

# A router short of processor time reads output late and takes live targets for
# silent.  Its hedged requests give it still more output to read and delay it
# further, so the number of open hedges may grow only as hedges win.
HEDGES_PER_WIN = 2


def _streams(table: StreamTable, stream: StreamRow) -> TargetStreams:
    return table.targets.setdefault(stream.target, TargetStreams())


def try_acquire(table: StreamTable, wasted: Budget, stream: StreamRow) -> bool:
    """Reserve a hedged request for a silent stream, within its target's limit.

    At first a target may have as many open hedges as the budget allows to be
    wasted.  Each hedge that sends output before the silent stream raises the
    limit, so that the streams of a lost target are soon all resumed.

    Parameters
    ----------
    table
        The streams.
    wasted
        Budget of hedged requests that turn out to be unnecessary.
    stream
        The silent stream.

    Returns
    -------
    bool
        Whether the stream may be hedged; if so, `release`, `on_won` or
        `on_wasted` must be called later.
    """
    if stream.hedged:
        return True
    streams = _streams(table, stream)
    if streams.open_hedges + 1 > wasted.tokens + HEDGES_PER_WIN * streams.hedge_wins:
        return False
    streams.open_hedges += 1
    stream.hedged = True
    return True


def release(table: StreamTable, stream: StreamRow) -> None:
    """Release the hedge of a stream that has ended or was not hedged after all."""
    if stream.hedged:
        stream.hedged = False
        _streams(table, stream).open_hedges -= 1


def on_won(table: StreamTable, stream: StreamRow) -> None:
    """Record that a hedged request sent output before the silent stream."""
    if stream.hedged:
        release(table, stream)
        _streams(table, stream).hedge_wins += 1


def on_wasted(table: StreamTable, wasted: Budget, stream: StreamRow) -> None:
    """Record that a silent stream sent output before its hedged request."""
    if stream.hedged:
        release(table, stream)
        _streams(table, stream).hedge_wins = 0
        wasted.tokens = max(0.0, wasted.tokens - 1.0)
