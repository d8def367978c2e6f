"""All decisions of an assigner: which tasks its proxies send to, and how much to each.

Called as `Assigner(bootstrap, seed).decide(now, events) -> orders`, once for all that came at one
moment; nothing else goes in or out. Events, orders and `AssignerConfig` are in `hollyridge/interface.py`.
Each part decides one thing: Roster (what is listed, when to ask), Estimates (what is heard), Health (who
lies low), Ramp (what cold tasks may get), Solver (better weights), Gate (when they are worth a push),
Levels (what is let in), Tables (what each table holds and who uses it), Outbox (what leaves, and when).
"""

from __future__ import annotations

from collections import deque
from random import Random

from hollyridge.interface import (
    Ack,
    Admission,
    AssignerConfig,
    BindTable,
    Command,
    EndpointListUpdate,
    EstimatesRestored,
    Event,
    LearnedEstimate,
    OfferedLoad,
    ProxyJoined,
    ProxyLeft,
    QueueDepth,
    RequestAck,
    SetAdmission,
    SetTimer,
    SetWeight,
    TaskState,
    TimerFired,
    TrafficReport,
    UpdateKind,
    WatchEndpoints,
    WeightProposal,
)

HMAX = 0.2  # pushes a period in the long run
V = 50.0  # weight of the gain against the price of a push
NOISE_FLOOR = 0.05  # a smaller gain counts as none
STEP = 0.1  # a weight moves by at most this part in a period, and a line is sent once it moved by more
LEAST_REACH = 0.3  # part of a line's weight in the tables of other zones where a zone lacks tasks
FEEL = 0.02  # and where it does not, so that news of the way there keeps coming
WORTH = 0.5  # part of its weight that a line of another zone's task should have
TOLL = 4.0  # soft deadlines of latency that one point of the price for crossing zones is worth
TRICKLE = 1 / 16  # part left to a task that lies low, so that news of it keeps coming
BUSY = 0.85  # utilisation from which levels act, and which they aim at
MEMORY = 0.75  # part of what was heard that still counts a period later
SPEED_MEMORY = 0.9  # the same for what a task can do, which changes less
LEAST_PART = 1 / 9  # of the tasks, left in a jam to methods that give way
ON_PROOF = 1  # the way to try again that can't repeat an effect, whatever the method: the first never ran
JAM = 0.25  # part of all tries that end badly while the fleet is in a jam
LASTS = 3  # periods that a proposal of weights stands without another
SLICES = 4  # tables that share out a zone's among many proxies that join at once
PRIOR = 6.0  # tries' worth of trust in what the wider group shows
NO_LIMIT = 65536.0  # RPCs a second at one proxy: where levels are rates none of them stands for all


class EndpointDirectory:
    def __init__(self, config: AssignerConfig, rng: Random) -> None:
        self.config, self.chance = config, rng.random
        self.state: list[int] = []
        self.zone: list[int] = []
        self.hint: list[float] = []  # listed size
        self.started: list[int] = []
        self.rank: list[int] = []  # by first mention in its zone: shares a zone out evenly and for good
        self.seen = [0] * config.zones
        self.ask_at, self.failures = 0 if config.subscribe else None, 0

    def hear(self, now: int, change: EndpointListUpdate) -> list[int]:
        """Take a list event; returns the tasks that are new or have started again."""
        if change.kind == UpdateKind.FAILED:
            if self.ask_at is None or self.ask_at > now:  # ask again after a growing, jittered wait
                self.failures += 1
                wait = self.config.report_period_us * min(2**self.failures, 16) / 2
                self.ask_at = now + round(wait * (0.5 + self.chance()))
            return []
        if change.kind != UpdateKind.CACHED:
            self.failures = 0  # the watch holds; renew it before silence could mean that it was lost
            self.ask_at = now + self.config.refresh_within_us if self.config.subscribe else None
        more = max([entry.task + 1 for entry in change.endpoints], default=0) - len(self.state)
        for row, start in (
            (self.state, TaskState.GONE),
            (self.zone, 0),
            (self.hint, 1.0),
            (self.started, 0),
            (self.rank, -1),
        ):
            row.extend([start] * more)
        fresh = []
        for task, zone, _sku, _cell, state, weight, started_at in change.endpoints:
            known = self.state[task] == TaskState.READY and started_at <= self.started[task]
            fresh += [task] * (state == TaskState.READY and not known)
            self.state[task] = state
            if state != TaskState.GONE:
                self.zone[task] = zone
                if self.rank[task] < 0:
                    self.rank[task], self.seen[zone] = self.seen[zone], self.seen[zone] + 1
                self.hint[task] = weight if 0 < weight < 1e9 else 1.0
                self.started[task] = max(started_at, self.started[task])
        if change.kind != UpdateKind.DELTA:  # a full list says by silence what has left
            for task in set(range(len(self.state))) - {entry.task for entry in change.endpoints}:
                self.state[task] = TaskState.GONE
        return fresh

    def open(self) -> list[int]:
        return [i for i, state in enumerate(self.state) if state == TaskState.READY]

    def by_zone(self) -> list[list[int]]:
        tasks = self.open()
        return [[i for i in tasks if self.zone[i] == zone] for zone in range(self.config.zones)]

    def calls(self, now: int) -> list[Command]:
        if self.ask_at is None or now < self.ask_at:
            return []
        self.ask_at = now + self.config.refresh_within_us  # an answer that never comes must not end the asking
        return [WatchEndpoints(True)]


