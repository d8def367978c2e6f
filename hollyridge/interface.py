"""What happens to an assigner, what it orders, and what it reads at start.

The decision module (`hollyridge.decisions.assigner`) takes these events and returns these orders; whatever feeds
it (today the bench link, later a control service) translates at its edge. Times are whole
microseconds, tasks are small dense indices given there in the order of first mention.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union


class ListKind(IntEnum):
    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


class TaskState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Repeat(IntEnum):
    IDEMPOTENT = 0
    TOKENED = 1
    NON_IDEMPOTENT = 2


class Group(IntEnum):
    ALL = 0
    ZONE = 1
    CELL = 2


class Admission(IntEnum):
    """Which levels proxies obey. OFF: none, but ways to try again; SILENT: neither can be ordered."""

    OFF = 0
    FRACTION = 1
    PER_SECOND = 2
    SILENT = 3


class Pick(IntEnum):
    RANDOM = 0
    ROTATE = 1
    P2C = 2


class MethodTerms(NamedTuple):
    """What an assigner is told of one method."""

    soft_deadline: int
    deadline: int
    criticality: float
    repeat: Repeat
    group: Group
    window: int
    own_zone: bool


class Bootstrap(NamedTuple):
    """What an assigner reads at start. Times in microseconds."""

    methods: tuple[MethodTerms, ...]
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
    pick: Pick
    outlier_after: int
    initial_set: int
    admission: Admission
    retry_default: int
    per_try: float
    partitions: int
    one_owner: bool
    load_names: tuple[str, ...]
    cross_zone_price: float


class Listed(NamedTuple):
    """One entry of the list of tasks."""

    task: int
    zone: int
    sku: int
    cell: int
    state: int
    weight: float
    started_at: int


class RosterChange(NamedTuple):
    version: int
    kind: int
    entries: tuple[Listed, ...]


class Woke(NamedTuple):
    token: int


class ProbeResult(NamedTuple):
    task: int
    status: int
    latency: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    peer: int
    payload: bytes


class Joined(NamedTuple):
    rate: float
    standing_only: bool
    proxy: int
    zone: int


class Left(NamedTuple):
    proxy: int


class Receipt(NamedTuple):
    proxy: int
    mark: int
    took: int


class Waits(NamedTuple):
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


class Proposal(NamedTuple):
    """Weights by task that a solver proposes for the table of a zone's proxies. The loop trims them, the gate decides
    whether they are pushed; without news they run out after a few periods."""

    zone: int
    weights: tuple[tuple[int, float], ...]


class Learnt(NamedTuple):
    """What is known of a task: answers in a busy period, how many of these were heard, skill, and the weight it stands
    at as a part of its listed size."""

    task: int
    does: float
    heard: float
    skill: float
    weight: float


class Recalled(NamedTuple):
    """What was learnt before a restart, or by another assigner; `price` of its gate; `age` in microseconds."""

    rows: tuple[Learnt, ...]
    price: float
    age: int


Event = Union[
    RosterChange,
    Woke,
    ProbeResult,
    PeerMessage,
    Joined,
    Left,
    Receipt,
    Waits,
    TrafficReport,
    OfferedLoad,
    SliceLoad,
    SliceCharge,
    SliceLine,
    Proposal,
    Recalled,
]


class Reload(NamedTuple):
    pass


class Withdraw(NamedTuple):
    task: int
    out: bool


class Note(NamedTuple):
    text: str


class Probe(NamedTuple):
    task: int


class TellPeer(NamedTuple):
    peer: int
    payload: bytes


class Watch(NamedTuple):
    on: bool


class SetLevel(NamedTuple):
    """How much of the methods in a mask a table lets in (0: all methods) and how proxies try again."""

    table: int
    methods: int
    amount: float
    retry: int


class AskReceipt(NamedTuple):
    mark: int
    everyone: bool


class Attach(NamedTuple):
    proxy: int
    table: int
    methods: int


class WakeAt(NamedTuple):
    token: int
    delay: int


class PutLine(NamedTuple):
    weight: float
    task: int
    table: int


class DropTable(NamedTuple):
    table: int


Order = Union[
    Reload,
    Withdraw,
    Note,
    Probe,
    TellPeer,
    Watch,
    SetLevel,
    AskReceipt,
    Attach,
    WakeAt,
    PutLine,
    DropTable,
]
