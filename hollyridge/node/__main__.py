"""`python -m hollyridge.node`: the assigner as the platform starts it.

The handler for SIGHUP stands before anything large is imported: a SIGHUP that comes meanwhile must neither end the
process nor be lost.
"""

import os
import signal
import sys
from types import FrameType

early_reloads: list[int] = []  # signals that came before the assigner could handle them


def note_reload(number: int, frame: FrameType | None) -> None:
    """Remember a SIGHUP until the assigner can read its configuration again."""
    early_reloads.append(number)


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, note_reload)

    from hollyridge.node.process import run

    code = run(early_reloads)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # at once: connections end with the process, and nothing is left to be saved
