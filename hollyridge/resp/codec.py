"""Incremental decoder and encoder for RESP2 arrays of bulk strings, with bounded memory. No I/O.

Each message of the platform is one array of bulk strings. Everything else (inline commands, HTTP, null or nested
values, invalid lengths) is rejected as soon as it can be recognized. A message over the size limit is rejected by the
length that it announces, before its content is buffered.
"""

from __future__ import annotations

from collections.abc import Iterable

from hollyridge.errors import HollyridgeError

MAX_MESSAGE_BYTES = 1 << 20  # limit of the platform's protocol, which includes the length headers
MAX_PARTS = 65  # kind plus alternating names and values; three times as many as any message has
MAX_LENGTH_DIGITS = 8  # digits of an announced length; MAX_MESSAGE_BYTES needs fewer
LINE_END = b"\r\n"
LINE_END_BYTES = 2
MAX_LENGTH_LINE_BYTES = MAX_LENGTH_DIGITS + LINE_END_BYTES
ARRAY_PREFIX = ord("*")
BULK_STRING_PREFIX = ord("$")
UNKNOWN = -1
UNLIMITED = 1 << 30


class RespError(HollyridgeError):
    """The input is not valid RESP2, so that nothing after it can be decoded.

    The server sends the text of the error in `reject` messages.
    """


class FrameReader:
    r"""Incremental decoder of messages from chunks of bytes.

    >>> reader = FrameReader()
    >>> reader.feed(b"*2\r\n$4\r\ndone\r\n$1"), reader.feed(b"\r\nx\r\n")
    ([], [[b'done', b'x']])
    >>> reader.feed(b"GET / HTTP/1.1")
    Traceback (most recent call last):
    hollyridge.resp.codec.RespError: no array of bulk strings

    Attributes:
        max_bytes: Maximum size of a message in bytes, with its length headers; may be changed between two messages.
        fault: Error after which nothing more can be decoded; None before one.
    """

    __slots__ = ("buffer", "decoded_bytes", "fault", "max_bytes", "message_bytes", "part_bytes", "parts", "parts_left")

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()  # bytes received but not decoded yet
        self.parts: list[bytes] = []  # decoded parts of the current message
        self.decoded_bytes = 0  # size of these parts
        self.parts_left = 0  # parts that the current message still lacks; 0 between messages
        self.message_bytes = 0  # size of the current message as announced so far
        self.part_bytes = UNKNOWN  # size of the next part; UNKNOWN before its header is decoded
        self.fault: RespError | None = None

    @property
    def partial(self) -> bool:
        """Return whether a message has been received in part."""
        return bool(self.buffer or self.parts_left)

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the incomplete message that are held."""
        return len(self.buffer) + self.decoded_bytes

    def feed(self, chunk: bytes, max_messages: int = UNLIMITED) -> list[list[bytes]]:
        """Return the messages that this chunk completes.

        If the chunk holds messages before invalid input, they are returned and the error is stored in `fault`. Messages
        beyond `max_messages` stay undecoded; a call with an empty chunk returns them.

        Raises:
            RespError: The input is invalid and no message precedes the invalid part.
        """
        messages: list[list[bytes]] = []
        if self.fault is None:
            try:
                self._parse(chunk, messages, max_messages)
            except RespError as error:
                self.fault = error
                self.buffer.clear()
        if self.fault is not None and not messages:
            raise self.fault
        return messages

    def _parse(self, chunk: bytes, messages: list[list[bytes]], max_messages: int) -> None:
        buffer = self.buffer
        buffer += chunk
        position = 0
        end = len(buffer)
        while position < end and len(messages) < max_messages:
            if self.part_bytes < 0:
                next_position = self._read_header(position)
            else:
                next_position = self._read_part(position, end, messages)
            if next_position < 0:
                break
            position = next_position
        del buffer[:position]

    def _read_part(self, position: int, end: int, messages: list[list[bytes]]) -> int:
        """Decode a part of known length; return the position after it, or `UNKNOWN` if it is incomplete."""
        buffer = self.buffer
        part_end = position + self.part_bytes
        if end < part_end + LINE_END_BYTES:
            return UNKNOWN
        if not buffer.startswith(LINE_END, part_end):
            raise RespError("a part does not end where it should")
        self.parts.append(bytes(buffer[position:part_end]))
        self.decoded_bytes += self.part_bytes
        self.part_bytes = UNKNOWN
        self.parts_left -= 1
        if not self.parts_left:
            messages.append(self.parts)
            self.parts = []
            self.decoded_bytes = 0
            self.message_bytes = 0
        return part_end + LINE_END_BYTES

    def _read_header(self, position: int) -> int:
        """Decode the header of a message or part; return the position after it, or `UNKNOWN` if it is incomplete."""
        buffer = self.buffer
        if buffer[position] != (BULK_STRING_PREFIX if self.parts_left else ARRAY_PREFIX):
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
    """Raise RespError if no further bytes can make the start of a length valid."""
    digits = digits.removesuffix(b"\r")
    if len(digits) > MAX_LENGTH_DIGITS or (digits and not digits.isdigit()):
        raise RespError("a length that cannot be")


def encode(parts: Iterable[bytes]) -> bytes:
    r"""Return the bytes of one message.

    >>> encode([b"hb_ok"])
    b'*1\r\n$5\r\nhb_ok\r\n'
    """
    bulk_strings = [b"$%d\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"*%d\r\n%b" % (len(bulk_strings), b"".join(bulk_strings))
