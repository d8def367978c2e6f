"""A ZeroMQ message of endless parts at the collector of `hollyridge serve`."""

import contextlib
import socket

from hostile_clients import ServeProcess

MEMORY_LIMIT_MB = 192  # the limit that the platform sets for an assigner
SENT_MB = 300
PART_BYTES = 4000  # within the limit on one part


def zmtp_property(name, value):
    return bytes([len(name)]) + name + len(value).to_bytes(4, "big") + value


def open_push_connection(port):
    """Connect as a PUSH socket of ZMTP 3.0 without security, up to the end of the handshake."""
    greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
    ready = b"\x05READY" + zmtp_property(b"Socket-Type", b"PUSH") + zmtp_property(b"Identity", b"")
    sock = socket.create_connection(("127.0.0.1", port), timeout=10)
    sock.sendall(greeting)
    sock.recv(64)
    sock.sendall(b"\x04" + bytes([len(ready)]) + ready)
    return sock


def test_a_message_of_endless_parts_stays_within_the_memory_limit(tmp_path):
    # Guards against one client whose message never ends, which the library keeps in memory until it does.
    process = ServeProcess(tmp_path)
    try:
        part = b"\x03" + PART_BYTES.to_bytes(8, "big") + bytes(PART_BYTES)  # long frame, more to come
        sock = open_push_connection(process.collector_port)
        with contextlib.suppress(OSError):  # the connection may be closed
            for _ in range(SENT_MB):
                sock.sendall(part * (1_000_000 // PART_BYTES))
        process.get_status(5.0)
        assert process.memory.peak_mb < MEMORY_LIMIT_MB
    finally:
        process.stop()
