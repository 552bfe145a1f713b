"""HTTP interface for callers."""

from __future__ import annotations

import hashlib
import secrets
import time
from random import Random
from typing import Annotated

import msgspec
import structlog
from aiohttp import web
from mode import Service

from turmericflow._certificates import TlsContexts
from turmericflow.cfg import Settings
from turmericflow.profile import Profile, ProfileKind, is_valid_name
from turmericflow.services._answer import start_after, stream_answer, whole_answer
from turmericflow.services._auth import authenticate, is_allowed
from turmericflow.services._claimant import NewRequest
from turmericflow.services._headers import read_header, read_try
from turmericflow.services._http import error_middleware, http_logger, read_body
from turmericflow.services._peers import Peers
from turmericflow.services._request_routes import RequestRoutes
from turmericflow.services._runner import Runner
from turmericflow.services._stats import Stats
from turmericflow.systems import addresses, status
from turmericflow.tables import RequestId, Tables
from turmericflow.verdict import (
    HTTP_STATUS,
    ErrorCode,
    Failure,
    RequestFailed,
    Verdict,
    not_run,
)

MAX_TOKENS = 1_000_000
KEEP_ALIVE_TIMEOUT_S = 75.0
UNDECLARED_SERVICE = "unknown"

SHUTDOWN_TIMEOUT_S = 86_400.0  # running answers are not cut off


class GenerateBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/generate``."""

    profile: Annotated[str, msgspec.Meta(max_length=63)]
    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] = 256
    stream: bool = True


class CallerHandler(Service):
    """Serve the HTTP interface for callers."""

    def __init__(
        self,
        settings: Settings,
        tables: Tables,
        runner: Runner,
        stats: Stats,
        tls: TlsContexts | None = None,
        peers: Peers | None = None,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._tls = tls
        self._settings = settings
        self._tables = tables
        self._runner = runner
        self._stats = stats
        self._app_runner: web.AppRunner | None = None
        self._rng = Random()

    def app(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[error_middleware(self._stats)],
        )
        app.router.add_get("/v1/addresses", self._addresses)
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/config", self._config)
        app.router.add_post("/v1/generate", self._generate)
        if self._peers is not None:
            routes = RequestRoutes(
                self._tables, self._runner, self._peers, self._find_profile
            )
            routes.add_to(app)
        return app

    async def on_start(self) -> None:
        app = self.app()
        self._app_runner = web.AppRunner(
            app,
            access_log=None,
            logger=http_logger(self._stats),
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            handler_cancellation=True,
        )
        await self._app_runner.setup()
        address = self._settings.entry
        tls = self._tls and self._tls.entry
        await web.TCPSite(
            self._app_runner, address.ip, address.port, ssl_context=tls
        ).start()

    async def on_stop(self) -> None:
        await self._app_runner.cleanup()

    async def _addresses(self, request: web.Request) -> web.Response:
        data_centre = request.query.get("data_centre", self._tables.data_centre)
        found = addresses.order_for_caller(
            self._tables, self._settings.entry, data_centre, self._rng
        )
        return web.json_response(
            {
                "addresses": [str(address) for address in found],
                "keep_s": self._settings.addresses_keep_s,
            }
        )

    async def _status(self, request: web.Request) -> web.Response:
        if not is_allowed(request, self._settings.operator_key_hashes):
            ready = status.is_ready(self._tables)
            return web.json_response({"host": self._tables.host, "ready": ready})
        entry, now = str(self._settings.entry), time.monotonic()
        found = status.describe(self._tables, entry, self._stats.counts, now)
        return web.Response(
            body=msgspec.json.encode(found), content_type="application/json"
        )

    async def _config(self, request: web.Request) -> web.Response:
        if not is_allowed(request, self._settings.operator_key_hashes):
            message = "Authorization: expected an operator's key"
            raise not_run(ErrorCode.UNAUTHORIZED, message)
        return web.json_response({"objects": status.declarations(self._tables)})

    async def stop_listening(self) -> None:
        """Stop accepting connections, for a planned stop.

        Once `Tables.stopping` is set, a generation requested on an open
        connection gets no response: the connection is closed, and the caller
        repeats the request elsewhere with the same key.
        """
        for site in list(self._app_runner.sites):
            await site.stop()

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        if self._tables.stopping and request.transport is not None:
            self._stats.count("entry.closed")
            request.transport.abort()
            return web.Response(status=HTTP_STATUS[ErrorCode.STOPPING])
        customer = authenticate(request, self._tables)
        key = read_header(request.headers, "Idempotency-Key")
        last_id = read_header(request.headers, "Last-Event-ID")
        try_no = read_try(request)
        raw, body = await read_body(request, GenerateBody)
        profile, refusal = self._find_profile(body.profile, ProfileKind.GENERATION)
        refusal = refusal or _refusal(profile, body)
        if key is None and refusal is None and not profile.idempotent:
            message = f"Idempotency-Key: got none, profile {profile.name!r} expects one"
            raise not_run(ErrorCode.KEY_REQUIRED, message)
        new = NewRequest(
            RequestId(customer.name, key or secrets.token_hex(16)),
            profile,
            body.prompt,
            body.max_tokens,
            raw,
            hashlib.sha256(raw).hexdigest(),
            try_no,
            bool(key),
        )
        structlog.contextvars.bind_contextvars(
            customer=customer.name, request=new.request_id.key
        )
        row = await self._runner.submit(new, refusal)
        self._stats.count("entry.accepted")
        if not body.stream:
            return await whole_answer(row)
        return await stream_answer(request, row, start_after(last_id, row))

    def _find_profile(
        self, name: str, kind: ProfileKind
    ) -> tuple[Profile, Failure | None]:
        """Return a declared profile, or a placeholder and the reason to refuse."""
        profile = self._tables.config.profiles.get(name)
        if profile is not None and profile.kind is kind:
            return profile, None
        message = f"profile: got {name!r}, expected a declared profile of kind {kind}"
        refusal = Failure(ErrorCode.UNKNOWN_PROFILE, Verdict.NOT_RUN, message)
        if not is_valid_name(name):
            raise RequestFailed(refusal)
        # Another router may have the profile already, so the refusal is sealed.
        return Profile(name, UNDECLARED_SERVICE, kind, idempotent=False), refusal


def _refusal(profile: Profile, body: GenerateBody) -> Failure | None:
    if profile.retired:
        message = f"profile: got {profile.name!r}, which is retired"
        return Failure(ErrorCode.RETIRED, Verdict.NOT_RUN, message)
    if body.max_tokens > profile.max_tokens:
        message = (
            f"max_tokens: got {body.max_tokens}, expected 1 to {profile.max_tokens}"
        )
        return Failure(ErrorCode.BAD_REQUEST, Verdict.NOT_RUN, message)
    return None
