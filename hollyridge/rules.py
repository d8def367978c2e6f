"""All decisions of an assigner: which tasks its proxies send to, and how much to each.

Called as `Assigner(bootstrap, seed).decide(now, events) -> orders`, once for all that came at one
moment; nothing else goes in or out. Events, orders and `Bootstrap` are in `hollyridge/interface.py`.
Each part decides one thing: Roster (what is listed, when to ask), Estimates (what is heard), Health (who
lies low), Ramp (what cold tasks may get), Solver (better weights), Gate (when they are worth a push),
Tables (what each zone's table should hold), Outbox (what leaves, when). docs/design.md gives reasons.
"""

from __future__ import annotations

from collections import deque
from random import Random

from hollyridge.interface import (
    Admission, AskReceipt, Attach, Bootstrap, Event, Joined, Left, ListKind, MethodTerms, Order, PutLine,
    Receipt, RosterChange, SetLevel, TaskState, TrafficReport, WakeAt, Watch, Woke,
)

HMAX = 0.2  # pushes a period in the long run
V = 50.0  # weight of the gain against the price of a push
NOISE_FLOOR = 0.05  # a smaller gain counts as none
STEP = 0.1  # a weight moves by at most this part in a period, and a line is sent once it moved by more
LEASH = 1.0  # how strongly a weight is drawn back to the task's size
START_REACH = 0.6  # part of a line's weight in the tables of other zones, at the start
LEAST_REACH = 0.3  # and at the least
TRICKLE = 0.05  # part left to a task that lies low, so that news of it keeps coming
MEMORY = 0.75  # part of what was heard that still counts a period later
SPEED_MEMORY = 0.9  # the same for what a task can do, which changes less
LEAST_PART = 1 / 9  # of the tasks, left in a jam to methods that give way
JAM = 0.25  # part of all tries that end badly while the fleet is in a jam
PRIOR = 6.0  # tries' worth of trust in what the wider group shows


class Roster:
    """Which tasks are listed, when they last started, and when the list is asked for."""

    def __init__(self, boot: Bootstrap, rng: Random) -> None:
        self.boot, self.chance = boot, rng.random
        self.state: list[int] = []
        self.zone: list[int] = []
        self.hint: list[float] = []
        self.started: list[int] = []
        self.ask_at: int | None = 0 if boot.subscribe else None
        self.failures = 0

    def hear(self, now: int, change: RosterChange) -> list[int]:
        """Take a list event; returns the tasks that are new or have started again."""
        if change.kind == ListKind.FAILED:
            # A call failed or the watch broke: ask again after a growing, jittered wait.
            if self.ask_at is None or self.ask_at > now:
                self.failures += 1
                wait = self.boot.period * min(2 ** self.failures, 16) / 2
                self.ask_at = now + round(wait * (0.5 + self.chance()))
            return []
        if change.kind != ListKind.CACHED:
            self.failures = 0
            # The watch holds; renew it long before silence could mean that it was lost unheard.
            self.ask_at = now + self.boot.ask_within if self.boot.subscribe else None
        fresh = []
        seen = set()
        for task, zone, _sku, _cell, state, weight, started_at in change.entries:
            while len(self.state) <= task:
                self.state.append(TaskState.GONE)
                self.zone.append(0)
                self.hint.append(1.0)
                self.started.append(-1)
            seen.add(task)
            was_open = self.state[task] == TaskState.READY
            if state == TaskState.READY and (not was_open or started_at > self.started[task]):
                fresh.append(task)
            self.state[task] = state
            if state != TaskState.GONE:
                self.zone[task] = zone
                self.hint[task] = weight if 0 < weight < 1e9 else 1.0
                self.started[task] = max(started_at, self.started[task])
        if change.kind != ListKind.DELTA:
            for task in range(len(self.state)):
                if task not in seen:  # a full list says by silence what has left
                    self.state[task] = TaskState.GONE
        return fresh

    def open(self) -> list[int]:
        return [i for i, state in enumerate(self.state) if state == TaskState.READY]

    def calls(self, now: int) -> list[Order]:
        if self.ask_at is None or now < self.ask_at:
            return []
        # The answer moves this on; an answer that never comes must not end the asking.
        self.ask_at = now + self.boot.ask_within
        return [Watch(True)]


