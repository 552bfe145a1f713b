"""Entry point of the ``turmericflow`` command."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys

from turmericflow.cli._callers import add_caller_commands
from turmericflow.cli._exit import CommandError, Exit
from turmericflow.cli._explain import add_explain_command
from turmericflow.cli._operators import add_operator_commands
from turmericflow.cli._output import print_error
from turmericflow.cli._report import add_report_command
from turmericflow.cli._status import add_status_command

_EPILOG = """\
exit codes:
  0 done                     5 RAN: the request ran
  1 failed                   6 another operator's change stands
  2 usage, or invalid files  7 unreachable; nothing was changed
  3 NOT_RUN                  8 a change may have taken effect; applying again is safe
  4 MAY_HAVE_RUN

examples:
  turmericflow generate quotation 'Fascia sign, 3 m' --address 127.0.1.1:7000
  turmericflow check declarations/ && turmericflow apply declarations/
  turmericflow COMMAND --help
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="turmericflow",
        description="Command-line tool for callers and operators of turmericflow.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    add_caller_commands(commands)
    add_operator_commands(commands)
    add_status_command(commands)
    add_report_command(commands)
    add_explain_command(commands)
    return parser


def _close_output() -> None:
    # Avoids an error when the interpreter flushes the closed pipe at exit.
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return int(asyncio.run(args.run(args)))
    except CommandError as exc:
        print_error(exc)
        return int(exc.code)
    except KeyboardInterrupt:
        return int(Exit.INTERRUPTED)
    except BrokenPipeError:
        _close_output()
        return int(Exit.FAILED)


if __name__ == "__main__":
    sys.exit(main())
