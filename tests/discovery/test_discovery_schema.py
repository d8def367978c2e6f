"""Decoding of discovery's events: each fault raises an error that names it."""

import pytest
from in_process import ZONES

from hollyridge.discovery import schema

FAULTS = [
    b"",
    b"[]",
    b"{",
    b"\xff\xfe",
    b'{"version":1}',
    b'{"version":-1,"full":true,"servers":[]}',
    b'{"version":"1","full":true,"servers":[]}',
    b'{"version":1,"full":true,"servers":{}}',
    b'{"version":1,"full":true,"servers":[{"id":"","zone":"khalda","state":"in_service"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a,b","zone":"khalda","state":"in_service"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"mars","state":"in_service"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"khalda","state":"up"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"khalda","state":"in_service","weight":-1}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"khalda","state":"in_service","started_ms":-1}]}',
]


@pytest.mark.parametrize("raw", FAULTS)
def test_an_invalid_event_is_rejected_with_a_message(raw):
    with pytest.raises(schema.EndpointListError, match=r"."):
        schema.read(raw, ZONES)
