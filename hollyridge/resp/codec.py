"""RESP2 arrays of bulk strings, both ways: without I/O, incremental, and bounded from the first byte.

Only what the platform sends is read: one array of bulk strings a message. Everything else (inline commands, HTTP,
null or nested values, an impossible length) is refused as soon as it is known; a message over the limit is refused
by the length that it announces, never by collecting it first.
"""

from __future__ import annotations

from collections.abc import Iterable

from hollyridge.errors import HollyridgeError

MAX_MESSAGE_BYTES = 1 << 20  # heads included, as the platform states it
MAX_PARTS = 65  # a kind, and names and values by turns: three times as many as any message has
MAX_LENGTH_DIGITS = 8  # of an announced length: more than the limit of a message needs
LINE_END = b"\r\n"
LINE_END_BYTES = 2
MAX_LENGTH_LINE_BYTES = MAX_LENGTH_DIGITS + LINE_END_BYTES
ARRAY_SIGN = ord("*")
BULK_STRING_SIGN = ord("$")
UNKNOWN = -1


class RespError(HollyridgeError):
    """Input that is not this protocol; nothing behind it can be read."""


class FrameReader:
    r"""Turns bytes, in any pieces, into messages.

    >>> reader = FrameReader()
    >>> reader.feed(b"*2\r\n$4\r\ndone\r\n$1"), reader.feed(b"\r\nx\r\n")
    ([], [[b'done', b'x']])
    >>> reader.feed(b"GET / HTTP/1.1")
    Traceback (most recent call last):
    hollyridge.resp.codec.RespError: no array of bulk strings

    Attributes:
        max_bytes: Bytes that one message may have, its heads included; may be changed between two messages.
        fault: Why nothing more can be read; None while it can.
    """

    __slots__ = ("buffer", "fault", "max_bytes", "message_bytes", "part_bytes", "parts", "parts_left")

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()  # received and not read yet
        self.parts: list[bytes] = []  # of the message that is being read
        self.parts_left = 0  # still to come of it; 0 between messages
        self.message_bytes = 0  # of it, as far as announced
        self.part_bytes = UNKNOWN  # of the part that comes next; unknown before its head
        self.fault: RespError | None = None

    @property
    def partial(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self.buffer or self.parts_left)

    def feed(self, chunk: bytes) -> list[list[bytes]]:
        """The messages that end in this piece, up to where nothing more can be read.

        Messages before a fault are returned, the fault is in `fault` then.

        Raises:
            RespError: Nothing more can be read, and no message comes before the fault.
        """
        messages: list[list[bytes]] = []
        if self.fault is None:
            try:
                self._parse(chunk, messages)
            except RespError as error:
                self.fault = error
                self.buffer.clear()
        if self.fault is not None and not messages:
            raise self.fault
        return messages

    def _parse(self, chunk: bytes, messages: list[list[bytes]]) -> None:
        buffer = self.buffer
        buffer += chunk
        position = 0
        end = len(buffer)
        while position < end:
            if self.part_bytes < 0:
                next_position = self._read_head(position)
            else:
                next_position = self._read_part(position, end, messages)
            if next_position < 0:
                break
            position = next_position
        del buffer[:position]

    def _read_part(self, position: int, end: int, messages: list[list[bytes]]) -> int:
        """Read a part whose length is known; the position behind it, or `UNKNOWN` while bytes are missing."""
        buffer = self.buffer
        part_end = position + self.part_bytes
        if end < part_end + LINE_END_BYTES:
            return UNKNOWN
        if not buffer.startswith(LINE_END, part_end):
            raise RespError("a part does not end where it should")
        self.parts.append(bytes(buffer[position:part_end]))
        self.part_bytes = UNKNOWN
        self.parts_left -= 1
        if not self.parts_left:
            messages.append(self.parts)
            self.parts = []
            self.message_bytes = 0
        return part_end + LINE_END_BYTES

    def _read_head(self, position: int) -> int:
        """Read the head of a message or a part; the position behind it, or `UNKNOWN` while bytes are missing."""
        buffer = self.buffer
        if buffer[position] != (BULK_STRING_SIGN if self.parts_left else ARRAY_SIGN):
            raise RespError("no array of bulk strings")
        first_digit = position + 1
        line_end = buffer.find(LINE_END, first_digit, first_digit + MAX_LENGTH_LINE_BYTES)
        if line_end < 0:
            _check_unfinished_length(buffer[first_digit:])
            return UNKNOWN
        digits = buffer[first_digit:line_end]
        if not digits.isdigit():
            raise RespError("a length that cannot be")
        announced = int(digits)
        next_position = line_end + LINE_END_BYTES
        self.message_bytes += next_position - position
        if self.parts_left:
            self.message_bytes += announced + LINE_END_BYTES
            self.part_bytes = announced
        elif not 0 < announced <= MAX_PARTS:
            raise RespError(f"a message of {announced} parts")
        else:
            self.parts_left = announced
        if self.message_bytes > self.max_bytes:
            raise RespError(f"a message of more than {self.max_bytes} bytes")
        return next_position


def _check_unfinished_length(digits: bytes) -> None:
    """Refuse an announced length that can't become one, however it goes on."""
    digits = digits.removesuffix(b"\r")
    if len(digits) > MAX_LENGTH_DIGITS or (digits and not digits.isdigit()):
        raise RespError("a length that cannot be")


def encode(parts: Iterable[bytes]) -> bytes:
    r"""One message.

    >>> encode([b"hb_ok"])
    b'*1\r\n$5\r\nhb_ok\r\n'
    """
    bulk_strings = [b"$%d\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"*%d\r\n%b" % (len(bulk_strings), b"".join(bulk_strings))
