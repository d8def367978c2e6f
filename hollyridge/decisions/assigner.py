"""All decisions of an assigner: which tasks its proxies send to, and how much to each.

Called as `Assigner(bootstrap, seed).decide(now, events) -> orders`, once for all that came at one
moment; nothing else goes in or out. Events, orders and `AssignerConfig` are in `hollyridge/interface.py`.
Each part decides one thing: Roster (what is listed, when to ask), Estimates (what is heard), Health (who
lies low), Ramp (what cold tasks may get), Solver (better weights), Gate (when they are worth a push),
Levels (what is let in), Tables (what each table holds and who uses it), Outbox (what leaves, and when).
"""

from __future__ import annotations

from random import Random

from hollyridge.decisions.admission import AdmissionController
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.endpoints import EndpointDirectory
from hollyridge.decisions.estimates import Estimates
from hollyridge.decisions.outliers import TRICKLE, OutlierDetector
from hollyridge.decisions.push_gate import PushGate
from hollyridge.decisions.slow_start import SlowStart
from hollyridge.decisions.tables import SLICES, TableSet
from hollyridge.decisions.weights import STEP, WORTH, WeightController
from hollyridge.interface import (
    Ack,
    AssignerConfig,
    Command,
    EndpointListUpdate,
    EstimatesRestored,
    Event,
    LearnedEstimate,
    OfferedLoad,
    ProxyJoined,
    ProxyLeft,
    QueueDepth,
    SetAdmission,
    SetTimer,
    SetWeight,
    TimerFired,
    TrafficReport,
    WeightProposal,
)

LEAST_PART = 1 / 9  # of the tasks, left in a jam to methods that give way
LASTS = 3  # periods that a proposal of weights stands without another


