"""Exit codes and error output of the command that runs a day, for experiments that start it as a process."""

from __future__ import annotations

EXIT_CODES_OF_A_DAY = (0, 1)  # 0: all rules kept, 1: a rule was broken; any other code means that no day was run


def error_text(stderr: bytes, max_characters: int) -> str:
    """Return the end of the text that a failed command wrote to its standard error."""
    return stderr.decode(errors="replace")[-max_characters:]
