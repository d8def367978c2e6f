"""Encoding and decoding of wire records."""

import pytest
from bench_wire import COMMANDS, EVENTS

from hollyridge.benchlink import wire


@pytest.mark.parametrize(
    ("layouts", "code", "fields", "hex_text"),
    [*[(wire.EVENT_LAYOUTS, *row) for row in EVENTS], *[(wire.COMMAND_LAYOUTS, *row) for row in COMMANDS]],
)
def test_every_record_is_packed_and_unpacked(layouts, code, fields, hex_text):
    raw = bytes.fromhex(hex_text)
    assert wire.pack(code, fields, layouts) == raw
    assert list(wire.unpack(raw, layouts)) == [(code, fields)]
    if len(raw) > 1:
        with pytest.raises(wire.WireError):
            list(wire.unpack(raw[:-1], layouts))


def test_every_record_kind_is_tested():
    assert {row[0] for row in EVENTS} == set(wire.EVENT_LAYOUTS)
    assert {row[0] for row in COMMANDS} == set(wire.COMMAND_LAYOUTS)
