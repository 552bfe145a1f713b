"""TLS of connections to callers and routers, with certificate reload."""

from __future__ import annotations

import structlog
from mode import Service

from turmericflow._certificates import TlsContexts, load_contexts, modification_times
from turmericflow.cfg import Settings, TlsSettings
from turmericflow.services._stats import Stats

log = structlog.get_logger()


class Tls(Service):
    """Reload certificates whose files have changed, without a restart.

    Attributes
    ----------
    contexts
        The TLS contexts in use.
    """

    def __init__(self, files: TlsSettings, stats: Stats) -> None:
        super().__init__()
        self._files = files
        self._stats = stats
        self._loaded_mtimes = modification_times(files)
        self._failed_mtimes: tuple[int, ...] = ()
        self.contexts: TlsContexts = load_contexts(files)

    @classmethod
    def from_settings(cls, settings: Settings, stats: Stats) -> Tls | None:
        """Create from a daemon's settings; return None if they set no TLS files."""
        return None if settings.tls is None else cls(settings.tls, stats)

    @Service.task
    async def _watch_files(self) -> None:
        while not self.should_stop:
            await self.sleep(self._files.reload_s)
            self._reload()

    def _reload(self) -> None:
        mtimes = self._loaded_mtimes
        try:
            mtimes = modification_times(self._files)
            if mtimes in (self._loaded_mtimes, self._failed_mtimes):
                return
            # Load into new contexts first: a key that does not match its certificate
            # must not reach the contexts in use.
            load_contexts(self._files)
            self.contexts.load_cert(self._files)
        except OSError as exc:
            self._stats.count("tls.reload_failed")
            if mtimes != self._failed_mtimes:
                log.warning("tls_reload_failed", cert=self._files.cert, error=str(exc))
            self._failed_mtimes = mtimes
            return
        self._loaded_mtimes = mtimes
        self._stats.count("tls.reloaded")
        log.info("tls_reloaded", cert=self._files.cert)
