"""Events of a ``text/event-stream``, cut from chunks of bytes."""

from __future__ import annotations

_END = b"\n\n"
_ID = b"id:"
MAX_EVENT_BYTES = 1_000_000


class EventsInvalid(Exception):
    """Raised when a stream is not made of events with growing ids."""


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            if not text.isdigit():
                raise EventsInvalid(f"got event id {text[:40]!r}, expected a number")
            return int(text)
    return None


class Event:
    """One whole event as received, and its id if it has one."""

    __slots__ = ("id", "data")

    def __init__(self, id: int | None, data: bytes) -> None:
        self.id = id
        self.data = data


class EventReader:
    """Cuts chunks of a stream into whole events."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Take a chunk in and return the events that are now whole.

        Raises
        ------
        EventsInvalid
            If an event has an unusable id, or does not end.
        """
        data = self._rest + chunk if self._rest else chunk
        *whole, self._rest = data.split(_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventsInvalid(f"got an event over {MAX_EVENT_BYTES} bytes")
        return [Event(_event_id(event), event + _END) for event in whole]

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._rest
