"""Protocol of RPCs between stand-in proxies and tasks: length-prefixed msgpack, many calls at once per connection."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator

import msgspec

OK, ERROR, PUSHED_BACK, NO_ANSWER, NOT_SENT = range(5)  # outcomes; the last two never occur in an answer
NO_KEY = -1
SIZE = struct.Struct(">I")
MAX_MESSAGE_BYTES = 4096
READ_BYTES = 65536


class Call(msgspec.Struct, array_like=True):
    """An RPC.

    Attributes:
        number: Number of the call on its connection, repeated in the answer.
        proxy: Uid of the sending proxy.
        method: Index of the method.
        token: Token that identifies repeated attempts of one RPC.
        work: Work that it requires, in microseconds of one core.
        key: Key that the RPC accesses, for caches.
    """

    number: int
    proxy: str
    method: int
    token: str
    work: float
    key: int = NO_KEY


class Answer(msgspec.Struct, array_like=True):
    """An answer, with the load that the task reports.

    Attributes:
        number: Number of the call.
        outcome: Outcome of the call, as one of the constants above.
        util: Utilization of the task, as a fraction.
        queue: Number of RPCs in the task's queue.
    """

    number: int
    outcome: int
    util: float
    queue: int


_CALLS = msgspec.msgpack.Decoder(Call)
_ANSWERS = msgspec.msgpack.Decoder(Answer)
_ENCODER = msgspec.msgpack.Encoder()


def send(sock: socket.socket, message: Call | Answer) -> None:
    """Send one message; raise OSError if the connection is broken."""
    raw = _ENCODER.encode(message)
    sock.sendall(SIZE.pack(len(raw)) + raw)


def receive(sock: socket.socket, calls: bool) -> Iterator[Call | Answer]:
    """Yield messages until the stream ends: calls if `calls` is set, else answers.

    Raises:
        OSError: The connection broke.
        ValueError: The received bytes are no valid message.
    """
    decode = (_CALLS if calls else _ANSWERS).decode
    buffer = b""
    while chunk := sock.recv(READ_BYTES):
        buffer += chunk
        while len(buffer) >= SIZE.size:
            size = SIZE.unpack_from(buffer)[0]
            if size > MAX_MESSAGE_BYTES:
                raise ValueError(f"RPC message has {size} bytes, expected at most {MAX_MESSAGE_BYTES}")
            end = SIZE.size + size
            if len(buffer) < end:
                break
            yield decode(buffer[SIZE.size : end])
            buffer = buffer[end:]
