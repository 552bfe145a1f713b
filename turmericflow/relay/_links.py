"""Streams between hosts: gossiped statuses, and snapshots for hosts that lag."""

from __future__ import annotations

import asyncio
from typing import Generic, Union, get_args

import msgspec
import structlog
from mode import Service

from turmericflow._framing import StreamDecoder, WireError
from turmericflow.relay import (
    _adoption as adoption,
    _broadcast as broadcast,
    _discovery as discovery,
    _intervals as intervals,
    _membership as membership,
    _routing as routing,
)
from turmericflow.relay._addresses import parse_address
from turmericflow.relay._broadcast import Outbox, Peer, Rings, RoutedStatus
from turmericflow.relay._context import HostContext
from turmericflow.relay._handshake import Hello, TunnelRequest
from turmericflow.relay._host_tables import (
    CENTRE_RINGS,
    CustomerStatus,
    HostStatus,
    RolloutStatus,
)
from turmericflow.relay._lag import Lag
from turmericflow.relay._model import Deployment, TargetEntry
from turmericflow.relay._peer_entries import check_status, usable_entries
from turmericflow.relay._rate_limits import LimitNews
from turmericflow.relay._sent_bytes import PeerBytes, Reach, reach_of
from turmericflow.relay._store import Kind
from turmericflow.relay._stream_versions import VersionNews
from turmericflow.relay._tables import Tables
from turmericflow.relay._tasks import contain
from turmericflow.relay._tunnels import TunnelServer

CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65_536
MAX_UNSENT_BYTES = 1_000_000  # above it the stream is cut: the peer does not read
URGENT_FLUSH_S = 0.003  # far shorter than the gap between new streams of the fleet
FORWARD_FLUSH_S = 0.05  # a fifth of the shortest heartbeat interval
MAX_GOSSIP_SOURCES = 3  # peers whom a host that has just started asks for gossip
KEEP_ALIVES_PER_TIMEOUT = 3  # one may be delayed
SUCCESSOR_TIMEOUTS = 2  # a lost host counts as live for one
NO_SNAPSHOT = 2**62  # in a request: no revision is newer
SNAPSHOT_RETRY_S = 0.5  # between two requests for the same kind
WATCH_DELAY_S = 0.3  # until a host that watches the store itself has a change
ANNOUNCEMENT_DELAY_S = 0.05  # a few hops of an announcement that is sent at once
# Two of the hosts read the store each second; heartbeats follow.
MAX_TARGETS_AGE_S = 2.0
MAX_TARGETS_LAG_S = 0.5  # every host should know of a leaving target within it

log = structlog.get_logger()


class StatusMessage(
    msgspec.Struct, Generic[broadcast.S], array_like=True, tag="status"
):
    """Statuses of hosts, each with the parts of rings to forward it to."""

    statuses: list[RoutedStatus[broadcast.S]]


class SnapshotRequest(msgspec.Struct, array_like=True, tag="wanted"):
    """Asks a peer for snapshots that are newer than these revisions."""

    deployment_revision: int
    targets_revision: int
    gossip: bool = False  # whether a `GossipSnapshot` is wanted as well
    deployment_version: int = -1


class GossipSnapshot(msgspec.Struct, array_like=True, tag="gossip"):
    """What a host knows by gossip that is not repeated later."""

    limits: list[LimitNews]
    stream_versions: VersionNews
    leaving: list[str] = []
    crashes: list[tuple[str, str, float]] = []
    knows_streams: bool = False


class DeploymentSnapshot(msgspec.Struct, array_like=True, tag="deployment"):
    """The deployment at a store revision."""

    revision: int
    value: Deployment


class TargetsSnapshot(msgspec.Struct, array_like=True, tag="targets"):
    """All entries of targets at the store revision of their last change."""

    revision: int
    entries: list[TargetEntry]


