"""What the tests of crossing events share.

Two events that cross, in the bad order every time, over real connections: a stand-in holds back, cuts or sends in
pieces at a chosen byte and waits for a stated event; nothing rests on luck.
"""

from stand_ins import message, page, server

from hollyridge.resp.codec import FrameReader

TASKS = [f"s-{k}" for k in range(6)]
LIST = page(7, [server(name, k % 2) for k, name in enumerate(TASKS)])
ATTACH_FIELDS = {"locality": "khalda", "w": 5, "cold": 1}


def attach_message(node):
    return message("attach", node=node, **ATTACH_FIELDS)


def received_orders(sock):
    """Messages of a connection until it is quiet, as fields; None where it was closed."""
    reader, found = FrameReader(), []
    sock.settimeout(0.05)
    try:
        while chunk := sock.recv(65536):
            found += [dict(zip(one[1::2], one[2::2])) for one in reader.feed(chunk)]
    except TimeoutError:
        return found
    except ConnectionError:
        pass
    return None
