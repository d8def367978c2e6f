"""Verdicts on the rules, and the limits that the rules set."""

from __future__ import annotations

from typing import NamedTuple


class Verdict(NamedTuple):
    """Result of checking one rule. The names of the fields are keys of `--json`.

    Attributes:
        rule: Number of the rule.
        kept: Whether the rule was kept.
        nearest: Fraction of the limit used at the worst moment; over 1 for a broken rule.
        where: Description of that moment.
    """

    rule: int
    kept: bool
    nearest: float
    where: str


class RuleLimits(NamedTuple):
    """Limits of the rules.

    Attributes:
        max_empty_us: Longest time that a proxy may be without a line, in microseconds (rule 1).
        drain_grace_us: Time after closing in which a task may still be sent to, in microseconds (rule 3).
        warm_up_us: Age from which a task counts as warm, in microseconds (rule 1).
        fall_us: Window over which the load of a cold task is summed, in microseconds (rule 4).
        fall_multiple: Multiple of its capacity that a cold task can take within that window (rule 4).
        max_waiting_lines: Maximum number of lines that wait (rule 5).
        max_messages: Maximum number of messages to a proxy within `messages_window_us`; 0 for no limit (rule 5).
        messages_window_us: Window in which messages to a proxy are counted, in microseconds (rule 5).
        lines_per_s: Maximum pace of all lines, in lines per second (rule 5).
        lines_per_message: Number of lines that each message counts as, in addition to its own (rule 5).
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


class WorstMoment:
    """The moment that used the largest fraction of a limit; the first of equal ones.

    Attributes:
        used: Fraction of the limit used.
        where: Description of the moment.
    """

    def __init__(self, default: str) -> None:
        """Start without a moment; `default` is the description used until one is noted."""
        self.used = 0.0
        self.where = default

    def note(self, used: float, where: str) -> None:
        """Note a moment that used this fraction of the limit."""
        if used > self.used:
            self.used = used
            self.where = where

    def verdict(self, rule: int, remark: str = "") -> Verdict:
        """Return the verdict on a rule by this moment; the remark is appended to its description."""
        return Verdict(rule, self.used <= 1.0, round(self.used, 4), self.where + remark)
