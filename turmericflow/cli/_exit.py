"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum

from turmericflow.declare import Outcome
from turmericflow.verdict import Verdict


class Exit(enum.IntEnum):
    """What a script can tell from the exit code."""

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


OF_VERDICT = {
    Verdict.NOT_RUN: Exit.NOT_RUN,
    Verdict.MAY_HAVE_RUN: Exit.MAY_HAVE_RUN,
    Verdict.RAN: Exit.RAN,
}
OF_OUTCOME = {
    Outcome.APPLIED: Exit.OK,
    Outcome.UNCHANGED: Exit.OK,
    Outcome.RACED: Exit.RACED,
    Outcome.UNREACHABLE: Exit.UNREACHABLE,
    Outcome.UNKNOWN: Exit.UNKNOWN,
}


class CommandError(Exception):
    """Raised when a command cannot go on; the message is for standard error."""

    def __init__(self, message: str, code: Exit = Exit.FAILED) -> None:
        super().__init__(message)
        self.code = code
