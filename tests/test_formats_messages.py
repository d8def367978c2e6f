"""Formats derived from field and class names: state file, CHP, peer packets, RPCs of the laboratory, bench wire.

Where a format identifies fields by position only, the objects are built with keywords, so that a test fails if a field
moves.
"""

import socket
import struct

import msgspec
import pytest
from bench_wire import SETTINGS_TEXT
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF
from stored import as_text, stored_json

from hollyridge import interface as api
from hollyridge.benchlink import wire
from hollyridge.benchlink.instance import AssignerInstance
from hollyridge.chp import codec as chp
from hollyridge.chp.key_space import KeySpace
from hollyridge.lab.stand_ins import rpc
from hollyridge.membership import messages
from hollyridge.peers import codec as peers
from hollyridge.store import learned_estimates, state_file

# State file.

LEARNED = [
    api.LearnedEstimate(task=0, capacity=20.0, busy_periods=5.0, efficiency=1.25, weight_ratio=0.9),
    api.LearnedEstimate(task=1, capacity=40.5, busy_periods=4.0, efficiency=0.75, weight_ratio=1.5),
]
TASKS = ["127.1.0.1:9000", "127.1.0.2:9000"]
STATE = state_file.SavedState(
    "a,b/read",
    1_700_000_000_123,
    [
        state_file.TaskEstimate(name=TASKS[0], capacity=20.0, busy_periods=5.0, efficiency=1.25, weight_ratio=0.9),
        state_file.TaskEstimate(name=TASKS[1], capacity=40.5, busy_periods=4.0, efficiency=0.75, weight_ratio=1.5),
    ],
    0.625,
)


def state_files() -> dict[str, str]:
    return {"whole": state_file.pack(STATE).hex(), "no rows": state_file.pack(state_file.SavedState("f", 7, [])).hex()}


def test_state_file_keeps_its_format():
    files = stored_json("state.json")
    assert state_file.unpack(bytes.fromhex(files["whole"])) == STATE
    assert state_file.unpack(bytes.fromhex(files["no rows"])) == state_file.SavedState("f", 7, [], 0.0, 1)
    assert state_files() == files


def test_state_file_keeps_its_keys():
    raw = bytes.fromhex(stored_json("state.json")["whole"])
    assert raw[:8] == b"HRSTATE1"
    assert msgspec.msgpack.decode(raw[20:]) == {
        "fleet": "a,b/read",
        "saved": 1_700_000_000_123,
        "price": 0.625,
        "layout": 1,
        "rows": [[TASKS[0], 20.0, 5.0, 1.25, 0.9], [TASKS[1], 40.5, 4.0, 0.75, 1.5]],
    }


def test_learned_estimates_are_saved_and_restored():
    raw = bytes.fromhex(stored_json("state.json")["whole"])
    assert (
        state_file.pack(
            learned_estimates.to_saved_state("a,b/read", 1_700_000_000_123, LEARNED, 0.625, TASKS.__getitem__)
        )
        == raw
    )
    restored = learned_estimates.restore_own(state_file.unpack(raw), "a,b/read", 1_700_000_002_123, TASKS.index).event
    assert restored == api.EstimatesRestored(tuple(LEARNED), 0.625, 2_000_000)


# Clustered Hashmap Protocol.

VALUES = {
    "head": chp.Head("e1", 7, 12, 9, 2, 5, 500),
    "line": chp.Line(0.5),
    "level": chp.Level(0.75, 2),
    "bind": chp.Bind(3),
    "out": chp.Out(),
    "own": chp.Own(15_289_307, "a1", 3000),
    "go": chp.Go("127.0.0.1:6000", "a0"),
    "ack": chp.Ack("e1", {"/proxy/gw-1/": 12, "/out/all/": 3}, 4),
}
# The smallest JSON text of each value, and the value with all defaults that it is decoded to.
DEFAULTS = {
    "head": (b"{}", chp.Head("", 0, 0, 0, 0, 0, 1000, 1)),
    "line": (b"{}", chp.Line(0.0, 1)),
    "level": (b"{}", chp.Level(1.0, 0, 1)),
    "bind": (b'{"table":3}', chp.Bind(3, 1)),
    "out": (b"{}", chp.Out(True, 1)),
    "own": (b"{}", chp.Own(0, "", 0, 1)),
    "go": (b'{"to":"a"}', chp.Go("a", "", 1)),
    "ack": (b"{}", chp.Ack("", {}, 0, 1)),
}
MESSAGES = {
    "icanhaz": chp.Icanhaz("/table/0/"),
    "kvsync": chp.Kvsync("/table/0/line/127.1.0.1:80", 12, b'{"w":0.5,"v":1}'),
    "kthxbai": chp.Kthxbai(12, "/table/0/"),
    "kvpub": chp.Kvpub("/out/all/127.1.0.1:80", 13, chp.uuid_of("e1"), "v=1\n", b'{"out":true,"v":1}'),
    "kvset": chp.Kvset("/proxy/gw-1/ack", chp.uuid_of("e1"), "", b'{"epoch":"e1"}'),
    "hugz": chp.Hugz(),
}


