"""Typed messages between routers, on msgpack streams."""

from __future__ import annotations

from turmericflow.wire._codec import MAX_MESSAGE_BYTES, Decoder, WireError, encode
from turmericflow.wire._messages import (
    Ack,
    Allotments,
    AnyMessage,
    Append,
    Appended,
    AppendEntry,
    Attached,
    BurnCounts,
    BurnTaken,
    Cancel,
    Cancelled,
    Claim,
    Compare,
    Demands,
    Differences,
    End,
    Ended,
    FactVersion,
    Fetch,
    Follow,
    Followed,
    Granted,
    Hello,
    InFlight,
    Message,
    Moved,
    Ping,
    Probed,
    ProbeFor,
    Record,
    Recorded,
    Refused,
    Rumour,
    Rumours,
    Seal,
    Sealed,
    Store,
    Stored,
    Transfer,
    Upload,
    Uploaded,
    WireAttempt,
    WireFailure,
    WireSlot,
)

__all__ = (
    # Streams
    "MAX_MESSAGE_BYTES",
    "Decoder",
    "WireError",
    "encode",
    # Bases and parts
    "AnyMessage",
    "Message",
    "WireAttempt",
    "WireFailure",
    # Connections
    "Hello",
    # Claims
    "Attached",
    "Claim",
    "Granted",
    "Recorded",
    "Moved",
    "Refused",
    "Seal",
    "Sealed",
    # Slots
    "Record",
    "Store",
    "Stored",
    "Transfer",
    "Upload",
    "Uploaded",
    "WireSlot",
    # Journal
    "Append",
    "AppendEntry",
    "Appended",
    "End",
    "Ended",
    # Cancelling
    "Cancel",
    "Cancelled",
    # Followers
    "Follow",
    "Followed",
    # Gossip
    "Compare",
    "Differences",
    "FactVersion",
    "Fetch",
    "Rumour",
    "Rumours",
    # Load
    "Allotments",
    "Demands",
    "InFlight",
    # Membership
    "Ack",
    "Ping",
    "ProbeFor",
    "Probed",
    # Service levels
    "BurnCounts",
    "BurnTaken",
)
