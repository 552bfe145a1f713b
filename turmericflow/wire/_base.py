"""Base class of all messages, and parts shared by several of them.

A message is encoded as a msgpack array of its tag and its fields in order.  A
request carries a request number ``rid``, which its reply repeats.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base class of all messages between routers."""


class WireAttempt(Message, tag="attempt"):
    """Wire form of `AttemptStart`: an attempt and the index of its first token.

    ``loaded`` is the spec of the model that the target runs.
    """

    attempt: int
    index: int
    target: str
    loaded: str = ""


class WireFailure(Message, tag="failure"):
    """Wire form of `Failure`."""

    code: str
    verdict: str
    message: str
    retry_after_s: float | None


class WireSlot(Message, tag="slot"):
    """Wire form of a `SlotEntry`: a slot's owner and backup."""

    slot: int
    owner: str
    backup: str
    epoch: int
    owner_since: int
    backup_since: int