class Estimates:
    """What the proxies of each zone met at each task, aged by period; demand by zone."""

    def __init__(self, boot: Bootstrap) -> None:
        self.boot, self.zones = boot, range(boot.zones)
        shares = [m.criticality for m in boot.methods]
        total = sum(shares) or 1.0
        self.soft = sum(m.soft_deadline * c for m, c in zip(boot.methods, shares)) / total
        self.abort_cost = sum(m.deadline * c for m, c in zip(boot.methods, shares)) / total
        self.tries: list[list[float]] = [[] for _ in self.zones]
        self.bad: list[list[float]] = [[] for _ in self.zones]
        self.cost: list[list[float]] = [[] for _ in self.zones]
        self.util_at = boot.load_names.index("util") if "util" in boot.load_names else None
        self.util: list[float] = []  # newest heard of each task, -1 once used
        self.load: list[float] = []  # its utilisation, smoothed
        self.served: list[float] = []  # RPCs answered, and the busy periods they took, while warm
        self.busy: list[float] = []
        # Tries, bad ones and good latency of hardly more than a period, by task and by zone of proxies.
        self.fresh: list[list[float]] = []
        self.met = [[0.0] * 3 for _ in self.zones]

    def grow(self, tasks: int) -> None:
        more = tasks - len(self.fresh)
        self.fresh.extend([0.0] * 3 for _ in range(more))
        self.util.extend([-1.0] * more)
        self.load.extend([0.0] * more)
        self.served.extend([0.0] * more)
        self.busy.extend([0.0] * more)
        for rows in (self.tries, self.bad, self.cost):
            for row in rows:
                row.extend([0.0] * (tasks - len(row)))

    def forget(self, task: int) -> None:
        self.served[task] = self.busy[task] = self.load[task] = 0.0
        for rows in (self.tries, self.bad, self.cost):
            for row in rows:
                row[task] = 0.0

    def hear(self, report: TrafficReport) -> None:
        zone, task = report.zone, report.task
        if zone >= self.boot.zones or task >= len(self.tries[0]) or report.over <= 0 or report.tries <= 0:
            return
        bad = min(report.bad, report.tries)
        good = report.tries - bad if report.latency >= 0 else 0
        self.tries[zone][task] += bad + good
        self.bad[zone][task] += bad
        self.cost[zone][task] += good * report.latency + bad * self.abort_cost
        if self.util_at is not None and len(report.load) > self.util_at:
            util = report.load[self.util_at]
            self.util[task] = util if 0.0 <= util <= 1.5 else -1.0
        for k, figure in enumerate((bad + good, bad, good * report.latency)):
            figure *= self.boot.period / max(report.over, self.boot.period)
            self.fresh[task][k] += figure
            self.met[zone][k] += figure

    def sizes(self, hint: list[float], tasks: list[int], warm: list[bool]) -> list[float]:
        """What each task can do, against the others: RPCs answered in a busy period, from its listed size.

        Where load reports tell no utilisation the listed size stands and latency has to teach the rest.
        """
        for i in tasks:
            if self.util[i] >= 0.0 and warm[i]:
                self.served[i] = self.served[i] * SPEED_MEMORY + self.fresh[i][0] - self.fresh[i][1]
                self.busy[i] = self.busy[i] * SPEED_MEMORY + self.util[i]
            if self.util[i] >= 0.0:
                self.load[i] += (min(self.util[i], 0.95) - self.load[i]) / 2
            self.util[i] = -1.0
        size, busy = sum(hint[i] for i in tasks), sum(self.busy[i] for i in tasks)
        served = sum(self.served[i] for i in tasks)
        if busy <= 0 or served <= 0:
            return hint
        unit = served / sum(self.busy[i] * hint[i] for i in tasks)
        found = list(hint)
        for i in tasks:
            found[i] = (self.served[i] + hint[i] * unit) / (self.busy[i] + 1.0)
        scale = size / sum(found[i] for i in tasks)
        return [x * scale for x in found]

    def age(self) -> None:
        for rows in (self.tries, self.bad, self.cost):
            for row in rows:
                row[:] = [x * MEMORY for x in row]
        for row in self.fresh + self.met:
            row[:] = [0.0, 0.0, 0.0]

    def stress(self, zone: int, lines: dict[int, float]) -> float:
        """Above 1: a zone's tries end bad or late, which more RPCs would only make worse.

        Nothing while the tasks of its table have idle cores: then work lies badly, or some hang, which
        weights and health must mend, not levels.
        """
        tries, bad, slow = self.met[zone]
        told = [i for i in lines if self.util[i] >= 0.0]
        weight = sum(lines[i] for i in told)
        if tries < PRIOR or told and sum(lines[i] * self.util[i] for i in told) < 0.85 * weight:
            return 0.0
        return slow / max(tries - bad, 1.0) / self.soft / 0.6 + bad / tries / 0.25

    def spread(self, rows: list, start: float, tasks: list[int], home: list[int]) -> list[list[float]]:
        """A figure per try for each (zone of proxies, task), from little news.

        A task with few tries is judged by what all zones met at it and by what this zone met in the
        task's zone; one with none counts as average.
        """
        tries = self.tries
        n_all = sum(tries[z][i] for z in self.zones for i in tasks)
        mean = (sum(rows[z][i] for z in self.zones for i in tasks) + PRIOR * start) / (n_all + PRIOR)
        pooled = {}
        for i in tasks:
            n = sum(tries[z][i] for z in self.zones)
            pooled[i] = (sum(rows[z][i] for z in self.zones) + PRIOR * mean) / (n + PRIOR)
        out = []
        for z in self.zones:
            met = [PRIOR * mean] * self.boot.zones
            expected = [PRIOR * mean] * self.boot.zones
            for i in tasks:
                met[home[i]] += rows[z][i]
                expected[home[i]] += tries[z][i] * pooled[i]
            row = [mean] * len(tries[z])
            for i in tasks:
                ratio = met[home[i]] / expected[home[i]] if expected[home[i]] > 0 else 1.0
                row[i] = (rows[z][i] + PRIOR * pooled[i] * ratio) / (tries[z][i] + PRIOR)
            out.append(row)
        return out


