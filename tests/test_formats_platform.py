"""Formats of the platform: protocol messages, discovery pages, the configuration and the assigner's status."""

import msgspec
import pytest
import structlog
from helpers import START, assigner_config
from in_process import NAMES, ZONES
from stand_ins import CONFIG_DOCUMENT
from stored import as_text, shape, stored_json

from hollyridge import interface as api
from hollyridge.discovery import schema as discovery
from hollyridge.node.application import Application
from hollyridge.node.config import ConfigDocument, parse_config
from hollyridge.resp import messages
from hollyridge.resp.assign_message import TableUpdate, assign_messages
from hollyridge.resp.codec import FrameReader, encode
from hollyridge.resp.message_reader import MessageReader

# All messages that an assigner reads, each with all of its fields.
INBOUND_MESSAGES = {
    "hb": ({}, messages.Heartbeat()),
    "telemetry": ({"locality": "sahab"}, messages.CollectorHello(1)),
    "attach": ({"node": "9", "locality": "khalda", "w": "5.5", "cold": "1"}, messages.JoinRequest(9, 0, 5.5, True)),
    "upstream_stats": (
        {
            "interval": "400",
            "total": "14",
            "errors": "1",
            "rtt": "12.5",
            "endpoint": "s-1",
            "locality": "sahab",
            "metrics": "util:0.5,queue:3",
        },
        messages.TrafficSample(1, "s-1", 14, 1, 12_500, 400_000, (0.5, 3.0)),
    ),
    "client_stats": (
        {"interval": "400", "node": "9", "route": "redeem-code", "total": "7", "errors": "2"},
        messages.OfferedLoadSample(9, 1, 7, 2, 400_000),
    ),
    "done": ({"node": "9", "nonce": "77", "latency": "120"}, messages.AckMessage(9, 77, 120_000)),
}
# All kinds of update that an assigner writes, with all fields, and the mark of each (-1 for none).
UPDATES = {
    "whole": (
        [TableUpdate(("read-chapter", "redeem-code"), True, (("s-1", 1.5), ("s-2", 0.0)), (0.75, 2))],
        7,
    ),
    "two parts": (
        [
            TableUpdate((), False, (("s-1", 0.25),)),
            TableUpdate(("read-chapter",), False, (), (0.5, 0)),
        ],
        8,
    ),
    "withdrawals": ([TableUpdate((), False, (), None, ("s-1", "s-2"), ("s-3",))], -1),
    "a mark alone": ([], 9),
}


def encoded_inbound_messages() -> dict[str, str]:
    return {
        kind: encode([kind.encode(), *(part.encode() for pair in fields.items() for part in pair)]).decode()
        for kind, (fields, _) in INBOUND_MESSAGES.items()
    }


def encoded_updates() -> dict[str, str]:
    return {
        name: b"".join(encode(message) for message in assign_messages(*update)).decode()
        for name, update in UPDATES.items()
    }


@pytest.mark.parametrize("kind", INBOUND_MESSAGES)
def test_inbound_messages_keep_their_format(kind):
    raw = stored_json("resp-heard.json")[kind].encode()
    (parts,) = FrameReader().feed(raw)
    assert MessageReader(NAMES, assigner_config()).read(parts) == INBOUND_MESSAGES[kind][1]
    assert encode(parts) == raw


def test_updates_keep_their_format():
    assert encoded_updates() == stored_json("resp-orders.json")
    for raw in stored_json("resp-orders.json").values():
        assert b"".join(map(encode, FrameReader().feed(raw.encode()))) == raw.encode()


# Discovery.

PAGE = discovery.EndpointPage(
    7,
    True,
    [
        discovery.EndpointEntry("s-1", "khalda", "in_service", "large", 3, 2.5, 1_700_000_000_123.0),
        discovery.EndpointEntry("s-2", "sahab", "terminating"),
        discovery.EndpointEntry("s-3", "sahab", "terminated"),
    ],
)
WATCH_EVENT = discovery.WatchEvent(
    7,
    True,
    (
        discovery.ListedEndpoint("s-1", 0, 3, api.TaskState.READY, 2.5, 1_700_000_000_123.0),
        discovery.ListedEndpoint("s-2", 1, 0, api.TaskState.DRAINING, 1.0, 0.0),
        discovery.ListedEndpoint("s-3", 1, 0, api.TaskState.GONE, 1.0, 0.0),
    ),
)


def page() -> str:
    return msgspec.json.encode(PAGE).decode()


def test_discovery_pages_keep_their_format():
    raw = stored_json("discovery.json")["page"].encode()
    assert msgspec.json.decode(raw, type=discovery.EndpointPage) == PAGE
    assert discovery.read(raw, ZONES) == WATCH_EVENT
    assert page().encode() == raw


# Configuration file that the platform passes to an assigner.


def configuration() -> str:
    document = {
        **CONFIG_DOCUMENT,
        "limits": {"cores": 2.0, "memory_mb": 256.0, "sockets": 2048},
        "known": msgspec.to_builtins(msgspec.json.decode(page(), type=discovery.EndpointPage)),
    }
    zones = {"khalda": CONFIG_DOCUMENT["settings"]["zones"][0], "sahab": CONFIG_DOCUMENT["settings"]["zones"][1]}
    for row in document["known"]["servers"]:
        row["zone"] = zones[row["zone"]]
    return msgspec.json.encode(document).decode()


def test_the_configuration_keeps_its_format():
    raw = stored_json("configuration.json")["configuration"].encode()
    assert msgspec.json.encode(msgspec.json.decode(raw, type=ConfigDocument)) == raw
    config = parse_config(raw)
    assert config[:4] == ("n3", ("127.0.0.1", 0), ("127.0.0.1", 9), 0x8C1F)
    assert msgspec.structs.astuple(config.limits) == (2.0, 256.0, 2048)
    assert config.cached_list == WATCH_EVENT


def node_status() -> dict:
    config = parse_config(msgspec.json.encode(CONFIG_DOCUMENT))
    return shape(Application(config, structlog.get_logger(), lambda: config, lambda: START).status())


def test_the_status_of_a_node_keeps_its_keys():
    assert as_text(node_status()) == as_text(stored_json("node-status.json"))


WRITERS = {
    "resp-heard.json": lambda: as_text(encoded_inbound_messages()),
    "resp-orders.json": lambda: as_text(encoded_updates()),
    "discovery.json": lambda: as_text({"page": page()}),
    "configuration.json": lambda: as_text({"configuration": configuration()}),
    "node-status.json": lambda: as_text(node_status()),
}
