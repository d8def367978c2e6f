"""Pooled estimates: a figure per attempt that leans on wider groups where there are few attempts."""

from __future__ import annotations

PRIOR_ATTEMPTS = 6.0  # attempts' worth of trust in what the wider group shows


def per_attempt(
    sums: list[list[float]], attempts: list[list[float]], prior: float, tasks: list[int], home: list[int]
) -> list[list[float]]:
    """A figure per attempt, by zone of proxies and task.

    With few attempts it leans on what all zones saw at the task and on what this zone saw in the task's zone; with none
    it is the average.

    Args:
        sums: The figure's sums by zone of proxies and task.
        attempts: The attempts that these are over, likewise.
        prior: The figure where nothing was reported at all.
        tasks: The ready tasks.
        home: Zone by task.
    """
    all_attempts = {task: sum(column[task] for column in attempts) for task in tasks}
    totals = {task: sum(column[task] for column in sums) for task in tasks}
    mean = (sum(totals.values()) + PRIOR_ATTEMPTS * prior) / (sum(all_attempts.values()) + PRIOR_ATTEMPTS)
    pooled = {task: (totals[task] + PRIOR_ATTEMPTS * mean) / (all_attempts[task] + PRIOR_ATTEMPTS) for task in tasks}
    rows = []
    for zone_sums, zone_attempts in zip(sums, attempts):
        ratio = _seen_to_expected(zone_sums, zone_attempts, pooled, home, [PRIOR_ATTEMPTS * mean] * len(sums))
        row = [mean] * len(zone_attempts)
        for task, figure in pooled.items():
            weighted_prior = PRIOR_ATTEMPTS * figure * ratio[home[task]]
            row[task] = (zone_sums[task] + weighted_prior) / (zone_attempts[task] + PRIOR_ATTEMPTS)
        rows.append(row)
    return rows


def _seen_to_expected(
    sums: list[float], attempts: list[float], pooled: dict[int, float], home: list[int], prior: list[float]
) -> list[float]:
    """By zone of tasks, what one zone of proxies saw there over what all zones saw at those tasks.

    Args:
        sums: As seen from this zone of proxies, by task.
        attempts: Its attempts, by task.
        pooled: The figure per attempt that all zones saw at each task.
        home: Zone by task.
        prior: By zone of tasks, what is added to both sides.
    """
    seen = list(prior)
    expected = list(prior)
    for task, figure in pooled.items():
        seen[home[task]] += sums[task]
        expected[home[task]] += attempts[task] * figure
    return [saw / due if due > 0 else 1.0 for saw, due in zip(seen, expected)]
