"""Command that shows the log lines of one request, from several hosts."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from turmericflow.cli._exit import CommandError, Exit
from turmericflow.cli._output import print_error


def _read_lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        try:
            yield from file.read_text("utf-8", errors="replace").splitlines()
        except OSError as exc:
            raise CommandError(f"{file}: {exc.strerror}", Exit.USAGE) from None


async def _explain(args: argparse.Namespace) -> Exit:
    from turmericflow.report import read_logs, select_lines

    logs = read_logs(_read_lines(args.files))
    lines = select_lines(logs, args.request)
    for line in lines:
        print(line.text())
    if logs.unreadable_lines:
        print_error(f"{logs.unreadable_lines} lines could not be read")
    if not lines:
        raise CommandError(f"no log line of request {args.request!r}")
    return Exit.OK


def add_explain_command(commands) -> None:
    """Add the ``explain`` command."""
    parser = commands.add_parser(
        "explain",
        help="Show what hosts logged about a request, merged in order.",
        epilog="example:\n  cat host-*.log | turmericflow explain 5b62683e403da913",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=_explain)
    parser.add_argument(
        "request", help="id of the caller's attempt, as logged in the field request"
    )
    parser.add_argument(
        "files",
        nargs="*",
        type=Path,
        metavar="FILE",
        help="log files (default: standard input)",
    )
