"""Counts for service-level objectives, by time, profile and customer."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class ObjectiveCounts:
    """Number counted for one objective, and number that missed it."""

    total: int = 0
    missed: int = 0

    def record(self, met: bool) -> None:
        """Count one request or loss that met or missed the objective."""
        self.total += 1
        self.missed += not met

    def add(self, other: ObjectiveCounts) -> None:
        """Add the counts of another instance."""
        self.total += other.total
        self.missed += other.missed


@dataclass(slots=True)
class Cell:
    """Counts of the objectives for one profile and customer in one interval.

    Attributes
    ----------
    whole_in_time
        Accepted requests, and those not answered completely within the deadline.
    first_token
        First tokens, and those that were late.
    resume
        Losses of targets, and those after which output resumed too late.
    """

    whole_in_time: ObjectiveCounts = field(default_factory=ObjectiveCounts)
    first_token: ObjectiveCounts = field(default_factory=ObjectiveCounts)
    resume: ObjectiveCounts = field(default_factory=ObjectiveCounts)

    def add(self, other: Cell) -> None:
        """Add the counts of another cell."""
        self.whole_in_time.add(other.whole_in_time)
        self.first_token.add(other.first_token)
        self.resume.add(other.resume)


Series = tuple[str, str]  # profile, customer


@dataclass(slots=True)
class BurnTable:
    """Counts by interval, and latency histograms by profile.

    Attributes
    ----------
    cells
        Counts by (start in seconds of the wall clock, length in seconds), then by
        (profile, customer).
    latencies
        Histograms in milliseconds by (profile, objective), over all time since
        they were first stored.
    """

    cells: dict[tuple[int, int], dict[Series, Cell]] = field(default_factory=dict)
    latencies: dict[tuple[str, str], HdrHistogram] = field(default_factory=dict)

    def cell(self, start: int, length: int, series: Series) -> Cell:
        """Return a cell, created if missing."""
        return self.cells.setdefault((start, length), {}).setdefault(series, Cell())

    def latency(self, profile: str, objective: str) -> HdrHistogram:
        """Return a histogram, created if missing."""
        key = (profile, objective)
        if key not in self.latencies:
            self.latencies[key] = new_histogram()
        return self.latencies[key]

    def add(self, other: BurnTable) -> None:
        """Add another table's counts and histograms."""
        for (start, length), rows in other.cells.items():
            for series, cell in rows.items():
                self.cell(start, length, series).add(cell)
        for (profile, objective), histogram in other.latencies.items():
            self.latency(profile, objective).add(histogram)
