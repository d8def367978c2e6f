"""The platform's protocol: codec, words, what proxies are told, who is kept waiting."""

import gevent
import pytest
from gevent import socket as green
from helpers import SECOND, START, bootstrap
from hypothesis import given
from hypothesis import strategies as some
from immutables import Map
from in_process import NAMES, Hall

from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.limits.pending_connections import PendingConnections
from hollyridge.resp import codec, messages
from hollyridge.resp.codec import FrameReader, RespError, encode
from hollyridge.resp.update_encoder import ProxyView, UpdateEncoder
from hollyridge.store.table_versions import Table, TableStore

READING = messages.MessageReader(NAMES, bootstrap())


@given(
    some.lists(some.lists(some.binary(max_size=40), min_size=1, max_size=8), max_size=5),
    some.lists(some.integers(1, 9), min_size=1, max_size=30),
)
def test_any_split_of_the_bytes_reads_alike(messages, sizes):
    raw = b"".join(map(encode, messages))
    reader, found, at, k = FrameReader(), [], 0, 0
    while at < len(raw):
        step = sizes[k % len(sizes)]
        found += reader.feed(raw[at : at + step])
        at, k = at + step, k + 1
    assert found == messages and not reader.partial


@given(some.binary(max_size=300), some.integers(1, 64))
def test_whatever_comes_is_read_or_refused_and_never_held_past_the_limit(raw, step):
    reader = FrameReader(most=128)
    try:
        for at in range(0, len(raw), step):
            reader.feed(raw[at : at + step])
            assert len(reader.held) + sum(map(len, reader.parts)) <= 128 + step + 32
    except RespError:
        pass


UNREADABLE = {
    "http": b"GET / HTTP/1.1\r\n\r\n",
    "inline": b"PING\r\n",
    "a length below 0": b"*-1\r\n",
    "none at all": b"*0\r\n",
    "too many parts": b"*66\r\n",
    "no digits": b"*\r\n",
    "words": b"*x\r\n",
    "endless digits": b"*1111111111111",
    "spaced": b"* 1\r\n",
    "null part": b"*1\r\n$-1\r\n",
    "nested": b"*1\r\n*1\r\n",
    "integer": b"*1\r\n:5\r\n",
    "announced too long": b"*1\r\n$1048577\r\n",
    "too long together": b"*3\r\n$524288\r\n" + b"x" * 524288 + b"\r\n$524288\r\n",
    "a part that does not end": b"*1\r\n$2\r\nabcd",
}


@pytest.mark.parametrize("raw", UNREADABLE.values(), ids=UNREADABLE)
def test_refused_as_soon_as_it_is_known(raw):
    with pytest.raises(RespError):
        FrameReader().feed(raw)
    reader = FrameReader()
    with pytest.raises(RespError):
        for at in range(len(raw)):
            reader.feed(raw[at : at + 1])


def test_what_comes_before_the_unreadable_counts():
    reader = FrameReader()
    assert reader.feed(encode([b"hb"]) + encode([b"done", b"x"]) + b"rubbish") == [[b"hb"], [b"done", b"x"]]
    assert reader.fault is not None
    with pytest.raises(RespError):
        reader.feed(encode([b"hb"]))


def said(kind, **fields):
    return READING.read([kind.encode(), *[str(part).encode() for pair in fields.items() for part in pair]])


MET = dict(locality="khalda", endpoint="s-1", total=212, errors=3, rtt=41.7, interval=1000.0)
USED = dict(node=17, route="redeem-code", total=19, errors=0, interval=1000.0)
GOOD = [
    (said("hb"), messages.Heartbeat()),
    (said("telemetry", locality="sahab"), messages.CollectorHello(1)),
    (said("attach", node=17, locality="khalda", w=21.5, cold=1), messages.JoinRequest(17, 0, 21.5, True)),
    (said("done", node=17, nonce=905, latency=310.4), messages.AckMessage(17, 905, 310_400)),
    (
        said("upstream_stats", **MET, metrics="queue:7,util:0.61"),
        messages.TrafficSample(0, "s-1", 212, 3, 41_700, SECOND, (0.61, 7.0)),
    ),
    (
        said("upstream_stats", **MET, metrics="util:0.61,other:3"),
        messages.TrafficSample(0, "s-1", 212, 3, 41_700, SECOND, (0.61, -1.0)),
    ),
    (said("upstream_stats", **MET), messages.TrafficSample(0, "s-1", 212, 3, 41_700, SECOND, ())),
    (said("upstream_stats", **{**MET, "total": 3, "rtt": 0}), messages.TrafficSample(0, "s-1", 3, 3, 0, SECOND, ())),
    (said("client_stats", **USED), messages.OfferedLoadSample(17, 1, 19, 0, SECOND)),
    # Let in during an earlier interval and not served in this one: more than came.
    (said("client_stats", **{**USED, "total": 2, "errors": 9}), messages.OfferedLoadSample(17, 1, 2, 9, SECOND)),
]


