"""What the decisions are configured with: the deployment's methods, limits and promises.

Read once at start from the settings (`hollyridge.platform_settings`, `hollyridge.settings`); nothing here is decided.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class Idempotency(IntEnum):
    """Whether an RPC of a method may be sent again after an attempt that may have run."""

    IDEMPOTENT = 0
    TOKENED = 1  # with an idempotency key, within its scope and window
    NON_IDEMPOTENT = 2


class IdempotencyScope(IntEnum):
    """Which tasks recognise a repeated idempotency key: all, those of one zone, or those of one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Admission(IntEnum):
    """Which admission levels proxies obey.

    With OFF they obey none, but the retry mode can be set; with SILENT neither can be set.
    """

    OFF = 0
    FRACTION = 1
    PER_SECOND = 2
    SILENT = 3


class BalancingPolicy(IntEnum):
    """How a proxy picks a line of its table: at random by weight, in rotation, or the better of two drawn."""

    RANDOM = 0
    ROTATE = 1
    P2C = 2


class MethodConfig(NamedTuple):
    """One RPC method.

    Attributes:
        soft_deadline_us: The latency objective; an answer within it earns its full worth.
        deadline_us: After this an answer earns nothing.
        criticality: Priority weight among the methods.
        idempotency: Whether an RPC may be repeated.
        idempotency_scope: Where a repeated key is recognised.
        idempotency_window_us: For how long a repeated key is recognised.
        same_zone_only: The method may be sent to tasks of the proxy's own zone only.
    """

    soft_deadline_us: int
    deadline_us: int
    criticality: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window_us: int
    same_zone_only: bool


class AssignerConfig(NamedTuple):
    """One assigner's deployment. Times in whole microseconds.

    Attributes:
        methods: The RPC methods, by index.
        zones: Number of zones.
        assigners: Number of assigners that share the tasks.
        subscribe: The endpoint list is watched, not delivered unasked.
        refresh_within_us: The list has to be watched or asked for at least this often.
        report_period_us: Interval of load reports, and of decisions about weights.
        lines_per_s: Pace of the channel to the proxies.
        message_overhead_lines: Lines that each message costs beyond its own.
        max_waiting_lines: Lines that may wait in the channel, overhead included.
        max_messages_per_proxy: Messages one proxy may get within `message_count_window_us`; 0 for no limit.
        message_count_window_us: Window of that limit.
        transit_us: Usual time of a message on its way to a proxy.
        max_transit_us: The longest such time.
        empty_table_limit_us: How long a proxy may be left without a line to pick.
        drain_grace_us: How long a draining or removed task may still be sent to.
        removal_is_advisory: Only draining tasks fall under that rule, not those that leave the list.
        cold_capacity_fraction: Part of its capacity that a task has at its start.
        warm_up_us: Time until a task has all of it.
        overload_window_us: A cold task collapses when overloaded for this long ...
        overload_multiple: ... with this many times its present capacity.
        balancing_policy: How proxies pick a line.
        proxy_ejection_failures: Failures in a row after which a proxy stops using a task; 0 for never.
        initial_table_size: Tasks in the table that a proxy starts with, at the most.
        admission: Which levels proxies obey.
        default_retry_mode: How proxies retry until they are told otherwise.
        attempt_timeout_factor: Soft deadlines after which an attempt that may be retried is given up.
        slices: Number of key slices; 0 for none.
        exclusive_slices: A slice has one owner.
        load_metric_names: What the figures of a load report mean, in their order.
        cross_zone_cost: Cost of an RPC to another zone.
    """

    methods: tuple[MethodConfig, ...]
    zones: int
    assigners: int
    subscribe: bool
    refresh_within_us: int
    report_period_us: int
    lines_per_s: float
    message_overhead_lines: float
    max_waiting_lines: float
    max_messages_per_proxy: int
    message_count_window_us: int
    transit_us: int
    max_transit_us: int
    empty_table_limit_us: int
    drain_grace_us: int
    removal_is_advisory: bool
    cold_capacity_fraction: float
    warm_up_us: int
    overload_window_us: int
    overload_multiple: float
    balancing_policy: BalancingPolicy
    proxy_ejection_failures: int
    initial_table_size: int
    admission: Admission
    default_retry_mode: int
    attempt_timeout_factor: float
    slices: int
    exclusive_slices: bool
    load_metric_names: tuple[str, ...]
    cross_zone_cost: float
