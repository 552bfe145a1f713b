"""First messages on connections between hosts."""

from __future__ import annotations

import msgspec


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """First message of each side of a stream, with the name of its host."""

    name: str


class TunnelRequest(msgspec.Struct, array_like=True, tag="tunnel"):
    """First message of a host that wants a connection to a target, at IP:PORT."""

    address: str


class TunnelReply(msgspec.Struct, array_like=True, tag="tunnelled"):
    """Says why a connection was not opened, or nothing: bytes of the target follow.

    Attributes
    ----------
    problem
        Empty if the target accepted the connection.
    at_target
        Whether the target is the reason, and not the host that was asked.
    """

    problem: str = ""
    at_target: bool = False
