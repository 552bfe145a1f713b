"""Verdicts on whether a failed request may have run, and error codes."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Verdict(enum.StrEnum):
    """Whether any attempt of a request may have run on a target.

    ``NOT_RUN`` is used only if no byte of any attempt was sent to a target, or if
    the target states that it refused the request before running it.
    """

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


class ErrorCode(enum.StrEnum):
    """Reasons for which a request or an operation fails or is refused."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_REQUIRED = "key_required"
    KEY_CONFLICT = "key_conflict"
    TOO_LARGE = "too_large"
    UNKNOWN_PROFILE = "unknown_profile"
    UNKNOWN_CUSTOMER = "unknown_customer"
    RETIRED = "retired"
    SEALED = "sealed"
    GENERATION_MISMATCH = "generation_mismatch"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    NO_OWNER = "no_owner"
    STALE_VIEW = "stale_view"
    TARGET_FAILED = "target_failed"
    TARGET_REFUSED = "target_refused"
    SUSPECT_CONTENT = "suspect_content"
    REPLACED = "replaced"
    RUNNER_LOST = "runner_lost"
    RETENTION = "retention"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    STOPPING = "stopping"
    INTERNAL = "internal"
    UNREACHABLE = "unreachable"


HTTP_STATUS: dict[ErrorCode, int] = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.KEY_REQUIRED: 400,
    ErrorCode.KEY_CONFLICT: 422,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.UNKNOWN_PROFILE: 404,
    ErrorCode.UNKNOWN_CUSTOMER: 401,
    ErrorCode.RETIRED: 410,
    ErrorCode.SEALED: 409,
    ErrorCode.GENERATION_MISMATCH: 409,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NO_TARGET: 503,
    ErrorCode.NO_OWNER: 503,
    ErrorCode.STALE_VIEW: 503,
    ErrorCode.TARGET_FAILED: 502,
    ErrorCode.TARGET_REFUSED: 502,
    ErrorCode.SUSPECT_CONTENT: 422,
    ErrorCode.REPLACED: 409,
    ErrorCode.RUNNER_LOST: 502,
    ErrorCode.RETENTION: 409,
    ErrorCode.DEADLINE: 504,
    ErrorCode.CANCELLED: 409,
    ErrorCode.STOPPING: 503,
    ErrorCode.INTERNAL: 500,
    ErrorCode.UNREACHABLE: 503,
}


@dataclass(slots=True, frozen=True)
class Failure:
    """An error with a code and a verdict.

    Attributes
    ----------
    code
        Reason of the failure.
    verdict
        Whether the request may have run.
    message
        One sentence for people, with the value got and the value expected.
    retry_after_s
        Delay before a retry, in seconds, or None if no retry is suggested.
    """

    code: ErrorCode
    verdict: Verdict
    message: str
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """HTTP status for the code."""
        return HTTP_STATUS[self.code]


class RequestFailed(Exception):
    """Raised to end a request with a `Failure`."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class TargetFailed(Exception):
    """Raised when a target refuses a request or its connection fails.

    Attributes
    ----------
    verdict
        ``NOT_RUN`` if no byte was sent or the target states that it refused,
        else ``MAY_HAVE_RUN``.
    lost
        Whether the connection to the target failed.
    silent
        Whether the target only did not answer in time.
    unasked
        Whether the host through which the request was to be sent failed, so that
        nothing is known of the target.
    """

    def __init__(
        self,
        verdict: Verdict,
        message: str,
        lost: bool = False,
        silent: bool = False,
        unasked: bool = False,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.lost = lost
        self.silent = silent
        self.unasked = unasked


def not_run(code: ErrorCode, message: str, retry_after_s: float | None = None):
    """Return a `RequestFailed` with the verdict ``NOT_RUN``."""
    return RequestFailed(Failure(code, Verdict.NOT_RUN, message, retry_after_s))
