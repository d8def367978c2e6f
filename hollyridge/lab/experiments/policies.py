"""Alternative decision modules for the laboratory: baselines to compare with, and modules that each break one rule.

The modules that break a rule show that the checks detect it. All of them replace `decisions.assigner.Assigner`; the
rest of the program stays the same.
"""

from __future__ import annotations

from hollyridge.decisions.assigner import Assigner
from hollyridge.interface import (
    AssignerConfig,
    BindTable,
    Command,
    EndpointListUpdate,
    Event,
    ProxyJoined,
    SetTimer,
    SetWeight,
    TaskState,
    TimerFired,
    TrafficReport,
)

MIN_WEIGHT = 0.01  # smallest weight of a slow task, relative to the fastest
EMPTY_AFTER_US = 4_000_000  # from the first decision until a table is emptied
OVERLOAD_FACTOR = 1000  # factor on the weight of a cold task
RESEND_INTERVAL_US = 100_000
RESEND_TIMER = 9  # timer token that `Assigner` does not use
RESEND_STEPS = 7  # number of different weights that are sent in turn


class Baseline:
    """Base class of modules with one table for each zone, updated whenever `weights(zone)` changes.

    Attributes:
        config: Configuration of the assigner.
        zone_by_task: Zone of each ready task.
        sent: Weights that were sent last, by zone and task.
    """

    def __init__(self, config: AssignerConfig, seed: int) -> None:
        self.config = config
        self.zone_by_task: dict[int, int] = {}
        self.sent: list[dict[int, float]] = [{} for _ in range(config.zones)]

    def weights(self, zone: int) -> dict[int, float]:
        """Return the weight of each task that the zone's table should hold."""
        raise NotImplementedError

    def observe(self, now: int, event: Event) -> None:
        """Learn from an event; overridden by baselines that learn."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """Return the commands for one batch of events."""
        bindings: list[Command] = []
        for event in events:
            self.observe(now, event)
            if isinstance(event, EndpointListUpdate):
                self.update_endpoints(event)
            elif isinstance(event, ProxyJoined):
                bindings.append(BindTable(event.proxy, event.zone, 0))
        changes: list[Command] = []
        for zone, sent in enumerate(self.sent):
            weights = self.weights(zone)
            changes += [SetWeight(0.0, task, zone) for task in sent if task not in weights]
            changes += [SetWeight(weight, task, zone) for task, weight in weights.items() if sent.get(task) != weight]
            self.sent[zone] = weights
        return changes + bindings

    def update_endpoints(self, update: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list."""
        for endpoint in update.endpoints:
            self.zone_by_task.pop(endpoint.task, None)
            if endpoint.state == TaskState.READY:
                self.zone_by_task[endpoint.task] = endpoint.zone


class Even(Baseline):
    """Baseline with every ready task in every table at the same weight; changes only with the endpoint list."""

    def weights(self, zone: int) -> dict[int, float]:
        """Return the same weight for all ready tasks."""
        return dict.fromkeys(self.zone_by_task, 1.0)


class Static(Baseline):
    """Baseline that keeps each table's initial tasks; closed tasks leave, and new ones enter only an empty table."""

    def weights(self, zone: int) -> dict[int, float]:
        """Return the same weight for the table's tasks that are still ready, or for all ready tasks if none is."""
        kept = {task: 1.0 for task in self.sent[zone] if task in self.zone_by_task}
        return kept or dict.fromkeys(self.zone_by_task, 1.0)


class ZoneOnly(Baseline):
    """Baseline with equal weights for the tasks of the zone; tasks of other zones only if it has none."""

    def weights(self, zone: int) -> dict[int, float]:
        """Return the same weight for the zone's own tasks, or for all ready tasks if it has none."""
        zone_tasks = [task for task, home in self.zone_by_task.items() if home == zone]
        return dict.fromkeys(zone_tasks or self.zone_by_task, 1.0)


class LeastLatency(Baseline):
    """Baseline with weights inverse to the mean latency in the zone's last reports, pushed on every change.

    A task without a report counts as fast as the fastest of the others.

    Attributes:
        latency_us: Mean latency in the last report, by zone and task, in microseconds.
    """

    def __init__(self, config: AssignerConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.latency_us: list[dict[int, float]] = [{} for _ in range(config.zones)]

    def observe(self, now: int, event: Event) -> None:
        """Store the latency of a report."""
        if isinstance(event, TrafficReport) and event.attempts > event.failed and event.latency_us > 0:
            self.latency_us[event.zone][event.task] = event.latency_us

    def weights(self, zone: int) -> dict[int, float]:
        """Return weights between 0.01 and 1."""
        latency_us = {task: us for task, us in self.latency_us[zone].items() if task in self.zone_by_task}
        best = min(latency_us.values(), default=1.0)
        return {task: round(best / latency_us.get(task, best), 2) or MIN_WEIGHT for task in self.zone_by_task}


class PushWithoutGate(Assigner):
    """Assigner without the push gate, which pushes every change that is worth a line in each period."""

    def __init__(self, config: AssignerConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.push_gate.decide = lambda published_cost, current_cost, held: not held


class EmptiesTables(Assigner):
    """Assigner that breaks rule 1: after a while it removes all lines of a table for good."""

    first_decision_us = 0

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """Return the regular commands, with table 0 emptied after `EMPTY_AFTER_US`."""
        commands = super().decide(now, events)
        self.first_decision_us = self.first_decision_us or now
        if now - self.first_decision_us < EMPTY_AFTER_US:
            return commands
        weights = self.tables[0].weights
        commands = [command for command in commands if not (isinstance(command, SetWeight) and command.table == 0)]
        commands += [SetWeight(0.0, task, 0) for task in weights]
        weights.clear()
        return commands


class KeepsDrainedEndpoints(Assigner):
    """Assigner that breaks rule 3: it never removes a line."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """Return the regular commands without those that remove a line."""
        commands = super().decide(now, events)
        return [command for command in commands if not (isinstance(command, SetWeight) and command.weight == 0)]


class OverloadsColdTasks(Assigner):
    """Assigner that breaks rule 4: the first of the cold tasks gets nearly all traffic."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """Return the regular commands with the weight of the first cold task raised."""
        commands = super().decide(now, events)
        factors = self.planner.slow_start_factors(now)
        first_cold = min((task for task, factor in factors.items() if factor < 1), default=-1)
        return [
            command._replace(weight=command.weight * OVERLOAD_FACTOR)
            if isinstance(command, SetWeight) and command.task == first_cold
            else command
            for command in commands
        ]


class FloodsQueue(Assigner):
    """Assigner that breaks rule 5: it sends a line of each table again ten times a second."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """Return the regular commands, and the first line of each table with another weight."""
        commands = super().decide(now, events)
        factor = 1 + now // 1000 % RESEND_STEPS / 10
        for number, table in enumerate(self.tables.tables):
            first_line = list(table.weights.items())[:1]
            commands += [SetWeight(weight * factor, task, number) for task, weight in first_line]
        if any(isinstance(event, TimerFired) for event in events):
            commands = [*commands, SetTimer(RESEND_TIMER, RESEND_INTERVAL_US)]
        return commands


POLICIES = {
    "even": Even,
    "static": Static,
    "zone": ZoneOnly,
    "latency": LeastLatency,
    "always": PushWithoutGate,
    "bare": EmptiesTables,
    "deaf": KeepsDrainedEndpoints,
    "bold": OverloadsColdTasks,
    "chatty": FloodsQueue,
}
