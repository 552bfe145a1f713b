"""Selection of the log lines that concern one request, from several hosts."""

from __future__ import annotations

import heapq
import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

# State changes logged this long before a request may have affected it.
CONTEXT_BEFORE = timedelta(seconds=10)
HOST_EVENTS = ("store_", "deployment_", "targets_learned", "started", "leaving")
TARGET_EVENTS = "target_"
_LINE_HEADER_FIELDS = {"timestamp", "event", "host", "level"}


@dataclass(slots=True)
class LogLine:
    """One parsed log line."""

    host: str
    at: datetime
    event: str
    fields: dict[str, object]

    def text(self) -> str:
        """Format the line for display."""
        fields = (f"{name}={value}" for name, value in self.fields.items())
        return " ".join(
            [self.at.isoformat(timespec="milliseconds"), self.host, self.event, *fields]
        )


@dataclass(slots=True)
class Logs:
    """Log lines by host, in logged order, and the number of unreadable lines."""

    by_host: dict[str, list[LogLine]]
    unreadable_lines: int


def _parse(text: str) -> LogLine | None:
    try:
        fields = json.loads(text[text.index("{") :])
        host, event = fields["host"], fields["event"]
        at = datetime.fromisoformat(fields["timestamp"])
    except (ValueError, KeyError, TypeError):
        return None
    other_fields = {
        name: value for name, value in fields.items() if name not in _LINE_HEADER_FIELDS
    }
    return LogLine(str(host), at, str(event), other_fields)


def read_logs(texts: Iterable[str]) -> Logs:
    """Parse log lines, skipping any prefix before the JSON object."""
    logs = Logs({}, 0)
    for text in texts:
        if not text.strip():
            continue
        line = _parse(text)
        if line is None:
            logs.unreadable_lines += 1
        else:
            logs.by_host.setdefault(line.host, []).append(line)
    return logs


def _is_context(line: LogLine, targets: set[str], addresses: set[str]) -> bool:
    if line.event.startswith(HOST_EVENTS):
        return True
    if not line.event.startswith(TARGET_EVENTS):
        return False
    name = str(line.fields.get("target", ""))
    ids = {target.partition("@")[0] for target in targets}
    address = str(line.fields.get("address", ""))
    return name.partition("@")[0] in ids or address in addresses


def _select_from_host(lines: list[LogLine], request: str) -> list[LogLine]:
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
    selected = []
    for line in lines:
        if line.fields.get("request") == request:
            selected.append(line)
        elif first - CONTEXT_BEFORE <= line.at <= last and _is_context(
            line, targets, addresses
        ):
            selected.append(line)
    return selected


def select_lines(logs: Logs, request: str) -> list[LogLine]:
    """Return the log lines that concern a request, in order.

    These are the lines of the request itself and the state changes of its hosts
    and targets shortly before and during the request.  Lines of one host keep
    their logged order, even if its clock steps back; hosts are merged by timestamp.
    """
    lines_by_host = (
        _select_from_host(lines, request) for lines in logs.by_host.values()
    )
    return list(heapq.merge(*lines_by_host, key=lambda line: line.at))
