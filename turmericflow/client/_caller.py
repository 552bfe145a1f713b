"""HTTP client for callers."""

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
PROGRESS_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 4.0
RECONNECT_DELAY_S = 0.05
DEFAULT_RETRY_AFTER_S = 1.0

# Another router may accept the request at once.
_RETRY_ELSEWHERE = frozenset(
    {
        ErrorCode.NO_OWNER,
        ErrorCode.REPLACED,
        ErrorCode.STALE_VIEW,
        ErrorCode.STOPPING,
    }
)
# Temporary refusals: retry after a delay.
_RETRY_LATER = frozenset(
    {ErrorCode.OVERLOADED, ErrorCode.RATE_LIMITED, ErrorCode.NO_TARGET}
)

OnToken = Callable[[Token], None]


@dataclass(slots=True, frozen=True)
class Access:
    """Credentials and connection settings for the routers.

    Attributes
    ----------
    customer
        Name of the customer.
    key
        The customer's key, or None if the routers require none.
    tls
        TLS context, or None for plain connections.
    max_tries
        Maximum number of tries of a request that is temporarily refused.
    idle_timeout_s
        Time without data before switching to the next address, in seconds.
    learn_addresses
        Whether to fetch further addresses from the routers.
    """

    customer: str
    key: str | None = None
    tls: ssl.SSLContext | None = None
    max_tries: int = 1
    idle_timeout_s: float = IDLE_TIMEOUT_S
    learn_addresses: bool = False


@dataclass(slots=True, frozen=True)
class _Request:
    """One HTTP request, independent of the address."""

    method: str
    path: str
    key: str
    body: dict | None = None
    try_no: int = 1


