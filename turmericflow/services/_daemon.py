"""Daemon of one entry host, which builds and connects its services."""

from __future__ import annotations

import asyncio
import secrets
from random import Random

import aiohttp
from mode import Service

from turmericflow._responses import use_connection
from turmericflow.cfg import Settings
from turmericflow.services._burn import BurnRecorder
from turmericflow.services._caller_handler import CallerHandler
from turmericflow.services._claimant import Claimant
from turmericflow.services._config import Config
from turmericflow.services._context import HostContext
from turmericflow.services._crash_suspects import CrashSuspects
from turmericflow.services._discovery import Discovery
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._engine import EngineClient
from turmericflow.services._gossip import Gossip
from turmericflow.services._journal import Journal
from turmericflow.services._membership import Membership
from turmericflow.services._orders import Orders
from turmericflow.services._owner import Owner
from turmericflow.services._peers import Peers
from turmericflow.services._plain import PlainClient
from turmericflow.services._platform import PlatformClient
from turmericflow.services._reports import ReportPoller
from turmericflow.services._runner import Runner
from turmericflow.services._sharing import Sharing
from turmericflow.services._slots import SlotService
from turmericflow.services._stats import Stats
from turmericflow.services._tls import Tls
from turmericflow.services._watchdog import UnstalledClock, Watchdog
from turmericflow.systems import policies
from turmericflow.tables import Peer, Tables

TARGET_CONNECT_TIMEOUT_S = 1.0
ADDRESS_EXPIRY_MARGIN_S = 1.0
DRAIN_CHECK_S = 0.05


class Daemon(Service):
    """Run the services of one entry host."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.tables = Tables(settings.host, settings.data_centre)
        self.stats = Stats.from_settings(settings)
        self._session: aiohttp.ClientSession | None = None
        self._plain_session: aiohttp.ClientSession | None = None

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
        use_connection(connector)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        use_connection(connector)
        self._plain_session = aiohttp.ClientSession(
            connector=connector, timeout=timeout
        )
        platform = PlatformClient(self._session, self.settings.platform, self.stats)
        tls = Tls.from_settings(self.settings, self.stats)
        contexts = tls and tls.contexts
        peers = Peers(self.settings, self.tables, self.stats, contexts)
        Owner(self.tables, peers, self.stats)
        engines = EngineClient(self._session, self.stats)
        journal = Journal(self.tables, peers, self.stats)
        dispatch = Dispatch(
            self.tables,
            self.stats,
            Random(secrets.randbits(64)),
            policies.policy_of(self.settings.policy),
        )
        gossip = Gossip(self.tables, peers, self.stats)
        crash_suspects = CrashSuspects(self.tables, gossip, self.stats)
        clock = UnstalledClock()
        runner = Runner(
            self.tables,
            Claimant(self.tables, peers, self.stats),
            engines,
            PlainClient(self._plain_session),
            crash_suspects,
            journal,
            dispatch,
            clock,
            self.stats,
        )
        watchdog = Watchdog(self.tables, runner, clock, self.stats)
        rng = Random(secrets.randbits(64))
        ctx = HostContext(
            self.settings, self.tables, peers, gossip, platform, self.stats, rng
        )
        self.membership = Membership(ctx)
        config = Config(ctx)
        discovery = Discovery(ctx, config, self.membership)
        self.slots = SlotService(ctx)
        self.slots.on_change(journal.upload_reassigned)
        self.slots.on_map(config.publish)
        self.caller_handler = CallerHandler(
            self.settings, self.tables, runner, self.stats, contexts, peers
        )
        orders = Orders(self.settings, self.tables, platform, engines, self.stats)
        reports = ReportPoller(ctx, engines)
        self.burn = BurnRecorder(ctx)
        services = (
            peers,
            gossip,
            self.membership,
            config,
            discovery,
            self.slots,
            orders,
            reports,
            dispatch,
            watchdog,
            Sharing(self.tables, peers, self.stats),
            self.burn,
            self.caller_handler,
        )
        for service in services if tls is None else (tls, *services):
            await self.add_runtime_dependency(service)

    async def drain(self) -> None:
        """Finish all requests before a planned stop.

        New requests are accepted for as long as callers may still use this host's
        address.  Then the running requests finish, the slots are handed over, and
        the counts of service levels are saved.
        """
        self.membership.leave_permanently()
        await asyncio.sleep(self.settings.addresses_keep_s + ADDRESS_EXPIRY_MARGIN_S)
        self.tables.stopping = True
        await self.caller_handler.stop_listening()
        while any(not row.ended for row in self.tables.requests.rows.values()):
            await asyncio.sleep(DRAIN_CHECK_S)
        await self.slots.hand_over()
        await self.burn.save()

    async def on_shutdown(self) -> None:
        for session in (self._session, self._plain_session):
            if session is not None:
                await session.close()
