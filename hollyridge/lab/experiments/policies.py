"""Other decision modules for the laboratory: baselines to compare with, and modules that each break one rule.

The ones that break a rule show that the checks find it. All of them stand in for `decisions.assigner.Assigner`; the
program around them is the real one.
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

MIN_WEIGHT = 0.01  # that the slowest task gets of the fastest one's
EMPTY_AFTER_US = 4_000_000  # from its first decision until a table is emptied
OVERLOAD_FACTOR = 1000  # on the weight of a cold task
RESEND_INTERVAL_US = 100_000
RESEND_TIMER = 9  # a token that the real decisions do not use
RESEND_STEPS = 7  # different weights that are sent by turns


class Baseline:
    """Tables by zone, changed whenever `weights(zone)` changes."""

    def __init__(self, config: AssignerConfig, seed: int) -> None:
        self.config = config
        self.zone_by_task: dict[int, int] = {}  # of those that are ready
        self.sent: list[dict[int, float]] = [{} for _ in range(config.zones)]

    def weights(self, zone: int) -> dict[int, float]:
        """What the zone's table should hold."""
        raise NotImplementedError

    def observe(self, now: int, event: Event) -> None:
        """Learn from an event; baselines that learn override this."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """Commands for one batch of events."""
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
        """Take what the endpoint list says of tasks."""
        for endpoint in update.endpoints:
            self.zone_by_task.pop(endpoint.task, None)
            if endpoint.state == TaskState.READY:
                self.zone_by_task[endpoint.task] = endpoint.zone


class Even(Baseline):
    """Every ready task in every table with the same weight; changes only with the endpoint list."""

    def weights(self, zone: int) -> dict[int, float]:
        """The same weight for all."""
        return dict.fromkeys(self.zone_by_task, 1.0)


class Static(Baseline):
    """What each table began with; only closed tasks leave, and others come only when none is left."""

    def weights(self, zone: int) -> dict[int, float]:
        """Those of the table that are still ready, or all if none is."""
        kept = {task: 1.0 for task in self.sent[zone] if task in self.zone_by_task}
        return kept or dict.fromkeys(self.zone_by_task, 1.0)


class ZoneOnly(Baseline):
    """Even among the tasks of the proxy's own zone; all others only where it has none."""

    def weights(self, zone: int) -> dict[int, float]:
        """The zone's own tasks, or all if it has none."""
        own = [task for task, home in self.zone_by_task.items() if home == zone]
        return dict.fromkeys(own or self.zone_by_task, 1.0)


class LeastLatency(Baseline):
    """By the inverse of the mean latency that the zone's proxies last saw, pushed as it changes.

    A task without a report counts as the best of the others.
    """

    def __init__(self, config: AssignerConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.latency_us: list[dict[int, float]] = [{} for _ in range(config.zones)]

    def observe(self, now: int, event: Event) -> None:
        """Remember the latency of a report."""
        if isinstance(event, TrafficReport) and event.attempts > event.failed and event.latency_us > 0:
            self.latency_us[event.zone][event.task] = event.latency_us

    def weights(self, zone: int) -> dict[int, float]:
        """Weights between 0.01 and 1."""
        latency_us = {task: us for task, us in self.latency_us[zone].items() if task in self.zone_by_task}
        best = min(latency_us.values(), default=1.0)
        return {task: round(best / latency_us.get(task, best), 2) or MIN_WEIGHT for task in self.zone_by_task}


class PushWithoutGate(Assigner):
    """The decisions without the push gate: every change that is worth a line is pushed each period."""

    def __init__(self, config: AssignerConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.push_gate.decide = lambda published_cost, current_cost, held: not held


class EmptiesTables(Assigner):
    """Breaks rule 1: after a while it takes every line out of a table and puts none back."""

    first_decision_us = 0

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """The real commands, and the emptied table in place of its lines."""
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
    """Breaks rule 3: it never takes a line out."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """The real commands but those that take a line out."""
        commands = super().decide(now, events)
        return [command for command in commands if not (isinstance(command, SetWeight) and command.weight == 0)]


class OverloadsColdTasks(Assigner):
    """Breaks rule 4: the first of the tasks that have just started gets nearly all."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """The real commands with that task's weight raised."""
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
    """Breaks rule 5: it sends a line of each table again ten times a second."""

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        """The real commands, and the first line of each table with another weight."""
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
