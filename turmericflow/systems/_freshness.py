"""Freshness: whether this host's configuration is new enough to dispatch work."""

from __future__ import annotations

from turmericflow.systems import _membership as membership, _overlay as overlay
from turmericflow.tables import Tables

MAX_CONFIG_AGE_S = 4.0
CONTACT_TIMEOUT_S = 3.0


def config_age_s(tables: Tables, now: float) -> float:
    """Return the time since the configuration was last confirmed, in seconds."""
    return now - tables.config.confirmed_at


def confirm_from_peer(
    tables: Tables, asked_at: float, peer_age_s: float, seen: int, same_view: bool
) -> None:
    """Confirm this host's configuration by a peer that has the same one.

    Parameters
    ----------
    tables
        This host's tables.
    asked_at
        Time at which the peer was asked, in seconds of this host's clock.
    peer_age_s
        Time since the peer's configuration was confirmed, in seconds.
    seen
        Platform version up to which the peer has all changes.
    same_view
        Whether the peer has the same configuration; if not, nothing changes.
    """
    if same_view:
        config = tables.config
        config.confirmed_at = max(config.confirmed_at, asked_at - peer_age_s)
        config.seen_version = max(config.seen_version, seen)


def _reaches_most_contacts(tables: Tables, now: float) -> bool:
    contacts = overlay.contacts(tables)
    rows = tables.peers.rows
    reached = sum(
        1 for host in contacts if now - rows[host].last_contact_at <= CONTACT_TIMEOUT_S
    )
    return 2 * reached > len(contacts) or not contacts


def may_dispatch(tables: Tables, now: float) -> bool:
    """Return whether this host may dispatch new work or resumes to targets.

    A host may if the platform or a peer has confirmed its configuration lately.
    It also may if it belongs to the majority of the hosts and has reached
    most of its gossip contacts lately: then gossip brings it every change
    that any of them learns.
    """
    if config_age_s(tables, now) <= MAX_CONFIG_AGE_S:
        return True
    return membership.in_majority(tables, now) and _reaches_most_contacts(tables, now)
