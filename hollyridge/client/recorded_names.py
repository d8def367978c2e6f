"""Stable names of error classes in recordings and logs."""

from __future__ import annotations

# Recordings hold the reason for which a session ended, with the name of the error. These names remain the same when the
# classes are renamed.
RECORDED_NAMES = {
    "hollyridge.chp.values.ChpError": "CloneError",
    "hollyridge.client.chp.HeartbeatTimeoutError": "SilenceError",
    "hollyridge.sasp.client.ConnectionLostError": "LostError",
    "hollyridge.sasp.client.HeartbeatTimeoutError": "SilentError",
}


def recorded_name(error: Exception) -> str:
    """Return the name of an error's class in recordings.

    >>> recorded_name(OSError("reset"))
    'OSError'
    """
    error_type = type(error)
    return RECORDED_NAMES.get(f"{error_type.__module__}.{error_type.__qualname__}", error_type.__name__)
