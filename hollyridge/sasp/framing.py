"""Frames of SASP in a stream of bytes: a header, which has the length of the whole frame, and one component."""

from __future__ import annotations

import struct
from collections.abc import Iterator

from hollyridge.sasp.components import COMPONENT_HEAD
from hollyridge.sasp.messages import SaspError

VERSION = 1
HEADER_TYPE = 0x2010
HEADER = struct.Struct(">HHBII")  # type, length of the header, version, length of the frame, message id


def frame_bytes(header: bytes, max_frame_bytes: int) -> int:
    """Length of the frame that starts with this header; SaspError if that is no header, or the frame too long."""
    header_type, header_bytes, version, length, _ = HEADER.unpack(header)
    if header_type != HEADER_TYPE or header_bytes != HEADER.size:
        raise SaspError(f"no SASP header (type {header_type:#06x}, length {header_bytes})")
    if version != VERSION:
        raise SaspError(f"SASP version {version}, only {VERSION} is spoken")
    if not HEADER.size + COMPONENT_HEAD.size <= length <= max_frame_bytes:
        raise SaspError(f"a message of {length} bytes ({max_frame_bytes} at most)")
    return length


class Framer:
    """Cuts a stream of bytes into whole frames; holds at most one frame of `max_frame_bytes`.

    >>> from hollyridge.sasp.codec import SetBalancerReply, encode
    >>> framer, frame = Framer(100), encode(1, SetBalancerReply(0))
    >>> [found == frame for chunk in (frame[:5], frame[5:] + frame) for found in framer.feed(chunk)]
    [True, True]
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.held = bytearray()

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """The frames that are whole with these bytes; SaspError where no frame can begin."""
        self.held += chunk
        while len(self.held) >= HEADER.size:
            size = frame_bytes(bytes(self.held[: HEADER.size]), self.max_frame_bytes)
            if len(self.held) < size:
                return
            frame = bytes(self.held[:size])
            del self.held[:size]
            yield frame

    @property
    def partial(self) -> bool:
        """Whether a frame has begun that is not whole yet."""
        return bool(self.held)
