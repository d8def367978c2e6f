"""Structured logs on standard error, for people or for machines."""

from __future__ import annotations

import logging
import select
import sys
from os import write

import structlog

PIECE = select.PIPE_BUF  # bytes that a pipe that can be written to takes at once


class NonBlockingLogSink:
    """A descriptor as a file that is never waited for: where nobody reads, a line is dropped, and how many were is said
    once there is room again. Guards against a log that stops the whole program. It may hurt where its reader is slow:
    lines are missing."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor, self.held, self.dropped, self.torn = descriptor, "", 0, False
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        self.held += text

    def flush(self) -> None:
        line, self.held = self.held, ""
        said = f"{self.dropped} lines of this log were dropped: nobody read them\n" if self.dropped else ""
        self.dropped = 0 if self.put(said + line) else self.dropped + 1

    def put(self, line: str) -> bool:
        raw = ("\n" * self.torn + line).encode("utf-8", "replace")
        for at in range(0, len(raw), PIECE):
            try:
                if not any(what & select.POLLOUT for _, what in self.poll.poll(0)):
                    raise BlockingIOError
                write(self.descriptor, raw[at : at + PIECE])
            except OSError:  # full, or its reader has gone
                self.torn = self.torn or at > 0
                return False
        self.torn = False
        return True


def start(form: str, level: str, **bound) -> structlog.BoundLogger:
    """`form`: console or json. What is bound stands in every line."""
    shape = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            shape,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(NonBlockingLogSink(sys.stderr.fileno())),
    )
    return structlog.get_logger(**bound)
