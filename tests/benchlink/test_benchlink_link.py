"""Batches answered for several assigners, and what ends the adapter."""

import io
import math
import struct
import subprocess
import sys

import pytest
from bench_wire import ENTRY, START, event_records, frame

from hollyridge.benchlink import link, wire


def commands(body, clock=100.0, at=None):
    reply = (at or link.Link()).answer(clock, 12, body)
    size, count, number = wire.REPLY_HEAD.unpack_from(reply)
    found = list(wire.unpack(reply[wire.REPLY_HEAD.size :], wire.COMMAND_LAYOUTS))
    assert (size, count, number) == (len(reply) - wire.REPLY_HEAD.size, len(found), 12)
    return found


def test_two_instances_answer_apart_and_a_killed_one_is_removed():
    at = link.Link()
    found = commands(event_records(*START, (14, (5,)), *START[1:]), at=at)
    starts = [k for k, (code, _) in enumerate(found) if code == 77]
    assert [found[k][1] for k in starts] == [(3,), (5,)]
    assert found[1 : starts[1]] == found[starts[1] + 1 :]
    assert (69, (1,)) in found
    assert any(code == 74 and f[1] == ENTRY[0] for code, f in found)
    at.answer(101.0, 13, event_records((14, (3,)), (5, ())))
    assert set(at.instances) == {5}
    with pytest.raises(wire.WireError):
        at.answer(102.0, 14, event_records((14, (3,)), (2, (1,))))
    commands(event_records(*START), 103.0, at)
    assert set(at.instances) == {3, 5}


def test_a_failure_of_the_decisions_is_a_record_of_the_reply():
    at = link.Link()
    commands(event_records(*START), at=at)
    at.instances[3].assigner.decide = lambda now, events: 1 / 0
    assert commands(event_records((14, (3,)), (2, (1,))), 101.0, at) == [
        (77, (3,)),
        (76, (b"ZeroDivisionError: division by zero",)),
    ]


@pytest.mark.parametrize(
    "raw",
    [
        b"\x01\x00",
        frame(b"\x02")[:-1],
        frame(b"\xfe"),
        frame(event_records((2, (1,)))),
        frame(event_records((14, (3,)), (2, (1,)))),
        wire.BATCH_HEAD.pack(1 << 30, 1.0, 0),
        wire.BATCH_HEAD.pack(0, math.nan, 0),
        frame(event_records(*START)[:-3]),
        frame(event_records((14, (3,)), (0, (9, b"zones=a\n")))),
        frame(event_records(*START[:2], (1, (1, 9, ())))),
        frame(event_records(*START, (10, (9, 2.0, 41, 7, 0)))),
        frame(event_records(*START[:3], (6, (5.0, 1, 41, 9)))),
    ],
)
def test_bad_input_ends_in_one_plain_line(raw):
    done = subprocess.run(
        [sys.executable, "-m", "hollyridge.benchlink"], input=frame(b"") + raw, capture_output=True, check=False
    )
    assert done.returncode == 2
    assert done.stdout == struct.pack("<III", 0, 0, 0)
    assert done.stderr.startswith(b"benchlink: ")
    assert done.stderr.count(b"\n") == 1


def test_input_that_ends_is_a_clean_end():
    out = io.BytesIO()
    link.serve(io.BytesIO(frame(b"", number=1) + frame(event_records(*START), number=2)), out)
    assert wire.REPLY_HEAD.unpack_from(out.getvalue(), 12)[2] == 2
