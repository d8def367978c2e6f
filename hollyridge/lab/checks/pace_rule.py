"""Rule 5: short queues and few messages.

It can be seen from outside only in part: messages to a proxy are counted exactly; of the lines that wait it is known
that all lines of one decision (its number is the message id) waited when its first message left, and that lines can't
come faster than the promised pace.
"""

from __future__ import annotations

from collections import defaultdict, deque

from hollyridge.lab.checks.evidence import Evidence, ReceivedUpdate
from hollyridge.lab.checks.verdicts import RuleLimits, Verdict, Worst

US_PER_S = 1_000_000
PACE_WINDOW_US = 2 * US_PER_S
PACE_TOLERANCE = 1.25  # recordings see lines as they arrive, not as they leave


def check_pace(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Rule 5: messages per proxy, lines of one decision, and the pace of all lines stay within their limits."""
    worst = Worst("no message was sent")
    lines_of_decision: dict[tuple, float] = defaultdict(float)
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
    evidence: Evidence, limits: RuleLimits, proxy: str, messages: list[ReceivedUpdate], worst: Worst
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


def _note_pace(limits: RuleLimits, sent: list[tuple[int, float]], worst: Worst) -> None:
    """Lines of one assigner, by time."""
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
