"""Records of the wire at the byte level."""

import pytest
from bench_wire import COMMANDS, EVENTS

from hollyridge.benchlink import wire


@pytest.mark.parametrize(
    ("shapes", "code", "fields", "text"),
    [*[(wire.EVENT_LAYOUTS, *row) for row in EVENTS], *[(wire.COMMAND_LAYOUTS, *row) for row in COMMANDS]],
)
def test_every_record_both_ways(shapes, code, fields, text):
    raw = bytes.fromhex(text)
    assert wire.pack(code, fields, shapes) == raw
    assert list(wire.unpack(raw, shapes)) == [(code, fields)]
    if len(raw) > 1:
        with pytest.raises(wire.WireError):
            list(wire.unpack(raw[:-1], shapes))


def test_every_record_kind_is_in_the_table():
    assert {row[0] for row in EVENTS} == set(wire.EVENT_LAYOUTS)
    assert {row[0] for row in COMMANDS} == set(wire.COMMAND_LAYOUTS)
