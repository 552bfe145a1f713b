"""Addresses that hosts connect to, as IP:PORT."""

from __future__ import annotations

import re

MAX_PORT = 65_535
MAX_OCTET = 255
FIRST_MULTICAST_OCTET = 224  # it and those above it name no single host
_NUMBER = "(0|[1-9][0-9]{0,4})"
_ADDRESS = re.compile(rf"{_NUMBER}\.{_NUMBER}\.{_NUMBER}\.{_NUMBER}:{_NUMBER}")


def parse_address(address: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of an address, as IP:PORT.

    Raises
    ------
    ValueError
        If it is none to which a connection can be made: a name, another kind of
        address, or one that stands for any host or several of them.
    """
    match = _ADDRESS.fullmatch(address)
    if match is not None:
        *octets, port = map(int, match.groups())
        in_range = max(octets) <= MAX_OCTET and 0 < port <= MAX_PORT
        if in_range and 0 < octets[0] < FIRST_MULTICAST_OCTET:
            return address.rpartition(":")[0], port
    raise ValueError(f"got address {address[:40]!r}, expected IP:PORT of one host")


def is_address(address: str) -> bool:
    """Return whether a connection can be made to an address."""
    try:
        parse_address(address)
    except ValueError:
        return False
    return True
