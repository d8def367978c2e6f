"""What happens to an assigner, what it orders, and what it reads at start.

The decision module (`hollyridge.decisions.assigner`) takes these events and returns these orders; whatever feeds
it (today the bench link, later a control service) translates at its edge. Times are whole
microseconds, tasks are small dense indices given there in the order of first mention.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union


class UpdateKind(IntEnum):
    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


class TaskState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Idempotency(IntEnum):
    IDEMPOTENT = 0
    TOKENED = 1
    NON_IDEMPOTENT = 2


class IdempotencyScope(IntEnum):
    ALL = 0
    ZONE = 1
    CELL = 2


class Admission(IntEnum):
    """Which levels proxies obey. OFF: none, but ways to try again; SILENT: neither can be ordered."""

    OFF = 0
    FRACTION = 1
    PER_SECOND = 2
    SILENT = 3


class BalancingPolicy(IntEnum):
    RANDOM = 0
    ROTATE = 1
    P2C = 2


class MethodConfig(NamedTuple):
    """What an assigner is told of one method."""

    soft_deadline_us: int
    deadline_us: int
    criticality: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window_us: int
    same_zone_only: bool


class AssignerConfig(NamedTuple):
    """What an assigner reads at start. Times in microseconds."""

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


class Endpoint(NamedTuple):
    """One entry of the list of tasks."""

    task: int
    zone: int
    hardware_kind: int
    cell: int
    state: int
    listed_weight: float
    started_at_us: int


class EndpointListUpdate(NamedTuple):
    version: int
    kind: int
    endpoints: tuple[Endpoint, ...]


class TimerFired(NamedTuple):
    token: int


class ProbeResult(NamedTuple):
    task: int
    status: int
    latency_us: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    peer: int
    payload: bytes


class ProxyJoined(NamedTuple):
    usual_rate_per_s: float
    has_no_table: bool
    proxy: int
    zone: int


class ProxyLeft(NamedTuple):
    proxy: int


class Ack(NamedTuple):
    proxy: int
    mark: int
    apply_time_us: int


class QueueDepth(NamedTuple):
    """What of the orders has not left yet, in lines, heads included: told last of an occasion by whoever keeps them
    waiting, where what comes for a proxy joins the message that already waits for it. There receipts come early."""

    waiting_lines: float


class TrafficReport(NamedTuple):
    """What the proxies of a zone met at a task."""

    zone: int
    task: int
    attempts: int
    failed: int
    latency_us: int
    interval_us: int
    load: tuple[float, ...]


class OfferedLoad(NamedTuple):
    rpcs: int
    interval_us: int
    proxy: int
    method: int
    unanswered: int


class SliceLoad(NamedTuple):
    slice: int
    method: int
    rpcs: int
    unanswered: int
    interval_us: int


class SliceCharge(NamedTuple):
    granted: bool
    slice: int


class SliceLine(NamedTuple):
    task: int
    weight: float
    slice: int


class WeightProposal(NamedTuple):
    """Weights by task that a solver proposes for the table of a zone's proxies. The loop trims them, the gate decides
    whether they are pushed; without news they run out after a few periods."""

    zone: int
    weights: tuple[tuple[int, float], ...]


class LearnedEstimate(NamedTuple):
    """What is known of a task: answers in a busy period, how many of these were heard, skill, and the weight it stands
    at as a part of its listed size."""

    task: int
    capacity: float
    busy_periods: float
    efficiency: float
    weight_ratio: float


class EstimatesRestored(NamedTuple):
    """What was learnt before a restart, or by another assigner; `price` of its gate; `age` in microseconds."""

    estimates: tuple[LearnedEstimate, ...]
    push_price: float
    age_us: int


Event = Union[
    EndpointListUpdate,
    TimerFired,
    ProbeResult,
    PeerMessage,
    ProxyJoined,
    ProxyLeft,
    Ack,
    QueueDepth,
    TrafficReport,
    OfferedLoad,
    SliceLoad,
    SliceCharge,
    SliceLine,
    WeightProposal,
    EstimatesRestored,
]


class RefreshEndpoints(NamedTuple):
    pass


class SetEjected(NamedTuple):
    task: int
    ejected: bool


class LogNote(NamedTuple):
    text: str


class Probe(NamedTuple):
    task: int


class SendToPeer(NamedTuple):
    peer: int
    payload: bytes


class WatchEndpoints(NamedTuple):
    on: bool


class SetAdmission(NamedTuple):
    """How much of the methods in a mask a table lets in (0: all methods) and how proxies try again."""

    table: int
    methods: int
    amount: float
    retry_mode: int


class RequestAck(NamedTuple):
    mark: int
    from_all: bool


class BindTable(NamedTuple):
    proxy: int
    table: int
    methods: int


class SetTimer(NamedTuple):
    token: int
    delay_us: int


class SetWeight(NamedTuple):
    weight: float
    task: int
    table: int


class DeleteTable(NamedTuple):
    table: int


Command = Union[
    RefreshEndpoints,
    SetEjected,
    LogNote,
    Probe,
    SendToPeer,
    WatchEndpoints,
    SetAdmission,
    RequestAck,
    BindTable,
    SetTimer,
    SetWeight,
    DeleteTable,
]
