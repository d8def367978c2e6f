"""Structured logs on standard error, as text or as JSON."""

from __future__ import annotations

import logging
import select
import sys
from os import write
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

MAX_WRITE_BYTES = select.PIPE_BUF  # a pipe that is ready accepts that many bytes without blocking


class NonBlockingLogSink:
    """File-like object over a file descriptor that never blocks its writer.

    A log must not be able to stop the program. While nobody reads the log, lines are dropped, and their number is
    logged once there is room again. The price is that lines are missing if the reader is slow.

    Attributes:
        dropped: Number of lines dropped since the last written one.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffer = ""
        self.dropped = 0
        self.line_is_cut_off = False  # the last line was cut off, so the next one starts on a new line
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Buffer text until `flush`."""
        self.buffer += text

    def flush(self) -> None:
        """Write the buffered text, or drop it if the descriptor is not ready."""
        line = self.buffer
        self.buffer = ""
        notice = f"{self.dropped} lines of this log were dropped: nobody read them\n" if self.dropped else ""
        if self._write_if_ready(notice + line):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write_if_ready(self, text: str) -> bool:
        raw = ("\n" * self.line_is_cut_off + text).encode("utf-8", "replace")
        for start in range(0, len(raw), MAX_WRITE_BYTES):
            try:
                if not self._is_ready():
                    raise BlockingIOError
                write(self.descriptor, raw[start : start + MAX_WRITE_BYTES])
            except OSError:  # the pipe is full or was closed by its reader
                self.line_is_cut_off = self.line_is_cut_off or start > 0
                return False
        self.line_is_cut_off = False
        return True

    def _is_ready(self) -> bool:
        return any(events & select.POLLOUT for _, events in self.poll.poll(0))


def start(output_format: str, level: str, **context: object) -> FilteringBoundLogger:
    """Configure the logs and return the logger.

    Args:
        output_format: `console` or `json`.
        level: Lowest level that is logged.
        context: Key-value pairs that are added to every line.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if output_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(NonBlockingLogSink(sys.stderr.fileno())),
    )
    return structlog.get_logger(**context)
