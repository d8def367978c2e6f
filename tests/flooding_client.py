"""Program that floods an address until it is killed, or for a minute: `flooding_client.py KIND HOST PORT SOURCE FILE`.

It is a process of its own, since tests run in a process whose threads may be greenlets that would have to give way.
KIND is tcp, udp or zmq; FILE holds a pickled `Payload`.
"""

import contextlib
import os
import pickle
import socket
import sys
import threading
import time
from itertools import cycle
from typing import NamedTuple

RECONNECT_PAUSE_S = 0.01
MAX_DURATION_S = 60.0  # a test that fails before it ends the client must not leave it behind


class Payload(NamedTuple):
    """What the client sends.

    Attributes:
        opening: Bytes sent once at the start of a TCP connection.
        chunks: Bytes, datagrams or lists of message parts that are sent over and over.
    """

    opening: bytes
    chunks: list


def flood_tcp(address, source, payload):
    """Flood one connection; open the next one if the assigner ends it."""
    while True:
        with contextlib.suppress(OSError), socket.create_connection(address, source_address=(source, 0)) as sock:
            threading.Thread(target=read_all, args=(sock,), daemon=True).start()
            sock.sendall(payload.opening)
            for chunk in cycle(payload.chunks):
                sock.sendall(chunk)
        time.sleep(RECONNECT_PAUSE_S)


def read_all(sock):
    with contextlib.suppress(OSError):
        while sock.recv(1 << 20):
            pass


def flood_udp(address, source, payload):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((source, 0))
    for chunk in cycle(payload.chunks):
        sock.sendto(chunk, address)


def flood_zmq(address, source, payload):
    import zmq

    sock = zmq.Context().socket(zmq.DEALER if payload.opening == b"DEALER" else zmq.PUSH)
    sock.connect("tcp://{}:0;{}:{}".format(source, *address))
    for chunk in cycle(payload.chunks):
        try:
            sock.send_multipart(chunk, zmq.NOBLOCK)
        except zmq.Again:
            time.sleep(0.0005)


if __name__ == "__main__":
    limit = threading.Timer(MAX_DURATION_S, os._exit, (1,))
    limit.daemon = True
    limit.start()
    kind, host, port, source_address, path = sys.argv[1:]
    with open(path, "rb") as file:
        loaded = pickle.load(file)
    flood_of = {"tcp": flood_tcp, "udp": flood_udp, "zmq": flood_zmq}
    flood_of[kind]((host, int(port)), source_address, Payload(*loaded))
