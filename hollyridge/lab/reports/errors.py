"""Exceptions of the report pages."""

from hollyridge.errors import HollyridgeError


class ReportError(HollyridgeError, ValueError):
    """Raised if a source holds nothing that a page can show; the message names what is missing."""
