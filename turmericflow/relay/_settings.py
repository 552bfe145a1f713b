"""Settings of an entry host."""

from __future__ import annotations

from dataclasses import dataclass


class SettingsInvalid(Exception):
    """Raised when settings cannot be applied; the message says why."""


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Start-up settings of a host; addresses are IP:PORT, empty for none.

    Attributes
    ----------
    callers, readiness, addresses
        Listen addresses for requests, for the readiness probe, and for the list
        of addresses that callers may use.
    peers
        Listen address for streams from other hosts.
    seeds
        Peer addresses to dial while this host has no stream to another host.
    store
        Address of the object store.
    leave_s
        Time from the order to stop until the platform kills the process, in seconds.
    addresses_keep_s
        Longest time for which callers may cache the list of addresses, in seconds.
    memory_bytes, max_descriptors
        Memory and descriptors that the process may use, 0 if they are not limited.
    retry_ratio, retry_window_s, retry_slack
        Retry budget of a service, for all hosts together: in a window, retries may
        number this share of the requests plus the slack.
    canary_share, canary_slack
        Exposure to a version that is rolled out, for all hosts together: until it is
        judged, it gets at most this share of its service's requests plus the slack.
        Orders to roll out a version are followed only if the share is not 0.
    rollback_s
        Time from the 50th bad answer of a version until it gets no requests, in
        seconds.
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
    memory_bytes: int = 0
    max_descriptors: int = 0
    canary_share: float = 0.0
    canary_slack: int = 50
    rollback_s: float = 5.0
