"""Counters of bytes that are sent, by message and by whether they stay in a centre."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from prometheus_client import Counter

from turmericflow.relay._metrics import Metrics
from turmericflow.relay._tables import Tables


class Reach(enum.StrEnum):
    """Where the receiver of bytes is, seen from their sender."""

    OWN = "own"  # in the same data centre
    OTHER = "other"
    UNKNOWN = "unknown"  # the receiver has not told its data centre yet


def reach_of(tables: Tables, data_centre: str) -> Reach:
    """Return where a receiver in a data centre is; an empty name is unknown."""
    if not data_centre:
        return Reach.UNKNOWN
    return Reach.OWN if data_centre == tables.hosts.own.data_centre else Reach.OTHER


class PeerBytes:
    """Counters of a host's messages to other hosts.

    The counter of each message type is looked up once, as `labels` takes a lock.
    """

    __slots__ = ("_counters",)

    def __init__(self, metrics: Metrics, kinds: Iterable[type]) -> None:
        kinds = list(kinds)
        self._counters = {
            reach: {
                kind: metrics.peer_bytes.labels(kind.__struct_config__.tag, reach)
                for kind in kinds
            }
            for reach in Reach
        }

    def counters(self, reach: Reach) -> dict[type, Counter]:
        """Return the counters, by message type, of messages to a peer."""
        return self._counters[reach]


def target_data_centre(tables: Tables, address: str) -> str:
    """Return the data centre of the target at an address, or an empty string."""
    rows = tables.targets.rows.values()
    found = (row.entry.data_centre for row in rows if row.entry.address == address)
    return next(found, "")


def host_data_centre(tables: Tables, ip: str) -> str:
    """Return the data centre of the host with an IP address, or an empty string.

    It is empty if hosts of several data centres have the address.
    """
    found = {
        row.entry.data_centre
        for row in tables.hosts.rows.values()
        if row.entry.peers.rpartition(":")[0] == ip
    }
    return found.pop() if len(found) == 1 else ""


def tunnel_counters(
    metrics: Metrics, tables: Tables, address: str, ip: str
) -> tuple[Counter, Counter]:
    """Return the counters of one tunnel: of bytes to the target, and to the host.

    Parameters
    ----------
    metrics, tables
        Those of the host that carries the tunnel.
    address
        Address of the target, as IP:PORT.
    ip
        IP address of the host that asked for the tunnel.
    """
    to_target = reach_of(tables, target_data_centre(tables, address))
    to_host = reach_of(tables, host_data_centre(tables, ip))
    return (
        metrics.tunnel_bytes.labels("request", to_target),
        metrics.tunnel_bytes.labels("answer", to_host),
    )
