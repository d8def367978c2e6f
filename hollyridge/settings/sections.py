"""Models of the sections of an assigner's settings file.

Field names are the keys of the file format and must not change. The defaults are documented in `docs/operators.md`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import AfterValidator, Field, PositiveFloat, PositiveInt, field_validator

from hollyridge.interface import BalancingPolicy, Idempotency, IdempotencyScope
from hollyridge.settings.address import split_address
from hollyridge.settings.ini import WORD_LIST, Section

MAX_FIRST_PORT = 65533  # the pub-sub server also listens on the two ports above the configured one


def validate_address(value: str) -> str:
    """Return the value; raise ValueError if it is not `address:port`."""
    split_address(value)
    return value


ListenAddress = Annotated[str, AfterValidator(validate_address)]
Fraction = Annotated[float, Field(gt=0, le=1)]
NonNegative = Annotated[float, Field(ge=0)]


class AssignerSection(Section):
    """[assigner]: the process, and the length of its report period."""

    name: str = "assigner"
    seed: int = 0
    assigners: PositiveInt = 1
    report_period_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0


class ChannelSection(Section):
    """[channel]: the paced channel to the proxies, in table lines as sent.

    Each message costs `head_lines` in addition to its lines.
    """

    lines_per_s: PositiveFloat = 3000
    head_lines: NonNegative = 3
    most_waiting: PositiveFloat = 6000
    messages_most: Annotated[int, Field(ge=0)] = 30
    messages_over_s: PositiveFloat = 10
    transit_s: PositiveFloat = 0.02
    worst_transit_s: PositiveFloat = 0.5


class PromisesSection(Section):
    """[promises]: the limits that the operators' rules require."""

    bare_s: Annotated[float, Field(ge=1)] = 5
    drain_grace_s: Annotated[float, Field(ge=1)] = 3
    warm_up_s: PositiveFloat = 16
    cold_from: Fraction = 0.2
    fall_multiple: Annotated[float, Field(ge=1)] = 4
    fall_s: PositiveFloat = 2


class ProxiesSection(Section):
    """[proxies]: the behavior of proxies, and the maximum numbers of proxies and tasks."""

    pick: Literal["p2c", "rotate", "random"] = "p2c"
    outlier_after: Annotated[int, Field(ge=0)] = 0
    first_table: Annotated[int, Field(ge=0)] = 5
    usual_rate: NonNegative = 10
    most: Annotated[int, Field(ge=1, le=60000)] = 2000
    tasks_most: Annotated[int, Field(ge=1, le=100000)] = 5000
    cross_zone_price: NonNegative = 0.1


class MethodSection(Section):
    """[method NAME]: deadlines, criticality, and whether an RPC may be repeated."""

    group: str = ""
    soft_deadline_ms: PositiveFloat
    deadline_ms: PositiveFloat
    criticality: PositiveFloat = 1
    repeats: Literal["idempotent", "tokened", "non-idempotent"] = "non-idempotent"
    dropped_by: Literal["all", "zone", "cell"] = "all"
    window_ms: NonNegative = 0


class SaspSection(Section):
    """[sasp]: the SASP server and its limits on connections and messages."""

    listen: ListenAddress = "127.0.0.1:3860"
    fleet: Annotated[str, Field(min_length=1, max_length=64)] = "fleet"
    members_group: Annotated[str, Field(min_length=1, max_length=64)] = "tasks"
    balancers_register: bool = False
    connections_most: PositiveInt = 4000
    connections_each: PositiveInt = 1000
    connects_per_s: PositiveFloat = 500
    requests_per_s: PositiveFloat = 50
    message_most_bytes: Annotated[int, Field(ge=1024, le=1 << 20)] = 1 << 18
    send_buffer_bytes: Annotated[int, Field(ge=4096, le=1 << 22)] = 1 << 16
    frame_s: PositiveFloat = 5
    hello_s: PositiveFloat = 10
    members_each: PositiveInt = 5000


class OtlpSection(Section):
    """[otlp]: the receiver of load reports and its limits."""

    listen: ListenAddress = "127.0.0.1:4318"
    body_most_bytes: Annotated[int, Field(ge=1024, le=1 << 26)] = 1 << 20
    body_s: PositiveFloat = 5
    connections_most: PositiveInt = 1000
    points_per_s: PositiveFloat = 50000
    series_most: PositiveInt = 200000
    series_each: PositiveInt = 20000
    rate_most: PositiveFloat = 1e6
    lines_per_period: PositiveInt = 2000


