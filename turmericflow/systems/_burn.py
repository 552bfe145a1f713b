"""Service-level objectives: counts of requests and burn rates of error budgets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from turmericflow.profile import Objectives
from turmericflow.systems import _membership as membership
from turmericflow.tables import (
    BurnTable,
    Cell,
    ObjectiveCounts,
    RequestRow,
    Series,
    Tables,
)
from turmericflow.verdict import ErrorCode

MINUTE_S = 60
OTHERS = "(others)"
MAX_SERIES = 60
WINDOWS_S = {"5m": 300, "1h": 3600, "6h": 21_600, "3d": 259_200}
OBJECTIVES = ("whole_in_time", "first_token", "resume")
# (cell length, age up to which cells have that length)
_RETENTION_S = ((60, 3_900), (600, 22_800), (3600, 266_400))
_MS_PER_S = 1000
# The caller cancelled the request, or another router counts it.
_NOT_COUNTED = frozenset({ErrorCode.CANCELLED, ErrorCode.REPLACED})


def count(table: BurnTable, row: RequestRow, wall_time: float) -> None:
    """Count an ended request against its profile's objectives.

    Requests that were cancelled, or that another router counts, are left out.

    Parameters
    ----------
    table
        Counts to update.
    row
        The request.
    wall_time
        Wall clock time in seconds.
    """
    if row.failure is not None and row.failure.code in _NOT_COUNTED:
        return
    objectives = row.profile.objectives
    name = row.profile.name
    start = int(wall_time) // MINUTE_S * MINUTE_S
    cell = table.cell(start, MINUTE_S, (name, row.request_id.customer))
    in_time = row.committed_at - row.accepted_at <= row.profile.deadline_s
    cell.whole_in_time.record(row.complete and row.failure is None and in_time)
    if row.first_committed_at:
        first_s = row.first_committed_at - row.accepted_at
        cell.first_token.record(first_s <= objectives.first_token_s)
        table.latency(name, "first_token").record_value(_to_ms(first_s))
    for resume_s in row.resumes_s:
        cell.resume.record(resume_s <= objectives.resume_s)
        table.latency(name, "resume").record_value(_to_ms(resume_s))


def _to_ms(seconds: float) -> int:
    return max(1, round(seconds * _MS_PER_S))


def compact(table: BurnTable, wall_time: float) -> BurnTable:
    """Return a copy with old cells merged into longer ones, or dropped.

    The ``MAX_SERIES`` series with the most requests stay separate.  The others are
    merged into one series for each profile, which bounds the size of the table.
    """
    result = BurnTable(latencies=dict(table.latencies))
    largest = _largest_series(table)
    for (start, length), rows in table.cells.items():
        new_length = next(
            (n for n, age in _RETENTION_S if wall_time - start <= age), None
        )
        if new_length is None:
            continue
        new_length = max(length, new_length)
        new_start = start // new_length * new_length
        for series, cell in rows.items():
            merged = series if series in largest else (series[0], OTHERS)
            result.cell(new_start, new_length, merged).add(cell)
    return result


def _largest_series(table: BurnTable) -> set[Series]:
    totals: dict[Series, int] = {}
    for rows in table.cells.values():
        for series, cell in rows.items():
            totals[series] = totals.get(series, 0) + cell.whole_in_time.total
    return set(sorted(totals, key=lambda each: (-totals[each], each))[:MAX_SERIES])


def to_value(table: BurnTable) -> dict[str, Any]:
    """Return a table as a JSON value to store on the platform."""
    cells = [
        [start, length, *series, *_numbers(cell)]
        for (start, length), rows in sorted(table.cells.items())
        for series, cell in sorted(rows.items())
    ]
    times = [
        [*key, histogram.encode().decode()]
        for key, histogram in sorted(table.latencies.items())
    ]
    return {"cells": cells, "times": times}


def from_value(value: dict[str, Any]) -> BurnTable:
    """Return the table stored in a JSON value.

    Raises
    ------
    ValueError
        If the value is not a valid table.
    """
    table = BurnTable()
    try:
        for start, length, profile, customer, *numbers in value["cells"]:
            cell = table.cell(int(start), int(length), (str(profile), str(customer)))
            cell.add(_cell(numbers))
        for profile, objective, encoded in value["times"]:
            histogram = HdrHistogram.decode(encoded.encode())
            table.latency(str(profile), str(objective)).add(histogram)
    except Exception as exc:
        # The histogram library raises many kinds of errors for damaged bytes.
        raise ValueError(
            f"expected a stored burn table, got damaged data: {exc!r}"
        ) from exc
    return table


def _numbers(cell: Cell) -> list[int]:
    objectives = (cell.whole_in_time, cell.first_token, cell.resume)
    return [number for each in objectives for number in (each.total, each.missed)]


def _cell(numbers: list[int]) -> Cell:
    total, missed, firsts, late, losses, slow = (int(number) for number in numbers)
    return Cell(
        ObjectiveCounts(total, missed),
        ObjectiveCounts(firsts, late),
        ObjectiveCounts(losses, slow),
    )


@dataclass(slots=True, frozen=True)
class BurnRate:
    """Burn rates of one objective's error budget.

    Attributes
    ----------
    profile, customer, objective
        Names; an empty customer stands for all customers.
    rates
        Share missed over share allowed, by window; None if nothing was counted.
    totals
        Number counted, by window.
    """

    profile: str
    customer: str
    objective: str
    rates: dict[str, float | None]
    totals: dict[str, int]


def _allowed(objectives: Objectives, objective: str) -> float:
    return 1 - getattr(objectives, objective)


def _objective_counts(
    table: BurnTable, profile: str, customer: str, objective: str, since: float
) -> ObjectiveCounts:
    counts = ObjectiveCounts()
    for (start, length), rows in table.cells.items():
        if start + length <= since:
            continue
        for (name, counted_for), cell in rows.items():
            if name == profile and customer in ("", counted_for):
                counts.add(getattr(cell, objective))
    return counts


def rates(
    table: BurnTable, objectives: dict[str, Objectives], wall_time: float
) -> list[BurnRate]:
    """Return the burn rates of each profile, in total and by customer.

    At a rate of 1 the error budget lasts exactly its period.  The first cell of a
    window counts in full.
    """
    series = {each for rows in table.cells.values() for each in rows}
    wanted = sorted({(profile, "") for profile, _ in series} | series)
    found = []
    for profile, customer in wanted:
        for objective in OBJECTIVES:
            counts = {
                name: _objective_counts(
                    table, profile, customer, objective, wall_time - length_s
                )
                for name, length_s in WINDOWS_S.items()
            }
            allowed = _allowed(objectives.get(profile, Objectives()), objective)
            burn_rates = {
                name: each.missed / each.total / allowed if each.total else None
                for name, each in counts.items()
            }
            totals = {name: each.total for name, each in counts.items()}
            found.append(BurnRate(profile, customer, objective, burn_rates, totals))
    return found


def keeper(tables: Tables) -> str:
    """Return the host that stores the counts of this host's data centre."""
    staying = membership.staying_hosts(tables) or [tables.host]
    here = [
        host
        for host in staying
        if membership.data_centre_of(tables, host) == tables.data_centre
    ]
    return min(here, default=tables.host)
