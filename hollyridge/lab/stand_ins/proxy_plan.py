"""What a proxy and the clients beside it go by: the part of a scenario that is the same for all of one protocol."""

from __future__ import annotations

import msgspec


class MethodPlan(msgspec.Struct, frozen=True):
    """What clients know of a method.

    Attributes:
        group: Whose table its RPCs go by.
        repeats: Whether it is idempotent, tokened or non-idempotent.
        share: Of the RPCs.
        work_us: Mean work.
    """

    name: str
    group: str
    repeats: str
    share: float
    work_us: float
    deadline_us: float


class ProxyPlan(msgspec.Struct, frozen=True):
    """What a proxy goes by.

    Attributes:
        front: The protocol it speaks, sasp or clone.
        sasp: Addresses of the assigners by SASP; `otlp` and `clone` alike.
        pick: How it picks among the lines of a table.
        outlier_after: Failures in a row after which a task is avoided for a while; 0 for never.
        apply_us: Time to apply one line of a table.
        lost: Fraction of the RPCs and answers between zones that are lost.
        client_retries: Retries of the clients beside the proxy.
        reckless: Whether clients retry RPCs that may have taken effect.
        try_share: Fraction of the time left that one attempt may take.
        keys: Number of keys that RPCs have, 0 for none; `zipf` is the exponent of their popularity.
        period_us: Time between two load reports.
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
