"""State shared by the services of a host."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from turmericflow.cfg import Settings
from turmericflow.services._gossip import Gossip
from turmericflow.services._peers import Peers
from turmericflow.services._platform import PlatformClient
from turmericflow.services._stats import Stats
from turmericflow.tables import Tables


@dataclass(slots=True, frozen=True)
class HostContext:
    """Settings, tables and connections of one host."""

    settings: Settings
    tables: Tables
    peers: Peers
    gossip: Gossip
    platform: PlatformClient
    stats: Stats
    rng: Random
