"""State of the peer of a TCP connection that shows before the bytes that it sent have been read."""

from __future__ import annotations

import select
import socket

from gevent.monkey import get_original

poll = get_original("select", "poll")  # gevent's own does not report that the peer has closed its side
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, even if bytes from before are still unread.

    >>> ours, peer = socket.socketpair()
    >>> peer.sendall(b"request"), has_peer_closed(ours), peer.close(), has_peer_closed(ours)
    (None, False, None, True)
    """
    poller = poll()
    try:
        poller.register(sock.fileno(), select.POLLRDHUP)
        events = poller.poll(0)
    except (OSError, ValueError):  # this side has closed the socket
        return True
    return any(event & CLOSED_EVENTS for _, event in events)
