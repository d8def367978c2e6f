"""Tests of the client side of the key space: runs never mix, and older and newer layouts are decoded."""

import itertools
import json
from pathlib import Path

import pytest

from hollyridge.chp import codec
from hollyridge.chp.key_space import KeySpace
from hollyridge.chp.proxy_replicas import ProxyReplicas
from hollyridge.chp.replica import Replica
from hollyridge.lab.reports.record import parts_of

STREAMS = Path(__file__).parent.parent / "streams"


def test_lines_of_a_previous_run_never_mix_with_the_present_run():
    old, new = KeySpace("old", 500), KeySpace("new", 500)
    replica = Replica("/table/0/")
    stale = old.set("/table/0/", 1, {f"/table/0/line/a:{k}": b"old" for k in range(3)})
    new.set("/table/0/", 1, {"/table/0/line/x:1": b"1"})
    for message in new.snapshot("/table/0/"):
        replica.handle_message(message)
    change = new.set("/table/0/", 2, {"/table/0/line/x:1": b"2", "/table/0/line/y:1": b"2"})
    for message in itertools.chain(change[:-1], stale, change[-1:]):
        replica.handle_message(message)
    assert replica.held == {"/table/0/line/x:1": b"2", "/table/0/line/y:1": b"2"}


def in_other_layout(parts, layout):
    """Return a message as a library with another layout encodes it."""
    if not parts[-1].startswith(b"{"):
        return parts
    value = json.loads(parts[-1])
    if layout == "ahead":
        value.update(v=2, colour={"deep": [1]})
    else:
        value.pop("v")
        value.pop("beat", None)
    return [*parts[:-1], json.dumps(value).encode()]


@pytest.mark.parametrize("layout", ["ahead", "behind"])
def test_the_next_and_the_previous_layout_are_decoded(layout):
    key_space, client = KeySpace("e", 500), ProxyReplicas("gw", ["m"])
    bindings = key_space.set("/proxy/gw/", 1, {"/proxy/gw/bind/m": codec.json(codec.Bind(0))})
    lines = {f"/table/0/line/127.0.0.1:{k}": codec.json(codec.Line(k / 2)) for k in range(1, 4)}
    key_space.set("/table/0/", 1, lines)
    messages = [
        *key_space.snapshot("/proxy/gw/"),
        *key_space.snapshot("/table/0/"),
        *key_space.set("/table/0/", 2, {**lines, "/table/0/level/0": codec.json(codec.Level(0.5, 1))}),
        *bindings,
    ]
    for message in messages:
        client.handle_message(codec.decode(in_other_layout(codec.encode(message), layout)))
    assert client.tables.lines["m"] == {f"127.0.0.1:{k}": k / 2 for k in range(1, 4)}
    assert client.tables.levels["m"] == (0.5, 1)


@pytest.mark.parametrize("path", sorted(STREAMS.glob("*.json")), ids=lambda path: path.stem)
def test_recorded_streams_of_older_layouts_are_decoded(path):
    recorded = json.loads(path.read_text())
    client = ProxyReplicas(recorded["uid"], recorded["methods"])
    for row in recorded["messages"]:
        client.handle_message(codec.decode(parts_of(row)))
    assert {m: dict(lines) for m, lines in client.tables.lines.items()} == recorded["lines"]
