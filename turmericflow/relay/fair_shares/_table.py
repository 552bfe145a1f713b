"""What this host and the others know of the streams of customers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec
import structlog

from turmericflow.relay.fair_shares import _order as order, _usage as usages
from turmericflow.relay.fair_shares._order import Standing
from turmericflow.relay.fair_shares._usage import (
    ByCustomer,
    ByService,
    Usage,
    customer_key,
)

if TYPE_CHECKING:
    from turmericflow.relay._host_tables import HostStatus
    from turmericflow.relay._tables import Tables
    from turmericflow.relay.admission import StreamQueue

NOTHING = Usage()

log = structlog.get_logger()


class ServiceShares:
    """Customers' usage of one service at one time, and their share.

    Attributes
    ----------
    usage
        Streams over all hosts, by customer.
    places
        Places that these customers have between them: those that they use, and those
        that are free. What hosts of an earlier version use, or hosts that aren't
        heard, is not part of it.
    share
        See `order.shares`.
    """

    __slots__ = ("usage", "places", "share")

    def __init__(self, usage: ByCustomer, free: int) -> None:
        self.usage = usage
        self.places = free + sum(each.running for each in usage.values())
        self.share = order.shares(usage, self.places)

    def standing(self, customer: int) -> Standing:
        """Return the standing of a customer, also of one without streams."""
        return order.standing(self.usage, customer, self.share, self.places)


class FairShares:
    """Streams by service and customer at this host and at the others.

    Parameters
    ----------
    tables
        Tables of this host.
    queues
        Streams that wait at this host, by service.
    """

    __slots__ = ("_tables", "_queues", "_told", "_totals")

    def __init__(self, tables: Tables, queues: Mapping[str, StreamQueue]) -> None:
        self._tables = tables
        self._queues = queues
        self._told: dict[str, ByService] = {}
        # Their sums; with 300 hosts a sum for each decision takes longer than the rest.
        self._totals: ByService = {}

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment has customers."""
        deployment = self._tables.deployment.value
        return deployment is not None and bool(deployment.customers)

    def key(self, name: str | None) -> int | None:
        """Return the key of a stream's customer, or None without fair shares."""
        return customer_key(name) if self.is_enabled else None

    def own_usage(self, service: str | None = None) -> ByService:
        """Return the streams at this host, of one service or of all with engines."""
        services = self._tables.deployment.services
        names = services if service is None else (service,)
        running: dict[str, list[int]] = defaultdict(list)
        for run in self._tables.runs:
            running[run.target.entry.service].append(customer_key(run.customer))
        found = {}
        for name in names:
            spec, queue = services.get(name), self._queues.get(name)
            if spec is None or spec.engine is None:
                continue
            waiting = queue.customers() if queue is not None else ()
            found[name] = usages.count(running[name], waiting)
        return found

    def news(self) -> bytes:
        """Return what this host's status tells; empty if it has no streams."""
        return usages.encode(self.own_usage()) if self.is_enabled else b""

    def apply(self, status: HostStatus) -> None:
        """Apply what another host's status tells of customers."""
        name, data = status.entry.name, getattr(status, "customers", b"")
        try:
            told = usages.decode(data) if self.is_enabled else {}
        except msgspec.MsgspecError as exc:
            # A later version may tell it in another form.
            log.warning("customers_invalid", peer=name, reason=str(exc))
            told = {}
        if told == self._told.get(name, {}):
            return
        self.forget(name)
        if told:
            self._told[name] = told
            self._add(told, 1)

    def forget(self, name: str) -> None:
        """Forget what another host told, as it is no longer live."""
        told = self._told.pop(name, None)
        if told is not None:
            self._add(told, -1)

    def _add(self, told: ByService, sign: int) -> None:
        for service, customers in told.items():
            totals = self._totals.setdefault(service, {})
            for key, usage in customers.items():
                total = totals.setdefault(key, Usage())
                total.running += sign * usage.running
                total.waiting += sign * usage.waiting
                if total == NOTHING:
                    del totals[key]

    def view(
        self, service: str, free: int, arriving: int | None = None
    ) -> ServiceShares:
        """Return the customers' shares of a service now.

        Parameters
        ----------
        service
            Name of the service.
        free
            Free places that this host counts on.
        arriving
            Key of the customer of a stream that is to be decided on and isn't queued.
        """
        parts = [self._totals.get(service, {})]
        parts.append(self.own_usage(service).get(service, {}))
        if arriving is not None:
            parts.append({arriving: Usage(0, 1)})
        return ServiceShares(usages.merge(parts), free)
