"""RPCs between stand-in proxies and stand-in tasks: length-framed msgpack, many at once on a connection."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator

import msgspec

OK, ERROR, PUSHED_BACK, NO_ANSWER, NOT_SENT = range(5)
_SIZE = struct.Struct(">I")


class Call(msgspec.Struct, array_like=True):
    number: int
    proxy: str
    method: int
    token: str
    work: float
    key: int = -1


class Answer(msgspec.Struct, array_like=True):
    number: int
    outcome: int
    util: float
    queue: int


_CALLS, _ANSWERS, _PACK = msgspec.msgpack.Decoder(Call), msgspec.msgpack.Decoder(Answer), msgspec.msgpack.Encoder()


def send(sock: socket.socket, message: Call | Answer) -> None:
    raw = _PACK.encode(message)
    sock.sendall(_SIZE.pack(len(raw)) + raw)


def receive(sock: socket.socket, calls: bool) -> Iterator[Call | Answer]:
    """Messages until the stream ends; OSError where it breaks, ValueError for what is none."""
    decode, held = (_CALLS if calls else _ANSWERS).decode, b""
    while chunk := sock.recv(65536):
        held += chunk
        while len(held) >= 4:
            size = _SIZE.unpack_from(held)[0]
            if size > 4096:
                raise ValueError(f"a message of {size} bytes")
            if len(held) < 4 + size:
                break
            yield decode(held[4 : 4 + size])
            held = held[4 + size :]
