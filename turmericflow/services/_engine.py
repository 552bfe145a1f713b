"""HTTP client of model engines, the only module that knows their interface."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import msgspec

from turmericflow._body_memory import (
    BodyMemory,
    BodyTooLong,
    OpenBody,
    read_bounded,
)
from turmericflow.cfg import Address
from turmericflow.services._body_polling import BodyPoller
from turmericflow.services._stats import Stats
from turmericflow.verdict import TargetFailed, Verdict

REFUSED_STATUSES = frozenset({409, 429, 503})
MAX_LINE_BYTES = 65_536  # of a stream; a line holds one token
MAX_STREAM_BYTES = 32_000_000  # a million tokens, the most that a caller may ask for
MAX_STREAMS_BYTES = 256_000_000  # of all streams that are read
MAX_REPORT_BYTES = 4_000_000  # all blocks of a prefix cache
MAX_REPORTS_BYTES = 64_000_000
MAX_MESSAGE_BYTES = 200  # of a failure, in messages
REPORT_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class StaleFence(TargetFailed):
    """Raised when an engine has accepted an order with a higher fencing token."""


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
    i: int = -1  # index of a token
    t: str = ""  # text of the token
    done: int = -1  # number of all tokens, in the last line
    error: str = ""  # failure reported by the engine, in the last line


class EngineLoad(msgspec.Struct):
    """Load report of a target; plain services report only ``running``."""

    running: int
    queued: int = 0
    slots: int = 1
    step_ms: float = 0.0
    prefill_tokens_s: float = 0.0
    models: list[str] = msgspec.field(default_factory=list)
    role: str = "any"


class CacheEvent(msgspec.Struct):
    """Insertion or eviction of a block in an engine's prefix cache."""

    seq: int
    op: str
    block: str


class CacheEvents(msgspec.Struct):
    """Cache events, and the number of the newest event."""

    seq: int
    events: list[CacheEvent]


@dataclass(slots=True, frozen=True)
class EngineOutput:
    """Consecutive tokens from index ``start``; ``done`` if the output ends."""

    start: int
    texts: list[str]
    done: bool


OnOutput = Callable[[EngineOutput], bool]  # returns False to stop reading

_DECODER = msgspec.json.Decoder(_OutputLine)


def _output_failure(message: str) -> TargetFailed:
    return TargetFailed(Verdict.MAY_HAVE_RUN, message)


