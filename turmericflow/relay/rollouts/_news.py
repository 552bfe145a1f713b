"""What hosts tell each other of orders, and which of them follow orders."""

from __future__ import annotations

from collections.abc import Container

import msgspec

from turmericflow.relay._model import HostEntry
from turmericflow.relay.rollouts._evidence import Evidence
from turmericflow.relay.rollouts._share import RolloutView


class OrderEvidence(msgspec.Struct, array_like=True):
    """What one host has counted for one order since it saw the order.

    Attributes
    ----------
    service, order
        Service, and revision at which the order was created.
    requests, new_requests
        Requests to the service, and sends to the new version.
    drain_s
        Longest request or stream on the old version, in seconds.
    evidence
        Answers by route and side.
    """

    service: str
    order: int
    requests: int
    new_requests: int
    drain_s: float
    evidence: Evidence


VIEWS = msgspec.msgpack.Decoder(list[RolloutView])
EVIDENCE = msgspec.msgpack.Decoder(list[OrderEvidence])


class Followers:
    """Hosts that are known to follow orders.

    Hosts of the earlier build do not, and they forward other hosts' statuses without
    the fields that tell it; so it is remembered for each incarnation of a host.
    """

    __slots__ = ("_incarnations",)

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def add(self, host: HostEntry) -> None:
        """Note a host whose status has the fields of roll-outs."""
        self._incarnations[host.name] = host.incarnation

    def __contains__(self, host: HostEntry) -> bool:
        return self._incarnations.get(host.name) == host.incarnation

    def prune(self, hosts: Container[str]) -> None:
        """Forget the hosts that are not among those named."""
        for name in [name for name in self._incarnations if name not in hosts]:
            del self._incarnations[name]
