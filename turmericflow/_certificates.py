"""TLS contexts built from certificate files."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol


class CertificateFiles(Protocol):
    """Where a host's certificate, its key and the routers' authority are."""

    cert: str
    key: str
    ca: str


@dataclass(slots=True, frozen=True)
class TlsContexts:
    """TLS contexts of one host.

    Attributes
    ----------
    entry
        For callers' connections.
    peer_server, peer_client
        For routers' connections, coming in and going out; each side shows a
        certificate that the authority has signed.
    """

    entry: ssl.SSLContext
    peer_server: ssl.SSLContext
    peer_client: ssl.SSLContext

    def load_cert(self, files: CertificateFiles) -> None:
        """Use a certificate for all new connections."""
        for context in (self.entry, self.peer_server, self.peer_client):
            context.load_cert_chain(files.cert, files.key)


def load_contexts(files: CertificateFiles) -> TlsContexts:
    """Build the contexts.

    Raises
    ------
    OSError
        If a file cannot be read, or the key does not fit the certificate.
    """
    contexts = TlsContexts(
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
    )
    # The authority signs routers only, and a host's IP number may change.
    contexts.peer_client.check_hostname = False
    for context in (contexts.peer_server, contexts.peer_client):
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(files.ca)
    contexts.load_cert(files)
    return contexts


def modification_times(files: CertificateFiles) -> tuple[int, ...]:
    """Return when the files were last changed."""
    return tuple(Path(each).stat().st_mtime_ns for each in (files.cert, files.key))
