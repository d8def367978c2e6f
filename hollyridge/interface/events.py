"""What an assigner is told: changes of the endpoint list, proxies, load reports, timers.

Times are whole microseconds; tasks, zones, proxies and methods are dense indices given by whoever feeds the assigner,
in the order of first mention.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union


class UpdateKind(IntEnum):
    """What an endpoint list update holds: nothing (the call failed), changes, the whole list, or a cached one."""

    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


class TaskState(IntEnum):
    """Whether a task is to be sent to: it is gone, takes requests, or is draining."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Endpoint(NamedTuple):
    """A task's entry in the endpoint list. `started_at_us` is 0 for a start long past."""

    task: int
    zone: int
    hardware_kind: int
    cell: int
    state: int
    listed_weight: float
    started_at_us: int


class EndpointListUpdate(NamedTuple):
    """The endpoint list, or what has changed in it, by `kind`."""

    version: int
    kind: int
    endpoints: tuple[Endpoint, ...]


class TimerFired(NamedTuple):
    """A timer that `SetTimer` has set."""

    token: int


class ProbeResult(NamedTuple):
    """The outcome of a health check that `Probe` has asked for."""

    task: int
    status: int
    latency_us: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    """Bytes from another assigner."""

    peer: int
    payload: bytes


class ProxyJoined(NamedTuple):
    """A proxy's stream stands. `has_no_table`: it holds no table that was ever ordered."""

    usual_rate_per_s: float
    has_no_table: bool
    proxy: int
    zone: int


class ProxyLeft(NamedTuple):
    """A proxy's stream has ended."""

    proxy: int


class Ack(NamedTuple):
    """A proxy has applied all messages up to this mark, the last one in `apply_time_us`."""

    proxy: int
    mark: int
    apply_time_us: int


class QueueDepth(NamedTuple):
    """Lines of earlier commands that still wait in the channel, overhead included.

    Told last of a batch by whoever merges an update into a message of the same proxy that already waits: there an
    `Ack` comes earlier than the merged update's own message would have.
    """

    waiting_lines: float


class TrafficReport(NamedTuple):
    """What the proxies of a zone saw at a task during an interval. `latency_us` is the mean of what did not fail."""

    zone: int
    task: int
    attempts: int
    failed: int
    latency_us: int
    interval_us: int
    load: tuple[float, ...]


class OfferedLoad(NamedTuple):
    """RPCs of a method that reached a proxy during an interval, and how many of them were left unanswered."""

    rpcs: int
    interval_us: int
    proxy: int
    method: int
    unanswered: int


class SliceLoad(NamedTuple):
    """RPCs of a method on one key slice during an interval."""

    slice: int
    method: int
    rpcs: int
    unanswered: int
    interval_us: int


class SliceCharge(NamedTuple):
    """Whether this assigner is in charge of a key slice from now on."""

    granted: bool
    slice: int


class SliceLine(NamedTuple):
    """A stored line of a key slice's table."""

    task: int
    weight: float
    slice: int


class WeightProposal(NamedTuple):
    """Weights by task that a solver proposes for the table of a zone's proxies.

    The weight controller trims them and the push gate decides whether they are pushed; without a newer proposal they
    expire after a few periods.
    """

    zone: int
    weights: tuple[tuple[int, float], ...]


class LearnedEstimate(NamedTuple):
    """What is known of a task.

    Attributes:
        task: Its index.
        capacity: RPCs answered in a period of full utilisation.
        busy_periods: Such periods' worth of reports that this rests on.
        efficiency: Factor on its size that the weight controller has arrived at.
        weight_ratio: Present weight as a multiple of its listed one.
    """

    task: int
    capacity: float
    busy_periods: float
    efficiency: float
    weight_ratio: float


class EstimatesRestored(NamedTuple):
    """What was learned before a restart, or by another assigner, and the price of its push gate."""

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
