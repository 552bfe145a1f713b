"""TLS contexts from certificate files."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol


class CertificateFiles(Protocol):
    """Paths of a host's certificate, its key and the routers' CA certificate."""

    cert: str
    key: str
    ca: str


@dataclass(slots=True, frozen=True)
class TlsContexts:
    """TLS contexts of one host.

    Attributes
    ----------
    entry
        For connections from callers.
    peer_server, peer_client
        For connections from and to other routers; both sides present a certificate
        signed by the CA.
    """

    entry: ssl.SSLContext
    peer_server: ssl.SSLContext
    peer_client: ssl.SSLContext

    def load_cert(self, files: CertificateFiles) -> None:
        """Load a certificate for all new connections."""
        for context in (self.entry, self.peer_server, self.peer_client):
            context.load_cert_chain(files.cert, files.key)


def load_contexts(files: CertificateFiles) -> TlsContexts:
    """Return TLS contexts built from a host's certificate files.

    Raises
    ------
    OSError
        If a file cannot be read, or the key does not match the certificate.
    """
    contexts = TlsContexts(
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
    )
    # The CA signs only routers' certificates, and a host's IP address may change.
    contexts.peer_client.check_hostname = False
    for context in (contexts.peer_server, contexts.peer_client):
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(files.ca)
    contexts.load_cert(files)
    return contexts


def modification_times(files: CertificateFiles) -> tuple[int, ...]:
    """Return when the certificate and the key were last modified, in nanoseconds."""
    return tuple(Path(path).stat().st_mtime_ns for path in (files.cert, files.key))
