"""The engine of one assigner: it collects events, runs the decision module and sends the updates that are due.

It has no threads, no sockets and no clock of its own. `Engine.run` does all that is due and returns the time of its
next call. The owner of the engine provides the clock and the connections. A failure of the decision module is always
logged, with the events that led to it. Proxies then keep their tables, and a new module gets the endpoint list and the
joined proxies as after a restart.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable
from typing import TYPE_CHECKING, NamedTuple

from hollyridge.core.decision_log import DecisionLog, DecisionSummary
from hollyridge.core.endpoint_source import EndpointSource
from hollyridge.core.engine_limits import EngineLimits
from hollyridge.core.event_queue import EventQueue
from hollyridge.core.failure_recovery import DecisionModuleError, FailureRecovery
from hollyridge.core.protocol_server import ProtocolServer
from hollyridge.core.status import engine_status, percentiles
from hollyridge.core.task_states import TaskStates
from hollyridge.core.update_dispatcher import UpdateDispatcher
from hollyridge.decisions.assigner import Assigner
from hollyridge.delivery.paced_queue import PacedQueue
from hollyridge.delivery.update_builder import UpdateBuilder
from hollyridge.interface import (
    Ack,
    AssignerConfig,
    Command,
    Event,
    LogNote,
    ProxyJoined,
    ProxyLeft,
    QueueDepth,
    RefreshEndpoints,
    SetTimer,
    SetWeight,
    UpdateKind,
    WatchEndpoints,
)
from hollyridge.registration import members
from hollyridge.registration.index_allocator import IndexAllocator
from hollyridge.telemetry.report_aggregator import TASK_TRAFFIC, DataPoint, ReportAggregator

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

__all__ = ["DecisionModuleError", "Engine", "EngineLimits", "ProxyDetails", "percentiles"]

MAX_PROXY_INDICES = 65_535  # the interface numbers proxies in 16 bits
SERIES_EXPIRY_PERIODS = 60  # report periods without a data point after which a series is dropped
LOGGED_ENDPOINTS = 20  # maximum number of entries in the log line of an endpoint list update

COUNTERS = (  # keys of the status page
    "decisions",
    "orders",
    "messages",
    "events",
    "events_dropped",
    "wakes_dropped",
    "module_failures",
    "puts",
    "joins",
    "withheld",
)


class ProxyDetails(NamedTuple):
    """Facts that a proxy stated when it joined.

    Attributes:
        name: The proxy's own name.
        zone: Index of its zone.
        usual_rate_per_s: The RPC rate that it usually receives.
    """

    name: Hashable
    zone: int
    usual_rate_per_s: float


def _no_task_in_use(task: int) -> bool:
    return False


class Engine:
    """Driver of one decision module between an endpoint list, load reports and the proxies' protocol servers.

    Args:
        config: The deployment, as the decision module reads it.
        seed: Seed of the decision module's random numbers.
        limits: Limits that the engine itself enforces.
        source: Maintainer of the endpoint list.
        now: Current time, in microseconds. The times of all later calls are of the same clock.
        log: The logger.
        make_assigner: Factory of the decision module, called with the configuration and the seed:
            `decisions.Assigner` or a baseline of the laboratory.
        log_decisions: Whether each decision is logged.

    Attributes:
        servers: The protocol server of each joined proxy.
        endpoints: The endpoint list entry of each task.
        task_in_use: Returns whether a server may still send something about a task. The servers' owner sets it.
        may_command: Returns whether this assigner may command a proxy, given the time and the proxy's name. None if
            assigners do not share proxies.
        decision_number: Number of the last decision. It is the version of the tables that the decision changed.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - callers in four packages pass these by position
        self,
        config: AssignerConfig,
        seed: int,
        limits: EngineLimits,
        source: EndpointSource,
        now: int,
        log: FilteringBoundLogger,
        make_assigner: Callable = Assigner,
        log_decisions: bool = True,
    ) -> None:
        self.config = config
        self.seed = seed
        self.limits = limits
        self.log = log
        self.make_assigner = make_assigner
        self.log_decisions = log_decisions
        self.assigner = make_assigner(config, seed)
        self.endpoint_source = source
        self.task_indices = IndexAllocator(
            max(config.warm_up_us, config.drain_grace_us) * 2,
            limits.max_tasks,
            lambda task: self.update_builder.mentions(task) or self.task_in_use(task),
        )
        self.proxy_indices = IndexAllocator(config.drain_grace_us * 2, min(limits.max_proxies, MAX_PROXY_INDICES))
        self.reports = ReportAggregator(
            limits.max_series,
            limits.max_series_per_source,
            limits.max_rate_per_s,
            limits.max_reports_per_period,
            SERIES_EXPIRY_PERIODS * config.report_period_us,
        )
        self.counts = dict.fromkeys(COUNTERS, 0)
        self.update_dispatcher = UpdateDispatcher(len(config.methods), limits, self.counts)
        self.task_states = TaskStates(config, self.update_builder.ejected)
        self.servers: dict[int, ProtocolServer] = {}
        self.proxy_details: dict[int, ProxyDetails] = {}
        self.endpoints = self.task_states.endpoints
        self.task_in_use: Callable[[int], bool] = _no_task_in_use
        self.may_command: Callable[[int, Hashable], bool] | None = None
        self.event_queue = EventQueue(limits.max_pending_events)
        self.failure_recovery = FailureRecovery()
        self.decision_log = DecisionLog(self.task_states.is_closed, self.task_states.is_warming_up)
        self.decision_number = 0
        self.has_decided = False
        self.ran_at_us = now
        self.next_collect_at_us = now + config.report_period_us

    @property
    def update_builder(self) -> UpdateBuilder:
        """The builder of updates, which holds the commanded tables and the proxies that use each."""
        return self.update_dispatcher.update_builder

    @property
    def queue(self) -> PacedQueue:
        """The queue of updates that wait to be sent."""
        return self.update_dispatcher.queue

    @property
    def pending_events(self) -> deque[tuple[int, Event]]:
        """Events that wait for the next decision, as (time of submission, event)."""
        return self.event_queue.pending

    @property
    def timers(self) -> list[tuple[int, int]]:
        """Timers set by the decision module, as a heap of (due time, token)."""
        return self.event_queue.timers

    @property
    def recent_events(self) -> deque[tuple[int, Event]]:
        """The latest events passed to the decision module, as (time of the decision, event)."""
        return self.event_queue.recent

    # Events from protocol servers, the endpoint list and load reports.

    def submit(self, now_us: int, event: Event) -> None:
        """Queue an event for the next decision. Load reports are dropped while too many events wait."""
        if not self.event_queue.submit(now_us, event):
            self.counts["events_dropped"] += 1

    def join(  # noqa: PLR0913, PLR0917 - three protocol servers pass these by position
        self,
        now_us: int,
        server: ProtocolServer,
        name: Hashable,
        zone: int,
        usual_rate_per_s: float,
        has_no_table: bool = False,
    ) -> int | None:
        """Add a proxy whose stream is established.

        Args:
            now_us: The time, in microseconds.
            server: The protocol server that writes its updates.
            name: The proxy's own name. A newer stream of the same name replaces the older one.
            zone: Index of its zone.
            usual_rate_per_s: The RPC rate that it usually receives, as stated by itself.
            has_no_table: Whether it holds no table that was ever commanded.

        Returns:
            The proxy's index, or None if the limit on proxies is reached.
        """
        proxy = self.proxy_indices.allocate(now_us, name)
        if proxy is None:
            return None
        former_server = self.servers.get(proxy)
        if former_server is not None:  # two streams must not both get this proxy's updates
            former_server.detach(proxy, "a newer stream has the same name")
            self.leave(now_us, proxy)
            proxy = self.proxy_indices.allocate(now_us, name)
        self.servers[proxy] = server
        self.proxy_details[proxy] = ProxyDetails(name, zone, usual_rate_per_s)
        self.counts["joins"] += 1
        self.submit(now_us, ProxyJoined(usual_rate_per_s, has_no_table, proxy, zone))
        return proxy

    def leave(self, now_us: int, proxy: int) -> None:
        """Remove a proxy whose stream has ended, with the updates that wait for it."""
        if self.servers.pop(proxy, None) is None:
            return
        details = self.proxy_details.pop(proxy)
        self.proxy_indices.release(now_us, details.name)
        self.queue.discard(proxy)
        self.update_builder.forget(proxy)
        self.submit(now_us, ProxyLeft(proxy))

    def acknowledge(self, now_us: int, proxy: int, mark: int, apply_time_us: int) -> None:
        """Submit the acknowledgement that a proxy has applied all updates up to a mark."""
        self.submit(now_us, Ack(proxy, mark, apply_time_us))

    def report(self, now_us: int, point: DataPoint) -> str:
        """Add a data point of a load report. Return an empty string if it counts, else the reason why it does not."""
        reason = self.reports.add(now_us, point)
        task = point.subject[1]
        if not reason and task in self.endpoints and point.kind in TASK_TRAFFIC:
            self.task_states.last_report_at[task] = now_us
        return reason

    def update_endpoints(self, now_us: int, event: object) -> members.Refusal | None:
        """Pass an event to the source of the endpoint list. Return the reason of its refusal, or None."""
        outcome = self.endpoint_source.handle(now_us, event)
        change = outcome.change
        if change is not None:
            self.task_states.apply(change)
        for key in outcome.removed_keys:  # the state of an index ends with its holder, even if no update reports it
            self.task_states.forget(self.task_indices.index.get(key))
            self.task_indices.release(now_us, key)
        if change is not None:
            self.log.info(
                "endpoint_list_updated",
                version=change.version,
                entries=len(change.endpoints),
                states=[(endpoint.task, int(endpoint.state)) for endpoint in change.endpoints[:LOGGED_ENDPOINTS]],
            )
            self.submit(now_us, change)
        return outcome.refusal

    # State of tasks, for the protocol servers.

    def is_warming_up(self, now_us: int, task: int) -> bool:
        """Return whether the task started less than the warm-up time ago."""
        return self.task_states.is_warming_up(now_us, task)

    def is_closed(self, task: int) -> bool:
        """Return whether the task must not be sent to: it is not listed, not ready or ejected."""
        return self.task_states.is_closed(task)

    def is_running(self, task: int) -> bool:
        """Return whether the task is listed, draining or not."""
        return self.task_states.is_running(task)

    def is_confident(self, now_us: int, task: int) -> bool:
        """Return whether the task's weight follows from recent load reports, not from its listed weight."""
        return self.task_states.is_confident(now_us, task)

    # The loop.

    def run(self, now_us: int) -> int:
        """Do all that is due.

        Returns:
            The latest time of the next call. It has to come sooner if an event is submitted.

        Raises:
            DecisionModuleError: The decision module has failed too often.
        """
        self.ran_at_us = now_us
        self._tick_endpoint_source(now_us)
        self._collect_reports(now_us)
        if self.endpoint_source.settled and (not self.has_decided or self.event_queue.has_due(now_us)):
            self._decide(now_us)
        self.update_dispatcher.send_due(now_us, self.servers, self._may_send)
        return self._next_run_at(now_us)

    def _tick_endpoint_source(self, now_us: int) -> None:
        due = self.endpoint_source.next_deadline(now_us)
        if due is not None and (due <= now_us or not self.endpoint_source.settled):
            self.update_endpoints(now_us, members.Tick())

    def _collect_reports(self, now_us: int) -> None:
        if now_us < self.next_collect_at_us:
            return
        for event in self.reports.collect(now_us):
            self.submit(now_us, event)
        period_us = self.config.report_period_us
        self.next_collect_at_us = max(self.next_collect_at_us + period_us, now_us + period_us // 2)

    def _may_send(self, now_us: int, proxy: int) -> bool:
        """Return whether this assigner still owns a proxy, whose lease may have run out while an update waited."""
        return self.may_command is None or self.may_command(now_us, self.proxy_details[proxy].name)

    def _next_run_at(self, now_us: int) -> int:
        times = [self.next_collect_at_us, self.endpoint_source.next_deadline(now_us), self.queue.due]
        if self.endpoint_source.settled:
            times.append(self.event_queue.next_timer())
        return min(at for at in times if at is not None)

    def _decide(self, now_us: int) -> None:
        self.has_decided = True
        events, oldest_us = self.event_queue.take_due(now_us)
        # The queue depth is the last event, since acks of merged updates arrive early and prove less.
        events.append(QueueDepth(self.queue.waiting_lines))
        self.decision_number += 1
        self.counts["events"] += len(events)
        try:
            commands = self.assigner.decide(now_us, events)
        except Exception as error:  # a fault of the decision module must not end the program
            self._recover(now_us, error)
            return
        self.counts["decisions"] += 1
        self.counts["orders"] += len(commands)
        self.apply_commands(now_us, oldest_us, commands)

    def apply_commands(self, now_us: int, oldest_us: int, commands: list[Command]) -> None:
        """Execute commands: set timers and refresh the endpoint list at once, queue changes of tables as updates.

        Args:
            now_us: The time, in microseconds.
            oldest_us: Time at which the oldest event that led to the commands was submitted.
            commands: The commands in the order of the decision module.
        """
        table_commands: list[Command] = []
        for command in commands:
            kind = type(command)
            if kind is SetTimer:
                if not self.event_queue.set_timer(now_us, command.delay_us, command.token):
                    self.counts["wakes_dropped"] += 1
            elif kind is RefreshEndpoints or kind is WatchEndpoints:
                self.update_endpoints(now_us, members.RefreshRequested())
            elif kind is LogNote:
                self.log.info("decision_noted", text=command.text)
            else:
                table_commands.append(command)
        if table_commands:
            self._queue_updates(now_us, oldest_us, table_commands)

    def _queue_updates(self, now_us: int, oldest_us: int, commands: list[Command]) -> None:
        batch = self.update_dispatcher.enqueue(now_us, oldest_us, self.decision_number, commands, self.servers)
        self.counts["puts"] += sum(type(command) is SetWeight for command in commands)
        if self.log_decisions:
            summary = DecisionSummary(self.decision_number, len(batch.updates), self.queue.waiting_lines, batch.refused)
            self.decision_log.write(self.log, now_us, commands, summary)

    def _recover(self, now_us: int, error: Exception) -> None:
        """Replace the decision module by a new one and queue the events that follow a restart of the process."""
        self.counts["module_failures"] += 1
        self.failure_recovery.record(self.log, now_us, self.decision_number, error, self.recent_events)
        self.assigner = self.make_assigner(self.config, self.seed)
        self.update_dispatcher.reset()
        self.task_states.ejected = self.update_builder.ejected
        self.event_queue.reset()
        self.pending_events.append((now_us, self.endpoint_source.full_list(UpdateKind.CACHED)))
        for proxy, details in self.proxy_details.items():
            event = ProxyJoined(details.usual_rate_per_s, False, proxy, details.zone)
            self.pending_events.append((now_us, event))

    def status(self) -> dict:
        """Return counts and levels for the status page and the log."""
        return engine_status(self)
