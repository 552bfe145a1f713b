"""Messages for journals, followers and cancellation."""

from __future__ import annotations

from turmericflow.wire._base import Message, WireAttempt, WireFailure


class AppendEntry(Message, tag="entry"):
    """Tokens of one request, to be appended to its journal.

    ``complete`` is set if the answer ends with these tokens; empty ``attempts``
    mean that the attempts have not changed.
    """

    customer: str
    key: str
    runner_epoch: int
    start: int
    texts: list[str]
    attempts: list[WireAttempt]
    complete: bool


class Append(Message, tag="append"):
    """Send a batch of journal entries of one runner."""

    rid: int
    entries: list[AppendEntry]


class Appended(Message, tag="appended"):
    """Acknowledge an `Append`.

    ``refused`` holds the indexes of entries whose runner was replaced, and
    ``unknown`` those of entries whose journal must be uploaded first.
    """

    rid: int
    refused: list[int]
    unknown: list[int] = []


class Follow(Message, tag="follow"):
    """Ask a runner to stream a request's committed tokens from ``start`` on."""

    rid: int
    customer: str
    key: str
    start: int


class Followed(Message, tag="followed"):
    """Send a follower new committed tokens or the end of the request."""

    rid: int
    generation: str
    attempts: list[WireAttempt]
    start: int
    texts: list[str]
    complete: bool
    failure: WireFailure | None


class Cancel(Message, tag="cancel"):
    """Ask a runner to end a request that its caller has cancelled."""

    rid: int
    customer: str
    key: str


class Cancelled(Message, tag="cancelled"):
    """Reply to `Cancel`; ``found`` is set if the request was still running."""

    rid: int
    found: bool
