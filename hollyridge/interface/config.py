"""Configuration of the decisions: the methods, limits and guarantees of the deployment.

It is read once at start from the settings (`hollyridge.platform_settings`, `hollyridge.settings`).
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class Idempotency(IntEnum):
    """Repeatability of a method's RPCs after an attempt that may have run."""

    IDEMPOTENT = 0
    TOKENED = 1  # repeatable with an idempotency key, within its scope and window
    NON_IDEMPOTENT = 2


class IdempotencyScope(IntEnum):
    """Set of tasks that recognize a repeated idempotency key: all, those of one zone, or those of one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Admission(IntEnum):
    """Kind of admission level that the proxies support.

    With OFF they support no level, but their retry mode can be set; with NOT_SUPPORTED neither can be set.
    """

    OFF = 0
    FRACTION = 1
    PER_SECOND = 2
    NOT_SUPPORTED = 3


class BalancingPolicy(IntEnum):
    """Policy by which a proxy picks a line of its table: at random by weight, in rotation, or the better of two."""

    RANDOM = 0
    ROTATE = 1
    P2C = 2


class MethodConfig(NamedTuple):
    """Configuration of one RPC method.

    Attributes:
        soft_deadline_us: Latency objective, in microseconds; an answer within it has its full value.
        deadline_us: Hard deadline, in microseconds; a later answer has no value.
        criticality: Priority weight among the methods.
        idempotency: Repeatability of an RPC.
        idempotency_scope: Set of tasks that recognize a repeated key.
        idempotency_window_us: Time for which a repeated key is recognized, in microseconds.
        same_zone_only: The method may be sent only to tasks of the proxy's own zone.
    """

    soft_deadline_us: int
    deadline_us: int
    criticality: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window_us: int
    same_zone_only: bool


class AssignerConfig(NamedTuple):
    """Configuration of one assigner's deployment; times are in whole microseconds.

    Attributes:
        methods: The RPC methods, by index.
        zones: Number of zones.
        assigners: Number of assigners that share the tasks.
        subscribe: The endpoint list has to be watched; it is not delivered without a request.
        refresh_within_us: Longest interval between watches of, or requests for, the endpoint list.
        report_period_us: Interval of load reports and of decisions about weights.
        lines_per_s: Pace of the channel to the proxies, in lines per second.
        message_overhead_lines: Cost of each message in addition to its own lines, in lines.
        max_waiting_lines: Maximum number of lines that wait in the channel, overhead included.
        max_messages_per_proxy: Maximum number of messages to one proxy within `message_count_window_us`; 0 for no
            limit.
        message_count_window_us: Window of that limit.
        transit_us: Usual transit time of a message to a proxy.
        max_transit_us: Longest transit time of a message to a proxy.
        empty_table_limit_us: Longest time for which a proxy may have no line to pick.
        drain_grace_us: Time for which a draining or removed task may still get requests.
        removal_is_advisory: The grace applies to draining tasks only, not to those removed from the list.
        cold_capacity_fraction: Part of its capacity that a task has at its start.
        warm_up_us: Time until a task has its full capacity.
        overload_window_us: Duration of an overload after which a cold task collapses.
        overload_multiple: Load that counts as such an overload, as a multiple of the task's present capacity.
        balancing_policy: Policy by which proxies pick a line.
        proxy_ejection_failures: Consecutive failures after which a proxy stops using a task; 0 for never.
        initial_table_size: Maximum number of tasks in the table that a proxy starts with.
        admission: Kind of admission level that the proxies support.
        default_retry_mode: Retry mode of proxies until it is set.
        attempt_timeout_factor: Timeout of an attempt that may be retried, in soft deadlines.
        slices: Number of key slices; 0 for none.
        exclusive_slices: Each slice has one owner.
        load_metric_names: Names of the figures in a load report, in their order.
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
