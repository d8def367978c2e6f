"""Pooled estimates: a value per attempt that falls back on wider groups where there are few attempts."""

from __future__ import annotations

PRIOR_ATTEMPTS = 6.0  # weight of the wider group's value, in attempts


def per_attempt(
    sums: list[list[float]], attempts: list[list[float]], prior: float, tasks: list[int], task_zone: list[int]
) -> list[list[float]]:
    """Return the mean value per attempt, by zone of proxies and task.

    With few attempts, it falls back on the value that all zones observed at the task, scaled by the ratio of observed
    to expected values that this zone has in the task's zone. Without any attempts it is the overall mean.

    Args:
        sums: Sum of the values by zone of proxies and task.
        attempts: Number of attempts by zone of proxies and task.
        prior: Value per attempt to assume without any reports.
        tasks: The ready tasks.
        task_zone: Zone by task.
    """
    all_attempts = {task: sum(column[task] for column in attempts) for task in tasks}
    totals = {task: sum(column[task] for column in sums) for task in tasks}
    mean = (sum(totals.values()) + PRIOR_ATTEMPTS * prior) / (sum(all_attempts.values()) + PRIOR_ATTEMPTS)
    pooled = {task: (totals[task] + PRIOR_ATTEMPTS * mean) / (all_attempts[task] + PRIOR_ATTEMPTS) for task in tasks}
    rows = []
    for zone_sums, zone_attempts in zip(sums, attempts):
        ratio = _observed_to_expected(zone_sums, zone_attempts, pooled, task_zone, [PRIOR_ATTEMPTS * mean] * len(sums))
        row = [mean] * len(zone_attempts)
        for task, pooled_value in pooled.items():
            weighted_prior = PRIOR_ATTEMPTS * pooled_value * ratio[task_zone[task]]
            row[task] = (zone_sums[task] + weighted_prior) / (zone_attempts[task] + PRIOR_ATTEMPTS)
        rows.append(row)
    return rows


def _observed_to_expected(
    sums: list[float], attempts: list[float], pooled: dict[int, float], task_zone: list[int], prior: list[float]
) -> list[float]:
    """Return, by zone of tasks, the ratio of the sums that one zone of proxies observed to those expected.

    The expected sums follow from the values that all zones of proxies together observed at the same tasks.

    Args:
        sums: Sum of the values that this zone of proxies observed, by task.
        attempts: Attempts of this zone of proxies, by task.
        pooled: Value per attempt that all zones observed, by task.
        task_zone: Zone by task.
        prior: Sum added to both the observed and the expected value, by zone of tasks.
    """
    observed = list(prior)
    expected = list(prior)
    for task, pooled_value in pooled.items():
        observed[task_zone[task]] += sums[task]
        expected[task_zone[task]] += attempts[task] * pooled_value
    return [
        observed_sum / expected_sum if expected_sum > 0 else 1.0
        for observed_sum, expected_sum in zip(observed, expected)
    ]