class CloneSection(Section):
    """[clone]: the pub-sub server (CHP); `listen` has the first of its three ports, empty for no server."""

    listen: str = ""
    waiting_most: Annotated[int, Field(ge=100, le=1_000_000)] = 20000
    beat_ms: Annotated[int, Field(ge=50, le=10000)] = 500

    @field_validator("listen")
    @classmethod
    def validate_ports(cls, value: str) -> str:
        """Return the address; raise ValueError if the two ports above it do not exist."""
        if value and split_address(value)[1] > MAX_FIRST_PORT:
            raise ValueError(f"port of at most {MAX_FIRST_PORT} expected, because the next two ports are used as well")
        return value


class KeysSection(Section):
    """[keys]: key files, with paths relative to the settings file.

    `tls_*` are for SASP and OTLP (all three or none), `curve` is for the pub-sub server.
    """

    tls_certificate: str = ""
    tls_key: str = ""
    tls_clients: str = ""
    curve: str = ""


class AccessSection(Section):
    """[access NAME]: the permissions of a principal.

    `proxies` are patterns of the proxies as which it may connect, `members` the networks of members that it may
    register, and `reports` the zones for which it may report.
    """

    curve: Annotated[str, Field(pattern=r"^(.{40})?$")] = ""
    proxies: str = ""
    members: str = ""
    reports: str = ""


class RosterSection(Section):
    """[roster]: how long members are kept after their stream breaks, and how long a start waits for registrations."""

    hold_own_s: PositiveFloat = 1
    hold_agent_s: PositiveFloat = 30
    settle_s: PositiveFloat = 0.5
    settle_most_s: PositiveFloat = 3


class LogSection(Section):
    """[log]: the format and level of the log, and the interval between log lines with the status (0: never)."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"
    status_every_s: NonNegative = 10


class KeptSection(Section):
    """[kept]: the file that keeps learned estimates across restarts, relative to the settings file; empty for none."""

    file: str = ""
    every_s: Annotated[float, Field(ge=0.2, le=3600)] = 10


class SolverSection(Section):
    """[solver]: the weight solver that complements the feedback loop.

    `handshake` is the work of a new connection in average RPCs, `connections` the maximum per task (0: unknown).
    """

    on: bool = False
    handshake: NonNegative = 0.05
    connections: Annotated[int, Field(ge=0)] = 0
    deadline_s: PositiveFloat = 0.5


class PeersSection(Section):
    """[peers]: the assigners that share a fleet; if `listen` is empty, this one does not share any.

    `known_as` is the address at which the others reach this one if it is not `listen`. `key` is a file with 32 bytes as
    hex. `round_trip_ms` is the longest usual round trip between peers. `settle_s` is how long an assigner must have
    been a member before proxies move to it.
    """

    listen: str = ""
    known_as: str = ""
    name: Annotated[str, Field(max_length=64)] = ""
    seeds: Annotated[list[str], WORD_LIST] = Field(default_factory=list)
    key: str = ""
    zone: str = ""
    weight: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    round_trip_ms: Annotated[float, Field(ge=1, le=5000)] = 20
    lease_s: Annotated[float, Field(ge=0.5, le=60)] = 3
    settle_s: Annotated[float, Field(ge=0, le=3600)] = 10
    members_most: Annotated[int, Field(ge=1, le=64)] = 64


# Sections that occur at most once in a file. [method NAME], [access NAME] and [zones] are read separately.
SECTIONS: dict[str, type[Section]] = {
    "assigner": AssignerSection,
    "channel": ChannelSection,
    "promises": PromisesSection,
    "proxies": ProxiesSection,
    "sasp": SaspSection,
    "clone": CloneSection,
    "otlp": OtlpSection,
    "keys": KeysSection,
    "roster": RosterSection,
    "log": LogSection,
    "solver": SolverSection,
    "peers": PeersSection,
    "kept": KeptSection,
}
IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "tokened": Idempotency.TOKENED,
    "non-idempotent": Idempotency.NON_IDEMPOTENT,
}
IDEMPOTENCY_SCOPES = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.CELL}
BALANCING_POLICIES = {"random": BalancingPolicy.RANDOM, "rotate": BalancingPolicy.ROTATE, "p2c": BalancingPolicy.P2C}
