"""Sampling of repeated log events."""


def should_log(occurrences: int) -> bool:
    """Return whether to log this occurrence: the 1st, 2nd, 4th, 8th and so on.

    A flood of events thus appears in the log at once without flooding the log.

    >>> [occurrences for occurrences in range(1, 20) if should_log(occurrences)]
    [1, 2, 4, 8, 16]
    """
    return occurrences & (occurrences - 1) == 0
