"""TLS for SASP and OTLP."""

from __future__ import annotations

import ssl as plain
from typing import NamedTuple

from gevent import ssl


class TlsFiles(NamedTuple):
    """PEM files: the service's certificate chain and key, and the authority that signs clients."""

    certificate: str
    key: str
    clients: str


def context_of(files: TlsFiles) -> ssl.SSLContext:
    """OSError or ssl.SSLError where the files are not there or do not fit."""
    context = ssl.SSLContext(plain.PROTOCOL_TLS_SERVER)
    context.minimum_version = plain.TLSVersion.TLSv1_2
    context.verify_mode = plain.CERT_REQUIRED
    load(context, files)
    return context


def load(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Put keys into a context that may be in use already; tried on another first, so that faulty files change
    nothing."""
    trial = plain.SSLContext(plain.PROTOCOL_TLS_SERVER)
    trial.load_cert_chain(files.certificate, files.key)
    trial.load_verify_locations(files.clients)
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.clients)


def bearer_of(sock) -> str:
    """The common name of the other side's certificate; empty without one."""
    certificate = sock.getpeercert() if hasattr(sock, "getpeercert") else None
    for part in (certificate or {}).get("subject", ()):
        for key, value in part:
            if key == "commonName":
                return value
    return ""


def shake(sock, context: ssl.SSLContext, seconds: float):
    """The server's handshake; OSError (ssl.SSLError is one) where it fails or takes too long."""
    sock.settimeout(seconds)
    secure = context.wrap_socket(sock, server_side=True)
    secure.settimeout(None)
    return secure
