"""Freshness: whether this host's view is new enough to give work to targets."""

from __future__ import annotations

from turmericflow.systems import _membership as membership, _overlay as overlay
from turmericflow.tables import Tables

MAX_CONFIG_AGE_S = 4.0
CONTACT_TIMEOUT_S = 3.0


def config_age_s(tables: Tables, now: float) -> float:
    """Return the age of the configuration in force, in seconds."""
    return now - tables.config.confirmed_at


def confirm_from_peer(
    tables: Tables, asked_at: float, peer_age_s: float, seen: int, same_view: bool
) -> None:
    """Take a peer's word on the age and reach of a view that equals this host's."""
    if same_view:
        config = tables.config
        config.confirmed_at = max(config.confirmed_at, asked_at - peer_age_s)
        config.seen_version = max(config.seen_version, seen)


def _hears_contacts(tables: Tables, now: float) -> bool:
    contacts = overlay.contacts(tables)
    rows = tables.peers.rows
    heard = sum(
        1 for host in contacts if now - rows[host].last_contact_at <= CONTACT_TIMEOUT_S
    )
    return 2 * heard > len(contacts) or not contacts


def may_dispatch(tables: Tables, now: float) -> bool:
    """Return whether new work, resumes included, may be given to targets.

    A host may when its view is fresh by the platform or by a peer's word, or
    when it is among most of the hosts that it knew and hears from them: then
    it learns from them what any of them learns.
    """
    if config_age_s(tables, now) <= MAX_CONFIG_AGE_S:
        return True
    return membership.in_majority(tables, now) and _hears_contacts(tables, now)