class Caller:
    """Client that fails over between several router addresses.

    Parameters
    ----------
    session
        HTTP session for all requests.
    addresses
        Router addresses as ``IP:PORT``, in order of preference.
    access
        Connection settings, or just the customer's name.
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
        self._addresses_expire_at = float("-inf")

    async def fetch_addresses(self) -> dict:
        """Fetch the addresses to use and how long they may be cached.

        Raises
        ------
        BadReply
            If no address replies.
        """
        for _ in range(len(self._addresses)):
            url = self._url("/v1/addresses")
            try:
                async with self._session.get(url, **self._options()) as resp:
                    return await resp.json()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                self._next_address()
        raise BadReply(f"none of {', '.join(self._addresses)} answered")

    async def refresh_addresses(self) -> None:
        """Fetch the addresses again if the cached ones have expired.

        Addresses that are no longer listed stay at the end of the list, as a
        last resort.
        """
        if (
            not self._access.learn_addresses
            or time.monotonic() < self._addresses_expire_at
        ):
            return
        try:
            reply = await self.fetch_addresses()
            listed, keep_s = list(reply["addresses"]), float(reply["keep_s"])
        except (BadReply, KeyError, TypeError, ValueError):
            return
        self._addresses_expire_at = time.monotonic() + keep_s
        first = [each for each in self._addresses if each in listed]
        last = [each for each in self._addresses if each not in listed]
        others = [each for each in listed if each not in first]
        self._addresses = [*first, *others, *last]

    async def generate(
        self,
        profile: str,
        prompt: str,
        key: str,
        max_tokens: int = 256,
        on_token: OnToken | None = None,
    ) -> Answer:
        """Run a generation to its end, reconnecting after lost connections.

        Returns
        -------
        Answer
            The answer; ``failure`` is set if the request was refused or failed.
        """
        body = {"profile": profile, "prompt": prompt, "max_tokens": max_tokens}
        return await self._run(_Request("POST", "/v1/generate", key, body), on_token)

    async def attach(
        self, key: str, last_event_id: str = "", on_token: OnToken | None = None
    ) -> Answer:
        """Receive the rest of a running request, or its recorded answer.

        Raises
        ------
        ValueError, IndexError
            If ``last_event_id`` is malformed.
        """
        answer = Answer.from_last_event_id(last_event_id)
        request = _Request("GET", _request_path(key), key)
        return await self._run(request, on_token, answer)

    async def call(self, profile: str, payload: object, key: str) -> Answer:
        """Call a plain service; the answer holds one token."""
        body = {"profile": profile, "payload": payload}
        return await self._run(_Request("POST", "/v1/call", key, body))

    async def cancel(self, key: str) -> Answer:
        """Cancel a request; the body says whether one was running."""
        return await self._run(_Request("DELETE", _request_path(key), key))

    async def _run(
        self,
        request: _Request,
        on_token: OnToken | None = None,
        answer: Answer | None = None,
    ) -> Answer:
        answer = answer or Answer()
        await self.refresh_addresses()
        may_have_run = False
        give_up_at = time.monotonic() + PROGRESS_TIMEOUT_S
        while not answer.ended and time.monotonic() < give_up_at:
            tokens_before = len(answer.tokens)
            delay_s = RECONNECT_DELAY_S
            cause = "connection closed"
            try:
                failure = await self._send(request, answer, on_token)
                if failure is not None:
                    request, delay_s = self._next_request(failure, request, answer)
                    cause = f"{failure.code}: {failure.message}"
            except aiohttp.ClientConnectorError as exc:
                cause = repr(exc)
            except (aiohttp.ClientError, OSError, ValueError, BadReply) as exc:
                may_have_run = True
                cause = repr(exc)
            if len(answer.tokens) > tokens_before:
                give_up_at = time.monotonic() + PROGRESS_TIMEOUT_S
            if not answer.ended:
                answer.reconnects += 1
                answer.tokens_at_reconnect.append(len(answer.tokens))
                answer.reconnect_causes.append(cause)
                self._next_address()
                await asyncio.sleep(delay_s)
        if not answer.ended:
            verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
            message = (
                "got no end of the answer from any address "
                f"for {PROGRESS_TIMEOUT_S:g} s"
            )
            answer.failure = Failure(ErrorCode.UNREACHABLE, verdict, message)
        return answer

    def _next_request(
        self, failure: Failure, request: _Request, answer: Answer
    ) -> tuple[_Request, float]:
        """Return the request to send next and the delay, or fail the answer."""
        delay_s = failure.retry_after_s or DEFAULT_RETRY_AFTER_S
        if failure.code in _RETRY_ELSEWHERE:
            delay_s = RECONNECT_DELAY_S
        elif (
            failure.code not in _RETRY_LATER or request.try_no >= self._access.max_tries
        ):
            answer.failure = failure
            return request, 0.0
        if failure.verdict is Verdict.NOT_RUN:
            request = replace(request, try_no=request.try_no + 1)
        return request, delay_s

    async def _send(
        self, request: _Request, answer: Answer, on_token: OnToken | None
    ) -> Failure | None:
        options = self._options()
        options["headers"].update(_headers(request, answer))
        url = self._url(request.path)
        async with self._session.request(
            request.method, url, json=request.body, **options
        ) as resp:
            if resp.status != 200:
                return parse_failure(await resp.json())
            if not resp.content_type.startswith("text/event-stream"):
                _apply_body(await resp.json(), answer)
                return None
            reader = EventReader(answer, on_token)
            async for line in resp.content:
                reader.feed(line)
                if answer.ended or reader.stream_failure:
                    return reader.stream_failure
        return None

    def _options(self) -> dict:
        headers = {"X-Customer": self._access.customer}
        if self._access.key is not None:
            headers["Authorization"] = f"Bearer {self._access.key}"
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self._access.idle_timeout_s,
        )
        return {"headers": headers, "timeout": timeout, "ssl": self._access.tls or True}

    def _url(self, path: str) -> str:
        scheme = "https" if self._access.tls else "http"
        return f"{scheme}://{self._addresses[0]}{path}"

    def _next_address(self) -> None:
        self._addresses.append(self._addresses.pop(0))


def _request_path(key: str) -> str:
    return f"/v1/requests/{quote(key, safe='')}"


def _headers(request: _Request, answer: Answer) -> dict[str, str]:
    headers = {}
    if request.method == "POST":
        headers["Idempotency-Key"] = request.key
        headers["X-Try"] = str(request.try_no)
    if answer.last_event_id:
        headers["Last-Event-ID"] = answer.last_event_id
    return headers


def _apply_body(body: object, answer: Answer) -> None:
    if not isinstance(body, dict):
        raise BadReply(f"got {type(body).__name__}, expected a JSON object")
    answer.body = body
    if "text" in body and not answer.tokens:
        answer.tokens.append(Token(0, body["text"], time.monotonic()))
    answer.whole = True
