"""One assigner without threads or sockets: what came in, what the module ordered, what may leave now.

`run(now)` does all that is due and returns when it wants to be called next; whoever owns it brings the clock and
the wire. A failure of the module ends nothing silently: it is logged with the events that led to it, proxies keep
what they hold, and a fresh module is told the list and who is joined, as after a restart.
"""

from __future__ import annotations

import heapq
import traceback
from collections import deque
from collections.abc import Callable, Hashable
from typing import NamedTuple, Protocol

from hdrh.histogram import HdrHistogram

from hollyridge import interface as api
from hollyridge.core.protocol_server import ProtocolServer
from hollyridge.decisions.assigner import Assigner
from hollyridge.delivery.paced_queue import PacedQueue
from hollyridge.delivery.update_builder import UpdateBuilder
from hollyridge.registration import members
from hollyridge.registration.index_allocator import IndexAllocator
from hollyridge.store.table_versions import TableStore
from hollyridge.telemetry.report_aggregator import DataPoint, ReportAggregator


class EngineLimits(NamedTuple):
    """Counts and times (microseconds) of one assigner that the module does not read."""

    lines_per_s: float
    message_overhead_lines: float
    max_waiting_lines: float
    max_tasks: int
    max_proxies: int
    max_series: int
    max_series_per_source: int
    max_rate_per_s: float
    max_reports_per_period: int
    max_pending_events: int


class EndpointSource(Protocol):
    """Where the list of tasks comes from. It is `settled` once there is a first list to hand on."""

    settled: bool
    entries: dict

    def handle(self, now: int, what: object) -> members.RegistrationOutcome:
        """Something about the list, `members.RefreshRequested` and `members.Tick` included; what follows."""

    def full_list(self, kind: api.UpdateKind) -> api.EndpointListUpdate:
        """All of it, as it stands."""

    def next_deadline(self, now: int) -> int | None:
        """When a `Tick` is due next."""

    def counters(self) -> dict[str, int]:
        """Counts for the status."""


def spread(figures: HdrHistogram) -> dict[str, int]:
    """For the status: median, 99th percentile and the most."""
    return {
        "p50": figures.get_value_at_percentile(50),
        "p99": figures.get_value_at_percentile(99),
        "max": figures.get_max_value(),
    }


class DecisionModuleError(Exception):
    """The module failed too often to go on."""


WAKES = 4096
HISTORY = 64  # versions of a table that late readers can be brought forward from
FAILURES = 3  # of the module within a minute; one more and the assigner gives up
TRAIL = 64  # events kept for the log of a failure


