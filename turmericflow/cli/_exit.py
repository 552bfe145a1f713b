"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum

from turmericflow.declare import Outcome
from turmericflow.verdict import Verdict


class Exit(enum.IntEnum):
    """Exit codes, for use in scripts."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    MAY_HAVE_RUN = 4
    RAN = 5
    RACED = 6
    UNREACHABLE = 7
    UNKNOWN = 8
    INTERRUPTED = 130


EXIT_BY_VERDICT = {
    Verdict.NOT_RUN: Exit.NOT_RUN,
    Verdict.MAY_HAVE_RUN: Exit.MAY_HAVE_RUN,
    Verdict.RAN: Exit.RAN,
}
EXIT_BY_OUTCOME = {
    Outcome.APPLIED: Exit.OK,
    Outcome.UNCHANGED: Exit.OK,
    Outcome.RACED: Exit.RACED,
    Outcome.UNREACHABLE: Exit.UNREACHABLE,
    Outcome.UNKNOWN: Exit.UNKNOWN,
}


class CommandError(Exception):
    """Raised when a command fails; the message goes to standard error."""

    def __init__(self, message: str, code: Exit = Exit.FAILED) -> None:
        super().__init__(message)
        self.code = code
