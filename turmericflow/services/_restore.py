"""Restores a request from the body that its owner stores."""

from __future__ import annotations

import hashlib

import msgspec

from turmericflow.profile import Profile, ProfileKind
from turmericflow.tables import RequestRow
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict


class _Body(msgspec.Struct):
    profile: str
    prompt: str = ""
    max_tokens: int = 256
    payload: msgspec.Raw = msgspec.Raw(b"")


def restore(row: RequestRow, profiles: dict[str, Profile]) -> None:
    """Set a row's profile, prompt and length from its stored request body.

    A request that was attempted before keeps the weights of its last attempt.

    Raises
    ------
    RequestFailed
        If the profile is no longer declared.
    """
    body = msgspec.json.decode(row.body, type=_Body)
    profile = profiles.get(body.profile)
    if profile is None:
        message = f"profile: got {body.profile!r}, which is no longer declared"
        failure = Failure(ErrorCode.UNKNOWN_PROFILE, Verdict.MAY_HAVE_RUN, message)
        raise RequestFailed(failure)
    spec = row.attempts[-1].loaded if row.attempts else ""
    row.profile = profile.with_model_spec(spec) if spec else profile
    row.fingerprint = hashlib.sha256(row.body).hexdigest()
    if profile.kind is ProfileKind.CALL:
        row.prompt, row.max_tokens = bytes(body.payload).decode(), 1
    else:
        row.prompt, row.max_tokens = body.prompt, body.max_tokens
