"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import quote

import aiohttp
import msgspec
import structlog
from multidict import CIMultiDictProxy

from turmericflow._body_memory import BodyMemory, BodyTooLong, read_bounded
from turmericflow.platform._callers import STORE_ERA
from turmericflow.platform._json_outline import Value, read_outline
from turmericflow.platform._objects import (
    DECODE_ERRORS as _DECODE_ERRORS,
    decode_deployment,
    decode_host,
    decode_rollout,
    decode_rollout_record,
    decode_target,
    decode_versions,
    encode_host,
    encode_rollout_record,
    encode_rollout_status,
    encode_versions,
)
from turmericflow.platform._steps import Step
from turmericflow.relay import (
    REVISION_BITS,
    Change,
    Changes,
    Conflict,
    HistoryGone,
    HostEntry,
    Kind,
    Listing,
    RolloutRecord,
    Row,
    StoreFailed,
    VersionRecord,
    era_of,
    number_of,
    with_era,
)

CALL_TIMEOUT_S = 2.0  # calls usually take milliseconds, with a slow store longer
WATCH_TIMEOUT_MARGIN_S = 2.0  # added to the wait time of a watch

# Above it changes are read in place of the whole list.
MAX_LISTING_BYTES = 256_000

log = structlog.get_logger()

_PATHS = {
    Kind.DEPLOYMENT: "config",
    Kind.TARGETS: "servers",
    Kind.HOSTS: "turmericflow-hosts",
    Kind.VERSIONS: "turmericflow-versions",
    Kind.ROLLOUTS: "rollouts",
    Kind.ROLLOUT_STEPS: "turmericflow-rollouts",
}
_CONFIG_NAME = "main"
ITEMS, EVENTS = "items", "events"
# Levels of nesting that the store writes around what a writer chose.
OBJECT_LEVELS = 1
EVENT_LEVELS = OBJECT_LEVELS + 1
PAGE_LEVELS = {ITEMS: OBJECT_LEVELS + 2, EVENTS: EVENT_LEVELS + 2}
MAX_PROBLEM = 200  # characters
MIN_ERROR_STATUS = 500
MAX_ERA_DIGITS = 4  # an era fits into the upper bits of a revision


# The era is kept in the bits above.
_Revision = Annotated[int, msgspec.Meta(ge=0, lt=1 << REVISION_BITS)]


class _Metadata(msgspec.Struct):
    name: str
    revision: _Revision


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Items(msgspec.Struct):
    items: list[msgspec.Raw]
    storeRevision: _Revision
    hasMore: bool = False


class _Event(msgspec.Struct):
    object: _Object
    tombstone: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    storeRevision: _Revision
    hasMore: bool = False


_PAGES = {
    ITEMS: msgspec.json.Decoder(_Items),
    EVENTS: msgspec.json.Decoder(_Events),
}
_EVENT = msgspec.json.Decoder(_Event)
_OBJECT = msgspec.json.Decoder(_Object)


def _decode_era(headers: CIMultiDictProxy[str]) -> int:
    """Return the era that an answer of the store names, 0 if none."""
    text = headers.get(STORE_ERA, "")
    valid = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if valid else 0


def _decode_value(kind: Kind, name: str, stored: _Object) -> object:
    spec = bytes(stored.spec)
    match kind:
        case Kind.DEPLOYMENT:
            return decode_deployment(spec)
        case Kind.TARGETS:
            return decode_target(name, spec)
        case Kind.HOSTS:
            return decode_host(name, spec)
        case Kind.VERSIONS:
            return decode_versions(spec)
        case Kind.ROLLOUTS:
            return decode_rollout(name, spec, bytes(stored.status))
        case Kind.ROLLOUT_STEPS:
            return decode_rollout_record(spec)


@dataclass(slots=True, frozen=True)
class _Page:
    """A part of a list, or of the changes since a revision.

    Attributes
    ----------
    values
        The objects or events.
    has_more
        Whether another page follows.
    """

    values: list[Value]
    revision: int
    has_more: bool


