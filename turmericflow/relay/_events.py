"""Incremental parser for ``text/event-stream`` bodies."""

from __future__ import annotations

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
_COMMENT = b":"
MAX_ID_DIGITS = 18
MAX_EVENT_BYTES = 1_000_000


class EventsInvalid(Exception):
    """Raised when a stream has an invalid event or skips an event.

    Attributes
    ----------
    preceding
        Valid events of the same chunk before the invalid one.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.preceding: list[Event] = []


def _event_id(event: bytes) -> int | None:
    """Return the id of an event, or None if it has only comments."""
    lines = event.split(b"\n")
    for line in lines:
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            if not text.isdigit() or len(text) > MAX_ID_DIGITS:
                raise EventsInvalid(f"got event id {text[:40]!r}, expected a number")
            return int(text)
    if not all(line.startswith(_COMMENT) for line in lines if line):
        raise EventsInvalid(f"got {event[:40]!r}, expected an event with an id")
    return None


class Event:
    """One complete event as received, and its id, or None for comments."""

    __slots__ = ("id", "data")

    def __init__(self, id: int | None, data: bytes) -> None:
        self.id = id
        self.data = data


class EventReader:
    """Split chunks of a stream into complete events."""

    __slots__ = ("_remainder",)

    def __init__(self) -> None:
        self._remainder = bytearray()

    def feed(self, chunk: bytes) -> list[Event]:
        """Add a chunk and return the events that it completes.

        Raises
        ------
        EventsInvalid
            If an event has no numeric id, or is too long.
        """
        searched = max(0, len(self._remainder) - 1)
        self._remainder += chunk
        complete: list[bytes] = []
        if _EVENT_END in self._remainder[searched:]:
            *complete, rest = bytes(self._remainder).split(_EVENT_END)
            self._remainder = bytearray(rest)
        events: list[Event] = []
        try:
            for event in complete:
                events.append(Event(_event_id(event), event + _EVENT_END))
            if len(self._remainder) > MAX_EVENT_BYTES:
                raise EventsInvalid(f"got an event over {MAX_EVENT_BYTES} bytes")
        except EventsInvalid as exc:
            exc.preceding = events
            raise
        return events

    @property
    def remainder(self) -> bytes:
        """Bytes of the last, incomplete event."""
        return bytes(self._remainder)
