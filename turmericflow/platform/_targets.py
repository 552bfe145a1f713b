"""HTTP client that sends requests to targets."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import AsyncIterator
from contextvars import ContextVar

import aiohttp
import msgspec
import structlog
from multidict import CIMultiDict
from yarl import URL

from turmericflow._responses import FINAL_STATUSES
from turmericflow.platform import _callers as header_names
from turmericflow.platform._objects import Integer
from turmericflow.relay import (
    Body,
    Call,
    Dispatch,
    EngineReport,
    Framed,
    FrameDecoder,
    HostEntry,
    KvCopy,
    LimitAbsent,
    LimitInvalid,
    LimitNamed,
    LimitNotice,
    TargetConnection,
    TunnelFailed,
    Unframed,
    open_tunnel,
    parse_address,
)
from turmericflow.verdict import TargetFailed, Verdict

REPORT_PATH = "/v1/report"
KV_MOVE_PATH = "/v1/kv-move"
TCP_KEEPALIVE_S = 1  # idle time and probe interval; the system's minimum
TCP_KEEPALIVE_PROBES = 2  # a single lost packet must not end a connection
TCP_USER_TIMEOUT_MS = 3000  # idle connections fail after the same time
COPY_TIMEOUT_S = 1.0  # even a large run is copied within milliseconds
CHECK_TIMEOUT_S = 0.3
UNAVAILABLE_STATUS = 503
MAX_CLOSED_S = 600.0
MAX_LOGGED_HEADER = 100  # characters
MAX_CONTROL_BYTES = 1_000_000  # body of a report or of the answer to a copy order
_SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
# Like the header NOT_EXECUTED, this status says that the request did not run.
MISDIRECTED_STATUS = 421
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
_CONNECTION_ERRORS = (
    aiohttp.ClientError,
    OSError,
    asyncio.IncompleteReadError,
    ValueError,
)
# Deep nesting in an answer exhausts the stack of the decoder.
_CONTROL_ERRORS = (
    *_CONNECTION_ERRORS,
    TimeoutError,
    msgspec.MsgspecError,
    RecursionError,
)


# Address for peers of the host through which a task connects to a target, or None.
VIA: ContextVar[str | None] = ContextVar("VIA", default=None)

log = structlog.get_logger()

_JSON_HEADERS = {"Content-Type": "application/json"}


class _Move(msgspec.Struct):
    id: str  # id of the caller's attempt
    target: str  # address of the engine that receives the copy


class _Model(msgspec.Struct):
    name: str


class _Report(msgspec.Struct):
    models: list[_Model]
    kvTotal: Integer  # capacity of the KV cache, in tokens
    born: Integer = 0  # start of the engine's process, in Unix milliseconds


class _Moved(msgspec.Struct):
    handle: str


def target_headers(call: Call, dispatch: Dispatch) -> CIMultiDict[str]:
    """Return the headers to send to a target with a request."""
    headers = call.headers.copy()
    headers[header_names.DEADLINE_MS] = str(max(1, int(dispatch.timeout_s * 1000)))
    headers[header_names.EXPECTED_INSTANCE] = dispatch.target
    if dispatch.customer is not None:
        headers[header_names.CUSTOMER] = dispatch.customer
    if dispatch.priority is not None:
        headers[header_names.REQUEST_PRIORITY] = str(dispatch.priority)
    if dispatch.backup is not None:
        headers[header_names.KV_BACKUP] = dispatch.backup
    if dispatch.kv_copy is not None:
        headers[header_names.KV_SOURCE] = (
            f"{dispatch.kv_copy.origin}/{dispatch.kv_copy.name}"
        )
    if dispatch.last_event_id is not None:
        headers[header_names.LAST_EVENT_ID] = str(dispatch.last_event_id)
    return headers


def _check_head(resp: aiohttp.ClientResponse) -> None:
    """Raise `TargetFailed` if the head of a response cannot be passed on."""
    if resp.status not in FINAL_STATUSES:
        message = f"got the status {resp.status}, expected 200 to 599"
        raise TargetFailed(Verdict.MAY_HAVE_RUN, message)
    for name, value in resp.headers.items():
        if _CONTROL_CHARACTER.search(name + value):
            message = f"got a control character in the header {name!r}"
            raise TargetFailed(Verdict.MAY_HAVE_RUN, message)


def decode_limit(headers: CIMultiDict[str]) -> LimitNotice:
    """Return what a response says of the rate that its target takes.

    Of several values the lowest holds. If any of them is no decimal number, all are
    invalid.
    """
    values = [value.strip() for value in headers.getall(header_names.TARGET_RATE, ())]
    if not values:
        return LimitAbsent()
    if not all(_DECIMAL.fullmatch(value) for value in values):
        return LimitInvalid(", ".join(values)[:MAX_LOGGED_HEADER])
    return LimitNamed(min(map(float, values)))


def says_leaving(headers: CIMultiDict[str]) -> bool:
    """Return whether a response says that its target leaves."""
    return "1" in (v.strip() for v in headers.getall(header_names.TARGET_LEAVING, ()))


def closed_s(resp: aiohttp.ClientResponse) -> float | None:
    """Return for how long a response says that its target wants no requests.

    Returns
    -------
    float or None
        Seconds; None if the response is no refusal, or names no usable time. A longer
        time than `MAX_CLOSED_S` counts as that.
    """
    text = resp.headers.get(header_names.RETRY_AFTER, "").strip()
    if resp.status != UNAVAILABLE_STATUS or not text:
        return None
    if _DECIMAL.fullmatch(text):
        return min(float(text), MAX_CLOSED_S)
    log.warning("target_retry_after_invalid", value=text[:MAX_LOGGED_HEADER])
    return None


async def _read_control(resp: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response; raises `ValueError` if it is too long."""
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > MAX_CONTROL_BYTES:
            raise ValueError(f"got a response over {MAX_CONTROL_BYTES} bytes")
    return bytes(body)


