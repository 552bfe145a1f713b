"""Membership of hosts: probes, indirect probes, suspicion and gossip."""

from __future__ import annotations

import asyncio
import time

import msgspec
import structlog
from mode import Service

from turmericflow import wire
from turmericflow.cfg import Address
from turmericflow.services._context import HostContext
from turmericflow.services._peers import PeerUnreachable, Reply
from turmericflow.systems import freshness, membership, overlay, status
from turmericflow.tables import Peer, PeerState

PROBE_INTERVAL_S = 0.4
DEAD_PROBE_INTERVAL_S = 1.0
EXPIRY_CHECK_S = 0.1
PROBE_TIMEOUT_S = 0.5
INDIRECT_PROBE_TIMEOUT_S = 0.7  # covers the helper's own probe
INDIRECT_PROBE_HOSTS = 2
MEMBER = "member"

log = structlog.get_logger()


class _WireInfo(msgspec.Struct, array_like=True):
    data_centre: str
    entry_ip: str
    entry_port: int
    peer_ip: str
    peer_port: int


def _encode_info(info: membership.MemberInfo) -> bytes:
    entry, peer = info.entry, info.peer
    return msgspec.msgpack.encode(
        _WireInfo(info.data_centre, entry.ip, entry.port, peer.ip, peer.port)
    )


def _decode_info(value: bytes) -> membership.MemberInfo:
    raw = msgspec.msgpack.decode(value, type=_WireInfo)
    return membership.MemberInfo(
        raw.data_centre,
        Address(raw.entry_ip, raw.entry_port),
        Address(raw.peer_ip, raw.peer_port),
    )


def _info_of(peer: Peer) -> membership.MemberInfo:
    return membership.MemberInfo(peer.data_centre, peer.entry, peer.peer)