def _parse(data: bytes, expected: int) -> EngineOutput:
    """Return the tokens of complete lines; the first index must be ``expected``."""
    texts: list[str] = []
    try:
        lines = _DECODER.decode_lines(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _output_failure(f"got an invalid line: {exc}") from exc
    for line in lines:
        if line.error:
            raise _output_failure(line.error)
        index = expected + len(texts)
        if line.done >= 0:
            if line.done != index:
                raise _output_failure(f"output ends at {line.done}, expected {index}")
            return EngineOutput(expected, texts, True)
        if line.i != index:
            raise _output_failure(f"got token {line.i}, expected {index}")
        texts.append(line.t)
    return EngineOutput(expected, texts, False)


class _LineParser:
    """Incremental parser that passes a body's output to ``on_output``.

    Attributes
    ----------
    ended
        Whether the output has ended, or no more of it is needed.
    """

    __slots__ = ("_next_index", "_partial_line", "_on_output", "_body", "ended")

    def __init__(self, expected: int, on_output: OnOutput, body: OpenBody) -> None:
        self._next_index = expected
        self._partial_line = b""
        self._on_output = on_output
        self._body = body
        self.ended = False

    def feed(self, data: bytes) -> bool:
        """Parse some bytes of the body; return whether to stop reading."""
        self._body.add(len(data))
        self._body.check()
        if self._partial_line:
            data = self._partial_line + data
        end = data.rfind(b"\n") + 1
        self._partial_line = data[end:]
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise _output_failure(f"got a line over {MAX_LINE_BYTES} bytes")
        if end:
            output = _parse(data[:end], self._next_index)
            self._next_index += len(output.texts)
            self.ended = not self._on_output(output) or output.done
        return self.ended


async def _read_message(resp: aiohttp.ClientResponse) -> str:
    """Return the first bytes of a failure's text that have arrived."""
    return (await resp.content.read(MAX_MESSAGE_BYTES)).decode(errors="replace")


def to_target_failure(exc: Exception) -> TargetFailed:
    """Return the `TargetFailed` for a client error while sending a request.

    Only a failed connection attempt proves that the request has not run.
    """
    match exc:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            return TargetFailed(Verdict.NOT_RUN, repr(exc), lost=True)
        case _:
            return TargetFailed(Verdict.MAY_HAVE_RUN, repr(exc), lost=True)


class EngineClient:
    """Run generations on engines, read their reports and send them orders."""

    __slots__ = (
        "_body_poller",
        "_report_memory",
        "_session",
        "_stats",
        "_stream_memory",
    )

    def __init__(
        self, session: aiohttp.ClientSession, stats: Stats | None = None
    ) -> None:
        self._session = session
        self._stats = stats
        self._body_poller = BodyPoller()
        self._report_memory = BodyMemory(MAX_REPORT_BYTES, MAX_REPORTS_BYTES)
        self._stream_memory = BodyMemory(MAX_STREAM_BYTES, MAX_STREAMS_BYTES)

    async def generate(
        self, address: Address, request: EngineRequest, on_output: OnOutput
    ) -> None:
        """Start or resume a generation and pass its output to ``on_output``.

        Parameters
        ----------
        address
            Address of the engine.
        request
            Prompt, prefix and limits of the generation.
        on_output
            Called with each part of the output; returns False to stop reading.

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
        """Pass the output of a running generation, from an index, to ``on_output``."""
        url = f"{address.url}/v1/streams/{generation}?from={start}"
        await self._stream("GET", url, None, start, on_output)

    async def cancel(self, address: Address, generation: str, attempt: int) -> None:
        """Cancel an attempt; errors are ignored."""
        url = f"{address.url}/v1/streams/{generation}?attempt={attempt}"
        try:
            async with self._session.delete(url):
                return
        except (aiohttp.ClientError, OSError):
            return

    async def fetch_load(self, address: Address) -> EngineLoad:
        """Return a target's load report, which may be out of date."""
        return await self._get(f"{address.url}/v1/load", EngineLoad)

    async def fetch_cache_events(self, address: Address, since: int) -> CacheEvents:
        """Return the cache events after number ``since``; some may be missing."""
        return await self._get(f"{address.url}/v1/cache?since={since}", CacheEvents)

    async def send_order(self, address: Address, fence: int, models: list[str]) -> None:
        """Order an engine to have exactly the given models loaded.

        Raises
        ------
        StaleFence
            If the engine has accepted an order of a later lease holder.
        TargetFailed
            If the engine cannot be reached or refuses.
        """
        url = f"{address.url}/v1/orders"
        body = msgspec.json.encode(_Order(fence, models))
        try:
            async with self._session.post(url, data=body) as resp:
                if resp.status == 409:
                    message = f"{url}: {await _read_message(resp)}"
                    raise StaleFence(Verdict.NOT_RUN, message)
                if resp.status != 200:
                    raise TargetFailed(Verdict.NOT_RUN, f"{url}: {resp.status}")
        except (aiohttp.ClientError, OSError) as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, f"{url}: {exc!r}") from exc

    async def _get(self, url: str, kind: type):
        try:
            async with self._session.get(url, timeout=REPORT_TIMEOUT) as resp:
                chunks = resp.content.iter_any()
                raw = await read_bounded(chunks, self._report_memory)
                if self._stats is not None:
                    self._stats.count("reports.polls")
                    self._stats.count("reports.bytes_in", len(raw))
                if resp.status != 200:
                    raise TargetFailed(Verdict.NOT_RUN, f"{url}: {resp.status}")
                return msgspec.json.decode(raw, type=kind)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise TargetFailed(Verdict.NOT_RUN, f"{url}: {exc!r}") from exc
        except (msgspec.DecodeError, BodyTooLong) as exc:
            raise TargetFailed(Verdict.NOT_RUN, f"{url}: {exc}") from exc

    async def _stream(
        self, method: str, url: str, body: bytes | None, start: int, on_output: OnOutput
    ) -> None:
        with self._stream_memory.open() as held:
            parser = _LineParser(start, on_output, held)
            try:
                async with self._session.request(method, url, data=body) as resp:
                    if resp.status != 200:
                        refused = resp.status in REFUSED_STATUSES
                        verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
                        message = f"{resp.status}: {await _read_message(resp)}"
                        raise TargetFailed(verdict, message)
                    await self._body_poller.read(resp.content, parser.feed)
            except BodyTooLong as exc:
                raise _output_failure(str(exc)) from exc
            except (aiohttp.ClientError, OSError) as exc:
                raise to_target_failure(exc) from exc
        if not parser.ended:
            message = "stream ended before the output did"
            raise TargetFailed(Verdict.MAY_HAVE_RUN, message, lost=True)
