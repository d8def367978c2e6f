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

    soft_deadline: int
    deadline: int
    criticality: float
    repeat: Idempotency
    group: IdempotencyScope
    window: int
    own_zone: bool


class AssignerConfig(NamedTuple):
    """What an assigner reads at start. Times in microseconds."""

    methods: tuple[MethodConfig, ...]
    zones: int
    assigners: int
    subscribe: bool
    ask_within: int
    period: int
    lines_per_s: float
    overhead: float
    most_waiting: float
    messages_most: int
    counted_over: int
    transit: int
    worst_transit: int
    bare: int
    drain_grace: int
    gone_is_advice: bool
    cold_from: float
    warm_up: int
    fall: int
    fall_multiple: float
    pick: BalancingPolicy
    outlier_after: int
    initial_set: int
    admission: Admission
    retry_default: int
    per_try: float
    partitions: int
    one_owner: bool
    load_names: tuple[str, ...]
    cross_zone_price: float


class Endpoint(NamedTuple):
    """One entry of the list of tasks."""

    task: int
    zone: int
    sku: int
    cell: int
    state: int
    weight: float
    started_at: int


class EndpointListUpdate(NamedTuple):
    version: int
    kind: int
    entries: tuple[Endpoint, ...]


class TimerFired(NamedTuple):
    token: int


class ProbeResult(NamedTuple):
    task: int
    status: int
    latency: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    peer: int
    payload: bytes


class ProxyJoined(NamedTuple):
    rate: float
    standing_only: bool
    proxy: int
    zone: int


class ProxyLeft(NamedTuple):
    proxy: int


class Ack(NamedTuple):
    proxy: int
    mark: int
    took: int


class QueueDepth(NamedTuple):
    """What of the orders has not left yet, in lines, heads included: told last of an occasion by whoever keeps them
    waiting, where what comes for a proxy joins the message that already waits for it. There receipts come early."""

    lines: float


class TrafficReport(NamedTuple):
    """What the proxies of a zone met at a task."""

    zone: int
    task: int
    tries: int
    bad: int
    latency: int
    over: int
    load: tuple[float, ...]


class OfferedLoad(NamedTuple):
    rpcs: int
    over: int
    proxy: int
    method: int
    unanswered: int


class SliceLoad(NamedTuple):
    slice: int
    method: int
    rpcs: int
    unanswered: int
    over: int


class SliceCharge(NamedTuple):
    given: bool
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
    does: float
    heard: float
    skill: float
    weight: float


class EstimatesRestored(NamedTuple):
    """What was learnt before a restart, or by another assigner; `price` of its gate; `age` in microseconds."""

    rows: tuple[LearnedEstimate, ...]
    price: float
    age: int


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
    out: bool


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
    retry: int


class RequestAck(NamedTuple):
    mark: int
    everyone: bool


class BindTable(NamedTuple):
    proxy: int
    table: int
    methods: int


class SetTimer(NamedTuple):
    token: int
    delay: int


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
