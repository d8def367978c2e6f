"""Structured logs on standard error, for people or for machines."""

from __future__ import annotations

import logging
import sys

import structlog


def start(form: str, level: str, **bound) -> structlog.BoundLogger:
    """`form`: console or json. What is bound stands in every line."""
    shape = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(
        colors=sys.stderr.isatty())
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.format_exc_info, shape],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    return structlog.get_logger(**bound)
