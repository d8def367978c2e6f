"""Entry point of the node process: `python -m hollyridge.node`.

The handler for SIGHUP is installed before any large module is imported, because a SIGHUP that arrives during the import
must neither end the process nor be lost.
"""

import os
import signal
import sys
from types import FrameType

early_reloads: list[int] = []  # numbers of the signals received before the assigner could handle them


def note_reload(number: int, frame: FrameType | None) -> None:
    """Record a SIGHUP until the assigner can reload its configuration."""
    early_reloads.append(number)


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, note_reload)

    from hollyridge.node.process import run

    code = run(early_reloads)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # skips all cleanup: the system closes the connections, and there is no state to save
