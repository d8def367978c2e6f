"""Framing of SASP: a header, which holds the length of the whole frame, and one component."""

from __future__ import annotations

import struct
from collections.abc import Iterator

from hollyridge.sasp.components import COMPONENT_HEAD
from hollyridge.sasp.messages import SaspError

VERSION = 1
HEADER_TYPE = 0x2010
HEADER = struct.Struct(">HHBII")  # type, length of the header, version, length of the frame, message id


def frame_bytes(header: bytes, max_frame_bytes: int) -> int:
    """Return the length of the frame with this header; raise SaspError if the header or the length is invalid."""
    header_type, header_bytes, version, length, _ = HEADER.unpack(header)
    if header_type != HEADER_TYPE or header_bytes != HEADER.size:
        raise SaspError(
            f"header of type {header_type:#06x} and length {header_bytes}, "
            f"expected type {HEADER_TYPE:#06x} and length {HEADER.size}"
        )
    if version != VERSION:
        raise SaspError(f"SASP version {version} in the header, expected {VERSION}")
    if not HEADER.size + COMPONENT_HEAD.size <= length <= max_frame_bytes:
        raise SaspError(
            f"frame length {length} in the header, "
            f"expected {HEADER.size + COMPONENT_HEAD.size} to {max_frame_bytes} bytes"
        )
    return length


class Framer:
    """Splitter of a stream of bytes into whole frames; buffers at most one frame of `max_frame_bytes`.

    >>> from hollyridge.sasp.codec import SetBalancerReply, encode
    >>> framer, frame = Framer(100), encode(1, SetBalancerReply(0))
    >>> [found == frame for chunk in (frame[:5], frame[5:] + frame) for found in framer.feed(chunk)]
    [True, True]
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the frames that these bytes complete; raise SaspError at an invalid header."""
        self.buffer += chunk
        while len(self.buffer) >= HEADER.size:
            size = frame_bytes(bytes(self.buffer[: HEADER.size]), self.max_frame_bytes)
            if len(self.buffer) < size:
                return
            frame = bytes(self.buffer[:size])
            del self.buffer[:size]
            yield frame

    @property
    def partial(self) -> bool:
        """Return whether the buffer holds the beginning of an incomplete frame."""
        return bool(self.buffer)
