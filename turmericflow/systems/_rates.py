"""Rates at which things happen, as moving means."""

from __future__ import annotations

from turmericflow.tables import Rate


def update(rate: Rate, elapsed_s: float, gain: float) -> None:
    """Take what happened over some seconds into a rate, and count anew."""
    rate.per_s += gain * (rate.count / elapsed_s - rate.per_s)
    rate.count = 0
