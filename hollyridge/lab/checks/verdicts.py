"""Verdicts on the rules, and the limits that they are judged by."""

from __future__ import annotations

from typing import NamedTuple


class Verdict(NamedTuple):
    """Whether a rule was kept. The fields' names are keys of `--json`.

    Attributes:
        nearest: The fraction of the limit in use at the worst moment; over 1 for a broken rule.
        where: That moment, in words.
    """

    rule: int
    kept: bool
    nearest: float
    where: str


class RuleLimits(NamedTuple):
    """The rules' limits.

    Attributes:
        max_empty_us: How long a proxy may be without a line (rule 1).
        drain_grace_us: How long a closed task may still be sent to (rule 3).
        warm_up_us: After which a task counts as warm.
        fall_us: The window, and `fall_multiple` the multiple of its capacity, that a cold task bears (rule 4).
        max_waiting_lines: Lines that may wait (rule 5).
        max_messages: Messages that a proxy may get within `messages_window_us`; 0 for any number.
        lines_per_s: The pace of all lines; a message counts as `lines_per_message` more.
    """

    max_empty_us: int
    drain_grace_us: int
    warm_up_us: int
    fall_us: int
    fall_multiple: float
    max_waiting_lines: float
    max_messages: int
    messages_window_us: int
    lines_per_s: float
    lines_per_message: float


class Worst:
    """The moment that came nearest to a limit, the first of equals."""

    def __init__(self, nothing: str) -> None:
        """`nothing` says that no moment came near."""
        self.used = 0.0
        self.where = nothing

    def note(self, used: float, where: str) -> None:
        """A moment used this fraction of the limit."""
        if used > self.used:
            self.used = used
            self.where = where

    def verdict(self, rule: int, remark: str = "") -> Verdict:
        """The rule's verdict by this moment; the remark follows where it was."""
        return Verdict(rule, self.used <= 1.0, round(self.used, 4), self.where + remark)
