"""Events for an assigner: changes of the endpoint list and of the proxies, load reports, timers.

Times are whole microseconds. Tasks, zones, proxies and methods are dense indices that the caller of the assigner
allocates in the order of first mention.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union


class UpdateKind(IntEnum):
    """Content of an endpoint list update: none (the request failed), changes, the whole list, or a cached list."""

    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


class TaskState(IntEnum):
    """State of a task: it is gone, accepts requests, or is draining."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Endpoint(NamedTuple):
    """Entry of a task in the endpoint list; `started_at_us` is 0 for a start long ago."""

    task: int
    zone: int
    hardware_kind: int
    cell: int
    state: int
    listed_weight: float
    started_at_us: int


class EndpointListUpdate(NamedTuple):
    """The endpoint list or the changes in it, depending on `kind`."""

    version: int
    kind: int
    endpoints: tuple[Endpoint, ...]


class TimerFired(NamedTuple):
    """Expiry of a timer that `SetTimer` requested."""

    token: int


class ProbeResult(NamedTuple):
    """Outcome of a health check that `Probe` requested."""

    task: int
    status: int
    latency_us: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    """Message from another assigner."""

    peer: int
    payload: bytes


class ProxyJoined(NamedTuple):
    """Start of a proxy's stream; `has_no_table` is set if it holds no table that was ever sent to it."""

    usual_rate_per_s: float
    has_no_table: bool
    proxy: int
    zone: int


class ProxyLeft(NamedTuple):
    """End of a proxy's stream."""

    proxy: int


class Ack(NamedTuple):
    """Acknowledgement of all messages up to a mark; the proxy applied the last of them in `apply_time_us`."""

    proxy: int
    mark: int
    apply_time_us: int


class QueueDepth(NamedTuple):
    """Number of lines of earlier commands that still wait in the channel, overhead included.

    A caller that merges an update into a waiting message of the same proxy sends this as the last event of a batch,
    because the `Ack` of a merged message arrives earlier than that of a separate message would.
    """

    waiting_lines: float


class TrafficReport(NamedTuple):
    """Traffic from the proxies of a zone to a task during an interval.

    `latency_us` is the mean latency of the attempts that did not fail.
    """

    zone: int
    task: int
    attempts: int
    failed: int
    latency_us: int
    interval_us: int
    load: tuple[float, ...]


class OfferedLoad(NamedTuple):
    """RPCs of a method that reached a proxy during an interval, and the number of unanswered RPCs among them."""

    rpcs: int
    interval_us: int
    proxy: int
    method: int
    unanswered: int


class SliceLoad(NamedTuple):
    """RPCs of a method on one key slice during an interval, and the number of unanswered RPCs among them."""

    slice: int
    method: int
    rpcs: int
    unanswered: int
    interval_us: int


class SliceCharge(NamedTuple):
    """Grant or withdrawal of this assigner's ownership of a key slice."""

    granted: bool
    slice: int


class SliceLine(NamedTuple):
    """Stored line of a key slice's table."""

    task: int
    weight: float
    slice: int


class WeightProposal(NamedTuple):
    """Weights by task that a solver proposes for the table of a zone's proxies.

    The weight controller adjusts them and the push gate decides whether they are pushed. Without a newer proposal they
    expire after a few periods.

    Attributes:
        zone: Zone of the proxies.
        weights: Pairs of a task and its weight.
    """

    zone: int
    weights: tuple[tuple[int, float], ...]


class LearnedEstimate(NamedTuple):
    """Learned estimates of one task.

    Attributes:
        task: Index of the task.
        capacity: RPCs answered in a period of full utilization.
        busy_periods: Reports that the capacity is based on, in periods of full utilization.
        efficiency: Factor on the task's size that the weight controller has learned.
        weight_ratio: Present weight as a multiple of the listed weight.
    """

    task: int
    capacity: float
    busy_periods: float
    efficiency: float
    weight_ratio: float


class EstimatesRestored(NamedTuple):
    """Estimates from before a restart or from another assigner, with the push price that belongs to them."""

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
