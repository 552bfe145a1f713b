"""State tables that the systems read and change."""

from __future__ import annotations

from turmericflow.tables._all import Tables
from turmericflow.tables._burn import (
    BurnTable,
    Cell,
    ObjectiveCounts,
    Series,
    new_histogram,
)
from turmericflow.tables._claims import (
    AttemptStart,
    Claim,
    ClaimState,
    ClaimTable,
    PendingClaim,
)
from turmericflow.tables._config import ConfigTable
from turmericflow.tables._crashers import CrashSuspect, CrashSuspectTable, Loss
from turmericflow.tables._facts import FactTable
from turmericflow.tables._load import (
    Budget,
    Demand,
    Flow,
    LoadTable,
    Pool,
    QueueEntry,
    Rate,
    RateBucket,
    Work,
)
from turmericflow.tables._observation import ObservationTable, PollState
from turmericflow.tables._orders import Lease, OrderTable, PendingOrder
from turmericflow.tables._peers import Peer, PeerState, PeerTable
from turmericflow.tables._requests import Listener, RequestRow, RequestTable
from turmericflow.tables._slots import RequestId, SlotEntry, SlotTable
from turmericflow.tables._streams import (
    CallTimes,
    StreamId,
    StreamRow,
    StreamTable,
    TargetStreams,
)
from turmericflow.tables._targets import (
    Breaker,
    BreakerState,
    LoadReport,
    StepFit,
    Target,
    TargetKind,
    TargetTable,
)

__all__ = (
    # All state of one host
    "Tables",
    # Requests and claims
    "AttemptStart",
    "Claim",
    "ClaimState",
    "ClaimTable",
    "Listener",
    "PendingClaim",
    "RequestId",
    "RequestRow",
    "RequestTable",
    # Slots
    "SlotEntry",
    "SlotTable",
    # Crashers
    "Loss",
    "CrashSuspect",
    "CrashSuspectTable",
    # Streams
    "StreamId",
    "StreamRow",
    "CallTimes",
    "StreamTable",
    "TargetStreams",
    # Load
    "Budget",
    "Demand",
    "Flow",
    "LoadTable",
    "Pool",
    "Rate",
    "RateBucket",
    "QueueEntry",
    "Work",
    # Observation
    "ObservationTable",
    "PollState",
    # Targets
    "Breaker",
    "BreakerState",
    "LoadReport",
    "StepFit",
    "Target",
    "TargetKind",
    "TargetTable",
    # Orders
    "PendingOrder",
    "Lease",
    "OrderTable",
    # Peers and configuration
    "ConfigTable",
    "FactTable",
    "Peer",
    "PeerState",
    "PeerTable",
    # Service levels
    "BurnTable",
    "Cell",
    "ObjectiveCounts",
    "Series",
    "new_histogram",
)
