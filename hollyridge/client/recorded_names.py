"""Names by which recordings and logs know errors, whatever their classes are called."""

from __future__ import annotations

# Recordings hold the reason a session ended with the error's name: these stay, whatever the classes are called.
RECORDED_NAMES = {
    "hollyridge.chp.values.ChpError": "CloneError",
    "hollyridge.client.chp.HeartbeatTimeoutError": "SilenceError",
    "hollyridge.sasp.client.ConnectionLostError": "LostError",
    "hollyridge.sasp.client.HeartbeatTimeoutError": "SilentError",
}


def recorded_name(error: Exception) -> str:
    """The name by which recordings know the class of an error.

    >>> recorded_name(OSError("reset"))
    'OSError'
    """
    kind = type(error)
    return RECORDED_NAMES.get(f"{kind.__module__}.{kind.__qualname__}", kind.__name__)
