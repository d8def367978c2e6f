"""Decides which of many occurrences of one event are logged."""


def should_log(occurrences: int) -> bool:
    """True for the 1st, 2nd, 4th, 8th ... occurrence: a flood shows at once and does not flood the log.

    >>> [occurrences for occurrences in range(1, 20) if should_log(occurrences)]
    [1, 2, 4, 8, 16]
    """
    return occurrences & (occurrences - 1) == 0
