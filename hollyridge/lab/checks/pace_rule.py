"""Rule 5: short queues and few messages.

Recordings show this only in part. Messages to a proxy are counted exactly. The lines waiting in an assigner are not
recorded, but all lines of one decision, whose number is the message ID, were waiting when its first message left, and
lines cannot arrive faster than the promised pace.
"""

from __future__ import annotations

from collections import defaultdict, deque

from hollyridge.lab.checks.evidence import Evidence, ReceivedUpdate
from hollyridge.lab.checks.verdicts import RuleLimits, Verdict, WorstMoment

US_PER_S = 1_000_000
PACE_WINDOW_US = 2 * US_PER_S
PACE_TOLERANCE = 1.25  # recordings hold the time at which lines arrive, not the time at which they are sent


def check_pace(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Return the verdict on rule 5: messages per proxy, lines of one decision and pace of all lines within limits."""
    worst = WorstMoment("no message was sent")
    # By run of the assigner and number of the decision.
    lines_of_decision: dict[tuple, float] = defaultdict(float)
    # Time in microseconds and number of lines of each message, by assigner.
    lines_of_assigner: dict[int, list[tuple[int, float]]] = defaultdict(list)
    for proxy, messages in evidence.messages.items():
        _note_messages(evidence, limits, proxy, messages, worst)
        for message in messages:
            run = evidence.run_of(proxy, message.at)
            lines = message.lines + limits.lines_per_message
            lines_of_decision[run, message.number] += lines
            lines_of_assigner[run[0]].append((message.at, lines))
    for (_, number), lines in lines_of_decision.items():
        worst.note(lines / limits.max_waiting_lines, f"{lines:.0f} lines of decision {number} waited at once")
    for sent in lines_of_assigner.values():
        _note_pace(limits, sorted(sent), worst)
    return worst.verdict(5)


def _note_messages(
    evidence: Evidence, limits: RuleLimits, proxy: str, messages: list[ReceivedUpdate], worst: WorstMoment
) -> None:
    if not limits.max_messages:
        return
    window: deque[int] = deque()
    for message in messages:
        joined = evidence.joined_at(proxy, message.at)
        since = max(joined.since if joined else -1, message.at - limits.messages_window_us)
        window.append(message.at)
        while window[0] < since:
            window.popleft()
        worst.note(len(window) / limits.max_messages, f"{proxy} got {len(window)} messages in the stated span")


def _note_pace(limits: RuleLimits, sent: list[tuple[int, float]], worst: WorstMoment) -> None:
    """Note the pace of one assigner's lines, given as (time in microseconds, lines), sorted by time."""
    largest = max(lines for _, lines in sent)
    allowed = PACE_TOLERANCE * limits.lines_per_s * PACE_WINDOW_US / US_PER_S + largest
    window: deque[tuple[int, float]] = deque()
    total = 0.0
    for at, lines in sent:
        window.append((at, lines))
        total += lines
        while window[0][0] <= at - PACE_WINDOW_US:
            total -= window.popleft()[1]
        worst.note(total / allowed, f"{total:.0f} lines within two seconds")
