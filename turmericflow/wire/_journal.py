"""Messages that carry output: journals, followers, and their end."""

from __future__ import annotations

from turmericflow.wire._base import Message, WireAttempt, WireFailure


class AppendEntry(Message, tag="entry"):
    """Tokens of one request that its runner has taken.

    ``complete`` says that the answer ends with these tokens; no ``attempts``
    means that they are as they were.
    """

    customer: str
    key: str
    runner_epoch: int
    start: int
    texts: list[str]
    attempts: list[WireAttempt]
    complete: bool


class Append(Message, tag="append"):
    """A batch of journal entries from one runner."""

    rid: int
    entries: list[AppendEntry]


class Appended(Message, tag="appended"):
    """Acknowledges a batch.

    ``refused`` holds the indexes of entries whose sender was replaced,
    ``unknown`` those whose journal is not here and is to be uploaded.
    """

    rid: int
    refused: list[int]
    unknown: list[int] = []


class Follow(Message, tag="follow"):
    """Ask a runner for a request's committed tokens from ``start`` on."""

    rid: int
    customer: str
    key: str
    start: int


class Followed(Message, tag="followed"):
    """Committed tokens for a follower; sent when there are some or at the end."""

    rid: int
    generation: str
    attempts: list[WireAttempt]
    start: int
    texts: list[str]
    complete: bool
    failure: WireFailure | None


class Cancel(Message, tag="cancel"):
    """Ask a runner to end a request that its caller no longer wants."""

    rid: int
    customer: str
    key: str


class Cancelled(Message, tag="cancelled"):
    """Answers `Cancel`; ``found`` says whether the request still ran."""

    rid: int
    found: bool
