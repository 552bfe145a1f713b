"""Event rates as exponentially weighted moving averages."""

from __future__ import annotations

from turmericflow.tables import Rate


def update(rate: Rate, elapsed_s: float, gain: float) -> None:
    """Update a rate with the events of the last ``elapsed_s``; reset their count."""
    rate.per_s += gain * (rate.count / elapsed_s - rate.per_s)
    rate.count = 0
