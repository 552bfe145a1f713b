"""Relays requests that carry no key of their own to targets, stream by stream."""

from __future__ import annotations

from turmericflow.relay._addresses import parse_address
from turmericflow.relay._call import Call, Dispatch, KvCopy
from turmericflow.relay._caller_handler import RequestInvalid
from turmericflow.relay._context import HostContext
from turmericflow.relay._daemon import Daemon
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._listeners import Listener
from turmericflow.relay._log import set_up_log
from turmericflow.relay._membership import addresses
from turmericflow.relay._model import (
    Customer,
    Deployment,
    EngineReport,
    EngineSpec,
    HostEntry,
    Limits,
    RolloutOrder,
    RolloutRecord,
    Route,
    Service,
    Share,
    TargetEntry,
    VersionRecord,
    WorkKind,
)
from turmericflow.relay._rate_limits import (
    LimitAbsent,
    LimitInvalid,
    LimitNamed,
    LimitNotice,
)
from turmericflow.relay._revisions import (
    NUMBER_BITS as REVISION_BITS,
    era_of,
    number_of,
    with_era,
)
from turmericflow.relay._settings import HostSettings, SettingsInvalid
from turmericflow.relay._store import (
    Change,
    Changes,
    Conflict,
    HistoryGone,
    Kind,
    Listing,
    Row,
    StoreFailed,
)
from turmericflow.relay._tables import Tables
from turmericflow.relay._target_connections import Framed, TargetConnection, Unframed
from turmericflow.relay._tunnel_frames import FrameDecoder
from turmericflow.relay._tunnels import TunnelFailed, open_tunnel
from turmericflow.relay.caller_limits import Body

__all__ = (
    # Declarations and entries
    "Customer",
    "Deployment",
    "EngineReport",
    "EngineSpec",
    "HostEntry",
    "Limits",
    "RolloutOrder",
    "RolloutRecord",
    "Route",
    "Service",
    "Share",
    "TargetEntry",
    "VersionRecord",
    "WorkKind",
    # Requests
    "Body",
    "Call",
    "KvCopy",
    "Dispatch",
    "LimitAbsent",
    "LimitInvalid",
    "LimitNamed",
    "LimitNotice",
    "RequestInvalid",
    "FrameDecoder",
    "Framed",
    "TargetConnection",
    "TunnelFailed",
    "Unframed",
    "open_tunnel",
    "parse_address",
    # The object store
    "REVISION_BITS",
    "Change",
    "Changes",
    "Conflict",
    "HistoryGone",
    "Kind",
    "Listing",
    "Row",
    "StoreFailed",
    "era_of",
    "number_of",
    "with_era",
    # The daemon
    "Daemon",
    "Listener",
    "HostSettings",
    "HostState",
    "HostContext",
    "SettingsInvalid",
    "Tables",
    "addresses",
    "set_up_log",
)
