"""Records of the bench's wire for tests: each kind as fields and as bytes, and the start of an assigner."""

from hollyridge.benchlink import wire

SETTINGS_TEXT = b"""balancers=1
discovery=subscribe
family_info.bare=5.0
family_info.lines_per_s=2900.0
family_info.most_waiting=5800.0
family_info.overhead=10.0
family_info.period=1.0
family_info.from_a_later_version=yes
profiles.count=2
profiles.0.deadline=1.5
profiles.0.repeat=repeatable
profiles.0.slo=0.5
profiles.1.deadline=2.0
profiles.1.group=zone
profiles.1.repeat=by_key
profiles.1.slo=0.8
profiles.1.window=2.0
rules.cold_from=0.17
rules.drain_grace=3.4
rules.fall=2.0
rules.fall_multiple=4.0
rules.warm_up=17.0
zones=abdali,khalda,sahab
"""
ENTRY = (0x03124A07, 1, 0, 5, 1, 1.5, 4.0)
EVENTS = [
    (0, (9, b"a=b\n"), "00 0900000000000000 04000000 613d620a"),
    (1, (41, 3, (ENTRY,)), "01 2900000000000000 03 01000000 074a1203 01 00 0500 01 0000c03f 0000000000001040"),
    (2, (77,), "02 4d00000000000000"),
    (3, (7, 10, 0.5, (2.0,)), "03 07000000 0a 000000000000e03f 01 00000040"),
    (4, (1, b"hi"), "04 01000000 0200 6869"),
    (5, (), "05"),
    (6, (6.5, 1, 41, 0), "06 0000d040 01 2900 00"),
    (7, (41,), "07 2900"),
    (8, (41, 3, 0.5), "08 2900 0300000000000000 000000000000e03f"),
    (
        9,
        (0, 7, 14, 1, 0.5, 1.0, (2.0, 0.5)),
        "09 00 07000000 0e000000 01000000 000000000000e03f 000000000000f03f 02 00000040 0000003f",
    ),
    (10, (9, 2.0, 41, 0, 0), "0a 09000000 0000000000000040 2900 00 00000000"),
    (11, (4, 1, 9, 2, 2.0), "0b 0400 01 09000000 02000000 0000000000000040"),
    (12, (1, 4), "0c 01 0400"),
    (13, (7, 0.5, 4), "0d 07000000 0000003f 0400"),
    (14, (3,), "0e 03000000"),
]
COMMANDS = [
    (64, (), "40"),
    (65, (7, 1), "41 07000000 01"),
    (66, (b"two servers known",), "42 1100 74776f2073657276657273206b6e6f776e"),
    (67, (7,), "43 07000000"),
    (68, (0xFFFFFFFF, b"h i7"), "44 ffffffff 0400 68206937"),
    (69, (1,), "45 01"),
    (70, (117, 2, 0.5, 1), "46 7500 0200 0000003f 01"),
    (71, (5, 0), "47 0500000000000000 00"),
    (72, (41, 117, 0), "48 2900 7500 0000"),
    (73, (77, 0.5), "49 4d00000000000000 000000000000e03f"),
    (74, (0.5, 7, 117), "4a 0000003f 07000000 7500"),
    (75, (117,), "4b 7500"),
    (76, (b"no",), "4c 0200 6e6f"),
    (77, (3,), "4d 03000000"),
]


def event_records(*rows):
    return b"".join(wire.pack(code, fields, wire.EVENT_LAYOUTS) for code, fields in rows)


def frame(body, clock=100.0, number=0):
    return wire.BATCH_HEAD.pack(len(body), clock, number) + body


START = ((14, (3,)), (0, (9, SETTINGS_TEXT)), (1, (1, 3, (ENTRY,))), (6, (5.0, 1, 41, 1)))
