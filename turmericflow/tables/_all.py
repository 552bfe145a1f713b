"""Container of all state tables of one host."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericflow.tables._claims import ClaimTable
from turmericflow.tables._config import ConfigTable
from turmericflow.tables._crashers import CrashSuspectTable
from turmericflow.tables._load import LoadTable
from turmericflow.tables._observation import ObservationTable
from turmericflow.tables._orders import OrderTable
from turmericflow.tables._peers import PeerTable
from turmericflow.tables._requests import RequestTable
from turmericflow.tables._slots import SlotTable
from turmericflow.tables._streams import StreamTable
from turmericflow.tables._targets import TargetTable


@dataclass(slots=True)
class Tables:
    """State that one host's decisions are based on.

    Attributes
    ----------
    host, data_centre
        Names of this host and of its data centre.
    stopping
        Whether this host rejects new requests because it is about to stop.
        ``peers.leaving`` is set earlier, so that others send it none.
    """

    host: str
    data_centre: str
    requests: RequestTable = field(default_factory=RequestTable)
    claims: ClaimTable = field(default_factory=ClaimTable)
    slots: SlotTable = field(default_factory=SlotTable)
    targets: TargetTable = field(default_factory=TargetTable)
    streams: StreamTable = field(default_factory=StreamTable)
    suspects: CrashSuspectTable = field(default_factory=CrashSuspectTable)
    peers: PeerTable = field(default_factory=PeerTable)
    config: ConfigTable = field(default_factory=ConfigTable)
    stopping: bool = False
    orders: OrderTable = field(default_factory=OrderTable)
    load: LoadTable = field(default_factory=LoadTable)
    observation: ObservationTable = field(default_factory=ObservationTable)
