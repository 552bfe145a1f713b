"""When a call to a plain service is tried at another target.

A call gives no sign of life before its answer, so that its silence tells
something only once it has lasted longer than such calls take.
"""

from __future__ import annotations

from turmericflow.profile import Profile
from turmericflow.tables import CallTimes, StreamTable

MEAN_GAIN = 1 / 8
DEV_GAIN = 1 / 4
DEVIATIONS = 4.0
MIN_SPREAD_S = 0.25
UNKNOWN_WAIT_SHARE = 0.5


def hedge_delay_s(table: StreamTable, profile: Profile) -> float:
    """Return after how long a profile's call is tried at another target.

    While no call has been answered yet, half of the time that a caller waits
    is left to the second target.
    """
    times = table.calls.get(profile.name)
    if times is None:
        return UNKNOWN_WAIT_SHARE * profile.wait_s
    return times.mean_s + max(DEVIATIONS * times.dev_s, MIN_SPREAD_S)


def record_duration(table: StreamTable, profile: Profile, took_s: float) -> None:
    """Take in how long a call took; one far out of the way counts in part."""
    times = table.calls.get(profile.name)
    if times is None:
        table.calls[profile.name] = CallTimes(took_s, took_s / 2)
        return
    error = min(took_s, hedge_delay_s(table, profile)) - times.mean_s
    times.mean_s += MEAN_GAIN * error
    times.dev_s += DEV_GAIN * (abs(error) - times.dev_s)
