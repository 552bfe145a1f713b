"""Delay after which a call to a plain service is hedged."""

from __future__ import annotations

from turmericflow.profile import Profile
from turmericflow.tables import CallTimes, StreamTable

MEAN_GAIN = 1 / 8
DEV_GAIN = 1 / 4
HEDGE_DELAY_DEVIATIONS = 4.0
MIN_SPREAD_S = 0.25
DEFAULT_WAIT_SHARE = 0.5


def hedge_delay_s(table: StreamTable, profile: Profile) -> float:
    """Return the time after which a profile's call is tried at another target.

    A call sends nothing before its answer, so its silence means something only
    once it is longer than the usual call.  Until the first call is answered,
    half of the time that a caller waits is left to the second target.
    """
    times = table.calls.get(profile.name)
    if times is None:
        return DEFAULT_WAIT_SHARE * profile.wait_s
    return times.mean_s + max(HEDGE_DELAY_DEVIATIONS * times.dev_s, MIN_SPREAD_S)


def record_duration(table: StreamTable, profile: Profile, duration_s: float) -> None:
    """Update a profile's usual call time; longer calls count up to the hedge delay."""
    times = table.calls.get(profile.name)
    if times is None:
        table.calls[profile.name] = CallTimes(duration_s, duration_s / 2)
        return
    error = min(duration_s, hedge_delay_s(table, profile)) - times.mean_s
    times.mean_s += MEAN_GAIN * error
    times.dev_s += DEV_GAIN * (abs(error) - times.dev_s)
