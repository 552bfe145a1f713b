"""HTTP to workers: requests out, answers in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from turmericflow.platform import _callers as names
from turmericflow.relay import Call, Dispatch, EngineReport, KvCopy
from turmericflow.verdict import TargetFailed, Verdict

REPORT_PATH = "/v1/report"
COPY_PATH = "/v1/kv-move"
COPY_TIMEOUT_S = 1.0  # a copy of a large run takes some milliseconds
ACCEPT_TIMEOUT_S = 0.3
_SKIPPED = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
# Statuses with which a worker says that it did not run a request, besides the
# header that says so.
_MISDIRECTED = 421
_LOST = (aiohttp.ClientError, OSError, asyncio.IncompleteReadError, ValueError)


_JSON = {"Content-Type": "application/json"}


class _Move(msgspec.Struct):
    id: str  # the caller's attempt
    target: str  # address of the worker that gets the copy


class _Model(msgspec.Struct):
    name: str


class _Report(msgspec.Struct):
    models: list[_Model]
    kvTotal: int  # tokens that fit into the KV cache
    born: int = 0  # Unix milliseconds of the worker's start


class _Moved(msgspec.Struct):
    handle: str


def target_headers(call: Call, dispatch: Dispatch) -> CIMultiDict[str]:
    """Return the headers of a request as a worker gets it."""
    headers = call.headers.copy()
    headers[names.BUDGET] = str(max(1, int(dispatch.timeout_s * 1000)))
    headers[names.EXPECTED] = dispatch.target
    if dispatch.customer is not None:
        headers[names.CUSTOMER] = dispatch.customer
    if dispatch.priority is not None:
        headers[names.URGENCY] = str(dispatch.priority)
    if dispatch.backup is not None:
        headers[names.BACKUP] = dispatch.backup
    if dispatch.kv_copy is not None:
        headers[names.COPY] = f"{dispatch.kv_copy.origin}/{dispatch.kv_copy.name}"
    if dispatch.last_event_id is not None:
        headers[names.LAST_EVENT] = str(dispatch.last_event_id)
    return headers


class HttpReply:
    """A worker's answer, of which the body is still to be read."""

    __slots__ = (
        "_resp",
        "_closed",
        "status",
        "headers",
        "not_run",
        "misdirected",
        "genuine",
    )

    def __init__(self, call: Call, resp: aiohttp.ClientResponse) -> None:
        self._resp = resp
        # The protocol is falsy while it holds no data.
        protocol = None if resp.connection is None else resp.connection.protocol
        self._closed = None if protocol is None else protocol.closed
        self.status = resp.status
        self.headers = names.answer_headers(resp.headers)
        self.misdirected = resp.status == _MISDIRECTED
        self.not_run = self.misdirected or names.NOT_EXECUTED in resp.headers
        echoed = resp.headers.get(names.ATTEMPT)
        if echoed is not None and echoed != call.id:
            self.genuine = False
        else:
            self.genuine = resp.status >= 300 or names.RECEIPT in resp.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `TargetFailed` if it is cut off."""
        try:
            async for chunk in self._resp.content.iter_any():
                yield chunk
        except _LOST as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc), lost=True) from exc
        self._check_end()

    def _check_end(self) -> None:
        """Tell a body that ends with its connection from one that is reset."""
        headers = self._resp.headers
        if "Content-Length" in headers or "chunked" in headers.get(
            "Transfer-Encoding", ""
        ):
            return
        closed = self._closed
        if closed is not None and closed.done() and closed.exception() is not None:
            message = f"connection lost within the body: {closed.exception()}"
            raise TargetFailed(Verdict.MAY_HAVE_RUN, message, lost=True)

    def close(self) -> None:
        """Drop the connection if the body was not read to its end."""
        self._resp.close()


class HttpTargets:
    """Sends each request on a connection of its own.

    A connection that was used before may be closed by its worker while a
    request is on the way, or hold an answer to an earlier request; neither may
    happen to a request that runs at most once.
    """

    __slots__ = ("_session",)

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(self, call: Call, dispatch: Dispatch) -> HttpReply:
        """Send a request and return the head of the answer.

        Raises
        ------
        TargetFailed
            If no answer came; the verdict says whether it may have run.
        """
        url = URL(f"http://{dispatch.address}{call.path}", encoded=True)
        try:
            resp = await self._session.request(
                call.method,
                url,
                headers=target_headers(call, dispatch),
                data=call.body or None,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise TargetFailed(Verdict.NOT_RUN, repr(exc), lost=True) from exc
        except _LOST as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc), lost=True) from exc
        return HttpReply(call, resp)

    async def copy_kv_cache(self, call: Call, source: str, holder: str) -> KvCopy:
        """Copy the memory of a request's run to another worker; the run goes on.

        Raises
        ------
        TargetFailed
            If there is no such run or no room, or no answer came.
        """
        body = msgspec.json.encode(_Move(call.id, holder))
        try:
            async with asyncio.timeout(COPY_TIMEOUT_S):
                async with self._session.post(
                    f"http://{source}{COPY_PATH}", data=body, headers=_JSON
                ) as resp:
                    content = await resp.read()
            if resp.status != 200:
                message = f"no copy made: status {resp.status}"
                raise TargetFailed(Verdict.NOT_RUN, message)
            handle = msgspec.json.decode(content, type=_Moved).handle
        except (*_LOST, TimeoutError, msgspec.MsgspecError) as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc)) from exc
        return KvCopy(holder, source, handle)

    async def fetch_report(self, address: str, health_path: str) -> EngineReport | None:
        """Return what the engine at an address says of itself, or None."""
        base = f"http://{address}"
        try:
            async with asyncio.timeout(ACCEPT_TIMEOUT_S):
                async with self._session.get(base + health_path) as resp:
                    id = resp.headers.get(names.INSTANCE, "")
                async with self._session.get(base + REPORT_PATH) as resp:
                    report = msgspec.json.decode(await resp.read(), type=_Report)
        except (*_LOST, TimeoutError, msgspec.MsgspecError):
            return None
        models = tuple(model.name for model in report.models)
        return EngineReport(id, report.born, report.kvTotal, models)

    async def accepts_connections(self, address: str) -> bool:
        """Return whether a worker takes connections, or may only be out of reach."""
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(ACCEPT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return True
        writer.transport.abort()
        return True

    async def probe(self, address: str, timeout_s: float) -> bool:
        """Return whether a worker answers at all."""
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(f"http://{address}{REPORT_PATH}") as resp:
                    await resp.read()
        except (*_LOST, TimeoutError):
            return False
        return True