@pytest.mark.parametrize("found, expected", GOOD)
def test_words_mean_what_the_simulators_events_mean(found, expected):
    assert found == expected


SPOILT = [
    ("bogus", {}),
    ("assign", dict(lines="s-1:1")),
    ("hb_ok", {}),
    *[("upstream_stats", {k: v for k, v in MET.items() if k != name}) for name in MET],
    *[
        ("upstream_stats", {**MET, name: value})
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
            ("endpoint", ""),
        ]
    ],
    *[("client_stats", {k: v for k, v in USED.items() if k != name}) for name in USED],
    *[
        ("client_stats", {**USED, name: value})
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


@pytest.mark.parametrize("kind, fields", SPOILT)
def test_a_spoilt_message_is_told_from_a_good_one(kind, fields):
    with pytest.raises(messages.MalformedMessageError):
        said(kind, **fields)


@pytest.mark.parametrize("parts", [[b"done", b"node"], [b"done", b"node", b"1", b"node", b"2"]])
def test_names_and_values_pair(parts):
    with pytest.raises(messages.MalformedMessageError):
        READING.read(parts)


class Desk:
    """Tables by version, and what a proxy that obeys would hold."""

    def __init__(self):
        self.store = TableStore(8)
        self.scribe = UpdateEncoder(NAMES.methods, lambda task: f"s-{task}")
        self.sheet, self.planned = ProxyView(), ProxyView()

    def put(self, version, table=0, lines=(), levels=()):
        return self.store.put(version, table, dict(lines), dict(levels))

    def told(self, *tables, binds=(), mark=-1, out=()):
        update = ProxyUpdate(3, 1, 0, binds, tuple(tables), (), mark, tuple(out))
        lines, data = self.scribe.lines(self.planned, update), self.scribe.write(self.sheet, update)
        return [[part.decode() for part in one] for one in FrameReader().feed(data)], lines


ALL = ((0, 0b11),)


def test_a_table_is_told_whole_once_and_then_by_what_changed():
    desk = Desk()
    first = desk.put(1, lines={1: 1.5, 2: 0.2}, levels={1: (1.0, 1), 2: (1.0, 1)})
    assert desk.told((0, first), binds=ALL, mark=9) == (
        [["assign", "whole", "1", "lines", "s-1:1.5,s-2:0.2", "level", "1", "retry", "1", "ticket", "9"]],
        4,
    )
    then = desk.put(2, lines={2: 0.0, 4: 1 / 3})
    assert desk.told((0, then)) == ([["assign", "lines", "s-2:0,s-4:0.333333"]], 2)
    last = desk.put(3, levels={1: (0.4, 0), 2: (0.4, 0)})
    assert desk.told((0, last), mark=10) == ([["assign", "level", "0.4", "retry", "0", "ticket", "10"]], 1)
    assert desk.told((0, last), mark=11) == ([["assign", "ticket", "11"]], 0)


def test_levels_that_differ_come_as_parts_of_one_message():
    desk = Desk()
    first = desk.put(1, lines={1: 1.0}, levels={1: (1.0, 1), 2: (0.5, 0)})
    assert desk.told((0, first), binds=ALL, mark=1) == (
        [
            ["assign", "whole", "1", "lines", "s-1:1", "more", "1"],
            ["assign", "classes", "read-chapter", "level", "1", "retry", "1", "more", "1"],
            ["assign", "classes", "redeem-code", "level", "0.5", "retry", "0", "ticket", "1"],
        ],
        4,
    )


def test_a_level_that_left_takes_the_whole_table_along():
    desk = Desk()
    desk.told((0, desk.put(1, lines={1: 1.0}, levels={0: (0.5, 0)})), binds=ALL)
    value = Table(2, Map({1: 1.0}), Map())
    assert desk.told((0, value)) == ([["assign", "whole", "1", "lines", "s-1:1"]], 2)


def test_methods_on_tables_of_their_own():
    desk = Desk()
    main, other = desk.put(1, lines={1: 1.0, 2: 1.0}), desk.put(1, table=5, lines={2: 1.0})
    desk.told((0, main), binds=ALL)
    assert desk.told((5, other), binds=((5, 0b10),)) == (
        [["assign", "classes", "redeem-code", "whole", "1", "lines", "s-2:1"]],
        2,
    )
    assert desk.told((0, desk.put(2, lines={1: 2.0}))) == ([["assign", "classes", "read-chapter", "lines", "s-1:2"]], 1)
    assert desk.told((0, desk.put(3, lines={1: 3.0})), binds=ALL) == (
        [["assign", "whole", "1", "lines", "s-1:3,s-2:1"]],
        3,
    )


def test_shut_out_and_let_back():
    assert Desk().told(out=[(7, True), (8, True), (8, False)]) == ([["assign", "out", "s-7", "back", "s-8"]], 2)


def test_who_does_not_join_takes_no_place_for_long():
    pending = PendingConnections(join_timeout_us=2 * SECOND)
    closed = [number for at in range(500) for number in pending.add(at, at, 300)]
    assert closed == list(range(200)) and len(pending.waiting) == 300
    pending.remove(499)
    assert pending.overdue(2 * SECOND + 250) == list(range(200, 251))
    assert pending.overdue(9 * SECOND)[-1] == 498 and pending.next_deadline is None and not pending.silent


def test_who_has_begun_to_join_keeps_its_place_among_those_who_say_nothing():
    pending = PendingConnections(join_timeout_us=2 * SECOND)
    pending.add(0, 0, 8)
    pending.heard_from(0)
    assert [number for at in range(1, 300) for number in pending.add(at, at, 8)] == list(range(1, 293))
    for at in range(300, 310):
        pending.heard_from(at - 1)
        assert len(pending.add(at, at, 8)) == 1
    assert pending.add(400, 400, 0) and len(pending.waiting) == 1  # no room at all is room for one


def test_the_largest_message_is_within_the_platforms_limit():
    assert codec.MESSAGE_MOST == 1 << 20
    reader = FrameReader()
    assert reader.feed(encode([b"assign", b"x" * (codec.MESSAGE_MOST - 40)]))


def test_a_reader_that_stands_still_is_owed_the_newest_state_only():
    hall = Hall(tasks=900)
    sock = hall.proxy(3, buffer=4096)
    proxy = hall.engine.proxy_indices.index[3]
    store, stream = hall.engine.update_builder.store, hall.front.by_proxy[proxy]
    for version in range(1, 400):
        value = store.put(version, 0, {task: 1.0 + version / 1000 for task in range(900)})
        binds = ALL if version == 1 else ()
        hall.front.write(proxy, ProxyUpdate(proxy, version, START, binds, ((0, value),), (), version))
        assert len(stream.unsent) < 64 << 10
    assert hall.front.counts["merged"] > 300
    reader, held, mark = FrameReader(), {}, 0
    with gevent.Timeout(5):
        while mark != 399:
            for one in reader.feed(sock.recv(65536)):
                fields = dict(zip(one[1::2], one[2::2]))
                held.update(pair.split(b":") for pair in fields[b"lines"].split(b","))
                mark = int(fields[b"ticket"])
    assert len(held) == 900 and set(held.values()) == {b"1.399"}
    hall.front.stop()


def test_the_late_end_of_an_older_stream_ends_nothing():
    hall = Hall()
    first = hall.proxy(3)
    second = hall.proxy(3)
    assert first.recv(100) == b""  # the newer stream replaced it
    hall.until(lambda: len(hall.front.streams) == 1)
    assert len(hall.engine.servers) == 1
    second.close()
    hall.until(lambda: not hall.engine.servers)
    hall.front.stop()


def test_reports_of_a_task_that_has_just_gone_still_count():
    hall = Hall()
    hall.tell(2, ["s-0"])
    collector = green.create_connection(("127.0.0.1", hall.port))
    collector.sendall(encode([b"telemetry", b"locality", b"sahab"]))
    for name in (b"s-5", b"s-99"):
        collector.sendall(
            encode(
                [
                    b"upstream_stats",
                    b"locality",
                    b"sahab",
                    b"endpoint",
                    name,
                    b"total",
                    b"4",
                    b"errors",
                    b"0",
                    b"rtt",
                    b"90",
                    b"interval",
                    b"1000",
                ]
            )
        )
    hall.until(lambda: hall.front.counts["messages_in"] == 3)
    assert hall.front.counts["spoilt"] == 1  # s-99 was never listed
    assert [event.task for _, event in hall.engine.pending_events if hasattr(event, "attempts")] == [5]
    hall.front.stop()
