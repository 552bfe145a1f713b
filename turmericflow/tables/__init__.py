"""Tables of entities that the systems run over."""

from __future__ import annotations

from turmericflow.tables._all import Tables
from turmericflow.tables._claims import AttemptStart, Claim, ClaimState, ClaimTable
from turmericflow.tables._config import ConfigTable
from turmericflow.tables._peers import Peer, PeerState, PeerTable
from turmericflow.tables._requests import Listener, RequestRow, RequestTable
from turmericflow.tables._slots import RequestId, SlotEntry, SlotTable
from turmericflow.tables._streams import (
    StreamId,
    StreamRow,
    StreamTable,
    TargetStreams,
)
from turmericflow.tables._targets import LoadReport, Target, TargetKind, TargetTable

__all__ = (
    # All tables of one host
    "Tables",
    # Requests and claims
    "AttemptStart",
    "Claim",
    "ClaimState",
    "ClaimTable",
    "Listener",
    "RequestId",
    "RequestRow",
    "RequestTable",
    # Slots
    "SlotEntry",
    "SlotTable",
    # Streams
    "StreamId",
    "StreamRow",
    "StreamTable",
    "TargetStreams",
    # Targets
    "LoadReport",
    "Target",
    "TargetKind",
    "TargetTable",
    # Peers and configuration
    "ConfigTable",
    "Peer",
    "PeerState",
    "PeerTable",
)
