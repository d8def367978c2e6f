"""Errors of the experiments."""

from hollyridge.errors import HollyridgeError


class VariantError(HollyridgeError, ValueError):
    """A variant of a comparison can't be run; the message names it."""


class AssignerStartError(HollyridgeError, OSError):
    """An assigner's process ended before it listened; the message gives its exit code."""
