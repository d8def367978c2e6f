"""Helpers for the tests of crossing events, which are events on real connections that race with each other.

The tests produce the unfavorable order every time instead of relying on chance: a stand-in delays, cuts or splits its
data at a chosen byte and waits for a stated event.
"""

from stand_ins import list_page, message, server

from hollyridge.resp.codec import FrameReader

TASKS = [f"s-{k}" for k in range(6)]
LIST = list_page(7, [server(name, k % 2) for k, name in enumerate(TASKS)])
ATTACH_FIELDS = {"locality": "khalda", "w": 5, "cold": 1}


def attach_message(node):
    return message("attach", node=node, **ATTACH_FIELDS)


def received_updates(sock):
    """Return the fields of each message until the connection is quiet; None if it was closed."""
    reader, updates = FrameReader(), []
    sock.settimeout(0.05)
    try:
        while chunk := sock.recv(65536):
            updates += [dict(zip(parts[1::2], parts[2::2])) for parts in reader.feed(chunk)]
    except TimeoutError:
        return updates
    except ConnectionError:
        pass
    return None