class Assigner:
    def __init__(self, config: AssignerConfig, seed: int) -> None:
        self.config = config
        self.roster, self.est, self.health = (
            EndpointDirectory(config, Random(seed)),
            Estimates(config),
            OutlierDetector(config),
        )
        self.ramp, self.solver, self.gate = SlowStart(config), WeightController(config, self.est), PushGate()
        self.levels, self.tables, self.outbox = AdmissionController(config), TableSet(config), BacklogEstimator(config)
        self.next_period, self.owed, self.told = -1, False, 0

    def decide(self, now: int, events: list[Event]) -> list[Command]:
        self.outbox.drain(now)
        kinds = {type(event) for event in events}
        for event in events:
            if isinstance(event, TrafficReport):
                self.est.hear(now, event)
            elif isinstance(event, OfferedLoad) and event.interval_us > 0:
                self.est.cover(event)
            elif isinstance(event, EndpointListUpdate):
                self.listen(now, event)
            elif isinstance(event, Ack):
                self.outbox.receipt(now, event)
            elif isinstance(event, QueueDepth):
                self.outbox.waits(event.waiting_lines)
            elif isinstance(event, WeightProposal) and event.zone < self.config.zones:
                self.solver.proposed[event.zone] = now + LASTS * self.config.report_period_us, dict(event.weights)
            elif isinstance(event, EstimatesRestored):
                self.recall(now, event)
            elif isinstance(event, (ProxyJoined, ProxyLeft)):
                self.tables.leave(event.proxy)
                self.est.came.pop(event.proxy, None)
                if isinstance(event, ProxyJoined) and event.zone < self.config.zones:
                    self.tables.join(event, self.levels.lean)
                    self.est.since[event.proxy] = now
        if self.config.slices:  # key slices are not decided yet
            return []
        period = now >= self.next_period - self.config.report_period_us * (TrafficReport in kinds)
        push = period and self.improve(now)
        orders = self.roster.calls(now)
        if period or EndpointListUpdate in kinds or self.tables.joining or self.owed:
            orders += self.publish(now, push)
        if period or self.owed or kinds & {TimerFired, EndpointListUpdate}:
            hurry = now + self.config.report_period_us // 8 if self.tables.joining or self.owed else self.next_period
            soon = min(self.next_period, self.roster.ask_at or self.next_period, hurry)
            orders.append(SetTimer(0, max(soon - now, 1000)))
        return orders

    def learned_estimates(self) -> tuple[list[LearnedEstimate], float]:
        """What `recall` takes, of open tasks that were heard of, and the gate's price, for watchers."""
        est, solver = self.est, self.solver
        return [
            LearnedEstimate(
                i, est.served[i] / est.busy[i], est.busy[i], solver.skill[i], solver.weight[i] / self.roster.hint[i]
            )
            for i in self.roster.open()
            if est.busy[i] > 0
        ], self.gate.price

    def recall(self, now: int, told: EstimatesRestored) -> None:
        """Where it outweighs what is known, less the older it is. An old price can only hold pushes back."""
        trust = self.config.warm_up_us / (self.config.warm_up_us + max(told.age_us, 0))
        parts = self.parts(now)
        for i, does, heard, skill, weight in told.estimates:
            if parts.get(i, 0.0) >= 1.0 and self.est.busy[i] < heard * trust:
                self.est.served[i], self.est.busy[i] = does * heard * trust, heard * trust
                self.solver.skill[i] = 1 + (skill - 1) * trust
                self.solver.weight[i] = self.roster.hint[i] * (1 + (weight - 1) * trust)
        self.gate.price = max(self.gate.price, told.push_price)

    def listen(self, now: int, change: EndpointListUpdate) -> None:
        fresh = self.roster.hear(now, change)
        self.est.grow(len(self.roster.state))
        for task in fresh:
            for row in self.est.rows():
                row[task] = 0.0
            self.health.restart(task)
            self.solver.restart(task, self.roster.hint)

    def improve(self, now: int) -> bool:
        est, home, tables, tasks = self.est, self.roster.zone, self.tables, self.roster.open()
        self.solver.proposed = [(till, w if now <= till else {}) for till, w in self.solver.proposed]
        self.next_period = now + self.config.report_period_us * 3 // 2
        if not tasks:
            return self.gate.decide(0.0, 0.0, True)
        self.health.judge(est, tasks, home)
        heard = est.spread(est.cost, est.soft / 2, tasks, home)
        part, zones = self.parts(now), self.roster.by_zone()
        able = est.able({i: p * max(row[i] for row in self.health.factor) for i, p in part.items()})
        cold = sum(p * est.does[i] for i, p in part.items() if p < 1.0)
        self.ramp.judge(*est.failing(tasks), cold, now - est.newest() < 3 * self.config.report_period_us)
        for zone in est.zones:
            self.levels.move(now, zone, est.stress(zone), able, not est.idle(tables.lines[zone]))
        rest = est.failing(set(tasks) - set(tables.lines[tables.excess]))
        warm = [i for i in tasks if part[i] >= 1.0]
        tables.part_methods(4 * len(warm) > len(tasks) and est.everywhere(warm), self.levels.lean, *rest)
        size = est.sizes(self.roster.hint, tasks, warm)
        est.age(now)
        costs = [{i: self.solver.cost(row[i], est.load[i], home[i] != z) for i in tasks} for z, row in enumerate(heard)]
        demand = [0.0] * self.config.zones
        for proxy, zone in tables.zone.items():
            demand[zone] += est.offered(proxy) or tables.rate[proxy] * self.config.report_period_us / 1e6
        for kin in zones:
            self.solver.step(costs, size, kin)
        self.solver.stretch(heard, zones, part, self.health.factor, demand)
        published, current, part = 0.0, 0.0, self.parts(now)  # as the ramp judged just now
        for zone, cost in enumerate(costs):
            lines, _ = self.wanted(zone, part, zones)
            before = {i: w for i, w in tables.lines[zone].items() if i in cost}
            if tables.bound[zone] and before:
                demand = sum(tables.rate[p] for p in tables.bound[zone])
                published += demand * sum(w * cost[i] for i, w in before.items()) / sum(before.values())
                current += demand * sum(w * cost[i] for i, w in lines.items()) / sum(lines.values())
        return self.gate.decide(published, current, self.outbox.held())

    def counters(self) -> dict[str, object]:
        """For watchers: price U and last gain of the gate, levels by zone. Nothing is decided by them."""
        return {"price": self.gate.price, "gain": self.gate.gain, "levels": list(self.levels.open)}

    def parts(self, now: int) -> dict[int, float]:  # of what a warm task carries, for each open one
        return {i: self.ramp.part(now, self.roster.started[i]) for i in self.roster.open()}

    def wanted(self, table: int, part: dict[int, float], zones: list[list[int]]) -> tuple[dict, dict]:
        tables, sinks = self.tables, []
        if tables.parted or tables.bound[tables.excess]:
            able = [(self.solver.weight[i], i) for i in part if part[i] >= 1.0]
            sinks = [i for _, i in sorted(able)[: max(1, round(len(able) * LEAST_PART))]]
        if table == tables.excess:
            return dict.fromkeys(sinks, 1.0), dict.fromkeys(sinks, 1.0)
        if tables.excess < table < tables.homes:
            lines, caps = self.wanted(tables.zone_of(table) + tables.homes * (tables.own > 0), part, zones)
            nth = (table - tables.excess - 1) % SLICES
            some = [i for i in lines if self.roster.rank[i] % SLICES == nth]
            if not any(part[i] >= 1.0 for i in some):
                some = list(lines)
            return {i: lines[i] for i in some}, {i: caps[i] for i in some}
        zone = tables.zone_of(table)
        factor, lines = self.health.factor[zone], self.solver.weights(zone, zones)
        if tables.alone or table >= tables.homes:
            lines = {i: w for i, w in lines.items() if self.roster.zone[i] == zone}
        if self.solver.proposed[zone][1]:  # of few lines: no cold one gets more than it would among all
            even = sum(lines.values()) / sum(part.values())
            lines = {i: w if part[i] >= 1.0 else min(w / part[i], even) for i, w in lines.items()}
        lines = {i: w * factor[i] * (TRICKLE if i in sinks else 1.0) for i, w in lines.items()}
        caps = {i: factor[i] * part[i] + 2 * (i in sinks) for i in lines}
        return self.ramp.hold(lines, part, factor), caps

    def publish(self, now: int, push: bool) -> list[Command]:
        box, tables, part, zones = self.outbox, self.tables, self.parts(now), self.roster.by_zone()
        cold = {i for i in part if part[i] < 1.0}
        # Removals behind a long queue, or with few messages left, wait a little for more of them: nothing is
        # lost, and heads and messages are saved.
        self.told = self.told if self.owed else now
        wait, long = now < self.told + self.config.drain_grace_us // 4, box.sent - box.left > box.usual / 2
        orders, already, self.owed = [], box.sent, False
        crowd = tables.gather(box.usual)  # who waits for a table goes first
        for table, before in reversed(list(enumerate(tables.lines))):  # the excess of a jam first
            if tables.excess < table < tables.homes and not tables.crowded and not tables.bound[table]:
                continue
            lines, caps = self.wanted(table, part, zones)
            cap_before, proxies, sent = tables.caps[table], tables.bound[table], tables.levels[table]
            away = [i for i in before if i not in lines]
            small = STEP * sum(lines.values()) / max(len(lines), 1)  # moves of smaller lines hardly count
            # What can't wait: closed tasks, and such as started again while they were listed as warm.
            gone = [i for i in before if i not in part or i in cold and cap_before[i] >= 1.0]
            if (
                gone
                and wait
                and (long or box.scarce(proxies))
                and len(gone) < len(before)
                and (proxies or table <= tables.excess)
            ):
                self.owed = True
                continue
            # A table that loses half its weight brings the rest along: what they were left says nothing now.
            torn = sum(before[i] for i in gone) > WORTH * sum(before.values())
            # New tasks and moved caps go beside the gate. Warm ones leave like the rest, while others stay.
            moved = [
                i
                for i in lines
                if i not in before
                or cap_before.get(i) != caps[i]
                or (push or torn)
                and abs(lines[i] - before[i]) > STEP * max(before[i], small)
            ]
            if not lines or any(i in before for i in lines):
                moved += [i for i in away if i in part and i not in cold]
            moved = [i for i in moved if i not in gone]
            wanted = self.levels.wanted(tables.zone_of(table), self.ramp.calm, sent, self.est, tables.zone)
            levels = {k: v for k, v in wanted.items() if sent[k] != v and tables.serves(table, k)}
            # Removals first, but a table's last lines with others; then the largest moves there is room for.
            room = box.spare(now, proxies, True)
            free = max(0, box.spare(now, proxies, False) - len(gone))
            unlisted = [i for i in away if i in cold and i not in gone]  # first of all that can wait
            self.owed, gone = self.owed or len(unlisted) > free, gone + unlisted[:free]
            spare = 0 if proxies and crowd else free - len(unlisted)
            levels = levels if len(levels) <= spare else {}
            moved.sort(key=lambda i: (-abs(lines.get(i, 0.0) - before.get(i, 0.0)), i))
            spare = max(spare - len(levels), len(gone) == len(before) and room - len(gone))
            moved = moved[: max(spare, 0)]
            if len(gone) + len(moved) + len(levels) > room:
                gone, moved, levels, self.owed = gone[:room], [], {}, True
            orders += [SetWeight(lines.get(i, 0.0), i, table) for i in moved + gone]
            orders += [SetAdmission(table, 1 << k, *level) for k, level in levels.items()]
            for i in moved + gone:
                if i in lines:
                    before[i], cap_before[i] = lines[i], caps[i]
                else:
                    del before[i], cap_before[i]
            sent.update(levels)
            box.book(now, proxies, len(gone) + len(moved) + len(levels))
        return orders + tables.attach(now, box, self.est.since) + box.stamp(already)
