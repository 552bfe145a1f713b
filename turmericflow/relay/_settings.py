"""Settings of a host that relays requests."""

from __future__ import annotations

from dataclasses import dataclass


class SettingsInvalid(Exception):
    """Raised when settings cannot be put in force; the message says why."""


@dataclass(slots=True, frozen=True)
class HostSettings:
    """What a host is told when it starts; addresses are IP:PORT, empty for none.

    Attributes
    ----------
    callers, readiness, addresses
        Where it takes requests, says whether it is ready, and names the
        addresses to use.
    peers
        Where it takes other hosts' streams.
    seeds
        Streams of hosts that may be there at the start.
    store
        The object store.
    leave_s
        Time from the order to stop until the process is ended.
    addresses_keep_s
        Longest time that callers may keep addresses.
    retry_ratio, retry_window_s, retry_slack
        Sends beyond the first of a request that a service takes in a window
        from all hosts: a share of the requests, and a number besides.
    """

    name: str
    data_centre: str
    callers: str
    readiness: str
    addresses: str
    peers: str
    seeds: tuple[str, ...]
    store: str
    leave_s: float
    addresses_keep_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
