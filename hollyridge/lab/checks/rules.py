"""Check of the five rules against recordings of the messages on the sockets; rules 1 to 3 are defined here."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from hollyridge.lab.checks.cold_rule import check_cold_tasks
from hollyridge.lab.checks.evidence import Evidence, TaskNews
from hollyridge.lab.checks.pace_rule import check_pace
from hollyridge.lab.checks.verdicts import RuleLimits, Verdict, WorstMoment


def check(evidence: Evidence, limits: RuleLimits) -> list[Verdict]:
    """Return the verdict on each rule."""
    rules = (check_lines, check_effects, check_drains, check_cold_tasks, check_pace)
    return [rule(evidence, limits) for rule in rules]


# Rule 1.


def check_lines(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Return the verdict on rule 1: no joined proxy is without a line while a warm ready task is listed."""
    warm = {assigner: _warm_spans(evidence, limits, tasks.values()) for assigner, tasks in evidence.task_news.items()}
    worst = WorstMoment("no proxy was ever without a line")
    for (proxy, group), spans in evidence.empty.items():
        for span in spans:
            joined = evidence.joined_at(proxy, span.begin)
            for first, last in warm.get(joined.assigner, ()) if joined else ():
                lasted_us = min(span.end, last) - max(span.begin, first)
                where = f"{proxy} without a line for {group} for {lasted_us / 1e6:.2f} s"
                worst.note(lasted_us / limits.max_empty_us, where)
    return worst.verdict(1)


def _warm_spans(evidence: Evidence, limits: RuleLimits, histories: Iterable[list[TaskNews]]) -> list[list[int]]:
    """Return spans in which any task was listed ready and warm, as [begin, end] in microseconds, without overlap."""
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
    """Return the verdict on rule 2: no RPC takes effect twice."""
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
    """Span in which an assigner knows that a task is closed; times are in microseconds.

    Attributes:
        closed_at: Time at which this run of the assigner first learned that the task closes.
        news_at: Time of the news that begins this span; a later one for the same closure if the state changed.
        until: Time of the next news of the task, or the end of the recording.
        state: State in the news: draining or gone.
    """

    closed_at: int
    news_at: int
    until: int
    state: str


def check_drains(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Return the verdict on rule 3: nothing is sent to draining or removed tasks after the grace period."""
    worst = WorstMoment("nothing was sent to a closed task")
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
        closed_at = news.at  # time of the first news of the closure in this run of the assigner
        for earlier in reversed(history[:index]):
            if earlier.state == "ready" or earlier.at < evidence.run_start(assigner, news.at):
                break
            closed_at = earlier.at
        yield _ClosedSpan(closed_at, news.at, following.at if following else evidence.end, news.state)


def _note_attempt(  # noqa: PLR0913, PLR0917 - one step of `check_drains`
    evidence: Evidence, limits: RuleLimits, assigner: int, closed: _ClosedSpan, row: dict, worst: WorstMoment
) -> None:
    at, proxy = row["t"], row["proxy"]
    if not closed.news_at < at < closed.until:
        return
    joined = evidence.joined_at(proxy, at)
    if joined is None or joined.assigner != assigner:
        return
    if evidence.run_start(assigner, at) != evidence.run_start(assigner, closed.news_at):
        return
    late_us = at - max(closed.closed_at, joined.since)
    where = f"{proxy} sent to {row['task']} {late_us / 1e6:.2f} s after it was told {closed.state}"
    worst.note(late_us / limits.drain_grace_us, where)
