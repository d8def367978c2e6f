"""CURVE for CHP: the service's key on its sockets, and the ZAP handler that admits clients (pyzmq's authenticator)."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent
import zmq.green as zmq
from zmq import auth
from zmq.auth.base import Authenticator
from zmq.utils import z85

from hollyridge.errors import HollyridgeError

DOMAIN = "hollyridge"  # the ZAP domain of the service's sockets
ZAP_ENDPOINT = "inproc://zeromq.zap.01"  # fixed by RFC 27


class CurveKeyError(HollyridgeError, ValueError):
    """A key file holds no secret key."""


class GreenAuthenticator(Authenticator):
    """pyzmq's authenticator on a socket that does not block the event loop.

    Attributes:
        name_of: Name of the principal by public key (Z85); it becomes the user id of the client's messages.
    """

    name_of: Callable[[str], str] = staticmethod(lambda key: key)

    def start(self) -> None:
        """Bind the ZAP socket."""
        self.zap_socket = self.context.socket(zmq.REP)
        self.zap_socket.linger = 1
        self.zap_socket.bind(ZAP_ENDPOINT)

    def curve_user_id(self, client_public_key: bytes) -> str:
        """The user id of a client; called by pyzmq."""
        return self.name_of(z85.encode(client_public_key).decode())


class Curve:
    """The service's CURVE key and the greenlet that answers ZAP requests.

    Args:
        context: Of the sockets that are to be secured.
        path: File with the service's key pair.
        known: Whether a client's public key (Z85) is admitted.
        name_of: Name of the principal by public key (Z85).

    Raises:
        OSError: The key file cannot be read.
        ValueError: It is not a key file, or holds no secret key.
    """

    def __init__(
        self, context: zmq.Context, path: str, known: Callable[[str], bool], name_of: Callable[[str], str]
    ) -> None:
        self.known = known
        self.load(path)
        self.authenticator = GreenAuthenticator(context=context)
        self.authenticator.name_of = name_of
        self.authenticator.start()
        self.authenticator.configure_curve_callback(domain=DOMAIN, credentials_provider=self)
        self.greenlet = gevent.spawn(self.answer_requests)

    def load(self, path: str) -> None:
        """Read the service's own key; sockets bound from now on use it."""
        public, secret = auth.load_certificate(path)
        if secret is None:
            raise CurveKeyError(f"{path} holds no secret key")
        self.public = public
        self.secret = secret

    def secure(self, sock: zmq.Socket) -> None:
        """Set the key on a server socket; to be called before it is bound."""
        sock.zap_domain = DOMAIN.encode()
        sock.curve_server = True
        sock.curve_publickey = self.public
        sock.curve_secretkey = self.secret

    def callback(self, domain: str, key: bytes) -> bool:
        """Whether a client is admitted; called by pyzmq as its credentials provider."""
        return self.known(key.decode())

    def answer_requests(self) -> None:
        """Answer ZAP requests; blocks for ever."""
        sock = self.authenticator.zap_socket
        while True:
            handling = self.authenticator.handle_zap_message(sock.recv_multipart())
            # pyzmq's handler is a coroutine, but awaits nothing here: one step completes it.
            with contextlib.suppress(StopIteration):
                handling.send(None)

    def stop(self) -> None:
        """End the greenlet and close the ZAP socket."""
        self.greenlet.kill(block=False)
        self.authenticator.stop()


def client_keys(public: bytes, secret: bytes, server: bytes) -> Callable[[zmq.Socket], None]:
    """A function that sets a client's key pair and the server's public key on a socket, as `Subscriber` takes it."""

    def secure(sock: zmq.Socket) -> None:
        sock.curve_publickey = public
        sock.curve_secretkey = secret
        sock.curve_serverkey = server

    return secure
