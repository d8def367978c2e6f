"""The platform's formats: its protocol's messages, discovery's pages, the configuration, the assigner's status."""

import msgspec
import pytest
import structlog
from helpers import START, bootstrap
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

# Each message that an assigner reads, with all of its fields.
HEARD = {
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
# Each order that it writes, with all of its fields.
ORDERS = {
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


def heard_messages() -> dict[str, str]:
    return {
        kind: encode([kind.encode(), *(word.encode() for pair in fields.items() for word in pair)]).decode()
        for kind, (fields, _) in HEARD.items()
    }


def orders() -> dict[str, str]:
    return {
        name: b"".join(encode(message) for message in assign_messages(*order)).decode()
        for name, order in ORDERS.items()
    }


@pytest.mark.parametrize("kind", HEARD)
def test_messages_are_read_as_before(kind):
    raw = stored_json("resp-heard.json")[kind].encode()
    (parts,) = FrameReader().feed(raw)
    assert MessageReader(NAMES, bootstrap()).read(parts) == HEARD[kind][1]
    assert encode(parts) == raw


def test_orders_are_written_as_before():
    assert orders() == stored_json("resp-orders.json")
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
NEWS = discovery.WatchEvent(
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


def test_pages_of_discovery_are_read_and_written_as_before():
    raw = stored_json("discovery.json")["page"].encode()
    assert msgspec.json.decode(raw, type=discovery.EndpointPage) == PAGE
    assert discovery.read(raw, ZONES) == NEWS
    assert page().encode() == raw


# The configuration that the platform hands to an assigner.


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


def test_the_configuration_is_read_and_written_as_before():
    raw = stored_json("configuration.json")["configuration"].encode()
    assert msgspec.json.encode(msgspec.json.decode(raw, type=ConfigDocument)) == raw
    terms = parse_config(raw)
    assert terms[:4] == ("n3", ("127.0.0.1", 0), ("127.0.0.1", 9), 0x8C1F)
    assert msgspec.structs.astuple(terms.limits) == (2.0, 256.0, 2048)
    assert terms.cached_list == NEWS


def node_status() -> dict:
    terms = parse_config(msgspec.json.encode(CONFIG_DOCUMENT))
    return shape(Application(terms, structlog.get_logger(), lambda: terms, lambda: START).status())


def test_keys_of_the_status_of_an_assigner_of_the_platform():
    assert as_text(node_status()) == as_text(stored_json("node-status.json"))


WRITERS = {
    "resp-heard.json": lambda: as_text(heard_messages()),
    "resp-orders.json": lambda: as_text(orders()),
    "discovery.json": lambda: as_text({"page": page()}),
    "configuration.json": lambda: as_text({"configuration": configuration()}),
    "node-status.json": lambda: as_text(node_status()),
}
