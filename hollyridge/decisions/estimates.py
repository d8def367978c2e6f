"""What load reports tell of tasks and proxies, smoothed."""

from __future__ import annotations

from hollyridge.interface import AssignerConfig, OfferedLoad, TrafficReport

BUSY = 0.85  # utilisation from which levels act, and which they aim at
MEMORY = 0.75  # part of what was heard that still counts a period later
SPEED_MEMORY = 0.9  # the same for what a task can do, which changes less
JAM = 0.25  # part of all tries that end badly while the fleet is in a jam
PRIOR = 6.0  # tries' worth of trust in what the wider group shows


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