def chp_values() -> dict[str, str]:
    return {name: chp.json(value).decode() for name, value in VALUES.items()}


def chp_messages() -> dict[str, list[str]]:
    return {name: [part.hex() for part in chp.encode(message)] for name, message in MESSAGES.items()}


def chp_update_messages() -> list:
    key_space = KeySpace("e1", 500)
    sent = key_space.set("/table/0/", 4, {"/table/0/line/127.1.0.1:80": b'{"w":1.0,"v":1}'})
    sent += key_space.set("/table/0/", 5, {"/table/0/line/127.1.0.2:80": b'{"w":2.0,"v":1}'})
    sent += [key_space.heartbeat("/table/0/"), *key_space.snapshot("/table/0/"), *key_space.snapshot("/table/9/")]
    return [[part.hex() for part in chp.encode(message)] for message in sent]


@pytest.mark.parametrize("name", VALUES)
def test_chp_values_keep_their_format(name):
    raw, value = stored_json("chp-values.json")[name].encode(), VALUES[name]
    assert msgspec.json.decode(raw, type=type(value)) == value
    assert chp.json(value) == raw
    default, expected = DEFAULTS[name]
    assert msgspec.json.decode(default, type=type(value)) == expected
    if name != "out":  # its value is never read: the presence of the key is the information
        assert chp.value_of(type(value), raw) == value


@pytest.mark.parametrize("name", MESSAGES)
def test_chp_messages_keep_their_format(name):
    parts = [bytes.fromhex(part) for part in stored_json("chp-messages.json")[name]]
    assert chp.decode(parts, collector=name == "kvset") == MESSAGES[name]
    assert chp.encode(MESSAGES[name]) == parts


def test_chp_changes_and_snapshots_keep_their_format():
    rows = stored_json("chp-ledger.json")
    assert chp_update_messages() == rows
    heads = [chp.decode([bytes.fromhex(part) for part in row]) for row in rows]
    decoded = [chp.value_of(chp.Head, m.value) for m in heads if getattr(m, "key", "").endswith("/head")]
    assert decoded[1] == chp.Head("e1", 5, 5, 2, 2, 1, 500)
    assert decoded[1:] == [decoded[1]] * 3


def test_routing_ids_of_chp_sessions_keep_their_format():
    raw = bytes.fromhex("02000000000000000901") + b"random"
    assert chp.request_of(raw) == chp.OwnershipRequest(9, True)
    assert chp.routing_id_of(chp.OwnershipRequest(9, True), b"random") == raw


# Peers.

SECRET = b"k" * 32
FACTS = messages.MemberFacts(
    address="127.0.0.1:6006",
    run_id="61" * 16,
    zone="abdali",
    weight=2.0,
    draining=True,
    services=(("clone", "127.0.0.1:6000"),),
)
GOSSIP = tuple(
    messages.GossipMessage(name=f"a{k}", status=status, incarnation=k, facts=FACTS)
    for k, status in enumerate(messages.Status)
)
PACKETS = {
    "ping": messages.Ping(sequence=7, target="a1", updates=GOSSIP),
    "ack": messages.Ack(7, GOSSIP[:1]),
    "relay": messages.PingRequest(sequence=8, target="a2", updates=GOSSIP[1:2]),
    "join": messages.Join(GOSSIP[:1]),
    "whole": messages.FullState(GOSSIP[2:]),
    "claimed": messages.ClaimedProxies(claims=(("gw-1", 15_289_307), ("gw-2", 9)), starts_list=True),
    "learnt": messages.SharedEstimates(
        estimates=(("127.1.0.1:9000", 20.0, 5.0, 1.25, 0.9),), push_price=0.625, age_ms=250
    ),
}


