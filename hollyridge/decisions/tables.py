"""The tables: their contents as last sent, the proxies that use them, and the proxies that wait for one.

Tables are numbered in this order: one for each zone of proxies; one overflow table; slices of the zones' tables, for
waves of joins; and one home table for each zone if some methods may not leave the proxy's zone.
"""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.decisions.admission import FULL_FRACTION, Level, unlimited_amount
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.estimates import OVERLOAD_FAILURE_RATIO
from hollyridge.interface import AssignerConfig, BindTable, Command, ProxyJoined

SLICES = 4  # slices of a zone's table, dealt out to proxies that join in a wave
MIN_SLICE_LINES = 2  # smallest number of lines for which a slice is worthwhile
START_WAVE_FACTOR = 2  # each slice costs a second table later, so the threshold doubles where few proxies have a table
WAVE_END_DIVISOR = 2  # a wave ends when its lines fall below half of the soft limit
MAX_OVERLOAD_SCORE = 4  # maximum score, in periods; bounds the time for which a past overload counts
SEPARATE_AT_SCORE = 2  # overloaded periods from which methods are separated
RECOVERED_FAILURE_RATIO = OVERLOAD_FAILURE_RATIO / 5  # failure ratio below which separated methods return
ALL_METHODS = 0  # mask of a binding for all methods
LATE_JOIN_DIVISOR = 4  # after a quarter of the grace, a waiting proxy may exceed the soft limit or get an empty table
LATE_JOIN_LIMIT_FACTOR = 2  # such a proxy may use up to twice the soft limit
HEADER_LINES = 1  # lines that a binding costs in addition to those of the table


class PendingBinding(NamedTuple):
    """A binding of a proxy to a table for the methods in a mask, to be sent once it fits into the channel."""

    proxy: int
    table: int
    methods: int


class Table:
    """One table as last sent.

    Attributes:
        weights: Weight by task.
        caps: Factor that limited the weight when its line was sent, by task.
        admitted_fraction: Largest fraction of its RPCs that it may admit because all of its tasks are cold.
        awaits_lines: It has no line yet, but is to get some; False if it is meant to be empty.
        levels: Admission level by method.
        proxies: Proxies that use the table.
    """

    __slots__ = ("admitted_fraction", "awaits_lines", "caps", "levels", "proxies", "weights")

    def __init__(self, levels: dict[int, Level]) -> None:
        self.weights: dict[int, float] = {}
        self.caps: dict[int, float] = {}
        self.admitted_fraction = FULL_FRACTION
        self.awaits_lines = True
        self.levels = levels
        self.proxies: list[int] = []

    def lines(self) -> int:
        """Return the number of lines that it costs to send the table to one proxy."""
        return len(self.weights) + HEADER_LINES + len(self.levels)


