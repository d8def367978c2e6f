"""The five rules, checked from recordings of what passed on the sockets.

Rule 5 can be seen from outside only in part: messages to a proxy are counted exactly; of the lines that wait it is
known that all lines of one decision (its number is the message id) waited when its first message left, and that lines
can't come faster than the promised pace.
"""

from __future__ import annotations

import bisect
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from hollyridge.lab.checks.evidence import Evidence, ReceivedUpdate, TaskNews

US_PER_S = 1_000_000
PACE_WINDOW_US = 2 * US_PER_S
PACE_TOLERANCE = 1.25  # recordings see lines as they arrive, not as they leave
AWARE_NUMERATOR, AWARE_DENOMINATOR = 2, 3  # of the work at a cold task must come from proxies that could know
END_OF_TIME = 1 << 62


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


class _Worst:
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
        return Verdict(rule, self.used <= 1.0, round(self.used, 4), self.where + remark)


def check(evidence: Evidence, limits: RuleLimits) -> list[Verdict]:
    """One verdict a rule."""
    rules = (check_lines, check_effects, check_drains, check_cold_tasks, check_pace)
    return [rule(evidence, limits) for rule in rules]


# Rule 1.


def check_lines(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Rule 1: no joined proxy is without a line while a warm ready task is listed."""
    warm = {assigner: _warm_spans(evidence, limits, tasks.values()) for assigner, tasks in evidence.task_news.items()}
    worst = _Worst("no proxy was ever without a line")
    for (proxy, group), spans in evidence.empty.items():
        for span in spans:
            joined = evidence.joined_at(proxy, span.begin)
            for first, last in warm.get(joined.assigner, ()) if joined else ():
                lasted_us = min(span.end, last) - max(span.begin, first)
                where = f"{proxy} without a line for {group} for {lasted_us / 1e6:.2f} s"
                worst.note(lasted_us / limits.max_empty_us, where)
    return worst.verdict(1)


def _warm_spans(evidence: Evidence, limits: RuleLimits, histories: Iterable[list[TaskNews]]) -> list[list[int]]:
    """When some task was listed ready and warm, as begin and end without overlap."""
    spans = []
    for history in histories:
        for news, following in zip(history, [*history[1:], None]):
            if news.state == "ready":
                begin = max(news.at, news.started + limits.warm_up_us)
                end = following.at if following else evidence.end
                if begin < end:
                    spans.append((begin, end))
    spans.sort()
    merged: list[list[int]] = []
    for begin, end in spans:
        if merged and begin <= merged[-1][1]:
            merged[-1][1] = max(merged[-1][1], end)
        else:
            merged.append([begin, end])
    return merged


# Rule 2.


def check_effects(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Rule 2: no RPC takes effect twice."""
    effects: dict[str, list[dict]] = defaultdict(list)
    for row in evidence.rows:
        if row["k"] == "effect":
            effects[row["token"]].append(row)
    repeated = [rows for rows in effects.values() if len(rows) > 1]
    if not repeated:
        return Verdict(2, True, 0.0, f"{len(effects)} effects, none twice")
    rows = repeated[0]
    tasks = " and ".join(row["task"] for row in rows)
    where = f"{rows[0]['token']} took effect at {tasks} ({len(repeated)} such tokens)"
    return Verdict(2, False, float(len(rows)), where)


# Rule 3.


class _ClosedSpan(NamedTuple):
    """A task is closed for an assigner: since `closed_at`, by news from `told_at` to `until` (us)."""

    closed_at: int
    told_at: int
    until: int
    state: str


def check_drains(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Rule 3: tasks that drain or are gone get nothing after the grace."""
    worst = _Worst("nothing was sent to a closed task")
    attempts: dict[str, list[dict]] = defaultdict(list)
    for row in evidence.rows:
        if row["k"] == "try":
            attempts[row["task"]].append(row)
    for assigner, tasks in evidence.task_news.items():
        for task, history in tasks.items():
            for closed in _closed_spans(evidence, assigner, history):
                for row in attempts[task]:
                    _note_attempt(evidence, limits, assigner, closed, row, worst)
    return worst.verdict(3)


def _closed_spans(evidence: Evidence, assigner: int, history: list[TaskNews]) -> Iterator[_ClosedSpan]:
    for index, (news, following) in enumerate(zip(history, [*history[1:], None])):
        if news.state == "ready":
            continue
        closed_at = news.at  # since the first news of it to this run of the assigner
        for earlier in reversed(history[:index]):
            if earlier.state == "ready" or earlier.at < evidence.began(assigner, news.at):
                break
            closed_at = earlier.at
        yield _ClosedSpan(closed_at, news.at, following.at if following else evidence.end, news.state)


def _note_attempt(  # noqa: PLR0913, PLR0917 - one step of `check_drains`
    evidence: Evidence, limits: RuleLimits, assigner: int, closed: _ClosedSpan, row: dict, worst: _Worst
) -> None:
    at, proxy = row["t"], row["proxy"]
    if not closed.told_at < at < closed.until:
        return
    joined = evidence.joined_at(proxy, at)
    if joined is None or joined.assigner != assigner:
        return
    if evidence.began(assigner, at) != evidence.began(assigner, closed.told_at):
        return
    late_us = at - max(closed.closed_at, joined.since)
    where = f"{proxy} sent to {row['task']} {late_us / 1e6:.2f} s after it was told {closed.state}"
    worst.note(late_us / limits.drain_grace_us, where)


# Rule 4.


class _Arrival(NamedTuple):
    """Work that came to a cold task."""

    at: int
    work_us: float
    proxy: str


def check_cold_tasks(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Rule 4: no cold task is pushed over by proxies that knew, or whose assigner had known long enough."""
    worst = _Worst("no cold task was near its limit")
    starts: dict[tuple[str, str], dict] = {}
    windows: dict[tuple[str, str], deque[_Arrival]] = defaultdict(deque)
    for row in evidence.rows:
        if row["k"] == "task_up" and row["cold"]:
            starts[row["task"], row["run"]] = row
        elif row["k"] == "rpc" and (row["task"], row["run"]) in starts:
            run = row["task"], row["run"]
            _note_cold_rpc(evidence, limits, starts[run], windows[run], row, worst)
    fell = sum(row["k"] == "fell" for row in evidence.rows)
    return worst.verdict(4, f"; {fell} fell over" if fell else "")


def _note_cold_rpc(  # noqa: PLR0913, PLR0917 - one step of `check_cold_tasks`
    evidence: Evidence, limits: RuleLimits, start: dict, window: deque[_Arrival], row: dict, worst: _Worst
) -> None:
    age_us = row["t"] - start["born"]
    if age_us >= start["cold_us"]:
        return
    window.append(_Arrival(row["t"], row["work"], row["proxy"]))
    while window[0].at <= row["t"] - limits.fall_us:
        window.popleft()
    fraction = start["cold_from"] + (1 - start["cold_from"]) * age_us / start["cold_us"]
    allowed_us = limits.fall_multiple * start["cores"] * start["speed"] * fraction * limits.fall_us
    work_us = sum(arrival.work_us for arrival in window)
    known = _known_since(evidence, row["task"], row["run"])
    if not known:
        return
    aware_us = sum(arrival.work_us for arrival in window if _knew(evidence, limits, arrival.proxy, known, arrival.at))
    if aware_us * AWARE_DENOMINATOR < work_us * AWARE_NUMERATOR:
        return  # too much of it came from proxies that could not know
    used = work_us / allowed_us
    worst.note(used, f"{row['task']} at {used:.0%} of what it falls at, {age_us / 1e6:.1f} s old")


def _known_since(evidence: Evidence, task: str, run: str) -> dict[int, int]:
    """When each assigner first learned of this run of a task (us)."""
    return {
        assigner: news.at
        for assigner, tasks in evidence.task_news.items()
        for news in reversed(tasks.get(task, ()))
        if news.run == run
    }


def _knew(evidence: Evidence, limits: RuleLimits, proxy: str, known: dict[int, int], at: int) -> bool:
    """Whether a proxy could know of a start that assigners learned of when `known` says.

    It could if its last message by then was sent knowing of it, or if the assigner that it is joined to has known for
    the grace.
    """
    joined = evidence.joined_at(proxy, at)
    if joined is not None and joined.assigner in known and at >= known[joined.assigner] + limits.drain_grace_us:
        return True
    messages = evidence.messages.get(proxy, [])
    index = bisect.bisect_right(messages, (at, END_OF_TIME, 0)) - 1
    if index < 0:
        return False
    assigner, _ = evidence.run_of(proxy, messages[index].at)
    return messages[index].at >= known.get(assigner, END_OF_TIME)


# Rule 5.


def check_pace(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Rule 5: messages per proxy, lines of one decision, and the pace of all lines stay within their limits."""
    worst = _Worst("no message was sent")
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
    evidence: Evidence, limits: RuleLimits, proxy: str, messages: list[ReceivedUpdate], worst: _Worst
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


def _note_pace(limits: RuleLimits, sent: list[tuple[int, float]], worst: _Worst) -> None:
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
