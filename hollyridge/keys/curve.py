"""CURVE security for CHP: the server key on its sockets, and the ZAP handler that authenticates clients with pyzmq."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent
import zmq.green as zmq
from zmq import auth
from zmq.auth.base import Authenticator
from zmq.utils import z85

from hollyridge.errors import HollyridgeError

DOMAIN = "hollyridge"  # ZAP domain of the service's sockets
ZAP_ENDPOINT = "inproc://zeromq.zap.01"  # fixed by RFC 27


class CurveKeyError(HollyridgeError, ValueError):
    """A key file contains no secret key."""


class GreenAuthenticator(Authenticator):
    """Authenticator of pyzmq with a socket that does not block the event loop.

    Attributes:
        principal_name: Function that returns the name of the principal with a public key (Z85). The name becomes the
            user id of the client's messages.
    """

    principal_name: Callable[[str], str] = staticmethod(lambda key: key)

    def start(self) -> None:
        """Bind the ZAP socket."""
        self.zap_socket = self.context.socket(zmq.REP)
        self.zap_socket.linger = 1
        self.zap_socket.bind(ZAP_ENDPOINT)

    def curve_user_id(self, client_public_key: bytes) -> str:
        """Return the user id of a client; called by pyzmq."""
        return self.principal_name(z85.encode(client_public_key).decode())


class Curve:
    """CURVE key of the service, and the greenlet that handles ZAP requests.

    Args:
        context: Context of the sockets to secure.
        path: File with the service's key pair.
        is_known: Function that returns whether a client with a public key (Z85) is admitted.
        principal_name: Function that returns the name of the principal with a public key (Z85).

    Raises:
        OSError: The key file cannot be read.
        ValueError: The file is not a key file, or contains no secret key.
    """

    def __init__(
        self, context: zmq.Context, path: str, is_known: Callable[[str], bool], principal_name: Callable[[str], str]
    ) -> None:
        self.is_known = is_known
        self.load(path)
        self.authenticator = GreenAuthenticator(context=context)
        self.authenticator.principal_name = principal_name
        self.authenticator.start()
        self.authenticator.configure_curve_callback(domain=DOMAIN, credentials_provider=self)
        self.greenlet = gevent.spawn(self.handle_requests)

    def load(self, path: str) -> None:
        """Load the service's key, which is set on sockets that are secured from now on."""
        public, secret = auth.load_certificate(path)
        if secret is None:
            raise CurveKeyError(f"key file {path} contains no secret key")
        self.public = public
        self.secret = secret

    def secure(self, sock: zmq.Socket) -> None:
        """Set the key on a server socket; must be called before the socket is bound."""
        sock.zap_domain = DOMAIN.encode()
        sock.curve_server = True
        sock.curve_publickey = self.public
        sock.curve_secretkey = self.secret

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client is admitted; called by pyzmq as its credentials provider."""
        return self.is_known(key.decode())

    def handle_requests(self) -> None:
        """Handle ZAP requests; runs until it is killed."""
        sock = self.authenticator.zap_socket
        while True:
            handling = self.authenticator.handle_zap_message(sock.recv_multipart())
            # The handler of pyzmq is a coroutine that awaits nothing here, so that one step completes it.
            with contextlib.suppress(StopIteration):
                handling.send(None)

    def stop(self) -> None:
        """Stop the greenlet and close the ZAP socket."""
        self.greenlet.kill(block=False)
        self.authenticator.stop()


def client_keys(public: bytes, secret: bytes, server: bytes) -> Callable[[zmq.Socket], None]:
    """Return a function for `Subscriber` that sets a client's key pair and the server's public key on a socket."""

    def secure(sock: zmq.Socket) -> None:
        sock.curve_publickey = public
        sock.curve_secretkey = secret
        sock.curve_serverkey = server

    return secure
