"""The story of one request, from the log lines of several hosts."""

from __future__ import annotations

import heapq
import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

BEFORE = timedelta(seconds=10)  # beliefs this much older still bear on a request
HOST_BELIEFS = ("store_", "deployment_", "targets_learned", "started", "leaving")
TARGET_BELIEFS = "target_"
_LEFT_OUT = {"timestamp", "event", "host", "level"}


@dataclass(slots=True)
class Line:
    """One log line: where and when it was written, and what it says."""

    host: str
    at: datetime
    event: str
    fields: dict[str, object]

    def text(self) -> str:
        """Return the line for a person."""
        fields = (f"{name}={value}" for name, value in self.fields.items())
        return " ".join(
            [self.at.isoformat(timespec="milliseconds"), self.host, self.event, *fields]
        )


@dataclass(slots=True)
class Logs:
    """Lines by host, in the order of each host's log, and those not understood."""

    by_host: dict[str, list[Line]]
    unreadable: int


def _parse(text: str) -> Line | None:
    try:
        fields = json.loads(text[text.index("{") :])
        host, event = fields["host"], fields["event"]
        at = datetime.fromisoformat(fields["timestamp"])
    except (ValueError, KeyError, TypeError):
        return None
    rest = {name: value for name, value in fields.items() if name not in _LEFT_OUT}
    return Line(str(host), at, str(event), rest)


def read_logs(texts: Iterable[str]) -> Logs:
    """Read log lines; anything before a line's object is passed over."""
    logs = Logs({}, 0)
    for text in texts:
        if not text.strip():
            continue
        line = _parse(text)
        if line is None:
            logs.unreadable += 1
        else:
            logs.by_host.setdefault(line.host, []).append(line)
    return logs


def _bears_on(line: Line, targets: set[str], addresses: set[str]) -> bool:
    if line.event.startswith(HOST_BELIEFS):
        return True
    if not line.event.startswith(TARGET_BELIEFS):
        return False
    named = str(line.fields.get("target", ""))
    ids = {target.partition("@")[0] for target in targets}
    address = str(line.fields.get("address", ""))
    return named.partition("@")[0] in ids or address in addresses


def _of_host(lines: list[Line], request: str) -> list[Line]:
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    targets = {str(line.fields["target"]) for line in own if "target" in line.fields}
    addresses = {
        str(line.fields[name])
        for line in own
        for name in ("address", "backup")
        if line.fields.get(name)
    }
    first, last = min(line.at for line in own), max(line.at for line in own)
    found = []
    for line in lines:
        if line.fields.get("request") == request:
            found.append(line)
        elif first - BEFORE <= line.at <= last and _bears_on(line, targets, addresses):
            found.append(line)
    return found


def tell(logs: Logs, request: str) -> list[Line]:
    """Return the lines that bear on a request, in order.

    Lines of one host keep their order whatever its clock does; hosts are merged
    by their clocks.
    """
    stories = (_of_host(lines, request) for lines in logs.by_host.values())
    return list(heapq.merge(*stories, key=lambda line: line.at))