async def _read_page(content: bytes, name: str) -> _Page:
    """Read a page; values that cannot be decoded do not spoil it.

    Parameters
    ----------
    content
        Body of an answer.
    name
        Name of the member that holds the objects or events.

    Raises
    ------
    StoreFailed
        If it is no page.
    """
    decode = _PAGES[name].decode
    try:
        page = decode(content)
        values = [Value(bytes(text), None) for text in getattr(page, name)]
        return _Page(values, page.storeRevision, page.hasMore)
    except _DECODE_ERRORS:
        pass
    started_at = time.perf_counter()
    try:
        members = (await read_outline(content, PAGE_LEVELS[name])).members()
        found = members[name.encode()]
        if found.part is None or found.text[:1] != b"[":
            raise ValueError(f"got {found.text[:40]!r}, expected an array")
        values = found.part.elements()
        members[name.encode()] = Value(b"[]", None)
        rest = [b'"%s":%s' % (key, value.text) for key, value in members.items()]
        page = decode(b"{%s}" % b",".join(rest))
    except (*_DECODE_ERRORS, KeyError) as exc:
        raise StoreFailed(f"got an unusable page: {str(exc)[:MAX_PROBLEM]}") from exc
    log.info(
        "page_outlined",
        size=len(content),
        values=len(values),
        took_s=round(time.perf_counter() - started_at, 3),
    )
    return _Page(values, page.storeRevision, page.hasMore)


async def _decode_object(kind: Kind, value: Value, era: int) -> Row | None:
    """Decode an object; return None if it has no name."""
    try:
        return _decode_row(kind, _OBJECT.decode(value.text), era)
    except _DECODE_ERRORS as exc:
        problem = f"got an object that cannot be decoded: {type(exc).__name__}"
    try:
        part = value.part or await read_outline(value.text, OBJECT_LEVELS)
        text = part.members()[b"metadata"].text
        metadata = msgspec.json.decode(text, type=_Metadata)
    except (*_DECODE_ERRORS, ValueError, KeyError):
        return None
    return Row(metadata.name, with_era(era, metadata.revision), None, problem)


async def _decode_event(kind: Kind, value: Value, era: int) -> Change | None:
    """Decode an event; return None if its object has no name."""
    try:
        event = _EVENT.decode(value.text)
        return Change(_decode_row(kind, event.object, era), event.tombstone)
    except _DECODE_ERRORS:
        pass
    try:
        part = value.part or await read_outline(value.text, EVENT_LEVELS)
        members = part.members()
        row = await _decode_object(kind, members[b"object"], era)
    except (ValueError, KeyError):
        return None
    tombstone = members.get(b"tombstone")
    removed = tombstone is not None and tombstone.text == b"true"
    return None if row is None else Change(row, removed)


def _decode_row(kind: Kind, stored: _Object, era: int) -> Row:
    name, revision = stored.metadata.name, with_era(era, stored.metadata.revision)
    try:
        return Row(name, revision, _decode_value(kind, name, stored))
    except ValueError as exc:
        return Row(name, revision, None, str(exc)[:MAX_PROBLEM])


