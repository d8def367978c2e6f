"""What each table holds and which proxies use it."""

from __future__ import annotations

from hollyridge.decisions.admission import whole_level
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.estimates import JAM
from hollyridge.interface import AssignerConfig, BindTable, Command, ProxyJoined

SLICES = 4  # tables that share out a zone's among many proxies that join at once


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
