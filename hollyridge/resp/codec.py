"""RESP2 arrays of bulk strings, both ways: pure, incremental, and bounded from the first byte.

Only what the platform sends is read: one array of bulk strings a message. Everything else (inline commands, HTTP,
null or nested values, a length that cannot be) is refused as soon as it is known; a message over the limit is refused
by the length it announces, never by collecting it first.
"""

from __future__ import annotations

from collections.abc import Iterable

MESSAGE_MOST = 1 << 20  # bytes of one message, as the platform states it
PARTS_MOST = 65  # a kind, and names and values by turns: three times as many as any message has
DIGITS = 8  # of an announced length


class RespError(Exception):
    """What came in is not this protocol."""


class FrameReader:
    """Bytes in any pieces to messages. `most`: bytes that one message may have, its heads included.

    >>> reader = FrameReader()
    >>> reader.feed(b"*2\\r\\n$4\\r\\ndone\\r\\n$1"), reader.feed(b"\\r\\nx\\r\\n")
    ([], [[b'done', b'x']])
    >>> reader.feed(b"GET / HTTP/1.1")
    Traceback (most recent call last):
    hollyridge.resp.codec.RespError: no array of bulk strings
    """

    __slots__ = ("most", "held", "parts", "left", "length", "size", "fault")

    def __init__(self, most: int = MESSAGE_MOST) -> None:
        self.most = most
        self.held = bytearray()
        self.parts: list[bytes] = []
        self.left = self.size = 0  # parts still to come of the message, its bytes so far
        self.length = -1  # of the part whose bytes come next
        self.fault: RespError | None = None  # nothing more can be read, and why

    @property
    def partial(self) -> bool:
        """Whether a message was begun and has not ended."""
        return bool(self.held or self.left)

    def feed(self, chunk: bytes) -> list[list[bytes]]:
        """The messages that end in this piece, up to where nothing more can be read: that is in `fault` then, and
        raised as RespError once no message comes before it."""
        messages: list[list[bytes]] = []
        if self.fault is None:
            try:
                self.parse(chunk, messages)
            except RespError as trouble:
                self.fault = trouble
                self.held.clear()
        if self.fault is not None and not messages:
            raise self.fault
        return messages

    def parse(self, chunk: bytes, messages: list[list[bytes]]) -> None:
        held = self.held
        held += chunk
        at, end = 0, len(held)
        while at < end:
            if self.length >= 0:
                stop = at + self.length
                if end < stop + 2:
                    break
                if held[stop : stop + 2] != b"\r\n":
                    raise RespError("a part does not end where it should")
                self.parts.append(bytes(held[at:stop]))
                at, self.length = stop + 2, -1
                self.left -= 1
                if not self.left:
                    messages.append(self.parts)
                    self.parts, self.size = [], 0
                continue
            sign = 36 if self.left else 42  # $ or *
            if held[at] != sign:
                raise RespError("no array of bulk strings")
            stop = held.find(b"\r\n", at + 1, at + DIGITS + 3)
            digits = held[at + 1 : end if stop < 0 else stop]
            if digits and digits[-1:] == b"\r" and stop < 0:
                digits = digits[:-1]
            if len(digits) > DIGITS or digits and not digits.isdigit() or stop >= 0 and not digits:
                raise RespError("a length that cannot be")
            if stop < 0:
                break
            number = int(digits)
            self.size += stop + 2 - at
            if self.left:
                self.size += number + 2
                self.length = number
            elif not 0 < number <= PARTS_MOST:
                raise RespError(f"a message of {number} parts")
            else:
                self.left = number
            if self.size > self.most:
                raise RespError(f"a message of more than {self.most} bytes")
            at = stop + 2
        del held[:at]


def encode(words: Iterable[bytes]) -> bytes:
    """One message.

    >>> encode([b"hb_ok"])
    b'*1\\r\\n$5\\r\\nhb_ok\\r\\n'
    """
    parts = [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"*%d\r\n%b" % (len(parts), b"".join(parts))