class StoreClient:
    """Reads, watches and writes objects.

    All methods raise `StoreFailed` if the store is unreachable or the call fails;
    its subclass `Conflict` if a write meets a changed object, and `HistoryGone` if
    the objects must be read again.

    Attributes
    ----------
    era
        Number that rises when the store comes back from an older copy; 0 if its
        answers name none.
    """

    __slots__ = ("_session", "_base", "_memory", "era")

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}/v1/objects"
        self._memory = BodyMemory()
        self.era = 0

    async def _call(
        self, method: str, path: str, timeout_s: float, body: object = None
    ) -> bytes:
        """Return the body of an answer, which is of the era `self.era`."""
        data = None if body is None else msgspec.json.encode(body)
        headers = {} if data is None else {"Content-Type": "application/json"}
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method, f"{self._base}/{path}", data=data, headers=headers
                ) as resp:
                    chunks = resp.content.iter_any()
                    content = await read_bounded(chunks, self._memory)
        except (aiohttp.ClientError, TimeoutError, OSError, BodyTooLong) as exc:
            raise StoreFailed(f"{method} {path}: {exc!r}") from exc
        era = _decode_era(resp.headers)
        if era < self.era and resp.status < MIN_ERROR_STATUS:
            raise StoreFailed(f"{method} {path}: got an answer of the era {era}")
        self.era = max(self.era, era)
        match resp.status:
            case 200 | 201:
                return content
            case 409:
                raise Conflict(
                    f"{method} {path}: another revision of the object is stored"
                )
            case 410:
                raise HistoryGone(
                    f"{method} {path}: the changes since this revision are gone"
                )
        raise StoreFailed(f"{method} {path}: got status {resp.status}")

    def _check_era(self, revision: int, error: type[StoreFailed]) -> None:
        """Raise an error if a revision is not of the store's era."""
        if era_of(revision) != self.era:
            raise error(f"got the era {self.era}, expected that of revision {revision}")

    async def read(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        rows: list[Row] = []
        after, era, size, odd, step = "", None, 0, False, Step()
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            content = await self._call("GET", _PATHS[kind] + query, CALL_TIMEOUT_S)
            if era not in (None, self.era):
                raise StoreFailed("got a list with pages of two eras")
            era = self.era
            size += len(content)
            page, last = await _read_page(content, ITEMS), after
            for value in page.values:
                await step.end()
                row = await _decode_object(kind, value, era)
                if row is None:
                    odd = True
                    continue
                after = row.name
                if kind is not Kind.DEPLOYMENT or after == _CONFIG_NAME:
                    rows.append(row)
            if page.has_more and after == last:
                raise StoreFailed("got a page without a name to continue after")
            if not page.has_more:
                odd |= any(row.value is None for row in rows)
                revision = with_era(era, page.revision)
                return Listing(revision, tuple(rows), odd or size > MAX_LISTING_BYTES)

    async def changes(self, kind: Kind, revision: int, wait_s: float) -> Changes:
        """Return the changes of a kind since a revision; wait until there are some.

        Return no changes after `wait_s` seconds.
        """
        since, wait_ms = number_of(revision), int(wait_s * 1000)
        path = f"{_PATHS[kind]}?watch={since}&waitMs={wait_ms}"
        self._check_era(revision, HistoryGone)
        content = await self._call("GET", path, wait_s + WATCH_TIMEOUT_MARGIN_S)
        self._check_era(revision, HistoryGone)
        page, step = await _read_page(content, EVENTS), Step()
        changes = []
        for value in page.values:
            await step.end()
            change = await _decode_event(kind, value, self.era)
            if change is None:
                raise HistoryGone("got a change of an object without a name")
            if kind is not Kind.DEPLOYMENT or change.row.name == _CONFIG_NAME:
                changes.append(change)
        return Changes(with_era(self.era, page.revision), tuple(changes))

    async def publish(self, entry: HostEntry, revision: int | None) -> int:
        """Create or replace this host's entry; return the new revision."""
        return await self._put(Kind.HOSTS, entry.name, encode_host(entry), revision)

    async def record_versions(
        self, name: str, record: VersionRecord, revision: int | None
    ) -> int:
        """Create or replace a record of versions; return the new revision."""
        spec = encode_versions(record)
        return await self._put(Kind.VERSIONS, name, spec, revision)

    async def record_rollout(
        self, service: str, record: RolloutRecord, revision: int | None
    ) -> int:
        """Create or replace the step of a roll-out; return the new revision."""
        spec = encode_rollout_record(record)
        return await self._put(Kind.ROLLOUT_STEPS, service, spec, revision)

    async def answer_rollout(
        self, name: str, state: str, target: str, revision: int
    ) -> int:
        """Write the status of an order; return the order's new revision."""
        self._check_era(revision, Conflict)
        metadata = {"name": name, "revision": number_of(revision)}
        status = encode_rollout_status(state, target)
        path = f"{_PATHS[Kind.ROLLOUTS]}/{quote(name, safe='')}/status"
        body = {"metadata": metadata, "status": status}
        return self._decode_revision(
            await self._call("PUT", path, CALL_TIMEOUT_S, body)
        )

    async def _put(
        self, kind: Kind, name: str, spec: object, revision: int | None
    ) -> int:
        path = _PATHS[kind]
        metadata: dict[str, object] = {"name": name, "finalizers": []}
        body = {"metadata": metadata, "spec": spec}
        if revision is None:
            content = await self._call("POST", path, CALL_TIMEOUT_S, body)
        else:
            self._check_era(revision, Conflict)
            metadata["revision"] = number_of(revision)
            path = f"{path}/{quote(name, safe='')}"
            content = await self._call("PUT", path, CALL_TIMEOUT_S, body)
        return self._decode_revision(content)

    def _decode_revision(self, content: bytes) -> int:
        """Return the revision of an object that the store returned."""
        try:
            return with_era(self.era, _OBJECT.decode(content).metadata.revision)
        except _DECODE_ERRORS as exc:
            raise StoreFailed(f"got an unusable object: {exc}") from exc

    async def remove_host(self, name: str, revision: int) -> None:
        """Remove a host's entry unless it has changed since a revision."""
        self._check_era(revision, Conflict)
        name, number = quote(name, safe=""), number_of(revision)
        path = f"{_PATHS[Kind.HOSTS]}/{name}?revision={number}"
        await self._call("DELETE", path, CALL_TIMEOUT_S)