def packet_guard(name: str) -> peers.PacketGuard:
    return peers.PacketGuard(SECRET, name, lambda size: name[-1:].encode() * size)


def exchange() -> dict[str, str]:
    """Return all kinds of packets, in order, as one exchange between two assigners."""
    a0, a1 = packet_guard("a0"), packet_guard("a1")
    sent = {"first": a0.seal(messages.Ping(1, "a1", ()))}
    sent["prove"] = a1.open(sent["first"]).answer
    sent["proof"] = a0.open(sent["prove"]).answer
    sent.update((name, a0.seal(message)) for name, message in PACKETS.items())
    return {name: raw.hex() for name, raw in sent.items()}


def unsealed(raw: bytes):
    """Decrypt a packet as described in `peers/codec.py`, without using its code."""
    magic, run, number = struct.unpack_from(">4s16sQ", raw)
    assert magic == b"HRP1"
    cipher = ChaCha20Poly1305(HKDF(SHA256(), 32, run, b"hollyridge peers 1").derive(SECRET))
    return msgspec.msgpack.decode(cipher.decrypt(bytes(4) + number.to_bytes(8, "big"), raw[28:], raw[:28]))


def unsealed_packets() -> dict:
    return {name: plain(unsealed(bytes.fromhex(raw))) for name, raw in exchange().items()}


def plain(value):
    if isinstance(value, bytes):
        return value.hex()
    return [plain(item) for item in value] if isinstance(value, list) else value


def test_peer_packets_are_written_in_the_same_format():
    assert exchange() == stored_json("peer-packets.json")
    assert unsealed_packets() == stored_json("peer-packets-unsealed.json")


def test_peer_packets_are_read_in_the_same_format():
    sent = {name: bytes.fromhex(raw) for name, raw in stored_json("peer-packets.json").items()}
    a1 = packet_guard("a1")
    assert a1.open(sent["first"]).answer == sent["prove"]
    assert packet_guard("a0").open(sent["prove"]).name == "a1"
    assert a1.open(sent["proof"]) == peers.OpenedPacket("a0", None)
    for name, message in PACKETS.items():
        assert a1.open(sent[name]) == peers.OpenedPacket("a0", message), name


def test_member_states_keep_their_names_and_numbers():
    """Names appear on the status page and in the log (`status`), numbers in packets."""
    assert [(status.name.lower(), int(status)) for status in messages.Status] == [
        ("alive", 0),
        ("suspect", 1),
        ("gone", 2),
        ("left", 3),
    ]


# RPCs between stand-ins of the laboratory.

RPCS = {
    "call": rpc.Call(number=7, proxy="gw-1", method=2, token="gw-1/7", work=1.5, key=40),
    "call without a key": rpc.Call(8, "gw-1", 0, "t", 1.0),
    "answer": rpc.Answer(number=7, outcome=rpc.PUSHED_BACK, util=0.5, queue=3),
}


def rpc_frames() -> dict[str, str]:
    frames = {}
    for name, message in RPCS.items():
        sender, receiver = socket.socketpair()
        with sender, receiver:
            rpc.send(sender, message)
            frames[name] = receiver.recv(4096).hex()
    return frames


def test_rpcs_of_the_laboratory_keep_their_format():
    frames = stored_json("lab-rpcs.json")
    assert rpc_frames() == frames
    for name, message in RPCS.items():
        sender, receiver = socket.socketpair()
        with sender, receiver:
            sender.sendall(bytes.fromhex(frames[name]))
            assert next(rpc.receive(receiver, name.startswith("call"))) == message


# Bench wire: the class of each code, and the order of its fields.

