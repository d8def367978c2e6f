"""Settings of a small deployment, with figures from the pages."""

from __future__ import annotations

from typing import Any, NamedTuple

ZONES = ("abdali", "khalda", "sahab")
TASKS = (6, 6, 3)  # by zone; amman-reader has 15 to 21
PROXIES = (6, 6, 3)  # by zone; amman-reader has 12 to 18


class Method(NamedTuple):
    """A method: its share of the RPCs, its mean work and deadline, and whether it keeps to the proxy's zone."""

    name: str
    share: float
    work_s: float
    deadline_s: float
    own_zone: bool


METHODS = (
    Method("read-chapter", 0.64, 0.105, 1.5, True),
    Method("unlock-chapter", 0.23, 0.165, 2.0, True),
    Method("redeem-code", 0.13, 0.105, 1.5, False),
)
CORES = 2
LOAD = 0.6  # of the capacity of a zone's warm tasks; amman-reader has 0.53 to 0.68 on days with trouble
MEAN_WORK_S = sum(method.share * method.work_s for method in METHODS)
RPCS_PER_PROXY_S = LOAD * CORES / MEAN_WORK_S  # there are as many proxies as tasks

DRAIN_GRACE_S = 3.0
SOCKET_SLACK_S = 0.3  # the limits of the rules are longer by this on sockets
FIRST_ANSWER_S = 1.0  # and begin no sooner than this after the assigner's first answer
COLD_FROM = 0.17
WARM_UP_S = 17.0
FALL_MULTIPLE = 4.0
FALL_S = 2.0
TRANSIT_S = 0.2
PERIOD_S = 1.0

_REPEATS = {
    "read-chapter": ("repeatable", "all", 5.0, 0.5, 3.0),
    "unlock-chapter": ("by_key", "zone", 2.0, 0.8, 3.0),
    "redeem-code": ("once", "all", 5.0, 0.6, 2.0),
}


def _profile(method: Method) -> dict[str, Any]:
    repeat, group, window, slo, worth = _REPEATS[method.name]
    return {
        "name": method.name,
        "slo": slo,
        "deadline": method.deadline_s,
        "worth": worth,
        "repeat": repeat,
        "group": group,
        "window": window,
        "late_share": 0.1,
    }


def settings(own_zone: tuple[bool, ...]) -> dict[str, Any]:
    """Return the settings of the assigner, with the methods that keep to the proxy's zone."""
    return {
        "balancers": 1,
        "discovery": "subscribe",
        "domain_type": "control",
        "zones": list(ZONES),
        "locality": 0,
        "ordinal": 0,
        "round": 0.005,
        "weights": "rough",
        "worth_by": "request",
        "skus": ["std-2core"],
        "profiles": [_profile(method) for method in METHODS],
        "family_info": {
            "admit": "fraction",
            "agents": sum(PROXIES),
            "bare": 5.0,
            "class_own_zone": list(own_zone),
            "counted_over": 10.0,
            "homed_by_zone": False,
            "initial_set": 5,
            "intake_per_s": 200.0,
            "lines_per_s": 2900.0,
            "messages_most": 30,
            "most_waiting": 5800.0,
            "one_owner": False,
            "outlier_after": 0,
            "overhead": 10.0,
            "partitions_n": 0,
            "per_try": 1.2,
            "period": PERIOD_S,
            "pick": "p2c",
            "retry_default": 0,
            "smallest_conn_table": 191.0,
            "transit": 0.276,
            "worst_transit": 0.69,
            "warm_keys": False,
            "write_classes": [False, True, True],
        },
        "limits": {"cpu_us_per_s": 639000, "peers": False, "probes": False, "streams_per_conn": 100},
        "report": {"how": "inline", "names": ["util", "queue"]},
        "rules": {
            "ask_within": 10.0,
            "cold_from": COLD_FROM,
            "drain_grace": DRAIN_GRACE_S,
            "fall": FALL_S,
            "fall_multiple": FALL_MULTIPLE,
            "warm_up": WARM_UP_S,
        },
        "tariffs": {"connection": 0.02, "cross_zone": 0.12, "handshake": 0.04, "late_fail": 0.03, "waste": 0.05},
    }
