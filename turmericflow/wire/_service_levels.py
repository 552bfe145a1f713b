"""Messages for service levels."""

from __future__ import annotations

from turmericflow.wire._base import Message


class BurnCounts(Message, tag="burn_counts"):
    """Send a host's service-level counts to the host that saves them.

    ``host`` is the sender's name and incarnation.
    ``number`` grows with each new batch of counts; a batch is sent again under
    the same number until it is acknowledged.
    """

    rid: int
    host: str
    number: int
    value: bytes


class BurnAck(Message, tag="burn_taken"):
    """Acknowledge `BurnCounts`."""

    rid: int
