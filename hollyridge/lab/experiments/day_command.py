"""What all experiments that run a day as a command of its own have to know about that command."""

from __future__ import annotations

EXIT_CODES_OF_A_DAY = (0, 1)  # 0: all rules kept, 1: a rule was broken; any other code means that no day was run


def error_text(stderr: bytes, max_characters: int) -> str:
    """The end of what a failed command wrote to its standard error."""
    return stderr.decode(errors="replace")[-max_characters:]