class _BlocksPayload(aiohttp.payload.Payload):
    """A large body that is sent as the target reads it, without a second copy."""

    def __init__(self, body: Body) -> None:
        super().__init__(body.blocks, headers={})
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self._value).decode(encoding, errors)

    async def write(self, writer: aiohttp.abc.AbstractStreamWriter) -> None:
        """Write the body."""
        for block in self._value:
            await writer.write(block)


def _payload(body: Body) -> bytes | aiohttp.payload.Payload | None:
    if len(body.blocks) > 1:
        return _BlocksPayload(body)
    return bytes(body) or None


class HttpReply:
    """A target's response whose body has not been read yet; see `relay.Reply`."""

    __slots__ = (
        "_resp",
        "status",
        "headers",
        "length",
        "not_run",
        "misdirected",
        "genuine",
        "limit",
        "leaving",
        "closed_s",
        "brittle",
    )

    def __init__(self, call: Call, resp: aiohttp.ClientResponse) -> None:
        self._resp = resp
        self.status = resp.status
        self.headers = header_names.response_headers(resp.headers)
        self.length = resp.content_length
        echoed = resp.headers.get(header_names.ATTEMPT_ID)
        # A refusal of another request says nothing of this one.
        echoes_other = echoed is not None and echoed != call.id
        self.misdirected = resp.status == MISDIRECTED_STATUS and not echoes_other
        refused = header_names.NOT_EXECUTED in resp.headers and not echoes_other
        self.not_run = self.misdirected or refused
        self.limit = decode_limit(resp.headers)
        self.leaving = says_leaving(resp.headers)
        self.closed_s = closed_s(resp)
        self.brittle = header_names.TARGET_BRITTLE in resp.headers
        if resp.status not in FINAL_STATUSES or echoes_other:
            self.genuine = False
        else:
            self.genuine = (
                resp.status >= 300 or header_names.TARGET_SIGNATURE in resp.headers
            )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `TargetFailed` if the connection fails."""
        try:
            async for chunk in self._resp.content.iter_any():
                yield chunk
        except _CONNECTION_ERRORS as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc), lost=True) from exc

    def close(self) -> None:
        """Close the connection unless the body was read completely."""
        self._resp.close()


def create_socket(info) -> socket.socket:
    """Create a socket that fails within seconds if the peer does not respond."""
    sock = socket.socket(info[0], info[1], info[2])
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return sock


async def open_tunnel_socket(host: str, address: str) -> tuple[socket.socket, bool]:
    """Return a socket that is connected to a target through another host.

    The second value says whether the target's bytes come in frames.
    """
    sock = create_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
    sock.setblocking(False)
    try:
        framed = await open_tunnel(sock, host, address)
    except BaseException:
        sock.close()
        raise
    return sock, framed


class TargetConnector(aiohttp.TCPConnector):
    """Connects to targets, through another host if `VIA` names one."""

    async def _create_connection(self, req, traces, timeout):
        host = VIA.get()
        if host is None:
            return await super()._create_connection(req, traces, timeout)
        sock, framed = await open_tunnel_socket(host, f"{req.url.host}:{req.url.port}")
        connection: TargetConnection = self._factory()
        connection.path = Framed(FrameDecoder()) if framed else Unframed()
        await self._loop.create_connection(lambda: connection, sock=sock)
        return connection


class HttpTargets:
    """Sends each request on a new connection.

    On a reused connection, the target may close the connection while a request
    is being sent, or the response to an earlier request may arrive.  Neither is
    acceptable for requests that must run at most once.
    """

    __slots__ = ("_session",)

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(self, call: Call, dispatch: Dispatch) -> HttpReply:
        """Send a request and return the reply once its headers have arrived.

        Raises
        ------
        TargetFailed
            If there was no reply; the verdict says whether the request may have run.
        """
        VIA.set(dispatch.via and dispatch.via.peers)
        try:
            parse_address(dispatch.address)
            url = URL(f"http://{dispatch.address}{call.path}", encoded=True)
        except ValueError as exc:
            raise TargetFailed(Verdict.NOT_RUN, repr(exc), lost=True) from exc
        try:
            resp = await self._session.request(
                call.method,
                url,
                headers=target_headers(call, dispatch),
                data=_payload(call.body),
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                allow_redirects=False,
            )
        except TunnelFailed as exc:
            raise TargetFailed(
                Verdict.NOT_RUN,
                str(exc),
                lost=exc.at_target,
                unasked=not exc.at_target,
            ) from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise TargetFailed(
                Verdict.NOT_RUN, repr(exc), lost=True, silent=True
            ) from exc
        except aiohttp.ClientConnectorError as exc:
            raise TargetFailed(Verdict.NOT_RUN, repr(exc), lost=True) from exc
        except _CONNECTION_ERRORS as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc), lost=True) from exc
        try:
            _check_head(resp)
        except TargetFailed:
            resp.close()
            raise
        return HttpReply(call, resp)

    async def copy_kv_cache(self, call: Call, source: str, holder: str) -> KvCopy:
        """Copy the KV cache of a run to another engine while the run continues.

        Raises
        ------
        TargetFailed
            If the run does not exist, the holder is full, or there was no reply.
        """
        body = msgspec.json.encode(_Move(call.id, holder))
        try:
            async with asyncio.timeout(COPY_TIMEOUT_S):
                async with self._session.post(
                    f"http://{source}{KV_MOVE_PATH}", data=body, headers=_JSON_HEADERS
                ) as resp:
                    content = await _read_control(resp)
            if resp.status != 200:
                message = f"no copy made: status {resp.status}"
                raise TargetFailed(Verdict.NOT_RUN, message)
            handle = msgspec.json.decode(content, type=_Moved).handle
        except _CONTROL_ERRORS as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc)) from exc
        return KvCopy(holder, source, handle)

    async def fetch_report(self, address: str, health_path: str) -> EngineReport | None:
        """Return the report of the engine at an address, or None on failure."""
        base = f"http://{address}"
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                async with self._session.get(base + health_path) as resp:
                    id = resp.headers.get(header_names.INSTANCE_ID, "")
                async with self._session.get(base + REPORT_PATH) as resp:
                    if resp.status != 200:
                        return None  # of a target in trouble
                    report = msgspec.json.decode(
                        await _read_control(resp), type=_Report
                    )
        except _CONTROL_ERRORS:
            return None
        models = tuple(model.name for model in report.models)
        return EngineReport(id, report.born, report.kvTotal, models)

    async def accepts_connections(self, address: str) -> bool:
        """Return False if a target refuses connections, True if it may be running.

        An unreachable target counts as running: only a refusal shows that its
        process has ended.
        """
        try:
            _, writer = await self.open_connection(address)
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError, ValueError):
            return True
        writer.transport.abort()
        return True

    async def open_connection(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to a target.

        Raises `OSError`, `TimeoutError`, or `ValueError` if the address is none.
        """
        ip_and_port = parse_address(address)
        sock = create_socket((socket.AF_INET, socket.SOCK_STREAM, 0))
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(sock, ip_and_port)
            return await asyncio.open_connection(sock=sock)
        except BaseException:
            sock.close()
            raise

    async def reaches(self, address: str, via: HostEntry | None) -> bool:
        """Return whether a target accepts a connection, also through another host."""
        try:
            if via is None:
                _, writer = await self.open_connection(address)
                writer.transport.abort()
            else:
                sock, _ = await open_tunnel_socket(via.peers, address)
                sock.close()
        except (OSError, TimeoutError, ValueError, TunnelFailed):
            return False
        return True

    async def probe(self, address: str, timeout_s: float) -> bool:
        """Return whether a target answers within the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(f"http://{address}{REPORT_PATH}") as resp:
                    await _read_control(resp)
        except _CONTROL_ERRORS:
            return False
        return resp.status in FINAL_STATUSES
