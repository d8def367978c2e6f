"""Structured logs on standard error, for people or for machines."""

from __future__ import annotations

import logging
import select
import sys
from os import write
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

MAX_WRITE_BYTES = select.PIPE_BUF  # what a pipe that is ready takes at once, without blocking


class NonBlockingLogSink:
    """A file descriptor as a file that never blocks its writer.

    Where nobody reads the log, lines are dropped, and their number is logged once there is room again: a log must not
    be able to stop the program. The price is that lines are missing where the reader is slow.

    Attributes:
        dropped: Lines dropped since one was written last.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffer = ""
        self.dropped = 0
        self.line_is_torn = False  # a line was cut off in its middle: the next one starts on a new line
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Buffer text until `flush`."""
        self.buffer += text

    def flush(self) -> None:
        """Write what is buffered, or drop it."""
        line = self.buffer
        self.buffer = ""
        notice = f"{self.dropped} lines of this log were dropped: nobody read them\n" if self.dropped else ""
        if self._write_if_ready(notice + line):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write_if_ready(self, text: str) -> bool:
        raw = ("\n" * self.line_is_torn + text).encode("utf-8", "replace")
        for start in range(0, len(raw), MAX_WRITE_BYTES):
            try:
                if not self._is_ready():
                    raise BlockingIOError
                write(self.descriptor, raw[start : start + MAX_WRITE_BYTES])
            except OSError:  # full, or its reader has closed it
                self.line_is_torn = self.line_is_torn or start > 0
                return False
        self.line_is_torn = False
        return True

    def _is_ready(self) -> bool:
        return any(events & select.POLLOUT for _, events in self.poll.poll(0))


def start(form: str, level: str, **bound: object) -> FilteringBoundLogger:
    """Configure the logs and return the logger.

    Args:
        form: `console` or `json`.
        level: The lowest level that is logged.
        bound: Facts that stand in every line.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
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
    return structlog.get_logger(**bound)
