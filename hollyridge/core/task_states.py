"""What is known of each listed task, for the protocol servers and the log: its state, its start, its load reports."""

from __future__ import annotations

from collections.abc import Set

from hollyridge.interface import AssignerConfig, Endpoint, EndpointListUpdate, TaskState

CONFIDENCE_PERIODS = 4  # report periods for which a weight rests on the task's last load report
NEVER_US = -1 << 60


class TaskStates:
    """Keeps the endpoint list by task.

    Args:
        config: The deployment, for its warm-up time and report period.
        ejected: The tasks that are ejected from all tables, as the update builder keeps them.

    Attributes:
        endpoints: The endpoint list entry of each task.
        last_report_at: When the last load report of each task came in.
    """

    def __init__(self, config: AssignerConfig, ejected: Set[int]) -> None:
        self.warm_up_us = config.warm_up_us
        self.confidence_us = CONFIDENCE_PERIODS * config.report_period_us
        self.ejected = ejected
        self.endpoints: dict[int, Endpoint] = {}
        self.last_report_at: dict[int, int] = {}

    def apply(self, update: EndpointListUpdate) -> None:
        """Take in the entries of an endpoint list update."""
        for endpoint in update.endpoints:
            self.endpoints[endpoint.task] = endpoint

    def forget(self, task: int | None) -> None:
        """Drop what is known of an index: its holder is not listed any more."""
        self.endpoints.pop(task, None)
        self.last_report_at.pop(task, None)

    def is_warming_up(self, now_us: int, task: int) -> bool:
        """Whether the task started less than the warm-up time ago."""
        endpoint = self.endpoints.get(task)
        return endpoint is not None and endpoint.started_at_us > 0 and now_us - endpoint.started_at_us < self.warm_up_us

    def is_closed(self, task: int) -> bool:
        """Whether the task must not be sent to: it is not listed, not ready, or ejected."""
        endpoint = self.endpoints.get(task)
        return endpoint is None or endpoint.state != TaskState.READY or task in self.ejected

    def is_running(self, task: int) -> bool:
        """Whether the task is listed, draining or not."""
        endpoint = self.endpoints.get(task)
        return endpoint is not None and endpoint.state != TaskState.GONE

    def is_confident(self, now_us: int, task: int) -> bool:
        """Whether the task's weight rests on recent load reports, not on its listed size."""
        report_age_us = now_us - self.last_report_at.get(task, NEVER_US)
        return report_age_us < self.confidence_us and not self.is_warming_up(now_us, task)
