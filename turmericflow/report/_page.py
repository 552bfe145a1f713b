"""HTML page with tables and plots of error-budget burn rates."""

from __future__ import annotations

import html
import io
from datetime import UTC, datetime

from turmericflow.profile import Objectives
from turmericflow.systems import burn
from turmericflow.tables import BurnTable

_PAGE = """\
<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body {{ font-family: sans-serif; margin: 2em; }}
table {{ border-collapse: collapse; }}
td, th {{ border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: right; }}
td:first-child, td:nth-child(2), td:nth-child(3) {{ text-align: left; }}
.fast {{ background: #fbb; }}
</style>
<h1>Service-level burn</h1>
<p>As of {at}. A rate of 1 uses up exactly the allowed error budget.</p>
{table}
{plots}
</html>
"""
PERCENTILES = (50, 90, 95, 99, 99.9)


def _row(tag: str, cells: list[str], classes: list[str]) -> str:
    inner = "".join(
        f'<{tag} class="{name}">{html.escape(cell)}</{tag}>'
        for cell, name in zip(cells, classes)
    )
    return f"<tr>{inner}</tr>"


def _table(burn_rates: list[burn.BurnRate]) -> str:
    head = ["profile", "customer", "objective", *burn.WINDOWS_S, "counted in 3d"]
    rows = [_row("th", head, [""] * len(head))]
    for each in burn_rates:
        if not each.totals["3d"]:
            continue
        rates = list(each.rates.values())
        cells = [each.profile, each.customer or "(all)", each.objective]
        cells += ["-" if rate is None else f"{rate:.2f}" for rate in rates]
        classes = ["", "", ""]
        classes += ["fast" if rate is not None and rate > 1 else "" for rate in rates]
        rows.append(_row("td", [*cells, str(each.totals["3d"])], [*classes, ""]))
    return f"<table>{''.join(rows)}</table>"


def _burn_rate_points(
    table: BurnTable, profile: str, objective: str, objectives: Objectives
) -> tuple[list[datetime], list[float]]:
    times, rates = [], []
    error_budget = 1 - getattr(objectives, objective)
    for (start, length), rows in sorted(table.cells.items()):
        counts = [
            getattr(cell, objective)
            for (name, _), cell in rows.items()
            if name == profile
        ]
        total = sum(count.total for count in counts)
        if total:
            times.append(datetime.fromtimestamp(start + length, UTC))
            missed = sum(count.missed for count in counts)
            rates.append(missed / total / error_budget)
    return times, rates


def _plot(table: BurnTable, profile: str, objectives: Objectives) -> str:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 3.2), layout="constrained")
    rate_axes, percentile_axes = figure.subplots(1, 2)
    for objective in burn.OBJECTIVES:
        times, rates = _burn_rate_points(table, profile, objective, objectives)
        rate_axes.plot(times, rates, marker=".", label=objective)
        histogram = table.latencies.get((profile, objective))
        if histogram is not None:
            values = [histogram.get_value_at_percentile(each) for each in PERCENTILES]
            labels = [f"p{each:g}" for each in PERCENTILES]
            percentile_axes.plot(labels, values, marker="o", label=objective)
    rate_axes.axhline(1.0, color="grey", linestyle="--")
    rate_axes.set_title(f"{profile}: burn rate")
    rate_axes.tick_params(axis="x", rotation=30)
    percentile_axes.set_title("time, ms")
    for axes in (rate_axes, percentile_axes):
        if axes.get_legend_handles_labels()[0]:
            axes.legend()
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def render_page(
    table: BurnTable, objectives: dict[str, Objectives], wall: float
) -> str:
    """Return a self-contained HTML page with burn rates and plots.

    Parameters
    ----------
    table
        Requests counted against the objectives.
    objectives
        Objectives by profile.
    wall
        Wall-clock time of the report, in seconds since the epoch.
    """
    profiles = sorted({name for rows in table.cells.values() for name, _ in rows})
    plots = [
        _plot(table, each, objectives.get(each, Objectives())) for each in profiles
    ]
    at = datetime.fromtimestamp(wall, UTC).isoformat(timespec="seconds")
    burn_rates = burn.rates(table, objectives, wall)
    return _PAGE.format(at=at, table=_table(burn_rates), plots="\n".join(plots))
