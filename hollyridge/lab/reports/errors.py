"""Errors of the pages that are made from results."""

from hollyridge.errors import HollyridgeError


class ReportError(HollyridgeError, ValueError):
    """A source holds nothing that a page can show; the message says what is missing."""
