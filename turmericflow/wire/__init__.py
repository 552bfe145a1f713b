"""Messages between routers, encoded with msgpack."""

from __future__ import annotations

from turmericflow.wire._base import Message, WireAttempt, WireFailure, WireSlot
from turmericflow.wire._claims import (
    Attached,
    Claim,
    End,
    Ended,
    Granted,
    Moved,
    Recorded,
    Refused,
    Seal,
    Sealed,
)
from turmericflow.wire._codec import MAX_MESSAGE_BYTES, Decoder, WireError, encode
from turmericflow.wire._gossip import (
    Compare,
    Differences,
    FactVersion,
    Fetch,
    Rumour,
    Rumours,
)
from turmericflow.wire._journal import (
    Append,
    Appended,
    AppendEntry,
    Cancel,
    Cancelled,
    Follow,
    Followed,
)
from turmericflow.wire._load import (
    Allotments,
    Demands,
    FlowDemand,
    InFlight,
    PoolDemand,
    TargetReport,
    TargetReports,
)
from turmericflow.wire._membership import Ack, Hello, Ping, Probed, ProbeFor
from turmericflow.wire._messages import AnyMessage
from turmericflow.wire._records import Record, Store, Stored, Transfer, Upload, Uploaded
from turmericflow.wire._service_levels import BurnAck, BurnCounts

__all__ = (
    # Streams
    "MAX_MESSAGE_BYTES",
    "Decoder",
    "WireError",
    "encode",
    # Base class and shared parts
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
    "FlowDemand",
    "InFlight",
    "TargetReports",
    "PoolDemand",
    "TargetReport",
    # Membership
    "Ack",
    "Ping",
    "ProbeFor",
    "Probed",
    # Service levels
    "BurnCounts",
    "BurnAck",
)
