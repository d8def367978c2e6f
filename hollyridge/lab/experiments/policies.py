"""Other decision modules for the laboratory: baselines to compare with, and saboteurs that the checker must catch.
Each breaks one rule. They stand in for the module; the program around them is the real one."""

from __future__ import annotations

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner


class Simple:
    """Tables by zone, changed whenever `weights(zone)` changes. For baselines."""

    def __init__(self, config: api.AssignerConfig, seed: int) -> None:
        self.config = config
        self.open: dict[int, int] = {}  # zone by task
        self.said: list[dict[int, float]] = [{} for _ in range(config.zones)]

    def weights(self, zone: int) -> dict[int, float]:
        raise NotImplementedError

    def hear(self, now: int, event: api.Event) -> None:
        pass

    def decide(self, now: int, events: list) -> list:
        orders: list = []
        for event in events:
            self.hear(now, event)
            if isinstance(event, api.EndpointListUpdate):
                for entry in event.endpoints:
                    self.open.pop(entry.task, None)
                    if entry.state == api.TaskState.READY:
                        self.open[entry.task] = entry.zone
            elif isinstance(event, api.ProxyJoined):
                orders.append(api.BindTable(event.proxy, event.zone, 0))
        puts: list = []
        for zone, said in enumerate(self.said):
            lines = self.weights(zone)
            puts += [api.SetWeight(0.0, task, zone) for task in said if task not in lines]
            puts += [api.SetWeight(weight, task, zone) for task, weight in lines.items() if said.get(task) != weight]
            self.said[zone] = lines
        return puts + orders


class Even(Simple):
    """Every open task in every table with the same weight; changes only with the list."""

    def weights(self, zone: int) -> dict[int, float]:
        return dict.fromkeys(self.open, 1.0)


class Static(Simple):
    """What each table began with; only closed tasks leave, and others come only when none is left."""

    def weights(self, zone: int) -> dict[int, float]:
        kept = {task: 1.0 for task in self.said[zone] if task in self.open}
        return kept or dict.fromkeys(self.open, 1.0)


class ZoneOnly(Simple):
    """Even among the tasks of the proxy's own zone; all others only where it has none."""

    def weights(self, zone: int) -> dict[int, float]:
        home = [task for task, where in self.open.items() if where == zone]
        return dict.fromkeys(home or self.open, 1.0)


class LeastLatency(Simple):
    """By the inverse of the mean latency that the zone's proxies last met, pushed as it changes; who has not been heard
    counts as the best that has."""

    def __init__(self, config: api.AssignerConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.took: list[dict[int, float]] = [{} for _ in range(config.zones)]

    def hear(self, now: int, event: api.Event) -> None:
        if isinstance(event, api.TrafficReport) and event.attempts > event.failed and event.latency_us > 0:
            self.took[event.zone][event.task] = event.latency_us

    def weights(self, zone: int) -> dict[int, float]:
        took = {task: us for task, us in self.took[zone].items() if task in self.open}
        best = min(took.values(), default=1.0)
        return {task: round(best / took.get(task, best), 2) or 0.01 for task in self.open}


class PushWithoutGate(Assigner):
    """The module without the gate: every change that is worth a line is pushed each period."""

    def __init__(self, config: api.AssignerConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.push_gate.decide = lambda published_cost, current_cost, held: not held


class EmptiesTables(Assigner):
    """Rule 1: after a while it takes every line out of a table and puts none back."""

    begun = 0

    def decide(self, now: int, events: list) -> list:
        orders = super().decide(now, events)
        self.begun = self.begun or now
        if now - self.begun < 4_000_000:
            return orders
        lines = self.tables[0].weights
        orders = [o for o in orders if not (isinstance(o, api.SetWeight) and o.table == 0)]
        orders += [api.SetWeight(0.0, task, 0) for task in lines]
        lines.clear()
        return orders


class KeepsDrainedEndpoints(Assigner):
    """Rule 3: it never takes a line out."""

    def decide(self, now: int, events: list) -> list:
        return [o for o in super().decide(now, events) if not (isinstance(o, api.SetWeight) and o.weight == 0)]


class OverloadsColdTasks(Assigner):
    """Rule 4: the first of those that have just started gets nearly all."""

    def decide(self, now: int, events: list) -> list:
        orders = super().decide(now, events)
        cold = [i for i, part in self.planner.slow_start_factors(now).items() if part < 1]
        return [
            o._replace(weight=o.weight * 1000)
            if isinstance(o, api.SetWeight) and o.task == min(cold, default=-1)
            else o
            for o in orders
        ]


class FloodsQueue(Assigner):
    """Rule 5: it says a line again ten times a second."""

    def decide(self, now: int, events: list) -> list:
        orders = super().decide(now, events)
        for number, table in enumerate(self.tables.tables):
            lines = list(table.weights.items())[:1]
            orders += [api.SetWeight(w * (1 + now // 1000 % 7 / 10), i, number) for i, w in lines]
        return [*orders, api.SetTimer(9, 100_000)] if any(isinstance(e, api.TimerFired) for e in events) else orders


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