class TableSet:
    """All tables, by number.

    Attributes:
        overflow: Number of the table that sheddable methods use in an overload; equals the number of zones.
        first_home: Number of the first home table; the number of tables if there are no home tables.
        all_methods: Mask of all methods.
        zone_local_methods: Mask of the methods with home tables; 0 if there are no home tables.
        all_zone_local: All methods keep to their zone, so each zone needs only one table, with its own tasks.
        proxy_zone: Zone by joined proxy.
        proxy_rate: RPCs per second that each proxy expected when it joined.
        pending: Bindings that are yet to be sent.
        join_wave: So many proxies wait for a table that they get slices first.
        methods_separated: Sheddable methods use the overflow table.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.overflow = config.zones
        self.initial_table_size = config.initial_table_size
        self.all_methods = (1 << len(config.methods)) - 1
        zone_local = sum(1 << index for index, method in enumerate(config.methods) if method.same_zone_only)
        self.all_zone_local = zone_local == self.all_methods
        self.zone_local_methods = 0 if self.all_zone_local else zone_local
        self.other_methods = self.all_methods - zone_local if self.zone_local_methods else ALL_METHODS
        self.first_home = config.zones * (1 + SLICES) + 1
        count = self.first_home + config.zones * (self.zone_local_methods > 0)
        level = Level(unlimited_amount(config), config.default_retry_mode)
        self.tables = [Table(dict.fromkeys(range(len(config.methods)), level)) for _ in range(count)]
        self.pending: list[PendingBinding] = []
        self.proxy_zone: dict[int, int] = {}
        self.proxy_rate: dict[int, float] = {}
        self.overload_score = 0
        self.methods_separated = False
        self.join_wave = False
        self.waiting_proxies = 0

    def __getitem__(self, number: int) -> Table:
        return self.tables[number]

    def __len__(self) -> int:
        return len(self.tables)

    def is_slice(self, number: int) -> bool:
        """Return whether this table is a slice of a zone's table."""
        return self.overflow < number < self.first_home

    def is_unused_slice(self, number: int) -> bool:
        """Return whether this table is a slice that no proxy uses or is about to use."""
        return self.is_slice(number) and not self.join_wave and not self.tables[number].proxies

    def zone_of(self, number: int) -> int:
        """Return the zone of the proxies that use a table; the overflow table counts as a zone of its own."""
        if number <= self.overflow:
            return number
        if number < self.first_home:
            return (number - self.overflow - 1) // SLICES
        return number - self.first_home

    def is_shared(self, number: int) -> bool:
        """Return whether this is a zone's table, or a slice of one, that holds tasks of all zones."""
        if self.is_slice(number):
            return not (self.zone_local_methods or self.all_zone_local)
        return number < self.overflow and not self.all_zone_local

    def methods_of(self, number: int) -> int:
        """Return the mask of the methods for which proxies use a table."""
        if self.is_slice(number):
            return self.all_methods
        return self.zone_local_methods if number >= self.first_home else self.all_methods - self.zone_local_methods

    def serves(self, number: int, method: int) -> bool:
        """Return whether proxies use this table for this method."""
        return bool(self.methods_of(number) >> method & 1)

    def add_proxy(self, event: ProxyJoined, sheddable_methods: int) -> None:
        """Add a joined proxy, which then waits for its tables."""
        proxy = event.proxy
        self.proxy_zone[proxy] = event.zone
        self.proxy_rate[proxy] = event.usual_rate_per_s if event.usual_rate_per_s > 0 else 0.0
        self.pending.append(PendingBinding(proxy, event.zone, ALL_METHODS))
        if self.zone_local_methods:
            self.pending.append(PendingBinding(proxy, self.first_home + event.zone, self.zone_local_methods))
        if self.methods_separated:
            self.pending.append(PendingBinding(proxy, self.overflow, sheddable_methods))

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy; do nothing if it has not joined."""
        if self.proxy_zone.pop(proxy, None) is None:
            return
        for table in self.tables:
            table.proxies = [other for other in table.proxies if other != proxy]
        self.pending = [binding for binding in self.pending if binding.proxy != proxy]

    def detect_join_wave(self, soft_backlog_limit: float) -> bool:
        """Update whether proxies join in a wave, and return whether any proxies wait for a table.

        Joins form a wave if their tables exceed the soft backlog limit, so that a removal behind them would be late.
        The threshold is twice the limit if more proxies wait than have a table.
        """
        zones = [binding.table for binding in self.pending if binding.methods == ALL_METHODS]
        min_lines = SLICES * max(MIN_SLICE_LINES, self.initial_table_size)
        sizes = [len(self.tables[zone].weights) for zone in zones]
        lines = sum(size for size in sizes if size >= min_lines)
        if len(zones) > self.waiting_proxies:
            bound_proxies = sum(len(table.proxies) for table in self.tables)
            factor = START_WAVE_FACTOR if len(zones) > bound_proxies else 1
            self.join_wave = self.join_wave or lines > soft_backlog_limit * factor
        self.join_wave = self.join_wave and lines > soft_backlog_limit / WAVE_END_DIVISOR
        self.waiting_proxies = len(zones)
        return bool(zones)

    def update_separation(self, overloaded: bool, sheddable_methods: int, attempts: float, failed: float) -> None:
        """Separate methods in a lasting overload that admission can't reduce, until the other methods recover.

        Args:
            overloaded: The fleet is overloaded in this period.
            sheddable_methods: Mask of the methods that are then limited to the few tasks of the overflow table.
            attempts: Attempts in a period at the tasks of the other methods.
            failed: The failed attempts among them.
        """
        score = self.overload_score + (1 if overloaded else -1)
        self.overload_score = max(0, min(MAX_OVERLOAD_SCORE, score))
        recovered = not self.overload_score or failed < RECOVERED_FAILURE_RATIO * attempts
        switches = recovered if self.methods_separated else self.overload_score >= SEPARATE_AT_SCORE
        if not sheddable_methods or not switches:
            return
        self.methods_separated = not self.methods_separated
        self.overload_score = 0
        self.pending = [binding for binding in self.pending if self._is_first_binding(binding)]
        self.pending += [
            PendingBinding(proxy, self.overflow if self.methods_separated else zone, sheddable_methods)
            for proxy, zone in self.proxy_zone.items()
        ]

    def bind_pending(self, now_us: int, backlog: BacklogEstimator, joined_at_us: dict[int, int]) -> list[Command]:
        """Return the commands that bind proxies to the tables they wait for, as far as these fit into the channel.

        Proxies that wait for their first table go first and, after some time, may exceed the soft limit, because the
        tables that they still hold from an earlier stream may list removed tasks. For the same reason they then get a
        table that is meant to be empty.
        """
        commands: list[Command] = []
        for binding in sorted(self.pending, key=lambda binding: not self._is_first_binding(binding)):
            number = binding.table if binding.methods else self._first_table(binding.table)
            table = self.tables[number]
            late_us = backlog.config.drain_grace_us / LATE_JOIN_DIVISOR
            is_late = self._is_first_binding(binding) and now_us - joined_at_us[binding.proxy] > late_us
            if not table.weights and (table.awaits_lines or not is_late):
                continue
            if backlog.is_full(LATE_JOIN_LIMIT_FACTOR if is_late else 1):
                continue
            if backlog.free_lines(now_us, [binding.proxy], urgent=True) >= table.lines() and binding in self.pending:
                self._remove_pending(binding, number)
                commands.append(self._bind(now_us, backlog, binding._replace(table=number)))
        return commands + self._replace_slices(now_us, backlog)

    def awaits_empty_table(self) -> bool:
        """Return whether a proxy waits for a table that is meant to be empty."""
        tables = (self.tables[binding.table] for binding in self.pending)
        return any(not table.weights and not table.awaits_lines for table in tables)

    def _is_first_binding(self, binding: PendingBinding) -> bool:
        """Return whether a binding gives its proxy the first table for its methods."""
        return binding.methods in (ALL_METHODS, self.zone_local_methods)

    def _first_table(self, zone: int) -> int:
        """Return the zone's slice with the fewest proxies in a wave of joins, otherwise the zone's table."""
        if not self.join_wave:
            return zone
        first = self.overflow + 1 + zone * SLICES
        nonempty = [number for number in range(first, first + SLICES) if self.tables[number].weights]
        return min(nonempty, key=lambda number: len(self.tables[number].proxies), default=zone)

    def _remove_pending(self, binding: PendingBinding, number: int) -> None:
        self.pending.remove(binding)
        if number != binding.table:  # a slice serves all methods, so it also replaces the home table
            home_binding = PendingBinding(binding.proxy, self.first_home + binding.table, self.zone_local_methods)
            self.pending = [other for other in self.pending if other != home_binding]

    def _replace_slices(self, now_us: int, backlog: BacklogEstimator) -> list[Command]:
        """Return the commands that replace slices with whole tables after a wave of joins.

        They are sent only once no binding is pending, and as non-urgent changes.
        """
        commands: list[Command] = []
        for number in range(self.overflow + 1, self.first_home):
            zone = self.zone_of(number)
            whole_tables = [(zone, ALL_METHODS)]
            if self.zone_local_methods:
                whole_tables.append((self.first_home + zone, self.zone_local_methods))
            lines = sum(self.tables[table].lines() for table, _ in whole_tables)
            for proxy in list(self.tables[number].proxies):
                if self.pending or self.methods_separated or backlog.free_lines(now_us, [proxy], urgent=False) < lines:
                    return commands
                commands += [
                    self._bind(now_us, backlog, PendingBinding(proxy, table, methods))
                    for table, methods in whole_tables
                ]
        return commands

    def _bind(self, now_us: int, backlog: BacklogEstimator, binding: PendingBinding) -> BindTable:
        proxy, number, methods = binding
        for other, table in enumerate(self.tables):
            replaced = (other == self.overflow) == (methods != ALL_METHODS)
            shares_methods = other < self.first_home and number < self.first_home
            if replaced and shares_methods and other != number and proxy in table.proxies:
                table.proxies.remove(proxy)
        table = self.tables[number]
        if proxy not in table.proxies:
            table.proxies.append(proxy)
        backlog.reserve(now_us, [proxy], table.lines())
        remaining = self.other_methods if number <= self.overflow else ALL_METHODS
        return BindTable(proxy, number, methods or remaining)