ENTRY = (7, 1, 2, 5, 2, 1.5, 4.0)
# Record name: code, fields on the wire, and the event that they are decoded to.
EVENTS = {
    "ROSTER_CHANGE": (
        1,
        (41, 3, (ENTRY,)),
        api.EndpointListUpdate(41, 3, (api.Endpoint(0, 1, 2, 5, 2, 1.5, 4_000_000),)),
    ),
    "WAKE": (2, (77,), api.TimerFired(77)),
    "PING_RESULT": (3, (7, 10, 0.5, (2.0,)), api.ProbeResult(0, 10, 500_000, (2.0,))),
    "PEER_DATA": (4, (1, b"hi"), api.PeerMessage(1, b"hi")),
    "JOINED": (6, (6.5, 1, 41, 2), api.ProxyJoined(6.5, True, 41, 2)),
    "DISCONNECTED": (7, (41,), api.ProxyLeft(41)),
    "RECEIPT": (8, (41, 3, 0.5), api.Ack(41, 3, 500_000)),
    "TRAFFIC_REPORT": (9, (2, 7, 14, 1, 0.5, 1.0, (2.0,)), api.TrafficReport(2, 0, 14, 1, 500_000, 1_000_000, (2.0,))),
    "OFFERED_LOAD": (10, (9, 2.0, 41, 1, 3), api.OfferedLoad(9, 2_000_000, 41, 1, 3)),
    "HEAT": (11, (4, 1, 9, 2, 2.0), api.SliceLoad(4, 1, 9, 2, 2_000_000)),
    "TENURE": (12, (1, 4), api.SliceCharge(True, 4)),
    "LEDGER_LINE": (13, (7, 0.5, 4), api.SliceLine(0, 0.5, 4)),
}
COMMANDS = {
    "RELOAD": api.RefreshEndpoints(),
    "BENCH": api.SetEjected(0, True),
    "NOTE_DOWN": api.LogNote("two tasks known"),
    "TOUCH": api.Probe(0),
    "BROADCAST_TO": api.SendToPeer(3, b"hi"),
    "WATCH": api.WatchEndpoints(True),
    "SET_LEVEL": api.SetAdmission(table=117, methods=2, amount=0.5, retry_mode=1),
    "ASK_RECEIPT": api.RequestAck(5, True),
    "ATTACH_TABLE": api.BindTable(proxy=41, table=117, methods=3),
    "WAKE_AT": api.SetTimer(77, 500_000),
    "PUT_LINE": api.SetWeight(0.5, 0, 117),
    "DROP_LINES": api.DeleteTable(117),
}


def instance() -> AssignerInstance:
    assigner = AssignerInstance(9, SETTINGS_TEXT)
    assigner.task_index(7)
    return assigner


def wire_records() -> dict[str, str]:
    records = {name: wire.pack(code, fields, wire.EVENT_LAYOUTS).hex() for name, (code, fields, _) in EVENTS.items()}
    return records | {name: instance().encode_command(command).hex() for name, command in COMMANDS.items()}


def test_wire_records_map_to_the_same_events_and_commands():
    records = stored_json("wire.json")
    assert wire_records() == records
    for name, (code, _, event) in EVENTS.items():
        ((unpacked_code, fields),) = wire.unpack(bytes.fromhex(records[name]), wire.EVENT_LAYOUTS)
        assert unpacked_code == code, name
        assert wire.EVENT_LAYOUTS[code].name == name
        assert instance().event_decoders[code](fields) == event, name
    for name in COMMANDS:
        ((code, _),) = wire.unpack(bytes.fromhex(records[name]), wire.COMMAND_LAYOUTS)
        assert wire.COMMAND_LAYOUTS[code].name == name


def test_all_events_and_commands_of_the_wire_are_covered():
    names = {shape.name for shape in (*wire.EVENT_LAYOUTS.values(), *wire.COMMAND_LAYOUTS.values())}
    assert names - {"ENLIST", "KILLED", "CONTEXT", "BAIL_OUT", "ON_BEHALF"} == {*EVENTS, *COMMANDS}


WRITERS = {
    "state.json": lambda: as_text(state_files()),
    "chp-values.json": lambda: as_text(chp_values()),
    "chp-messages.json": lambda: as_text(chp_messages()),
    "chp-ledger.json": lambda: as_text(chp_update_messages()),
    "peer-packets.json": lambda: as_text(exchange()),
    "peer-packets-unsealed.json": lambda: as_text(unsealed_packets()),
    "lab-rpcs.json": lambda: as_text(rpc_frames()),
    "wire.json": lambda: as_text(wire_records()),
}
