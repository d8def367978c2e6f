"""CURVE for pub-sub: the service's key on its sockets, and the ZAP handler that looks clients up (by pyzmq)."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import zmq.green as zmq
from zmq import auth
from zmq.auth.base import Authenticator
from zmq.utils import z85

DOMAIN = "hollyridge"


class GreenAuthenticator(Authenticator):
    """The library's authenticator on a socket that does not block the hub. `name_of(key)` becomes the user."""

    name_of: Callable[[str], str] = staticmethod(lambda key: key)

    def start(self) -> None:
        self.zap_socket = self.context.socket(zmq.REP)
        self.zap_socket.linger = 1
        self.zap_socket.bind("inproc://zeromq.zap.01")

    def curve_user_id(self, client_public_key: bytes) -> str:
        return self.name_of(z85.encode(client_public_key).decode())


class Curve:
    """`known(key)` says whether a client's public key (Z85) is let in, `name_of(key)` who that is. OSError or
    ValueError for a key file that is none."""

    def __init__(
        self, context: zmq.Context, path: str, known: Callable[[str], bool], name_of: Callable[[str], str]
    ) -> None:
        self.known = known
        self.load(path)
        self.authenticator = GreenAuthenticator(context=context)
        self.authenticator.name_of = name_of
        self.authenticator.start()
        self.authenticator.configure_curve_callback(domain=DOMAIN, credentials_provider=self)
        self.job = gevent.spawn(self.answer)

    def load(self, path: str) -> None:
        """Read the service's own key; sockets bound from now on use it."""
        public, secret = auth.load_certificate(path)
        if secret is None:
            raise ValueError(f"{path} holds no secret key")
        self.public, self.secret = public, secret

    def secure(self, sock) -> None:
        """Before a socket is bound."""
        sock.zap_domain = DOMAIN.encode()
        sock.curve_server = True
        sock.curve_publickey, sock.curve_secretkey = self.public, self.secret

    def callback(self, domain: str, key: bytes) -> bool:
        return self.known(key.decode())

    def answer(self) -> None:
        sock = self.authenticator.zap_socket
        while True:
            work = self.authenticator.handle_zap_message(sock.recv_multipart())
            try:  # the library's handler is a coroutine that waits for nothing here
                work.send(None)
            except StopIteration:
                pass

    def stop(self) -> None:
        self.job.kill(block=False)
        self.authenticator.stop()


def client_keys(public: bytes, secret: bytes, server: bytes) -> Callable:
    """What `Subscriber` wants as `keys`."""

    def secure(sock) -> None:
        sock.curve_publickey, sock.curve_secretkey, sock.curve_serverkey = public, secret, server

    return secure
