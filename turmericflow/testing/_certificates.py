"""Certificate authority that issues certificates for tests."""

from __future__ import annotations

import datetime
import ipaddress
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALIDITY = datetime.timedelta(days=1)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(subject: str, issuer: str, key, serial: int) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(serial)
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
    )


@dataclass(slots=True)
class Authority:
    """A certificate authority that writes certificates to a folder."""

    folder: Path
    name: str
    key: ec.EllipticCurvePrivateKey

    @classmethod
    def create(cls, folder: Path, name: str = "routers") -> Authority:
        """Create an authority and write its certificate to ``NAME-ca.pem``."""
        key = ec.generate_private_key(ec.SECP256R1())
        constraints = x509.BasicConstraints(ca=True, path_length=0)
        builder = _builder(name, name, key, 1).add_extension(constraints, critical=True)
        cert = builder.sign(key, hashes.SHA256())
        authority = cls(folder, name, key)
        pem = cert.public_bytes(serialization.Encoding.PEM)
        authority.ca.write_bytes(pem)
        return authority

    @property
    def ca(self) -> Path:
        """Path of the authority's certificate."""
        return self.folder / f"{self.name}-ca.pem"

    def issue(self, name: str, ips: list[str], serial: int) -> dict[str, str]:
        """Write a certificate and its key; return a daemon's ``tls`` settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = [x509.IPAddress(ipaddress.ip_address(ip)) for ip in ips]
        builder = _builder(name, self.name, key, serial).add_extension(
            x509.SubjectAlternativeName(names), critical=False
        )
        cert = builder.sign(self.key, hashes.SHA256())
        files = {
            "cert": self.folder / f"{name}.pem",
            "key": self.folder / f"{name}.key",
        }
        secret = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        files["key"].write_bytes(secret)
        files["cert"].write_bytes(cert.public_bytes(serialization.Encoding.PEM))
        paths = {field: str(path) for field, path in files.items()}
        return paths | {"ca": str(self.ca)}
