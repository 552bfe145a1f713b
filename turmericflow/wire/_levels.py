"""Messages on service levels."""

from __future__ import annotations

from turmericflow.wire._base import Message


class BurnCounts(Message, tag="burn_counts"):
    """Service-level counts of a host, for the host that saves them.

    ``number`` grows with each new batch of counts; a batch is sent again under
    its number until it is taken.
    """

    rid: int
    host: str
    number: int
    value: bytes


class BurnAck(Message, tag="burn_taken"):
    """Acknowledges `BurnCounts`."""

    rid: int
