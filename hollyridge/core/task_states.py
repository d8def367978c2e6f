"""State, start and last load report of each listed task, for the protocol servers and the log."""

from __future__ import annotations

from collections.abc import Set

from hollyridge.interface import AssignerConfig, Endpoint, EndpointListUpdate, TaskState

CONFIDENCE_PERIODS = 4  # report periods after a task's last load report in which its weight is trusted
NEVER_US = -1 << 60  # time of the last load report of a task without any


class TaskStates:
    """The endpoint list by task.

    Args:
        config: The deployment, for its warm-up time and report period.
        ejected: The tasks that are ejected from all tables, shared with the update builder.

    Attributes:
        endpoints: The endpoint list entry of each task.
        last_report_at: Time at which the last load report of each task arrived, in microseconds.
    """

    def __init__(self, config: AssignerConfig, ejected: Set[int]) -> None:
        self.warm_up_us = config.warm_up_us
        self.confidence_us = CONFIDENCE_PERIODS * config.report_period_us
        self.ejected = ejected
        self.endpoints: dict[int, Endpoint] = {}
        self.last_report_at: dict[int, int] = {}

    def apply(self, update: EndpointListUpdate) -> None:
        """Add the entries of an endpoint list update."""
        for endpoint in update.endpoints:
            self.endpoints[endpoint.task] = endpoint

    def forget(self, task: int | None) -> None:
        """Drop the state of a task index whose holder is no longer listed."""
        self.endpoints.pop(task, None)
        self.last_report_at.pop(task, None)

    def is_warming_up(self, now_us: int, task: int) -> bool:
        """Return whether the task started less than the warm-up time ago."""
        endpoint = self.endpoints.get(task)
        return endpoint is not None and endpoint.started_at_us > 0 and now_us - endpoint.started_at_us < self.warm_up_us

    def is_closed(self, task: int) -> bool:
        """Return whether the task must not be sent to: it is not listed, not ready or ejected."""
        endpoint = self.endpoints.get(task)
        return endpoint is None or endpoint.state != TaskState.READY or task in self.ejected

    def is_running(self, task: int) -> bool:
        """Return whether the task is listed, draining or not."""
        endpoint = self.endpoints.get(task)
        return endpoint is not None and endpoint.state != TaskState.GONE

    def is_confident(self, now_us: int, task: int) -> bool:
        """Return whether the task's weight follows from recent load reports, not from its listed weight."""
        report_age_us = now_us - self.last_report_at.get(task, NEVER_US)
        return report_age_us < self.confidence_us and not self.is_warming_up(now_us, task)
