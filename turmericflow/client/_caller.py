"""A caller's side of the HTTP interface."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from urllib.parse import quote

import aiohttp

from turmericflow.client._answer import (
    Answer,
    BadReply,
    EventReader,
    Token,
    parse_failure,
)
from turmericflow.verdict import ErrorCode, Failure, Verdict

CONNECT_TIMEOUT_S = 2.0
GIVE_UP_S = 30.0
IDLE_S = 4.0
RECONNECT_WAIT_S = 0.05
FULL_WAIT_S = 1.0

# Another router can answer these at once.
_ELSEWHERE = frozenset(
    {
        ErrorCode.NO_OWNER,
        ErrorCode.REPLACED,
        ErrorCode.STALE_VIEW,
        ErrorCode.STOPPING,
    }
)
# These pass with time.
_LATER = frozenset({ErrorCode.OVERLOADED, ErrorCode.RATE_LIMITED, ErrorCode.NO_TARGET})

OnToken = Callable[[Token], None]


@dataclass(slots=True, frozen=True)
class Access:
    """How a caller reaches the routers.

    Attributes
    ----------
    customer
        Name of the customer.
    key
        The customer's key, or None where none is asked for.
    tls
        Context of the connections, or None for plain ones.
    max_tries
        Deliberate tries of a request that is refused for a while.
    idle_s
        Silence after which another address is taken, in seconds.
    learns
        Whether further addresses are learned from the routers.
    """

    customer: str
    key: str | None = None
    tls: ssl.SSLContext | None = None
    max_tries: int = 1
    idle_s: float = IDLE_S
    learns: bool = False


@dataclass(slots=True, frozen=True)
class _Exchange:
    """One request as it is sent to an address."""

    method: str
    path: str
    key: str
    body: dict | None = None
    try_no: int = 1


class Caller:
    """Sends requests to any of several addresses.

    Parameters
    ----------
    session
        The HTTP session to use.
    addresses
        Entry addresses as ``IP:PORT``, the preferred one first.
    access
        How to reach them, or just the customer's name.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: list[str],
        access: Access | str,
    ) -> None:
        self._session = session
        self._addresses = list(addresses)
        self._access = Access(access) if isinstance(access, str) else access
        self._known_until = float("-inf")

    async def addresses(self) -> dict:
        """Return the addresses to use and how long to keep them.

        Raises
        ------
        BadReply
            If no address answers.
        """
        for _ in range(len(self._addresses)):
            url = self._url("/v1/addresses")
            try:
                async with self._session.get(url, **self._options()) as resp:
                    return await resp.json()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                self._next_address()
        raise BadReply(f"none of {', '.join(self._addresses)} answered")

    async def learn(self) -> None:
        """Learn the addresses to use, if what is known is no longer to be kept.

        Addresses that are no longer named are kept for the worst case.
        """
        if not self._access.learns or time.monotonic() < self._known_until:
            return
        try:
            found = await self.addresses()
            named, keep_s = list(found["addresses"]), float(found["keep_s"])
        except (BadReply, KeyError, TypeError, ValueError):
            return
        self._known_until = time.monotonic() + keep_s
        first = [each for each in self._addresses if each in named]
        last = [each for each in self._addresses if each not in named]
        others = [each for each in named if each not in first]
        self._addresses = [*first, *others, *last]

    async def generate(
        self,
        profile: str,
        prompt: str,
        key: str,
        max_tokens: int = 256,
        on_token: OnToken | None = None,
    ) -> Answer:
        """Run a generation to its end, over lost connections.

        Returns
        -------
        Answer
            The answer, with its failure if it was refused or failed.
        """
        body = {"profile": profile, "prompt": prompt, "max_tokens": max_tokens}
        return await self._run(_Exchange("POST", "/v1/generate", key, body), on_token)

    async def attach(
        self, key: str, last_id: str = "", on_token: OnToken | None = None
    ) -> Answer:
        """Receive the rest of a request that runs, or its recorded answer.

        Raises
        ------
        ValueError
            If ``last_id`` is out of form.
        """
        answer = Answer.from_last_id(last_id)
        exchange = _Exchange("GET", _request_path(key), key)
        return await self._run(exchange, on_token, answer)

    async def call(self, profile: str, payload: object, key: str) -> Answer:
        """Make a call to a plain service; the answer is one token."""
        body = {"profile": profile, "payload": payload}
        return await self._run(_Exchange("POST", "/v1/call", key, body))

    async def cancel(self, key: str) -> Answer:
        """Cancel a request; the answer's body says whether there was one."""
        return await self._run(_Exchange("DELETE", _request_path(key), key))

    async def _run(
        self,
        exchange: _Exchange,
        on_token: OnToken | None = None,
        answer: Answer | None = None,
    ) -> Answer:
        answer = answer or Answer()
        await self.learn()
        sent = False
        until = time.monotonic() + GIVE_UP_S
        while not answer.ended and time.monotonic() < until:
            before = len(answer.tokens)
            pause_s = RECONNECT_WAIT_S
            cause = "the connection ended"
            try:
                failure = await self._exchange(exchange, answer, on_token)
                if failure is not None:
                    exchange, pause_s = self._after(failure, exchange, answer)
                    cause = f"{failure.code}: {failure.message}"
            except aiohttp.ClientConnectorError as exc:
                cause = repr(exc)
            except (aiohttp.ClientError, OSError, ValueError, BadReply) as exc:
                sent = True
                cause = repr(exc)
            if len(answer.tokens) > before:
                until = time.monotonic() + GIVE_UP_S
            if not answer.ended:
                answer.reconnects += 1
                answer.lost_at.append(len(answer.tokens))
                answer.lost_by.append(cause)
                self._next_address()
                await asyncio.sleep(pause_s)
        if not answer.ended:
            verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
            message = f"got no end of the answer from any address for {GIVE_UP_S:g} s"
            answer.failure = Failure(ErrorCode.UNREACHABLE, verdict, message)
        return answer

    def _after(
        self, failure: Failure, exchange: _Exchange, answer: Answer
    ) -> tuple[_Exchange, float]:
        """Return what to send next and when, or end the answer."""
        wait_s = failure.retry_after_s or FULL_WAIT_S
        if failure.code in _ELSEWHERE:
            wait_s = RECONNECT_WAIT_S
        elif failure.code not in _LATER or exchange.try_no >= self._access.max_tries:
            answer.failure = failure
            return exchange, 0.0
        if failure.verdict is Verdict.NOT_RUN:
            exchange = replace(exchange, try_no=exchange.try_no + 1)
        return exchange, wait_s

    async def _exchange(
        self, exchange: _Exchange, answer: Answer, on_token: OnToken | None
    ) -> Failure | None:
        options = self._options()
        options["headers"].update(_headers(exchange, answer))
        url = self._url(exchange.path)
        async with self._session.request(
            exchange.method, url, json=exchange.body, **options
        ) as resp:
            if resp.status != 200:
                return parse_failure(await resp.json())
            if not resp.content_type.startswith("text/event-stream"):
                _take_whole(await resp.json(), answer)
                return None
            reader = EventReader(answer, on_token)
            async for line in resp.content:
                reader.feed(line)
                if answer.ended or reader.interrupted:
                    return reader.interrupted
        return None

    def _options(self) -> dict:
        headers = {"X-Customer": self._access.customer}
        if self._access.key is not None:
            headers["Authorization"] = f"Bearer {self._access.key}"
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=self._access.idle_s
        )
        return {"headers": headers, "timeout": timeout, "ssl": self._access.tls or True}

    def _url(self, path: str) -> str:
        scheme = "https" if self._access.tls else "http"
        return f"{scheme}://{self._addresses[0]}{path}"

    def _next_address(self) -> None:
        self._addresses.append(self._addresses.pop(0))


def _request_path(key: str) -> str:
    return f"/v1/requests/{quote(key, safe='')}"


def _headers(exchange: _Exchange, answer: Answer) -> dict[str, str]:
    headers = {}
    if exchange.method == "POST":
        headers["Idempotency-Key"] = exchange.key
        headers["X-Try"] = str(exchange.try_no)
    if answer.last_id:
        headers["Last-Event-ID"] = answer.last_id
    return headers


def _take_whole(body: object, answer: Answer) -> None:
    if not isinstance(body, dict):
        raise BadReply(f"got {type(body).__name__}, expected an object")
    answer.body = body
    if "text" in body and not answer.tokens:
        answer.tokens.append(Token(0, body["text"], time.monotonic()))
    answer.whole = True
