"""Matching of requests to routes, services and customers."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from turmericflow.relay._call import Call
from turmericflow.relay._model import Customer, Deployment, Route
from turmericflow.relay._tables import DeploymentTable
from turmericflow.verdict import ErrorCode, not_run


@dataclass(slots=True, frozen=True)
class RouteMatch:
    """Route, service and customer of a request."""

    route: Route
    service: str
    customer: Customer | None


def apply_deployment(table: DeploymentTable, value: Deployment, revision: int) -> bool:
    """Apply a deployment if it is newer than the current one; return whether it is.

    Its own version decides: a store that comes back from an older copy may hold an
    earlier one at a later revision.
    """
    current = table.value
    table.revision = max(table.revision, revision)
    if current is not None and value.version <= current.version:
        return False
    routes_by_host: dict[str, list[Route]] = {}
    for route in sorted(value.routes, key=lambda route: -len(route.prefix)):
        routes_by_host.setdefault(route.host, []).append(route)
    table.routes_by_host = routes_by_host
    table.customers_by_key = {
        key: customer for customer in value.customers for key in customer.keys
    }
    table.services = {service.name: service for service in value.services}
    table.value = value
    return True


def find_route(table: DeploymentTable, call: Call) -> Route | None:
    """Return the route with the longest prefix of a request's path, or None."""
    path = call.path.partition("?")[0]
    host = call.host
    routes = table.routes_by_host.get(host) or table.routes_by_host.get(
        host.partition(":")[0], ()
    )
    return next((route for route in routes if path.startswith(route.prefix)), None)


def _pick_service(route: Route, rng: Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service


def match_request(table: DeploymentTable, call: Call, rng: Random) -> RouteMatch:
    """Return the route, service and customer of a request.

    Raises
    ------
    RequestFailed
        If no deployment is known, no route matches, or the customer's key is missing
        or unknown.
    """
    deployment = table.value
    if deployment is None:
        raise not_run(ErrorCode.STALE_VIEW, "no deployment is known yet", 0.5)
    route = find_route(table, call)
    if route is None:
        raise not_run(ErrorCode.NOT_FOUND, f"no route matches {call.host}{call.path}")
    service = _pick_service(route, rng)
    if route.anonymous or not deployment.customers:
        return RouteMatch(route, service, None)
    customer = table.customers_by_key.get(call.key) if call.key else None
    if customer is None:
        raise not_run(ErrorCode.UNAUTHORIZED, "got a missing or unknown customer key")
    return RouteMatch(route, service, customer)
