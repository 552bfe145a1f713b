"""The daemon: builds the services and connects them."""

from __future__ import annotations

import secrets
from random import Random

import aiohttp
from mode import Service

from turmericflow.cfg import Settings
from turmericflow.services._claimant import Claimant
from turmericflow.services._config import Config
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._engine import EngineClient
from turmericflow.services._entry import Entry
from turmericflow.services._gossip import Gossip
from turmericflow.services._journal import Journal
from turmericflow.services._owner import Owner
from turmericflow.services._peers import Peers
from turmericflow.services._platform import PlatformClient
from turmericflow.services._runner import Runner
from turmericflow.services._stats import Stats
from turmericflow.services._watch import ListeningClock, Watch
from turmericflow.tables import Peer, Tables

TARGET_CONNECT_TIMEOUT_S = 1.0


class Daemon(Service):
    """One entry host's daemon."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.tables = Tables(settings.host, settings.data_centre)
        self.stats = Stats.from_settings(settings)
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_settings(cls, settings: Settings) -> Daemon:
        """Build a daemon from its settings."""
        daemon = cls(settings)
        for peer in settings.peers:
            daemon.tables.peers.rows[peer.host] = Peer(
                peer.host, peer.data_centre, peer.entry, peer.peer
            )
        return daemon

    async def on_start(self) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=TARGET_CONNECT_TIMEOUT_S
        )
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        platform = PlatformClient(self._session, self.settings.platform)
        peers = Peers(self.settings, self.tables, self.stats)
        Owner(self.tables, peers, self.stats)
        clock = ListeningClock()
        runner = Runner(
            self.tables,
            Claimant(self.tables, peers, self.stats),
            EngineClient(self._session),
            Journal(self.tables, peers, self.stats),
            Dispatch(self.tables, self.stats, Random(secrets.randbits(64))),
            clock,
            self.stats,
        )
        watch = Watch(self.tables, runner, clock, self.stats)
        config = Config(self.settings, self.tables, platform, self.stats)
        gossip = Gossip(self.tables, peers, self.stats)
        entry = Entry(self.settings, self.tables, runner, self.stats)
        for service in (peers, gossip, config, watch, entry):
            await self.add_runtime_dependency(service)

    async def on_shutdown(self) -> None:
        if self._session is not None:
            await self._session.close()
