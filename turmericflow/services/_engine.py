"""How a model engine speaks: the only module that knows its HTTP interface."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import msgspec

from turmericflow.cfg import Address
from turmericflow.services._feeds import Feeds
from turmericflow.services._stats import Stats
from turmericflow.verdict import TargetFailed, Verdict

REFUSED_STATUSES = frozenset({409, 429, 503})
REPORT_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class StaleFence(TargetFailed):
    """Raised when an engine has obeyed an order with a higher fencing number."""


class _Order(msgspec.Struct):
    fence: int
    models: list[str]
    role: str = "any"


class EngineRequest(msgspec.Struct, omit_defaults=True):
    """Body of ``POST /v1/generate``."""

    generation: str
    attempt: int
    prompt: str
    prefix: list[str]
    max_tokens: int
    priority: int
    model: str
    adapter: str
    version: str


class _OutputLine(msgspec.Struct):
    i: int = -1
    t: str = ""
    done: int = -1
    error: str = ""


class EngineLoad(msgspec.Struct):
    """Load report of a target; plain services report ``running`` alone."""

    running: int
    queued: int = 0
    slots: int = 1
    step_ms: float = 0.0
    prefill_tokens_s: float = 0.0
    models: list[str] = msgspec.field(default_factory=list)
    role: str = "any"


class CacheEvent(msgspec.Struct):
    """A block that came into an engine's prefix cache or was dropped."""

    seq: int
    op: str
    block: str


class CacheEvents(msgspec.Struct):
    """Cache events, and the number of the newest one."""

    seq: int
    events: list[CacheEvent]


@dataclass(slots=True, frozen=True)
class EngineOutput:
    """Some consecutive tokens, and whether the output ends with them."""

    start: int
    texts: list[str]
    done: bool


OnOutput = Callable[[EngineOutput], bool]

_DECODER = msgspec.json.Decoder(_OutputLine)


def _invalid_output(message: str) -> TargetFailed:
    return TargetFailed(Verdict.MAY_HAVE_RUN, message)


def _parse(data: bytes, expected: int) -> EngineOutput:
    """Return the tokens of whole lines, the first of which is ``expected``."""
    texts: list[str] = []
    try:
        lines = _DECODER.decode_lines(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _invalid_output(f"got an invalid line: {exc}") from exc
    for line in lines:
        if line.error:
            raise _invalid_output(line.error)
        index = expected + len(texts)
        if line.done >= 0:
            if line.done != index:
                raise _invalid_output(f"output ends at {line.done}, expected {index}")
            return EngineOutput(expected, texts, True)
        if line.i != index:
            raise _invalid_output(f"got token {line.i}, expected {index}")
        texts.append(line.t)
    return EngineOutput(expected, texts, False)


class _LineParser:
    """Turns the bytes of a body into output and hands it on.

    Attributes
    ----------
    ended
        Whether the output has ended, or is needed no more.
    """

    __slots__ = ("_next_index", "_partial_line", "_on_output", "ended")

    def __init__(self, expected: int, on_output: OnOutput) -> None:
        self._next_index = expected
        self._partial_line = b""
        self._on_output = on_output
        self.ended = False

    def feed(self, data: bytes) -> bool:
        """Take bytes in; return whether the output has ended."""
        if self._partial_line:
            data = self._partial_line + data
        end = data.rfind(b"\n") + 1
        self._partial_line = data[end:]
        if end:
            output = _parse(data[:end], self._next_index)
            self._next_index += len(output.texts)
            self.ended = not self._on_output(output) or output.done
        return self.ended


def to_target_failure(exc: Exception) -> TargetFailed:
    """Return what a client error says of a request that was being sent."""
    match exc:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            return TargetFailed(Verdict.NOT_RUN, repr(exc), lost=True)
        case _:
            return TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc), lost=True)


