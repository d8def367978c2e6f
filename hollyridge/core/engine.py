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
    head: float
    most_waiting: float
    most_tasks: int
    most_proxies: int
    most_series: int
    most_series_each: int
    most_rate: float
    news_lines: int
    events_most: int


class EndpointSource(Protocol):
    """Where the list of tasks comes from. It is `settled` once there is a first list to hand on."""

    settled: bool
    rows: dict

    def take(self, now: int, what: object) -> members.RegistrationOutcome:
        """Something about the list, `members.RefreshRequested` and `members.Tick` included; what follows."""

    def whole(self, kind: api.UpdateKind) -> api.EndpointListUpdate:
        """All of it, as it stands."""

    def next_at(self, now: int) -> int | None:
        """When a `Tick` is due next."""

    def figures(self) -> dict[str, int]:
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
    """`make(config, seed)` builds the decision module: `rules.Assigner`, or a baseline of the laboratory. `source`:
    where the list of tasks comes from. `detail`: a log line for each decision."""

    def __init__(
        self,
        config: api.AssignerConfig,
        seed: int,
        limits: EngineLimits,
        source: EndpointSource,
        now: int,
        log,
        make: Callable = Assigner,
        detail: bool = True,
    ) -> None:
        self.config, self.seed, self.limits, self.log, self.make = config, seed, limits, log, make
        self.module = make(config, seed)
        self.tasks = IndexAllocator(
            max(config.warm_up_us, config.drain_grace_us) * 2,
            limits.most_tasks,
            lambda task: self.desk.names(task) or self.holds(task),
        )
        self.proxies = IndexAllocator(config.drain_grace_us * 2, min(limits.most_proxies, 65535))
        self.members, self.detail = source, detail
        self.news = ReportAggregator(
            limits.most_series,
            limits.most_series_each,
            limits.most_rate,
            limits.news_lines,
            60 * config.report_period_us,
        )
        self.desk = UpdateBuilder(len(config.methods), TableStore(HISTORY))
        self.channel = PacedQueue(limits.lines_per_s, limits.head, limits.most_waiting)
        self.fronts: dict[int, ProtocolServer] = {}
        self.places: dict[int, tuple[Hashable, int, float]] = {}  # proxy: name, zone, usual rate
        self.listed: dict[int, api.Endpoint] = {}
        self.heard: dict[int, int] = {}  # task: when news of it came last
        self.holds: Callable[[int], bool] = lambda task: False  # may a front still say something of it?
        self.owned: Callable[[int, Hashable], bool] | None = None  # may this proxy be ordered now (a shared fleet)?
        self.inbox: deque[tuple[int, api.Event]] = deque()
        self.wakes: list[tuple[int, int]] = []
        self.trail: deque[tuple[int, api.Event]] = deque(maxlen=TRAIL)
        self.failures: deque[int] = deque()
        self.number = 0
        self.started, self.ran_at = False, now
        self.gather_at = now + config.report_period_us
        self.refused: dict[str, int] = {}
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

    def tell(self, now: int, event: api.Event) -> None:
        """Queue an event for the module. Past the limit, reports give way to what changes the fleet."""
        if len(self.inbox) >= self.limits.events_most and isinstance(event, (api.TrafficReport, api.OfferedLoad)):
            self.counts["events_dropped"] += 1
            return
        self.inbox.append((now, event))

    def join(
        self, now: int, front: ProtocolServer, name: Hashable, zone: int, rate: float, standing_only: bool = False
    ) -> int | None:
        """A proxy's stream stands; its index, or None where no more are taken. `standing_only`: it holds no table that
        was ever ordered."""
        proxy = self.proxies.enter(now, name)
        if proxy is None:
            return None
        older = self.fronts.get(proxy)
        if older is not None:  # by another front or a newer stream: it must not be ordered by two
            older.detach(proxy, "its name came again")
            self.leave(now, proxy)
            proxy = self.proxies.enter(now, name)
        self.fronts[proxy], self.places[proxy] = front, (name, zone, rate)
        self.counts["joins"] += 1
        self.tell(now, api.ProxyJoined(rate, standing_only, proxy, zone))
        return proxy

    def leave(self, now: int, proxy: int) -> None:
        if self.fronts.pop(proxy, None) is None:
            return
        name, _, _ = self.places.pop(proxy)
        self.proxies.leave(now, name)
        self.channel.lose(proxy)
        self.desk.forget(proxy)
        self.tell(now, api.ProxyLeft(proxy))

    def receipt(self, now: int, proxy: int, mark: int, took: int) -> None:
        self.tell(now, api.Ack(proxy, mark, took))

    def report(self, now: int, point: DataPoint) -> str:
        """Take one reported figure; empty if it counts, else why not."""
        why = self.news.take(now, point)
        if not why and point.place[1] in self.listed and point.kind <= 2:
            self.heard[point.place[1]] = now
        return why

    def happened(self, now: int, what: object) -> members.Refusal | None:
        """Something about the list; why it was turned down, or None."""
        outcome = self.members.take(now, what)
        if outcome.change is not None:
            for entry in outcome.change.endpoints:
                self.listed[entry.task] = entry
        for key in outcome.left:  # what is known of an index goes with its bearer, whether its end was told or not
            task = self.tasks.index.get(key)
            self.listed.pop(task, None)
            self.heard.pop(task, None)
            self.tasks.leave(now, key)
        if outcome.change is not None:
            self.log.info(
                "list",
                version=outcome.change.version,
                entries=len(outcome.change.endpoints),
                states=[(e.task, int(e.state)) for e in outcome.change.endpoints[:20]],
            )
            self.tell(now, outcome.change)
        return outcome.refusal

    # What is known of a task, for a front's entries.

    def cold(self, now: int, task: int) -> bool:
        entry = self.listed.get(task)
        return entry is not None and entry.started_at_us > 0 and now - entry.started_at_us < self.config.warm_up_us

    def closed(self, task: int) -> bool:
        entry = self.listed.get(task)
        return entry is None or entry.state != api.TaskState.READY or task in self.desk.out

    def running(self, task: int) -> bool:
        entry = self.listed.get(task)
        return entry is not None and entry.state != api.TaskState.GONE

    def confident(self, now: int, task: int) -> bool:
        """Whether its weight rests on news, not on its listed size."""
        return now - self.heard.get(task, -1 << 60) < 4 * self.config.report_period_us and not self.cold(now, task)

    # The loop.

    def run(self, now: int) -> int:
        """Do all that is due; returns when to be called next, sooner if something comes in. Raises ModuleError."""
        self.ran_at = now
        due = self.members.next_at(now)
        if due is not None and (due <= now or not self.members.settled):
            self.happened(now, members.Tick())
        if now >= self.gather_at:
            for event in self.news.gather(now):
                self.tell(now, event)
            self.gather_at = max(self.gather_at + self.config.report_period_us, now + self.config.report_period_us // 2)
        if self.members.settled and (self.inbox or not self.started or self.wakes and self.wakes[0][0] <= now):
            self.decide(now)
        while (parcel := self.channel.take(now)) is not None:
            front = self.fronts.get(parcel.proxy)
            if front is not None and self.owned is not None and not self.owned(now, self.places[parcel.proxy][0]):
                self.counts["withheld"] += 1  # its lease ran out while it waited, or while we stood still
            elif front is not None:
                front.write(parcel.proxy, parcel)
                self.counts["messages"] += 1
                self.latency.record_value(min(max(now - parcel.at, 1), 60_000_000))
        times = [self.gather_at, self.members.next_at(now), self.channel.due]
        if self.wakes and self.members.settled:
            times.append(self.wakes[0][0])
        return min(at for at in times if at is not None)

    def decide(self, now: int) -> None:
        events: list[api.Event] = []
        oldest = now
        if not self.started:  # the first list is in the inbox, before all else
            self.started = True
        while self.inbox:
            at, event = self.inbox.popleft()
            oldest = min(oldest, at)
            events.append(event)
            self.trail.append((now, event))
        while self.wakes and self.wakes[0][0] <= now:
            events.append(api.TimerFired(heapq.heappop(self.wakes)[1]))
        events.sort(key=lambda event: 0 if type(event) is api.EndpointListUpdate else 1)  # stable: the rest as it came
        events.append(api.QueueDepth(self.channel.waiting))  # last: receipts of joined messages prove too much
        self.number += 1
        self.counts["events"] += len(events)
        try:
            orders = self.module.decide(now, events)
        except Exception as trouble:  # whatever it is, the program must go on and say so
            self.fail(now, trouble)
            return
        self.counts["decisions"] += 1
        self.counts["orders"] += len(orders)
        self.carry(now, oldest, orders)

    def carry(self, now: int, oldest: int, orders: list[api.Command]) -> None:
        tables: list[api.Command] = []
        for order in orders:
            if type(order) is api.SetTimer:
                if len(self.wakes) < WAKES:
                    heapq.heappush(self.wakes, (now + max(order.delay_us, 1), order.token))
                else:
                    self.counts["wakes_dropped"] += 1
            elif type(order) in (api.RefreshEndpoints, api.WatchEndpoints):
                self.happened(now, members.RefreshRequested())
            elif type(order) is api.LogNote:
                self.log.info("note", text=order.text)
            else:
                tables.append(order)
        if not tables:
            return
        abilities = {proxy: front.abilities for proxy, front in self.fronts.items()}
        parcels, refused = self.desk.carry(oldest, self.number, tables, abilities)
        for why, count in refused.items():
            self.refused[why] = self.refused.get(why, 0) + count
        for parcel in parcels:
            self.channel.put(now, parcel, *self.fronts[parcel.proxy].lines(parcel.proxy, parcel))
        self.say(now, tables, parcels, refused)

    def say(self, now: int, orders: list[api.Command], parcels: list, refused: dict[str, int]) -> None:
        """One log line a decision: which tables and tasks, and which part of the module moved them."""
        self.counts["puts"] += sum(type(order) is api.SetWeight for order in orders)
        if not self.detail:
            return
        causes: dict[str, list] = {}
        for order in orders:
            if type(order) is api.SetWeight:
                causes.setdefault(self.cause(now, order), []).append((order.table, order.task, round(order.weight, 4)))
            elif type(order) is api.BindTable:
                causes.setdefault("joins", []).append((order.proxy, order.table))
            elif type(order) is api.SetAdmission:
                causes.setdefault("levels", []).append((order.table, order.methods, order.amount))
        if causes or refused:
            self.log.info(
                "decided",
                version=self.number,
                messages=len(parcels),
                waiting=round(self.channel.waiting),
                refused=refused or None,
                **{cause: rows[:40] for cause, rows in causes.items()},
            )

    def cause(self, now: int, order: api.SetWeight) -> str:
        if self.closed(order.task):
            return "drain"
        if self.cold(now, order.task):
            return "ramp"
        return "solver" if order.weight > 0 else "reach"

    def fail(self, now: int, trouble: Exception) -> None:
        self.counts["module_failures"] += 1
        self.log.error(
            "module failed",
            version=self.number,
            error=f"{type(trouble).__name__}: {trouble}",
            where=traceback.format_exception(trouble)[-3:],
            events=[repr(row) for row in self.trail],
        )
        self.failures.append(now)
        while self.failures[0] < now - 60_000_000:
            self.failures.popleft()
        if len(self.failures) > FAILURES:
            raise DecisionModuleError(f"the module failed {len(self.failures)} times within a minute")
        self.module = self.make(self.config, self.seed)
        self.desk = UpdateBuilder(len(self.config.methods), TableStore(HISTORY))
        self.channel = PacedQueue(self.limits.lines_per_s, self.limits.head, self.limits.most_waiting)
        self.wakes.clear()
        self.trail.clear()
        self.inbox.append((now, self.members.whole(api.UpdateKind.CACHED)))
        for proxy, (_, zone, rate) in self.places.items():
            self.inbox.append((now, api.ProxyJoined(rate, False, proxy, zone)))

    def status(self) -> dict:
        """Counts and levels for logs and the status page."""
        figures = getattr(self.module, "figures", dict)()
        return {
            "at": self.ran_at,
            "module": figures,
            **self.counts,
            "refused": self.refused,
            "waiting": round(self.channel.waiting),
            "waiting_most": self.channel.highest,
            "merged": self.channel.merged,
            "over_limit": self.channel.over,
            "lost_lines": self.channel.lost_lines,
            "proxies": len(self.fronts),
            "tasks": len(self.members.rows),
            **self.members.figures(),
            "turned_down": self.news.turned_down,
            "news_to_frame_us": spread(self.latency),
        }