class Estimates:
    def __init__(self, config: AssignerConfig) -> None:
        self.config, self.zones = config, range(config.zones)
        total = sum(m.criticality for m in config.methods) or 1.0
        self.soft = sum(m.soft_deadline_us * m.criticality for m in config.methods) / total
        self.abort_cost = sum(m.deadline_us * m.criticality for m in config.methods) / total
        self.tries, self.bad, self.cost = ([[] for _ in self.zones] for _ in range(3))
        # Utilisation just heard (-1 once used), smoothed; answers and busy periods while warm, their ratio.
        self.util: list[float] = []
        self.load, self.served, self.busy, self.does = ([] for _ in range(4))
        # News comes in parts. By zone of proxies and task: tries, bad ones and good latency a period as last
        # heard, and till when that holds. By proxy and method: RPCs a period, and up to when news covers.
        self.met, self.till = ([[] for _ in self.zones] for _ in range(2))
        self.came: dict[int, dict[int, tuple[float, int]]] = {}
        self.since: dict[int, int] = {}  # when each proxy joined

    def grow(self, tasks: int) -> None:
        more = tasks - len(self.util)
        self.util.extend([-1.0] * more)
        for row in self.met:
            row.extend([(0.0, 0.0, 0.0)] * more)
        for row in self.till + self.rows():
            row.extend([0] * more)

    def rows(self) -> list[list[float]]:
        return [self.load, self.served, self.busy, self.does, *self.tries, *self.bad, *self.cost]

    def hear(self, now: int, report: TrafficReport) -> None:
        zone, task = report.zone, report.task
        if zone >= self.config.zones or task >= len(self.util) or report.interval_us <= 0 or report.attempts <= 0:
            return
        bad = min(report.failed, report.attempts)
        good = report.attempts - bad if report.latency_us >= 0 else 0
        self.tries[zone][task] += bad + good
        self.bad[zone][task] += bad
        self.cost[zone][task] += good * report.latency_us + bad * self.abort_cost
        told = dict(zip(self.config.load_metric_names, report.load))
        self.util[task] = min(told.get("util", -1.0), 1.5)
        span = max(report.interval_us, self.config.report_period_us)
        part = self.config.report_period_us / span
        self.met[zone][task] = (bad + good) * part, bad * part, good * report.latency_us * part
        self.till[zone][task] = now + 2 * span

    def cover(self, event: OfferedLoad) -> None:
        rows = self.came.setdefault(event.proxy, {})
        _, upto = rows.get(event.method, (0.0, self.since.get(event.proxy, 0)))
        part = self.config.report_period_us / max(event.interval_us, self.config.report_period_us)
        rows[event.method] = event.rpcs * part, upto + event.interval_us

    def rates(self, zone_of: dict[int, int], zone: int, method: int) -> list[float]:
        """RPCs of a method that come to each of a zone's proxies a second, as far as heard."""
        rows = (rows.get(method) for proxy, rows in self.came.items() if zone_of.get(proxy) == zone)
        return sorted(row[0] * 1e6 / self.config.report_period_us for row in rows if row)

    def offered(self, proxy: int) -> float:
        return sum(rpcs for rpcs, _ in self.came.get(proxy, {}).values())

    def newest(self) -> int:
        return max((upto for rows in self.came.values() for _, upto in rows.values()), default=0)

    def age(self, now: int) -> None:
        for row in (*self.tries, *self.bad, *self.cost):
            row[:] = [x * MEMORY for x in row]
        for met, till in zip(self.met, self.till):
            met[:] = [x if now <= at else (0.0, 0.0, 0.0) for x, at in zip(met, till)]

    def able(self, part: dict[int, float]) -> float:
        """What part of the RPCs that come the tasks can answer without being too busy; 1 if not known."""
        does = sum(self.does[i] * p for i, p in part.items())
        return min(1.0, BUSY * does / max(sum(map(self.offered, self.came)), 1e-9)) if does > 0 else 1.0

    def failing(self, tasks: list[int] | set[int]) -> tuple[float, float]:
        return tuple(sum(met[i][k] for met in self.met for i in tasks) for k in (0, 1))

    def everywhere(self, tasks: list[int]) -> bool:
        """Whether even the best quarter of these tasks fail as in a jam: more than some troubled tasks."""
        met = sorted(b / n for n, b in (self.failing([i]) for i in tasks) if n > 0)
        return bool(met) and met[len(met) // 4] > JAM

    def sizes(self, hint: list[float], tasks: list[int], warm: list[int]) -> list[float]:
        """What each task can do: RPCs answered in a busy period, from its listed size."""
        for i in tasks:
            if self.util[i] >= 0.0:
                self.load[i] += (min(self.util[i], 0.95) - self.load[i]) / 2
                tries, bad = self.failing([i])
                if i in warm and bad < JAM * tries:  # a jam shows nothing of speed
                    self.served[i] = self.served[i] * SPEED_MEMORY + tries - bad
                    self.busy[i] = self.busy[i] * SPEED_MEMORY + self.util[i]
            self.util[i] = -1.0
        served, busy = (sum(row[i] for i in tasks) for row in (self.served, self.busy))
        if busy <= 0 or served <= 0:
            return list(hint)
        unit = served / sum(self.busy[i] * hint[i] for i in tasks)
        found = [(s + h * unit) / (b + 1.0) for s, h, b in zip(self.served, hint, self.busy)]
        self.does[:] = found
        scale = sum(hint[i] for i in tasks) / sum(found[i] for i in tasks)
        return [x * scale for x in found]

    def stress(self, zone: int) -> float:
        """Above 1: a zone's tries end bad or late. Where cores are idle weights and health must mend that."""
        tries, bad, slow = (sum(x) for x in zip(*self.met[zone]))
        if tries < PRIOR:
            return 0.0
        return slow / max(tries - bad, 1.0) / self.soft / 0.6 + bad / tries / JAM

    def idle(self, lines: dict[int, float]) -> bool:
        return sum(w * (BUSY - self.util[i]) for i, w in lines.items() if self.util[i] >= 0.0) > 0

    def spread(self, rows: list, start: float, tasks: list[int], home: list[int]) -> list[list[float]]:
        """A figure per try by zone of proxies and task. With few tries by what all zones met at the task and
        what this zone met in the task's zone; with none, average."""
        n = {i: sum(row[i] for row in self.tries) for i in tasks}
        sums = {i: sum(row[i] for row in rows) for i in tasks}
        mean = (sum(sums.values()) + PRIOR * start) / (sum(n.values()) + PRIOR)
        pooled = {i: (sums[i] + PRIOR * mean) / (n[i] + PRIOR) for i in tasks}
        out = []
        for z in self.zones:
            met, expected = ([PRIOR * mean] * self.config.zones for _ in range(2))
            for i in tasks:
                met[home[i]] += rows[z][i]
                expected[home[i]] += self.tries[z][i] * pooled[i]
            row = [mean] * len(self.tries[z])
            for i in tasks:
                ratio = met[home[i]] / expected[home[i]] if expected[home[i]] > 0 else 1.0
                row[i] = (rows[z][i] + PRIOR * pooled[i] * ratio) / (self.tries[z][i] + PRIOR)
            out.append(row)
        return out


class OutlierDetector:
    """Who lies low, by zone of proxies (a cut shows from one side only), against the best zone's middle task:
    errors, hangs and silence are met alike; overload, seen at all, cuts nobody."""

    def __init__(self, config: AssignerConfig) -> None:
        self.factor: list[list[float]] = [[] for _ in range(config.zones)]

    def restart(self, task: int) -> None:
        for row in self.factor:
            row.extend([1.0] * (task + 1 - len(row)))
            row[task] = 1.0

    def judge(self, est: Estimates, tasks: list[int], home: list[int]) -> None:
        for zone, ratio in enumerate(est.spread(est.bad, 0.0, tasks, home)):
            factor = self.factor[zone]
            ratio = ratio if sum(est.tries[zone]) >= PRIOR else [0.0] * len(ratio)  # nobody there to ask
            zones = [sorted(ratio[i] for i in tasks if home[i] == there) for there in est.zones]
            base = min(ranked[len(ranked) // 2] for ranked in zones if ranked)
            for i in tasks:
                # Cut for less, one after the other hands on its work till all are in a jam.
                if ratio[i] > base + 0.58:
                    factor[i] = max(TRICKLE, factor[i] * 0.25)
                elif factor[i] < 1.0:
                    factor[i] = min(1.0, factor[i] * (4.0 if est.tries[zone][i] >= 1.0 else 2.0))


class SlowStart:
    def __init__(self, config: AssignerConfig) -> None:
        self.config, self.calm, self.listed, self.ease = config, False, config.proxy_ejection_failures == 0, 1.0
        # Periods of news till tries sent while there was none have run out of time.
        self.deaf = self.blind = 2 + max(m.deadline_us for m in config.methods) / config.report_period_us

    def part(self, now: int, started: int) -> float:
        """From the stated floor up in quarters, at half the stated multiple: chance piles up RPCs."""
        if started <= 0 or now - started >= self.config.warm_up_us:
            return 1.0
        part = (
            self.config.cold_capacity_fraction
            + (1 - self.config.cold_capacity_fraction) * max(0, now - started) / self.config.warm_up_us
        )
        return min(0.99, max(0.5, int(2 * part * self.ease * self.config.overload_multiple)) / 4)

    def judge(self, tried: float, bad: float, cold: float, fresh: bool) -> None:
        """Where over half of all tries are bad a cold task gets less by as much. Proxies that keep away after
        failures leave nothing else to pick in a jam, whatever its weight: cold tasks are listed there only
        if their parts could take all tries. Old news counts as a jam."""
        self.calm = bad < JAM / 10 * tried
        self.ease = min(1.0, 2 * (1 - bad / (tried + PRIOR)))
        self.deaf = self.deaf - (tried > 0) if fresh else self.blind
        jam = bad > JAM * (tried + PRIOR) or self.deaf > 0
        self.listed = self.config.proxy_ejection_failures == 0 or not jam or 0 < tried < cold

    def hold(self, lines: dict[int, float], part: dict[int, float], factor: list[float]) -> dict[int, float]:
        """A cold task gets at most its part of what a warm one carries on average, less if most are cold."""
        warm = [w for i, w in lines.items() if part[i] >= 1.0]
        excess = BUSY * len(lines) - sum(part[i] for i in lines if part[i] < 1.0)
        even = sum(warm) / max(len(warm), excess) if warm else 1e9
        return {
            i: max(w if part[i] >= 1.0 else part[i] * min(w, even * factor[i]), 1e-4)
            for i, w in lines.items()
            if part[i] >= 1.0 or self.listed or not warm
        }


class WeightController:
    """The feedback loop on heard latency: a weight goes towards the task's size x skill, a tenth at most a
    step, and counts in other zones' tables by their reach."""

    def __init__(self, config: AssignerConfig, est: Estimates) -> None:
        self.zones, self.est, self.standing = range(config.zones), est, config.initial_table_size
        self.stride = STEP / config.assigners
        self.toll = TOLL * config.cross_zone_cost * est.soft  # crossing zones as latency
        self.proposed: list[tuple[int, dict[int, float]]] = [(0, {}) for _ in self.zones]  # and until when
        self.skill: list[float] = []
        self.weight: list[float] = []
        self.reach, self.extra = (
            [[float(a == b and own) for b in self.zones] for a in self.zones] for own in (True, False)
        )

    def restart(self, task: int, hint: list[float]) -> None:
        self.skill.extend([1.0] * (len(hint) - len(self.skill)))
        self.weight.extend(hint[len(self.weight) :])
        self.skill[task], self.weight[task] = 1.0, hint[task]

    def cost(self, heard: float, load: float, away: bool) -> float:  # what one more RPC adds, and the toll
        return heard / (1 - load) + self.toll * away

    def step(self, costs: list, size: list[float], kin: list[int]) -> None:
        cost = {i: sum(row[i] for row in costs) for i in kin}
        average = sum(self.weight[i] * cost[i] for i in kin) / (sum(self.weight[i] for i in kin) or 1.0)
        for i in kin:
            # A leash keeps it near 1: equal latency, chased all the way, piles work on the quickest.
            pull = 2 * (average - cost[i]) / average - (self.skill[i] - 1)
            self.skill[i] *= 1 + max(-1.0, min(1.0, pull)) * self.stride / 3
            room = self.stride * size[i]
            self.weight[i] += max(-room, min(room, size[i] * self.skill[i] - self.weight[i]))

    def least(self, kin: int, tasks: int) -> float:
        """What a zone lacks to twice a standing table it borrows: few tasks can't even out bursts."""
        return max(FEEL, min(LEAST_REACH, (2 * self.standing - kin) / max(1, tasks - kin)))

    def stretch(
        self, heard: list, zones: list[list[int]], part: dict[int, float], factor: list, demand: list[float]
    ) -> None:
        """How far each zone reaches into the others, by the means of whole zones, which are calm."""
        mass = [sum(self.weight[i] for i in kin) for kin in zones]
        able = [sum(self.weight[i] * part[i] * row[i] for i in kin) for kin, row in zip(zones, factor)]

        def mean(row: list[float]) -> list[float]:
            return [sum(self.weight[i] * row[i] for i in kin) / (m or 1.0) for kin, m in zip(zones, mass)]

        load, met = mean(self.est.load), [mean(row) for row in heard]
        even = self.spill(able, demand, sum(load) / len(load))
        for z, reach in enumerate(self.reach):
            cost = [self.cost(met[z][to], load[to], to != z) for to in self.zones]
            told_of, least = sum(self.est.tries[z]) >= PRIOR, self.least(len(zones[z]), len(part))
            for to in self.zones:
                if to != z and mass[to] > 0:
                    pull = (cost[z] - cost[to]) / max(cost[z], cost[to]) * told_of if mass[z] > 0 else 1.0
                    self.extra[z][to] = max(0.0, min(1.0, self.extra[z][to] + pull * self.stride))
                    way = max(0.0, 1 - 2 * max(0.0, met[z][to] - met[to][to]) / self.est.soft)
                    aim = max(FEEL, (max(least, even[z][to]) + self.extra[z][to]) * way)
                    reach[to] = min(aim, reach[to] + STEP if reach[to] and able[z] > mass[z] / 2 else 1.0)

    def spill(self, able: list[float], demand: list[float], load: float) -> list[list[float]]:
        """The reach that makes all about as busy, from what comes and what tasks can do."""
        mean = sum(demand) / (sum(able) or 1.0) * max(1.1, 0.75 * BUSY / load if load > 0 else 0.0)
        need = [d / (mean or 1.0) for d in demand]
        spare = [max(0.0, a - n) * (n > 0) for a, n in zip(able, need)]
        over = [max(0.0, n - a) for a, n in zip(able, need)]
        part = 1 / (max(sum(over), sum(spare)) or 1.0)
        return [[o * part * s / a if a > 0 else 0.0 for s, a in zip(spare, able)] for o in over]

    def weights(self, zone: int, zones: list[list[int]]) -> dict[int, float]:
        """All of its own tasks, and so many of each other zone that a line is worth its place; or what is
        proposed, trimmed by skill."""
        proposed = self.proposed[zone][1]
        lines = {i: proposed[i] * self.skill[i] for kin in zones for i in kin if proposed.get(i, 0.0) > 0}
        # What is left of a plan whose tasks left with a zone is none: it kept little where all is to go now.
        if lines and sum(proposed[i] for i in lines) > (1 - STEP) * sum(proposed.values()):
            return lines
        lines = {}
        for to, kin in enumerate(zones):
            reach = self.reach[zone][to] or self.least(len(zones[zone]), sum(map(len, zones)))
            start = zone * len(kin) // len(zones)
            some = (kin[start:] + kin[:start])[: max(1, self.standing, round(len(kin) * reach / WORTH))]
            lines.update((i, self.weight[i] * reach * len(kin) / len(some)) for i in some)
        return lines


class PushGate:
    """The Greedy Policy: push iff U < V x gain, then U <- [U - hmax]+ + u."""

    def __init__(self) -> None:
        self.price = self.gain = 0.0

    def decide(self, published: float, current: float, held: bool) -> bool:
        self.gain = gain = (published - current) / published if published > 0 else 0.0
        push = not held and self.price < V * (gain if gain >= NOISE_FLOOR else 0.0)
        self.price = max(self.price - HMAX, 0.0) + push
        return push


def whole_level(config: AssignerConfig) -> float:
    """The level that lets all in."""
    return NO_LIMIT if config.admission == Admission.PER_SECOND else 1.0


class AdmissionController:
    def __init__(self, config: AssignerConfig) -> None:
        self.off = config.admission in (Admission.OFF, Admission.SILENT)
        self.rated, self.whole = config.admission == Admission.PER_SECOND, whole_level(config)
        # The ways to try again: while all is well, and otherwise. A front may have no order for it.
        self.retry = (config.default_retry_mode,) * 2 if config.admission == Admission.SILENT else (ON_PROOF, 0)
        self.open, self.cut_at = [1.0] * (config.zones + 1), [0] * (config.zones + 1)
        self.lag = (
            config.transit_us + config.report_period_us + max(m.deadline_us for m in config.methods)
        )  # till a cut can show
        most = max(m.criticality for m in config.methods)
        # The table of methods: which give way to others where nothing can be pushed back.
        self.methods = {k: self.off and m.criticality < most for k, m in enumerate(config.methods)}
        self.lean = sum(1 << k for k, way in self.methods.items() if way and not config.methods[k].same_zone_only)

    def move(self, now: int, zone: int, stress: float, able: float, busy: bool) -> None:
        """Down to what the fleet is able to do while it is busy; further in a jam, but not again before that
        can show. Up to that quickly, past it with care."""
        level, well = self.open[zone], not busy or stress < 1.0
        if not well and stress > 1.0 and now >= self.cut_at[zone] + self.lag:
            level = min(level, able) * (1 - min(0.9, (stress - 1.0) / 4))
            self.cut_at[zone] = now
        else:
            level = min(level + 0.15 * well, able) if level < able or busy else level + 0.03
        self.open[zone] = 1.0 if self.off else min(1.0, max(0.1, level))

    def wanted(self, zone: int, calm: bool, sent: dict, est: Estimates, zone_of: dict[int, int]) -> dict:
        """All methods alike: level and way to try again. Further tries, however safe, feed a jam and pile
        up on whoever has room."""
        part, retry = max(1, round(20 * self.open[zone])) / 20, self.retry[not calm]
        if not self.rated or part >= 1.0:
            return dict.fromkeys(self.methods, (self.whole if self.rated else part, retry))
        return {k: (self.rate(part, est.rates(zone_of, zone, k), sent[k][0]), retry) for k in self.methods}

    def rate(self, part: float, rates: list[float], before: float) -> float:
        """The rate at each proxy that lets in this part of what comes to all of them: those to which most
        comes give way. A move too small for a line leaves it as it was before."""
        left, rate = part * sum(rates), self.whole
        for n, least in enumerate(rates):
            rate = left / (len(rates) - n)
            if rate <= least:
                break
            left -= least
        return before if abs(rate - before) <= STEP * before else rate


class BacklogEstimator:
    """What may leave, within the lines that may wait and the messages a proxy may get. Messages leave in
    order: a receipt from any proxy proves that all sent before has left, and its own message: so many of a
    reply's proxies as have told of it are so much of it that has left. No pace is believed in."""

    def __init__(self, config: AssignerConfig) -> None:
        self.config = config
        self.sent = self.left = 0.0  # lines ever sent, and those proven to have left
        self.at = self.heard = self.mark = 0
        # So far may what can wait fill the channel: a drain behind it is in time, and it answers news of now.
        in_time = config.lines_per_s * max(config.drain_grace_us - config.max_transit_us, config.transit_us) / 2e6
        self.usual = min(config.max_waiting_lines / 2, in_time, 2 * config.report_period_us * config.lines_per_s / 1e6)
        self.marks: dict[int, float] = {}  # lines sent before each mark's reply
        self.messages = self.own = 0  # booked since the last mark, and of the last mark's reply
        self.told: set[int] = set()  # who has told of that reply
        self.written: dict[int, deque[int]] = {}  # when each proxy was written to
        self.reply, self.last = 0, dict[int, int]()  # number of this reply, and of the last to each proxy

    def drain(self, now: int) -> None:
        if now - self.heard > 4 * (
            self.config.max_transit_us + self.config.report_period_us
        ):  # all written to must be lost
            self.left = min(self.sent, self.left + self.config.lines_per_s / 8 * (now - self.at) / 1e6)
        self.at = now

    def receipt(self, now: int, receipt: Ack) -> None:
        before = self.marks.get(receipt.mark, 0.0)
        self.left, self.heard = max(self.left, before), now
        if receipt.mark == self.mark and self.own:  # else nothing would prove the last reply
            self.told.add(receipt.proxy)
            part = min(1.0, len(self.told) / self.own)
            self.left = max(self.left, before + (self.sent - before) * part * (not self.messages))

    def waits(self, lines: float) -> None:
        """So much is known to wait: a receipt of what was joined to an earlier message proves no more."""
        self.left = min(self.left, self.sent - lines)

    def held(self, times: int = 1) -> bool:  # what can wait is held while half the backlog waits
        return self.sent - self.left >= times * self.usual

    def scarce(self, proxies: list[int]) -> bool:  # what can wait may be told to one of these no more
        most = 0.6 * self.config.max_messages_per_proxy
        return most > 0 and any(len(self.written.get(proxy, ())) + 1 > most for proxy in proxies)

    def spare(self, now: int, proxies: list[int], urgent: bool) -> int:
        if not proxies:
            return 1 << 30
        since = now - self.config.message_count_window_us - self.config.max_transit_us
        for proxy in proxies if self.config.max_messages_per_proxy > 0 else ():
            times = self.written.setdefault(proxy, deque())
            while times and times[0] < since:
                times.popleft()
            part = 0.95 if urgent else 0.6
            if len(times) + (self.last.get(proxy) != self.reply) > part * self.config.max_messages_per_proxy:
                return 0
        waits = self.sent - self.left
        free = int(
            (0.9 * self.config.max_waiting_lines - waits) / len(proxies) - self.config.message_overhead_lines - 1
        )
        return max(0, free if urgent else min(free, int((self.usual - waits) / len(proxies))))

    def book(self, now: int, proxies: list[int], lines: int) -> None:
        fresh = [proxy for proxy in proxies if lines and self.last.get(proxy) != self.reply]
        self.sent += lines * len(proxies) + (self.config.message_overhead_lines + 1) * len(fresh)
        self.messages += len(fresh)
        self.last.update(dict.fromkeys(fresh, self.reply))
        for proxy in fresh if self.config.max_messages_per_proxy > 0 else ():
            self.written.setdefault(proxy, deque()).append(now)

    def stamp(self, already: float) -> list[Command]:
        self.reply += 1
        if self.sent <= already:
            return []
        self.mark = (self.mark + 1) % 65536
        self.marks[self.mark] = already  # as many as the numbers allow are kept
        self.own, self.messages, self.told = self.messages, 0, set()
        return [RequestAck(self.mark, False)]


class TableSet:
    """One shared table a zone, one for the excess of a jam, and slices of zones' tables for a wave of joins:
    a small table at once serves better than a whole one too late; where some methods may go to tasks of the
    proxy's zone only, a home table a zone for these; who uses them, what was last ordered."""

    def __init__(self, config: AssignerConfig) -> None:
        self.excess, self.standing = config.zones, config.initial_table_size
        own = sum(1 << k for k, m in enumerate(config.methods) if m.same_zone_only)
        # Where all methods keep to their zone its one table does; else these methods, and all the rest.
        self.alone = own == (1 << len(config.methods)) - 1
        self.own, self.rest = (0, 0) if self.alone or not own else (own, (1 << len(config.methods)) - 1 - own)
        self.homes = config.zones * (1 + SLICES) + 1
        every = range(self.homes + config.zones * (self.own > 0))
        self.lines: list[dict[int, float]] = [{} for _ in every]
        self.caps: list[dict[int, float]] = [{} for _ in every]  # the cap each line went out with
        usual = dict.fromkeys(range(len(config.methods)), (whole_level(config), config.default_retry_mode))
        self.levels = [dict(usual) for _ in every]
        self.bound: list[list[int]] = [[] for _ in every]
        self.joining: list[tuple[int, int, int]] = []  # proxies to be put on a table, for which methods
        self.zone: dict[int, int] = {}  # of each joined proxy
        self.rate: dict[int, float] = {}
        self.strain, self.parted, self.crowded, self.waiting = 0, False, False, 0

    def zone_of(self, table: int) -> int:  # of proxies that use it
        part = (table - self.excess - 1) // SLICES  # a slice of whose
        return table if table <= self.excess else part if table < self.homes else table - self.homes

    def serves(self, table: int, method: int) -> bool:
        return self.excess < table < self.homes or (self.own >> method & 1) == (table >= self.homes)

    def gather(self, usual: float) -> bool:
        """Whether proxies wait for a table. They are a wave if, on top of as many that have one, so many come
        that the channel could not take a drain behind them; a start, where nobody has one, at twice that."""
        due = [zone for _, zone, methods in self.joining if not methods]
        least = SLICES * max(2, self.standing)
        lines = sum(len(self.lines[zone]) for zone in due if len(self.lines[zone]) >= least)
        if len(due) > self.waiting:
            self.crowded = self.crowded or lines > usual * (1 + (len(due) > sum(map(len, self.bound))))
        self.crowded, self.waiting = self.crowded and lines > usual / 2, len(due)
        return bool(due)

    def first_table(self, zone: int) -> int:
        first = self.excess + 1 + zone * SLICES
        some = [table for table in range(first, first + SLICES) if self.crowded and self.lines[table]]
        return min(some, key=lambda table: len(self.bound[table]), default=zone)

    def join(self, event: ProxyJoined, lean: int) -> None:
        self.zone[event.proxy] = event.zone
        self.rate[event.proxy] = event.usual_rate_per_s if event.usual_rate_per_s > 0 else 0.0
        self.joining.append((event.proxy, event.zone, 0))
        if self.own:
            self.joining.append((event.proxy, self.homes + event.zone, self.own))
        if self.parted:
            self.joining.append((event.proxy, self.excess, lean))

    def leave(self, proxy: int) -> None:
        if self.zone.pop(proxy, None) is not None:
            self.bound = [[p for p in bound if p != proxy] for bound in self.bound]
            self.joining = [due for due in self.joining if due[0] != proxy]

    def part_methods(self, jam: bool, lean: int, tried: float, bad: float) -> None:
        """In a lasting jam that no level can thin out, methods of less criticality are left a few tasks, till
        the rest do well."""
        self.strain = max(0, min(4, self.strain + (1 if jam else -1)))
        over = not self.strain or bad < JAM / 5 * tried
        if lean and (over if self.parted else self.strain >= 2):
            self.parted, self.strain = not self.parted, 0
            self.joining = [due for due in self.joining if due[2] in (0, self.own)]
            self.joining += [(p, self.excess if self.parted else z, lean) for p, z in self.zone.items()]

    def attach(self, now: int, box: BacklogEstimator, since: dict[int, int]) -> list[Command]:
        orders = []
        # Proxies without a table first, and past all that waits in time: what they hold may be gone.
        for proxy, zone, methods in sorted(self.joining, key=lambda due: due[2] not in (0, self.own)):
            table = zone if methods else self.first_table(zone)
            due = methods in (0, self.own) and now - since[proxy] > box.config.drain_grace_us / 4
            room = 0 if box.held(1 + due) or not self.lines[table] else box.spare(now, [proxy], True)
            if room >= self.size(table) and (proxy, zone, methods) in self.joining:
                self.joining.remove((proxy, zone, methods))
                if table != zone:  # a slice: of its home table where there is one
                    second = proxy, self.homes + zone, self.own
                    self.joining = [due for due in self.joining if due != second]
                orders.append(self.bind(now, box, proxy, table, methods))
        for table in range(self.excess + 1, self.homes):  # the wave is over: whole ones, with room
            zone = self.zone_of(table)
            whole = [(zone, 0)] + [(self.homes + zone, self.own)] * (self.own > 0)
            size = sum(self.size(which) for which, _ in whole)
            for proxy in list(self.bound[table]):
                if self.joining or self.parted or box.spare(now, [proxy], False) < size:
                    return orders
                orders += [self.bind(now, box, proxy, *which) for which in whole]
        return orders

    def size(self, table: int) -> int:
        return len(self.lines[table]) + 1 + len(self.levels[table])

    def bind(self, now: int, box: BacklogEstimator, proxy: int, table: int, methods: int) -> BindTable:
        for other, bound in enumerate(self.bound):
            leaves = other == self.excess if methods else other != self.excess
            if proxy in bound and leaves and other != table and max(other, table) < self.homes:
                bound.remove(proxy)
        self.bound[table] += [proxy] * (proxy not in self.bound[table])
        box.book(now, [proxy], self.size(table))
        return BindTable(proxy, table, methods or self.rest * (table <= self.excess))


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

    def learnt(self) -> tuple[list[LearnedEstimate], float]:
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

    def figures(self) -> dict[str, object]:
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
