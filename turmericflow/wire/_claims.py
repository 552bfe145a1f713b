"""Messages between runners and the owners of slots."""

from __future__ import annotations

from turmericflow.wire._base import Message, WireAttempt, WireFailure, WireSlot


class OwnerRequest(Message):
    """What a slot's owner is asked of one try of a request."""

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

    ``lost_epoch`` names the runner epoch that the sender found unreachable;
    -1 asks for the first grant.  ``gone`` says that the runner itself answered
    that it does not run the request.
    """

    generation: str
    runner: str
    lost_epoch: int
    body: bytes
    gone: bool = False


class Granted(Message, tag="granted"):
    """The sender of a claim is the runner, from the journal's end."""

    rid: int
    generation: str
    runner_epoch: int
    attempts: list[WireAttempt]
    tokens: list[str]
    body: bytes
    regranted: bool = False
    journal_host: str = ""


class Attached(Message, tag="attached"):
    """Another router runs the request; follow it there."""

    rid: int
    generation: str
    runner: str
    runner_epoch: int


class Recorded(Message, tag="recorded"):
    """The request has ended; this is its recorded answer."""

    rid: int
    generation: str
    attempts: list[WireAttempt]
    tokens: list[str]


class Refused(Message, tag="refused"):
    """The claim or operation is refused."""

    rid: int
    failure: WireFailure


class Moved(Message, tag="moved"):
    """Not decided here and now: ask again, at the entry's owner if newer."""

    rid: int
    entry: WireSlot | None = None


class Seal(OwnerRequest, tag="seal"):
    """Ask a slot's owner to see to it that a refused try can never run."""

    failure: WireFailure


class Sealed(Message, tag="sealed"):
    """Answers `Seal`; the failure is told with the verdict given here."""

    rid: int
    failure: WireFailure


class End(Message, tag="end"):
    """The runner has ended a request with a failure."""

    rid: int
    customer: str
    key: str
    runner_epoch: int
    failure: WireFailure


class Ended(Message, tag="ended"):
    """Acknowledges `End` with the failure as it is recorded.

    None says that the sender is no longer the request's runner.
    """

    rid: int
    failure: WireFailure | None = None
