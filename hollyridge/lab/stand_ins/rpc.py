"""RPCs between stand-in proxies and tasks: length-framed msgpack, many at once on a connection."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator

import msgspec

OK, ERROR, PUSHED_BACK, NO_ANSWER, NOT_SENT = range(5)  # outcomes; the last two are never sent
NO_KEY = -1
SIZE = struct.Struct(">I")
MAX_MESSAGE_BYTES = 4096
READ_BYTES = 65536


class Call(msgspec.Struct, array_like=True):
    """An RPC.

    Attributes:
        number: Counts the calls of a connection; its answer has it too.
        work: What it costs, in microseconds of one core.
        key: What it is about, for caches.
    """

    number: int
    proxy: str
    method: int
    token: str
    work: float
    key: int = NO_KEY


class Answer(msgspec.Struct, array_like=True):
    """An answer, with the load that the task tells."""

    number: int
    outcome: int
    util: float
    queue: int


_CALLS = msgspec.msgpack.Decoder(Call)
_ANSWERS = msgspec.msgpack.Decoder(Answer)
_ENCODER = msgspec.msgpack.Encoder()


def send(sock: socket.socket, message: Call | Answer) -> None:
    """Send one message; OSError if the connection is broken."""
    raw = _ENCODER.encode(message)
    sock.sendall(SIZE.pack(len(raw)) + raw)


def receive(sock: socket.socket, calls: bool) -> Iterator[Call | Answer]:
    """Messages until the stream ends: calls, or else answers.

    Raises:
        OSError: The connection broke.
        ValueError: What came is no message.
    """
    decode = (_CALLS if calls else _ANSWERS).decode
    buffer = b""
    while chunk := sock.recv(READ_BYTES):
        buffer += chunk
        while len(buffer) >= SIZE.size:
            size = SIZE.unpack_from(buffer)[0]
            if size > MAX_MESSAGE_BYTES:
                raise ValueError(f"a message of {size} bytes")
            end = SIZE.size + size
            if len(buffer) < end:
                break
            yield decode(buffer[SIZE.size : end])
            buffer = buffer[end:]
