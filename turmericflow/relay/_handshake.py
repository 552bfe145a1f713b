"""First messages on connections between hosts."""

from __future__ import annotations

import msgspec


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """First message of each side of a stream, with the name of its host.

    Attributes
    ----------
    rings, data_centre
        The host's kind of rings (see `HostStatus`) and data centre. Hosts of an earlier
        version neither send nor read them.
    """

    name: str
    rings: int = 0
    data_centre: str = ""


class TunnelRequest(msgspec.Struct, array_like=True, tag="tunnel"):
    """First message of a host that wants a connection to a target, at IP:PORT.

    Attributes
    ----------
    framed
        Whether the host reads frames (see `_tunnel_frames`). Hosts of an earlier
        version neither send nor read this field.
    """

    address: str
    framed: bool = False


class TunnelReply(msgspec.Struct, array_like=True, tag="tunnelled"):
    """Says why a connection was not opened, or nothing: bytes of the target follow.

    Attributes
    ----------
    problem
        Empty if the target accepted the connection.
    at_target
        Whether the target is the reason, and not the host that was asked.
    framed
        Whether the bytes of the target come in frames.
    """

    problem: str = ""
    at_target: bool = False
    framed: bool = False
