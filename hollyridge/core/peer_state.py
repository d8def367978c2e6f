"""State of the peer of a TCP connection that shows before the bytes that it sent have been read."""

from __future__ import annotations

import select
import socket

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, even if bytes from before are still unread.

    >>> ours, peer = socket.socketpair()
    >>> peer.sendall(b"request"), has_peer_closed(ours), peer.close(), has_peer_closed(ours)
    (None, False, None, True)
    """
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLRDHUP)
        events = poll.poll(0)
    except (OSError, ValueError):  # this side has closed the socket
        return True
    return any(event & CLOSED_EVENTS for _, event in events)