OtherMessage = Union[
    Hello,
    SnapshotRequest,
    DeploymentSnapshot,
    TargetsSnapshot,
    GossipSnapshot,
    TunnelRequest,
]
AnyMessage = Union[StatusMessage, OtherMessage]
# A host that follows no orders leaves out what other hosts tell of them.
_DECODER = msgspec.msgpack.Decoder(Union[StatusMessage[HostStatus], OtherMessage])
_ROLLOUT_DECODER = msgspec.msgpack.Decoder(
    Union[StatusMessage[RolloutStatus], OtherMessage]
)
_CUSTOMER_DECODER = msgspec.msgpack.Decoder(
    Union[StatusMessage[CustomerStatus], OtherMessage]
)
_ENCODER = msgspec.msgpack.Encoder()


class _MessageDecoder:
    """Decodes messages to the form of statuses that this host has a use for now.

    A host passes on only the fields that it decodes; a deployment may get its first
    customers while a stream to a host is open.
    """

    __slots__ = ("_tables",)

    def __init__(self, tables: Tables) -> None:
        self._tables = tables

    def decode(self, data: bytes) -> AnyMessage:
        """Return the message in some bytes."""
        tables = self._tables
        if tables.fair_shares is not None and tables.fair_shares.is_enabled:
            return _CUSTOMER_DECODER.decode(data)
        follows = tables.rollouts is not None
        return (_ROLLOUT_DECODER if follows else _DECODER).decode(data)


class Link:
    """One stream to another host.

    Attributes
    ----------
    name
        Name of the other host, empty until its `Hello` arrives.
    dialled
        Whether this host opened the stream.
    reach
        Where the other host is.
    hello
        First message of the other host.
    last_sent_at
        Time at which data was last sent, by the same clock as `last_received_at`.
    last_received_at
        Time at which data last arrived, by the clock that omits stalls.
    outbox
        Statuses to be sent.
    """

    __slots__ = (
        "_writer",
        "_peer_bytes",
        "_sent_bytes",
        "name",
        "dialled",
        "reach",
        "hello",
        "last_sent_at",
        "last_received_at",
        "outbox",
    )

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        peer_bytes: PeerBytes,
        now: float,
        dialled: bool,
    ) -> None:
        self._writer = writer
        self._peer_bytes = peer_bytes
        self.name = ""
        self.dialled = dialled
        self.set_reach(Reach.UNKNOWN)
        self.hello = Hello("")
        self.last_received_at = self.last_sent_at = now
        self.outbox = Outbox()

    def set_reach(self, reach: Reach) -> None:
        """Count the bytes that follow as sent to a host that is there."""
        self.reach = reach
        self._sent_bytes = self._peer_bytes.counters(reach)

    def send(self, msg: AnyMessage) -> None:
        """Send a message, or cut the stream if too many bytes are unsent."""
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
        elif not transport.is_closing():
            data = _ENCODER.encode(msg)
            self._sent_bytes[type(msg)].inc(len(data))
            self._writer.write(data)

    def cut(self) -> None:
        """Close the stream at once, without sending what is buffered."""
        self._writer.transport.abort()