class Health:
    """Who lies low: a factor for each (zone of proxies, task), down at once and back step by step.

    Goes by what a zone's own proxies met, against the middle task of the best zone as they see it: fast
    errors, hangs, silence and a cut look alike here and are met alike; overload, which all tasks show,
    cuts nobody. Judged by zone, since a cut shows only from one side.
    """

    def __init__(self, boot: Bootstrap) -> None:
        self.factor: list[list[float]] = [[] for _ in range(boot.zones)]

    def grow(self, tasks: int) -> None:
        for row in self.factor:
            row.extend([1.0] * (tasks - len(row)))

    def judge(self, est: Estimates, tasks: list[int], home: list[int]) -> None:
        if not tasks:
            return
        ratios = est.spread(est.bad, 0.0, tasks, home)
        for zone, factor in enumerate(self.factor):
            ratio = ratios[zone]
            zones = [sorted(ratio[i] for i in tasks if home[i] == there) for there in range(len(ratios))]
            base = min(ranked[len(ranked) // 2] for ranked in zones if ranked)
            for i in tasks:
                # Half of all tries: a slow task whose tries run out of time is the solver's business. Cut
                # for less, one after the other hands its work to the rest until all are in a jam.
                if ratio[i] > base + 0.5:
                    factor[i] = max(TRICKLE, factor[i] * 0.25)
                elif factor[i] < 1.0:
                    heard = est.tries[zone][i] >= 1.0
                    factor[i] = min(1.0, factor[i] * (2.0 if heard else 1.25))


class Ramp:
    """What part of its usual share a task may get, by the time since its start."""

    def __init__(self, boot: Bootstrap) -> None:
        self.boot = boot

    def part(self, now: int, started: int) -> float:
        """From the stated floor up to all of it, in steps of an eighth."""
        if started <= 0 or now - started >= self.boot.warm_up:
            return 1.0
        floor = self.boot.cold_from
        part = floor + (1 - floor) * max(0, now - started) / self.boot.warm_up
        return max(floor, int(part * 8) / 8)


class Solver:
    """The feedback loop on heard latency: a line's weight is its size x the task's skill x the zone's reach.

    Skill is learnt once for all tables, against the tasks of its own zone; reach once for each pair of
    zones. So little news moves many lines, and a step of the two together moves none by over a tenth.
    """

    def __init__(self, boot: Bootstrap, est: Estimates) -> None:
        self.zones, self.est = range(boot.zones), est
        self.share = 1.0 / boot.assigners
        # What crossing zones costs, in terms of latency: its price is a part of an RPC's criticality,
        # which is what an RPC that misses its soft deadline loses.
        self.toll = 2 * boot.cross_zone_price * est.soft
        self.skill: list[float] = []
        self.lines: list[dict[int, float]] = [{} for _ in self.zones]
        self.reach = [[1.0 if a == b else START_REACH for b in self.zones] for a in self.zones]

    def grow(self, tasks: int) -> None:
        self.skill.extend([1.0] * (tasks - len(self.skill)))

    def restart(self, task: int) -> None:
        self.skill[task] = 1.0
        for own in self.lines:
            own.pop(task, None)

    def costs(self, zone: int, heard: list[float], tasks: list[int], home: list[int]) -> dict[int, float]:
        """Heard latency and toll, at the margin: what one more RPC adds, the more the busier the task."""
        load = self.est.load
        return {i: heard[i] / (1 - load[i]) + (self.toll if home[i] != zone else 0.0) for i in tasks}

    def step(self, costs: list, size: list[float], tasks: list[int], home: list[int]) -> None:
        for there in self.zones:
            kin = [i for i in tasks if home[i] == there]
            if not kin:
                continue
            cost = {i: sum(costs[z][i] for z in self.zones) for i in kin}
            total = sum(size[i] * self.skill[i] for i in kin)
            average = sum(size[i] * self.skill[i] * cost[i] for i in kin) / total
            for i in kin:
                # A leash keeps a weight near the task's size: chased all the way, equal latency piles work
                # on the quickest until a burst tips them into a jam.
                pull = 2 * (average - cost[i]) / average - LEASH * (self.skill[i] - 1)
                self.skill[i] *= 1 + max(-1.0, min(1.0, pull)) * STEP / 3 * self.share
        for z in self.zones:
            mass, bill = [0.0] * len(self.zones), [0.0] * len(self.zones)
            for i in tasks:
                w = size[i] * self.skill[i]
                mass[home[i]] += w
                bill[home[i]] += w * costs[z][i]
            total = sum(m * r for m, r in zip(mass, self.reach[z]))
            average = sum(b * r for b, r in zip(bill, self.reach[z])) / total if total > 0 else 0.0
            for there in self.zones:
                if mass[there] > 0 and average > 0:
                    pull = max(-1.0, min(1.0, 2 * (average - bill[there] / mass[there]) / average))
                    self.reach[z][there] += (pull if pull > 0 else pull / 3) * STEP * self.share
            most = max(self.reach[z])
            self.reach[z] = [max(r / most if most > 0 else 1.0, LEAST_REACH) for r in self.reach[z]]

        for z in self.zones:
            old, new = self.lines[z], {}
            for i in tasks:
                aim = size[i] * self.skill[i] * self.reach[z][home[i]]
                step = STEP * self.share * size[i]
                new[i] = min(max(aim, old[i] - step), old[i] + step) if i in old else aim
            self.lines[z] = new

    def weights(self, zone: int, size: list[float], tasks: list[int], home: list[int]) -> dict[int, float]:
        """The zone's line weights; a task not stepped yet begins at its size."""
        own = self.lines[zone]
        return {i: own[i] if i in own else size[i] * self.reach[zone][home[i]] for i in tasks}


class Gate:
    """The Greedy Policy: push iff U < V x gain, then U <- [U - hmax]+ + u."""

    def __init__(self) -> None:
        self.price = 0.0

    def decide(self, published: float, current: float, held: bool) -> bool:
        gain = (published - current) / published if published > 0 else 0.0
        push = not held and self.price < V * (gain if gain >= NOISE_FLOOR else 0.0)
        self.price = max(self.price - HMAX, 0.0) + push
        return push


class Tables:
    """One shared table a zone: learnt weights, what caps leave of them, and what was last ordered."""

    def __init__(self, boot: Bootstrap) -> None:
        self.published: list[dict[int, float]] = [{} for _ in range(boot.zones + 1)]
        self.capped: list[dict[int, float]] = [{} for _ in range(boot.zones + 1)]  # cap each line went out with

    def compose(self, learnt: dict, ramp: list[float], health: list[float], ease: float,
                apart: bool) -> tuple[dict, dict]:
        """Lines wanted in a zone's table, and the cap that each was held under."""
        lines = {i: w * health[i] for i, w in learnt.items()}
        caps = {i: health[i] * ramp[i] * (2 if apart else 1) for i in learnt}
        warm = [w for i, w in lines.items() if ramp[i] >= 1.0]
        # A cold task gets at most its part of an even share of what the warm ones carry, however little
        # the others in its zone weigh; with nobody warm all are held down alike.
        even = ease * sum(warm) / len(lines) if warm else None
        for i in list(lines):
            if ramp[i] < 1.0 and not ease and warm:
                del lines[i]
            elif ramp[i] < 1.0:
                lines[i] = ramp[i] * (lines[i] if even is None else min(lines[i], even * health[i]))
        return {i: max(w, 1e-4) for i, w in lines.items()}, caps


class Levels:
    """What part of each method is let in, and how proxies may try again."""

    def __init__(self, boot: Bootstrap) -> None:
        self.boot = boot
        self.open = [1.0] * (boot.zones + 1)
        most = max(m.criticality for m in boot.methods)
        # The methods that give way where levels are off, as a mask.
        self.lean = sum(1 << k for k, m in enumerate(boot.methods) if m.criticality < most)
        self.lean *= boot.admission == Admission.OFF
        # One row a method: its criticality's rank from the lowest, and its way to try again.
        self.rows = [(k, retry_way(m)) for k, m in enumerate(boot.methods)]

    def move(self, zone: int, stress: float) -> None:
        """Down quickly while the fleet is in a jam, up slowly: the jam must drain before more comes in."""
        if self.boot.admission == Admission.OFF:
            return
        if stress > 1.0:
            self.open[zone] = max(0.1, self.open[zone] * (1 - 0.4 * min(1.0, stress - 1.0)))
        elif stress < 0.8:
            self.open[zone] = min(1.0, self.open[zone] + 0.05)

    def wanted(self, zone: int, jam: bool) -> dict[int, tuple[float, int]]:
        """Further tries feed a jam, however safe they are, and pile up on whoever has room: cold tasks."""
        return {k: (round(self.open[zone] * 20) / 20, 0 if jam else way) for k, way in self.rows}


def retry_way(method: MethodTerms) -> int:
    """How a proxy may try again without an effect happening twice.

    After proof that the first never ran it is always safe.
    """
    return 1


class Outbox:
    """What may leave: within the lines that may wait and the messages a proxy may get.

    What waits is counted by proof, not by an assumed pace: messages leave one after the other, so that a
    receipt from any proxy shows that all sent before it has left. A stalled proxy's late receipt proves
    less, never more; a slow channel shows as proof that stays away.
    """

    def __init__(self, boot: Bootstrap) -> None:
        self.boot = boot
        self.sent = self.left = 0.0  # lines ever sent, and proven to have left
        self.at = 0
        self.mark = 0
        self.marks: dict[int, float] = {}  # lines sent before each mark's reply
        self.written: dict[int, deque[int]] = {}  # when each proxy was written to

    def drain(self, now: int) -> None:
        """Without any receipt (all proxies lost, say) believe in an eighth of the healthy pace."""
        self.left = min(self.sent, self.left + self.boot.lines_per_s / 8 * (now - self.at) / 1e6)
        self.at = now

    def receipt(self, receipt: Receipt) -> None:
        self.left = max(self.left, self.marks.get(receipt.mark, 0.0))

    def room(self, lines: float, part: float) -> bool:
        return self.sent - self.left + lines <= part * self.boot.most_waiting

    def may_send(self, now: int, proxies: list[int], lines: int, part: float) -> bool:
        """Whether a message to each leaves the channel and the proxies within this part of their limits."""
        if not self.room(len(proxies) * (lines + self.boot.overhead + 1), part):
            return False
        since = now - self.boot.counted_over - self.boot.worst_transit
        for proxy in proxies if self.boot.messages_most > 0 else ():
            times = self.written.setdefault(proxy, deque())
            while times and times[0] < since:
                times.popleft()
            if len(times) + 1 > part * self.boot.messages_most:
                return False
        return True

    def book(self, now: int, proxies: list[int], lines: int) -> None:
        if lines and proxies:
            self.sent += (lines + self.boot.overhead + 1) * len(proxies)
            for proxy in proxies:
                self.written.setdefault(proxy, deque()).append(now)

    def stamp(self, already: float) -> list[Order]:
        """A mark for this reply's messages, if there are any."""
        if self.sent <= already:
            return []
        self.mark = (self.mark + 1) % 65536
        self.marks[self.mark] = already
        self.marks.pop((self.mark - 1000) % 65536, None)
        return [AskReceipt(self.mark, False)]


class Assigner:
    """One instance. `decide` takes what happened and returns what is to be done."""

    def __init__(self, boot: Bootstrap, seed: int) -> None:
        self.boot = boot
        rng = Random(seed)
        self.roster = Roster(boot, rng)
        self.est = Estimates(boot)
        self.health = Health(boot)
        self.ramp = Ramp(boot)
        self.solver = Solver(boot, self.est)
        self.gate = Gate()
        self.tables = Tables(boot)
        self.outbox = Outbox(boot)
        self.proxy_zone: dict[int, int] = {}
        self.rate: dict[int, float] = {}
        # A table a zone, and one more for the excess of a jam.
        self.bound: list[list[int]] = [[] for _ in range(boot.zones + 1)]
        self.joining: list[tuple[int, int, int]] = []  # proxies to be put on a table, for which methods
        self.strain, self.split = 0, False
        self.size: list[float] = []
        self.part = LEAST_PART
        self.next_period: int | None = None
        self.levels = Levels(boot)
        self.level_sent: list[dict] = [{} for _ in range(boot.zones + 1)]
        self.token = 0
        self.jam, self.ease, self.peak, self.owed = False, 1.0, 0.0, False
        self.calm_at = 0

    def decide(self, now: int, events: list[Event]) -> list[Order]:
        orders: list[Order] = []
        self.outbox.drain(now)
        listed = False
        for event in events:
            kind = type(event)
            if kind is TrafficReport:
                self.est.hear(event)
            elif kind is RosterChange:
                listed = True
                self.listen(now, event)
            elif kind is Receipt:
                self.outbox.receipt(event)
            elif kind is Joined:
                self.leave(event.proxy)
                if event.zone < self.boot.zones:
                    self.proxy_zone[event.proxy] = event.zone
                    self.rate[event.proxy] = event.rate if event.rate > 0 else 0.0
                    self.joining.append((event.proxy, event.zone, 0))
                    if self.split:
                        self.joining.append((event.proxy, self.boot.zones, self.levels.lean))
            elif kind is Left:
                self.leave(event.proxy)
        if self.next_period is None:
            self.next_period = now
            # Started over in a jam, this instance hears of it only when tries have run out of time.
            self.calm_at = now + 2 * self.boot.period + max(m.deadline for m in self.boot.methods)
            self.ease = 0.0 if self.boot.outlier_after > 0 else 1.0
        if self.boot.partitions:
            return orders
        push = False
        # A period is worked as its reports come, not at a clock tick long after; the timer stands in
        # for reports that stay away.
        heard = any(type(e) is TrafficReport for e in events)
        period = now >= self.next_period or heard and now >= self.next_period - self.boot.period
        if period:
            self.next_period = now + self.boot.period * 3 // 2
            push = self.improve(now)
        orders += self.roster.calls(now)
        orders += self.publish(now, period, push, listed)
        if period or self.owed or listed or any(type(e) is Woke for e in events):
            soon = self.next_period
            if self.joining or self.owed:
                soon = min(soon, now + self.boot.period // 8)
            if self.roster.ask_at is not None:
                soon = min(soon, max(self.roster.ask_at, now + 1))
            self.token += 1
            orders.append(WakeAt(self.token, max(soon - now, 1000)))
        return orders

    def listen(self, now: int, change: RosterChange) -> None:
        fresh = self.roster.hear(now, change)
        tasks = len(self.roster.state)
        for part in (self.est, self.health, self.solver):
            part.grow(tasks)
        for task in fresh:
            self.est.forget(task)
            self.solver.restart(task)
            for row in self.health.factor:
                row[task] = 1.0

    def leave(self, proxy: int) -> None:
        zone = self.proxy_zone.pop(proxy, None)
        if zone is None:
            return
        for bound in self.bound:
            if proxy in bound:
                bound.remove(proxy)
        self.joining = [due for due in self.joining if due[0] != proxy]

    def part_methods(self, tasks: list[int]) -> None:
        """In a lasting jam that no level can thin out, methods of less criticality are left a few tasks.

        So the rest come free of RPCs that run out of time. The few grow while the rest do well, and all are
        together again when it is over.
        """
        rest = [i for i in tasks if i not in self.tables.published[-1]]
        tried, bad = (sum(self.est.fresh[i][k] for i in rest) for k in (0, 1))
        if bad > JAM * tried:
            self.part = max(LEAST_PART, self.part / 2)
        elif bad < JAM / 5 * tried:
            self.part = min(0.5, self.part * 1.2)
        self.strain = max(0, min(4, self.strain + (1 if self.jam else -1)))
        if self.levels.lean and self.split != (self.strain >= (1 if self.split else 2)):
            self.split, self.part = not self.split, LEAST_PART
            excess = self.boot.zones
            self.joining = [due for due in self.joining if due[2] == 0]
            for proxy, zone in self.proxy_zone.items():
                self.joining.append((proxy, excess if self.split else zone, self.levels.lean))
            if not self.split:
                self.bound[excess] = []

    def sinks(self, tasks: list[int]) -> list[int]:
        """The slowest of the warm tasks, as many as are left to the methods that give way."""
        size, skill = self.size or self.roster.hint, self.solver.skill
        return sorted(tasks, key=lambda i: (size[i] * skill[i], i))[:max(1, round(len(tasks) * self.part))]

    def improve(self, now: int) -> bool:
        """One report period: judge, step, and ask the gate."""
        roster, est = self.roster, self.est
        tasks = roster.open()
        if not tasks:
            return self.gate.decide(0.0, 0.0, True)
        self.health.judge(est, tasks, roster.zone)
        heard = est.spread(est.cost, est.soft / 2, tasks, roster.zone)
        for zone, before in enumerate(self.tables.published[:-1]):
            self.levels.move(zone, est.stress(zone, before))
        warm = [self.ramp.part(now, started) >= 1.0 for started in roster.started]
        size = est.sizes(roster.hint, tasks, warm)
        tried, bad = (sum(self.est.fresh[i][k] for i in tasks) for k in (0, 1))
        self.jam = bad > JAM * (tried + PRIOR)
        # In a jam RPCs come again and again and gather on whoever has room, a cold task above all: it is
        # offered less by as much as tries outnumber the best the fleet has done. Proxies that keep away
        # from a task after some failures in a row leave nothing else to pick, whatever the weight: then none.
        self.peak = max(self.peak * 0.98, (tried - bad) / len(tasks))
        self.ease = min(1.0, self.peak * len(tasks) / tried) if tried > 0 else 1.0
        if self.boot.outlier_after > 0 and (self.jam or now < self.calm_at):
            self.ease = 0.0
        self.part_methods(tasks)
        est.age()
        self.size = size
        published = current = 0.0
        costs = [self.solver.costs(z, heard[z], tasks, roster.zone) for z in range(self.boot.zones)]
        self.solver.step(costs, size, tasks, roster.zone)
        for zone, cost in enumerate(costs):
            lines, _ = self.wanted(now, zone, tasks)
            before = self.tables.published[zone]
            demand = sum(self.rate[p] for p in self.bound[zone])
            total_before = sum(before.get(i, 0.0) for i in tasks)
            if demand > 0 and total_before > 0:
                published += demand * sum(before.get(i, 0.0) * cost[i] for i in tasks) / total_before
                current += demand * sum(lines[i] * cost[i] for i in lines) / sum(lines.values())
        return self.gate.decide(published, current, not self.outbox.room(0, 0.5))

    def wanted(self, now: int, zone: int, tasks: list[int]) -> tuple[dict, dict]:
        ramp = [self.ramp.part(now, started) for started in self.roster.started]
        sinks = self.sinks([i for i in tasks if ramp[i] >= 1.0]) if self.split else []
        if zone == self.boot.zones:
            return {i: 1.0 for i in sinks}, {i: 1.0 for i in sinks}
        home, health = self.roster.zone, self.health.factor[zone]
        learnt = self.solver.weights(zone, self.roster.hint, tasks, home)
        carried = sum(self.rate[p] for p in self.bound[zone]) * sum(ramp[i] for i in tasks)
        own = sum(ramp[i] * health[i] for i in tasks if home[i] == zone)
        apart = self.jam and not self.split and own * sum(self.rate[p] for p in self.proxy_zone) > carried / 2
        if apart:
            # A jam spreads along lines that cross zones. While it lasts each zone with at least half its
            # part of the sound tasks keeps to its own, so that those with less to carry come free.
            learnt = {i: w if home[i] == zone else w * TRICKLE for i, w in learnt.items()}
        for i in sinks:
            learnt[i] *= TRICKLE
        return self.tables.compose(learnt, ramp, health, self.ease, apart)

    def publish(self, now: int, period: bool, push: bool, listed: bool) -> list[Order]:
        """Lines that rules call for first, then levels, caps and what the gate let through, then joins."""
        box, tables = self.outbox, self.tables
        if not (period or listed or self.joining or self.owed):
            return []
        tasks = self.roster.open()
        orders: list[Order] = []
        already, self.owed = box.sent, False
        for zone in range(self.boot.zones + 1):
            lines, caps = self.wanted(now, zone, tasks)
            before, cap_before, proxies = tables.published[zone], tables.capped[zone], self.bound[zone]
            floor = STEP * sum(lines.values()) / max(len(lines), 1)
            gone = [i for i in before if i not in lines]
            # New tasks and moved caps go out beside the gate: the ramp and health are not its business.
            moved = [i for i in lines if i not in before or cap_before.get(i) != caps[i]
                     or push and abs(lines[i] - before[i]) > STEP * max(before[i], floor)]
            levels = self.moved_levels(zone)
            if not box.may_send(now, proxies, len(gone) + len(moved) + len(levels), 0.5):
                # What can wait waits; but lines that take a table's last ones out bring others along.
                levels = []
                moved = [i for i in moved if i not in before] if len(gone) == len(before) else []
                if gone and not box.may_send(now, proxies, len(gone) + len(moved), 0.95):
                    gone, moved, self.owed = [], [], True
            orders += [PutLine(lines[i], i, zone) for i in moved] + [PutLine(0.0, i, zone) for i in gone]
            orders += [SetLevel(zone, 1 << method, *level) for method, level in levels]
            for i in gone:
                del before[i], cap_before[i]
            before.update((i, lines[i]) for i in moved)
            cap_before.update((i, caps[i]) for i in moved)
            self.level_sent[zone].update(levels)
            box.book(now, proxies, len(gone) + len(moved) + len(levels))
        for due in self.joining[:]:
            proxy, zone, methods = due
            size = len(tables.published[zone]) + 1 + len(self.level_sent[zone])
            if not tables.published[zone] or not box.may_send(now, [proxy], size, 0.9):
                continue
            orders.append(Attach(proxy, zone, methods))
            self.joining.remove(due)
            if proxy not in self.bound[zone]:
                self.bound[zone].append(proxy)
            box.book(now, [proxy], size)
        return orders + box.stamp(already)

    def moved_levels(self, zone: int) -> list[tuple[int, tuple[float, int]]]:
        sent, usual = self.level_sent[zone], (1.0, self.boot.retry_default)
        wanted = self.levels.wanted(zone, self.jam)
        return [(k, level) for k, level in wanted.items() if sent.get(k, usual) != level]
