"""Command that reports error-budget burn rates."""

from __future__ import annotations

import argparse
import time
from dataclasses import asdict
from pathlib import Path

from pydantic import ValidationError

from turmericflow.cli._access import add_platform_option, open_platform
from turmericflow.cli._exit import CommandError, Exit
from turmericflow.cli._output import print_error, print_json, print_table
from turmericflow.profile import PROFILE_ADAPTER, Objectives
from turmericflow.report import render_page
from turmericflow.services._platform import PlatformError, PlatformObject
from turmericflow.systems import burn
from turmericflow.tables import BurnTable

DEFAULT_PAGE = Path("burn.html")


async def _fetch_objects(args: argparse.Namespace) -> list[PlatformObject]:
    async with open_platform(args) as platform:
        try:
            return (await platform.list()).items
        except PlatformError as exc:
            raise CommandError(str(exc), Exit.UNREACHABLE) from exc


def _merge_counts(
    items: list[PlatformObject],
) -> tuple[BurnTable, dict[str, Objectives]]:
    table, objectives = BurnTable(), {}
    for item in items:
        try:
            if item.kind == "burn" and item.value is not None:
                table.add(burn.from_value(item.value))
            elif item.kind == "profile" and item.value is not None:
                profile = PROFILE_ADAPTER.validate_python(item.value)
                objectives[item.name] = profile.objectives
        except (ValueError, ValidationError) as exc:
            print_error(f"{item.kind}/{item.name}: skipped, invalid object: {exc}")
    return table, objectives


def _format_rate(rate: float | None) -> str:
    return "-" if rate is None else f"{rate:.2f}"


async def _burn(args: argparse.Namespace) -> Exit:
    table, objectives = _merge_counts(await _fetch_objects(args))
    wall = time.time()
    burn_rates = burn.rates(table, objectives, wall)
    if args.json:
        print_json({"at": wall, "burn": [asdict(each) for each in burn_rates]})
    else:
        rows = [
            (
                each.profile,
                each.customer or "(all)",
                each.objective,
                *(_format_rate(rate) for rate in each.rates.values()),
                each.totals["3d"],
            )
            for each in burn_rates
            if each.totals["3d"]
        ]
        head = ("profile", "customer", "objective", *burn.WINDOWS_S, "counted in 3d")
        print_table(head, rows)
    page = args.page or (None if args.json else DEFAULT_PAGE)
    if page is not None:
        page.write_text(render_page(table, objectives, wall), "utf-8")
        print_error(f"page written to {page}")
    return Exit.OK


def add_report_command(commands) -> None:
    """Add the ``report`` commands."""
    report = commands.add_parser("report", help="Report on service levels.")
    reports = report.add_subparsers(metavar="REPORT", required=True)
    summary = "Print how fast error budgets burn, and write a page with plots."
    parser = reports.add_parser(
        "burn",
        help=summary,
        description=f"{summary} A rate of 1 uses up exactly the allowed error budget.",
        epilog="example:\n  turmericflow report burn --page burn.html",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=_burn)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--page",
        type=Path,
        metavar="FILE",
        help=f"where the page goes (default {DEFAULT_PAGE}; none with --json)",
    )
    add_platform_option(parser)
