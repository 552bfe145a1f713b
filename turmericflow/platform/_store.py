"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
from urllib.parse import quote

import aiohttp
import msgspec
from multidict import CIMultiDictProxy

from turmericflow.platform._callers import STORE_ERA
from turmericflow.platform._json_parts import split_members, split_parts
from turmericflow.platform._objects import (
    decode_deployment,
    decode_host,
    decode_target,
    decode_versions,
    encode_host,
    encode_versions,
)
from turmericflow.relay import (
    Change,
    Changes,
    Conflict,
    HistoryGone,
    HostEntry,
    Kind,
    Listing,
    Row,
    StoreFailed,
    VersionRecord,
    era_of,
    number_of,
    with_era,
)

CALL_TIMEOUT_S = 2.0  # calls usually take milliseconds, with a slow store longer
WATCH_TIMEOUT_MARGIN_S = 2.0  # added to the wait time of a watch

_PATHS = {
    Kind.DEPLOYMENT: "config",
    Kind.TARGETS: "servers",
    Kind.HOSTS: "turmericflow-hosts",
    Kind.VERSIONS: "turmericflow-versions",
}
_CONFIG_NAME = "main"
MIN_ERROR_STATUS = 500
MAX_ERA_DIGITS = 4  # an era fits into the upper bits of a revision


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Items(msgspec.Struct):
    items: list[msgspec.Raw]
    storeRevision: int
    hasMore: bool = False


class _Event(msgspec.Struct):
    object: _Object
    tombstone: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    storeRevision: int


# Deep nesting exhausts the stack of the decoder.
_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
_ITEMS = msgspec.json.Decoder(_Items)
_EVENTS = msgspec.json.Decoder(_Events)
_OBJECT = msgspec.json.Decoder(_Object)


def _decode_era(headers: CIMultiDictProxy[str]) -> int:
    """Return the era that an answer of the store names, 0 if none."""
    text = headers.get(STORE_ERA, "")
    valid = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if valid else 0


def _decode_value(kind: Kind, name: str, spec: msgspec.Raw) -> object:
    try:
        value = msgspec.json.decode(spec)
    except _DECODE_ERRORS as exc:
        raise ValueError(f"got bytes that are not JSON: {exc}") from exc
    match kind:
        case Kind.DEPLOYMENT:
            return decode_deployment(value)
        case Kind.TARGETS:
            return decode_target(name, value)
        case Kind.HOSTS:
            return decode_host(name, value)
        case Kind.VERSIONS:
            return decode_versions(value)


def _decode_page(content: bytes) -> _Items:
    """Decode a page of a list; items that cannot be decoded do not spoil it.

    Raises `StoreFailed` if it is no page.
    """
    try:
        return _ITEMS.decode(content)
    except _DECODE_ERRORS:
        pass
    try:
        members = split_members(content)
        items = [msgspec.Raw(item) for item in split_parts(members.pop(b"items"))]
        page = _ITEMS.decode(
            b'{"items":[],"storeRevision":%s,"hasMore":%s}'
            % (members[b"storeRevision"], members.get(b"hasMore", b"false"))
        )
    except (*_DECODE_ERRORS, ValueError, KeyError) as exc:
        raise StoreFailed(f"got an unusable list: {exc}") from exc
    return _Items(items, page.storeRevision, page.hasMore)


def _decode_item(kind: Kind, item: msgspec.Raw, era: int) -> Row | None:
    """Decode an object of a list; return None if it has no name."""
    try:
        return _decode_row(kind, _OBJECT.decode(item), era)
    except _DECODE_ERRORS as exc:
        problem = f"got an object that cannot be decoded: {type(exc).__name__}"
    try:
        text = split_members(bytes(item))[b"metadata"]
        metadata = msgspec.json.decode(text, type=_Metadata)
    except (*_DECODE_ERRORS, ValueError, KeyError):
        return None
    return Row(metadata.name, with_era(era, metadata.revision), None, problem)


def _decode_row(kind: Kind, stored: _Object, era: int) -> Row:
    name, revision = stored.metadata.name, with_era(era, stored.metadata.revision)
    try:
        return Row(name, revision, _decode_value(kind, name, stored.spec))
    except ValueError as exc:
        return Row(name, revision, None, str(exc))


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

    __slots__ = ("_session", "_base", "era")

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}/v1/objects"
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
                    content = await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
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
        after, era = "", None
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            content = await self._call("GET", _PATHS[kind] + query, CALL_TIMEOUT_S)
            if era not in (None, self.era):
                raise StoreFailed("got a list with pages of two eras")
            era = self.era
            page, last = _decode_page(content), after
            for item in page.items:
                row = _decode_item(kind, item, era)
                if row is None:
                    continue
                after = row.name
                if kind is not Kind.DEPLOYMENT or after == _CONFIG_NAME:
                    rows.append(row)
            if page.hasMore and after == last:
                raise StoreFailed("got a page without a name to continue after")
            if not page.hasMore:
                return Listing(with_era(era, page.storeRevision), tuple(rows))

    async def changes(self, kind: Kind, revision: int, wait_s: float) -> Changes:
        """Return the changes of a kind since a revision; wait until there are some.

        Return no changes after `wait_s` seconds.
        """
        since, wait_ms = number_of(revision), int(wait_s * 1000)
        path = f"{_PATHS[kind]}?watch={since}&waitMs={wait_ms}"
        self._check_era(revision, HistoryGone)
        content = await self._call("GET", path, wait_s + WATCH_TIMEOUT_MARGIN_S)
        self._check_era(revision, HistoryGone)
        try:
            page = _EVENTS.decode(content)
        except _DECODE_ERRORS as exc:
            # A full read skips what cannot be decoded.
            raise HistoryGone(f"got unusable changes: {exc}") from exc
        changes = []
        for event in page.events:
            name = event.object.metadata.name
            if kind is Kind.DEPLOYMENT and name != _CONFIG_NAME:
                continue
            row = _decode_row(kind, event.object, self.era)
            changes.append(Change(row, event.tombstone))
        return Changes(with_era(self.era, page.storeRevision), tuple(changes))

    async def publish(self, entry: HostEntry, revision: int | None) -> int:
        """Create or replace this host's entry; return the new revision."""
        return await self._put(Kind.HOSTS, entry.name, encode_host(entry), revision)

    async def record_versions(
        self, name: str, record: VersionRecord, revision: int | None
    ) -> int:
        """Create or replace a record of versions; return the new revision."""
        spec = encode_versions(record)
        return await self._put(Kind.VERSIONS, name, spec, revision)

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
        try:
            return with_era(self.era, _OBJECT.decode(content).metadata.revision)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise StoreFailed(f"got an unusable object: {exc}") from exc

    async def remove_host(self, name: str, revision: int) -> None:
        """Remove a host's entry unless it has changed since a revision."""
        self._check_era(revision, Conflict)
        name, number = quote(name, safe=""), number_of(revision)
        path = f"{_PATHS[Kind.HOSTS]}/{name}?revision={number}"
        await self._call("DELETE", path, CALL_TIMEOUT_S)