class EngineClient:
    """Client of the engines' HTTP interface."""

    __slots__ = ("_feeds", "_session", "_stats")

    def __init__(
        self, session: aiohttp.ClientSession, stats: Stats | None = None
    ) -> None:
        self._session = session
        self._stats = stats
        self._feeds = Feeds()

    async def generate(
        self, address: Address, request: EngineRequest, on_output: OnOutput
    ) -> None:
        """Start or resume a generation and hand its output to ``on_output``.

        Parameters
        ----------
        address
            Where the engine listens.
        request
            What it is to generate.
        on_output
            Called with the output as it comes; returns False when it needs no
            more.

        Raises
        ------
        TargetFailed
            If the engine refuses, or is lost before the output ends.
        """
        url = f"{address.url}/v1/generate"
        body = msgspec.json.encode(request)
        await self._stream("POST", url, body, len(request.prefix), on_output)

    async def attach(
        self, address: Address, generation: str, start: int, on_output: OnOutput
    ) -> None:
        """Hand on the output of a running generation from an index on."""
        url = f"{address.url}/v1/streams/{generation}?from={start}"
        await self._stream("GET", url, None, start, on_output)

    async def cancel(self, address: Address, generation: str, attempt: int) -> None:
        """Cancel an attempt; an engine that cannot be reached is left alone."""
        url = f"{address.url}/v1/streams/{generation}?attempt={attempt}"
        try:
            async with self._session.delete(url):
                return
        except (aiohttp.ClientError, OSError):
            return

    async def fetch_load(self, address: Address) -> EngineLoad:
        """Return a target's load report, which lags."""
        return await self._get(f"{address.url}/v1/load", EngineLoad)

    async def fetch_cache_events(self, address: Address, since: int) -> CacheEvents:
        """Return the cache events after a number; some may be missing."""
        return await self._get(f"{address.url}/v1/cache?since={since}", CacheEvents)

    async def send_order(self, address: Address, fence: int, models: list[str]) -> None:
        """Tell an engine what it is to have loaded in the end.

        Raises
        ------
        StaleFence
            If the engine has obeyed a later holder of the lease.
        TargetFailed
            If it cannot be reached or refuses.
        """
        url = f"{address.url}/v1/orders"
        body = msgspec.json.encode(_Order(fence, models))
        try:
            async with self._session.post(url, data=body) as resp:
                if resp.status == 409:
                    raise StaleFence(Verdict.NOT_RUN, f"{url}: {await resp.text()}")
                if resp.status != 200:
                    raise TargetFailed(Verdict.NOT_RUN, f"{url}: {resp.status}")
        except (aiohttp.ClientError, OSError) as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, f"{url}: {exc!r}") from exc

    async def _get(self, url: str, kind: type):
        try:
            async with self._session.get(url, timeout=REPORT_TIMEOUT) as resp:
                raw = await resp.read()
                if self._stats is not None:
                    self._stats.count("reports.polls")
                    self._stats.count("reports.bytes_in", len(raw))
                if resp.status != 200:
                    raise TargetFailed(Verdict.NOT_RUN, f"{url}: {resp.status}")
                return msgspec.json.decode(raw, type=kind)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise TargetFailed(Verdict.NOT_RUN, f"{url}: {exc!r}") from exc
        except msgspec.DecodeError as exc:
            raise TargetFailed(Verdict.NOT_RUN, f"{url}: {exc}") from exc

    async def _stream(
        self, method: str, url: str, body: bytes | None, start: int, on_output: OnOutput
    ) -> None:
        parser = _LineParser(start, on_output)
        try:
            async with self._session.request(method, url, data=body) as resp:
                if resp.status != 200:
                    text = await resp.text(errors="replace")
                    refused = resp.status in REFUSED_STATUSES
                    verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
                    raise TargetFailed(verdict, f"{resp.status}: {text[:200]}")
                await self._feeds.read(resp.content, parser.feed)
        except (aiohttp.ClientError, OSError) as exc:
            raise to_target_failure(exc) from exc
        if not parser.ended:
            message = "stream ended before the output did"
            raise TargetFailed(Verdict.MAY_HAVE_RUN, message, lost=True)