class Links(Service):
    """Streams to this host's neighbours, and from hosts whose neighbour it is."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._ctx = ctx
        self._links: set[Link] = set()
        self._by_name: dict[str, Link] = {}
        self._rings = Rings(ctx.settings.name, [])
        self._peer_bytes = PeerBytes(ctx.metrics, get_args(AnyMessage))
        self._tunnels = TunnelServer(ctx)
        self._dialling: set[str] = set()
        self._server: asyncio.Server | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        self._own_status_due_at = float("inf")
        self._announced_at = float("-inf")
        self._lags = {Kind.DEPLOYMENT: Lag(), Kind.TARGETS: Lag()}
        self._lag_reported = self._age_reported = False
        self._successor_lacks_since: float | None = None
        ctx.announce = self.announce
        ctx.announce_load = self.announce_load

    @property
    def tunnels(self) -> int:
        """Number of connections to targets that this host carries for others."""
        return self._tunnels.running

    async def on_start(self) -> None:
        ip, _, port = self._ctx.settings.peers.rpartition(":")
        self._server = await asyncio.start_server(self._on_accept, ip, int(port))

    async def on_stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.cut()

    async def _on_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        work = self._serve_stream(reader, writer, dialled=False)
        await contain(self._ctx, "accept", work)

    async def _dial(self, address: str) -> None:
        try:
            ip, port = parse_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, port)
        except (OSError, TimeoutError, ValueError):
            return
        finally:
            self._dialling.discard(address)
        await self._serve_stream(reader, writer, dialled=True)

    async def _serve_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, dialled: bool
    ) -> None:
        clock = self._ctx.clock
        link = Link(writer, self._peer_bytes, clock.unstalled_now(), dialled)
        self._links.add(link)
        decoder = StreamDecoder(_MessageDecoder(self._ctx.tables))
        own = self._ctx.tables.hosts.own
        link.send(Hello(own.name, CENTRE_RINGS, own.data_centre))
        try:
            while data := await reader.read(READ_BYTES):
                link.last_received_at = clock.unstalled_now()
                for msg in decoder.feed(data):
                    if isinstance(msg, TunnelRequest):
                        self._links.discard(link)
                        return await self._tunnels.serve(reader, writer, msg)
                    self._on_message(link, msg)
        except WireError as exc:
            log.warning("peer_stream_invalid", peer=link.name, reason=str(exc))
        except OSError as exc:
            log.info("peer_stream_lost", peer=link.name, reason=repr(exc))
        finally:
            self._links.discard(link)
            link.cut()
            if self._by_name.get(link.name) is link:
                del self._by_name[link.name]
                self._rebuild_rings()

    def _rebuild_rings(self) -> None:
        own = self._ctx.tables.hosts.own
        peers = {
            name: Peer(self._data_centre(link), link.hello.rings >= CENTRE_RINGS)
            for name, link in self._by_name.items()
        }
        self._rings = Rings(own.name, self._by_name, own.data_centre, peers)

    def _on_message(self, link: Link, msg: AnyMessage) -> None:
        match msg:
            case Hello():
                self._on_hello(link, msg)
            case StatusMessage():
                for routed in msg.statuses:
                    self._on_status(link, routed)
            case DeploymentSnapshot():
                self._on_deployment(link, msg)
            case TargetsSnapshot():
                tables = self._ctx.tables
                now = self._ctx.clock.now()
                entries = usable_entries(msg.entries)
                if discovery.replace(tables.targets, entries, msg.revision, now):
                    log.info("targets_learned", revision=msg.revision, source=link.name)
            case SnapshotRequest():
                self._send_snapshots(link, msg)
            case GossipSnapshot():
                tables, now = self._ctx.tables, self._ctx.clock.now()
                tables.rate_limits.apply(msg.limits, now)
                tables.stream_versions.apply(msg.stream_versions, now)
                for key in msg.leaving:
                    discovery.record_leaving(tables.targets, key, now)
                for fingerprint, key, age_s in msg.crashes:
                    tables.crashes.record(fingerprint, key, now - age_s)
                tables.stream_versions.note_snapshot(link.name, msg.knows_streams)

    def _on_hello(self, link: Link, msg: Hello) -> None:
        """Register a stream by its host's name; of two streams to a host, cut one.

        If both hosts opened a stream, the one that the host with the lower name
        opened stays; if one host opened both, the newer stream stays.
        """
        name = link.name = msg.name
        link.hello = msg
        own = self._ctx.settings.name
        other = self._by_name.get(name)
        if other is not None:
            crossed = other.dialled is not link.dialled
            kept = other if crossed and other.dialled is (own < name) else link
            (link if kept is other else other).cut()
            link = kept
        if link.name not in self._by_name and self._may_lack_gossip(name):
            link.send(SnapshotRequest(NO_SNAPSHOT, NO_SNAPSHOT, True, NO_SNAPSHOT))
        self._by_name[name] = link
        self._locate(link)
        self._rebuild_rings()
        now = self._ctx.clock.now()
        status = membership.own_status(self._ctx.tables, now)
        # The other host may have just started and know none.
        self._ctx.tables.crashing_parts.add_convictions(status.part_times, now)
        for span in broadcast.full_spans(own):
            link.outbox.put(status, span)
        self._schedule_flush(URGENT_FLUSH_S)

    def _data_centre(self, link: Link) -> str:
        """Return a peer's data centre; empty before a status of an earlier version."""
        row = self._ctx.tables.hosts.rows.get(link.name)
        return link.hello.data_centre or (row.entry.data_centre if row else "")

    def _locate(self, link: Link) -> None:
        link.set_reach(reach_of(self._ctx.tables, self._data_centre(link)))

    def _may_lack_gossip(self, peer: str) -> bool:
        """Return whether this host may not have heard all that a peer knows.

        It has just started or was cut off, or did not hear the peer.
        """
        row = self._ctx.tables.hosts.rows.get(peer)
        heard = row is not None and row.status is not None
        return not heard or len(self._by_name) < MAX_GOSSIP_SOURCES

    def _on_status(self, link: Link, routed: RoutedStatus) -> None:
        tables, now = self._ctx.tables, self._ctx.clock.now()
        status = routed.status
        name = status.entry.name
        if name == tables.hosts.own.name or membership.is_outdated(tables, status):
            return
        if not check_status(status):
            log.warning("peer_address_invalid", peer=name, address=status.entry.peers)
            return
        urgent = membership.is_urgent(tables, status)
        earlier_revision = tables.targets.revision
        if membership.apply_status(tables, status, now):
            if link.reach is Reach.UNKNOWN and link.name == name:
                self._locate(link)
                self._rebuild_rings()
            adoption.adopt_from_peer(tables, status.adopted, now)
        for change in status.target_changes:
            if change.revision > tables.targets.revision:
                log.info(
                    "targets_change_rejected",
                    source=name,
                    since=change.since,
                    revision=change.revision,
                    own_revision=tables.targets.revision,
                )
        if tables.targets.revision > earlier_revision:
            log.info("targets_learned", revision=tables.targets.revision, source=name)
        self._enqueue(status, routed.spans)
        self._schedule_flush(URGENT_FLUSH_S if urgent else FORWARD_FLUSH_S)
        if membership.is_ahead(tables, status):
            self._request_snapshots()

    def _on_deployment(self, link: Link, msg: DeploymentSnapshot) -> None:
        table = self._ctx.tables.deployment
        if routing.apply_deployment(table, msg.value, msg.revision):
            log.info(
                "deployment_in_force",
                version=msg.value.version,
                revision=msg.revision,
                source=link.name,
            )

    def _send_snapshots(self, link: Link, req: SnapshotRequest) -> None:
        """Send a peer the snapshots that are newer than its revisions."""
        tables = self._ctx.tables
        if req.gossip:
            now = self._ctx.clock.now()
            limits = tables.rate_limits.known(now)
            versions = tables.stream_versions.known()
            leaving = list(tables.targets.leaving)
            crashes = tables.crashes.known(now)
            knows_all = tables.stream_versions.knows_all
            link.send(GossipSnapshot(limits, versions, leaving, crashes, knows_all))
        deployment, targets = tables.deployment, tables.targets
        if req.deployment_version < deployment.version:
            link.send(DeploymentSnapshot(deployment.revision, deployment.value))
        if req.targets_revision < targets.changed_revision:
            entries = discovery.listed_entries(targets)
            link.send(TargetsSnapshot(targets.changed_revision, entries))

    def _request_snapshots(self) -> None:
        """Ask peers that are ahead of this host for their snapshots.

        Each kind of object has its own wait, as others may change faster than it.
        """
        tables, now = self._ctx.tables, self._ctx.clock.now()
        own = membership.own_revisions(tables)
        peers = membership.live_peers(tables, now)
        for kind, lag in self._lags.items():
            revisions = {
                row.entry.name: membership.announced_revision(row.status, kind)
                for row in peers
            }
            lag.update(own[kind], max(revisions.values(), default=-1), now)
            ahead = [
                name for name in self._by_name if revisions.get(name, -1) > own[kind]
            ]
            delay_s = self._snapshot_delay_s(kind)
            if ahead and lag.is_request_due(delay_s, SNAPSHOT_RETRY_S, now):
                lag.requested_at = now
                self._request_snapshot(kind, self._ctx.rng.choice(ahead), own)

    def _snapshot_delay_s(self, kind: Kind) -> float:
        """Return how long to wait for what usually arrives without a request."""
        tables = self._ctx.tables
        batch_s = intervals.watch_batch_s(tables, kind)
        if kind is Kind.TARGETS:
            return ANNOUNCEMENT_DELAY_S + batch_s
        return 0.0 if tables.hosts.unanswered_kinds else WATCH_DELAY_S + batch_s

    def _request_snapshot(self, kind: Kind, peer: str, own: dict[Kind, int]) -> None:
        deployment = self._ctx.tables.deployment
        self._by_name[peer].send(
            SnapshotRequest(
                deployment.revision,
                own[Kind.TARGETS],
                deployment_version=deployment.version,
            )
        )
        log.info(
            "snapshot_requested",
            kind=kind,
            peer=peer,
            own_revision=own[kind],
            behind_s=round(self._lags[kind].seconds(self._ctx.clock.now()), 3),
        )

    def _report_targets_lag(self) -> None:
        """Log and export for how long this host has lacked announced targets."""
        lag, now = self._lags[Kind.TARGETS], self._ctx.clock.now()
        own_revision = self._ctx.tables.targets.revision
        lag_s = lag.seconds(now)
        self._ctx.metrics.targets_lag_seconds.set(lag_s)
        if lag_s > MAX_TARGETS_LAG_S and not self._lag_reported:
            log.warning(
                "targets_behind",
                behind_s=round(lag_s, 3),
                revision=own_revision,
                announced=lag.awaited_revision,
            )
            self._lag_reported = True
        elif self._lag_reported and not lag_s:
            log.info("targets_caught_up", revision=own_revision)
            self._lag_reported = False

    def _report_targets_age(self) -> None:
        """Log and export whether this host can know which targets leave."""
        table, now = self._ctx.tables.targets, self._ctx.clock.now()
        age_s = now - table.verified_at
        self._ctx.metrics.targets_age_seconds.set(age_s)
        unverified = age_s > MAX_TARGETS_AGE_S and table.revision >= 0
        if unverified is self._age_reported:
            return
        self._age_reported = unverified
        if unverified:
            log.warning(
                "targets_unverified", age_s=round(age_s, 3), revision=table.revision
            )
        else:
            log.info("targets_verified", revision=table.revision)

    def announce(self) -> None:
        """Broadcast this host's status at once because of an urgent change."""
        self._ctx.tables.hosts.urgent_changes += 1
        self._schedule_own_status(URGENT_FLUSH_S)

    def announce_load(self) -> None:
        """Broadcast this host's status soon because of new work at a target.

        The least time between two such broadcasts grows with the number of hosts.
        """
        tables = self._ctx.tables
        tables.hosts.urgent_changes += 1
        elapsed_s = self._ctx.clock.now() - self._announced_at
        gap_s = intervals.load_announcement_interval_s(tables) - elapsed_s
        self._schedule_own_status(max(URGENT_FLUSH_S, gap_s))

    def _enqueue(self, status: HostStatus, spans: list[broadcast.Span]) -> None:
        for span in spans:
            split = self._rings.split(span, status.entry.name, status.number)
            for peer, part in split:
                self._by_name[peer].outbox.put(status, part)

    def _schedule_own_status(self, seconds: float) -> None:
        self._own_status_due_at = min(
            self._own_status_due_at, asyncio.get_running_loop().time() + seconds
        )
        self._schedule_flush(seconds)

    def _schedule_flush(self, seconds: float) -> None:
        if self.should_stop and not self.crashed:  # a crashed host still drains
            return
        loop = asyncio.get_running_loop()
        flush_at = loop.time() + seconds
        if self._flush_timer is not None:
            if self._flush_timer.when() <= flush_at:
                return
            self._flush_timer.cancel()
        self._flush_timer = loop.call_at(flush_at, self._flush)

    def _flush(self) -> None:
        """Send the queued statuses to each peer."""
        self._flush_timer = None
        now = self._ctx.clock.unstalled_now()
        wait_s = self._own_status_due_at - asyncio.get_running_loop().time()
        if wait_s <= 0:
            self._enqueue_own_status()
        elif wait_s < float("inf"):
            self._schedule_flush(wait_s)
        for link in self._by_name.values():
            statuses = link.outbox.drain()
            if statuses:
                link.send(StatusMessage(statuses))
                link.last_sent_at = now

    def _enqueue_own_status(self) -> None:
        self._own_status_due_at = float("inf")
        tables, now = self._ctx.tables, self._ctx.clock.now()
        self._announced_at = now
        self._enqueue(
            membership.own_status(tables, now),
            membership.own_spans(tables, now),
        )

    def _keep_alive(self, now: float, timeout_s: float) -> None:
        """Send an empty message on streams that carry no status for a while."""
        for link in self._by_name.values():
            if now - link.last_sent_at > timeout_s / KEEP_ALIVES_PER_TIMEOUT:
                link.send(StatusMessage([]))
                link.last_sent_at = now

    def _check_successors(self, now: float, timeout_s: float) -> None:
        """Give up the rings by data centre while they lack a stream for long.

        Hosts within a data centre that cannot connect to each other are reached through
        others on the rings over all hosts.
        """
        hosts = self._ctx.tables.hosts
        table_now = self._ctx.clock.now()
        if not membership.lacks_successor(self._ctx.tables, self._by_name, table_now):
            self._successor_lacks_since = None
        elif self._successor_lacks_since is None:
            self._successor_lacks_since = now
        since = self._successor_lacks_since
        lacks = since is not None and now - since > SUCCESSOR_TIMEOUTS * timeout_s
        rings = 0 if lacks else CENTRE_RINGS
        if rings != hosts.rings:
            hosts.rings = rings
            log.info("data_centre_rings_served", served=bool(rings))

    def _dial_neighbours(self) -> None:
        now = self._ctx.clock.now()
        neighbours = membership.neighbours(self._ctx.tables, now)
        for entry in neighbours:
            if entry.name not in self._by_name:
                self._start_dial(entry.peers)
        if not self._links:
            for seed in self._ctx.settings.seeds:
                if seed != self._ctx.settings.peers:
                    self._start_dial(seed)

    def _start_dial(self, address: str) -> None:
        if address not in self._dialling:
            self._dialling.add(address)
            self.add_future(contain(self._ctx, "dial", self._dial(address)))

    @Service.task
    async def _heartbeat(self) -> None:
        while not self.should_stop:
            now = self._ctx.clock.unstalled_now()
            timeout_s = intervals.heartbeat_timeout_s(self._ctx.tables)
            for link in list(self._links):
                if now - link.last_received_at > timeout_s:
                    log.info("peer_silent", peer=link.name)
                    link.cut()
            self._dial_neighbours()
            self._request_snapshots()
            self._report_targets_lag()
            self._report_targets_age()
            self._check_successors(now, timeout_s)
            self._own_status_due_at = now
            self._flush()
            self._keep_alive(now, timeout_s)
            await self.sleep(intervals.heartbeat_interval_s(self._ctx.tables))