class Membership(Service):
    """Maintain `Tables.peers` by probes, and gossip each change of a host's state."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._tables = ctx.tables
        self._peers = ctx.peers
        self._gossip = ctx.gossip
        self._stats = ctx.stats
        self._rng = ctx.rng
        settings = ctx.settings
        advertised = settings.advertised_peer or settings.peer
        self._info = membership.MemberInfo(
            settings.data_centre, settings.entry, advertised
        )
        self._started_at = time.monotonic()
        self._leaves_permanently = False
        self._contact_index = 0
        self._differing_hosts: set[str] = set()
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._tables.peers.incarnation = int(time.time() * 1000)
        self._gossip.subscribe(MEMBER, self._on_fact)
        self._peers.on_connection_lost(self._on_connection_lost)
        self._peers.handle(wire.Ping, self._on_ping)
        self._peers.handle(wire.ProbeFor, self._on_probe_for)

    async def on_start(self) -> None:
        self._announce_self()

    async def on_stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def leave_permanently(self) -> None:
        """Announce that this host leaves, and ignore later calls of `set_leaving`."""
        self.set_leaving(True)
        self._leaves_permanently = True

    def set_leaving(self, leaving: bool) -> None:
        """Announce whether this host leaves."""
        if self._leaves_permanently:
            return
        if membership.set_leaving(self._tables, leaving):
            self._announce_self()
            log.info("leaving" if leaving else "staying", host=self._tables.host)

    def _announce_self(self) -> None:
        version = membership.own_version(self._tables)
        self._spread(self._tables.host, version, self._info)

    def _spread(self, host: str, version: int, info: membership.MemberInfo) -> None:
        value = _encode_info(info)
        self._gossip.spread(wire.Rumour(MEMBER, host, version, value, 0.0))

    def _on_fact(self, rumour: wire.Rumour) -> None:
        if rumour.name == self._tables.host:
            if membership.refute(self._tables, rumour.version):
                self._stats.count("membership.refuted")
                self._announce_self()
            return
        try:
            info = _decode_info(rumour.value)
        except (msgspec.MsgspecError, ValueError):
            self._stats.count("membership.invalid")
            return
        now = time.monotonic()
        row = self._tables.peers.rows.get(rumour.name)
        previous = None if row is None else row.state
        if membership.learn(self._tables, rumour.name, rumour.version, info, now):
            state = self._tables.peers.rows[rumour.name].state
            if state is not previous:
                log.info("member", host=rumour.name, state=state.value)

    def _record_contact(self, host: str, version: int) -> None:
        row = self._tables.peers.rows.get(host)
        if row is None:
            return
        row.last_contact_at = time.monotonic()
        if version > membership.version_of(row):
            self._spread(host, version, _info_of(row))

    def _on_ping(self, msg: wire.Ping, reply: Reply) -> None:
        if membership.refute(self._tables, msg.claimed_version):
            self._stats.count("membership.refuted")
            self._announce_self()
        self._record_contact(msg.host, msg.version)
        age_s = freshness.config_age_s(self._tables, time.monotonic())
        version = membership.own_version(self._tables)
        seen = self._tables.config.seen_version
        reply(wire.Ack(msg.rid, version, age_s, self._gossip.facts.root, seen))

    async def _on_probe_for(self, msg: wire.ProbeFor, reply: Reply) -> None:
        is_peer = msg.host in self._tables.peers.rows
        reply(wire.Probed(msg.rid, is_peer and await self._ping(msg.host)))

    @Service.task
    async def _probe_contacts(self) -> None:
        while not self.should_stop:
            contacts = overlay.contacts(self._tables)
            if contacts:
                self._contact_index = (self._contact_index + 1) % len(contacts)
                self._start(self._probe(contacts[self._contact_index]))
            await self.sleep(PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    @Service.task
    async def _probe_dead(self) -> None:
        """Ping dead hosts, which become alive again when they answer."""
        while not self.should_stop:
            rows = self._tables.peers.rows.values()
            dead = [row.host for row in rows if row.state is PeerState.DEAD]
            if dead:
                self._start(self._ping(self._rng.choice(dead)))
            await self.sleep(DEAD_PROBE_INTERVAL_S)

    @Service.task
    async def _announce_ready(self) -> None:
        while not status.is_ready(self._tables):
            await self.sleep(EXPIRY_CHECK_S)
            if self.should_stop:
                return
        membership.set_ready(self._tables)
        self._announce_self()

    @Service.task
    async def _expire_suspects(self) -> None:
        last = time.monotonic()
        while not self.should_stop:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now = time.monotonic()
            stalled, last = now - last > PROBE_TIMEOUT_S, now
            if stalled:
                # Messages that refute a suspicion may not have been read yet.
                continue
            for host, version in membership.expired_suspects(self._tables, now):
                self._spread(host, version, _info_of(self._tables.peers.rows[host]))

    def _start(self, coro) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_connection_lost(self, host: str) -> None:
        row = self._tables.peers.rows.get(host)
        if row is not None and row.state is not PeerState.DEAD:
            self._start(self._probe(host))

    async def _probe(self, host: str) -> None:
        if host in self._probing:
            return
        self._probing.add(host)
        try:
            if await self._ping(host) or await self._probe_indirectly(host):
                return
            self._suspect(host)
        finally:
            self._probing.discard(host)

    def _suspect(self, host: str) -> None:
        now = time.monotonic()
        version = membership.suspect(self._tables, host, now, self._started_at)
        if version is not None:
            self._stats.count("membership.suspected")
            self._spread(host, version, _info_of(self._tables.peers.rows[host]))

    async def _ping(self, host: str) -> bool:
        row = self._tables.peers.rows[host]
        msg = wire.Ping(
            self._peers.next_rid(),
            self._tables.host,
            membership.own_version(self._tables),
            membership.version_of(row),
        )
        sent_at = time.monotonic()
        try:
            ack = await self._peers.call(host, msg, PROBE_TIMEOUT_S)
        except PeerUnreachable:
            return False
        self._record_contact(host, ack.version)
        same_facts = ack.root == self._gossip.facts.root
        freshness.confirm_from_peer(
            self._tables, sent_at, ack.age_s, ack.seen_version, same_facts
        )
        self._check_facts(host, same_facts)
        return True

    def _check_facts(self, host: str, same_facts: bool) -> None:
        """Sync with a host whose facts differ in two pings in a row.

        After a single difference, the missing facts may still be on their way.
        """
        if same_facts:
            self._differing_hosts.discard(host)
        elif host in self._differing_hosts:
            self._differing_hosts.discard(host)
            self._start(self._gossip.sync(host))
        else:
            self._differing_hosts.add(host)

    async def _probe_indirectly(self, host: str) -> bool:
        rows = self._tables.peers.rows.values()
        others = [
            row.host
            for row in rows
            if row.state is PeerState.ALIVE and row.host != host
        ]
        helpers = self._rng.sample(others, min(INDIRECT_PROBE_HOSTS, len(others)))
        answers = await asyncio.gather(
            *(self._request_probe(helper, host) for helper in helpers)
        )
        return any(answers)

    async def _request_probe(self, helper: str, host: str) -> bool:
        msg = wire.ProbeFor(self._peers.next_rid(), host)
        try:
            reply = await self._peers.call(helper, msg, INDIRECT_PROBE_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return reply.reached