class Engine:
    """`make_assigner(config, seed)` builds the decision module: `decisions.Assigner`, or a baseline of the laboratory.
    `source`: where the list of tasks comes from. `log_decisions`: a log line for each decision."""

    def __init__(
        self,
        config: api.AssignerConfig,
        seed: int,
        limits: EngineLimits,
        source: EndpointSource,
        now: int,
        log,
        make_assigner: Callable = Assigner,
        log_decisions: bool = True,
    ) -> None:
        self.config, self.seed, self.limits, self.log, self.make_assigner = config, seed, limits, log, make_assigner
        self.assigner = make_assigner(config, seed)
        self.task_indices = IndexAllocator(
            max(config.warm_up_us, config.drain_grace_us) * 2,
            limits.max_tasks,
            lambda task: self.update_builder.mentions(task) or self.task_in_use(task),
        )
        self.proxy_indices = IndexAllocator(config.drain_grace_us * 2, min(limits.max_proxies, 65535))
        self.endpoint_source, self.log_decisions = source, log_decisions
        self.reports = ReportAggregator(
            limits.max_series,
            limits.max_series_per_source,
            limits.max_rate_per_s,
            limits.max_reports_per_period,
            60 * config.report_period_us,
        )
        self.update_builder = UpdateBuilder(len(config.methods), TableStore(HISTORY))
        self.queue = PacedQueue(limits.lines_per_s, limits.message_overhead_lines, limits.max_waiting_lines)
        self.servers: dict[int, ProtocolServer] = {}
        self.proxy_details: dict[int, tuple[Hashable, int, float]] = {}  # proxy: name, zone, usual rate
        self.endpoints: dict[int, api.Endpoint] = {}
        self.last_report_at: dict[int, int] = {}  # task: when news of it came last
        self.task_in_use: Callable[[int], bool] = lambda task: False  # may a front still say something of it?
        self.may_command: Callable[[int, Hashable], bool] | None = (
            None  # may this proxy be ordered now (a shared fleet)?
        )
        self.pending_events: deque[tuple[int, api.Event]] = deque()
        self.timers: list[tuple[int, int]] = []
        self.recent_events: deque[tuple[int, api.Event]] = deque(maxlen=TRAIL)
        self.failures: deque[int] = deque()
        self.decision_number = 0
        self.started, self.ran_at = False, now
        self.next_gather_at = now + config.report_period_us
        self.refused_commands: dict[str, int] = {}
        self.counts = dict.fromkeys(
            (
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
            ),
            0,
        )
        self.latency = HdrHistogram(1, 60_000_000, 3)

    # What the fronts and the intake say.

    def submit(self, now: int, event: api.Event) -> None:
        """Queue an event for the module. Past the limit, reports give way to what changes the fleet."""
        if len(self.pending_events) >= self.limits.max_pending_events and isinstance(
            event, (api.TrafficReport, api.OfferedLoad)
        ):
            self.counts["events_dropped"] += 1
            return
        self.pending_events.append((now, event))

    def join(
        self, now: int, front: ProtocolServer, name: Hashable, zone: int, rate: float, standing_only: bool = False
    ) -> int | None:
        """A proxy's stream stands; its index, or None where no more are taken. `standing_only`: it holds no table that
        was ever ordered."""
        proxy = self.proxy_indices.allocate(now, name)
        if proxy is None:
            return None
        older = self.servers.get(proxy)
        if older is not None:  # by another front or a newer stream: it must not be ordered by two
            older.detach(proxy, "its name came again")
            self.leave(now, proxy)
            proxy = self.proxy_indices.allocate(now, name)
        self.servers[proxy], self.proxy_details[proxy] = front, (name, zone, rate)
        self.counts["joins"] += 1
        self.submit(now, api.ProxyJoined(rate, standing_only, proxy, zone))
        return proxy

    def leave(self, now: int, proxy: int) -> None:
        if self.servers.pop(proxy, None) is None:
            return
        name, _, _ = self.proxy_details.pop(proxy)
        self.proxy_indices.release(now, name)
        self.queue.discard(proxy)
        self.update_builder.forget(proxy)
        self.submit(now, api.ProxyLeft(proxy))

    def acknowledge(self, now: int, proxy: int, mark: int, took: int) -> None:
        self.submit(now, api.Ack(proxy, mark, took))

    def report(self, now: int, point: DataPoint) -> str:
        """Take one reported figure; empty if it counts, else why not."""
        why = self.reports.add(now, point)
        if not why and point.place[1] in self.endpoints and point.kind <= 2:
            self.last_report_at[point.place[1]] = now
        return why

    def update_endpoints(self, now: int, what: object) -> members.Refusal | None:
        """Something about the list; why it was turned down, or None."""
        outcome = self.endpoint_source.handle(now, what)
        if outcome.change is not None:
            for entry in outcome.change.endpoints:
                self.endpoints[entry.task] = entry
        for key in outcome.left:  # what is known of an index goes with its bearer, whether its end was told or not
            task = self.task_indices.index.get(key)
            self.endpoints.pop(task, None)
            self.last_report_at.pop(task, None)
            self.task_indices.release(now, key)
        if outcome.change is not None:
            self.log.info(
                "list",
                version=outcome.change.version,
                entries=len(outcome.change.endpoints),
                states=[(e.task, int(e.state)) for e in outcome.change.endpoints[:20]],
            )
            self.submit(now, outcome.change)
        return outcome.refusal

    # What is known of a task, for a front's entries.

    def is_warming_up(self, now: int, task: int) -> bool:
        entry = self.endpoints.get(task)
        return entry is not None and entry.started_at_us > 0 and now - entry.started_at_us < self.config.warm_up_us

    def is_closed(self, task: int) -> bool:
        entry = self.endpoints.get(task)
        return entry is None or entry.state != api.TaskState.READY or task in self.update_builder.ejected

    def is_running(self, task: int) -> bool:
        entry = self.endpoints.get(task)
        return entry is not None and entry.state != api.TaskState.GONE

    def is_confident(self, now: int, task: int) -> bool:
        """Whether its weight rests on news, not on its listed size."""
        return now - self.last_report_at.get(
            task, -1 << 60
        ) < 4 * self.config.report_period_us and not self.is_warming_up(now, task)

    # The loop.

    def run(self, now: int) -> int:
        """Do all that is due; returns when to be called next, sooner if something comes in. Raises ModuleError."""
        self.ran_at = now
        due = self.endpoint_source.next_deadline(now)
        if due is not None and (due <= now or not self.endpoint_source.settled):
            self.update_endpoints(now, members.Tick())
        if now >= self.next_gather_at:
            for event in self.reports.collect(now):
                self.submit(now, event)
            self.next_gather_at = max(
                self.next_gather_at + self.config.report_period_us, now + self.config.report_period_us // 2
            )
        if self.endpoint_source.settled and (
            self.pending_events or not self.started or self.timers and self.timers[0][0] <= now
        ):
            self.decide(now)
        while (update := self.queue.take(now)) is not None:
            front = self.servers.get(update.proxy)
            if (
                front is not None
                and self.may_command is not None
                and not self.may_command(now, self.proxy_details[update.proxy][0])
            ):
                self.counts["withheld"] += 1  # its lease ran out while it waited, or while we stood still
            elif front is not None:
                front.write(update.proxy, update)
                self.counts["messages"] += 1
                self.latency.record_value(min(max(now - update.decided_at_us, 1), 60_000_000))
        times = [self.next_gather_at, self.endpoint_source.next_deadline(now), self.queue.due]
        if self.timers and self.endpoint_source.settled:
            times.append(self.timers[0][0])
        return min(at for at in times if at is not None)

    def decide(self, now: int) -> None:
        events: list[api.Event] = []
        oldest = now
        if not self.started:  # the first list is in the inbox, before all else
            self.started = True
        while self.pending_events:
            at, event = self.pending_events.popleft()
            oldest = min(oldest, at)
            events.append(event)
            self.recent_events.append((now, event))
        while self.timers and self.timers[0][0] <= now:
            events.append(api.TimerFired(heapq.heappop(self.timers)[1]))
        events.sort(key=lambda event: 0 if type(event) is api.EndpointListUpdate else 1)  # stable: the rest as it came
        events.append(api.QueueDepth(self.queue.waiting_lines))  # last: receipts of joined messages prove too much
        self.decision_number += 1
        self.counts["events"] += len(events)
        try:
            orders = self.assigner.decide(now, events)
        except Exception as trouble:  # whatever it is, the program must go on and say so
            self.recover(now, trouble)
            return
        self.counts["decisions"] += 1
        self.counts["orders"] += len(orders)
        self.apply_commands(now, oldest, orders)

    def apply_commands(self, now: int, oldest: int, orders: list[api.Command]) -> None:
        tables: list[api.Command] = []
        for order in orders:
            if type(order) is api.SetTimer:
                if len(self.timers) < WAKES:
                    heapq.heappush(self.timers, (now + max(order.delay_us, 1), order.token))
                else:
                    self.counts["wakes_dropped"] += 1
            elif type(order) in (api.RefreshEndpoints, api.WatchEndpoints):
                self.update_endpoints(now, members.RefreshRequested())
            elif type(order) is api.LogNote:
                self.log.info("note", text=order.text)
            else:
                tables.append(order)
        if not tables:
            return
        abilities = {proxy: front.capabilities for proxy, front in self.servers.items()}
        updates, refused = self.update_builder.build(oldest, self.decision_number, tables, abilities)
        for why, count in refused.items():
            self.refused_commands[why] = self.refused_commands.get(why, 0) + count
        for update in updates:
            self.queue.put(now, update, *self.servers[update.proxy].count_lines(update.proxy, update))
        self.log_change(now, tables, updates, refused)

    def log_change(self, now: int, orders: list[api.Command], updates: list, refused: dict[str, int]) -> None:
        """One log line a decision: which tables and tasks, and which part of the module moved them."""
        self.counts["puts"] += sum(type(order) is api.SetWeight for order in orders)
        if not self.log_decisions:
            return
        causes: dict[str, list] = {}
        for order in orders:
            if type(order) is api.SetWeight:
                causes.setdefault(self.change_cause(now, order), []).append(
                    (order.table, order.task, round(order.weight, 4))
                )
            elif type(order) is api.BindTable:
                causes.setdefault("joins", []).append((order.proxy, order.table))
            elif type(order) is api.SetAdmission:
                causes.setdefault("levels", []).append((order.table, order.methods, order.amount))
        if causes or refused:
            self.log.info(
                "decided",
                version=self.decision_number,
                messages=len(updates),
                waiting=round(self.queue.waiting_lines),
                refused=refused or None,
                **{cause: rows[:40] for cause, rows in causes.items()},
            )

    def change_cause(self, now: int, order: api.SetWeight) -> str:
        if self.is_closed(order.task):
            return "drain"
        if self.is_warming_up(now, order.task):
            return "ramp"
        return "solver" if order.weight > 0 else "reach"

    def recover(self, now: int, trouble: Exception) -> None:
        self.counts["module_failures"] += 1
        self.log.error(
            "module failed",
            version=self.decision_number,
            error=f"{type(trouble).__name__}: {trouble}",
            where=traceback.format_exception(trouble)[-3:],
            events=[repr(row) for row in self.recent_events],
        )
        self.failures.append(now)
        while self.failures[0] < now - 60_000_000:
            self.failures.popleft()
        if len(self.failures) > FAILURES:
            raise DecisionModuleError(f"the module failed {len(self.failures)} times within a minute")
        self.assigner = self.make_assigner(self.config, self.seed)
        self.update_builder = UpdateBuilder(len(self.config.methods), TableStore(HISTORY))
        self.queue = PacedQueue(
            self.limits.lines_per_s, self.limits.message_overhead_lines, self.limits.max_waiting_lines
        )
        self.timers.clear()
        self.recent_events.clear()
        self.pending_events.append((now, self.endpoint_source.full_list(api.UpdateKind.CACHED)))
        for proxy, (_, zone, rate) in self.proxy_details.items():
            self.pending_events.append((now, api.ProxyJoined(rate, False, proxy, zone)))

    def status(self) -> dict:
        """Counts and levels for logs and the status page."""
        counters = getattr(self.assigner, "counters", dict)()
        return {
            "at": self.ran_at,
            "module": counters,
            **self.counts,
            "refused": self.refused_commands,
            "waiting": round(self.queue.waiting_lines),
            "waiting_most": self.queue.peak_lines,
            "merged": self.queue.merged_updates,
            "over_limit": self.queue.overflows,
            "lost_lines": self.queue.lost_lines,
            "proxies": len(self.servers),
            "tasks": len(self.endpoint_source.entries),
            **self.endpoint_source.counters(),
            "turned_down": self.reports.rejected,
            "news_to_frame_us": spread(self.latency),
        }
