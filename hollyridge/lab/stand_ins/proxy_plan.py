"""Configuration that all proxies of one protocol and their clients share. It is sent to worker processes as JSON."""

from __future__ import annotations

import msgspec


class MethodPlan(msgspec.Struct, frozen=True):
    """Configuration of a method.

    Attributes:
        name: Name of the method.
        group: Group whose table its RPCs use.
        repeats: Effect of repeated attempts: "idempotent", "tokened" or "non-idempotent".
        share: Share of the RPCs, relative to the other methods.
        work_us: Mean work of an RPC, in microseconds of one core.
        deadline_us: Deadline of an RPC after its start, in microseconds.
    """

    name: str
    group: str
    repeats: str
    share: float
    work_us: float
    deadline_us: float


class ProxyPlan(msgspec.Struct, frozen=True):
    """Configuration of a proxy and its clients.

    Attributes:
        methods: Methods in the order of the settings.
        front: Protocol between proxy and assigner, "sasp" or "clone" (CHP).
        sasp: (host, port) of each assigner for SASP.
        otlp: (host, port) of each assigner for load reports.
        clone: (host, port) of each assigner for CHP.
        pick: Algorithm that picks a line of a table (see `Picker`).
        outlier_after: Consecutive failures after which a task is avoided for a while; 0 for never.
        apply_us: Time to apply one line of a table, in microseconds.
        lost: Fraction of the RPCs and answers between zones that are lost.
        client_retries: Maximum number of retries by a client.
        reckless: Whether clients retry RPCs that may have taken effect.
        try_share: Maximum duration of an attempt, as a fraction of the time left until the deadline.
        keys: Number of distinct keys of RPCs; 0 for RPCs without keys.
        zipf: Exponent of the Zipf distribution of the keys.
        period_us: Report period, in microseconds.
    """

    methods: list[MethodPlan]
    front: str
    sasp: list[tuple[str, int]]
    otlp: list[tuple[str, int]]
    clone: list[tuple[str, int]]
    pick: str
    outlier_after: int
    apply_us: float
    lost: float
    client_retries: int
    reckless: bool
    try_share: float
    keys: int
    zipf: float
    period_us: float
