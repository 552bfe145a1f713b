"""Client of the platform, the only module that knows its object API."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from turmericflow._body_memory import BodyMemory, BodyTooLong, read_bounded
from turmericflow.cfg import Address
from turmericflow.services._stats import Stats

DEFAULT_WATCH_WAIT_S = 20.0


class PlatformObject(msgspec.Struct):
    """An object of the platform's API and its version."""

    kind: str
    name: str
    version: int
    value: Any = None


class ObjectList(msgspec.Struct):
    """Objects, and the platform version at which they were read."""

    version: int
    items: list[PlatformObject]


class HostEntry(msgspec.Struct):
    """One row of the platform's host list."""

    name: str
    role: str
    service: str
    data_centre: str
    ip: str
    port: int
    state: str = "live"


class PlatformError(Exception):
    """Raised when the platform gives no usable answer.

    Attributes
    ----------
    unknown_effect
        Whether a write may have taken effect despite the error.
    """

    def __init__(self, message: str, unknown_effect: bool) -> None:
        super().__init__(message)
        self.unknown_effect = unknown_effect


class PlatformClient:
    """Client of the platform's object API and host list.

    Attributes
    ----------
    hosts_bytes
        Size of the last host list received, in bytes.
    """

    __slots__ = ("_base", "_memory", "_session", "_stats", "hosts_bytes")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        stats: Stats | None = None,
    ) -> None:
        self._session = session
        self._memory = BodyMemory()
        self._stats = stats
        self.hosts_bytes = 0
        self._base = address.url

    async def _call(self, method: str, path: str, **kwargs: Any) -> tuple[int, bytes]:
        try:
            async with self._session.request(
                method, self._base + path, **kwargs
            ) as resp:
                chunks = resp.content.iter_any()
                body = await read_bounded(chunks, self._memory)
                if self._stats is not None:
                    self._stats.count("platform.calls")
                    self._stats.count("platform.bytes_in", len(body))
                if resp.status == 429 or resp.status >= 500:
                    # A call refused with 429 or 503 was not executed.
                    unknown_effect = resp.status not in (429, 503)
                    raise PlatformError(
                        f"{method} {path}: {resp.status}", unknown_effect
                    )
                return resp.status, body
        except aiohttp.ClientConnectorError as exc:
            raise PlatformError(f"{method} {path}: {exc!r}", False) from exc
        except (aiohttp.ClientError, OSError, TimeoutError, BodyTooLong) as exc:
            raise PlatformError(f"{method} {path}: {exc!r}", True) from exc

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Return an object, or None if there is none."""
        status, body = await self._call("GET", f"/v1/objects/{kind}/{name}")
        if status == 404:
            return None
        return msgspec.json.decode(body, type=PlatformObject)

    async def list(self) -> ObjectList:
        """Return all objects."""
        _, body = await self._call("GET", "/v1/objects")
        return msgspec.json.decode(body, type=ObjectList)

    async def put(
        self, kind: str, name: str, value: Any, version: int
    ) -> Result[PlatformObject, PlatformObject | None]:
        """Write an object if its stored version matches; 0 means a new object.

        Returns
        -------
        Result
            The written object, or the object that is stored instead.
        """
        status, body = await self._call(
            "PUT",
            f"/v1/objects/{kind}/{name}",
            data=msgspec.json.encode(value),
            headers={"If-Match": str(version)},
        )
        if status == 409:
            return Err(msgspec.json.decode(body, type=PlatformObject | None))
        return Ok(msgspec.json.decode(body, type=PlatformObject))

    async def watch(
        self,
        since: int,
        wait_s: float = DEFAULT_WATCH_WAIT_S,
        kinds: Collection[str] = (),
    ) -> ObjectList:
        """Wait for objects newer than a version; the list is empty after a timeout.

        Parameters
        ----------
        since
            Version that the caller has already seen.
        wait_s
            Maximum wait, in seconds.
        kinds
            Kinds to return; all if empty.
        """
        path = f"/v1/watch?since={since}&wait={wait_s}"
        if kinds:
            path += f"&kinds={','.join(sorted(kinds))}"
        timeout = aiohttp.ClientTimeout(total=wait_s + 5)
        _, body = await self._call("GET", path, timeout=timeout)
        return msgspec.json.decode(body, type=ObjectList)

    async def request_weight_load(self, name: str) -> None:
        """Ask the weight store for permission to load weights.

        Raises
        ------
        PlatformError
            If the rate limit of the store is used up, or it does not answer.
        """
        await self._call("GET", f"/v1/weights/{name}")

    async def hosts(self) -> list[HostEntry]:
        """Return the host list, which lags behind the actual state."""
        _, body = await self._call("GET", "/v1/hosts")
        self.hosts_bytes = len(body)
        if self._stats is not None:
            self._stats.count("platform.host_list_bytes", len(body))
        return msgspec.json.decode(body, type=list[HostEntry])
