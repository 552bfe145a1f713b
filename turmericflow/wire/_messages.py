"""Union of all messages that a stream may carry."""

from __future__ import annotations

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
from turmericflow.wire._gossip import Compare, Differences, Fetch, Rumours
from turmericflow.wire._journal import (
    Append,
    Appended,
    Cancel,
    Cancelled,
    Follow,
    Followed,
)
from turmericflow.wire._load import Allotments, Demands, InFlight, TargetReports
from turmericflow.wire._membership import Ack, Hello, Ping, Probed, ProbeFor
from turmericflow.wire._records import Store, Stored, Transfer, Upload, Uploaded
from turmericflow.wire._service_levels import BurnAck, BurnCounts

AnyMessage = (
    Hello
    | Claim
    | Granted
    | Attached
    | Recorded
    | Refused
    | Append
    | Appended
    | End
    | Ended
    | Follow
    | Followed
    | Rumours
    | Moved
    | Store
    | Stored
    | Transfer
    | Upload
    | Uploaded
    | Seal
    | Sealed
    | Ping
    | Ack
    | ProbeFor
    | Probed
    | Compare
    | Differences
    | Fetch
    | InFlight
    | TargetReports
    | Demands
    | Allotments
    | BurnCounts
    | BurnAck
    | Cancel
    | Cancelled
)
