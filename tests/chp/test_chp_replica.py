"""The client's side of the key space: runs never mix, and layouts before and after this one are read."""

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


def test_lines_of_a_former_run_never_mix_with_the_present_one():
    old, new = KeySpace("old", 500), KeySpace("new", 500)
    replica = Replica("/table/0/")
    stale = old.set("/table/0/", 1, {f"/table/0/line/a:{k}": b"old" for k in range(3)})
    new.set("/table/0/", 1, {"/table/0/line/x:1": b"1"})
    for message in new.snapshot("/table/0/"):
        replica.take(message)
    change = new.set("/table/0/", 2, {"/table/0/line/x:1": b"2", "/table/0/line/y:1": b"2"})
    for message in itertools.chain(change[:-1], stale, change[-1:]):
        replica.take(message)
    assert replica.held == {"/table/0/line/x:1": b"2", "/table/0/line/y:1": b"2"}


def skewed(parts, story):
    """A message as a library of another layout would write it."""
    if not parts[-1].startswith(b"{"):
        return parts
    value = json.loads(parts[-1])
    if story == "ahead":
        value.update(v=2, colour={"deep": [1]})
    else:
        value.pop("v")
        value.pop("beat", None)
    return [*parts[:-1], json.dumps(value).encode()]


@pytest.mark.parametrize("story", ["ahead", "behind"])
def test_layouts_one_ahead_and_one_behind_are_read(story):
    ledger, client = KeySpace("e", 500), ProxyReplicas("gw", ["m"])
    told = ledger.set("/proxy/gw/", 1, {"/proxy/gw/bind/m": codec.json(codec.Bind(0))})
    lines = {f"/table/0/line/127.0.0.1:{k}": codec.json(codec.Line(k / 2)) for k in range(1, 4)}
    ledger.set("/table/0/", 1, lines)
    feed = [
        *ledger.snapshot("/proxy/gw/"),
        *ledger.snapshot("/table/0/"),
        *ledger.set("/table/0/", 2, {**lines, "/table/0/level/0": codec.json(codec.Level(0.5, 1))}),
        *told,
    ]
    for message in feed:
        client.take(codec.decode(skewed(codec.encode(message), story)))
    assert client.tables.lines["m"] == {f"127.0.0.1:{k}": k / 2 for k in range(1, 4)}
    assert client.tables.levels["m"] == (0.5, 1)


@pytest.mark.parametrize("path", sorted(STREAMS.glob("*.json")), ids=lambda path: path.stem)
def test_recorded_streams_of_older_layouts_are_read(path):
    kept = json.loads(path.read_text())
    client = ProxyReplicas(kept["uid"], kept["methods"])
    for row in kept["messages"]:
        client.take(codec.decode(parts_of(row)))
    assert {m: dict(lines) for m, lines in client.tables.lines.items()} == kept["lines"]
