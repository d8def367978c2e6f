"""The wire at the byte level, settings text, and what ends the adapter."""

import io
import math
import struct
import subprocess
import sys

import pytest

from hollyridge.benchlink import link, wire
from hollyridge.platform_settings.reader import read_assigner_config

CONF = b"""balancers=1
discovery=subscribe
family_info.bare=5.0
family_info.lines_per_s=2900.0
family_info.most_waiting=5800.0
family_info.overhead=10.0
family_info.period=1.0
family_info.from_a_later_version=yes
profiles.count=2
profiles.0.deadline=1.5
profiles.0.repeat=repeatable
profiles.0.slo=0.5
profiles.1.deadline=2.0
profiles.1.group=zone
profiles.1.repeat=by_key
profiles.1.slo=0.8
profiles.1.window=2.0
rules.cold_from=0.17
rules.drain_grace=3.4
rules.fall=2.0
rules.fall_multiple=4.0
rules.warm_up=17.0
zones=abdali,khalda,sahab
"""
ENTRY = (0x03124A07, 1, 0, 5, 1, 1.5, 4.0)
EVENTS = [
    (0, (9, b"a=b\n"), "00 0900000000000000 04000000 613d620a"),
    (1, (41, 3, (ENTRY,)), "01 2900000000000000 03 01000000 074a1203 01 00 0500 01 0000c03f 0000000000001040"),
    (2, (77,), "02 4d00000000000000"),
    (3, (7, 10, 0.5, (2.0,)), "03 07000000 0a 000000000000e03f 01 00000040"),
    (4, (1, b"hi"), "04 01000000 0200 6869"),
    (5, (), "05"),
    (6, (6.5, 1, 41, 0), "06 0000d040 01 2900 00"),
    (7, (41,), "07 2900"),
    (8, (41, 3, 0.5), "08 2900 0300000000000000 000000000000e03f"),
    (
        9,
        (0, 7, 14, 1, 0.5, 1.0, (2.0, 0.5)),
        "09 00 07000000 0e000000 01000000 000000000000e03f 000000000000f03f 02 00000040 0000003f",
    ),
    (10, (9, 2.0, 41, 0, 0), "0a 09000000 0000000000000040 2900 00 00000000"),
    (11, (4, 1, 9, 2, 2.0), "0b 0400 01 09000000 02000000 0000000000000040"),
    (12, (1, 4), "0c 01 0400"),
    (13, (7, 0.5, 4), "0d 07000000 0000003f 0400"),
    (14, (3,), "0e 03000000"),
]
ORDERS = [
    (64, (), "40"),
    (65, (7, 1), "41 07000000 01"),
    (66, (b"two servers known",), "42 1100 74776f2073657276657273206b6e6f776e"),
    (67, (7,), "43 07000000"),
    (68, (0xFFFFFFFF, b"h i7"), "44 ffffffff 0400 68206937"),
    (69, (1,), "45 01"),
    (70, (117, 2, 0.5, 1), "46 7500 0200 0000003f 01"),
    (71, (5, 0), "47 0500000000000000 00"),
    (72, (41, 117, 0), "48 2900 7500 0000"),
    (73, (77, 0.5), "49 4d00000000000000 000000000000e03f"),
    (74, (0.5, 7, 117), "4a 0000003f 07000000 7500"),
    (75, (117,), "4b 7500"),
    (76, (b"no",), "4c 0200 6e6f"),
    (77, (3,), "4d 03000000"),
]


@pytest.mark.parametrize(
    "shapes, code, fields, text", [*[(wire.EVENTS, *row) for row in EVENTS], *[(wire.ORDERS, *row) for row in ORDERS]]
)
def test_every_record_both_ways(shapes, code, fields, text):
    raw = bytes.fromhex(text)
    assert wire.pack(code, fields, shapes) == raw
    assert list(wire.unpack(raw, shapes)) == [(code, fields)]
    if len(raw) > 1:
        with pytest.raises(wire.WireError):
            list(wire.unpack(raw[:-1], shapes))


def test_every_record_kind_is_in_the_table():
    assert {row[0] for row in EVENTS} == set(wire.EVENTS)
    assert {row[0] for row in ORDERS} == set(wire.ORDERS)


