"""Incremental parser for ``text/event-stream`` bodies."""

from __future__ import annotations

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_000_000


class EventsInvalid(Exception):
    """Raised when a stream has an invalid event or skips an event."""


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            if not text.isdigit():
                raise EventsInvalid(f"got event id {text[:40]!r}, expected a number")
            return int(text)
    return None


class Event:
    """One complete event as received, and its id if it has one."""

    __slots__ = ("id", "data")

    def __init__(self, id: int | None, data: bytes) -> None:
        self.id = id
        self.data = data


class EventReader:
    """Split chunks of a stream into complete events."""

    __slots__ = ("_remainder",)

    def __init__(self) -> None:
        self._remainder = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Add a chunk and return the events that it completes.

        Raises
        ------
        EventsInvalid
            If an event id is not a number, or an event is too long.
        """
        data = self._remainder + chunk if self._remainder else chunk
        *complete, self._remainder = data.split(_EVENT_END)
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise EventsInvalid(f"got an event over {MAX_EVENT_BYTES} bytes")
        return [Event(_event_id(event), event + _EVENT_END) for event in complete]

    @property
    def remainder(self) -> bytes:
        """Bytes of the last, incomplete event."""
        return self._remainder
