"""Which of many happenings of one kind are worth a line in the log."""


def should_log(times: int) -> bool:
    """The 1st, 2nd, 4th, 8th ...: a flood is seen at once and never floods the log.

    >>> [times for times in range(1, 20) if should_log(times)]
    [1, 2, 4, 8, 16]
    """
    return times & (times - 1) == 0