def events(*rows):
    return b"".join(wire.pack(code, fields, wire.EVENTS) for code, fields in rows)


def frame(body, clock=100.0, number=0):
    return wire.BATCH_HEAD.pack(len(body), clock, number) + body


START = ((14, (3,)), (0, (9, CONF)), (1, (1, 3, (ENTRY,))), (6, (5.0, 1, 41, 1)))


def orders(body, clock=100.0, at=None):
    reply = (at or link.Link()).answer(clock, 12, body)
    size, count, number = wire.REPLY_HEAD.unpack_from(reply)
    found = list(wire.unpack(reply[wire.REPLY_HEAD.size :], wire.ORDERS))
    assert (size, count, number) == (len(reply) - wire.REPLY_HEAD.size, len(found), 12)
    return found


def test_two_instances_answer_apart_and_a_killed_one_is_gone():
    at = link.Link()
    found = orders(events(*START, (14, (5,)), *START[1:]), at=at)
    starts = [k for k, (code, _) in enumerate(found) if code == 77]
    assert [found[k][1] for k in starts] == [(3,), (5,)]
    assert found[1 : starts[1]] == found[starts[1] + 1 :]
    assert (69, (1,)) in found and any(code == 74 and f[1] == ENTRY[0] for code, f in found)
    at.answer(101.0, 13, events((14, (3,)), (5, ())))
    assert set(at.instances) == {5}
    with pytest.raises(wire.WireError):
        at.answer(102.0, 14, events((14, (3,)), (2, (1,))))
    orders(events(*START), 103.0, at)
    assert set(at.instances) == {3, 5}


def test_a_failure_of_the_decisions_is_told():
    at = link.Link()
    orders(events(*START), at=at)
    at.instances[3].assigner.decide = lambda now, events: 1 / 0
    assert orders(events((14, (3,)), (2, (1,))), 101.0, at) == [
        (77, (3,)),
        (76, (b"ZeroDivisionError: division by zero",)),
    ]


def test_settings():
    config = read_assigner_config(CONF)
    assert (config.zones, config.report_period_us, config.subscribe, config.methods[1].idempotency_window_us) == (
        3,
        10**6,
        True,
        2 * 10**6,
    )
    for key in ("rules.fall", "family_info.period", "profiles.1.slo"):
        with pytest.raises(wire.WireError, match=key):
            read_assigner_config(b"\n".join(x for x in CONF.splitlines() if not x.startswith(key.encode() + b"=")))
    with pytest.raises(wire.WireError, match="rules.fall"):
        read_assigner_config(CONF.replace(b"rules.fall=2.0", b"rules.fall=nan"))


@pytest.mark.parametrize(
    "raw",
    [
        b"\x01\x00",
        frame(b"\x02")[:-1],
        frame(b"\xfe"),
        frame(events((2, (1,)))),
        frame(events((14, (3,)), (2, (1,)))),
        wire.BATCH_HEAD.pack(1 << 30, 1.0, 0),
        wire.BATCH_HEAD.pack(0, math.nan, 0),
        frame(events(*START)[:-3]),
        frame(events((14, (3,)), (0, (9, b"zones=a\n")))),
        frame(events(*START[:2], (1, (1, 9, ())))),
        frame(events(*START, (10, (9, 2.0, 41, 7, 0)))),
        frame(events(*START[:3], (6, (5.0, 1, 41, 9)))),
    ],
)
def test_bad_input_ends_in_one_plain_line(raw):
    done = subprocess.run(
        [sys.executable, "-m", "hollyridge.benchlink"], input=frame(b"") + raw, capture_output=True, check=False
    )
    assert done.returncode == 2 and done.stdout == struct.pack("<III", 0, 0, 0)
    assert done.stderr.startswith(b"benchlink: ") and done.stderr.count(b"\n") == 1


def test_input_that_ends_is_a_clean_end():
    out = io.BytesIO()
    link.serve(io.BytesIO(frame(b"", number=1) + frame(events(*START), number=2)), out)
    assert wire.REPLY_HEAD.unpack_from(out.getvalue(), 12)[2] == 2
