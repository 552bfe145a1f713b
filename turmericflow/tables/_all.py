"""All tables of one host."""

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
    """The whole state of one host's decisions.

    Attributes
    ----------
    host, data_centre
        Name of this host and where it is.
    stopping
        Whether this host takes no new requests any more, for it is about to
        stop; ``peers.leaving`` says earlier that it is to be given none.
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
