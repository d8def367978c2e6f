"""Exceptions of the experiments."""

from hollyridge.errors import HollyridgeError


class VariantError(HollyridgeError, ValueError):
    """Raised if a variant of a comparison cannot be run; the message names it."""


class AssignerStartError(HollyridgeError, OSError):
    """Raised if an assigner's process ended before it listened; the message gives its exit code."""
