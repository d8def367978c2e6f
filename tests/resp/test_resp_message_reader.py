"""Parsing of inbound messages, and rejection of malformed ones."""

import pytest
from helpers import SECOND, assigner_config
from in_process import NAMES

from hollyridge.resp import messages
from hollyridge.resp.message_reader import MessageReader

READER = MessageReader(NAMES, assigner_config())


def read_message(kind, **fields):
    return READER.read([kind.encode(), *[str(part).encode() for pair in fields.items() for part in pair]])


def without(fields, name):
    return {key: value for key, value in fields.items() if key != name}


TRAFFIC = dict(locality="khalda", endpoint="s-1", total=212, errors=3, rtt=41.7, interval=1000.0)
OFFERED = dict(node=17, route="redeem-code", total=19, errors=0, interval=1000.0)
VALID = [
    (read_message("hb"), messages.Heartbeat()),
    (read_message("telemetry", locality="sahab"), messages.CollectorHello(1)),
    (read_message("attach", node=17, locality="khalda", w=21.5, cold=1), messages.JoinRequest(17, 0, 21.5, True)),
    (read_message("done", node=17, nonce=905, latency=310.4), messages.AckMessage(17, 905, 310_400)),
    (
        read_message("upstream_stats", **TRAFFIC, metrics="queue:7,util:0.61"),
        messages.TrafficSample(0, "s-1", 212, 3, 41_700, SECOND, (0.61, 7.0)),
    ),
    (
        read_message("upstream_stats", **TRAFFIC, metrics="util:0.61,other:3"),
        messages.TrafficSample(0, "s-1", 212, 3, 41_700, SECOND, (0.61, -1.0)),
    ),
    (read_message("upstream_stats", **TRAFFIC), messages.TrafficSample(0, "s-1", 212, 3, 41_700, SECOND, ())),
    (
        read_message("upstream_stats", **{**TRAFFIC, "total": 3, "rtt": 0}),
        messages.TrafficSample(0, "s-1", 3, 3, 0, SECOND, ()),
    ),
    (read_message("client_stats", **OFFERED), messages.OfferedLoadSample(17, 1, 19, 0, SECOND)),
    # RPCs admitted in an earlier interval can remain unanswered in this one: more errors than RPCs.
    (
        read_message("client_stats", **{**OFFERED, "total": 2, "errors": 9}),
        messages.OfferedLoadSample(17, 1, 2, 9, SECOND),
    ),
]


@pytest.mark.parametrize(("found", "expected"), VALID)
def test_messages_are_read_with_units_and_indices_of_the_engine(found, expected):
    assert found == expected


MALFORMED = [
    ("bogus", {}),
    ("assign", dict(lines="s-1:1")),
    ("hb_ok", {}),
    *[("upstream_stats", without(TRAFFIC, name)) for name in TRAFFIC],
    *[
        ("upstream_stats", {**TRAFFIC, name: value})
        for name, value in [
            ("locality", "nowhere"),
            ("total", -1),
            ("total", 1e30),
            ("total", "x"),
            ("total", 2.5),
            ("errors", 213),
            ("errors", -3),
            ("rtt", -1),
            ("rtt", "nan"),
            ("rtt", 1e9),
            ("interval", 0),
            ("interval", "inf"),
            ("metrics", "util"),
            ("metrics", "util:x"),
            ("metrics", "util:-1"),
            ("metrics", "util:99"),
            ("metrics", ",".join(["util:0.5"] * 65)),  # guards against one message that takes the process long
            ("endpoint", ""),
        ]
    ],
    *[("client_stats", without(OFFERED, name)) for name in OFFERED],
    *[
        ("client_stats", {**OFFERED, name: value})
        for name, value in [
            ("node", 150),
            ("node", -1),
            ("node", "x"),
            ("route", "lookup"),
            ("total", -1),
            ("errors", "nan"),
            ("interval", -5),
        ]
    ],
    *[
        ("attach", {**dict(node=1, locality="khalda", w=1, cold=0), name: value})
        for name, value in [("node", 150), ("locality", "x"), ("w", -1), ("w", "x"), ("cold", 2), ("cold", "yes")]
    ],
    *[
        ("done", {**dict(node=1, nonce=4, latency=3), name: value})
        for name, value in [("nonce", 65536), ("nonce", -1), ("nonce", "x"), ("latency", -1), ("node", "")]
    ],
]


@pytest.mark.parametrize(("kind", "fields"), MALFORMED)
def test_a_malformed_message_is_rejected(kind, fields):
    with pytest.raises(messages.MalformedMessageError):
        read_message(kind, **fields)


@pytest.mark.parametrize("parts", [[b"done", b"node"], [b"done", b"node", b"1", b"node", b"2"]])
def test_names_and_values_must_form_pairs_without_repeats(parts):
    with pytest.raises(messages.MalformedMessageError):
        READER.read(parts)
