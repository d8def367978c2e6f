"""RESP2 arrays of bulk strings, as the protocol page uses them."""

from __future__ import annotations

import asyncio


def encode(kind: str, **fields: object) -> bytes:
    """Return one message: its kind, then names and values by turns."""
    words = [kind]
    for name, value in fields.items():
        words += name, str(value)
    parts = [word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the next message as its kind and its fields.

    Raises:
        EOFError: The connection has ended.
    """
    head = await _line(reader)
    words = []
    for _ in range(int(head[1:])):
        size = int((await _line(reader))[1:])
        words.append((await reader.readexactly(size + 2))[:-2].decode())
    return words[0], dict(zip(words[1::2], words[2::2]))


async def _line(reader: asyncio.StreamReader) -> bytes:
    line = await reader.readuntil(b"\r\n")
    return line[:-2]
