"""Messages between runners and slot owners."""

from __future__ import annotations

from turmericflow.wire._base import Message, WireAttempt, WireFailure, WireSlot


class OwnerRequest(Message):
    """Base class of requests to a slot's owner about one try of a request."""

    rid: int
    customer: str
    key: str
    try_no: int
    fingerprint: str
    profile: str
    idempotent: bool
    slot_epoch: int


class Claim(OwnerRequest, tag="claim"):
    """Ask a slot's owner for the right to run a request.

    ``generation`` is a random id of the claim, and names the generation that
    the claim starts.
    ``lost_epoch`` is the runner epoch that the sender found unreachable, or -1
    for a first grant.  ``gone`` is set if the runner itself answered that it
    does not run the request.
    """

    generation: str
    runner: str
    lost_epoch: int
    body: bytes
    gone: bool = False


class Granted(Message, tag="granted"):
    """Grant a claim: its sender runs the request from the end of the journal."""

    rid: int
    generation: str
    runner_epoch: int
    attempts: list[WireAttempt]
    tokens: list[str]
    body: bytes
    regranted: bool = False
    journal_host: str = ""


class Attached(Message, tag="attached"):
    """Redirect a claim to the router that already runs the request."""

    rid: int
    generation: str
    runner: str
    runner_epoch: int


class Recorded(Message, tag="recorded"):
    """Return the recorded answer of a finished request."""

    rid: int
    generation: str
    attempts: list[WireAttempt]
    tokens: list[str]


class Refused(Message, tag="refused"):
    """Refuse a claim or seal, or report that the request has failed."""

    rid: int
    failure: WireFailure


class Moved(Message, tag="moved"):
    """Ask the sender to repeat its request, at the owner in a newer ``entry``."""

    rid: int
    entry: WireSlot | None = None


class Seal(OwnerRequest, tag="seal"):
    """Ask a slot's owner to ensure that a refused try can never run."""

    failure: WireFailure


class Sealed(Message, tag="sealed"):
    """Reply to `Seal` with the failure to report, whose verdict may differ."""

    rid: int
    failure: WireFailure


class End(Message, tag="end"):
    """Report that the runner has ended a request with a failure."""

    rid: int
    customer: str
    key: str
    runner_epoch: int
    failure: WireFailure


class Ended(Message, tag="ended"):
    """Reply to `End` with the recorded failure.

    ``failure`` is None if the sender is no longer the request's runner.
    """

    rid: int
    failure: WireFailure | None = None
