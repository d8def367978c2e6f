"""Batch processing for several assigners, and the ways in which the adapter ends."""

import io
import math
import struct
import subprocess
import sys

import pytest
from bench_wire import ENTRY, START, event_records, frame

from hollyridge.benchlink import link, wire


def commands(body, clock=100.0, bench_link=None):
    reply = (bench_link or link.Link()).process_batch(clock, 12, body)
    size, count, number = wire.REPLY_HEAD.unpack_from(reply)
    records = list(wire.unpack(reply[wire.REPLY_HEAD.size :], wire.COMMAND_LAYOUTS))
    assert (size, count, number) == (len(reply) - wire.REPLY_HEAD.size, len(records), 12)
    return records


def test_two_instances_reply_separately_and_a_killed_one_is_removed():
    bench_link = link.Link()
    records = commands(event_records(*START, (14, (5,)), *START[1:]), bench_link=bench_link)
    instance_starts = [index for index, (code, _) in enumerate(records) if code == 77]
    assert [records[index][1] for index in instance_starts] == [(3,), (5,)]
    assert records[1 : instance_starts[1]] == records[instance_starts[1] + 1 :]
    assert (69, (1,)) in records
    assert any(code == 74 and fields[1] == ENTRY[0] for code, fields in records)
    bench_link.process_batch(101.0, 13, event_records((14, (3,)), (5, ())))
    assert set(bench_link.instances) == {5}
    with pytest.raises(wire.WireError):
        bench_link.process_batch(102.0, 14, event_records((14, (3,)), (2, (1,))))
    commands(event_records(*START), 103.0, bench_link)
    assert set(bench_link.instances) == {3, 5}


def test_a_failure_of_the_decisions_is_a_record_of_the_reply():
    bench_link = link.Link()
    commands(event_records(*START), bench_link=bench_link)
    bench_link.instances[3].assigner.decide = lambda now, events: 1 / 0
    assert commands(event_records((14, (3,)), (2, (1,))), 101.0, bench_link) == [
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
def test_bad_input_ends_the_adapter_with_one_line_of_error(raw):
    completed = subprocess.run(
        [sys.executable, "-m", "hollyridge.benchlink"], input=frame(b"") + raw, capture_output=True, check=False
    )
    assert completed.returncode == 2
    assert completed.stdout == struct.pack("<III", 0, 0, 0)
    assert completed.stderr.startswith(b"benchlink: ")
    assert completed.stderr.count(b"\n") == 1


def test_the_end_of_the_input_ends_the_adapter_normally():
    out = io.BytesIO()
    link.serve(io.BytesIO(frame(b"", number=1) + frame(event_records(*START), number=2)), out)
    assert wire.REPLY_HEAD.unpack_from(out.getvalue(), 12)[2] == 2
