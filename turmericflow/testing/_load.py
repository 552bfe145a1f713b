"""Builders of tables and work for tests of scheduling and admission."""

from __future__ import annotations

from turmericflow.cfg import Address
from turmericflow.profile import Customer, Profile
from turmericflow.systems import estimates
from turmericflow.tables import LoadReport, RequestId, Tables, Target, TargetKind, Work


def make_profile(**fields: object) -> Profile:
    """Return a profile of the service ``redactor``."""
    defaults = {"name": "quotation", "service": "redactor", "model": "sable"}
    return Profile(**{**defaults, "adapter": "none", "version": "1", **fields})


def make_tables(
    targets: int = 4, slots: int = 2, customers: dict[str, float] | None = None
) -> Tables:
    """Return tables with customers, and idle engines that reported at time 0."""
    tables = Tables("entry-1", "north")
    tables.config.confirmed_at = float("inf")
    for name, weight in (customers or {"norte": 1.0, "sur": 1.0}).items():
        tables.config.customers[name] = Customer(name, weight)
    for number in range(targets):
        name = f"redactor-{number}"
        row = Target(name, TargetKind.ENGINE, "redactor", "north", Address("::1", 1))
        tables.targets.rows[name] = row
        estimates.learn_report(row, LoadReport(0, 0, slots, 20.0, 20_000.0, 0.0))
    return tables


def make_work(key: str = "k", customer: str = "norte", **fields: object) -> Work:
    """Return the work of one request of a customer."""
    profile = fields.pop("profile", None) or make_profile()
    defaults = {"max_tokens": 100, "accepted_at": 0.0, "expected_tokens": 50.0}
    defaults = {"prompt_tokens": 100, "blocks": [], **defaults, **fields}
    return Work(RequestId(customer, key), profile, **defaults)
