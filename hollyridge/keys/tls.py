"""TLS contexts and handshakes for SASP and OTLP."""

from __future__ import annotations

import ssl as standard_ssl
from typing import NamedTuple

from gevent import socket, ssl


class TlsFiles(NamedTuple):
    """Paths of PEM files: the service's certificate chain and key, and the authority that signs client certificates."""

    certificate: str
    key: str
    clients: str


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that requires client certificates.

    Raises:
        OSError: A file is missing or invalid (ssl.SSLError is an OSError).
    """
    context = ssl.SSLContext(standard_ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = standard_ssl.TLSVersion.TLSv1_2
    context.verify_mode = standard_ssl.CERT_REQUIRED
    load_keys(context, files)
    return context


def load_keys(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load keys into a context that may be in use.

    The files are first loaded into another context, so that invalid files leave this one unchanged.

    Raises:
        OSError: A file is missing or invalid (ssl.SSLError is an OSError).
    """
    trial = standard_ssl.SSLContext(standard_ssl.PROTOCOL_TLS_SERVER)
    trial.load_cert_chain(files.certificate, files.key)
    trial.load_verify_locations(files.clients)
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.clients)


def peer_common_name(sock: socket.socket) -> str:
    """Return the common name of the client's certificate; empty if the connection does not use TLS."""
    certificate = sock.getpeercert() if hasattr(sock, "getpeercert") else None
    for relative_name in (certificate or {}).get("subject", ()):
        for attribute, value in relative_name:
            if attribute == "commonName":
                return value
    return ""


def server_handshake(sock: socket.socket, context: ssl.SSLContext, timeout_s: float) -> ssl.SSLSocket:
    """Perform the handshake on an accepted connection and return the TLS socket.

    Raises:
        OSError: The handshake failed or took longer than `timeout_s` (ssl.SSLError is an OSError).
    """
    sock.settimeout(timeout_s)
    secured = context.wrap_socket(sock, server_side=True)
    secured.settimeout(None)
    return secured
