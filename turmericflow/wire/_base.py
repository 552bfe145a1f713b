"""Base of all messages, and parts that several of them have.

Each message is a slotted class that is encoded as a msgpack array: its tag and
its fields in order.  A request carries ``rid``, a number that its reply repeats.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base of all messages between routers."""


class WireAttempt(Message, tag="attempt"):
    """An attempt and the index of the first token that it may have added."""

    attempt: int
    index: int
    target: str
    loaded: str = ""


class WireFailure(Message, tag="failure"):
    """A `Failure` as it travels between routers."""

    code: str
    verdict: str
    message: str
    retry_after_s: float | None


class WireSlot(Message, tag="slot"):
    """Owner and backup of one slot, as `SlotEntry`."""

    slot: int
    owner: str
    backup: str
    epoch: int
    owner_since: int
    backup_since: int
